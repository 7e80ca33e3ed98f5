// Whether an accepted revision is in force: from the summed acknowledgments of
// all nodes and their names. A revision is in force everywhere when the
// identities that acknowledged it are exactly those of all nodes known. A new
// leader knows from the replicated state whom it has not heard yet.
//
//   in_force_tracker tracker(settings);
//   tracker.Reset();                      // this VM begins to lead
//   tracker.Expect(state.nodes(), state.view(), now);
//   tracker.OnAccepted(at, now);
//   tracker.Update(relay.Progress(), relay.Names(), relay.Left(), now);
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

struct in_force_settings {
  // A node that nobody hears counts as missing for this long.
  duration forget_after = std::chrono::hours(1);
  std::size_t max_revisions = 1024;  // whose times are remembered
  // A node that is no target is recorded once it was heard for this long: a
  // target daemon is heard before it is a member, and below its relay for a
  // moment after. Until it is recorded, it is forgotten as fast.
  duration record_after = std::chrono::seconds(10);
  duration record_interval = std::chrono::seconds(1);  // between log entries
  // A batch that the state does not show by then is proposed again.
  duration record_patience = std::chrono::seconds(5);
  std::size_t max_batch = 1024;  // names in one log entry
};

// The answer to "is it in force?".
struct in_force_status {
  revision at;
  std::uint32_t nodes = 0;    // known, heard or not
  std::uint32_t applied = 0;  // of these
  std::optional<time_point> everywhere_since;
  std::vector<std::string> not_heard;  // by name; a revision is not in force
                                       // everywhere while there are any
};

class in_force_tracker {
 public:
  explicit in_force_tracker(const in_force_settings& settings);

  // A revision was accepted; its time in force will be remembered. One that is
  // not above all before it is a resend and changes nothing.
  void OnAccepted(revision at);

  // This VM begins to lead: whom it has heard before says nothing now.
  void Reset();

  // Nodes and targets that have to be heard. Call before Update, with a state
  // that has all entries accepted before this VM began to lead.
  void Expect(const known_nodes& known, const cluster_view& view,
              time_point now);

  // What the replicated state lacks of the nodes heard and still has of nodes
  // forgotten; for the log. Empty while an earlier batch is on its way.
  known_nodes_batch Unrecorded(const known_nodes& known, time_point now);

  // What the relays report now. Returns the revisions that have come into
  // force everywhere by it.
  std::vector<revision> Update(const std::vector<progress>& sum,
                               const std::vector<node_identity>& names,
                               const std::vector<std::string>& left,
                               time_point now);

  in_force_status Status(revision at) const;

  // Nodes that were heard of before the last update, but not in it.
  std::vector<std::string> NewlySilent() const { return newly_silent_; }

 private:
  // A node as last heard of.
  struct node_state {
    node_identity node;
    time_point heard;
    time_point heard_since;
    bool is_heard = false;  // in the last update
  };

  // A revision whose time is remembered.
  struct watched {
    revision at;
    std::optional<time_point> everywhere_since;
  };

  bool IsMember(const node_identity& node) const;
  bool IsForgotten(const node_state& state, time_point now) const;
  // All nodes are heard, and the sums show that they have applied `at`.
  bool SumsAgree(revision at) const;
  // Members none of whose processes was heard of by this leader.
  std::vector<std::string> UnheardMembers() const;

  in_force_settings settings_;
  std::map<std::string, node_state> nodes_;  // by name
  std::uint64_t identities_ = 0;             // sum over nodes_
  std::uint32_t silent_ = 0;                 // nodes not heard of
  std::vector<progress> sum_;
  std::set<std::string> expected_;  // names of `known` that were taken in
  std::optional<revision> expected_at_;
  std::unordered_map<std::uint64_t, vm_name> members_;  // by their start
  std::optional<revision> members_at_;
  time_point next_record_;
  std::deque<watched> watched_;  // by rising revision
  std::vector<std::string> newly_silent_;
};

}  // namespace tamaracklatch
