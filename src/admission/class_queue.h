// The waiting requests of one class at one target daemon, grouped by caller,
// and the credit for the guaranteed share that the class has not used.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "tamaracklatch/admission/admission_queue.h"

namespace tamaracklatch {

// A request that waits for a slot.
struct waiting_request {
  request_id id;
  caller_id caller;
  time_point deadline;
  std::uint64_t order = 0;  // arrival number, counted over all classes
};

// Holds the requests of one class for an admission_queue. The floor is the
// number of slots that the class's share guarantees; it may be fractional.
// Invariants: a caller has an entry only while it has a waiting or running
// request; waiting() is the sum over callers; credit() lies between 0 and floor
// * credit time.
class class_queue {
 public:
  class_queue(request_class limits, double floor, duration credit_time);

  const request_class& limits() const { return limits_; }

  // Applies the limits of a changed document; the requests stay.
  void SetLimits(request_class limits, double floor);

  // Adds the guaranteed slots to the credit and subtracts the running requests,
  // over `elapsed`.
  void Advance(duration elapsed);

  // Number of waiting and running requests of this caller.
  std::size_t RequestCount(caller_id caller) const;

  // Adds a waiting request behind the others of its caller.
  void Push(const waiting_request& request);

  // Returns the next request to serve, or nothing if none waits. With fair
  // queuing it is the oldest of the caller with the fewest running requests, at
  // a tie of the caller served longest ago; otherwise the oldest of the class.
  std::optional<waiting_request> Peek(bool fair_queuing) const;

  // Removes and returns a waiting request; nothing if it does not wait.
  std::optional<waiting_request> Remove(request_id id, caller_id caller);

  // Returns the newest request of the caller with the most waiting requests, if
  // that caller has more than `caller` would have with one more.
  std::optional<waiting_request> FindDisplaceable(caller_id caller) const;

  // Count a dispatched or an ended request of this caller.
  void OnDispatched(caller_id caller);
  void OnEnded(caller_id caller);

  // Adds the service time of a finished run to both averages.
  void RecordServiceTime(duration service_time);

  // Moving average of the service time, in which the newest run weighs a tenth;
  // zero before the first run.
  duration average_service_time() const { return average_service_time_; }

  // Mean service time of about the last thousand runs. It changes only slowly
  // with load, so that runs of different classes are compared relative to it.
  duration long_term_service_time() const {
    return duration(static_cast<duration::rep>(long_term_service_time_));
  }

  // Number of waiting requests that would be served before one more request of
  // this caller.
  std::size_t CountAhead(caller_id caller) const;

  // Returns all waiting requests by caller, each caller's oldest first.
  std::vector<waiting_request> WaitingRequests() const;

  std::size_t waiting() const { return waiting_; }
  std::uint32_t running() const { return running_; }
  double floor() const { return floor_; }    // slots
  double credit() const { return credit_; }  // slot-seconds

 private:
  struct caller_state {
    std::deque<waiting_request> waiting;
    std::uint32_t running = 0;  // dispatched requests that have not ended
    // dispatch_count_ at its newest dispatch; 0 for none.
    std::uint64_t last_dispatch = 0;
  };

  // Whether the left caller is served first; both must have waiting requests.
  static bool IsBefore(const caller_state& left, const caller_state& right,
                       bool fair_queuing);

  request_class limits_;
  double floor_;
  duration credit_time_;
  double credit_ = 0.0;
  std::map<caller_id, caller_state> callers_;
  std::size_t waiting_ = 0;
  std::uint32_t running_ = 0;
  std::uint64_t dispatch_count_ = 0;
  duration average_service_time_{0};
  double long_term_service_time_ = 0.0;  // microseconds
  std::uint32_t sample_count_ = 0;
};

}  // namespace tamaracklatch
