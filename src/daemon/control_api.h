// The operators' HTTP API of a control VM: submissions, drains and what is in
// force. Answers are JSON with the number and the name of the result.
#pragma once

#include <string>

#include "daemon/consensus_agent.h"
#include "daemon/http_server.h"
#include "daemon/view_agent.h"
#include "tamaracklatch/control/control_state.h"
#include "tamaracklatch/timeline/membership_watch.h"

namespace tamaracklatch {

class control_api : public control_listener {
 public:
  // All of them must outlive the API; `consensus` is set once it runs.
  control_api(process_frame* frame, const controld_settings& settings,
              control_state* state);

  void SetAgents(consensus_agent* consensus, view_agent* view);

  // Takes a request of an operator.
  void Handle(const http_request& request, const http_reply& reply);

  // Hears of each applied entry, to answer what waits for it.
  void OnApplied(const command_outcome& outcome,
                 const revision_changes& changes) override;

  // The state was restored from a snapshot.
  void OnRestored() { watch_.Reset(state_->view()); }

  // Proposes a change of membership.
  void ProposeMembership(const membership_batch& batch);

 private:
  void Submit(const std::string& service, const http_request& request,
              const http_reply& reply);
  void Drain(const std::string& service, const http_request& request,
             const http_reply& reply);
  void ShowService(const std::string& service, const http_request& request,
                   const http_reply& reply);
  void ShowHistory(const std::string& service, const http_reply& reply);
  void ShowStatus(const http_reply& reply);
  void ShowVoters(const http_reply& reply);
  bool MayChange(const http_request& request, const std::string& service) const;
  // Answers by `show` once this VM is known to be the leader with all that was
  // accepted.
  void AtLeader(const http_reply& reply, std::function<void()> show);
  void TellSubmission(const command_outcome& outcome);

  process_frame* frame_;
  controld_settings settings_;
  control_state* state_;
  consensus_agent* consensus_ = nullptr;
  view_agent* view_ = nullptr;
  std::map<std::uint64_t, command_outcome>
      applied_;  // outcomes of own entries, until they are answered
  membership_watch watch_;
};

}  // namespace tamaracklatch
