// Parsing, validation and serialization of the service document.
#include "tamaracklatch/document/service_document.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>

#include "core/checked_json.h"
#include "tamaracklatch/core/hash.h"

namespace tamaracklatch {
namespace {

constexpr std::size_t kMaxNameLength = 64;  // characters of a service or class
constexpr std::size_t kMaxAddresses = 16;   // of one service
constexpr std::size_t kMaxClasses = 32;     // of one service
// JSON parsers that use doubles represent integers exactly up to 2^53.
constexpr std::uint64_t kMaxVersion = 1ULL << 53U;
constexpr std::uint64_t kMaxWeight = 1000;  // of one share
constexpr std::uint64_t kMaxLimitSeconds = 30 * 86400;
// Requests waiting at one target daemon.
constexpr std::uint64_t kMaxQueue = 100000;
// Requests of one caller at one target daemon.
constexpr std::uint64_t kMaxCallerRequests = 10000;
constexpr std::uint64_t kMaxTimeoutMilliseconds = 3600 * 1000;
constexpr std::uint64_t kMaxUrgency = 7;  // least urgent, as in RFC 9218
constexpr double kShareTolerance = 1e-9;  // for rounding errors of the sum

struct port_kind_name {
  port_kind kind;
  ip_protocol protocol;
  const char* name;
};

// Suffixes of an address, after the slash.
constexpr std::array<port_kind_name, 4> kPortKinds{{
    {port_kind::kUdpDatagram, ip_protocol::kUdp, "udp"},
    {port_kind::kTcpRelay, ip_protocol::kTcp, "tcp"},
    {port_kind::kEncapsulated, ip_protocol::kTcp, "encapsulated-tcp"},
    {port_kind::kEncapsulated, ip_protocol::kUdp, "encapsulated-udp"},
}};

bool IsName(const std::string& text) {
  const auto allowed = [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           (c >= '0' && c <= '9') || c == '-' || c == '_';
  };
  return !text.empty() && text.size() <= kMaxNameLength &&
         std::all_of(text.begin(), text.end(), allowed);
}

std::string ReadName(checked_json* reader, const std::string& key) {
  std::string name = reader->Text(key);
  if (reader->Has(key) && !IsName(name)) {
    reader->Fail(
        key, result_code::kDocumentOutOfRange,
        fmt::format("\"{}\" is not 1 to {} letters, digits, '-' or '_'", name,
                    kMaxNameLength));
  }
  return name;
}

std::optional<service_address> ReadAddress(const std::string& text,
                                           failure* last_failure) {
  const std::size_t slash = text.rfind('/');
  const std::string kind =
      slash == std::string::npos ? "" : text.substr(slash + 1);
  const auto found = std::find_if(
      kPortKinds.begin(), kPortKinds.end(),
      [&](const port_kind_name& candidate) { return kind == candidate.name; });
  if (found == kPortKinds.end()) {
    SetFailure(last_failure, result_code::kDocumentOutOfRange,
               fmt::format("\"{}\" does not end in /udp, /tcp, "
                           "/encapsulated-tcp or /encapsulated-udp",
                           text));
    return std::nullopt;
  }
  const auto where = ParseEndpoint(text.substr(0, slash), last_failure);
  if (!where) return std::nullopt;
  if (where->port == 0) {
    SetFailure(last_failure, result_code::kDocumentOutOfRange,
               fmt::format("\"{}\": the port is 0", text));
    return std::nullopt;
  }
  return service_address{*where, found->protocol, found->kind};
}

std::string WriteAddress(const service_address& address) {
  const auto found =
      std::find_if(kPortKinds.begin(), kPortKinds.end(),
                   [&](const port_kind_name& candidate) {
                     return candidate.kind == address.kind &&
                            candidate.protocol == address.protocol;
                   });
  return fmt::format("{}/{}", ToString(address.where), found->name);
}

void ReadAddresses(checked_json* reader, service_document* document) {
  const std::vector<std::string> texts = reader->Texts("addresses", true);
  if (texts.size() > kMaxAddresses) {
    reader->Fail("addresses", result_code::kDocumentTooLarge,
                 fmt::format("{} addresses, at most {} are allowed",
                             texts.size(), kMaxAddresses));
    return;
  }
  if (reader->Has("addresses") && texts.empty()) {
    reader->Fail("addresses", result_code::kDocumentMissingKey,
                 "contains no address");
  }
  for (std::size_t i = 0; i < texts.size(); ++i) {
    const std::string key = fmt::format("addresses[{}]", i);
    failure error;
    const auto address = ReadAddress(texts[i], &error);
    if (!address) {
      reader->Fail(key, error.code, error.reason);
      continue;
    }
    const auto& known = document->addresses;
    const bool is_duplicate = std::any_of(
        known.begin(), known.end(), [&](const service_address& other) {
          return other.where == address->where &&
                 other.protocol == address->protocol;
        });
    if (is_duplicate)
      reader->Fail(key, result_code::kDocumentDuplicate,
                   fmt::format("\"{}\" is listed twice", texts[i]));
    document->addresses.push_back(*address);
  }
}

void ReadEligibility(checked_json* reader, service_document* document) {
  auto object = reader->Object("eligible");
  if (!object) return;
  const std::vector<std::string> ranges = object->Texts("ranges", false);
  for (std::size_t i = 0; i < ranges.size(); ++i) {
    failure error;
    const auto range = ParseIpRange(ranges[i], &error);
    if (range) {
      document->eligible.ranges.push_back(*range);
    } else {
      object->Fail(fmt::format("ranges[{}]", i), error.code, error.reason);
    }
  }
  document->eligible.zones = object->Texts("zones", false);
  object->Finish();
}

void ReadShares(checked_json* reader, service_document* document) {
  for (checked_json& object : reader->Objects("shares", false)) {
    traffic_share share;
    share.zone = object.Text("zone", "");
    const std::string range = object.Text("range", "");
    failure error;
    if (!range.empty()) share.range = ParseIpRange(range, &error);
    if (!range.empty() && !share.range)
      object.Fail("range", error.code, error.reason);
    share.weight =
        static_cast<std::uint32_t>(object.Number("weight", 0, kMaxWeight));
    object.Finish();
    document->shares.push_back(share);
  }
}

void ReadFlowLimits(checked_json* reader, service_document* document) {
  auto object = reader->Object("flows");
  if (!object) return;
  flow_limits& limits = document->flows;
  const auto read_seconds = [&](const char* key,
                                std::chrono::seconds fallback) {
    return std::chrono::seconds(
        object->Number(key, 1, kMaxLimitSeconds, fallback.count()));
  };
  limits.drain_limit = read_seconds("drain_limit_seconds", limits.drain_limit);
  limits.idle_limit = read_seconds("idle_limit_seconds", limits.idle_limit);
  limits.stuck_limit = read_seconds("stuck_limit_seconds", limits.stuck_limit);
  object->Finish();
}

request_class ReadClass(checked_json* object) {
  request_class result;
  result.name = ReadName(object, "name");
  result.guaranteed_share =
      object->Real("guaranteed_share", 0.0, 1.0, result.guaranteed_share);
  result.urgency = static_cast<std::uint8_t>(
      object->Number("urgency", 0, kMaxUrgency, result.urgency));
  result.queue_limit = static_cast<std::uint32_t>(
      object->Number("queue_limit", 0, kMaxQueue, result.queue_limit));
  result.caller_limit = static_cast<std::uint32_t>(object->Number(
      "caller_limit", 1, kMaxCallerRequests, result.caller_limit));
  result.repeatable = object->Flag("repeatable", result.repeatable);
  result.default_timeout = std::chrono::milliseconds(
      object->Number("default_timeout_milliseconds", 1, kMaxTimeoutMilliseconds,
                     result.default_timeout.count()));
  object->Finish();
  return result;
}

void ReadClasses(checked_json* reader, service_document* document) {
  std::vector<checked_json> classes = reader->Objects("classes", false);
  if (classes.size() > kMaxClasses) {
    reader->Fail("classes", result_code::kDocumentTooLarge,
                 fmt::format("{} classes, at most {} are allowed",
                             classes.size(), kMaxClasses));
    return;
  }
  double sum = 0.0;
  for (std::size_t i = 0; i < classes.size(); ++i) {
    const request_class found = ReadClass(&classes[i]);
    const bool is_duplicate = std::any_of(
        document->classes.begin(), document->classes.end(),
        [&](const request_class& other) { return other.name == found.name; });
    if (is_duplicate) {
      classes[i].Fail("name", result_code::kDocumentDuplicate,
                      fmt::format("\"{}\" is defined twice", found.name));
    }
    sum += found.guaranteed_share;
    document->classes.push_back(found);
  }
  if (sum > 1.0 + kShareTolerance) {
    reader->Fail(
        "classes", result_code::kDocumentOutOfRange,
        fmt::format("the guaranteed shares add up to {}, more than 1", sum));
  }
}

nlohmann::json WriteShare(const traffic_share& share) {
  nlohmann::json result{{"weight", share.weight}};
  if (!share.zone.empty()) result["zone"] = share.zone;
  if (share.range) result["range"] = ToString(*share.range);
  return result;
}

nlohmann::json WriteClass(const request_class& kind) {
  return {{"name", kind.name},
          {"guaranteed_share", kind.guaranteed_share},
          {"urgency", kind.urgency},
          {"queue_limit", kind.queue_limit},
          {"caller_limit", kind.caller_limit},
          {"repeatable", kind.repeatable},
          {"default_timeout_milliseconds", kind.default_timeout.count()}};
}

bool Matches(const traffic_share& share, const zone_name& zone,
             const ip_address& address) {
  const bool zone_matches = share.zone.empty() || share.zone == zone;
  return zone_matches && (!share.range || share.range->Contains(address));
}

}  // namespace

std::optional<service_document> ParseDocument(std::string_view text,
                                              std::vector<failure>* failures) {
  const std::size_t faults_before = failures->size();
  if (text.size() > kMaxDocumentBytes) {
    failures->push_back({result_code::kDocumentTooLarge,
                         fmt::format("{} bytes, at most {} are allowed",
                                     text.size(), kMaxDocumentBytes)});
    return std::nullopt;
  }
  const auto json = ParseJsonWithComments(text, failures);
  if (!json) return std::nullopt;
  service_document document;
  checked_json reader(*json, "", failures);
  document.service = ReadName(&reader, "service");
  document.version = reader.Number("version", 1, kMaxVersion);
  ReadAddresses(&reader, &document);
  ReadEligibility(&reader, &document);
  ReadShares(&reader, &document);
  ReadFlowLimits(&reader, &document);
  ReadClasses(&reader, &document);
  reader.Finish();
  if (failures->size() != faults_before) return std::nullopt;
  return document;
}

std::string CanonicalText(const service_document& document) {
  nlohmann::json result{
      {"service", document.service},
      {"version", document.version},
      {"addresses", nlohmann::json::array()},
      {"shares", nlohmann::json::array()},
      {"classes", nlohmann::json::array()},
      {"eligible",
       {{"ranges", nlohmann::json::array()},
        {"zones", document.eligible.zones}}},
      {"flows",
       {{"drain_limit_seconds", document.flows.drain_limit.count()},
        {"idle_limit_seconds", document.flows.idle_limit.count()},
        {"stuck_limit_seconds", document.flows.stuck_limit.count()}}}};
  for (const service_address& address : document.addresses)
    result["addresses"].push_back(WriteAddress(address));
  for (const ip_range& range : document.eligible.ranges)
    result["eligible"]["ranges"].push_back(ToString(range));
  for (const traffic_share& share : document.shares)
    result["shares"].push_back(WriteShare(share));
  for (const request_class& kind : document.classes)
    result["classes"].push_back(WriteClass(kind));
  return result.dump();
}

std::uint64_t DocumentHash(const service_document& document) {
  return HashText(CanonicalText(document));
}

std::uint32_t TargetWeight(const service_document& document,
                           const zone_name& zone, const ip_address& address,
                           std::uint32_t capacity) {
  for (const traffic_share& share : document.shares) {
    if (Matches(share, zone, address)) return share.weight * capacity;
  }
  return document.shares.empty() ? capacity : 0;
}

bool IsEligible(const service_document& document, const zone_name& zone,
                const ip_address& address) {
  const eligibility& allowed = document.eligible;
  const bool zone_allowed =
      allowed.zones.empty() ||
      std::find(allowed.zones.begin(), allowed.zones.end(), zone) !=
          allowed.zones.end();
  const bool range_allowed =
      allowed.ranges.empty() ||
      std::any_of(
          allowed.ranges.begin(), allowed.ranges.end(),
          [&](const ip_range& range) { return range.Contains(address); });
  return zone_allowed && range_allowed;
}

}  // namespace tamaracklatch
