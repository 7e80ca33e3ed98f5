// Tests that all voters come to the same result for a log entry with cold
// limits, whichever release wrote it and whichever applies it.
#include <cfloat>
#include <msgpack.hpp>
#include <string>
#include <variant>
#include <vector>

#include "control/document_sets.h"
#include "support/property.h"
#include "tamaracklatch/control/control_state.h"
#include "tamaracklatch/control/document_set_handler.h"
#include "tamaracklatch/control/set_delta.h"
#include "tamaracklatch/transport/wire.h"

namespace tamaracklatch {
namespace {

document_set SetWithLimit(std::uint64_t version, double limit) {
  document_set set = test::MakeSet(version);
  set.cold_limits = {{"cards", limit}};
  return set;
}

// The command that a leader proposes for the set; empty if it refuses the set.
std::string ProposedCommand(const document_set& set) {
  const control_state state;
  document_set_handler handler({}, &state, 1);
  const auto actions =
      handler.Replace(1, {set, "text", "operator"}, {true, ""}, {});
  cr_assert_eq(actions.size(), 1U);
  const auto* proposal = std::get_if<propose_command>(&actions.front());
  return proposal == nullptr ? std::string() : proposal->command;
}

// A number as earlier releases write it: an integer where it is whole.
std::string NumberOfEarlierRelease(double value) {
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, value);
  return {buffer.data(), buffer.size()};
}

std::string Real(double value) {
  wire_writer writer;
  writer.Real(value);
  return std::string(writer.bytes());
}

const std::vector<double> kLimits{
    5.0,     1.0,          2.0,           127.0,     128.0,       1e9,
    0x1p31,  0x1p32,       0x1p52,        0x1p53,    1e19,        0x1p63,
    0x1p64,  DBL_MAX,      0x1p52 - 1,    0.5,       2.5,         1e-9,
    DBL_MIN, DBL_TRUE_MIN, 5.0 + 0x1p-50, 1e9 - 0.5, 0x1p52 - 0.5};

// A set whose cold limit is a whole number was refused as malformed by every
// voter, so that no set with it was ever accepted.
Test(cold_limit_log, every_positive_limit_is_accepted) {
  for (const double limit : kLimits) {
    const std::string command = ProposedCommand(SetWithLimit(1, limit));
    control_state state;
    state.Apply(revision{1}, command);
    cr_assert(state.held_set() != nullptr, "%g", limit);
    const double held = state.rules().ColdLimitOf("cards");
    cr_expect(held == limit || (limit >= 0x1p52 && held > 4e15) ||
                  (held > limit && held - limit <= limit * DBL_EPSILON),
              "%g became %.17g", limit, held);
    failure error;
    control_state restored;
    cr_expect(restored.Restore(state.Snapshot(), &error), "%g", limit);
    cr_expect(restored.Snapshot() == state.Snapshot());
    const auto rules =
        DecodePlacementRules(EncodePlacementRules(state.rules()), &error);
    cr_assert(rules.has_value(), "%g", limit);
    cr_expect(rules->ColdLimitOf("cards") == held);
    // A node that has the set before fetches the change alone.
    const std::string& encoded = state.held_set()->encoded_set;
    const auto set = DecodeDocumentSet(encoded);
    cr_assert(set.has_value());
    const std::string delta = EncodeSetDelta(test::MakeSet(0), *set);
    const auto joined = JoinSetDeltas({delta});
    cr_expect(ApplySetDeltas(test::MakeSet(0), joined) == encoded);
  }
}

// While voters of two releases run, an earlier one that holds the limit writes
// the same bytes as a newer one: its snapshots and rules can be read, and both
// find the rules equally long.
Test(cold_limit_log, earlier_releases_encode_what_was_proposed_alike) {
  for (const double limit : kLimits) {
    control_state state;
    state.Apply(revision{1}, ProposedCommand(SetWithLimit(1, limit)));
    const double held = state.rules().ColdLimitOf("cards");
    cr_expect(NumberOfEarlierRelease(held) == Real(held), "%g", limit);
  }
}

// An entry in which an earlier release wrote the limit as an integer was
// refused by the voters that have applied it, so it must be refused on each
// replay.
Test(cold_limit_log, an_integer_limit_stays_refused) {
  for (const double limit : kLimits) {
    const std::string real = Real(limit);
    const std::string earlier = NumberOfEarlierRelease(limit);
    document_set set = SetWithLimit(7, limit);
    std::string encoded = EncodeDocumentSet(set);
    encoded.replace(encoded.rfind(real), real.size(), earlier);
    control_command command = test::ReplaceCommand(set, "text");
    std::get<replace_document_set>(command.body).encoded_set = encoded;
    control_state state;
    const std::string before = state.Snapshot();
    state.Apply(revision{1}, Encode(command));
    const bool accepted = state.held_set() != nullptr;
    cr_expect(accepted == (earlier == real), "%g", limit);
  }
}

// Orders of an operator fill the rules up to the limit of their size. Two
// voters that counted a whole number differently would hold different rules.
Test(cold_limit_log, rules_with_whole_limits_are_as_long_as_with_fractions) {
  for (const double limit : kLimits) {
    control_state whole;
    control_state fraction;
    whole.Apply(revision{1}, ProposedCommand(SetWithLimit(1, limit)));
    fraction.Apply(revision{1}, ProposedCommand(SetWithLimit(1, 0.25)));
    cr_expect_eq(EncodePlacementRules(whole.rules()).size(),
                 EncodePlacementRules(fraction.rules()).size());
  }
}

}  // namespace
}  // namespace tamaracklatch
