// Admission decisions: checks limits on arrival, selects the class for a free
// slot and refuses requests that would miss their deadline.
#include "tamaracklatch/admission/admission_queue.h"

#include <algorithm>
#include <cassert>
#include <map>
#include <set>
#include <string>
#include <utility>

#include "admission/class_queue.h"
#include "admission/slot_limit.h"

namespace tamaracklatch {
namespace {

// A request is refused instead of dispatched when the time left until its
// deadline is less than this fraction of the average service time.
constexpr double kMinRemainingFraction = 0.5;
// Least retry_after of a refusal.
constexpr duration kMinRetryAfter = std::chrono::seconds(1);

using deadline_entry = std::pair<time_point, request_id>;

duration Scaled(duration time, double factor) {
  return duration(
      static_cast<duration::rep>(static_cast<double>(time.count()) * factor));
}

// Locates a waiting request in its class queue and in the deadlines.
struct waiting_entry {
  std::size_t class_index = 0;
  caller_id caller;
  time_point deadline;
};

// A dispatched request that has not ended.
struct running_request {
  std::size_t class_index = 0;
  caller_id caller;
  time_point started_at;
  // Requests running when it started, itself included.
  std::uint32_t running = 0;
};

// Properties of a class with waiting requests by which policies compare it.
struct class_rank {
  std::size_t class_index = 0;
  bool below_floor = false;
  double lag = 0.0;  // unused credit, in seconds at its guaranteed share
  double use = 0.0;  // running requests divided by guaranteed slots
  std::uint8_t urgency = 0;  // 0 is the most urgent
  std::uint64_t order = 0;   // arrival number of its next request
};

// Whether `left` is served before `right` under the visited policy.
struct served_before {
  const class_rank& left;
  const class_rank& right;

  bool operator()(const floors_then_urgency&) const {
    if (left.below_floor != right.below_floor) return left.below_floor;
    if (left.below_floor && left.lag != right.lag) return left.lag > right.lag;
    if (left.urgency != right.urgency) return left.urgency < right.urgency;
    if (left.use != right.use) return left.use < right.use;
    return left.order < right.order;
  }
  bool operator()(const urgency_only&) const {
    if (left.urgency != right.urgency) return left.urgency < right.urgency;
    return left.order < right.order;
  }
  bool operator()(const shares_only&) const {
    if (left.use != right.use) return left.use < right.use;
    return left.order < right.order;
  }
  bool operator()(const arrival_order&) const {
    return left.order < right.order;
  }
};

}  // namespace

struct admission_queue::state {
  explicit state(admission_settings initial_settings)
      : settings(std::move(initial_settings)), limit(settings.slots) {
    for (const request_class& each : settings.classes) {
      classes.emplace_back(each, GuaranteedSlots(each), settings.credit_time);
    }
  }

  // Number of slots that the share of a class guarantees; may be fractional.
  double GuaranteedSlots(const request_class& each) const {
    return each.guaranteed_share * settings.slots;
  }

  std::uint32_t SlotsInUse() const {
    return settings.adapt_slots ? limit.current() : settings.slots;
  }

  // Updates the credit of every class to `now`. Earlier times are ignored.
  void Advance(time_point now) {
    if (now <= last_advance) return;
    for (class_queue& each : classes) each.Advance(now - last_advance);
    last_advance = now;
  }

  bool HasFreeSlot() const { return running.size() < SlotsInUse(); }

  // Estimates the slots available to the class while the classes that have
  // waiting requests keep them.
  double EstimateSlots(std::size_t index) const {
    const class_queue& queue = classes[index];
    double spare = SlotsInUse();
    double sharers = 1.0;
    for (std::size_t i = 0; i < classes.size(); ++i) {
      const class_queue& other = classes[i];
      if (i == index || other.waiting() == 0) continue;
      if (other.limits().urgency < queue.limits().urgency) return queue.floor();
      spare -= other.floor();
      if (other.limits().urgency == queue.limits().urgency) sharers += 1.0;
    }
    return std::max(queue.floor(),
                    queue.floor() + (spare - queue.floor()) / sharers);
  }

