// The request plane at a target daemon: HTTP/1.1 towards callers, the target
// and the service's other daemons, around the request_server, which decides.
#pragma once

#include <asio.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "daemon/caller_server.h"
#include "daemon/process_frame.h"
#include "daemon/upstream_exchange.h"
#include "tamaracklatch/control/cluster_view.h"
#include "tamaracklatch/membership/target_health.h"
#include "tamaracklatch/request/key_ownership.h"
#include "tamaracklatch/request/request_server.h"

namespace tamaracklatch {

struct request_front_settings {
  endpoint listen;          // TCP: callers and other daemons
  endpoint target;          // TCP: the target's HTTP
  std::uint32_t slots = 1;  // of the target
  link_key key{};           // proves questions of other daemons
};

// Invariant: everything runs on the frame's event loop.
class request_front {
 public:
  // `frame` must outlive this. `self` is this daemon's target.
  request_front(process_frame* frame, const request_front_settings& settings,
                target_id self);
  ~request_front();
  request_front(const request_front&) = delete;
  request_front& operator=(const request_front&) = delete;

  // Starts to listen. On failure returns false and says why.
  bool Start(failure* last_failure);

  // The newest view of the service, and the id of this target in it.
  void OnView(const cluster_view& view, target_id self);
  // Until when this daemon's lease lasts.
  void OnLease(std::optional<time_point> lease_end);

  // Takes nothing new from now on; what is here is finished. Callers that still
  // come are passed on for some seconds, then no connection is taken.
  void Drain();
  bool idle() const;

 private:
  // A caller's request without an answer.
  struct open_request {
    caller_request from;
    std::optional<idempotency_key> key;
    std::uint32_t hops = 0;
    std::unique_ptr<upstream_exchange> passed;  // to another daemon
    target_id passed_to;
    bool begun = false;
    std::size_t unsent = 0;
  };

  void OnRequest(caller_request request);
  void OnLeft(const caller_exchange* exchange);
  void Submit(open_request request, bool may_pass);
  void Answer(open_request* request, const answer_refusal& refusal);
  std::string ClassOf(const http_request& request) const;

  // The other daemons of the service.
  void OnPeerQuestion(const caller_request& request);
  void AskRevisions();
  // `on_answer` gets the body, empty where the peer could not be asked.
  void Ask(const target_record& peer, const http_request& question,
           const std::string& path,
           std::function<void(const std::string&)> on_answer);
  std::string Proof(const std::string& text) const;
  const target_record* Peer(target_id id) const;

  void Apply(const request_actions& actions);
  void Carry(const start_attempt& action);
  void Carry(const cancel_attempt& action);
  void Carry(const pause_attempt& action);
  void Carry(const resume_attempt& action);
  void Carry(const pass_request& action);
  void Carry(const pass_to_owner& action);
  void Carry(const ask_owner& action);
  void Carry(const answer_refusal& action);
  void Carry(const answer_whole& action);
  void Carry(const answer_begin& action);
  void Carry(const answer_bytes& action);
  void Carry(const answer_end& action);
  void Carry(const answer_abort& action);

  void PassTo(request_id id, const target_record& peer);
  void OnPassFailed(request_id id, bool sent);
  void EndPass(request_id id, try_result result);
  void Tick();

  process_frame* frame_;
  request_front_settings settings_;
  target_id self_;
  request_server server_;
  key_ownership keys_;
  target_health health_;  // of the other daemons, as passes to them show
  caller_server callers_;
  std::shared_ptr<const service_placement> placement_;
  std::map<target_id, target_record> peers_;
  std::vector<request_class> classes_;
  std::uint64_t version_ = 0;  // of the document
  std::uint64_t last_request_ = 0;
  std::map<request_id, open_request> open_;
  std::map<attempt_id, std::unique_ptr<upstream_exchange>> attempts_;
  // Lengths of the answers that attempts give, where they are told.
  std::map<request_id, std::optional<std::size_t>> lengths_;
  std::map<attempt_id, request_id> request_of_;
  std::uint64_t last_question_ = 0;
  std::map<std::uint64_t, std::unique_ptr<upstream_exchange>> questions_;
  time_point asked_{};
  std::optional<time_point> stop_listening_;  // while draining
};

}  // namespace tamaracklatch
