// The flows whose first copy of the opening a target daemon passed on while
// another daemon may refuse it. No later copy may be accepted until the caller
// has the refusal.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>
#include <utility>

#include "tamaracklatch/core/time.h"

namespace tamaracklatch {

// Invariant: a flow is contained for kRetention after its Insert. Beyond
// `max_flows`, flows that were not inserted may be contained as well.
class passed_openings {
 public:
  explicit passed_openings(std::size_t max_flows) : max_flows_(max_flows) {}

  void Insert(std::uint64_t flow, time_point now);
  bool Contains(std::uint64_t flow, time_point now) const;

 private:
  // The copies of an opening and the refusal arrive within this time.
  static constexpr std::chrono::seconds kRetention{3};

  std::size_t max_flows_;
  std::unordered_map<std::uint64_t, time_point> inserted_;
  std::deque<std::pair<std::uint64_t, time_point>> order_;  // oldest first
  time_point all_until_;  // until then every flow is contained
};

}  // namespace tamaracklatch
