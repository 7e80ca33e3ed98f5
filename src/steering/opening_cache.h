// The targets to which a balancer sent the copies of recent openings, and how
// often it searched for the owner of a flow. Bounded; a newer flow replaces an
// older one with the same index.
#pragma once

#include <algorithm>
#include <array>
#include <cstdint>
#include <vector>

#include "steering/target_directory.h"

namespace tamaracklatch {

class opening_cache {
 public:
  // Copies of an opening whose targets are recorded.
  static constexpr std::size_t kCopies = 3;

  struct entry {
    std::uint64_t flow = 0;
    time_point updated;  // of the last Get
    // By copy: the target it was sent to.
    std::array<target_index, kCopies> chosen{kNoTargetIndex, kNoTargetIndex,
                                             kNoTargetIndex};
    time_point first_searched;   // of the first segment without a known owner
    time_point searched;         // of the last one
    std::uint32_t searches = 0;  // retransmissions without a known owner
    bool refused = false;        // the caller was or will be sent a reset

    // Whether any copy was sent to a target.
    bool IsPlaced() const {
      return std::any_of(chosen.begin(), chosen.end(), [](target_index target) {
        return target != kNoTargetIndex;
      });
    }
    // Whether a copy was sent to this target.
    bool HasChosen(target_index target) const {
      return chosen[0] == target || chosen[1] == target || chosen[2] == target;
    }
  };

  opening_cache() : entries_(kEntries) {}

  // Returns the entry of the flow; a blank one if there is none or the last Get
  // is longer ago than kRetention. Valid until the next Get.
  entry* Get(std::uint64_t flow, time_point now) {
    entry& place = entries_[flow >> 8U & (kEntries - 1)];
    if (place.flow != flow || now - place.updated > kRetention) {
      place = entry();
      place.flow = flow;
    }
    place.updated = now;
    return &place;
  }

 private:
  static constexpr std::size_t kEntries = 2048;  // a power of two
  static constexpr std::chrono::seconds kRetention{2};

  std::vector<entry> entries_;
};

}  // namespace tamaracklatch
