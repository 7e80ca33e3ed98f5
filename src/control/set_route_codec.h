// Encodes the routes and cold limits of a document set as part of a message. A
// share refers to its service by the service's index in the set's list.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "tamaracklatch/control/document_set.h"
#include "tamaracklatch/transport/wire.h"

namespace tamaracklatch {

// Index of each service in the set's list, by name.
using service_indexes = std::map<std::string, std::size_t>;

// The indexes of a set's services; of a name that occurs twice, the first.
service_indexes IndexServices(const std::vector<std::string>& services);

// Number of elements of a route's array: without and with urgency and target
// latency. They are written only where one of them is not the default, so that
// the bytes of other sets stay as they were before these elements existed.
inline constexpr std::size_t kRouteElements = 3;
inline constexpr std::size_t kLongRouteElements = 5;

// Writes the route as one array. The service of each share must be in
// `indexes`.
void WriteRoute(const set_route& route, const service_indexes& indexes,
                wire_writer* writer);

// Reads the elements of a route's array, whose header the caller has read with
// this number of elements, and leaves the array. An index outside `services`
// makes reader->ok() false.
set_route ReadRoute(const std::vector<std::string>& services,
                    std::size_t elements, wire_reader* reader);

// Writes the cold limits as one array.
void WriteColdLimits(const std::vector<cold_limit>& limits,
                     wire_writer* writer);

// Reads what WriteColdLimits wrote.
std::vector<cold_limit> ReadColdLimits(wire_reader* reader);

}  // namespace tamaracklatch
