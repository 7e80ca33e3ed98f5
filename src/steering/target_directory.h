// The targets of the roster as routers and owners use them: by service, in an
// order that all nodes with the same roster compute alike.
#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "steering/endpoint_hash.h"
#include "tamaracklatch/roster/node_record.h"
#include "tamaracklatch/steering/steering_header.h"

namespace tamaracklatch {

// A target by its place in the directory. An endpoint keeps its place.
using target_index = std::uint32_t;
inline constexpr target_index kNoTargetIndex = ~target_index{0};

// What the directory keeps of a target.
struct directory_target {
  endpoint where;
  std::uint64_t hash = 0;     // of the endpoint
  std::uint32_t node = 0;     // NodeTag of this start of the daemon
  std::uint32_t service = 0;  // ServiceTag
  bool own_zone = false;
  node_liveness liveness = node_liveness::kAlive;
  target_condition condition = target_condition::kUnreported;
  std::uint64_t generation = 0;
  std::uint32_t slots = 1;
  std::uint32_t load = 0;  // in 1/256 of a slot
  time_point cold_until;
  std::uint64_t target_start = 0;
  // The last start that this start of the daemon told; 0: none yet.
  std::uint64_t last_start = 0;
  // The last start that an earlier start of the daemon told, while it may live
  // on and this one has told none; 0: none is known.
  std::uint64_t prior_start = 0;
  time_point known_since;  // this start of the daemon
  time_point changed;

  bool TakesOpenings() const {
    return condition == target_condition::kReady &&
           liveness == node_liveness::kAlive;
  }
  // Whether the target that started at `start` has ended.
  bool HasEnded(std::uint64_t start) const;
};

// The possible owners of a flow.
struct owner_search {
  std::vector<target_index> alive;   // in search order
  std::vector<target_index> silent;  // the same of those not heard of

  std::size_t size() const { return alive.size() + silent.size(); }
};

class target_directory {
 public:
  // Targets that left may own flows for `max_flow_age` more.
  target_directory(const zone_name& zone, duration max_flow_age)
      : zone_(zone), max_flow_age_(max_flow_age) {}

  // Takes over an entry; false where it is not of a target.
  bool Update(const roster_entry& entry, time_point now);

  target_index Find(const endpoint& where) const;
  const directory_target& At(target_index index) const {
    return targets_[index];
  }
  std::size_t size() const { return targets_.size(); }

  // When a start of a target daemon was last heard of for the first time.
  time_point last_joined() const { return last_joined_; }

  // The first `most` targets in the flow's order among those of the service for
  // which `accepts` holds.
  template <typename Predicate>
  void Rank(std::uint64_t flow, std::uint32_t service, std::size_t most,
            Predicate accepts, std::vector<target_index>* out);

  // Tags of the services that any target known is of, in ascending order.
  std::vector<std::uint32_t> Services() const;

  // The possible owners of the header's flow. The result is valid until the
  // next call.
  const owner_search& ListOwners(const steering_header& header, time_point now);

  // After ListOwners: where a search goes on that has come to `self`, which may
  // be unknown. kNoTargetIndex: all were visited.
  target_index NextOwner(const steering_header& header, const endpoint& self,
                         time_point now) const;

  // After ListOwners: whether all were visited, and each visit counts for one
  // target only.
  bool AllVisited(const steering_header& header) const;

  // After ListOwners: whether all started before any copy of an opening that
  // is still under way.
  bool AllSettled(time_point now) const;

 private:
  struct ranked_target {
    std::uint64_t weight;
    target_index index;
    friend bool operator<(const ranked_target& left,
                          const ranked_target& right) {
      return left.weight != right.weight ? left.weight > right.weight
                                         : left.index < right.index;
    }
  };

  bool MayOwn(const directory_target& target, time_point now) const;
  void Unlist(const directory_target& target, target_index index);

  zone_name zone_;
  duration max_flow_age_;
  std::vector<directory_target> targets_;
  time_point last_joined_;
  std::unordered_map<endpoint, target_index, endpoint_hash> places_;
  std::unordered_map<std::uint32_t, std::vector<target_index>> services_;
  owner_search search_;
  std::vector<ranked_target> ranked_;
  // Scratch: possible owners of each service of a header, in the flow's order.
  std::array<std::vector<target_index>, kMaxSteeringServices> of_service_;
};

template <typename Predicate>
void target_directory::Rank(std::uint64_t flow, std::uint32_t service,
                            std::size_t most, Predicate accepts,
                            std::vector<target_index>* out) {
  out->clear();
  ranked_.clear();
  const auto found = services_.find(service);
  if (found == services_.end()) return;
  for (const target_index index : found->second) {
    const directory_target& target = targets_[index];
    if (accepts(target))
      ranked_.push_back({HashPair(flow, target.hash), index});
  }
  const std::size_t count = std::min(most, ranked_.size());
  std::partial_sort(ranked_.begin(),
                    ranked_.begin() + static_cast<std::ptrdiff_t>(count),
                    ranked_.end());
  for (std::size_t at = 0; at < count; ++at) out->push_back(ranked_[at].index);
}

}  // namespace tamaracklatch
