// A hybrid logical clock: stamps that stay close to wall time and never
// contradict causality, however far the clocks of two VMs are apart. Its
// stamp travels on every message between processes.
#pragma once

#include <cstdint>

#include "tamaracklatch/core/time.h"

namespace tamaracklatch {

// One stamp: microseconds of wall time and a counter among equal ones, in one
// number, so that a counter that overflows carries into the time. 0 is before
// every stamp of a clock.
struct hybrid_stamp {
  std::uint64_t value = 0;

  wall_time Wall() const;
  std::uint32_t Counter() const;

  friend bool operator==(hybrid_stamp left, hybrid_stamp right) {
    return left.value == right.value;
  }
  friend bool operator!=(hybrid_stamp left, hybrid_stamp right) {
    return left.value != right.value;
  }
  friend bool operator<(hybrid_stamp left, hybrid_stamp right) {
    return left.value < right.value;
  }
};

// The first stamp at a wall time.
hybrid_stamp StampAt(wall_time when);

struct hybrid_clock_settings {
  // A received stamp further ahead of the own wall clock is not merged: one
  // broken clock would drag all others along.
  duration max_ahead = std::chrono::hours(24);
};

// The clock of one process. Not thread-safe: one event loop owns it.
// Invariant: each stamp that it gives is above every one given or merged
// before.
class hybrid_clock {
 public:
  hybrid_clock() = default;
  explicit hybrid_clock(const hybrid_clock_settings& settings);

  // The stamp of an event in this process, or of a message that it sends.
  hybrid_stamp Tick(wall_time now);

  // Takes note of a received message's stamp, so that the next Tick is above
  // it. Returns whether it was merged.
  bool Merge(hybrid_stamp received, wall_time now);

  // Stamps refused by Merge since the start.
  std::uint64_t refused() const { return refused_; }

 private:
  hybrid_clock_settings settings_;
  hybrid_stamp last_;
  std::uint64_t refused_ = 0;
};

}  // namespace tamaracklatch
