// Admission at a target daemon: which request runs next, which waits and which
// is refused before it runs. The target's slots are the tokens.
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

// One request at one target daemon, numbered by the daemon. 0 names none.
using request_id = strong_number<struct request_id_tag>;

// A caller, as a hash of what identifies it.
using caller_id = strong_number<struct caller_id_tag>;

// The order in which waiting classes get free slots.
// Floors first, then urgency: the policy chosen.
struct floors_then_urgency {};
// The most urgent class first, whatever the shares.
struct urgency_alone {};
// The class furthest below its share first, whatever the urgency.
struct shares_alone {};
// The request that came first.
struct arrival_order {};

using admission_policy = std::variant<floors_then_urgency, urgency_alone,
                                      shares_alone, arrival_order>;

struct admission_settings {
  std::uint32_t slots = 1;             // as the target reports them
  std::vector<request_class> classes;  // from the document
  admission_policy policy;
  // Unused share that a class may save up, as time at its guaranteed share.
  duration credit_time = std::chrono::seconds(2);
  // Whether the callers of a class are served in turn, else in order of
  // arrival.
  bool fair_turns = true;
  // Whether requests that can't meet their deadline are refused on arrival.
  bool refuse_early = true;
  // Whether the slots in use follow what the target shows to bear.
  bool adapt_slots = true;
};

// A request that asks to run.
struct admission_request {
  request_id id;
  std::size_t class_index = 0;  // as FindClass gives it
  caller_id caller;
  time_point deadline;
  bool may_pass = false;  // whether another candidate may take it instead
};

// The request runs now; Finish() must follow.
struct admission_dispatch {
  request_id id;
};

// The request goes to the other candidate; it did not run here.
struct admission_pass {
  request_id id;
};

// The request is refused; it did not run.
struct admission_refusal {
  request_id id;
  result_code code = result_code::kOk;
  duration retry_after{0};  // when another try may be worth it
};

using admission_action =
    std::variant<admission_dispatch, admission_pass, admission_refusal>;

// How a run ended, as the adaptive limit sees it.
enum class run_outcome : std::uint8_t {
  kAnswered,   // the target worked on it to the end
  kShed,       // the target refused it for want of room
  kAbandoned,  // cancelled or lost; says nothing about the slots
};

// Counts since the start.
struct admission_counts {
  std::uint64_t arrived = 0;
  std::uint64_t dispatched = 0;
  std::uint64_t passed = 0;
  std::uint64_t refused = 0;
};

// The waiting and running requests of one target daemon.
// Invariants: at most slots_in_use() requests are dispatched at once; a class
// has at most queue_limit waiting requests; a caller has at most caller_limit
// requests in a class; state is bounded by these limits, whatever the number of
// callers. Each request gets exactly one of dispatch, pass and refusal, unless
// it leaves first.
class admission_queue {
 public:
  explicit admission_queue(admission_settings settings);
  ~admission_queue();
  admission_queue(admission_queue&&) noexcept;
  admission_queue& operator=(admission_queue&&) noexcept;

  // Index of the class with this name.
  std::optional<std::size_t> FindClass(std::string_view name) const;

  // A request arrives. Its id must not be waiting or running.
  std::vector<admission_action> Arrive(const admission_request& request,
                                       time_point now);

  // A dispatched request ended.
  std::vector<admission_action> Finish(request_id id, run_outcome outcome,
                                       time_point now);

  // The caller of a waiting request left. Returns whether it was waiting; a
  // running one goes on until Finish().
  bool Leave(request_id id, time_point now);

  // Refuses the requests whose deadline has passed and dispatches what has
  // become possible.
  std::vector<admission_action> Tick(time_point now);

  // When Tick() has something to do.
  std::optional<time_point> NextTimer() const;

  // Refuses or passes all that arrives from now on; what waits still runs.
  void Drain();

  // The document or the target's report changed. Waiting requests of a class
  // that is gone are refused.
  std::vector<admission_action> Update(std::uint32_t slots,
                                       std::vector<request_class> classes,
                                       time_point now);

  std::uint32_t slots_in_use() const;
  std::size_t running() const;
  std::size_t waiting() const;
  std::size_t waiting(std::size_t class_index) const;
  const admission_counts& counts() const;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace tamaracklatch
