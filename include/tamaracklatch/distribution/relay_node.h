// Distribution of revisions, run by every daemon as one node of a tree. A node
// pulls changes from its parent, maintains the view, sends the changes on to
// its children and sums their acknowledgments. A control VM is a source: its
// changes come from its log instead of a parent. The node performs no input or
// output: its functions return actions, which the daemon performs.
//
//   relay_node node(settings, seed, now);
//   for (auto& action : node.OnTick(now)) Perform(action);   // at next_wake()
//   for (auto& action : node.OnMessage(peer, message, now)) Perform(action);
//   if (node.may_serve()) Place(node.view());
//
// A control VM also calls node.OnQuorumReached(now) whenever a quorum of the
// voters has confirmed a read, node.Publish(changes, now) for each applied
// entry, node.SetLeader(...), and node.OnQuorumChecked(...) after an action
// quorum_check.
#pragma once

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "tamaracklatch/control/cluster_view.h"
#include "tamaracklatch/core/event.h"
#include "tamaracklatch/core/random.h"
#include "tamaracklatch/core/time.h"
#include "tamaracklatch/distribution/change_log.h"
#include "tamaracklatch/distribution/child_table.h"
#include "tamaracklatch/distribution/name_list.h"
#include "tamaracklatch/distribution/relay_settings.h"
#include "tamaracklatch/distribution/snapshot_transfer.h"
#include "tamaracklatch/distribution/start_rule.h"

namespace tamaracklatch {

// Send `message` to the peer of that name. `where` has port 0 for a child that
// can't relay: it is reached over the link on which its messages arrive.
struct relay_send {
  std::string peer;
  endpoint where;
  relay_message message;
};

// These changes were applied to the view.
struct changes_applied {
  revision_changes step;
};

// The view was replaced by a snapshot at this revision.
struct view_replaced {
  revision at;
};

// The start rule is met: the node may serve from now on.
struct serving_allowed {
  revision at;
};

// At a control VM: confirm with the voters that this VM's state is the newest,
// then call OnQuorumChecked with `peer` and `number`.
struct quorum_check {
  std::string peer;
  std::uint64_t number = 0;
};

// Record this event.
struct relay_event {
  event reported;
};

using relay_action = std::variant<relay_send, changes_applied, view_replaced,
                                  serving_allowed, quorum_check, relay_event>;

// One node of the distribution tree. Not thread-safe.
class relay_node {
 public:
  using actions = std::vector<relay_action>;

  relay_node(const relay_settings& settings, std::uint64_t seed,
             time_point now);

  // Performs what is due: retries, pulls, deltas and timeouts. Call at
  // next_wake() or earlier.
  actions OnTick(time_point now);
  time_point next_wake() const;

  // Handles a message from the peer of that name.
  actions OnMessage(const std::string& peer, const relay_message& message,
                    time_point now);

  // Called when a message outside the distribution carries a revision, in an
  // envelope or on a link. If it is above known(), the node pulls, at most once
  // per batch_interval. `holder` is a node known to have the revision; null if
  // none is known. If Age() has reached half of max_age, it becomes the parent
  // first.
  actions OnRevisionSeen(revision seen, const relay_contact* holder,
                         time_point now);

  // Called when the link to a peer is lost.
  actions OnLinkDown(const std::string& peer, time_point now);

  // Called once at a graceful stop: notifies the parent, and redirects the
  // children to it.
  actions Leave(time_point now);

  // The newest revision that the node has; never decreases.
  revision known() const { return known_; }
  // Services and targets at known().
  const cluster_view& view() const { return view_; }
  // Whether the start rule is met; never at a source.
  bool may_serve() const { return may_serve_; }

  // Time since the view was last known to be that of the control quorum; a year
  // if it never was.
  duration Age(time_point now) const;
  // The node that this one pulls from; at a source the leader, to which it only
  // reports.
  const std::optional<relay_contact>& parent() const { return parent_; }
  const child_table& children() const { return children_; }

  // The functions from here to OnQuorumChecked are for sources only.

