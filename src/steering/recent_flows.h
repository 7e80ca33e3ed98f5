// Flows that were noted of late. Bounded; a newer one takes
// the place of an older one.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "tamaracklatch/core/time.h"

namespace tamaracklatch {

class recent_flows {
 public:
  // `entries` is a power of two.
  explicit recent_flows(std::size_t entries) : entries_(entries) {}

  bool Has(std::uint64_t flow, time_point now) const {
    const entry& place = entries_[PlaceOf(flow)];
    return place.flow == flow && now - place.noted < kKeptFor;
  }

  // Whether the flow was not noted in the last seconds; notes it.
  bool Note(std::uint64_t flow, time_point now) {
    if (Has(flow, now)) return false;
    entries_[PlaceOf(flow)] = {flow, now};
    return true;
  }

 private:
  struct entry {
    std::uint64_t flow = 0;
    time_point noted;
  };

  static constexpr std::chrono::seconds kKeptFor{3};

  std::size_t PlaceOf(std::uint64_t flow) const {
    return flow >> 32U & (entries_.size() - 1);
  }

  std::vector<entry> entries_;
};

}  // namespace tamaracklatch
