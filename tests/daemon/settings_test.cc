// Tests of the programs' settings: every bad setting is refused with its path,
// value, reason and number, and each example loads.
#include "tamaracklatch/daemon/settings.h"

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "support/property.h"
#include "tamaracklatch/document/service_document.h"

namespace tamaracklatch {
namespace {

constexpr const char* kKey =
    "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f";

enum class program : std::uint8_t { kControld, kBalancerd, kTargetd };

nlohmann::json GoodSettings(program which) {
  nlohmann::json result{
      {"name", "p-1"}, {"vm", "vm-1"}, {"zone", "z-1"}, {"link_key", kKey}};
  switch (which) {
    case program::kControld:
      result.update(nlohmann::json::parse(R"({
        "data_folder": "data", "listen_links": "0.0.0.0:7100",
        "listen_http": "127.0.0.1:7101",
        "voters": [{"name": "p-1", "links": "127.0.0.1:7100",
                    "http": "127.0.0.1:7101"}],
        "operators": [{"token": "0123456789abcdef", "services": ["a"]}]})"));
      break;
    case program::kBalancerd:
      result.update(nlohmann::json::parse(R"({
        "listen_http": "127.0.0.1:7201", "packets": "127.0.0.1:7200",
        "control": ["127.0.0.1:7100"]})"));
      break;
    case program::kTargetd:
      result.update(nlohmann::json::parse(R"({
        "service": "a", "capacity": 4, "listen_http": "127.0.0.1:7301",
        "packets": "127.0.0.1:7300", "relay": "127.0.0.1:7302",
        "requests": "127.0.0.1:7303", "target": {"udp": "127.0.0.1:9000"},
        "control": ["127.0.0.1:7100"]})"));
      break;
  }
  return result;
}

bool Accepts(program which, const std::string& text,
             std::vector<failure>* failures) {
  switch (which) {
    case program::kControld:
      return ParseControldSettings(text, failures).has_value();
    case program::kBalancerd:
      return ParseBalancerdSettings(text, failures).has_value();
    case program::kTargetd:
      return ParseTargetdSettings(text, failures).has_value();
  }
  return false;
}

constexpr program kC = program::kControld;
constexpr program kB = program::kBalancerd;
constexpr program kT = program::kTargetd;

// A change to good settings and the fault that it must give.
struct bad_setting {
  program which;
  const char* patch;  // RFC 7396: null removes a key
  result_code code;
  const char* reason_part;
};

const std::vector<bad_setting> kBadSettings{
    // Every process.
    {kC, R"({"name": null})", result_code::kDocumentMissingKey,
     "name: is missing"},
    {kB, R"({"name": "a b"})", result_code::kDocumentOutOfRange,
     "name: \"a b\""},
    {kT, R"({"vm": 7})", result_code::kDocumentWrongType, "vm: 7"},
    {kT, R"({"zone": ""})", result_code::kDocumentOutOfRange, "zone: \"\""},
    {kB, R"({"region": "ü"})", result_code::kDocumentOutOfRange, "region"},
    {kB, R"({"zones": "z"})", result_code::kDocumentUnknownKey, "\"zone\""},
    {kC, R"({"link_key": null})", result_code::kSettingsConflict,
     "link_key_file"},
    {kC, R"({"link_key_file": "f"})", result_code::kSettingsConflict,
     "exactly one"},
    {kB, R"({"link_key": "00"})", result_code::kSettingsKeyMalformed,
     "2 characters"},
    {kB,
     R"({"link_key": "zz0102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f"})",
     result_code::kSettingsKeyMalformed, "hexadecimal"},
    {kB, R"({"log_level": "loud"})", result_code::kDocumentOutOfRange,
     "log_level: \"loud\""},
    {kB, R"({"timeline_file_bytes": 1})", result_code::kDocumentOutOfRange,
     "timeline_file_bytes: 1"},
    // Endpoints.
    {kB, R"({"listen_http": "7201"})", result_code::kBadEndpoint,
     "listen_http: \"7201\""},
    {kB, R"({"listen_http": "127.0.0.1:0"})", result_code::kDocumentOutOfRange,
     "the port is 0"},
    {kB, R"({"packets": "0.0.0.0:7200"})", result_code::kDocumentOutOfRange,
     "wildcard"},
    {kT, R"({"relay": "[::]:7302"})", result_code::kDocumentOutOfRange,
     "wildcard"},
    {kB, R"({"encapsulated": "127.0.0.1:7200"})",
     result_code::kSettingsConflict, "also the port of \"packets\""},
    {kB, R"({"listen_links": "0.0.0.0:7202"})",
     result_code::kDocumentOutOfRange, "listen_links: \"0.0.0.0:7202\""},
    {kB, R"({"control": ["127.0.0.1:0"]})", result_code::kDocumentOutOfRange,
     "control[0]"},
    {kT, R"({"control": ["0.0.0.0:7100"]})", result_code::kDocumentOutOfRange,
     "no place to connect to"},
    {kB, R"({"listen_links": "127.0.0.1:7201"})",
     result_code::kSettingsConflict, "also the port of \"listen_http\""},
    {kC, R"({"listen_http": "127.0.0.1:7100"})", result_code::kSettingsConflict,
     "listen_http"},
    {kT, R"({"relay": "127.0.0.1:7303"})", result_code::kSettingsConflict,
     "requests: \"127.0.0.1:7303\""},
    {kT, R"({"target": {"udp": "127.0.0.1:7300"}})",
     result_code::kSettingsConflict, "target.udp"},
    // The list of control VMs.
    {kB, R"({"control": null})", result_code::kDocumentMissingKey, "control"},
    {kB, R"({"control": []})", result_code::kDocumentMissingKey, "no endpoint"},
    {kT, R"({"control": ["x"]})", result_code::kBadEndpoint, "control[0]"},
    {kT, R"({"control": ["127.0.0.1:1", "127.0.0.1:1"]})",
     result_code::kDocumentDuplicate, "control[1]"},
    {kB, R"({"control": "127.0.0.1:1"})", result_code::kDocumentWrongType,
     "not a list"},
    // Voters.
    {kC, R"({"voters": []})", result_code::kDocumentOutOfRange, "0 voters"},
    {kC, R"({"name": "p-2"})", result_code::kSettingsConflict,
     "\"p-2\", the name of this process"},
    {kC,
     R"({"voters": [{"name": "p-1", "links": "127.0.0.1:7100", "http": "127.0.0.1:7101"},
                    {"name": "p-2", "links": "127.0.0.2:7100", "http": "127.0.0.2:7101"}]})",
     result_code::kDocumentOutOfRange, "2 voters"},
    {kC,
     R"({"voters": [{"name": "p-1", "links": "127.0.0.1:7100", "http": "127.0.0.1:7101"},
                    {"name": "p-1", "links": "127.0.0.2:7100", "http": "127.0.0.2:7101"},
                    {"name": "p-3", "links": "127.0.0.3:7100", "http": "127.0.0.3:7101"}]})",
     result_code::kDocumentDuplicate, "voters[1]"},
    {kC, R"({"listen_links": "127.0.0.1:7110"})",
     result_code::kSettingsConflict, "port 7110"},
    {kC,
     R"({"voters": [{"name": "p-1", "links": "127.0.0.1:7100", "http": "127.0.0.1:7102"}]})",
     result_code::kSettingsConflict, "listen_http: port 7101"},
    {kC,
     R"({"voters": [{"name": "p-1", "link": "127.0.0.1:7100", "http": "127.0.0.1:7101"}]})",
     result_code::kDocumentMissingKey, "voters[0].links"},
    {kC, R"({"data_folder": null})", result_code::kDocumentMissingKey,
     "data_folder"},
    {kB, R"({"data_folder": "d"})", result_code::kDocumentUnknownKey,
     "data_folder"},
    // Operators.
    {kC, R"({"operators": [{"token": "short", "services": ["a"]}]})",
     result_code::kDocumentOutOfRange, "operators[0].token: 5 characters"},
    {kC, R"({"operators": [{"token": "0123456789abcdef", "services": []}]})",
     result_code::kDocumentMissingKey, "operators[0].services"},
    {kC,
     R"({"operators": [{"token": "0123456789abcdef", "services": ["a"]},
                       {"token": "0123456789abcdef", "services": ["b"]}]})",
     result_code::kDocumentDuplicate, "operators[1].token"},
    // Balancer and target daemon.
    {kB, R"({"flow_cache_entries": 3})", result_code::kDocumentOutOfRange,
     "flow_cache_entries: 3"},
    {kT, R"({"capacity": 0})", result_code::kDocumentOutOfRange, "capacity: 0"},
    {kT, R"({"capacity": "4"})", result_code::kDocumentWrongType,
     "\"4\" is not a whole number"},
    {kT, R"({"service": null})", result_code::kDocumentMissingKey, "service"},
    {kT, R"({"target": null})", result_code::kDocumentMissingKey, "target"},
    {kT, R"({"target": {"udp": null}})", result_code::kDocumentMissingKey,
     "names none of"},
    {kT, R"({"target": {"utp": "127.0.0.1:9"}})",
     result_code::kDocumentUnknownKey, "the nearest known key is \"udp\""},
};

