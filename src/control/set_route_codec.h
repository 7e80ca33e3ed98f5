// Routes of a document set as parts of a message. Each share names its service
// by its place in the set's list.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "tamaracklatch/control/document_set.h"
#include "tamaracklatch/transport/wire.h"

namespace tamaracklatch {

using service_places = std::map<std::string, std::size_t>;

service_places PlacesOf(const std::vector<std::string>& services);

// Elements of a route's array.
inline constexpr std::size_t kRouteElements = 3;

// Each share of the route must have a place.
void WriteRoute(const set_route& route, const service_places& places,
                wire_writer* writer);

// Reads what follows the header of the route's array, and leaves the array. A
// place that `services` lacks is a failed read.
set_route ReadRoute(const std::vector<std::string>& services,
                    wire_reader* reader);

}  // namespace tamaracklatch
