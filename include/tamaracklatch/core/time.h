// Time as the decisions see it. No decision reads a clock: `now` is passed in,
// so that tests run in virtual time.
#pragma once

#include <chrono>
#include <cstdint>

namespace tamaracklatch {

// Tag of a process-local clock that never goes back. It has no Now(): the
// daemons supply its readings.
struct monotonic_clock {
  using rep = std::chrono::microseconds::rep;
  using period = std::chrono::microseconds::period;
  using duration = std::chrono::microseconds;
};

// Resolution of every time in the library.
using duration = std::chrono::microseconds;

// A reading of the process-local clock, in microseconds since an arbitrary
// start.
using time_point = std::chrono::time_point<monotonic_clock, duration>;

// A reading of the wall clock, in microseconds since the Unix epoch.
using wall_time = std::chrono::time_point<std::chrono::system_clock, duration>;

}  // namespace tamaracklatch