  // Estimates the time until one more request of this caller would start.
  // Returns nothing before the first finished run or without slots.
  std::optional<duration> EstimateWait(std::size_t index,
                                       caller_id caller) const {
    const class_queue& queue = classes[index];
    if (queue.average_service_time() == duration(0)) return std::nullopt;
    const double slots = EstimateSlots(index);
    if (slots <= 0.0) return std::nullopt;
    const double turns = static_cast<double>(queue.CountAhead(caller));
    return Scaled(queue.average_service_time(), turns / slots);
  }

  bool CanMeetDeadline(const admission_request& request, time_point now) const {
    const class_queue& queue = classes[request.class_index];
    // An idle class does not refresh its estimate, which may be stale: admit.
    if (queue.waiting() == 0 && queue.running() == 0) return true;
    const auto wait = EstimateWait(request.class_index, request.caller);
    if (!wait) return true;
    return now + *wait + queue.average_service_time() <= request.deadline;
  }

  duration RetryAfter(std::size_t index, caller_id caller) const {
    const auto wait = EstimateWait(index, caller);
    return std::max<duration>(kMinRetryAfter, wait.value_or(kMinRetryAfter));
  }

  // Returns the reason why an arriving request can't be admitted, or kOk.
  result_code Check(const admission_request& request, time_point now) const {
    const class_queue& queue = classes[request.class_index];
    if (draining) return result_code::kDraining;
    // Only a removed class has a caller limit of 0.
    if (queue.limits().caller_limit == 0) return result_code::kClassUnknown;
    if (request.deadline <= now) return result_code::kDeadlinePassed;
    if (queue.RequestCount(request.caller) >= queue.limits().caller_limit) {
      return result_code::kCallerLimit;
    }
    if (settings.refuse_early && !CanMeetDeadline(request, now)) {
      return result_code::kDeadlineUnmeetable;
    }
    return result_code::kOk;
  }

  void Refuse(request_id id, result_code code, duration retry_after) {
    ++counts.refused;
    actions.emplace_back(admission_refusal{id, code, retry_after});
  }

  void PassOrRefuse(const admission_request& request, result_code code) {
    // The other candidate target would only spend capacity on a caller that is
    // over its limit.
    if (request.may_pass && code != result_code::kCallerLimit &&
        code != result_code::kDeadlinePassed) {
      ++counts.passed;
      actions.emplace_back(admission_pass{request.id});
      return;
    }
    Refuse(request.id, code, RetryAfter(request.class_index, request.caller));
  }

  // Removes a waiting request from its class queue and from all tables.
  void RemoveWaiting(request_id id) {
    const auto found = waiting_entries.find(id);
    assert(found != waiting_entries.end());
    const waiting_entry place = found->second;
    classes[place.class_index].Remove(id, place.caller);
    deadlines.erase({place.deadline, id});
    waiting_entries.erase(found);
  }

  // Refuses the newest request of the caller with the most waiting requests, so
  // that `request` fits into a full queue. Returns false without fair
  // queuing, or if no caller has more than the arriving one would have.
  bool DisplaceFor(const admission_request& request) {
    if (!settings.fair_queuing) return false;
    class_queue& queue = classes[request.class_index];
    const auto displaced = queue.FindDisplaceable(request.caller);
    if (!displaced) return false;
    RemoveWaiting(displaced->id);
    Refuse(displaced->id, result_code::kQueueFull,
           RetryAfter(request.class_index, displaced->caller));
    return true;
  }

  void Enqueue(const admission_request& request) {
    waiting_request waiting;
    waiting.id = request.id;
    waiting.caller = request.caller;
    waiting.deadline = request.deadline;
    waiting.order = ++arrival_count;
    classes[request.class_index].Push(waiting);
    waiting_entries[request.id] = {request.class_index, request.caller,
                                   request.deadline};
    deadlines.insert({request.deadline, request.id});
  }

