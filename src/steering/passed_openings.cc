// Exact up to its capacity: a flow that is forgotten too soon could be opened
// and reset.
#include "steering/passed_openings.h"

#include <algorithm>

namespace tamaracklatch {

void passed_openings::Insert(std::uint64_t flow, time_point now) {
  while (!order_.empty()) {
    const auto [oldest, added] = order_.front();
    const bool is_expired = now - added >= kRetention;
    if (!is_expired && inserted_.size() < max_flows_) break;
    if (!is_expired) all_until_ = std::max(all_until_, added + kRetention);
    inserted_.erase(oldest);
    order_.pop_front();
  }
  if (inserted_.try_emplace(flow, now).second) order_.emplace_back(flow, now);
}

bool passed_openings::Contains(std::uint64_t flow, time_point now) const {
  if (now < all_until_) return true;
  const auto found = inserted_.find(flow);
  return found != inserted_.end() && now - found->second < kRetention;
}

}  // namespace tamaracklatch
