// The operators' HTTP API of document sets: PUT /v1/set replaces the set, GET
// /v1/set gives the newest one back as it was sent. Every control VM serves
// both; only what has to go into the log needs the leader.
#pragma once

#include <map>

#include "daemon/consensus_agent.h"
#include "daemon/http_server.h"
#include "daemon/process_frame.h"
#include "tamaracklatch/control/access_tokens.h"
#include "tamaracklatch/control/control_state.h"
#include "tamaracklatch/control/set_gate.h"

namespace tamaracklatch {

class set_api {
 public:
  // All of them must outlive the API.
  set_api(process_frame* frame, const access_tokens* tokens,
          const control_state* state);

  // Call before anything else; it must outlive the API.
  void SetAgent(consensus_agent* consensus) { consensus_ = consensus; }

  // Takes a request to /v1/set. Returns false, without an answer, where the
  // leader that `standing` names has to be asked.
  bool Handle(const http_request& request, const http_reply& reply,
              const log_standing& standing);

  // Hears of each applied entry.
  void OnApplied(const command_outcome& outcome);

  // The state was restored from a snapshot.
  void OnRestored() { Perform(gate_.OnRestored()); }

  void OnLeadershipLost() { Perform(gate_.OnLeadershipLost()); }

  // Answers what waits too long. Call several times a second.
  void Tick() { Perform(gate_.OnTick(frame_->Now())); }

 private:
  bool Replace(const http_request& request, const http_reply& reply,
               const log_standing& standing);
  void Perform(const set_gate::actions& actions);
  void Do(const set_answer& action);
  void Do(const set_read_answer& action);
  void Do(const propose_command& action);
  void Do(const ask_read_index& action);
  void Tell(event_id id, result_code code, const std::string& detail);

  process_frame* frame_;
  const access_tokens* tokens_;
  consensus_agent* consensus_ = nullptr;
  set_gate gate_;
  std::map<std::uint64_t, http_reply> replies_;  // by the request's number
  std::uint64_t next_request_ = 1;
};

}  // namespace tamaracklatch
