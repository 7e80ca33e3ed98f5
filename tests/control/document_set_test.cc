// Tests of document sets: every kind of fault, the encoding, and which set the
// control state holds.
#include "tamaracklatch/control/document_set.h"

#include <fmt/format.h>

#include <string>
#include <vector>

#include "control/document_sets.h"
#include "support/property.h"
#include "tamaracklatch/consensus/consensus_message.h"
#include "tamaracklatch/control/control_state.h"
#include "tamaracklatch/control/document_set_text.h"
#include "tamaracklatch/transport/link_codec.h"

namespace tamaracklatch {
namespace {

// --- Parsing ---

// The JSON text of a set with these values.
std::string TextOf(const std::string& version, const std::string& services,
                   const std::string& routes, const std::string& more = "") {
  return fmt::format(R"({{"version":{},"services":{},"routes":{}{}}})", version,
                     services, routes, more);
}

std::string Route(const std::string& where, const std::string& shares,
                  const std::string& name = "r") {
  return fmt::format(R"({{"name":"{}","where":"{}","shares":[{}]}})", name,
                     where, shares);
}

// A text that is refused, and the expected faults.
struct fault_row {
  std::string text;
  result_code code;
  const char* message;     // part of the first fault's text
  std::size_t faults = 1;  // number of faults reported
};

// Limits of five services whose names have 256 bytes each.
std::string LongLimits() {
  std::string limits;
  for (const char letter : {'a', 'b', 'c', 'd', 'e'}) {
    limits += fmt::format(R"({}{{"service":"{}","openings_per_second":1}})",
                          limits.empty() ? "" : ",", std::string(256, letter));
  }
  return R"(,"cold_limits":[)" + limits + "]";
}

std::vector<fault_row> FaultRows() {
  const std::string a = R"(["a"])";
  const std::string to_a = R"({"service":"a"})";
  const std::string one = "[" + Route("1.2.3.4:5", to_a) + "]";
  using code = result_code;
  return {
      {"{", code::kDocumentSyntax, "byte 2"},
      {TextOf("1", a, one) + "x", code::kDocumentSyntax, "not JSON"},
      {"[]", code::kDocumentWrongType, "not an object", 4},
      {"{}", code::kDocumentMissingKey, "version", 3},
      {TextOf("0", a, one), code::kDocumentOutOfRange, "version: 0"},
      {TextOf("-3", a, one), code::kDocumentOutOfRange, "version: -3"},
      {TextOf("1.5", a, one), code::kDocumentWrongType, "version: 1.5"},
      {TextOf("\"1\"", a, one), code::kDocumentWrongType, "version"},
      {TextOf("1e30", a, one), code::kDocumentWrongType, "version"},
      {TextOf("1", "[\"\"]", "[]"), code::kDocumentOutOfRange, "services[0]"},
      {TextOf("1", "[\"a\",\"a\"]", one), code::kDocumentDuplicate,
       "services[1]"},
      {TextOf("1", "[7]", "[]"), code::kDocumentWrongType, "services[0]"},
      {TextOf("1", a, "[7]"), code::kDocumentWrongType, "routes[0]: 7", 5},
      {TextOf("1", a, "[" + Route("1.2.3.4:5", to_a, "") + "]"),
       code::kDocumentOutOfRange, "routes[0].name"},
      {TextOf("1", a, "[" + Route("1.2.3.4", to_a) + "]"),
       code::kDocumentOutOfRange, "routes[0].where"},
      {TextOf("1", a, "[" + Route("1.2.3.4:0", to_a) + "]"),
       code::kDocumentOutOfRange, "the port is 0"},
      {TextOf("1", a, "[" + Route("1.2.3.4:5", "") + "]"), code::kSetInvalid,
       "routes[0].shares: no share has a weight"},
      {TextOf("1", a,
              "[" + Route("1.2.3.4:5", R"({"service":"a","weight":0})") + "]"),
       code::kSetInvalid, "routes[0].shares: no share has a weight"},
      {TextOf("1", a,
              "[" + Route("1.2.3.4:5", R"({"service":"a","weight":-1})") + "]"),
       code::kDocumentOutOfRange, "routes[0].shares[0].weight"},
      {TextOf("1", a, "[" + Route("1.2.3.4:5", R"({"service":"b"})") + "]"),
       code::kSetInvalid, "routes[0].shares[0].service: \"b\""},
      {TextOf("1", a,
              "[" + Route("1.2.3.4:5", to_a) + "," + Route("1.2.3.4:5", to_a) +
                  "]"),
       code::kSetInvalid, "routes[1].where: 1.2.3.4:5"},
      {TextOf("1", a, one, R"(,"idle_timeout":"15")"),
       code::kDocumentOutOfRange, "idle_timeout"},
      {TextOf("1", a, one, R"(,"idle_timeout":15)"), code::kDocumentWrongType,
       "idle_timeout"},
      {TextOf("1", a, one,
              R"(,"cold_limits":[{"service":"b","openings_per_second":1}])"),
       code::kSetInvalid, "cold_limits[0]: \"b\""},
      {TextOf("1", a, one,
              R"(,"cold_limits":[{"service":"a","openings_per_second":-1}])"),
       code::kDocumentOutOfRange, "openings_per_second"},
      {TextOf("1", a, one,
              R"(,"cold_limits":[{"service":"a","openings_per_second":1},
                  {"service":"a","openings_per_second":2}])"),
       code::kSetInvalid, "named twice"},
      {TextOf("1",
              "[\"" + std::string(256, 'a') + "\",\"" + std::string(256, 'b') +
                  "\",\"" + std::string(256, 'c') + "\",\"" +
                  std::string(256, 'd') + "\",\"" + std::string(256, 'e') +
                  "\"]",
              "[]", LongLimits()),
       code::kSetInvalid, "at most 1100"},
      {TextOf("1", a,
              R"([{"name":"r","where":"1.2.3.4:5","urgency":8,
                  "target_latency":"-1s","shares":[{"service":"a"}]}])"),
       code::kDocumentOutOfRange, "routes[0].urgency", 2},
      {TextOf("1", a, one, R"(,"rotues":[])"), code::kDocumentUnknownKey,
       "the nearest known key is \"routes\""},
      // Several faults in one set.
      {TextOf("0", a,
              "[" + Route("x", to_a) + "," + Route("y", R"({"service":"b"})") +
                  "]"),
       code::kDocumentOutOfRange, "version", 3},
      {std::string(kMaxSetSourceBytes + 1, ' '), code::kDocumentTooLarge,
       "524289 bytes"},
  };
}

