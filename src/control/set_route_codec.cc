// Writes and reads the routes and cold limits of a document set.
#include "control/set_route_codec.h"

#include <cassert>
#include <cstdint>
#include <utility>

namespace tamaracklatch {

service_indexes IndexServices(const std::vector<std::string>& services) {
  service_indexes indexes;
  for (std::size_t i = 0; i < services.size(); ++i)
    indexes.emplace(services[i], i);
  return indexes;
}

void WriteRoute(const set_route& route, const service_indexes& indexes,
                wire_writer* writer) {
  const set_route defaults;
  const bool is_long = route.urgency != defaults.urgency ||
                       route.target_latency != defaults.target_latency;
  writer->Array(is_long ? kLongRouteElements : kRouteElements);
  writer->Text(route.name);
  writer->Write(route.where);
  writer->Array(route.shares.size());
  for (const service_share& share : route.shares) {
    const auto index = indexes.find(share.service);
    assert(index != indexes.end());
    writer->Array(2);
    writer->Number(index->second);
    writer->Number(share.weight);
  }
  if (!is_long) return;
  writer->Number(route.urgency);
  writer->Write(route.target_latency);
}

set_route ReadRoute(const std::vector<std::string>& services,
                    std::size_t elements, wire_reader* reader) {
  set_route route;
  route.name = reader->Text();
  reader->Read(&route.where);
  const std::size_t shares = reader->Array();
  for (std::size_t i = 0; i < shares && reader->ok(); ++i) {
    reader->Array();
    const std::uint64_t index = reader->Number();
    const std::uint64_t weight = reader->NumberUpTo(UINT32_MAX);
    reader->Leave();
    // An index outside the list gives an empty service name, which the checks
    // of the set refuse, and fails the reader: no number follows a share.
    route.shares.push_back(
        {index < services.size() ? services[index] : std::string(),
         static_cast<std::uint32_t>(weight)});
    if (index >= services.size()) reader->NumberUpTo(0);
  }
  reader->Leave();
  if (elements >= kLongRouteElements) {
    route.urgency = static_cast<std::uint8_t>(reader->NumberUpTo(kMaxUrgency));
    reader->Read(&route.target_latency);
  }
  reader->Leave();
  return route;
}

void WriteColdLimits(const std::vector<cold_limit>& limits,
                     wire_writer* writer) {
  writer->Array(limits.size());
  for (const cold_limit& limit : limits) {
    writer->Array(2);
    writer->Text(limit.service);
    writer->Real(limit.openings_per_second);
  }
}

std::vector<cold_limit> ReadColdLimits(wire_reader* reader) {
  std::vector<cold_limit> limits;
  const std::size_t count = reader->Array();
  for (std::size_t i = 0; i < count && reader->ok(); ++i) {
    reader->Array();
    cold_limit limit;
    limit.service = reader->Text();
    limit.openings_per_second = reader->Real();
    reader->Leave();
    limits.push_back(std::move(limit));
  }
  reader->Leave();
  return limits;
}

}  // namespace tamaracklatch
