// A bounded table, first in, first out.
#include "request/closed_keys.h"

#include <algorithm>

namespace tamaracklatch {

closed_keys::closed_keys(std::size_t max_keys) : max_keys_(max_keys) {}

void closed_keys::Close(const idempotency_key& key, result_code code) {
  if (!codes_.emplace(key, code).second) return;
  order_.push_back(key);
  while (order_.size() > max_keys_) {
    const idempotency_key oldest = order_.front();
    order_.pop_front();
    codes_.erase(oldest);
    forgotten_until_ =
        std::max(forgotten_until_.value_or(oldest.Minted()), oldest.Minted());
  }
}

std::optional<result_code> closed_keys::Find(const idempotency_key& key) const {
  const auto found = codes_.find(key);
  if (found != codes_.end()) return found->second;
  if (forgotten_until_ && key.Minted() <= *forgotten_until_) {
    return result_code::kKeyClosed;
  }
  return std::nullopt;
}

}  // namespace tamaracklatch
