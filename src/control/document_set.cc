// Checks and encoding of document sets.
#include "tamaracklatch/control/document_set.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>

#include "control/set_route_codec.h"
#include "tamaracklatch/transport/wire.h"

namespace tamaracklatch {
namespace {

// Adds every fault of one set to `failures`.
class set_checker {
 public:
  set_checker(const document_set& set, std::vector<failure>* failures)
      : set_(set),
        failures_(failures),
        service_indexes_(IndexServices(set.services)) {}

  void Check() {
    if (set_.idle_timeout < duration::zero())
      Fail("idle_timeout", "is below 0");
    for (std::size_t i = 0; i < set_.routes.size(); ++i) CheckRoute(i);
    CheckColdLimits();
  }

 private:
  void Fail(const std::string& path, const std::string& reason) {
    failures_->push_back(
        {result_code::kSetInvalid, fmt::format("{}: {}", path, reason)});
  }

  void CheckRoute(std::size_t index) {
    const set_route& route = set_.routes[index];
    const std::string path = fmt::format("routes[{}]", index);
    const auto [first, is_new] = routes_.emplace(route.where, index);
    if (!is_new) {
      Fail(path + ".where",
           fmt::format("{} is already the address of routes[{}]",
                       ToString(route.where), first->second));
    }
    if (route.urgency > kMaxUrgency)
      Fail(path + ".urgency", fmt::format("is above {}", kMaxUrgency));
    if (route.target_latency < duration::zero())
      Fail(path + ".target_latency", "is below 0");
    bool has_weight = false;
    for (std::size_t i = 0; i < route.shares.size(); ++i) {
      const service_share& share = route.shares[i];
      has_weight = has_weight || share.weight > 0;
      if (service_indexes_.count(share.service) != 0) continue;
      Fail(fmt::format("{}.shares[{}].service", path, i),
           fmt::format("\"{}\" is not one of the services", share.service));
    }
    if (!has_weight) Fail(path + ".shares", "no share has a weight");
  }

  void CheckColdLimits() {
    const auto& limits = set_.cold_limits;
    for (std::size_t i = 0; i < limits.size(); ++i) {
      const std::string path = fmt::format("cold_limits[{}]", i);
      const double limit = limits[i].openings_per_second;
      if (!std::isfinite(limit) || limit <= 0.0)
        Fail(path, "is not a number above 0");
      if (service_indexes_.count(limits[i].service) == 0) {
        Fail(path, fmt::format("\"{}\" is not one of the services",
                               limits[i].service));
      }
      if (i > 0 && !(limits[i - 1].service < limits[i].service))
        Fail(path,
             "is not in the order of the services' names, or named twice");
    }
    // With the longest revision, as the control state checks it.
    placement_rules rules;
    rules.revision = std::numeric_limits<std::uint64_t>::max();
    rules.cold_limits = limits;
    const std::size_t bytes = EncodePlacementRules(rules).size();
    if (bytes > kMaxEncodedRulesBytes) {
      Fail("cold_limits",
           fmt::format("{} bytes encoded, at most {} are allowed", bytes,
                       kMaxEncodedRulesBytes));
    }
  }

  const document_set& set_;
  std::vector<failure>* failures_;
  service_indexes service_indexes_;
  std::map<endpoint, std::size_t> routes_;  // indexes by address
};

// The nearest double above a whole number, or the largest double that is not a
// whole number.
double WithFraction(double whole) {
  constexpr double kLargestFraction = 4503599627370495.5;  // 2^52 - 0.5
  const double next =
      std::nextafter(whole, std::numeric_limits<double>::infinity());
  return std::min(next, kLargestFraction);
}

}  // namespace

bool CheckDocumentSet(const document_set& set, std::vector<failure>* failures) {
  const std::size_t faults_before = failures->size();
  set_checker(set, failures).Check();
  if (failures->size() != faults_before) return false;
  const std::size_t bytes = EncodeDocumentSet(set).size();
  if (bytes <= kMaxEncodedSetBytes) return true;
  failures->push_back(
      {result_code::kSetInvalid,
       fmt::format("the set: {} bytes encoded, at most {} are allowed", bytes,
                   kMaxEncodedSetBytes)});
  return false;
}

document_set ToLogForm(document_set set) {
  for (cold_limit& limit : set.cold_limits) {
    double& value = limit.openings_per_second;
    if (value == std::trunc(value)) value = WithFraction(value);
  }
  return set;
}

std::string EncodeDocumentSet(const document_set& set) {
  const service_indexes indexes = IndexServices(set.services);
  wire_writer writer;
  writer.Array(set.cold_limits.empty() ? 4 : 5);
  writer.Number(set.version);
  writer.Write(set.idle_timeout);
  writer.Array(set.services.size());
  for (const std::string& service : set.services) writer.Text(service);
  writer.Array(set.routes.size());
  for (const set_route& route : set.routes) WriteRoute(route, indexes, &writer);
  if (!set.cold_limits.empty()) WriteColdLimits(set.cold_limits, &writer);
  return std::string(writer.bytes());
}

std::optional<document_set> DecodeDocumentSet(std::string_view bytes) {
  wire_limits limits;
  limits.max_bytes = kMaxEncodedSetBytes;
  limits.max_elements = kMaxEncodedSetBytes;
  limits.max_text = kMaxEncodedSetBytes;
  wire_reader reader(bytes, limits);
  document_set set;
  const std::size_t elements = reader.Array();
  set.version = reader.Number();
  reader.Read(&set.idle_timeout);
  const std::size_t services = reader.Array();
  for (std::size_t i = 0; i < services && reader.ok(); ++i)
    set.services.push_back(reader.Text());
  reader.Leave();
  const std::size_t routes = reader.Array();
  for (std::size_t i = 0; i < routes && reader.ok(); ++i) {
    const std::size_t route_elements = reader.Array();
    set.routes.push_back(ReadRoute(set.services, route_elements, &reader));
  }
  reader.Leave();
  if (elements > 4) set.cold_limits = ReadColdLimits(&reader);
  reader.Leave();
  std::vector<failure> failures;
  if (!reader.ok() || !CheckDocumentSet(set, &failures)) return std::nullopt;
  return set;
}

}  // namespace tamaracklatch