  void Arrive(const admission_request& request, time_point now) {
    ++counts.arrived;
    const result_code code = Check(request, now);
    if (code != result_code::kOk) {
      PassOrRefuse(request, code);
      return;
    }
    class_queue& queue = classes[request.class_index];
    const bool must_wait = !HasFreeSlot() || !waiting_entries.empty();
    if (must_wait && request.may_pass) {
      PassOrRefuse(request, result_code::kQueueFull);
      return;
    }
    const bool full = queue.waiting() >= queue.limits().queue_limit;
    if (must_wait && full && !DisplaceFor(request)) {
      PassOrRefuse(request, result_code::kQueueFull);
      return;
    }
    Enqueue(request);
  }

  // Returns the class that gets the next free slot, or nothing if none waits.
  std::optional<class_rank> SelectClass() const {
    std::optional<class_rank> best;
    for (std::size_t i = 0; i < classes.size(); ++i) {
      const auto head = classes[i].Peek(settings.fair_queuing);
      if (!head) continue;
      class_rank next;
      next.class_index = i;
      next.below_floor = classes[i].credit() > 0.0;
      if (next.below_floor) next.lag = classes[i].credit() / classes[i].floor();
      next.use = classes[i].running() / std::max(classes[i].floor(), 1e-3);
      next.urgency = classes[i].limits().urgency;
      next.order = head->order;
      if (!best || std::visit(served_before{next, *best}, settings.policy)) {
        best = next;
      }
    }
    return best;
  }

  // Whether the request can no longer end before its deadline, so that running
  // it would waste a slot.
  bool WouldMissDeadline(const class_queue& queue,
                         const waiting_request& request, time_point now) const {
    if (request.deadline <= now) return true;
    if (!settings.refuse_early || queue.running() == 0) return false;
    return now + Scaled(queue.average_service_time(), kMinRemainingFraction) >
           request.deadline;
  }

  // Fills the free slots with waiting requests.
  void Dispatch(time_point now) {
    while (HasFreeSlot()) {
      const auto next = SelectClass();
      if (!next) return;
      class_queue& queue = classes[next->class_index];
      const waiting_request request = *queue.Peek(settings.fair_queuing);
      RemoveWaiting(request.id);
      if (WouldMissDeadline(queue, request, now)) {
        Refuse(request.id, result_code::kDeadlineUnmeetable, kMinRetryAfter);
        continue;
      }
      queue.OnDispatched(request.caller);
      const auto count = static_cast<std::uint32_t>(running.size() + 1);
      running[request.id] = {next->class_index, request.caller, now, count};
      ++counts.dispatched;
      actions.emplace_back(admission_dispatch{request.id});
    }
  }

  // Refuses the waiting requests whose deadline has passed.
  void Expire(time_point now) {
    while (!deadlines.empty() && deadlines.begin()->first <= now) {
      const request_id id = deadlines.begin()->second;
      RemoveWaiting(id);
      Refuse(id, result_code::kDeadlinePassed, kMinRetryAfter);
    }
  }

  void Finish(request_id id, run_outcome outcome, time_point now) {
    const auto found = running.find(id);
    assert(found != running.end());
    const running_request run = found->second;
    const auto count = static_cast<std::uint32_t>(running.size());
    running.erase(found);
    class_queue& queue = classes[run.class_index];
    queue.OnEnded(run.caller);
    if (outcome == run_outcome::kShed) limit.OnShed(count, now);
    if (outcome != run_outcome::kAnswered) return;
    const duration run_time = now - run.started_at;
    queue.RecordServiceTime(std::max(run_time, duration(1)));
    const auto scale =
        static_cast<double>(queue.long_term_service_time().count());
    limit.OnAnswered(
        static_cast<double>(run_time.count()) / std::max(scale, 1.0),
        run.running, now);
  }

  // Returns the actions collected since the last call.
  std::vector<admission_action> TakeActions() {
    return std::exchange(actions, {});
  }

