// The cache has sets of eight entries. It grows by doubling up to its limit,
// and each insertion checks one further set for expired entries, so that no
// call but a growth scans the whole cache.
#include "flow/owner_cache.h"

#include <algorithm>

namespace tamaracklatch {
namespace {

constexpr std::size_t kWays = 8;
constexpr std::size_t kInitialSets = 8;
constexpr std::size_t kMaxFillPercent = 55;  // a fuller cache is doubled

// Ages are computed modulo 2^16 ticks, so only half of the range is used.
constexpr std::uint32_t kMaxIdleTicks = (1U << 15U) - 1;

}  // namespace

owner_cache::owner_cache(std::size_t max_entries, std::uint32_t idle_ticks)
    : max_entries_(std::max(max_entries, kWays * kInitialSets)),
      idle_ticks_(std::min(idle_ticks, kMaxIdleTicks)),
      entries_(kWays * kInitialSets) {}

owner_cache::entry* owner_cache::SetOf(std::uint32_t high) {
  const std::size_t sets = entries_.size() / kWays;
  return &entries_[(high & (sets - 1)) * kWays];
}

std::optional<target_id> owner_cache::Find(std::uint64_t hash,
                                           std::uint32_t now) {
  entry* set = SetOf(static_cast<std::uint32_t>(hash >> 32U));
  for (std::size_t way = 0; way < kWays; ++way) {
    entry& each = set[way];
    if (!each.Matches(hash)) continue;
    if (IsExpired(each, TruncateTick(now))) return std::nullopt;
    each.last_used = TruncateTick(now);
    return each.owner;
  }
  return std::nullopt;
}

void owner_cache::Put(std::uint64_t hash, target_id owner, std::uint32_t now) {
  const std::uint16_t tick = TruncateTick(now);
  Sweep(tick);
  if (size_ * 100 > entries_.size() * kMaxFillPercent &&
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
    if (each.last_used != 0 && same) {
      each = next;
      return;
    }
    // Prefers an empty entry, then the least recently used one.
    const bool older =
        victim->last_used != 0 && Age(each, now) > Age(*victim, now);
    if (each.last_used == 0 || older) victim = &each;
  }
  if (victim->last_used == 0) ++size_;
  *victim = next;
}

void owner_cache::Remove(std::uint64_t hash, target_id owner) {
  entry* set = SetOf(static_cast<std::uint32_t>(hash >> 32U));
  for (std::size_t way = 0; way < kWays; ++way) {
    entry& each = set[way];
    if (!each.Matches(hash) || each.owner != owner) continue;
    each = entry();
    --size_;
  }
}

void owner_cache::Grow(std::uint16_t now) {
  std::vector<entry> old_entries(entries_.size() * 2);
  old_entries.swap(entries_);
  size_ = 0;
  for (const entry& each : old_entries) {
    if (each.last_used != 0 && !IsExpired(each, now)) Insert(each, now);
  }
}

void owner_cache::Sweep(std::uint16_t now) {
  sweep_position_ = (sweep_position_ + kWays) % entries_.size();
  for (std::size_t at = sweep_position_; at < sweep_position_ + kWays; ++at) {
    if (entries_[at].last_used == 0 || !IsExpired(entries_[at], now)) continue;
    entries_[at] = entry();
    --size_;
  }
}

std::size_t owner_cache::MemoryBytes() const {
  return sizeof(*this) + entries_.capacity() * sizeof(entry);
}

}  // namespace tamaracklatch
