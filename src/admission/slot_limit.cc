// Steps of the adaptive limit. Each change starts the comparison anew, so that
// times under different limits are not mixed.
#include "admission/slot_limit.h"

#include <algorithm>
#include <cassert>

namespace tamaracklatch {
namespace {

constexpr duration kFirstHold = std::chrono::seconds(1);
constexpr duration kLongestHold = std::chrono::seconds(60);
constexpr std::uint32_t kSamples = 24;  // of each kind before a comparison
constexpr double kSlowedBy = 1.5;       // full over light that lowers the limit
constexpr std::uint32_t kForgetAt = 256;  // samples; older ones count half

}  // namespace

slot_limit::slot_limit(std::uint32_t reported)
    : reported_(std::max(1U, reported)),
      current_(reported_),
      hold_(kFirstHold) {}

void slot_limit::Report(std::uint32_t reported) {
  if (std::max(1U, reported) == reported_) return;
  *this = slot_limit(reported);
}

void slot_limit::OnShed(std::uint32_t running, time_point now) {
  assert(running > 0);
  Lower(std::min(current_, running) - 1, now);
}

void slot_limit::OnAnswer(double relative, std::uint32_t at_begin,
                          std::uint32_t at_end, time_point now) {
  const bool full = std::min(at_begin, at_end) >= current_;
  const bool light = std::max(at_begin, at_end) * 2 <= current_;
  mean_time* kind = nullptr;
  if (full) kind = &full_;
  if (light) kind = &light_;
  if (kind != nullptr) {
    kind->sum += relative;
    if (++kind->count >= kForgetAt) {
      kind->sum /= 2;
      kind->count /= 2;
    }
  }
  const bool comparable = full_.count >= kSamples && light_.count >= kSamples;
  if (comparable && full_.Mean() > kSlowedBy * light_.Mean()) {
    Lower(current_ - 1, now);
    return;
  }
  if (full) Raise(now);
}

void slot_limit::Lower(std::uint32_t limit, time_point now) {
  const std::uint32_t lowered = std::max(1U, limit);
  // Soon after a step up, the step was wrong: wait longer before the next.
  hold_ = std::min(kLongestHold, hold_ * 2);
  next_raise_ = now + hold_;
  light_ = {};
  full_ = {};
  current_ = std::min(current_, lowered);
}

void slot_limit::Raise(time_point now) {
  if (current_ >= reported_ || now < next_raise_) return;
  ++current_;
  next_raise_ = now + hold_;
  light_ = {};
  full_ = {};
}

}  // namespace tamaracklatch
