// A node's part in the distribution of revisions; it runs in every daemon.
// Pulls from a parent, keeps the view, gives to its children, sums their
// acknowledgments. A control VM is a source: its changes come from the log.
//
//   relay_node node(settings, seed, now);
//   for (auto& action : node.OnTick(now)) Perform(action);   // at next_wake()
//   for (auto& action : node.OnMessage(peer, message, now)) Perform(action);
//   if (node.may_serve()) Place(node.view());
//
// A control VM besides: node.OnQuorumHeard(now) while its voters agree,
// node.Publish(changes, now) for each applied entry, node.SetLeader(...), and
// node.OnQuorumChecked(...) after an action quorum_check.
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

// Send to the peer of that name; `where` has port 0 for a child that relays for
// nobody: it is reached over the link on which its messages come.
struct relay_send {
  std::string peer;
  endpoint where;
  relay_message message;
};

// The view has these changes more.
struct changes_applied {
  revision_changes step;
};

// The view is another, whole one.
struct view_replaced {
  revision at;
};

// The node may serve from now on.
struct serving_allowed {
  revision at;
};

// At a control VM: ask the voters whether this VM's state is the newest, then
// call OnQuorumChecked with peer and number.
struct quorum_check {
  std::string peer;
  std::uint64_t number = 0;
};

struct relay_event {
  event what;
};

using relay_action = std::variant<relay_send, changes_applied, view_replaced,
                                  serving_allowed, quorum_check, relay_event>;

class relay_node {
 public:
  using actions = std::vector<relay_action>;

  relay_node(const relay_settings& settings, std::uint64_t seed,
             time_point now);

  // Does what is due. Call at next_wake() or earlier.
  actions OnTick(time_point now);
  time_point next_wake() const;

  actions OnMessage(const std::string& peer, const relay_message& message,
                    time_point now);

  // A higher revision was seen, in an envelope or on a link. `who` may be
  // pulled from if the parent has no news; may be null.
  actions OnRevisionSeen(revision seen, const relay_contact* who,
                         time_point now);

  // The link to a peer broke.
  actions OnLinkDown(const std::string& peer, time_point now);

  // A graceful stop.
  actions Leave(time_point now);

  // The node's revision; never falls.
  revision known() const { return known_; }
  const cluster_view& view() const { return view_; }
  bool may_serve() const { return may_serve_; }

  // How long ago the view was known to be the control quorum's.
  duration Age(time_point now) const;
  const std::optional<relay_contact>& parent() const { return parent_; }
  const child_table& children() const { return children_; }

  // At a source. Publish takes the changes of a revision above all before.
  actions Publish(const revision_changes& changes, time_point now);
  // The state was restored from a snapshot.
  actions Reset(const cluster_view& view, time_point now);
  void OnQuorumHeard(time_point now);
  // The leader among the control VMs; nothing where it is this VM or unknown.
  actions SetLeader(const std::optional<relay_contact>& leader, time_point now);
  // `newest`: the revision of the VM's view, confirmed by the voters after the
  // check was asked for.
  actions OnQuorumChecked(const std::string& peer, std::uint64_t number,
                          revision newest);

  // Summed over this node and all below it.
  std::vector<progress> Progress() const;
  // This node and all below it.
  std::vector<node_identity> Names() const;
  // Nodes that stopped gracefully a short while ago.
  std::vector<std::string> Left() const;

 private:
  // A graceful stop, told upwards for a while.
  struct left_node {
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
  void Report(event_id id, const std::string& peer, const std::string& detail);

  // Towards the children.
  void UpdateChild(const pull& message, child_state* child, time_point now);
  void Answer(child_state* child, time_point now);
  void SendDelta(child_state* child, time_point now);
  std::optional<service_id> FilterOf(child_state* child) const;
  time_point DueAt(const child_state& child) const;
  void ServeChildren(time_point now);
  void NoteChanges(const encoded_revision& entry);
  void RememberLeft(const std::string& name, time_point now);
  void RefreshNames(time_point now);

  // Towards the parent.
  void SchedulePull(time_point at);
  void PullForNews(time_point now);
  void SeekRevision(revision seen, const relay_contact* who, time_point now);
  void SendPull(time_point now);
  void OnParentAnswered(std::uint64_t answers, duration age, time_point now);
  void WatchParent(time_point now);
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

  // Invariant: view_.at == known_ but for a source that published nothing.
  revision known_;
  cluster_view view_;
  change_log log_;
  std::optional<time_point> fresh_;  // the view was the quorum's then
  child_table children_;
  std::vector<left_node> left_;
  name_list_writer names_;

  std::optional<relay_contact> parent_;
  time_point parent_since_;
  bool parent_answered_ = false;
  std::uint64_t parent_names_ = 0;  // sum of the names that it holds for us
  std::uint64_t pull_number_ = 0;
  bool awaits_answer_ = false;  // to the pull of that number
  time_point answer_due_;
  std::uint32_t tries_ = 0;
  std::uint32_t failed_parents_ = 0;  // in a row
  std::uint32_t redirects_ = 0;       // since the last control VM
  std::optional<time_point> next_pull_;
  time_point last_news_pull_;
  std::size_t next_control_ = 0;
  std::optional<snapshot_reader> snapshot_;

  start_rule start_;
  bool may_serve_ = false;
  bool leaving_ = false;
};

}  // namespace tamaracklatch
