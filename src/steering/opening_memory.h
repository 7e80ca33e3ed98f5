// Where the copies of recent openings went, and how often the owner of a flow
// was looked for. Bounded; a newer flow takes the place of an older one.
#pragma once

#include <algorithm>
#include <array>
#include <cstdint>
#include <vector>

#include "steering/target_directory.h"

namespace tamaracklatch {

class opening_memory {
 public:
  static constexpr std::size_t kCopies = 3;

  struct entry {
    std::uint64_t flow = 0;
    time_point updated;
    std::array<target_index, kCopies> chosen{kNoTargetIndex, kNoTargetIndex,
                                             kNoTargetIndex};
    time_point first_searched;
    time_point searched;
    std::uint32_t searches = 0;
    bool refused = false;

    bool IsPlaced() const {
      return std::any_of(chosen.begin(), chosen.end(), [](target_index target) {
        return target != kNoTargetIndex;
      });
    }
    bool HasChosen(target_index target) const {
      return chosen[0] == target || chosen[1] == target || chosen[2] == target;
    }
  };

  opening_memory() : entries_(kEntries) {}

  // The entry of the flow, blank where there is none that holds.
  entry* Get(std::uint64_t flow, time_point now) {
    entry& place = entries_[flow >> 8U & (kEntries - 1)];
    if (place.flow != flow || now - place.updated > kKeptFor) {
      place = entry();
      place.flow = flow;
    }
    place.updated = now;
    return &place;
  }

 private:
  static constexpr std::size_t kEntries = 2048;
  static constexpr std::chrono::seconds kKeptFor{2};

  std::vector<entry> entries_;
};

}  // namespace tamaracklatch
