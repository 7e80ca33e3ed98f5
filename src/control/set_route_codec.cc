// Writing and reading of a document set's routes.
#include "control/set_route_codec.h"

#include <cassert>
#include <cstdint>

namespace tamaracklatch {

service_places PlacesOf(const std::vector<std::string>& services) {
  service_places places;
  for (std::size_t i = 0; i < services.size(); ++i)
    places.emplace(services[i], i);
  return places;
}

void WriteRoute(const set_route& route, const service_places& places,
                wire_writer* writer) {
  writer->Array(kRouteElements);
  writer->Text(route.name);
  writer->Write(route.where);
  writer->Array(route.shares.size());
  for (const service_share& share : route.shares) {
    const auto place = places.find(share.service);
    assert(place != places.end());
    writer->Array(2);
    writer->Number(place->second);
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
    const std::uint64_t place = reader->Number();
    const std::uint64_t weight = reader->NumberUpTo(UINT32_MAX);
    reader->Leave();
    // An unknown place gives a service that the check refuses.
    route.shares.push_back(
        {place < services.size() ? services[place] : std::string(),
         static_cast<std::uint32_t>(weight)});
    if (place >= services.size()) reader->NumberUpTo(0);
  }
  reader->Leave();
  reader->Leave();
  return route;
}

}  // namespace tamaracklatch
