// Computes, encodes and applies deltas between document sets.
#include "tamaracklatch/control/set_delta.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "control/set_route_codec.h"
#include "tamaracklatch/transport/wire.h"

namespace tamaracklatch {
namespace {

// The number of elements of an array tells its kind; an added route has
// kRouteElements or more.
constexpr std::size_t kRunElements = 2;      // of a run: first, count
constexpr std::size_t kServiceElements = 1;  // of an added service
// Bytes that an encoded route takes at least.
constexpr std::size_t kMinRouteBytes = 8;
// More elements than any encoded set has.
constexpr std::size_t kMaxServices = kMaxEncodedSetBytes;
constexpr std::size_t kMaxRoutes = kMaxEncodedSetBytes / kMinRouteBytes;

// The key by which an element of the later set is looked up in the base.
const std::string& KeyOf(const std::string& service) { return service; }
const endpoint& KeyOf(const set_route& route) { return route.where; }

// One step of a delta: a run of elements of the base, or one added element.
struct list_step {
  std::size_t first = 0;  // index in the base of a run's first element
  std::size_t count = 0;  // elements of a run; 0: an added element
  std::size_t added = 0;  // index in the later list of an added element
};

// The steps that make `next` from `base`. An element that changed is added;
// runs are as long as possible.
template <typename Element>
std::vector<list_step> ComputeSteps(const std::vector<Element>& base,
                                    const std::vector<Element>& next) {
  using key = std::decay_t<decltype(KeyOf(next.front()))>;
  std::map<key, std::size_t> indexes;
  for (std::size_t i = 0; i < base.size(); ++i)
    indexes.emplace(KeyOf(base[i]), i);
  std::vector<list_step> steps;
  for (std::size_t i = 0; i < next.size(); ++i) {
    const auto found = indexes.find(KeyOf(next[i]));
    if (found == indexes.end() || !(base[found->second] == next[i])) {
      steps.push_back({0, 0, i});
    } else if (!steps.empty() && steps.back().count > 0 &&
               steps.back().first + steps.back().count == found->second) {
      ++steps.back().count;
    } else {
      steps.push_back({found->second, 1, 0});
    }
  }
  return steps;
}

void WriteRun(const list_step& step, wire_writer* writer) {
  writer->Array(kRunElements);
  writer->Number(step.first);
  writer->Number(step.count);
}

// Reads a run, leaves its array and appends the run's elements of `base` to
// `list`. False if the run is malformed, is not within `base` or makes `list`
// longer than `max_elements`.
template <typename Element>
bool ReadRun(const std::vector<Element>& base, std::size_t max_elements,
             wire_reader* reader, std::vector<Element>* list) {
  const std::uint64_t first = reader->Number();
  const std::uint64_t count = reader->Number();
  reader->Leave();
  if (!reader->ok() || first > base.size() || count > base.size() - first ||
      list->size() + count > max_elements)
    return false;
  const auto begin = base.begin() + static_cast<std::ptrdiff_t>(first);
  list->insert(list->end(), begin, begin + static_cast<std::ptrdiff_t>(count));
  return true;
}

wire_limits DeltaLimits() {
  wire_limits limits;
  limits.max_bytes = kMaxEncodedSetBytes;
  limits.max_elements = kMaxEncodedSetBytes;
  limits.max_text = kMaxEncodedSetBytes;
  return limits;
}

// Applies one delta. The shares of the result may still name services that it
// lacks. Appends the added and changed routes to `changed` unless it is null.
std::optional<document_set> ApplyDelta(const document_set& base,
                                       std::string_view delta,
                                       std::vector<set_route>* changed) {
  wire_reader reader(delta, DeltaLimits());
  document_set next;
  const std::size_t elements = reader.Array();
  next.version = reader.Number();
  reader.Read(&next.idle_timeout);
  const std::size_t services = reader.Array();
  for (std::size_t i = 0; i < services && reader.ok(); ++i) {
    if (reader.Array() == kRunElements) {
      if (!ReadRun(base.services, kMaxServices, &reader, &next.services))
        return std::nullopt;
    } else {
      next.services.push_back(reader.Text());
      reader.Leave();
    }
  }
  reader.Leave();
  const std::size_t routes = reader.Array();
  for (std::size_t i = 0; i < routes && reader.ok(); ++i) {
    const std::size_t route_elements = reader.Array();
    if (route_elements == kRunElements) {
      if (!ReadRun(base.routes, kMaxRoutes, &reader, &next.routes))
        return std::nullopt;
    } else {
      next.routes.push_back(ReadRoute(next.services, route_elements, &reader));
      if (changed != nullptr) changed->push_back(next.routes.back());
    }
  }
  reader.Leave();
  // The cold limits are carried whole; a delta without them leads to a set
  // without them.
  if (elements > 4) next.cold_limits = ReadColdLimits(&reader);
  reader.Leave();
  if (!reader.ok()) return std::nullopt;
  return next;
}

// Whether each share names one of the set's services. A route copied from the
// base may name a service that the later set lacks.
bool HasOnlyKnownServices(const document_set& set) {
  const service_indexes indexes = IndexServices(set.services);
  return std::all_of(
      set.routes.begin(), set.routes.end(), [&](const set_route& route) {
        return std::all_of(route.shares.begin(), route.shares.end(),
                           [&](const service_share& share) {
                             return indexes.count(share.service) != 0;
                           });
      });
}

}  // namespace

std::string EncodeSetDelta(const document_set& base, const document_set& next) {
  const service_indexes indexes = IndexServices(next.services);
  wire_writer writer;
  writer.Array(next.cold_limits.empty() ? 4 : 5);
  writer.Number(next.version);
  writer.Write(next.idle_timeout);
  const auto services = ComputeSteps(base.services, next.services);
  writer.Array(services.size());
  for (const list_step& step : services) {
    if (step.count > 0) {
      WriteRun(step, &writer);
    } else {
      writer.Array(kServiceElements);
      writer.Text(next.services[step.added]);
    }
  }
  const auto routes = ComputeSteps(base.routes, next.routes);
  writer.Array(routes.size());
  for (const list_step& step : routes) {
    if (step.count > 0) {
      WriteRun(step, &writer);
    } else {
      WriteRoute(next.routes[step.added], indexes, &writer);
    }
  }
  if (!next.cold_limits.empty()) WriteColdLimits(next.cold_limits, &writer);
  return std::string(writer.bytes());
}

std::string JoinSetDeltas(const std::vector<std::string_view>& deltas) {
  wire_writer writer;
  writer.Array(deltas.size());
  for (const std::string_view delta : deltas) writer.Text(delta);
  return std::string(writer.bytes());
}

std::optional<std::string> ApplySetDeltas(
    const document_set& base, std::string_view joined,
    std::vector<set_route>* intermediate) {
  wire_reader reader(joined, DeltaLimits());
  const std::size_t count = reader.Array();
  if (count == 0) return std::nullopt;
  std::optional<document_set> set;
  for (std::size_t i = 0; i < count && reader.ok(); ++i) {
    const std::string delta = reader.Text();
    if (!reader.ok()) break;
    set = ApplyDelta(set ? *set : base, delta,
                     i + 1 < count ? intermediate : nullptr);
    if (!set) return std::nullopt;
  }
  reader.Leave();
  if (!reader.ok() || !HasOnlyKnownServices(*set)) return std::nullopt;
  return EncodeDocumentSet(*set);
}

}  // namespace tamaracklatch
