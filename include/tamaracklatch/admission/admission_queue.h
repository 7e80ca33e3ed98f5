// Admission control at a target daemon: decides which request runs next, which
// waits and which is refused before it runs. A request needs one of the
// target's slots to run.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>
#include <variant>
#include <vector>

#include "tamaracklatch/core/ids.h"
#include "tamaracklatch/core/result_code.h"
#include "tamaracklatch/core/time.h"
#include "tamaracklatch/document/service_document.h"

namespace tamaracklatch {

// Identifies a request at one target daemon, which assigns the numbers. 0 is no
// request.
using request_id = strong_number<struct request_id_tag>;

// Identifies a caller by the hash of its identity.
using caller_id = strong_number<struct caller_id_tag>;

// The order in which waiting classes get free slots.
// Classes below their guaranteed share first, then by urgency: the default.
struct floors_then_urgency {};
// The most urgent class first, regardless of shares.
struct urgency_only {};
// The class with the fewest running requests relative to its share first,
// regardless of urgency.
struct shares_only {};
// The request that arrived first, regardless of its class.
struct arrival_order {};

using admission_policy =
    std::variant<floors_then_urgency, urgency_only, shares_only, arrival_order>;

// Settings of an admission_queue.
struct admission_settings {
  std::uint32_t slots = 1;  // concurrent requests, as reported by the target
  std::vector<request_class> classes;  // from the service document
  admission_policy policy;
  // Most credit that a class may accumulate by leaving its share unused, as
  // time at its guaranteed share.
  duration credit_time = std::chrono::seconds(2);
  // Whether free slots are spread fairly over the callers of a class; otherwise
  // its requests are served in order of arrival.
  bool fair_queuing = true;
  // Whether requests that are estimated to miss their deadline are refused on
  // arrival, and again just before they would run.
  bool refuse_early = true;
  // Whether the number of slots in use adapts to shed runs and slowdown under
  // load; otherwise all reported slots are used.
  bool adapt_slots = true;
};

// A request that arrives at admission_queue::Arrive().
struct admission_request {
  request_id id;
  std::size_t class_index = 0;  // as returned by FindClass()
  caller_id caller;
  time_point deadline;
  bool may_pass = false;  // whether another candidate target may take it
};

// The request runs now; Finish() must be called when it ends.
struct admission_dispatch {
  request_id id;
};

// The request is passed to the other candidate target; it did not run here.
struct admission_pass {
  request_id id;
};

// The request is refused; it did not run.
struct admission_refusal {
  request_id id;
  result_code code = result_code::kOk;
  duration retry_after{0};  // estimated wait until a retry may succeed
};

using admission_action =
    std::variant<admission_dispatch, admission_pass, admission_refusal>;

// How a run ended; the adaptive slot limit depends on it.
enum class run_outcome : std::uint8_t {
  kAnswered,   // the target processed the request completely
  kShed,       // the target refused it for lack of capacity
  kAbandoned,  // cancelled or lost; does not affect the slot limit
};

// Numbers of requests since the queue was created.
struct admission_counts {
  std::uint64_t arrived = 0;     // all calls of Arrive()
  std::uint64_t dispatched = 0;  // started to run
  std::uint64_t passed = 0;      // passed to the other candidate target
  std::uint64_t refused = 0;     // on arrival or while waiting
};

// The waiting and running requests of one target daemon.
// Used by the request server, which carries out the returned actions.
// Invariants: a request is dispatched only while fewer than slots_in_use() run;
// a class has at most queue_limit waiting requests; a caller has at most
// caller_limit requests in a class; memory is bounded by these limits,
// regardless of the number of callers. Each request gets exactly one of
// dispatch, pass and refusal, unless Cancel() removes it first.
class admission_queue {
 public:
  explicit admission_queue(admission_settings settings);
  ~admission_queue();
  admission_queue(admission_queue&&) noexcept;
  admission_queue& operator=(admission_queue&&) noexcept;

  // Returns the index of the class with this name, or nothing. An index stays
  // valid across Update().
  std::optional<std::size_t> FindClass(std::string_view name) const;

  // Dispatches, enqueues, passes or refuses an arriving request. Its id must
  // not be waiting or running.
  std::vector<admission_action> Arrive(const admission_request& request,
                                       time_point now);

  // Frees the slot of a dispatched request that ended.
  std::vector<admission_action> Finish(request_id id, run_outcome outcome,
                                       time_point now);

  // Removes a waiting request whose caller no longer needs it. Returns whether
  // it was waiting; a running request keeps its slot until Finish().
  bool Cancel(request_id id, time_point now);

  // Refuses the requests whose deadline has passed and dispatches waiting
  // requests to free slots.
  std::vector<admission_action> Tick(time_point now);

  // Returns when Tick() is due next: the earliest deadline of a waiting
  // request, or nothing if none waits.
  std::optional<time_point> NextTimer() const;

  // Refuses or passes all requests that arrive from now on; waiting requests
  // still run.
  void Drain();

  // Applies a change of the service document or of the slots that the target
  // reports. Waiting requests of a removed class are refused.
  std::vector<admission_action> Update(std::uint32_t slots,
                                       std::vector<request_class> classes,
                                       time_point now);

  // Slots that may be occupied at present; at most the reported slots.
  std::uint32_t slots_in_use() const;
  // Number of dispatched requests that have not ended.
  std::size_t running() const;
  // Number of waiting requests, in all classes or in one.
  std::size_t waiting() const;
  std::size_t waiting(std::size_t class_index) const;
  const admission_counts& counts() const;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace tamaracklatch
