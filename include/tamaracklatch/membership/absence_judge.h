// The leader's look at members whose process no node hears any more. A lease is
// held by one relay; when that relay and the target end together, nobody
// reports the target silent. Its process is then missing below every control
// VM, for it would pull from another parent if it lived.
//
// A cut looks the same from here. So a member is taken out only where other
// nodes of its zone are heard and few of the zone's members are missing;
// otherwise it stays, however long that lasts.
//
//   absence_judge judge(settings);
//   for (auto& action : judge.OnLook(presence, view, now)) ...;  // each second
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "tamaracklatch/control/cluster_view.h"
#include "tamaracklatch/distribution/relay_messages.h"
#include "tamaracklatch/membership/loss_judge.h"

namespace tamaracklatch {

struct absence_settings {
  // A member that the leader has heard is missing for this long. A relay that
  // is cut off is missed after relay_settings::child_timeout, and nodes leave
  // it after max_age; what is between, and two searches for another parent,
  // is shorter.
  duration patience = std::chrono::seconds(20);
  // The same, where the leader has not heard it yet or misses a voter. Longer
  // than the waits of a node that found no parent for long.
  duration long_patience = std::chrono::minutes(2);
  // Members of a zone that may be missing at once: this share, at least one.
  double missing_share = 0.25;
  duration window = std::chrono::seconds(60);  // in which losses still count
};

// What the leader hears at one moment.
struct node_presence {
  std::vector<node_identity> nodes;  // of all relays, with targets below them
  std::vector<progress> sum;         // of the same nodes' acknowledgments
  std::set<zone_name> zones;         // of nodes that the leader itself hears
  bool all_voters = false;           // report to the leader
};

class absence_judge {
 public:
  explicit absence_judge(const absence_settings& settings);

  std::vector<loss_action> OnLook(const node_presence& heard,
                                  const cluster_view& view, time_point now);

  // This VM stops leading.
  void Reset();

 private:
  // A member, as the looks have found it.
  struct member_state {
    bool was_heard = false;    // by this leader, since the zone was doubted
    time_point missing_since;  // the last look that found it
    // As above, but starts again while the zone is doubted: when a cut ends,
    // some nodes come back later than others.
    time_point counted_since;
    std::optional<time_point> proposed;  // again, if the log lost it
  };

  // The members of one zone at one look.
  struct zone_state {
    std::size_t members = 0;
    std::vector<target_id> missing;
  };

  // A loss that was proposed.
  struct taken_loss {
    target_id target;
    zone_name zone;
    time_point at;
  };

  std::map<zone_name, zone_state> Look(const node_presence& heard,
                                       const cluster_view& view,
                                       time_point now);
  bool IsDue(const member_state& member, bool all_voters, time_point now) const;
  // Returns how many members have been missing for long.
  std::size_t Doubt(const zone_state& state, time_point now);
  bool MayTakeOut(const zone_name& zone, const zone_state& state,
                  const node_presence& heard) const;

  absence_settings settings_;
  std::map<target_id, member_state> members_;  // those of the last look
  std::vector<taken_loss> taken_;              // in the window
  std::set<zone_name> doubted_;                // told already
};

}  // namespace tamaracklatch
