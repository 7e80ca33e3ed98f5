// The hybrid logical clock. A stamp is the wall time shifted left by the bits
// of the counter, so that "one above" is one addition.
#include "tamaracklatch/timeline/hybrid_clock.h"

#include <algorithm>

namespace tamaracklatch {
namespace {

// 52 bits of microseconds reach to the year 2112.
constexpr std::uint64_t kCounterBits = 12;
constexpr std::uint64_t kCounterMask = (1ULL << kCounterBits) - 1;
constexpr std::int64_t kMaxMicroseconds = (1LL << (64 - kCounterBits)) - 1;

}  // namespace

wall_time hybrid_stamp::Wall() const {
  return wall_time(duration(static_cast<std::int64_t>(value >> kCounterBits)));
}

std::uint32_t hybrid_stamp::Counter() const {
  return static_cast<std::uint32_t>(value & kCounterMask);
}

hybrid_stamp StampAt(wall_time when) {
  const std::int64_t microseconds = std::clamp<std::int64_t>(
      when.time_since_epoch().count(), 0, kMaxMicroseconds);
  return {static_cast<std::uint64_t>(microseconds) << kCounterBits};
}

hybrid_clock::hybrid_clock(const hybrid_clock_settings& settings)
    : settings_(settings) {}

hybrid_stamp hybrid_clock::Tick(wall_time now) {
  last_.value = std::max(StampAt(now).value, last_.value + 1);
  return last_;
}

bool hybrid_clock::Merge(hybrid_stamp received, wall_time now) {
  if (StampAt(now + settings_.max_ahead) < received) {
    ++refused_;
    return false;
  }
  last_ = std::max(last_, received);
  return true;
}

}  // namespace tamaracklatch
