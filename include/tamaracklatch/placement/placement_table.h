// The placements of all services as known to one node: the current ones, those
// that they replaced, and the reports of target daemons on the flows they hold.
//
//   placement_table table;
//   table.Reset(view, now);        // applies a snapshot
//   table.Apply(step, now);        // applies one revision after another
//   const placed_service* placed = table.Find(service);
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

// Replaced placements retained for each service; the oldest is dropped first.
inline constexpr std::size_t kMaxPastPlacements = 4;

// A placement that a later revision replaced.
struct past_placement {
  std::shared_ptr<const service_placement> placement;
  time_point replaced_at;
};

// What this node knows of one service.
struct placed_service {
  service_record record;
  std::map<target_id, target_record> targets;
  revision changed_at;     // the revision that last changed the service or its
                           // targets; after a snapshot, the snapshot's
  time_point known_since;  // when this node first received the service
  std::shared_ptr<const service_placement> current;
  std::vector<past_placement> past;           // newest first
  std::map<target_id, held_buckets> reports;  // the newest of each target
  // Parallel to current->targets(): the target's report if it is from
  // changed_at or later, else null. Points into `reports`.
  std::vector<const held_buckets*> fresh_reports;
};

// Used by the flow router of a balancer and the flow owner of a target daemon.
// Not safe for use by several threads.
class placement_table {
 public:
  // Replaces the contents by a snapshot, whose revision must not be below at().
  // Services that stay keep their past placements and reports. A snapshot at
  // at() is ignored unless the table is empty.
  void Reset(const cluster_view& view, time_point now);

  // Applies the changes of one revision. A revision not above at() is ignored.
  void Apply(const revision_changes& step, time_point now);

  // Stores a report unless a newer one of the target is known, or its service
  // or target is unknown. Returns whether it is the first of this target.
  bool Apply(const held_buckets& report);

  // The newest revision applied.
  revision at() const { return at_; }

  // The service with this id, or null.
  const placed_service* Find(service_id service) const;

  // All services, by id.
  const std::map<service_id, placed_service>& services() const {
    return services_;
  }

 private:
  // Computes the current placement anew and moves the previous one to `past`.
  void ReplacePlacement(placed_service* service, time_point now);
  void MarkChanged(service_id service);
  void Remove(service_id service);

  revision at_;
  std::map<service_id, placed_service> services_;
  std::map<target_id, service_id> service_of_;
  std::vector<service_id> changed_services_;  // by the revision being applied
};

// Returns the targets that may hold a flow with this hash because they were
// candidates of its bucket in a placement replaced at `since` or later, the
// newest placement first. Leaves out targets whose report rules it out. Cheaper
// than PossibleHolders(), since it does not visit every target.
std::vector<const placed_target*> PastCandidates(const placed_service& service,
                                                 std::uint64_t flow_hash,
                                                 time_point since);

// Whether the candidates of this flow's bucket have been the same, in the same
// order, since `since`, so that the other nodes can be taken to use them as
// well. False if the retained past placements don't reach back to `since`.
bool HasStableCandidates(const placed_service& service, std::uint64_t flow_hash,
                         time_point since);

// Returns all targets that may hold a flow with this hash, the most likely
// first: the past candidates, then targets that report holding its bucket, then
// targets that have not reported since the service changed. Visits every target
// of the service. No other target can hold the flow, besides the current
// candidates.
std::vector<const placed_target*> PossibleHolders(const placed_service& service,
                                                  std::uint64_t flow_hash);

}  // namespace tamaracklatch
