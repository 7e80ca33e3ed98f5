// The placements of all services on one node: the current ones, those that
// they replaced, and what the target daemons say that they still hold.
//
//   placement_table table;
//   table.Reset(view);             // a snapshot; forgets the history
//   table.Apply(step, now);        // one revision after another
//   const service_placement* placement = table.Find(service);
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

#include "tamaracklatch/control/cluster_view.h"
#include "tamaracklatch/core/time.h"
#include "tamaracklatch/placement/held_buckets.h"
#include "tamaracklatch/placement/service_placement.h"

namespace tamaracklatch {

// Replaced placements that are remembered for each service.
inline constexpr std::size_t kMaxPastPlacements = 4;

// A placement that a later revision replaced.
struct past_placement {
  std::shared_ptr<const service_placement> placement;
  time_point replaced_at;
};

// One service on this node.
struct placed_service {
  service_record record;
  std::map<target_id, target_record> targets;
  revision changed_at;  // the revision that last touched it; after a snapshot,
                        // the snapshot's
  time_point known_since;  // when this node first heard of the service
  std::shared_ptr<const service_placement> current;
  std::vector<past_placement> past;           // newest first
  std::map<target_id, held_buckets> reports;  // the newest of each target
  // Beside current->targets(): the report since changed_at, or null. Refers
  // into `reports`.
  std::vector<const held_buckets*> fresh;
};

class placement_table {
 public:
  // Takes over a snapshot. What was known of earlier placements stays where the
  // service stays.
  void Reset(const cluster_view& view, time_point now);

  // Applies the changes of one revision. A revision not above at() is ignored.
  void Apply(const revision_changes& step, time_point now);

  // Takes a report; an older one than known is ignored. Gives whether it is the
  // first of this target.
  bool Apply(const held_buckets& report);

  // The newest revision applied.
  revision at() const { return at_; }

  const placed_service* Find(service_id service) const;

  const std::map<service_id, placed_service>& services() const {
    return services_;
  }

 private:
  void Replace(placed_service* service, time_point now);
  void Touch(service_id service);
  void Remove(service_id service);

  revision at_;
  std::map<service_id, placed_service> services_;
  std::map<target_id, service_id> service_of_;
  std::vector<service_id> touched_;  // by the step being applied
};

// Holders by the past placements alone, which needs no look at every target.
// Leaves out past placements replaced before `since`.
std::vector<const placed_target*> PastOwners(const placed_service& service,
                                             std::uint64_t flow_hash,
                                             time_point since);

// Whether the current candidates of this flow's bucket have been the same, in
// the same order, since `since`, so that other nodes have them as well.
bool IsSettled(const placed_service& service, std::uint64_t flow_hash,
               time_point since);

// All targets that can hold a flow with this hash, best guess first: the past
// owners, then targets that report holding its bucket, then targets that have
// not reported since the service changed. Looks at every target of the service.
// No other target can hold it, besides the current candidates.
std::vector<const placed_target*> PossibleHolders(const placed_service& service,
                                                  std::uint64_t flow_hash);

}  // namespace tamaracklatch
