// When a graceful stop is done: a daemon that was told to stop goes on serving
// what arrives, until nothing does or its time is over. A machine without
// I/O.
//
//   graceful_stop stop(settings);
//   stop.Begin(now);      // on the signal
//   stop.OnArrival(now);  // something arrived that was served
//   stop.OnWorkEnded(now);
//   if (stop.IsDone(now)) ...;  // several times a second
#pragma once

#include <optional>

#include "tamaracklatch/core/time.h"

namespace tamaracklatch {

struct graceful_stop_settings {
  duration limit =
      std::chrono::seconds(5);  // it is done after this in any case
  // It is done once nothing has arrived for this long; nothing: not before the
  // limit.
  std::optional<duration> quiet;
  // Once there is nothing left to serve: time for the last announcement to be
  // repeated.
  duration farewell = std::chrono::milliseconds(250);
};

class graceful_stop {
 public:
  explicit graceful_stop(const graceful_stop_settings& settings);

  void Begin(time_point now);
  bool HasBegun() const { return begun_.has_value(); }

  void OnArrival(time_point now);

  // What the daemon serves has ended; what arrives doesn't matter any more.
  void OnWorkEnded(time_point now);

  bool IsDone(time_point now) const;

 private:
  graceful_stop_settings settings_;
  std::optional<time_point> begun_;
  std::optional<time_point> work_ended_;  // not before `begun_`
  time_point last_arrival_;
};

}  // namespace tamaracklatch