Test(settings, each_fault_is_named) {
  for (const bad_setting& row : kBadSettings) {
    nlohmann::json settings = GoodSettings(row.which);
    settings.merge_patch(nlohmann::json::parse(row.patch));
    std::vector<failure> failures;
    cr_expect(!Accepts(row.which, settings.dump(), &failures), "accepted: %s",
              row.patch);
    bool found = false;
    std::string all;
    for (const failure& fault : failures) {
      all += ToString(fault) + "\n";
      found =
          found || (fault.code == row.code &&
                    fault.reason.find(row.reason_part) != std::string::npos);
    }
    cr_expect(found, "%s gave:\n%s", row.patch, all.c_str());
  }
}

Test(settings, good_settings_are_accepted) {
  for (const program which : {kC, kB, kT}) {
    std::vector<failure> failures;
    cr_expect(Accepts(which, GoodSettings(which).dump(), &failures));
    cr_expect(failures.empty());
  }
}

Test(settings, values_are_read) {
  std::vector<failure> failures;
  const auto settings =
      ParseTargetdSettings(GoodSettings(kT).dump(), &failures);
  cr_assert(settings.has_value());
  cr_expect(settings->capacity == 4);
  cr_expect(settings->process.region == "default");
  cr_expect(settings->process.link_key[31] == 0x1f);
  cr_expect(ToString(*settings->target.udp) == "127.0.0.1:9000");
  cr_expect(!settings->target.tcp.has_value());
  cr_expect(settings->process.level == log_level::kInfo);
}

