// Counts of values by range, as state machines keep them for /metrics.
#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>

#include "tamaracklatch/core/time.h"

namespace tamaracklatch {

// Spans of time, from less than a message between two VMs takes up to a
// caller's patience.
struct span_ranges {
  using value = duration;
  static constexpr std::array<std::int64_t, 12> kUpper{
      100,     1'000,   5'000,   10'000,    25'000,    50'000,
      100'000, 250'000, 500'000, 1'000'000, 2'500'000, 10'000'000};
  static constexpr double kUnit = 1e-6;  // exported in seconds
  static std::int64_t Count(value span) { return span.count(); }
};

// Visits of a segment at target daemons before one.
struct visit_ranges {
  using value = std::uint32_t;
  static constexpr std::array<std::int64_t, 9> kUpper{0, 1,  2,  3, 4,
                                                      8, 16, 32, 64};
  static constexpr double kUnit = 1.0;
  static std::int64_t Count(value visits) { return visits; }
};

// Invariant: a value is counted in the first range whose upper bound it does
// not exceed; the last range has no bound.
template <typename Ranges>
class fixed_histogram {
 public:
  using ranges = Ranges;
  static constexpr std::size_t kRanges = Ranges::kUpper.size() + 1;

  void Add(typename Ranges::value what) {
    const std::int64_t count = Ranges::Count(what);
    const auto range =
        std::lower_bound(Ranges::kUpper.begin(), Ranges::kUpper.end(), count);
    ++counts_[static_cast<std::size_t>(range - Ranges::kUpper.begin())];
    sum_ += count;
  }

  // Values in each range, not summed over the ranges below it.
  const std::array<std::uint64_t, kRanges>& counts() const { return counts_; }
  // Of all values, in the unit of the bounds.
  std::int64_t sum() const { return sum_; }

 private:
  std::array<std::uint64_t, kRanges> counts_{};
  std::int64_t sum_ = 0;
};

using span_histogram = fixed_histogram<span_ranges>;
using visit_histogram = fixed_histogram<visit_ranges>;

}  // namespace tamaracklatch
