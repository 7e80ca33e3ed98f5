// Late timers, and the two clocks that come apart.
#include "daemon/standstill_watch.h"

#include <algorithm>

namespace tamaracklatch {

std::optional<duration> standstill_watch::OnTimer(time_point due,
                                                  time_point now,
                                                  time_point through) {
  const duration ahead = through - now;
  const duration suspended =
      ahead_ ? std::max(ahead - *ahead_, duration::zero()) : duration::zero();
  ahead_ = ahead;
  // Timers that were due before the process went on were held up by the same.
  const duration late =
      due < resumed_ ? duration::zero() : std::max(now - due, duration::zero());
  const duration stood = late + suspended;
  if (stood < least_) return std::nullopt;
  resumed_ = now;
  return stood;
}

}  // namespace tamaracklatch
