// Parses a document set key by key.
#include "tamaracklatch/control/document_set_text.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <set>
#include <utility>

#include "core/checked_json.h"

namespace tamaracklatch {
namespace {

// Every JSON reader keeps whole numbers up to here exact.
constexpr std::uint64_t kMaxVersion = 1ULL << 53U;
constexpr std::uint64_t kMaxWeight = 1'000'000;  // of one share
constexpr std::size_t kMaxNameBytes = 256;       // of a service or route
constexpr double kMaxOpeningsPerSecond = 1e9;    // of a cold limit
constexpr std::uint64_t kMaxTimeoutUnits = 1'000'000'000;  // of any unit

struct time_unit {
  std::string_view name;
  duration length;
};

constexpr std::array<time_unit, 4> kTimeUnits{{
    {"ms", std::chrono::milliseconds(1)},
    {"s", std::chrono::seconds(1)},
    {"m", std::chrono::minutes(1)},
    {"h", std::chrono::hours(1)},
}};

// Parses a whole number with a unit, such as "15s"; nothing above
// kMaxTimeoutUnits.
std::optional<duration> ParseDuration(std::string_view text) {
  std::uint64_t number = 0;
  std::size_t digits = 0;
  while (digits < text.size() && text[digits] >= '0' && text[digits] <= '9') {
    number = number * 10 + static_cast<std::uint64_t>(text[digits] - '0');
    if (number > kMaxTimeoutUnits) return std::nullopt;
    ++digits;
  }
  if (digits == 0) return std::nullopt;
  for (const time_unit& unit : kTimeUnits) {
    if (text.substr(digits) == unit.name)
      return unit.length * static_cast<duration::rep>(number);
  }
  return std::nullopt;
}

bool IsValidName(const std::string& text) {
  return !text.empty() && text.size() <= kMaxNameBytes;
}

constexpr const char* kBadName = "is not 1 to 256 bytes long";

void ReadServices(checked_json* reader, document_set* set) {
  set->services = reader->Texts("services", true);
  std::set<std::string> known;
  for (std::size_t i = 0; i < set->services.size(); ++i) {
    const std::string& service = set->services[i];
    const std::string key = fmt::format("services[{}]", i);
    if (!IsValidName(service))
      reader->Fail(key, result_code::kDocumentOutOfRange, kBadName);
    if (!known.insert(service).second) {
      reader->Fail(key, result_code::kDocumentDuplicate,
                   fmt::format("\"{}\" is named twice", service));
    }
  }
}

// The duration under an optional key; 0 where it is absent.
duration ReadDuration(checked_json* reader, const char* key) {
  const std::string text = reader->Text(key, "0s");
  const auto value = ParseDuration(text);
  if (!value) {
    reader->Fail(
        key, result_code::kDocumentOutOfRange,
        fmt::format("\"{}\" is not a whole number with ms, s, m or h", text));
  }
  return value.value_or(duration::zero());
}

set_route ReadRoute(checked_json* reader, std::uint32_t index) {
  set_route route;
  // Placeholder until the address is parsed. It differs for each route, so that
  // two routes with unreadable addresses aren't reported as duplicates.
  route.where = {MakeV4(index), 0};
  route.name = reader->Text("name");
  if (reader->Has("name") && !IsValidName(route.name))
    reader->Fail("name", result_code::kDocumentOutOfRange, kBadName);
  const std::string where = reader->Text("where");
  failure error;
  const auto address = ParseEndpoint(where, &error);
  if (address && address->port != 0) {
    route.where = *address;
  } else if (reader->Has("where")) {
    reader->Fail(
        "where", result_code::kDocumentOutOfRange,
        address ? fmt::format("\"{}\": the port is 0", where) : error.reason);
  }
  for (checked_json& inner : reader->Objects("shares", true)) {
    service_share share;
    share.service = inner.Text("service");
    share.weight =
        static_cast<std::uint32_t>(inner.Number("weight", 0, kMaxWeight, 1));
    inner.Finish();
    route.shares.push_back(std::move(share));
  }
  route.urgency = static_cast<std::uint8_t>(
      reader->Number("urgency", 0, kMaxUrgency, route.urgency));
  route.target_latency = ReadDuration(reader, "target_latency");
  reader->Finish();
  return route;
}

void ReadColdLimits(checked_json* reader, document_set* set) {
  for (checked_json& inner : reader->Objects("cold_limits", false)) {
    cold_limit limit;
    limit.service = inner.Text("service");
    limit.openings_per_second =
        inner.Real("openings_per_second", 0.0, kMaxOpeningsPerSecond);
    inner.Finish();
    // 0 means no limit, as an absent one does.
    if (limit.openings_per_second > 0.0)
      set->cold_limits.push_back(std::move(limit));
  }
  std::sort(set->cold_limits.begin(), set->cold_limits.end(),
            [](const cold_limit& left, const cold_limit& right) {
              return left.service < right.service;
            });
}

}  // namespace

std::optional<document_set> ParseDocumentSet(std::string_view text,
                                             std::vector<failure>* failures) {
  const std::size_t faults_before = failures->size();
  if (text.size() > kMaxSetSourceBytes) {
    failures->push_back({result_code::kDocumentTooLarge,
                         fmt::format("{} bytes, at most {} are allowed",
                                     text.size(), kMaxSetSourceBytes)});
    return std::nullopt;
  }
  const auto json = ParseJsonWithComments(text, failures);
  if (!json) return std::nullopt;
  document_set set;
  checked_json reader(*json, "", failures);
  set.version = reader.Number("version", 1, kMaxVersion);
  ReadServices(&reader, &set);
  const bool services_are_valid = failures->size() == faults_before;
  std::uint32_t index = 0;
  for (checked_json& inner : reader.Objects(kSetRoutesKey, true))
    set.routes.push_back(ReadRoute(&inner, index++));
  ReadColdLimits(&reader, &set);
  set.idle_timeout = ReadDuration(&reader, "idle_timeout");
  reader.Finish();
  if (services_are_valid) CheckDocumentSet(set, failures);
  if (failures->size() != faults_before) return std::nullopt;
  return set;
}

}  // namespace tamaracklatch
