// The balancer's soft memory of who owns a flow: bounded, set-associative,
// without a promise. A lost or wrong entry costs a hop, never a flow.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "tamaracklatch/core/ids.h"

namespace tamaracklatch {

class owner_cache {
 public:
  // `max_entries` bounds the cache; `idle_ticks`, below 2^15, is how long an
  // unused entry counts.
  owner_cache(std::size_t max_entries, std::uint32_t idle_ticks);

  // The owner, if known; refreshes the entry. `now` in ticks, never 0.
  std::optional<target_id> Find(std::uint64_t hash, std::uint32_t now);

  // Remembers an owner. Where the set is full, the entry unused for longest
  // goes.
  void Put(std::uint64_t hash, target_id owner, std::uint32_t now);

  // Forgets the flow if `owner` is what is remembered.
  void Remove(std::uint64_t hash, target_id owner);

  std::size_t size() const { return size_; }
  std::size_t MemoryBytes() const;

 private:
  // An empty entry has used == 0. Two flows whose hashes agree in the high 48
  // bits are taken for one, which costs a hop.
  struct entry {
    std::uint32_t high = 0;    // bits 32 to 63 of the hash; its low bits
                               // choose the set
    std::uint16_t middle = 0;  // bits 16 to 31
    std::uint16_t used = 0;    // the low bits of the tick, or 1 for 0
    target_id owner;

    bool Is(std::uint64_t hash) const {
      return high == static_cast<std::uint32_t>(hash >> 32U) &&
             middle == static_cast<std::uint16_t>(hash >> 16U) && used != 0;
    }
  };

  static std::uint16_t Short(std::uint32_t tick) {
    const auto low = static_cast<std::uint16_t>(tick);
    return low == 0 ? 1 : low;
  }
  entry* SetOf(std::uint32_t high);
  void Insert(const entry& next, std::uint16_t now);
  void Grow(std::uint16_t now);
  void Sweep(std::uint16_t now);
  // Ticks since the entry's use.
  static std::uint16_t Age(const entry& each, std::uint16_t now) {
    return static_cast<std::uint16_t>(now - each.used);
  }
  bool Expired(const entry& each, std::uint16_t now) const {
    return Age(each, now) > idle_ticks_;
  }

  std::size_t max_entries_;
  std::uint32_t idle_ticks_;
  std::size_t size_ = 0;  // entries that are not empty
  std::size_t hand_ = 0;  // next set to look over for expired entries
  // Invariant: the size is a power of two times kWays.
  std::vector<entry> entries_;
};

}  // namespace tamaracklatch
