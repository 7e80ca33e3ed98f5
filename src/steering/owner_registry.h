// Flows that other target daemons have registered here, because this daemon is
// visited early in the search for their owner. An entry is a hint for the order
// of visits; it never decides that a flow is open or not.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

#include "tamaracklatch/core/endpoint.h"
#include "tamaracklatch/core/time.h"

namespace tamaracklatch {

class owner_registry {
 public:
  // While it has `max_flows`, further flows are not added.
  explicit owner_registry(std::size_t max_flows) : max_flows_(max_flows) {}

  // The daemon at `owner` owns the flow; replaces what was known.
  void Put(std::uint64_t flow, const endpoint& owner, time_point now);
  // Nothing if the flow is not registered or its registration has expired.
  std::optional<endpoint> Find(std::uint64_t flow, time_point now) const;
  // Removes expired registrations.
  void Sweep(time_point now);

  std::size_t size() const { return flows_.size(); }

 private:
  struct registration {
    endpoint owner;
    time_point expires;
  };

  std::size_t max_flows_;
  std::unordered_map<std::uint64_t, registration> flows_;  // by hash
};

}  // namespace tamaracklatch
