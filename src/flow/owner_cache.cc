// Sets of eight entries; grows by doubling up to its bound, and a hand looks
// over one set at each insertion, so nothing ever scans the whole.
#include "flow/owner_cache.h"

#include <algorithm>
#include <cassert>

namespace tamaracklatch {
namespace {

constexpr std::size_t kWays = 8;
constexpr std::size_t kFirstSets = 8;
constexpr std::size_t kFullPercent = 80;  // grows past this

}  // namespace

owner_cache::owner_cache(std::size_t max_entries, std::uint32_t idle_ticks)
    : max_entries_(std::max(max_entries, kWays * kFirstSets)),
      idle_ticks_(idle_ticks),
      entries_(kWays * kFirstSets) {}

owner_cache::entry* owner_cache::SetOf(std::uint64_t hash) {
  const std::size_t sets = entries_.size() / kWays;
  // The low bits choose the bucket, so the high ones choose the set.
  return &entries_[((hash >> 32U) & (sets - 1)) * kWays];
}

std::optional<target_id> owner_cache::Find(std::uint64_t hash,
                                           std::uint32_t now) {
  assert(now != 0);
  entry* set = SetOf(hash);
  for (std::size_t way = 0; way < kWays; ++way) {
    entry& each = set[way];
    if (each.hash != hash || each.used == 0) continue;
    if (Expired(each, now)) return std::nullopt;
    each.used = now;
    return each.owner;
  }
  return std::nullopt;
}

void owner_cache::Put(std::uint64_t hash, target_id owner, std::uint32_t now) {
  assert(now != 0);
  Sweep(now);
  if (size_ * 100 > entries_.size() * kFullPercent &&
      entries_.size() * 2 <= max_entries_) {
    Grow(now);
  }
  Insert({hash, owner, now, 0}, now);
}

void owner_cache::Insert(const entry& next, std::uint32_t now) {
  entry* set = SetOf(next.hash);
  entry* victim = set;
  for (std::size_t way = 0; way < kWays; ++way) {
    entry& each = set[way];
    if (each.used != 0 && each.hash == next.hash) {
      each = next;
      return;
    }
    // An empty entry has the longest time since its use.
    if (each.used == 0 ||
        (victim->used != 0 && now - each.used > now - victim->used)) {
      victim = &each;
    }
  }
  if (victim->used == 0) ++size_;
  *victim = next;
}

void owner_cache::Remove(std::uint64_t hash, target_id owner) {
  entry* set = SetOf(hash);
  for (std::size_t way = 0; way < kWays; ++way) {
    entry& each = set[way];
    if (each.used == 0 || each.hash != hash || each.owner != owner) continue;
    each = entry();
    --size_;
  }
}

void owner_cache::Grow(std::uint32_t now) {
  std::vector<entry> earlier(entries_.size() * 2);
  earlier.swap(entries_);
  size_ = 0;
  for (const entry& each : earlier) {
    if (each.used != 0 && !Expired(each, now)) Insert(each, now);
  }
}

void owner_cache::Sweep(std::uint32_t now) {
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
