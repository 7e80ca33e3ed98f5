// The cache has sets of eight entries. It grows by doubling up to its limit, and
// each insertion checks one further set for expired entries, so that no call but
// a growth scans the whole cache.
#include "flow/owner_cache.h"

#include <algorithm>

namespace tamaracklatch {
namespace {

constexpr std::size_t kWays = 8;
constexpr std::size_t kFirstSets = 8;
constexpr std::size_t kFullPercent = 55;  // a fuller cache is doubled

// Ages are computed modulo 2^16 ticks, so only half of the range is used.
constexpr std::uint32_t kLongestIdle = (1U << 15U) - 1;

}  // namespace

owner_cache::owner_cache(std::size_t max_entries, std::uint32_t idle_ticks)
    : max_entries_(std::max(max_entries, kWays * kFirstSets)),
      idle_ticks_(std::min(idle_ticks, kLongestIdle)),
      entries_(kWays * kFirstSets) {}

owner_cache::entry* owner_cache::SetOf(std::uint32_t high) {
  const std::size_t sets = entries_.size() / kWays;
  return &entries_[(high & (sets - 1)) * kWays];
}

std::optional<target_id> owner_cache::Find(std::uint64_t hash,
                                           std::uint32_t now) {
  entry* set = SetOf(static_cast<std::uint32_t>(hash >> 32U));
  for (std::size_t way = 0; way < kWays; ++way) {
    entry& each = set[way];
    if (!each.Is(hash)) continue;
    if (Expired(each, Short(now))) return std::nullopt;
    each.used = Short(now);
    return each.owner;
  }
  return std::nullopt;
}

void owner_cache::Put(std::uint64_t hash, target_id owner, std::uint32_t now) {
  const std::uint16_t tick = Short(now);
  Sweep(tick);
  if (size_ * 100 > entries_.size() * kFullPercent &&
      entries_.size() * 2 <= max_entries_) {
    Grow(tick);
  }
  Insert({static_cast<std::uint32_t>(hash >> 32U),
          static_cast<std::uint16_t>(hash >> 16U), tick, owner},
         tick);
}

void owner_cache::Insert(const entry& next, std::uint16_t now) {
  entry* set = SetOf(next.high);
  entry* victim = set;
  for (std::size_t way = 0; way < kWays; ++way) {
    entry& each = set[way];
    const bool same = each.high == next.high && each.middle == next.middle;
    if (each.used != 0 && same) {
      each = next;
      return;
    }
    // Prefers an empty entry, then the least recently used one.
    const bool older = victim->used != 0 && Age(each, now) > Age(*victim, now);
    if (each.used == 0 || older) victim = &each;
  }
  if (victim->used == 0) ++size_;
  *victim = next;
}

void owner_cache::Remove(std::uint64_t hash, target_id owner) {
  entry* set = SetOf(static_cast<std::uint32_t>(hash >> 32U));
  for (std::size_t way = 0; way < kWays; ++way) {
    entry& each = set[way];
    if (!each.Is(hash) || each.owner != owner) continue;
    each = entry();
    --size_;
  }
}

void owner_cache::Grow(std::uint16_t now) {
  std::vector<entry> earlier(entries_.size() * 2);
  earlier.swap(entries_);
  size_ = 0;
  for (const entry& each : earlier) {
    if (each.used != 0 && !Expired(each, now)) Insert(each, now);
  }
}

void owner_cache::Sweep(std::uint16_t now) {
  hand_ = (hand_ + kWays) % entries_.size();
  for (std::size_t at = hand_; at < hand_ + kWays; ++at) {
    if (entries_[at].used == 0 || !Expired(entries_[at], now)) continue;
    entries_[at] = entry();
    --size_;
  }
}

std::size_t owner_cache::MemoryBytes() const {
  return sizeof(*this) + entries_.capacity() * sizeof(entry);
}

}  // namespace tamaracklatch
