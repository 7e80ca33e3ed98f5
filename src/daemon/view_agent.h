// The distribution slice in a daemon: runs a relay_node over the process's
// links and tells the daemon of new revisions.
#pragma once

#include <functional>
#include <string>

#include "daemon/process_frame.h"
#include "tamaracklatch/distribution/relay_node.h"
#include "transport/link_hub.h"

namespace tamaracklatch {

// Hears of the view. Called on the event loop.
class view_listener {
 public:
  virtual ~view_listener() = default;
  virtual void OnViewChanges(const revision_changes& step) = 0;
  virtual void OnViewReplaced(const cluster_view& view) = 0;
  virtual void OnServingAllowed() = 0;
};

class view_agent {
 public:
  // All of them must outlive the agent. `listener` may be null.
  view_agent(process_frame* frame, link_hub* hub,
             const relay_settings& settings, view_listener* listener);

  // Starts to run; call once the listener is ready.
  void Start();

  // A higher revision was seen in an envelope.
  void OnRevisionSeen(revision seen);

  // Tells the parent of a graceful stop.
  void Leave();

  // Carries out what the node wants done; for calls on node() from outside.
  void Perform(const relay_node::actions& actions);

  relay_node& node() { return node_; }
  const relay_node& node() const { return node_; }

  // At a control VM: called with each quorum_check.
  void SetQuorumChecker(std::function<void(const quorum_check&)> checker) {
    checker_ = std::move(checker);
  }

 private:
  void Do(const relay_send& action);
  void Do(const changes_applied& action);
  void Do(const view_replaced& action);
  void Do(const serving_allowed& action);
  void Do(const quorum_check& action);
  void Do(const relay_event& action);
  void Schedule();

  process_frame* frame_;
  link_hub* hub_;
  view_listener* listener_;
  relay_node node_;
  asio::steady_timer timer_;
  std::function<void(const quorum_check&)> checker_;
};

// The control VMs of a daemon's settings as contacts, named by their endpoints.
std::vector<relay_contact> ControlContacts(
    const std::vector<endpoint>& control);

}  // namespace tamaracklatch