  admission_settings settings;
  slot_limit limit;
  std::vector<class_queue> classes;
  std::map<request_id, waiting_entry> waiting_entries;
  std::map<request_id, running_request> running;
  std::set<deadline_entry> deadlines;  // of the waiting requests
  std::vector<admission_action> actions;
  admission_counts counts;
  time_point last_advance{};        // of the newest Advance()
  std::uint64_t arrival_count = 0;  // enqueued requests since the start
  bool draining = false;
};

admission_queue::admission_queue(admission_settings settings)
    : state_(std::make_unique<state>(std::move(settings))) {}
admission_queue::~admission_queue() = default;
admission_queue::admission_queue(admission_queue&&) noexcept = default;
admission_queue& admission_queue::operator=(admission_queue&&) noexcept =
    default;

std::optional<std::size_t> admission_queue::FindClass(
    std::string_view name) const {
  for (std::size_t i = 0; i < state_->classes.size(); ++i) {
    if (state_->classes[i].limits().name == name) return i;
  }
  return std::nullopt;
}

std::vector<admission_action> admission_queue::Arrive(
    const admission_request& request, time_point now) {
  assert(request.class_index < state_->classes.size());
  assert(state_->waiting_entries.count(request.id) == 0);
  assert(state_->running.count(request.id) == 0);
  state_->Advance(now);
  state_->Expire(now);
  state_->Arrive(request, now);
  state_->Dispatch(now);
  return state_->TakeActions();
}

std::vector<admission_action> admission_queue::Finish(request_id id,
                                                      run_outcome outcome,
                                                      time_point now) {
  state_->Advance(now);
  state_->Expire(now);
  state_->Finish(id, outcome, now);
  state_->Dispatch(now);
  return state_->TakeActions();
}

bool admission_queue::Cancel(request_id id, time_point now) {
  state_->Advance(now);
  if (state_->waiting_entries.count(id) == 0) return false;
  state_->RemoveWaiting(id);
  return true;
}

std::vector<admission_action> admission_queue::Tick(time_point now) {
  state_->Advance(now);
  state_->Expire(now);
  state_->Dispatch(now);
  return state_->TakeActions();
}

std::optional<time_point> admission_queue::NextTimer() const {
  if (state_->deadlines.empty()) return std::nullopt;
  return state_->deadlines.begin()->first;
}

void admission_queue::Drain() { state_->draining = true; }

std::vector<admission_action> admission_queue::Update(
    std::uint32_t slots, std::vector<request_class> classes, time_point now) {
  state_->Advance(now);
  state_->settings.slots = slots;
  state_->limit.SetReportedSlots(slots);
  for (class_queue& queue : state_->classes) {
    const auto found = std::find_if(classes.begin(), classes.end(),
                                    [&queue](const request_class& each) {
                                      return each.name == queue.limits().name;
                                    });
    if (found != classes.end()) {
      queue.SetLimits(*found, state_->GuaranteedSlots(*found));
      classes.erase(found);
      continue;
    }
    // A removed class keeps its index and its running requests, but admits no
    // new ones.
    request_class closed = queue.limits();
    closed.guaranteed_share = 0.0;
    closed.queue_limit = 0;
    closed.caller_limit = 0;
    queue.SetLimits(closed, 0.0);
    for (const waiting_request& request : queue.WaitingRequests()) {
      state_->RemoveWaiting(request.id);
      state_->Refuse(request.id, result_code::kClassUnknown, kMinRetryAfter);
    }
  }
  for (const request_class& each : classes) {
    state_->classes.emplace_back(each, state_->GuaranteedSlots(each),
                                 state_->settings.credit_time);
  }
  state_->Dispatch(now);
  return state_->TakeActions();
}

std::uint32_t admission_queue::slots_in_use() const {
  return state_->SlotsInUse();
}
std::size_t admission_queue::running() const { return state_->running.size(); }
std::size_t admission_queue::waiting() const {
  return state_->waiting_entries.size();
}
std::size_t admission_queue::waiting(std::size_t class_index) const {
  assert(class_index < state_->classes.size());
  return state_->classes[class_index].waiting();
}
const admission_counts& admission_queue::counts() const {
  return state_->counts;
}

}  // namespace tamaracklatch
