// Token buckets that keep one reading each: when they are full again.
#include "daemon/log_budget.h"

#include <algorithm>
#include <cassert>

namespace tamaracklatch {

log_budget::log_budget(const log_budget_settings& settings) {
  assert(settings.lines_per_second > 0 && settings.burst > 0);
  constexpr duration kSecond = std::chrono::seconds(1);
  const std::int64_t lines = settings.lines_per_second;
  cost_ = duration((kSecond.count() + lines - 1) / lines);
  capacity_ = cost_ * static_cast<std::int64_t>(settings.burst);
}

bool log_budget::Take(event_id kind, time_point now) {
  bucket& of_kind = buckets_.try_emplace(kind, bucket{now}).first->second;
  const time_point filled = std::max(of_kind.filled, now) + cost_;
  if (filled - now > capacity_) {
    CountDropped(kind);
    return false;
  }
  of_kind.filled = filled;
  return true;
}

}  // namespace tamaracklatch
