// Adaptive slot limit. Each change of the limit discards the samples, so that
// service times under different limits are not mixed.
#include "admission/slot_limit.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace tamaracklatch {
namespace {

// Lower bound of the interval between two raises of the limit.
constexpr duration kMinRaiseInterval = std::chrono::seconds(1);
constexpr double kShedWeight = 0.05;  // of the newest run in the average
// Share of shed runs that lowers the limit.
constexpr double kMaxShedShare = 0.18;
// Upper bound of the interval between two raises of the limit.
constexpr duration kMaxRaiseInterval = std::chrono::seconds(60);
// Time without raises after a comparison that showed a slowdown, unless a later
// comparison shows none.
constexpr duration kSlowdownHold = std::chrono::minutes(2);
// Samples at each of the two levels of load for a full comparison.
constexpr std::uint32_t kFullSamples = 256;
// The same for an early one, which counts only if the slowdown is significant.
constexpr std::uint32_t kEarlySamples = 32;
// A slowdown above its bound by this many standard errors is significant.
constexpr double kSignificantErrors = 4.0;
// Service time at full over light load below which a raise is allowed.
constexpr double kMaxSteadyRatio = 1.2;
// Service time at full over light load above which the limit is lowered.
constexpr double kMaxSlowdownRatio = 1.5;

}  // namespace

slot_limit::slot_limit(std::uint32_t reported)
    : reported_(std::max(1U, reported)),
      current_(reported_),
      raise_interval_(kMinRaiseInterval) {}

void slot_limit::SetReportedSlots(std::uint32_t reported) {
  if (std::max(1U, reported) == reported_) return;
  *this = slot_limit(reported);
}

void slot_limit::OnAnswered(double relative, std::uint32_t running,
                            time_point now) {
  shed_share_ *= 1.0 - kShedWeight;
  const bool full = running >= current_;
  if (full) full_load_.Add(relative);
  if (running * 2 <= current_) light_load_.Add(relative);
  Compare(now);
  if (full) Raise(now);
}

double slot_limit::time_sample::RelativeError() const {
  const double mean = Mean();
  const double variance =
      std::max(0.0, sum_of_squares / count - mean * mean) / count;
  return std::sqrt(variance) / mean;
}

// Whether the samples so far show a statistically significant slowdown.
bool slot_limit::IsSignificantSlowdown(double ratio) const {
  const double error = ratio * std::hypot(full_load_.RelativeError(),
                                          light_load_.RelativeError());
  return ratio - kSignificantErrors * error > kMaxSlowdownRatio;
}

void slot_limit::Compare(time_point now) {
  const std::uint32_t fewest = std::min(full_load_.count, light_load_.count);
  if (fewest < kEarlySamples) return;
  const double ratio = full_load_.Mean() / light_load_.Mean();
  if (fewest < kFullSamples && !IsSignificantSlowdown(ratio)) return;
  // Each sample counts in one comparison only, so that several samples that are
  // slow by chance have no lasting effect.
  light_load_ = {};
  full_load_ = {};
  if (ratio > kMaxSlowdownRatio) {
    next_raise_ = now + kSlowdownHold;
    LowerTo(current_ - 1);
  } else if (ratio < kMaxSteadyRatio) {
    next_raise_ = std::min(next_raise_, now);
  }
}

void slot_limit::OnShed(std::uint32_t running, time_point now) {
  assert(running > 0);
  shed_share_ += kShedWeight * (1.0 - shed_share_);
  if (shed_share_ < kMaxShedShare) return;
  shed_share_ = 0.0;
  // If the limit was lowered recently, the last raise was too early: double the
  // interval before the next.
  const bool soon = now - last_shed_at_ < kMaxRaiseInterval * 2;
  raise_interval_ = soon ? std::min(kMaxRaiseInterval, raise_interval_ * 2)
                         : kMinRaiseInterval;
  last_shed_at_ = now;
  next_raise_ = std::max(next_raise_, now + raise_interval_);
  LowerTo(std::min(current_, running) - 1);
}

void slot_limit::LowerTo(std::uint32_t limit) {
  current_ = std::min(current_, std::max(1U, limit));
  light_load_ = {};
  full_load_ = {};
}

void slot_limit::Raise(time_point now) {
  if (current_ >= reported_ || now < next_raise_) return;
  ++current_;
  next_raise_ = now + raise_interval_;
  light_load_ = {};
  full_load_ = {};
}

}  // namespace tamaracklatch
