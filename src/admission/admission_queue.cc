// Decisions of admission: limits on arrival, the next class for a free slot,
// refusals in time.
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

// A request is refused at its turn when less than this fraction of the usual
// time of a run is left.
constexpr double kHopelessFraction = 0.5;
constexpr duration kShortestRetry = std::chrono::seconds(1);

using deadline_entry = std::pair<time_point, request_id>;

duration Scaled(duration time, double factor) {
  return duration(
      static_cast<duration::rep>(static_cast<double>(time.count()) * factor));
}

// Where a waiting request stands.
struct waiting_place {
  std::size_t class_index = 0;
  caller_id caller;
  time_point deadline;
};

// A dispatched request.
struct running_request {
  std::size_t class_index = 0;
  caller_id caller;
  time_point began;
  std::uint32_t running = 0;  // dispatched when it began, itself among them
};

// A class that could be served next.
struct choice {
  std::size_t class_index = 0;
  bool below_floor = false;
  double lag = 0.0;  // seconds at its guaranteed share that it has not used
  double use = 0.0;  // running over guaranteed slots
  std::uint8_t urgency = 0;
  std::uint64_t order = 0;  // of its next request
};

// Whether `left` is served before `right`, by each policy.
struct served_before {
  const choice& left;
  const choice& right;

  bool operator()(const floors_then_urgency&) const {
    if (left.below_floor != right.below_floor) return left.below_floor;
    if (left.below_floor && left.lag != right.lag) return left.lag > right.lag;
    if (left.urgency != right.urgency) return left.urgency < right.urgency;
    if (left.use != right.use) return left.use < right.use;
    return left.order < right.order;
  }
  bool operator()(const urgency_alone&) const {
    if (left.urgency != right.urgency) return left.urgency < right.urgency;
    return left.order < right.order;
  }
  bool operator()(const shares_alone&) const {
    if (left.use != right.use) return left.use < right.use;
    return left.order < right.order;
  }
  bool operator()(const arrival_order&) const {
    return left.order < right.order;
  }
};

}  // namespace

struct admission_queue::state {
  explicit state(admission_settings chosen)
      : settings(std::move(chosen)), limit(settings.slots) {
    for (const request_class& each : settings.classes) {
      classes.emplace_back(each, FloorOf(each), settings.credit_time);
    }
  }

  double FloorOf(const request_class& each) const {
    return each.guaranteed_share * settings.slots;
  }

  std::uint32_t SlotsInUse() const {
    return settings.adapt_slots ? limit.current() : settings.slots;
  }

  void Advance(time_point now) {
    if (now <= last) return;
    for (class_queue& each : classes) each.Advance(now - last);
    last = now;
  }

  bool HasRoom() const { return running.size() < SlotsInUse(); }

  // Slots that the class can count on while the others keep waiting.
  double SlotsOf(std::size_t index) const {
    const class_queue& own = classes[index];
    double spare = SlotsInUse();
    double sharers = 1.0;
    for (std::size_t i = 0; i < classes.size(); ++i) {
      const class_queue& other = classes[i];
      if (i == index || other.waiting() == 0) continue;
      if (other.limits().urgency < own.limits().urgency) return own.floor();
      spare -= other.floor();
      if (other.limits().urgency == own.limits().urgency) sharers += 1.0;
    }
    return std::max(own.floor(), own.floor() + (spare - own.floor()) / sharers);
  }

  // Time until one more request of this caller would begin; none where it can't
  // be told.
  std::optional<duration> WaitOf(std::size_t index, caller_id caller) const {
    const class_queue& own = classes[index];
    if (own.usual_time() == duration(0)) return std::nullopt;
    const double slots = SlotsOf(index);
    if (slots <= 0.0) return std::nullopt;
    const double turns = static_cast<double>(own.Ahead(caller));
    return Scaled(own.usual_time(), turns / slots);
  }

  bool CanMeet(const admission_request& request, time_point now) const {
    const class_queue& own = classes[request.class_index];
    // With nothing of the class here, the estimate may be stale: try it.
    if (own.waiting() == 0 && own.running() == 0) return true;
    const auto wait = WaitOf(request.class_index, request.caller);
    if (!wait) return true;
    return now + *wait + own.usual_time() <= request.deadline;
  }

