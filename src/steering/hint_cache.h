// The owners of flows, as target daemons reported them in hints. A 4-way
// set-associative table that grows with its entries up to a bound. An entry
// that is added to a full set replaces the least recently used one.
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
    std::uint64_t target_start = 0;        // of the owner; 0: unknown
    target_index target = kNoTargetIndex;  // kNoTargetIndex: unused
    std::uint32_t last_used = 0;           // time of the last use, in s
  };

  // `max_entries` is rounded up to a power of two.
  explicit hint_cache(std::size_t max_entries);

  // Null if the owner is unknown. Marks the entry as used. Valid until the next
  // call.
  const entry* Find(std::uint64_t flow, time_point now);
  // Adds or replaces the owner of the flow.
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
  // Doubles the number of sets.
  void Grow();

  std::size_t max_entries_;
  // Invariant: the size is a power of two. It doubles, up to max_entries_, when
  // half of the ways are in use.
  std::vector<way_set> sets_;
  std::size_t size_ = 0;
};

}  // namespace tamaracklatch
