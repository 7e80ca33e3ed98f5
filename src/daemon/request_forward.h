// Carries an operator's HTTP request from a control VM that follows to the one
// that leads, over their link, and the answer back.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "daemon/http_server.h"
#include "daemon/process_frame.h"
#include "tamaracklatch/distribution/relay_messages.h"
#include "transport/link_hub.h"

namespace tamaracklatch {

class request_forward {
 public:
  // Takes the frames of kControl. `handler` answers requests that others
  // forward to this VM.
  request_forward(process_frame* frame, link_hub* hub, http_handler handler);

  // Sends a request to the leader. Without an answer in time the outcome is
  // unknown.
  void Send(const relay_contact& leader, const http_request& request,
            const http_reply& reply);

  // Answers what waited too long; call about every second.
  void Expire();

 private:
  struct waiting_request {
    http_reply reply;
    time_point deadline;
  };

  void OnFrame(const std::string& peer, const std::string& body);

  process_frame* frame_;
  link_hub* hub_;
  http_handler handler_;
  std::map<std::uint64_t, waiting_request> waiting_;
  std::uint64_t next_ = 1;
};

}  // namespace tamaracklatch