  duration RetryAfter(std::size_t index, caller_id caller) const {
    const auto wait = WaitOf(index, caller);
    return std::max<duration>(kShortestRetry, wait.value_or(kShortestRetry));
  }

  // The code by which an arriving request can't be taken, kOk where it can.
  result_code Check(const admission_request& request, time_point now) const {
    const class_queue& own = classes[request.class_index];
    if (draining) return result_code::kDraining;
    // Only a class that is gone allows its callers nothing.
    if (own.limits().caller_limit == 0) return result_code::kClassUnknown;
    if (request.deadline <= now) return result_code::kDeadlinePassed;
    if (own.CountOf(request.caller) >= own.limits().caller_limit) {
      return result_code::kCallerLimit;
    }
    if (settings.refuse_early && !CanMeet(request, now)) {
      return result_code::kDeadlineUnmeetable;
    }
    return result_code::kOk;
  }

  void Refuse(request_id id, result_code code, duration retry_after) {
    ++counts.refused;
    actions.emplace_back(admission_refusal{id, code, retry_after});
  }

  void PassOrRefuse(const admission_request& request, result_code code) {
    // A caller over its limit would only take the other candidate's room.
    if (request.may_pass && code != result_code::kCallerLimit &&
        code != result_code::kDeadlinePassed) {
      ++counts.passed;
      actions.emplace_back(admission_pass{request.id});
      return;
    }
    Refuse(request.id, code, RetryAfter(request.class_index, request.caller));
  }

  // Takes a waiting request out of all tables.
  void Forget(request_id id) {
    const auto found = places.find(id);
    assert(found != places.end());
    const waiting_place place = found->second;
    classes[place.class_index].Remove(id, place.caller);
    deadlines.erase({place.deadline, id});
    places.erase(found);
  }

  // Makes room in a full queue by the newest request of the heaviest caller.
  bool MakeRoom(const admission_request& request) {
    if (!settings.fair_turns) return false;
    class_queue& own = classes[request.class_index];
    const auto displaced = own.Displace(request.caller);
    if (!displaced) return false;
    Forget(displaced->id);
    Refuse(displaced->id, result_code::kQueueFull,
           RetryAfter(request.class_index, displaced->caller));
    return true;
  }

