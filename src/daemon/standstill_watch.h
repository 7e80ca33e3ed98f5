// Notices that the process stood still: it was stopped, its VM was suspended or
// short of processor time.
#pragma once

#include <optional>

#include "tamaracklatch/core/time.h"

namespace tamaracklatch {

// Invariant: one standstill is told once, however many timers it held up.
class standstill_watch {
 public:
  // Shorter standstills are not told.
  explicit standstill_watch(duration least) : least_(least) {}

  // A timer that was due at `due` fires at `now`. `through` is of a clock that
  // goes on while the VM is suspended, where `now` stands still. Returns for
  // how long the process stood still, if it just went on.
  std::optional<duration> OnTimer(time_point due, time_point now,
                                  time_point through);

 private:
  duration least_;
  time_point resumed_;  // the last time it went on
  // By how much `through` was ahead; nothing before the first timer.
  std::optional<duration> ahead_;
};

}  // namespace tamaracklatch
