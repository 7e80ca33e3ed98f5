// Set-associative lookup, replacement and growth. Entries are stored in place,
// without an allocation per entry.
#include "steering/hint_cache.h"

#include <algorithm>

namespace tamaracklatch {
namespace {

std::uint32_t ToSeconds(time_point now) {
  return static_cast<std::uint32_t>(
      std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch())
          .count());
}

constexpr std::size_t kInitialSets = 128;

}  // namespace

hint_cache::hint_cache(std::size_t max_entries)
    : max_entries_(max_entries), sets_(1) {
  while (sets_.size() < kInitialSets && sets_.size() * kWays < max_entries_)
    sets_.resize(sets_.size() * 2);
}

const hint_cache::entry* hint_cache::Find(std::uint64_t flow, time_point now) {
  for (entry& each : SetOf(flow)) {
    if (each.flow != flow || each.target == kNoTargetIndex) continue;
    each.last_used = ToSeconds(now);
    return &each;
  }
  return nullptr;
}

void hint_cache::Put(std::uint64_t flow, target_index target,
                     std::uint64_t target_start, time_point now) {
  const std::size_t room = sets_.size() * kWays;
  if (room < max_entries_ && size_ * 2 >= room) Grow();
  Insert({flow, target_start, target, ToSeconds(now)});
}

void hint_cache::Insert(const entry& added) {
  way_set& ways = SetOf(added.flow);
  entry* place = nullptr;
  for (entry& each : ways) {
    if (each.target != kNoTargetIndex && each.flow == added.flow) place = &each;
  }
  if (place == nullptr) {
    place = &*std::min_element(
        ways.begin(), ways.end(), [](const entry& left, const entry& right) {
          const bool left_free = left.target == kNoTargetIndex;
          const bool right_free = right.target == kNoTargetIndex;
          if (left_free != right_free) return left_free;
          return left.last_used < right.last_used;
        });
    if (place->target == kNoTargetIndex) ++size_;
  }
  *place = added;
}

void hint_cache::Grow() {
  std::vector<way_set> before(sets_.size() * 2);
  before.swap(sets_);
  size_ = 0;
  for (const way_set& ways : before) {
    for (const entry& each : ways) {
      if (each.target != kNoTargetIndex) Insert(each);
    }
  }
}

void hint_cache::Remove(std::uint64_t flow) {
  for (entry& each : SetOf(flow)) {
    if (each.target == kNoTargetIndex || each.flow != flow) continue;
    each = {};
    --size_;
  }
}

}  // namespace tamaracklatch
