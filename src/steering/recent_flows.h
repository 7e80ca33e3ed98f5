// Remembers of which flows something was told of late, so that an event comes
// once a flow and not once a segment.
#pragma once

#include <array>
#include <cstdint>

#include "tamaracklatch/core/time.h"

namespace tamaracklatch {

class recent_flows {
 public:
  // Whether the flow was not noted in the last seconds; notes it.
  bool Note(std::uint64_t flow, time_point now) {
    entry& place = entries_[flow >> 32U & (kEntries - 1)];
    if (place.flow == flow && now - place.noted < kKeptFor) return false;
    place = {flow, now};
    return true;
  }

 private:
  struct entry {
    std::uint64_t flow = 0;
    time_point noted;
  };

  static constexpr std::size_t kEntries = 256;
  static constexpr std::chrono::seconds kKeptFor{2};

  std::array<entry, kEntries> entries_{};
};

}  // namespace tamaracklatch
