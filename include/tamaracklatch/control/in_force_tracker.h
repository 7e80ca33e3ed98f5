// Whether an accepted revision is in force: from the summed acknowledgments of
// all nodes and their names. A revision is in force everywhere when the
// identities that acknowledged it are exactly those of all nodes known.
//
//   in_force_tracker tracker(settings);
//   tracker.OnAccepted(at, now);
//   tracker.Update(relay.Progress(), relay.Names(), relay.Left(), now);
//   in_force_status status = tracker.Status(at);
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "tamaracklatch/core/time.h"
#include "tamaracklatch/distribution/relay_messages.h"

namespace tamaracklatch {

struct in_force_settings {
  // A node that nobody hears counts as missing for this long.
  duration forget_after = std::chrono::hours(1);
  std::size_t max_revisions = 1024;  // whose times are remembered
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
    bool is_heard = false;  // in the last update
  };

  // A revision whose time is remembered.
  struct watched {
    revision at;
    std::optional<time_point> everywhere_since;
  };

  bool IsEverywhere(revision at) const;

  in_force_settings settings_;
  std::map<std::string, node_state> nodes_;  // by name
  std::uint64_t identities_ = 0;             // sum over nodes_
  std::uint32_t silent_ = 0;                 // nodes not heard of
  std::vector<progress> sum_;
  std::deque<watched> watched_;  // by rising revision
  std::vector<std::string> newly_silent_;
};

}  // namespace tamaracklatch
