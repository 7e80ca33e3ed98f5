// The operators' HTTP API of document sets: PUT /v1/set replaces the set, GET
// /v1/set gives the newest one back as it was sent. Every control VM serves
// both; only what has to go into the log needs the leader.
#pragma once

#include "daemon/gate_door.h"
#include "daemon/http_server.h"
#include "daemon/process_frame.h"
#include "tamaracklatch/control/access_tokens.h"
#include "tamaracklatch/control/control_state.h"
#include "tamaracklatch/control/document_set_handler.h"

namespace tamaracklatch {

class set_api {
 public:
  // All of them must outlive the API.
  set_api(process_frame* frame, const access_tokens* tokens,
          const control_state* state);

  // Call before anything else; it must outlive the API.
  void SetLog(command_log* log) { door_.SetLog(log); }

  // Takes a request to /v1/set. Returns false, without an answer, where the
  // leader that `standing` names has to be asked.
  bool Handle(const http_request& request, const http_reply& reply,
              const log_leadership& standing);

  // Hears of each applied entry.
  void OnApplied(const command_outcome& outcome);

  // The state was restored from a snapshot.
  void OnRestored() { door_.OnRestored(); }

  // Answers what can wait no longer. Call several times a second.
  void Tick(bool is_leader) { door_.Tick(is_leader, frame_->Now()); }

 private:
  bool Replace(const http_request& request, const http_reply& reply,
               const log_leadership& standing);
  void Tell(event_id id, result_code code, const std::string& detail);

  process_frame* frame_;
  const access_tokens* tokens_;
  gate_door<document_set_handler> door_;
};

}  // namespace tamaracklatch