Test(control, every_fault_of_a_set_is_reported) {
  for (const fault_row& row : FaultRows()) {
    std::vector<failure> faults;
    const std::string shown = row.text.substr(0, 200);
    cr_assert(!ParseDocumentSet(row.text, &faults), "%s", shown.c_str());
    std::string messages;
    for (const failure& fault : faults) messages += ToString(fault) + "\n";
    cr_expect(faults.front().code == row.code, "%s: %s", shown.c_str(),
              messages.c_str());
    cr_expect(faults.size() == row.faults, "%s: %s", shown.c_str(),
              messages.c_str());
    cr_expect(faults.front().reason.find(row.message) != std::string::npos,
              "%s: %s", shown.c_str(), messages.c_str());
  }
}

Test(control, every_part_of_a_set_is_parsed) {
  std::vector<failure> faults;
  const auto set = ParseDocumentSet(
      R"({"version":7,"idle_timeout":"1500ms", // half of it
          "services":["a","b"],"routes":[
          {"name":"x","where":"198.18.0.1:443","shares":[{"service":"b"}]},
          {"name":"x","where":"[fd00::1]:443","shares":[
            {"service":"a","weight":0},{"service":"b","weight":90}]}]})",
      &faults);
  cr_assert(set.has_value());
  cr_expect(set->version == 7 && set->services.size() == 2);
  cr_expect(set->idle_timeout == std::chrono::milliseconds(1500));
  cr_expect(ToString(set->routes[1].where) == "[fd00::1]:443");
  const std::vector<service_share> alone{{"b", 1}};
  const std::vector<service_share> both{{"a", 0}, {"b", 90}};
  cr_expect(set->routes[0].shares == alone);
  cr_expect(set->routes[1].shares == both);
  // A set without routes is valid.
  cr_expect(ParseDocumentSet(TextOf("1", "[]", "[]"), &faults).has_value());
}

// --- Encoding ---

