// The set of flows that were inserted within the last seconds, for reports at a
// bounded rate. Bounded; a newer flow replaces an older one with the same
// index.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "tamaracklatch/core/time.h"

namespace tamaracklatch {

class recent_flows {
 public:
  // `entries`: the capacity, a power of two.
  explicit recent_flows(std::size_t entries) : entries_(entries) {}

  // Whether the flow was inserted less than kRetention ago and not replaced
  // since.
  bool Contains(std::uint64_t flow, time_point now) const {
    const entry& place = entries_[IndexOf(flow)];
    return place.flow == flow && now - place.added < kRetention;
  }

  // Inserts the flow. False, without extending its retention, if the set
  // contains it.
  bool Insert(std::uint64_t flow, time_point now) {
    if (Contains(flow, now)) return false;
    entries_[IndexOf(flow)] = {flow, now};
    return true;
  }

 private:
  struct entry {
    std::uint64_t flow = 0;
    time_point added;
  };

  static constexpr std::chrono::seconds kRetention{3};

  std::size_t IndexOf(std::uint64_t flow) const {
    return flow >> 32U & (entries_.size() - 1);
  }

  std::vector<entry> entries_;
};

}  // namespace tamaracklatch