Test(settings, operators_change_their_own_services) {
  const operator_settings one{"t", {"a"}};
  const operator_settings all{"t", {"*"}};
  cr_expect(one.MayChange("a") && !one.MayChange("b"));
  cr_expect(all.MayChange("a") && all.MayChange("b"));
}

// A token or key that is refused must not appear in a log.
Test(settings, faults_never_quote_a_secret) {
  nlohmann::json settings = GoodSettings(kC);
  settings["operators"][0]["token"] = "hush-hush";
  settings["link_key"] = "c0ffee";
  std::vector<failure> failures;
  cr_expect(!Accepts(kC, settings.dump(), &failures));
  cr_expect(failures.size() == 2);
  for (const failure& fault : failures) {
    cr_expect(fault.reason.find("hush") == std::string::npos);
    cr_expect(fault.reason.find("c0ffee") == std::string::npos);
  }
}

Test(settings, arbitrary_values_never_crash) {
  const std::vector<const char*> keys{"name",   "link_key", "control",
                                      "voters", "target",   "operators"};
  test::CheckProperty("arbitrary values", [&](const std::string& text) {
    for (const char* key : keys) {
      nlohmann::json settings = GoodSettings(kT);
      settings[key] = text;
      const std::string dumped =
          settings.dump(-1, ' ', true, nlohmann::json::error_handler_t::ignore);
      std::vector<failure> failures;
      const bool accepted = Accepts(kT, dumped, &failures);
      RC_ASSERT(accepted == failures.empty());
    }
  });
}

