// The owner of idempotency keys at a target daemon: which keyed request runs,
// which waits for an answer, which gets one again and which must not run.
//
// At most once rests on four rules. A key runs only at the owner of its bucket
// while that owner's lease lasts. An owner that can't know whether a key ran
// before, because the key is not newer than its own start, its forgotten keys
// or the move of the bucket, does not run it. A request refused as not run
// closes its key. A key minted in the future is not run, so that the minting
// time says when a key may have run at the earliest.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "tamaracklatch/admission/admission_queue.h"
#include "tamaracklatch/core/ids.h"
#include "tamaracklatch/core/result_code.h"
#include "tamaracklatch/core/time.h"
#include "tamaracklatch/request/idempotency_key.h"

namespace tamaracklatch {

// A whole answer as the target gave it.
struct stored_answer {
  std::uint16_t status = 0;  // of HTTP
  std::string headers;       // "Name: value\r\n" for each field that is kept
  std::string body;
};

using answer_pointer = std::shared_ptr<const stored_answer>;

struct request_owner_settings {
  wall_time started;  // of this process, by its own clock
  // How far a key may be minted in the future of this VM's clock.
  duration future_margin = std::chrono::seconds(5);
  // How far the clocks of two VMs of the system may differ.
  duration clock_skew = std::chrono::milliseconds(500);
  std::size_t answer_bytes = 16 * 1024 * 1024;  // kept in all
  std::size_t longest_answer = 256 * 1024;  // bytes; a longer one is not kept
  duration answer_time = std::chrono::minutes(10);
  std::size_t max_keys = 65536;     // remembered after they ended
  std::size_t max_refused = 65536;  // remembered as closed
  std::size_t max_listeners = 8;    // requests that wait for one key
};

// A keyed request that arrived.
struct keyed_request {
  request_id id;
  idempotency_key key;
  std::uint64_t content = 0;  // hash of caller, method, target and body
  std::uint32_t bucket = 0;
};

// Run it: hand it to admission. Its end must be told.
struct key_run {};
// Its answer comes with the end of the request that runs.
struct key_wait {};
// The answer that was given before.
struct key_answer {
  answer_pointer answer;
};
// Ask this earlier owner whether it knows the key; OnReply() must follow.
struct key_ask {
  target_id owner;
};
// This daemon decides; pass the request to it.
struct key_pass {
  target_id owner;
};
// The bucket belongs to another daemon by this daemon's view.
struct key_elsewhere {};
// An answer without a run. Only with `not_run` is it sure that the key never
// ran and never will.
struct key_refusal {
  result_code code = result_code::kOk;
  bool not_run = false;
  std::string reason;
};

using key_decision = std::variant<key_run, key_wait, key_answer, key_ask,
                                  key_pass, key_elsewhere, key_refusal>;

// What an owner answers to one that took its bucket over.
enum class key_knowledge : std::uint8_t {
  kKnown = 0,    // it decided on the key: pass the request to it
  kNever = 1,    // it did not run the key and never will
  kPerhaps = 2,  // it can't know
};

// A decision for one of the requests that wait for a key.
struct listener_decision {
  request_id id;
  key_decision decision;
};

// Counts since the start.
struct request_owner_counts {
  std::uint64_t runs = 0;
  std::uint64_t answers_given_again = 0;
  std::uint64_t outcomes_unknown = 0;
  std::uint64_t answers_forgotten = 0;
  std::uint64_t keys_forgotten = 0;
};

// Invariants: a key has at most one run in this process; what is remembered is
// bounded by the settings, whatever the number of keys.
class request_owner {
 public:
  explicit request_owner(request_owner_settings settings);
  ~request_owner();
  request_owner(request_owner&&) noexcept;
  request_owner& operator=(request_owner&&) noexcept;

  // --- Which buckets this daemon owns.

  // Revision `at` of the view gives the bucket to this daemon. `earlier` names
  // every daemon that may own it by an older view, the latest last. An empty id
  // stands for those that can't be named, as an empty list does: they are taken
  // for gone.
  void Own(std::uint32_t bucket, revision at, std::vector<target_id> earlier,
           wall_time now);

  // The view gives the bucket to another daemon. Call this before the view is
  // acknowledged.
  void Disown(std::uint32_t bucket);

  // An earlier owner has acknowledged this revision: it runs no new key of
  // buckets that the revision gives to others.
  void OwnerAcknowledged(target_id owner, revision at, wall_time now);

  // The lease of an earlier owner has run out.
  void OwnerGone(target_id owner, wall_time now);

  // The own lease lasts until then. Count from before its renewal was sent.
  void Renew(time_point lease_end);

  // From when on a newly minted key can be run: the daemon should announce
  // itself no earlier.
  wall_time ready_at() const;

  // --- Requests.

  // A keyed request arrives.
  key_decision Arrive(const keyed_request& request, time_point now,
                      wall_time wall);

  // An earlier owner replied for a key; nothing when it could not be asked.
  // Returns what becomes of the requests that wait; key_run comes once, for the
  // first of them, the others get key_wait.
  std::vector<listener_decision> OnReply(const idempotency_key& key,
                                         target_id owner,
                                         std::optional<key_knowledge> reply);

  // Admission would dispatch the key now. False when the lease has run out:
  // tell Refused() then.
  bool MayDispatch(const idempotency_key& key, time_point now);

  // The run is not begun after all: the key stays unused. Returns the requests
  // that wait for it.
  std::vector<request_id> Withdraw(const idempotency_key& key);

  // The dispatched run was proven not to have run, and will be tried again.
  void TryAgain(const idempotency_key& key);

  // The run ended with this whole answer; null where it was too long to keep.
  // Returns the requests that wait for it.
  std::vector<request_id> Answered(const idempotency_key& key,
                                   answer_pointer answer, time_point now);

  // The run was refused before dispatch, or the target proved that it did not
  // run. Closes the key. Returns the requests that wait for it.
  std::vector<request_id> Refused(const idempotency_key& key, result_code code,
                                  time_point now);

  // The run was lost: nobody knows whether it took effect.
  std::vector<request_id> Lost(const idempotency_key& key, time_point now);

  // A request that waits has left. Returns whether nobody waits any more and
  // the key was not dispatched: then its run is withdrawn and the key unused.
  bool Leave(const idempotency_key& key, request_id id);

  // --- Another owner asks.

  // Whether this daemon knows the key. An answer kNever is remembered.
  key_knowledge Ask(const idempotency_key& key, std::uint32_t bucket,
                    time_point now);

  // Forgets what is past its time.
  void Tick(time_point now);

  std::size_t remembered_keys() const;
  std::size_t remembered_bytes() const;
  const request_owner_counts& counts() const;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace tamaracklatch
