// Fair queuing among the callers of a class, and accounting of its credit.
#include "admission/class_queue.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace tamaracklatch {
namespace {

// Weight of the newest run in the moving average of the service time.
constexpr double kNewestRunWeight = 0.1;
// Number of runs over which the long-term mean averages.
constexpr std::uint32_t kLongTermRuns = 1000;

double Seconds(duration time) {
  return std::chrono::duration<double>(time).count();
}

}  // namespace

class_queue::class_queue(request_class limits, double floor,
                         duration credit_time)
    : limits_(std::move(limits)),
      floor_(floor),
      credit_time_(credit_time),
      credit_(floor * Seconds(credit_time)) {}

void class_queue::SetLimits(request_class limits, double floor) {
  limits_ = std::move(limits);
  floor_ = floor;
  Advance(duration(0));
}

void class_queue::Advance(duration elapsed) {
  const double grown = credit_ + (floor_ - running_) * Seconds(elapsed);
  credit_ = std::clamp(grown, 0.0, floor_ * Seconds(credit_time_));
}

std::size_t class_queue::RequestCount(caller_id caller) const {
  const auto found = callers_.find(caller);
  if (found == callers_.end()) return 0;
  return found->second.waiting.size() + found->second.running;
}

void class_queue::Push(const waiting_request& request) {
  caller_state& caller = callers_[request.caller];
  caller.waiting.push_back(request);
  ++waiting_;
}

std::optional<waiting_request> class_queue::Peek(bool fair_queuing) const {
  const caller_state* next = nullptr;
  for (const auto& [id, caller] : callers_) {
    if (caller.waiting.empty()) continue;
    if (next == nullptr || IsBefore(caller, *next, fair_queuing))
      next = &caller;
  }
  if (next == nullptr) return std::nullopt;
  return next->waiting.front();
}

bool class_queue::IsBefore(const caller_state& left, const caller_state& right,
                           bool fair_queuing) {
  if (!fair_queuing) {
    return left.waiting.front().order < right.waiting.front().order;
  }
  if (left.running != right.running) return left.running < right.running;
  if (left.last_dispatch != right.last_dispatch) {
    return left.last_dispatch < right.last_dispatch;
  }
  return left.waiting.front().order < right.waiting.front().order;
}

std::optional<waiting_request> class_queue::Remove(request_id id,
                                                   caller_id caller) {
  const auto found = callers_.find(caller);
  if (found == callers_.end()) return std::nullopt;
  auto& waiting = found->second.waiting;
  const auto at = std::find_if(
      waiting.begin(), waiting.end(),
      [id](const waiting_request& request) { return request.id == id; });
  if (at == waiting.end()) return std::nullopt;
  const waiting_request removed = *at;
  waiting.erase(at);
  --waiting_;
  if (waiting.empty() && found->second.running == 0) callers_.erase(found);
  return removed;
}

std::optional<waiting_request> class_queue::FindDisplaceable(
    caller_id caller) const {
  const auto entry = callers_.find(caller);
  std::size_t most =
      1 + (entry == callers_.end() ? 0 : entry->second.waiting.size());
  const caller_state* heaviest = nullptr;
  for (const auto& [id, other] : callers_) {
    if (other.waiting.size() <= most) continue;
    most = other.waiting.size();
    heaviest = &other;
  }
  if (heaviest == nullptr) return std::nullopt;
  return heaviest->waiting.back();
}

void class_queue::OnDispatched(caller_id caller) {
  caller_state& state = callers_[caller];
  ++state.running;
  state.last_dispatch = ++dispatch_count_;
  ++running_;
}

void class_queue::OnEnded(caller_id caller) {
  const auto found = callers_.find(caller);
  assert(found != callers_.end() && found->second.running > 0);
  --found->second.running;
  --running_;
  if (found->second.waiting.empty() && found->second.running == 0) {
    callers_.erase(found);
  }
}

void class_queue::RecordServiceTime(duration service_time) {
  sample_count_ = std::min(sample_count_ + 1, kLongTermRuns);
  long_term_service_time_ +=
      (static_cast<double>(service_time.count()) - long_term_service_time_) /
      sample_count_;
  if (average_service_time_ == duration(0)) {
    average_service_time_ = service_time;
    return;
  }
  const double newest = static_cast<double>(service_time.count());
  const double average = static_cast<double>(average_service_time_.count());
  average_service_time_ = duration(static_cast<duration::rep>(
      average + kNewestRunWeight * (newest - average)));
}

std::size_t class_queue::CountAhead(caller_id caller) const {
  const auto entry = callers_.find(caller);
  const std::size_t turns =
      entry == callers_.end() ? 1 : entry->second.waiting.size() + 1;
  std::size_t ahead = 0;
  for (const auto& [id, other] : callers_) {
    ahead += id == caller ? turns - 1 : std::min(turns, other.waiting.size());
  }
  return ahead;
}

std::vector<waiting_request> class_queue::WaitingRequests() const {
  std::vector<waiting_request> all;
  all.reserve(waiting_);
  for (const auto& [id, caller] : callers_) {
    all.insert(all.end(), caller.waiting.begin(), caller.waiting.end());
  }
  return all;
}

}  // namespace tamaracklatch
