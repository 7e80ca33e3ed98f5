// The keys that were refused as not run. They never run afterwards; those that
// are forgotten leave a minting time behind, up to which unknown keys are
// refused too.
#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <optional>

#include "tamaracklatch/request/idempotency_key.h"

namespace tamaracklatch {

// Invariant: at most `max_keys` keys are held.
class closed_keys {
 public:
  explicit closed_keys(std::size_t max_keys);

  void Close(const idempotency_key& key, result_code code);

  // The code with which the key was refused; kKeyClosed for a key that may be
  // among the forgotten ones.
  std::optional<result_code> Find(const idempotency_key& key) const;

 private:
  std::size_t max_keys_;
  std::map<idempotency_key, result_code> codes_;
  std::deque<idempotency_key> order_;  // oldest first; the keys of codes_
  std::optional<wall_time> forgotten_until_;
};

}  // namespace tamaracklatch