Test(settings, a_missing_file_is_named) {
  std::vector<failure> failures;
  cr_expect(!LoadTargetdSettings("no/such/file.json", &failures));
  cr_assert(failures.size() == 1);
  cr_expect(failures[0].code == result_code::kSettingsFileUnreadable);
  cr_expect(failures[0].reason.find("no/such/file.json") != std::string::npos);
}

// The examples name a key file that every installation makes for itself.
Test(settings, a_missing_key_file_is_named) {
  std::vector<failure> failures;
  cr_expect(
      !LoadBalancerdSettings("../examples/phewa/balancerd-1.json", &failures));
  cr_assert(failures.size() == 1);
  cr_expect(failures[0].code == result_code::kSettingsFileUnreadable);
  cr_expect(failures[0].reason.find("../examples/phewa/link.key") !=
            std::string::npos);
}

struct example {
  const char* path;
  program which;
};

const std::vector<example> kExampleSettings{
    {"puthenveettil/controld-1.json", kC},
    {"puthenveettil/balancerd-1.json", kB},
    {"puthenveettil/targetd-booking-desk-1.json", kT},
    {"puthenveettil/targetd-card-archive-1.json", kT},
    {"phewa/controld-1.json", kC},
    {"phewa/balancerd-1.json", kB},
    {"phewa/targetd-coordination-1.json", kT},
    {"phewa/targetd-compost-documents-1.json", kT},
};

Test(settings, examples_load) {
  for (const example& row : kExampleSettings) {
    const auto text = ReadFile(std::string("../examples/") + row.path, nullptr);
    cr_assert(text.has_value(), "%s", row.path);
    std::vector<failure> failures;
    cr_expect(Accepts(row.which, *text, &failures), "%s: %s", row.path,
              failures.empty() ? "" : ToString(failures[0]).c_str());
  }
}

struct example_document {
  const char* path;
  const char* settings;  // of a target daemon of the service
  std::size_t zones;
};

const std::vector<example_document> kExampleDocuments{
    {"puthenveettil/booking-desk.json",
     "puthenveettil/targetd-booking-desk-1.json", 4},
    {"puthenveettil/card-archive.json",
     "puthenveettil/targetd-card-archive-1.json", 4},
    {"phewa/coordination.json", "phewa/targetd-coordination-1.json", 3},
    {"phewa/compost-documents.json", "phewa/targetd-compost-documents-1.json",
     3},
};

Test(settings, example_documents_allow_their_targets) {
  for (const example_document& row : kExampleDocuments) {
    std::vector<failure> failures;
    const auto text = ReadFile(std::string("../examples/") + row.path, nullptr);
    cr_assert(text.has_value(), "%s", row.path);
    const auto document = ParseDocument(*text, &failures);
    cr_assert(document.has_value(), "%s: %s", row.path,
              failures.empty() ? "" : ToString(failures[0]).c_str());
    cr_expect(document->eligible.zones.size() == row.zones);
    const auto settings_text =
        ReadFile(std::string("../examples/") + row.settings, nullptr);
    cr_assert(settings_text.has_value());
    const auto target = ParseTargetdSettings(*settings_text, &failures);
    cr_assert(target.has_value());
    cr_expect(target->service == document->service);
    cr_expect(target->capacity == 4);
    cr_expect(
        IsEligible(*document, target->process.zone, target->packets.address));
  }
}

}  // namespace
}  // namespace tamaracklatch