  void Enqueue(const admission_request& request) {
    waiting_request waiting;
    waiting.id = request.id;
    waiting.caller = request.caller;
    waiting.deadline = request.deadline;
    waiting.order = ++arrivals;
    classes[request.class_index].Push(waiting);
    places[request.id] = {request.class_index, request.caller,
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
    class_queue& own = classes[request.class_index];
    const bool must_wait = !HasRoom() || !places.empty();
    if (must_wait && request.may_pass) {
      PassOrRefuse(request, result_code::kQueueFull);
      return;
    }
    const bool full = own.waiting() >= own.limits().queue_limit;
    if (must_wait && full && !MakeRoom(request)) {
      PassOrRefuse(request, result_code::kQueueFull);
      return;
    }
    Enqueue(request);
  }

  std::optional<choice> Next() const {
    std::optional<choice> best;
    for (std::size_t i = 0; i < classes.size(); ++i) {
      const auto head = classes[i].Peek(settings.fair_turns);
      if (!head) continue;
      choice next;
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

  // Refuses what can't end in time any more, instead of running it in vain.
  bool Hopeless(const class_queue& own, const waiting_request& request,
                time_point now) const {
    if (request.deadline <= now) return true;
    if (!settings.refuse_early || own.running() == 0) return false;
    return now + Scaled(own.usual_time(), kHopelessFraction) > request.deadline;
  }

  void Dispatch(time_point now) {
    while (HasRoom()) {
      const auto next = Next();
      if (!next) return;
      class_queue& own = classes[next->class_index];
      const waiting_request request = *own.Peek(settings.fair_turns);
      Forget(request.id);
      if (Hopeless(own, request, now)) {
        Refuse(request.id, result_code::kDeadlineUnmeetable, kShortestRetry);
        continue;
      }
      own.Began(request.caller);
      const auto count = static_cast<std::uint32_t>(running.size() + 1);
      running[request.id] = {next->class_index, request.caller, now, count};
      ++counts.dispatched;
      actions.emplace_back(admission_dispatch{request.id});
    }
  }

  void Expire(time_point now) {
    while (!deadlines.empty() && deadlines.begin()->first <= now) {
      const request_id id = deadlines.begin()->second;
      Forget(id);
      Refuse(id, result_code::kDeadlinePassed, kShortestRetry);
    }
  }

  void Finish(request_id id, run_outcome outcome, time_point now) {
    const auto found = running.find(id);
    assert(found != running.end());
    const running_request run = found->second;
    const auto count = static_cast<std::uint32_t>(running.size());
    running.erase(found);
    class_queue& own = classes[run.class_index];
    own.Ended(run.caller);
    if (outcome == run_outcome::kShed) limit.OnShed(count, now);
    if (outcome != run_outcome::kAnswered) return;
    const duration took = now - run.began;
    own.Learn(std::max(took, duration(1)));
    const auto scale = static_cast<double>(own.long_time().count());
    limit.OnAnswer(static_cast<double>(took.count()) / std::max(scale, 1.0),
                   run.running, now);
  }

  std::vector<admission_action> Take() { return std::exchange(actions, {}); }

  admission_settings settings;
  slot_limit limit;
  std::vector<class_queue> classes;
  std::map<request_id, waiting_place> places;
  std::map<request_id, running_request> running;
  std::set<deadline_entry> deadlines;  // of the waiting requests
  std::vector<admission_action> actions;
  admission_counts counts;
  time_point last{};
  std::uint64_t arrivals = 0;
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
  assert(state_->places.count(request.id) == 0);
  assert(state_->running.count(request.id) == 0);
  state_->Advance(now);
  state_->Expire(now);
  state_->Arrive(request, now);
  state_->Dispatch(now);
  return state_->Take();
}

std::vector<admission_action> admission_queue::Finish(request_id id,
                                                      run_outcome outcome,
                                                      time_point now) {
  state_->Advance(now);
  state_->Expire(now);
  state_->Finish(id, outcome, now);
  state_->Dispatch(now);
  return state_->Take();
}

bool admission_queue::Leave(request_id id, time_point now) {
  state_->Advance(now);
  if (state_->places.count(id) == 0) return false;
  state_->Forget(id);
  return true;
}

std::vector<admission_action> admission_queue::Tick(time_point now) {
  state_->Advance(now);
  state_->Expire(now);
  state_->Dispatch(now);
  return state_->Take();
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
  state_->limit.Report(slots);
  for (class_queue& own : state_->classes) {
    const auto found = std::find_if(classes.begin(), classes.end(),
                                    [&own](const request_class& each) {
                                      return each.name == own.limits().name;
                                    });
    if (found != classes.end()) {
      own.Change(*found, state_->FloorOf(*found));
      classes.erase(found);
      continue;
    }
    // A class that is gone keeps its index and what runs, but takes nothing.
    request_class closed = own.limits();
    closed.guaranteed_share = 0.0;
    closed.queue_limit = 0;
    closed.caller_limit = 0;
    own.Change(closed, 0.0);
    for (const waiting_request& request : own.Waiting()) {
      state_->Forget(request.id);
      state_->Refuse(request.id, result_code::kClassUnknown, kShortestRetry);
    }
  }
  for (const request_class& each : classes) {
    state_->classes.emplace_back(each, state_->FloorOf(each),
                                 state_->settings.credit_time);
  }
  state_->Dispatch(now);
  return state_->Take();
}

std::uint32_t admission_queue::slots_in_use() const {
  return state_->SlotsInUse();
}
std::size_t admission_queue::running() const { return state_->running.size(); }
std::size_t admission_queue::waiting() const { return state_->places.size(); }
std::size_t admission_queue::waiting(std::size_t class_index) const {
  assert(class_index < state_->classes.size());
  return state_->classes[class_index].waiting();
}
const admission_counts& admission_queue::counts() const {
  return state_->counts;
}

}  // namespace tamaracklatch
