// Which of the openings by an unconfirmed view were outdated.
#include "steering/outdated_openings.h"

#include <algorithm>
#include <iterator>

namespace tamaracklatch {
namespace {

// Without a confirmation for this long, the control VMs that respond may be cut
// off from the quorum. An election takes less, and so does the interval of
// their messages in a large installation.
constexpr std::chrono::seconds kMaxConfirmationAge{12};

}  // namespace

void outdated_openings::Add(std::uint64_t version, time_point now) {
  time_point& last = openings_[version];
  last = std::max(last, now);
  if (openings_.size() <= kMaxVersions) return;
  const auto lowest = openings_.begin();
  const auto next = std::next(lowest);
  lowest->second = std::max(lowest->second, next->second);
  openings_.erase(next);
}

void outdated_openings::SetAccepted(std::uint64_t version, time_point as_of) {
  accepted_version_ = std::max(accepted_version_, version);
  accepted_as_of_ = std::max(accepted_as_of_, as_of);
  // What was opened before by the newest set was not outdated.
  for (auto each = openings_.lower_bound(accepted_version_);
       each != openings_.end();) {
    each = each->second <= accepted_as_of_ ? openings_.erase(each)
                                           : std::next(each);
  }
}

std::uint64_t outdated_openings::LowestVersion(bool is_in_touch,
                                               time_point now) {
  for (auto each = openings_.begin(); each != openings_.end();) {
    each = now - each->second >= max_flow_age_ ? openings_.erase(each)
                                               : std::next(each);
  }
  if (openings_.empty()) return 0;
  const std::uint64_t lowest = openings_.begin()->first;
  const bool is_outdated = lowest < accepted_version_ || !is_in_touch ||
                           now - accepted_as_of_ > kMaxConfirmationAge;
  return is_outdated ? lowest : 0;
}

}  // namespace tamaracklatch
