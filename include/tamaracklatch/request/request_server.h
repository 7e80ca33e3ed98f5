// The request plane of one target daemon: admission, keys, attempts at the
// target and whole answers, put together. The daemon moves the bytes.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "tamaracklatch/admission/admission_queue.h"
#include "tamaracklatch/core/event.h"
#include "tamaracklatch/core/random.h"
#include "tamaracklatch/request/request_owner.h"
#include "tamaracklatch/request/retry_policy.h"

namespace tamaracklatch {

// One try at the target, numbered by the daemon. 0 names none.
using attempt_id = strong_number<struct attempt_id_tag>;

struct request_server_settings {
  admission_settings admission;
  request_owner_settings owner;
  retry_settings retries;
  duration longest_timeout = std::chrono::minutes(10);
  // Bytes of one answer that wait for a slow caller before the target is
  // paused.
  std::size_t answer_window = 256 * 1024;
};

// A request as it came from a caller. `id` was never used before.
struct request_arrival {
  request_id id;
  std::string class_name;
  caller_id caller;
  std::optional<idempotency_key> key;
  std::uint64_t content = 0;        // hash of caller, method, target and body
  std::uint32_t bucket = 0;         // of the key
  std::optional<duration> timeout;  // empty: the class's default
  bool may_pass = false;  // whether another candidate may take it instead
};

// Send the request to the target; answers name the attempt.
struct start_attempt {
  request_id request;
  attempt_id attempt;
  time_point deadline;
};
// End the attempt at the target; nothing that comes from it counts any more.
struct cancel_attempt {
  attempt_id attempt;
};
// Stop and go on reading the attempt's answer.
struct pause_attempt {
  attempt_id attempt;
};
struct resume_attempt {
  attempt_id attempt;
};
// Send the request to another daemon, whose answer goes to the caller: to `to`,
// or to the other candidate. The server forgets the request. When it can't be
// sent, let it arrive again with a new id and without may_pass.
struct pass_request {
  request_id request;
  std::optional<target_id> to;
};
// The key belongs to the owner of its bucket by the newest view: pass it there.
struct pass_to_owner {
  request_id request;
};
// Ask an earlier owner whether it knows the key; OnReply() must follow.
struct ask_owner {
  target_id owner;
  idempotency_key key;
  std::uint32_t bucket = 0;
};
// Answer the caller with a refusal or failure, as JSON.
struct answer_refusal {
  request_id request;
  result_code code = result_code::kOk;
  bool not_run = false;
  duration retry_after{0};  // zero: none
  std::string reason;
};
// Answer the caller with a whole answer.
struct answer_whole {
  request_id request;
  answer_pointer answer;
};
// Begin an answer too long to be held, its bytes, and its end.
struct answer_begin {
  request_id request;
  std::uint16_t status = 0;
  std::string headers;
};
struct answer_bytes {
  request_id request;
  std::string bytes;
};
struct answer_end {
  request_id request;
};
// The answer broke off: close the caller's connection, so that it is not taken
// for whole.
struct answer_abort {
  request_id request;
};

using request_action =
    std::variant<start_attempt, cancel_attempt, pause_attempt, resume_attempt,
                 pass_request, pass_to_owner, ask_owner, answer_refusal,
                 answer_whole, answer_begin, answer_bytes, answer_end,
                 answer_abort>;
using request_actions = std::vector<request_action>;

// Counts since the start.
struct request_server_counts {
  std::uint64_t arrived = 0;
  std::uint64_t first_tries = 0;
  std::uint64_t retries = 0;
  std::uint64_t answered = 0;         // whole, by a run
  std::uint64_t refused_not_run = 0;  // answers with not_run
  std::uint64_t answers_dropped = 0;  // late or crossed
  std::uint64_t cancelled = 0;
};

// Invariants: a request is answered once: by a refusal, a whole answer, or a
// begun one that is ended or aborted; or it is passed on, or its caller left.
// An attempt is started once and its slot given back once. Bytes held for a
// caller stay within the window plus one chunk of the target.
class request_server {
 public:
  // `events` may be null; it must outlive the server.
  request_server(request_server_settings settings, random_source random,
                 event_listener* events);
  ~request_server();
  request_server(const request_server&) = delete;
  request_server& operator=(const request_server&) = delete;

  // --- From callers.
  request_actions Arrive(const request_arrival& arrival, time_point now,
                         wall_time wall);
  request_actions CallerLeft(request_id id, time_point now);
  // The caller took this many bytes of a begun answer.
  request_actions BytesSent(request_id id, std::size_t bytes);

  // --- From the target. An attempt that is not known is dropped and counted.
  // The answer's head. `echoed` is the attempt that the target names, if it
  // does; another than its own is a crossed answer.
  request_actions AnswerBegan(attempt_id attempt, std::uint16_t status,
                              std::string headers,
                              std::optional<attempt_id> echoed, time_point now);
  request_actions AnswerBytes(attempt_id attempt, std::string bytes,
                              time_point now);
  request_actions AnswerEnded(attempt_id attempt, time_point now);
  // The target refused for want of room, or was never reached: it did not run.
  request_actions AttemptNotRun(attempt_id attempt, result_code code,
                                duration retry_after, time_point now);
  // The connection broke after the request was sent.
  request_actions AttemptLost(attempt_id attempt, time_point now);

  // --- From other daemons.
  request_actions OnReply(const idempotency_key& key, target_id owner,
                          std::optional<key_knowledge> reply, time_point now);
  // Keys, buckets and the lease.
  request_owner& owner();
  const request_owner& owner() const;

  // --- Time and life.
  request_actions Tick(time_point now);
  std::optional<time_point> NextTimer() const;
  request_actions Update(std::uint32_t slots,
                         std::vector<request_class> classes, time_point now);
  // Takes nothing new from now on; what is here is finished.
  void Drain();
  // Whether nothing is in progress.
  bool idle() const;

  const admission_queue& admission() const;
  const request_server_counts& counts() const;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace tamaracklatch