Test(control, sets_round_trip_through_encoding) {
  test::CheckProperty("a set round-trips, malformed bytes are refused", []() {
    auto set = test::MakeSet(*rc::gen::arbitrary<std::uint64_t>(),
                             *rc::gen::inRange<std::uint32_t>(1, 40),
                             *rc::gen::inRange<std::uint32_t>(0, 1000));
    set.routes.front().name = *rc::gen::arbitrary<std::string>();
    set.routes.back().urgency =
        static_cast<std::uint8_t>(*rc::gen::inRange(0, 8));
    if (*rc::gen::arbitrary<bool>()) {
      set.cold_limits = {
          {"cards", *rc::gen::element(0.25, 1.0, 5.0, 1e9, 0x1p63, 0x1p64)}};
    }
    const std::string bytes = EncodeDocumentSet(set);
    const auto read = DecodeDocumentSet(bytes);
    RC_ASSERT(read.has_value());
    RC_ASSERT(read->version == set.version && read->routes == set.routes);
    RC_ASSERT(read->services == set.services);
    RC_ASSERT(read->idle_timeout == set.idle_timeout);
    RC_ASSERT(read->cold_limits == set.cold_limits);
    RC_ASSERT(EncodeDocumentSet(*read) == bytes);
    const auto other = DecodeDocumentSet(test::BrokenBytes(bytes));
    std::vector<failure> faults;
    if (other) RC_ASSERT(CheckDocumentSet(*other, &faults));
    // A corrupted log entry changes nothing unless it still has a valid set.
    control_state state;
    const std::string entry =
        test::BrokenBytes(Encode(test::ReplaceCommand(set, "text")));
    state.Apply(revision{1}, entry);
    const auto held = state.held_set();
    if (held) RC_ASSERT(DecodeDocumentSet(held->encoded_set).has_value());
  });
}

// Guards against sets of older versions that can no longer be read, and against
// changed bytes of sets that use no newer field: nodes compare them.
Test(control, a_set_without_newer_fields_keeps_its_bytes) {
  wire_writer writer;
  writer.Array(4);
  writer.Number(9);
  writer.Write(duration(std::chrono::seconds(15)));
  writer.Array(2);
  writer.Text("desk");
  writer.Text("cards");
  writer.Array(1);
  writer.Array(3);
  writer.Text("route-0");
  writer.Write(endpoint{MakeV4(0xc6120000U), 443});
  writer.Array(2);
  for (const std::uint64_t service : {0U, 1U}) {
    writer.Array(2);
    writer.Number(service);
    writer.Number(1 - service);
  }
  const std::string bytes(writer.bytes());
  const auto read = DecodeDocumentSet(bytes);
  cr_assert(read.has_value());
  cr_expect_eq(read->routes.front().urgency, 3);
  cr_expect(read->cold_limits.empty());
  cr_expect(EncodeDocumentSet(test::MakeSet(9)) == bytes);
}

Test(control, the_largest_set_fits_one_message) {
  document_set set = test::MakeSet(1, 2000);
  for (set_route& route : set.routes) route.name.resize(64, 'x');
  const std::string source(kMaxSetSourceBytes, 'x');
  const std::string command = Encode(test::ReplaceCommand(set, source));
  // The size of a command whose encoded set has the maximum size.
  const std::size_t largest =
      command.size() - EncodeDocumentSet(set).size() + kMaxEncodedSetBytes;
  cr_expect(largest <= kMaxCommandBytes);

  consensus_message message;
  append_request append;
  append.entries.push_back({revision{1}, {}, entry_kind::kCommand, command});
  append.entries[0].payload.resize(kMaxCommandBytes, 'x');
  message.body = append;
  const std::string bytes = EncodeConsensusMessage(message);
  cr_expect(bytes.size() <= kMaxFrameBytes);
  failure error;
  cr_expect(DecodeConsensusMessage(bytes, &error).has_value());

  control_state state;
  state.Apply(revision{1}, command);
  cr_assert(state.held_set() != nullptr);
  cr_expect(state.held_set()->source_text == source);
  control_state restored;
  cr_expect(restored.Restore(state.Snapshot(), &error));
  cr_expect(restored.held_set()->source_text == source);

  // A set above the maximum encoded size is reported as a fault.
  std::vector<failure> faults;
  cr_expect(CheckDocumentSet(set, &faults));
  set.routes[0].name.resize(kMaxEncodedSetBytes, 'x');
  cr_expect(!CheckDocumentSet(set, &faults));
  cr_expect(faults.front().code == result_code::kSetInvalid);
}

// --- The control state ---

// Keeps the last outcome.
class outcome_recorder : public control_listener {
 public:
  void OnApplied(const command_outcome& outcome,
                 const revision_changes& /*changes*/) override {
    last = outcome;
  }
  command_outcome last;
};

// A set is submitted; expected is which set is held after it.
struct held_row {
  const char* name;
  std::uint64_t version;
  std::uint32_t content;
  bool accepted;
  std::uint64_t held_version;
  std::uint32_t held_content;
};

