// The searches in parts that this daemon began and whose outcomes it collects.
// Each part visits other possible owners of one flow; only their outcomes
// together can show that nobody holds it.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

#include "tamaracklatch/core/time.h"
#include "tamaracklatch/flow/packet.h"
#include "tamaracklatch/steering/steering_header.h"

namespace tamaracklatch {

// A search of which all parts have ended without an owner.
struct collected_search {
  steering_header header;  // of the search before it was split
  flow_key key;
  std::string reset;                // for the caller, if the flow is not open
  std::set<std::uint64_t> nodes;    // NodeTags of all daemons visited
  std::size_t possible_owners = 0;  // the most that any node on the way knew
  bool uncertain = false;  // a daemon could not tell, or a part was incomplete
};

class search_collector {
 public:
  // While it collects `max_searches`, no other search begins.
  explicit search_collector(std::size_t max_searches)
      : max_searches_(max_searches) {}

  // Begins to collect for the flow. False if there is no room or one of its
  // searches has not ended. `missing` has a bit for each part to wait for.
  bool Begin(const collected_search& begun, std::uint64_t missing,
             time_point now);

  // Adds the outcome of a part. Returns the search once all parts have ended.
  std::optional<collected_search> Add(const steering_header& outcome,
                                      time_point now);

  // Drops searches of which a part does not end.
  void Sweep(time_point now);

  std::size_t size() const { return searches_.size(); }

 private:
  struct search {
    collected_search collected;
    std::uint64_t missing = 0;  // a bit for each part without an outcome
    time_point expires;
  };

  std::size_t max_searches_;
  std::unordered_map<std::uint64_t, search> searches_;  // by flow
};

}  // namespace tamaracklatch
