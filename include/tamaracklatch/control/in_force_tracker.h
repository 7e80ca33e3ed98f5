// Tracks whether an accepted revision is in force on all nodes, from the names
// and the summed acknowledgments that the relays report to the leader. A
// revision is in force everywhere when the identities that acknowledged it are
// exactly those of all nodes known. A new leader knows from the replicated
// state which nodes have not reported to it yet.
//
//   in_force_tracker tracker(settings);
//   tracker.Reset();  // when this VM becomes leader
//   tracker.SetExpectedNodes(state.nodes(), state.view(), now);
//   tracker.OnAccepted(at);
//   tracker.Update(relay.Progress(), relay.Names(), relay.StoppedNodes(), now);
//   in_force_status status = tracker.Status(at);
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "tamaracklatch/control/cluster_view.h"
#include "tamaracklatch/control/known_nodes.h"
#include "tamaracklatch/core/time.h"
#include "tamaracklatch/distribution/relay_messages.h"

namespace tamaracklatch {

// Settings of in_force_tracker.
struct in_force_settings {
  // A recorded node or member that is not reported for longer than this
  // expires; until then it counts as missing.
  duration expire_after = std::chrono::hours(1);
  // Revisions that are tracked at once; the oldest is dropped first.
  std::size_t max_revisions = 1024;
  // A node that is not a target is recorded once it was reported for this long:
  // a target daemon is reported before it becomes a member, and its relay still
  // reports it for a moment after it stopped being one. A node that is not
  // recorded expires when it is not reported for longer than this.
  duration record_after = std::chrono::seconds(10);
  // Time between two checks for nodes to record or to remove.
  duration record_interval = std::chrono::seconds(1);
  // After a batch the next one follows no sooner than this. What the state does
  // not contain by then is proposed again.
  duration record_retry_interval = std::chrono::seconds(5);
  // The most names that one log entry adds, and the most that it removes.
  std::size_t max_batch = 1024;
};

// On how many nodes a revision is in force; shown by the control API.
struct in_force_status {
  revision at;
  std::uint32_t nodes = 0;    // known, reported or not
  std::uint32_t applied = 0;  // of these, those that have applied `at`
  // When `at` came into force everywhere; nothing before.
  std::optional<time_point> everywhere_since;
  // Names of the nodes that are not reported. While there are any, no further
  // revision comes into force everywhere.
  std::vector<std::string> unreported;
};

// Used by the leader among the control VMs.
class in_force_tracker {
 public:
  explicit in_force_tracker(const in_force_settings& settings);

  // Called when a document was accepted at `at`: starts to track this revision.
  // One that is not above all before it belongs to a resent document and
  // changes nothing.
  void OnAccepted(revision at);

  // Called when this VM becomes leader: discards all nodes, since what was
  // reported before this may be out of date. The revisions stay tracked.
  void Reset();

  // Sets the nodes and targets that have to be reported. Call before Update,
  // with a state that has all entries accepted before this VM became leader.
  void SetExpectedNodes(const known_nodes& known, const cluster_view& view,
                        time_point now);

  // The next batch to propose to the log: nodes that are reported and missing
  // from `known`, and names in `known` whose nodes left, expired or became
  // members; at most max_batch names each. Empty until record_interval after
  // the last check, or record_retry_interval after the last batch, has passed.
  known_nodes_batch NextRecordBatch(const known_nodes& known, time_point now);

  // Takes in what the relays report now: the acknowledgments, the nodes, and
  // the names of nodes that stopped gracefully. Returns the revisions that came
  // into force everywhere with it.
  std::vector<revision> Update(const std::vector<progress>& sum,
                               const std::vector<node_identity>& names,
                               const std::vector<std::string>& left,
                               time_point now);

  // The state of a revision as of the last update.
  in_force_status Status(revision at) const;

  // Names of the nodes that were reported in the update before the last one,
  // but not in the last one; without those that stopped gracefully or expired.
  std::vector<std::string> NewlyUnreported() const { return newly_unreported_; }

 private:
  // A node as last reported.
  struct node_state {
    node_identity node;
    time_point last_reported;  // or when it was first expected
    // Since when this start of the node is reported without a pause of
    // record_after.
    time_point reported_since;
    bool is_reported = false;  // in the last update
  };

  // An accepted revision, and since when it is in force everywhere.
  struct tracked_revision {
    revision at;
    std::optional<time_point> everywhere_since;
  };

  // Whether the node is a target daemon, as of SetExpectedNodes.
  bool IsMember(const node_identity& node) const;
  // Whether the node has not been reported for so long that it is dropped.
  bool IsExpired(const node_state& state, time_point now) const;
  // Whether all nodes are reported and the sums show that exactly these have
  // applied `at`.
  bool IsAppliedByAll(revision at) const;
  // VMs of the members whose start is not among the nodes, sorted by name.
  std::vector<std::string> UnreportedMembers() const;

  in_force_settings settings_;
  std::map<std::string, node_state> nodes_;  // by name
  std::uint64_t identities_ = 0;             // sum of HashIdentity over nodes_
  std::uint32_t unreported_ = 0;    // nodes in nodes_ that are not reported
  std::vector<progress> sum_;       // acknowledgments of the last update
  std::set<std::string> expected_;  // the names of the known nodes
  std::optional<revision> expected_at_;  // known_nodes::changed of expected_
  // VMs of the members, by the start of their target.
  std::unordered_map<std::uint64_t, vm_name> members_;
  std::optional<revision> members_at_;  // the view's revision of members_
  time_point next_record_;              // no batch before
  // By rising revision; at most max_revisions.
  std::deque<tracked_revision> tracked_;
  std::vector<std::string> newly_unreported_;
};

}  // namespace tamaracklatch