const std::vector<held_row> kHeldRows{
    {"the first, at any version", 40, 0, true, 40, 0},
    {"a resend", 40, 0, false, 40, 0},
    {"other content under the held version", 40, 1, false, 40, 0},
    {"an older version", 39, 2, false, 40, 0},
    {"a higher one, with a gap", 52, 3, true, 52, 3},
    {"a resend of a superseded version", 40, 0, false, 52, 3},
};

Test(control, the_highest_set_is_held) {
  outcome_recorder recorder;
  control_state state(&recorder);
  std::uint64_t at = 0;
  for (const held_row& row : kHeldRows) {
    const document_set set = test::MakeSet(row.version, 1, row.content);
    state.Apply(revision{++at},
                Encode(test::ReplaceCommand(set, test::SourceOf(set))));
    cr_expect(recorder.last.code == result_code::kOk, "%s", row.name);
    cr_expect(recorder.last.set_accepted == row.accepted, "%s", row.name);
    cr_expect(recorder.last.set_version == row.held_version, "%s", row.name);
    const document_set held =
        test::MakeSet(row.held_version, 1, row.held_content);
    cr_expect(state.held_set()->source_text == test::SourceOf(held), "%s",
              row.name);
    cr_expect(state.held_set()->encoded_set == EncodeDocumentSet(held), "%s",
              row.name);
  }
  // An encoded set whose version differs from the command's is refused.
  control_command command = test::ReplaceCommand(test::MakeSet(60), "text");
  std::get<replace_document_set>(command.body).version = 61;
  state.Apply(revision{++at}, Encode(command));
  cr_expect(recorder.last.code == result_code::kCommandMalformed);
  cr_expect(state.held_set()->version == 52);
}

Test(control, snapshots_carry_the_set) {
  control_state state;
  // Snapshots of older formats can still be restored. Format 3 ends before the
  // placement rules, format 2 before the known nodes, format 1 before the
  // document set.
  const std::string no_rules("\xc4\x04\x93\x00\x90\x90", 6);
  const std::string no_nodes("\x92\x00\x90", 3);
  std::string old = state.Snapshot();
  cr_assert(old[0] == '\x99' && old[1] == 4);
  cr_assert(old.substr(old.size() - no_rules.size()) == no_rules);
  old.resize(old.size() - no_rules.size());
  control_state restored;
  failure error;
  old[0] = '\x98';
  old[1] = 3;
  cr_expect(restored.Restore(old, &error), "%s", error.reason.c_str());
  cr_expect(restored.Snapshot() == state.Snapshot());
  cr_assert(old.substr(old.size() - no_nodes.size()) == no_nodes);
  old.resize(old.size() - no_nodes.size());
  cr_assert(old.back() == '\x90');
  old[0] = '\x97';
  old[1] = 2;
  cr_expect(restored.Restore(old, &error), "%s", error.reason.c_str());
  cr_expect(restored.Snapshot() == state.Snapshot());
  old[0] = '\x96';
  old[1] = 1;
  old.pop_back();
  cr_expect(restored.Restore(old, &error), "%s", error.reason.c_str());
  cr_expect(restored.Snapshot() == state.Snapshot());

  for (std::uint64_t version = 1; version <= 300; ++version) {
    state.Apply(revision{version},
                Encode(test::ReplaceCommand(
                    test::MakeSet(version, 200),
                    std::string(256 * 1024, static_cast<char>(version)))));
  }
  // A snapshot has only the newest set.
  cr_expect(state.Snapshot().size() < 300 * 1024);
  cr_expect(restored.Restore(state.Snapshot(), &error));
  cr_expect(restored.Snapshot() == state.Snapshot());
  cr_expect(restored.held_set()->version == 300);
  cr_expect(restored.held_set()->accepted.value == 300);

  test::CheckProperty("a malformed snapshot keeps the state", [&]() {
    control_state other;
    other.Apply(revision{1},
                Encode(test::ReplaceCommand(test::MakeSet(5), "")));
    const std::string before = other.Snapshot();
    failure reason;
    if (!other.Restore(test::BrokenBytes(before), &reason)) {
      RC_ASSERT(other.Snapshot() == before);
    } else if (other.held_set() != nullptr) {
      RC_ASSERT(DecodeDocumentSet(other.held_set()->encoded_set).has_value());
    }
  });
}

}  // namespace
}  // namespace tamaracklatch
