// Counts deliveries by a queue of their times, bounded by the limit.
#include "steering/cold_admission.h"

#include <algorithm>
#include <cmath>

namespace tamaracklatch {
namespace {

constexpr std::chrono::seconds kSpan{1};

// Larger limits count as this one, which bounds the queue to 8 MB. No target
// receives that many openings per second.
constexpr double kMaxLimit = 1e6;

}  // namespace

std::uint32_t ColdOpeningsPerSecond(double limit) {
  if (!(limit > 0.0)) return 0;
  return static_cast<std::uint32_t>(std::ceil(std::min(limit, kMaxLimit)));
}

void cold_admission::SetLimit(double limit) {
  limit_ = ColdOpeningsPerSecond(limit);
  while (delivered_.size() > limit_) delivered_.pop_front();
}

bool cold_admission::HasRoom(time_point now) const {
  return limit_ == 0 || delivered_.size() < limit_ ||
         now - delivered_.front() > kSpan;
}

void cold_admission::OnDelivered(time_point now) {
  if (limit_ == 0) return;
  if (delivered_.size() == limit_) delivered_.pop_front();
  delivered_.push_back(now);
}

}  // namespace tamaracklatch
