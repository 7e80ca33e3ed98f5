// Removes targets whose process no longer pulls updates from any relay. A
// target's lease is held by one relay; when that relay and the target end at
// the same time, nobody reports the target silent. Its process is then absent
// from the whole distribution tree, because a live process would have found
// another parent.
//
// A network partition looks the same to the leader. A member is therefore
// removed only if other nodes of its zone are present and few of the zone's
// members are missing; otherwise it stays, however long it is missing.
//
//   absence_detector detector(settings);
//   // each second:
//   for (auto& action : detector.Evaluate(presence, view, now)) ...;
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "tamaracklatch/control/cluster_view.h"
#include "tamaracklatch/distribution/relay_messages.h"
#include "tamaracklatch/membership/loss_detector.h"

namespace tamaracklatch {

struct absence_settings {
  // How long a member must be missing before it is removed, if this leader has
  // seen its process before. The nodes below a cut-off relay are missing from
  // relay_settings::child_timeout until they leave it at max_age; this timeout
  // is longer than that interval plus two searches for another parent.
  duration absence_timeout = std::chrono::seconds(20);
  // The same, if this leader has not seen the process yet or a voter is
  // missing. Longer than the delays between the searches of a node that has
  // been without a parent for a long time.
  duration long_absence_timeout = std::chrono::minutes(2);
  // Share of a zone's members that may be missing at once for any of them to be
  // removed; at least one may always be missing.
  double max_missing_share = 0.25;
  // How long a removed member still counts as missing in its zone.
  duration window = std::chrono::seconds(60);
};

// The nodes that are connected to the leader, directly or through relays, at
// one moment.
struct node_presence {
  // Names of all relays and of the targets below them.
  std::vector<node_identity> nodes;
  // Progress summed over the same nodes' acknowledgments.
  std::vector<progress> acknowledgments;
  // Zones of the nodes that report directly to the leader, and its own.
  std::set<zone_name> zones;
  bool all_voters_present = false;  // all of them report to the leader
};

// Used by the leading control VM. Compares the members of the view with the
// nodes that are present and proposes the removal of those missing too long.
class absence_detector {
 public:
  explicit absence_detector(const absence_settings& settings);

  // Called each second while this VM leads. Returns the losses to propose, at
  // most one log entry, and the zones whose missing members are retained
  // because too many are missing, once until the zone recovers. Returns nothing
  // while the names in `presence` do not match the acknowledgments.
  std::vector<loss_action> Evaluate(const node_presence& presence,
                                    const cluster_view& view, time_point now);

  // Called when this VM does not lead: discards all observations.
  void Reset();

 private:
  // What is known of a member after the last evaluation.
  struct member_state {
    // Seen by this leader since the zone last had too many missing members.
    bool was_present = false;
    // The last evaluation at which it was present, otherwise its first.
    time_point missing_since;
    // As missing_since, but restarted while too many of the zone are missing:
    // when a partition ends, some nodes come back later than others.
    time_point timeout_start;
    // The last proposal; proposed again if the log lost it.
    std::optional<time_point> proposed_at;
  };

  // The members of one zone at one evaluation.
  struct zone_state {
    std::size_t members = 0;
    std::vector<target_id> missing;
  };

  // A loss that was proposed for the first time at `at`.
  struct proposed_loss {
    target_id target;
    zone_name zone;
    time_point at;
  };

  // Replaces members_ by those of `view`; returns them by zone.
  std::map<zone_name, zone_state> UpdateMembers(const node_presence& presence,
                                                const cluster_view& view,
                                                time_point now);
  // Whether a missing member has been missing for its timeout.
  bool IsTimedOut(const member_state& member, bool all_voters_present,
                  time_point now) const;
  // Restarts the timeouts of the zone's missing members. Returns how many of
  // them have been missing for absence_timeout.
  std::size_t RestartTimeouts(const zone_state& state, time_point now);
  // Whether members of the zone may be removed at all: some node of the zone is
  // present and no more than max_missing_share are missing.
  bool MayRemove(const zone_name& zone, const zone_state& state,
                 const node_presence& presence) const;

  absence_settings settings_;
  std::map<target_id, member_state> members_;  // as of the last evaluation
  std::vector<proposed_loss> recent_losses_;   // in settings_.window
  std::set<zone_name> unconfirmed_zones_;      // already reported
};

}  // namespace tamaracklatch
