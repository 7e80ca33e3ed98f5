// The balancer's cache of flow owners: bounded, set-associative and best
// effort. A missing or wrong entry costs a hop but never breaks a flow.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "tamaracklatch/core/ids.h"

namespace tamaracklatch {

// Maps the hash of a flow to the target that owns it; used by flow_router.
class owner_cache {
 public:
  // `max_entries` limits the cache, but not below its initial 64 entries.
  // An entry expires after `idle_ticks` without use, at most 2^15 - 1.
  owner_cache(std::size_t max_entries, std::uint32_t idle_ticks);

  // The cached owner of the flow, if any; marks the entry as used at `now`, in
  // ticks.
  std::optional<target_id> Find(std::uint64_t hash, std::uint32_t now);

  // Caches the owner of a flow. If the set is full, the least recently used
  // entry is evicted.
  void Put(std::uint64_t hash, target_id owner, std::uint32_t now);

  // Removes the flow's entry if its cached owner is `owner`.
  void Remove(std::uint64_t hash, target_id owner);

  // Entries in use, including expired ones not yet removed.
  std::size_t size() const { return size_; }
  // Memory in bytes.
  std::size_t MemoryBytes() const;

 private:
  // An empty entry has last_used == 0. Flows whose hashes agree in the high 48
  // bits share an entry, which costs a hop.
  struct entry {
    std::uint32_t high = 0;       // bits 32 to 63 of the hash; its low bits
                                  // choose the set
    std::uint16_t middle = 0;     // bits 16 to 31
    std::uint16_t last_used = 0;  // as given by TruncateTick()
    target_id owner;

    bool Matches(std::uint64_t hash) const {
      return high == static_cast<std::uint32_t>(hash >> 32U) &&
             middle == static_cast<std::uint16_t>(hash >> 16U) &&
             last_used != 0;
    }
  };

  // The low 16 bits of a tick, with 1 in place of 0, which marks an empty
  // entry.
  static std::uint16_t TruncateTick(std::uint32_t tick) {
    const auto low = static_cast<std::uint16_t>(tick);
    return low == 0 ? 1 : low;
  }
  entry* SetOf(std::uint32_t high);
  void Insert(const entry& next, std::uint16_t now);
  void Grow(std::uint16_t now);
  // Removes expired entries from the next set.
  void Sweep(std::uint16_t now);
  // Ticks since the entry was last used, modulo 2^16.
  static std::uint16_t Age(const entry& each, std::uint16_t now) {
    return static_cast<std::uint16_t>(now - each.last_used);
  }
  bool IsExpired(const entry& each, std::uint16_t now) const {
    return Age(each, now) > idle_ticks_;
  }

  std::size_t max_entries_;
  std::uint32_t idle_ticks_;
  std::size_t size_ = 0;  // entries that are not empty
  // First entry of the set that Sweep checked last.
  std::size_t sweep_position_ = 0;
  // Invariant: the size is a power of two times kWays.
  std::vector<entry> entries_;
};

}  // namespace tamaracklatch
