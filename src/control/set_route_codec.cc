// Writes and reads the routes of a document set.
#include "control/set_route_codec.h"

#include <cassert>
#include <cstdint>

namespace tamaracklatch {

service_indexes IndexServices(const std::vector<std::string>& services) {
  service_indexes indexes;
  for (std::size_t i = 0; i < services.size(); ++i)
    indexes.emplace(services[i], i);
  return indexes;
}

void WriteRoute(const set_route& route, const service_indexes& indexes,
                wire_writer* writer) {
  writer->Array(kRouteElements);
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
}

set_route ReadRoute(const std::vector<std::string>& services,
                    wire_reader* reader) {
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
  reader->Leave();
  return route;
}

}  // namespace tamaracklatch
