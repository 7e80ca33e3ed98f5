// Which target owns a flow, as target daemons told. Grows with the flows up
// to a bound; then the entries of a set that were used least recently go first.
#pragma once

#include <array>
#include <cstdint>
#include <vector>

#include "steering/target_directory.h"

namespace tamaracklatch {

class hint_cache {
 public:
  struct entry {
    std::uint64_t flow = 0;
    std::uint64_t target_start = 0;  // 0: not known
    target_index target = kNoTargetIndex;
    std::uint32_t used = 0;  // second of the last use
  };

  explicit hint_cache(std::size_t max_entries);

  // Null where nothing is known. Valid until the next call.
  const entry* Find(std::uint64_t flow, time_point now);
  void Put(std::uint64_t flow, target_index target, std::uint64_t target_start,
           time_point now);
  void Remove(std::uint64_t flow);

  std::size_t size() const { return size_; }

 private:
  static constexpr std::size_t kWays = 4;
  using way_set = std::array<entry, kWays>;

  way_set& SetOf(std::uint64_t flow) {
    return sets_[flow >> 16U & (sets_.size() - 1)];
  }

  void Insert(const entry& added);
  // Doubles the room.
  void Grow();

  std::size_t max_entries_;
  // Invariant: a power of two, grown while half of the room is taken.
  std::vector<way_set> sets_;
  std::size_t size_ = 0;
};

}  // namespace tamaracklatch