  // Adds the changes of one revision, which must be above known(), and sends
  // them to the children.
  actions Publish(const revision_changes& changes, time_point now);
  // Replaces the view after the state was restored from a snapshot.
  actions Reset(const cluster_view& view, time_point now);
  // Called when a quorum of the voters has confirmed a read that was requested
  // at `now`: the view is confirmed as of that time.
  void OnQuorumReached(time_point now);
  // Sets the leader among the control VMs, to which this node reports; nothing
  // if it is this VM or unknown.
  actions SetLeader(const std::optional<relay_contact>& leader, time_point now);
  // Answers a confirm_request. `newest` is the revision of the VM's view,
  // confirmed by the voters after the action quorum_check.
  actions OnQuorumChecked(const std::string& peer, std::uint64_t number,
                          revision newest);

  // Acknowledgments of this node and all below it, summed. A source itself is
  // not counted.
  std::vector<progress> Progress() const;
  // This node, unless it is a source, and all below it.
  std::vector<node_identity> Names() const;
  // Nodes reported as stopped gracefully, at most 64; further ones are not
  // added. Expired entries are removed when the next one is reported.
  std::vector<std::string> StoppedNodes() const;

 private:
  // A node that stopped gracefully; reported to the parent until `until`.
  struct stopped_node {
    std::string name;
    time_point until;
  };

  void Handle(const std::string& peer, const pull& message, time_point now);
  void Handle(const std::string& peer, const delta& message, time_point now);
  void Handle(const std::string& peer, const snapshot_part& message,
              time_point now);
  void Handle(const std::string& peer, const redirect& message, time_point now);
  void Handle(const std::string& peer, const confirm_request& message,
              time_point now);
  void Handle(const std::string& peer, const confirm_answer& message,
              time_point now);
  actions TakeActions();
  void Send(const std::string& peer, const endpoint& where,
            relay_message message);
  void ReportEvent(event_id id, const std::string& peer,
                   const std::string& detail);

  // Child side of the tree.
  void UpdateChild(const pull& message, child_state* child, time_point now);
  void Answer(child_state* child, time_point now);
  void SendDelta(child_state* child, time_point now);
  std::optional<service_id> FindFilter(child_state* child) const;
  time_point NextDeltaDue(const child_state& child) const;
  void ServeChildren(time_point now);
  void MarkAffectedChildren(const encoded_revision& entry);
  void RecordStoppedNode(const std::string& name, time_point now);
  void RefreshNames(time_point now);

  // Parent side of the tree.
  void SchedulePull(time_point at);
  void PullNewerRevision(time_point now);
  void CatchUp(revision seen, const relay_contact* holder, time_point now);
  void SendPull(time_point now);
  void OnParentAnswered(std::uint64_t answers, duration age, time_point now);
  void CheckParent(time_point now);
  void ChooseParent(time_point now);
  void AttachTo(const relay_contact& parent, time_point now);
  duration Jittered(duration nominal);

  // The view.
  bool ApplyRevisions(const std::vector<encoded_revision>& revisions,
                      revision to);
  void CheckStart();

  relay_settings settings_;
  random_source random_;
  actions actions_;

  // Invariant: view_.at == known_, except at a source that has published
  // nothing.
  revision known_;
  cluster_view view_;
  change_log log_;
  // When the view was last known to be the control quorum's.
  std::optional<time_point> confirmed_at_;
  child_table children_;
  std::vector<stopped_node> stopped_nodes_;  // at most kMaxStoppedNodes
  name_list_writer names_;                   // the list sent to the parent

  std::optional<relay_contact> parent_;
  time_point parent_since_;
  bool parent_answered_ = false;
  // Checksum of the list that the parent has; 0 until it has answered.
  std::uint64_t parent_names_sum_ = 0;
  std::uint64_t pull_number_ = 0;
  bool awaits_answer_ = false;  // to pull number pull_number_
  time_point answer_due_;
  std::uint32_t tries_ = 0;  // unanswered pulls in a row
  // Parents replaced in a row without having answered.
  std::uint32_t failed_parents_ = 0;
  // Redirects received since a control VM was last chosen as the parent.
  std::uint32_t redirects_ = 0;
  std::optional<time_point> next_pull_;
  time_point last_newer_pull_;
  std::size_t next_control_ = 0;  // index of the control VM to try next
  std::optional<snapshot_reader> snapshot_;  // of a transfer under way

  start_rule start_;
  bool may_serve_ = false;
  bool leaving_ = false;
};

}  // namespace tamaracklatch
