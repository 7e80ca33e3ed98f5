// The waiting requests of one class at one target daemon, by caller, and what
// the class has used of its share.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "tamaracklatch/admission/admission_queue.h"

namespace tamaracklatch {

// A request that waits.
struct waiting_request {
  request_id id;
  caller_id caller;
  time_point deadline;
  std::uint64_t order = 0;  // of arrival over all classes
};

// Invariants: a caller is kept only while it has a waiting or running request;
// waiting() is the sum over callers; credit() lies between 0 and
// floor * credit time.
class class_queue {
 public:
  class_queue(request_class limits, double floor, duration credit_time);

  const request_class& limits() const { return limits_; }

  // The document changed: other limits for the same requests.
  void Change(request_class limits, double floor);

  // Lets the credit grow by the guaranteed share and shrink by what ran.
  void Advance(duration elapsed);

  // Requests of this caller, waiting and running.
  std::size_t CountOf(caller_id caller) const;

  void Push(const waiting_request& request);

  // The next request: by fair turns, of the caller with the fewest running,
  // then of the one served longest ago; else the oldest. None where nothing
  // waits.
  std::optional<waiting_request> Peek(bool fair_turns) const;

  // Removes a waiting request.
  std::optional<waiting_request> Remove(request_id id, caller_id caller);

  // The newest request of the caller with the most waiting, if that is more
  // than `caller` would have with one more.
  std::optional<waiting_request> Displace(caller_id caller) const;

  // A request of this caller was dispatched or ended.
  void Began(caller_id caller);
  void Ended(caller_id caller);

  // A run took this time.
  void Learn(duration service_time);

  // Usual time of a run; zero before the first.
  duration usual_time() const { return usual_time_; }

  // Mean time of the last thousand runs or so: the scale of the class, which
  // follows load only slowly.
  duration long_time() const {
    return duration(static_cast<duration::rep>(long_time_));
  }

  // Waiting requests that would be served before one more of this caller.
  std::size_t Ahead(caller_id caller) const;

  // All waiting requests, oldest first for each caller.
  std::vector<waiting_request> Waiting() const;

  std::size_t waiting() const { return waiting_; }
  std::uint32_t running() const { return running_; }
  double floor() const { return floor_; }    // slots
  double credit() const { return credit_; }  // slot-seconds

 private:
  struct caller_state {
    std::deque<waiting_request> waiting;
    std::uint32_t running = 0;
    std::uint64_t last_turn = 0;
  };

  // Whether the left caller's turn comes first; both have a request waiting.
  static bool IsBefore(const caller_state& left, const caller_state& right,
                       bool fair_turns);

  request_class limits_;
  double floor_;
  duration credit_time_;
  double credit_ = 0.0;
  std::map<caller_id, caller_state> callers_;
  std::size_t waiting_ = 0;
  std::uint32_t running_ = 0;
  std::uint64_t turns_ = 0;
  duration usual_time_{0};
  double long_time_ = 0.0;  // microseconds
  std::uint32_t learned_ = 0;
};

}  // namespace tamaracklatch
