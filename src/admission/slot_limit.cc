// Steps of the adaptive limit. Each change starts the comparison anew, so that
// times under different limits are not mixed.
#include "admission/slot_limit.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace tamaracklatch {
namespace {

constexpr duration kFirstHold = std::chrono::seconds(1);
constexpr double kShedWeight = 0.05;  // of the newest run in the shed share
constexpr double kShedMost = 0.18;  // share of shed runs that lowers the limit
constexpr duration kLongestHold = std::chrono::seconds(60);
// Without a new comparison, one that showed a slowdown counts for this long.
constexpr duration kSlowHold = std::chrono::minutes(2);
constexpr std::uint32_t kSamples = 256;    // of each kind that end a comparison
constexpr std::uint32_t kFewSamples = 32;  // of each kind that may end it early
constexpr double kSureErrors = 4.0;   // standard errors that rule out chance
constexpr double kSteadyBelow = 1.2;  // full over light that allows a step up
constexpr double kSlowedBy = 1.5;     // full over light that lowers the limit

}  // namespace

slot_limit::slot_limit(std::uint32_t reported)
    : reported_(std::max(1U, reported)),
      current_(reported_),
      hold_(kFirstHold) {}

void slot_limit::Report(std::uint32_t reported) {
  if (std::max(1U, reported) == reported_) return;
  *this = slot_limit(reported);
}

void slot_limit::OnAnswer(double relative, std::uint32_t running,
                          time_point now) {
  shed_share_ *= 1.0 - kShedWeight;
  const bool full = running >= current_;
  if (full) full_.Add(relative);
  if (running * 2 <= current_) light_.Add(relative);
  Compare(now);
  if (full) Raise(now);
}

double slot_limit::time_sample::RelativeError() const {
  const double mean = Mean();
  const double variance =
      std::max(0.0, sum_of_squares / count - mean * mean) / count;
  return std::sqrt(variance) / mean;
}

// Whether the slowdown is beyond what chance gives with the samples so far.
bool slot_limit::IsSurelySlow(double ratio) const {
  const double error =
      ratio * std::hypot(full_.RelativeError(), light_.RelativeError());
  return ratio - kSureErrors * error > kSlowedBy;
}

void slot_limit::Compare(time_point now) {
  const std::uint32_t fewest = std::min(full_.count, light_.count);
  if (fewest < kFewSamples) return;
  const double ratio = full_.Mean() / light_.Mean();
  if (fewest < kSamples && !IsSurelySlow(ratio)) return;
  // Each run counts in one comparison only, so that a chance streak passes.
  light_ = {};
  full_ = {};
  if (ratio > kSlowedBy) {
    next_raise_ = now + kSlowHold;
    LowerTo(current_ - 1);
  } else if (ratio < kSteadyBelow) {
    next_raise_ = std::min(next_raise_, now);
  }
}

void slot_limit::OnShed(std::uint32_t running, time_point now) {
  assert(running > 0);
  shed_share_ += kShedWeight * (1.0 - shed_share_);
  if (shed_share_ < kShedMost) return;
  shed_share_ = 0.0;
  // Soon after another one, a step up was wrong: wait longer before the next.
  const bool soon = now - last_shed_ < kLongestHold * 2;
  hold_ = soon ? std::min(kLongestHold, hold_ * 2) : kFirstHold;
  last_shed_ = now;
  next_raise_ = std::max(next_raise_, now + hold_);
  LowerTo(std::min(current_, running) - 1);
}

void slot_limit::LowerTo(std::uint32_t limit) {
  current_ = std::min(current_, std::max(1U, limit));
  light_ = {};
  full_ = {};
}

void slot_limit::Raise(time_point now) {
  if (current_ >= reported_ || now < next_raise_) return;
  ++current_;
  next_raise_ = now + hold_;
  light_ = {};
  full_ = {};
}

}  // namespace tamaracklatch
