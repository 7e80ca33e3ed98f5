// The operators' HTTP API of a control VM: submissions, the document set,
// drains, voters, and what is in force. Answers are JSON with the number and
// the name of the result. A VM that follows forwards what only the leader
// knows.
#pragma once

#include <functional>
#include <string>

#include "daemon/consensus_agent.h"
#include "daemon/gate_door.h"
#include "daemon/http_server.h"
#include "daemon/request_forward.h"
#include "daemon/set_api.h"
#include "daemon/view_agent.h"
#include "tamaracklatch/control/access_tokens.h"
#include "tamaracklatch/control/control_state.h"
#include "tamaracklatch/control/in_force_tracker.h"
#include "tamaracklatch/control/submission_handler.h"
#include "tamaracklatch/timeline/membership_watch.h"

namespace tamaracklatch {

class control_api : public control_listener {
 public:
  // All of them must outlive the API.
  control_api(process_frame* frame, link_hub* hub,
              const controld_settings& settings, control_state* state);

  // Call before anything else; both must outlive the API.
  void SetAgents(consensus_agent* consensus, view_agent* view);

  // Called with the targets that an applied entry did not take in.
  void SetRefusalHandler(
      std::function<void(const std::vector<refused_target>&)> handler) {
    on_refused_ = std::move(handler);
  }

  // Takes a request of an operator.
  void Handle(const http_request& request, const http_reply& reply);

  // Hears of each applied entry, to answer what waits for it.
  void OnApplied(const command_outcome& outcome,
                 const revision_changes& changes) override;

  // The state was restored from a snapshot.
  void OnRestored() {
    watch_.Reset(state_->view());
    sets_.OnRestored();
  }

  // Does what is due: answers submissions that wait too long, and looks at what
  // is in force. Call several times a second.
  void Tick();

  // Proposes a change of membership.
  void ProposeMembership(const membership_batch& batch);

  // The leader among the control VMs; nothing where it is this VM or unknown.
  std::optional<relay_contact> LeaderContact() const;
  bool IsLeader() const;

 private:
  void HandleAtLeader(const http_request& request, const http_reply& reply);
  void HandleService(const std::string& service, const std::string& verb,
                     const http_request& request, const http_reply& reply);
  void Submit(const std::string& service, const http_request& request,
              const http_reply& reply);
  void Drain(const std::string& service, const http_request& request,
             const http_reply& reply);
  void Propose(control_body body, consensus_reply reply);
  void ChangeVoters(const http_request& request, const http_reply& reply);
  void ShowService(const std::string& service, const http_request& request,
                   const http_reply& reply);
  void ShowHistory(const std::string& service, const http_reply& reply);
  void ShowStatus(const http_reply& reply);
  void ShowVoters(const http_reply& reply);
  // Answers by `show` once this VM is known to lead with all that was accepted.
  void AfterRead(const http_reply& reply, std::function<void()> show);
  void TellSubmission(const command_outcome& outcome);
  void LookInForce();
  void TellInForce(revision at);

  process_frame* frame_;
  controld_settings settings_;
  control_state* state_;
  consensus_agent* consensus_ = nullptr;
  view_agent* view_ = nullptr;
  access_tokens tokens_;
  gate_door<submission_handler> door_;
  set_api sets_;
  in_force_tracker in_force_;
  request_forward forward_;
  membership_watch watch_;
  std::function<void(const std::vector<refused_target>&)> on_refused_;
  bool led_ = false;              // at the last look
  std::uint64_t leadership_ = 0;  // counts from 1
  std::uint64_t caught_up_ = 0;   // the leadership that has all entries
};

}  // namespace tamaracklatch
