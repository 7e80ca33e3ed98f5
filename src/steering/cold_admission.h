// Limits the openings that a cold target receives in any span of one second.
// Does no I/O; the target daemon calls it for each opening.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>

#include "tamaracklatch/core/time.h"

namespace tamaracklatch {

// The most openings that a cold target receives in one second at that limit in
// openings per second: the limit, rounded up, at least 1; 0: no limit.
std::uint32_t ColdOpeningsPerSecond(double limit);

class cold_admission {
 public:
  // `limit`: in openings per second; 0: none.
  void SetLimit(double limit);

  // Whether one more opening at `now` keeps each span of one second, both its
  // ends included, within the limit.
  bool HasRoom(time_point now) const;

  // Records that an opening was delivered. Call for each of them, also while
  // the target is not cold: it may turn out to have restarted just before.
  void OnDelivered(time_point now);

 private:
  std::uint32_t limit_ = 0;  // in openings; 0: none
  // Times of the last deliveries, in ascending order. Invariant: at most
  // `limit_` entries.
  std::deque<time_point> delivered_;
};

}  // namespace tamaracklatch
