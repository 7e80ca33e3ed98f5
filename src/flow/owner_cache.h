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
  // `max_entries` bounds the cache; `idle_ticks` is how long an unused entry
  // counts.
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
  // An empty entry has used == 0.
  struct entry {
    std::uint64_t hash = 0;
    target_id owner;
    std::uint32_t used = 0;  // ticks
    std::uint32_t padding = 0;
  };

  entry* SetOf(std::uint64_t hash);
  void Insert(const entry& next, std::uint32_t now);
  void Grow(std::uint32_t now);
  void Sweep(std::uint32_t now);
  bool Expired(const entry& each, std::uint32_t now) const {
    return now - each.used > idle_ticks_;
  }

  std::size_t max_entries_;
  std::uint32_t idle_ticks_;
  std::size_t size_ = 0;  // entries that are not empty
  std::size_t hand_ = 0;  // next set to look over for expired entries
  // Invariant: the size is a power of two times kWays.
  std::vector<entry> entries_;
};

}  // namespace tamaracklatch
