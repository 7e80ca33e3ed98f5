// Tells whether the process was stopped or suspended a short while ago, so that
// what it reads now may have waited for long.
#pragma once

#include <optional>

#include "tamaracklatch/core/time.h"

namespace tamaracklatch {

// All times are of a clock that goes on while the VM is suspended.
class pause_watch {
 public:
  // A pause is `least` or more between two turns. The process has to make turns
  // much more often than that. A pause counts as recent for `recent` after it.
  pause_watch(duration least, duration recent)
      : least_(least), recent_(recent) {}

  // Called whenever the process does something.
  void OnTurn(time_point now);

  // Whether a pause ended a short while ago. Also finds a pause that ended just
  // now, before any OnTurn: after a pause, what arrived during it may be read
  // before the timers fire.
  bool IsRecent(time_point now);

 private:
  duration least_;
  duration recent_;
  std::optional<time_point> last_turn_;  // nothing before the first
  std::optional<time_point> resumed_;    // the end of the last pause
};

}  // namespace tamaracklatch
