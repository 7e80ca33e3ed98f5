// A set-associative table without memory of its own per entry.
#include "steering/hint_cache.h"

#include <algorithm>

namespace tamaracklatch {
namespace {

std::uint32_t SecondOf(time_point now) {
  return static_cast<std::uint32_t>(
      std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch())
          .count());
}

}  // namespace

hint_cache::hint_cache(std::size_t max_entries) {
  std::size_t sets = 1;
  while (sets * kWays < max_entries) sets *= 2;
  sets_.resize(sets);
}

const hint_cache::entry* hint_cache::Find(std::uint64_t flow, time_point now) {
  for (entry& each : SetOf(flow)) {
    if (each.flow != flow || each.target == kNoTargetIndex) continue;
    each.used = SecondOf(now);
    return &each;
  }
  return nullptr;
}

void hint_cache::Put(std::uint64_t flow, target_index target,
                     std::uint64_t target_start, time_point now) {
  way_set& ways = SetOf(flow);
  entry* place = nullptr;
  for (entry& each : ways) {
    if (each.target != kNoTargetIndex && each.flow == flow) place = &each;
  }
  if (place == nullptr) {
    place = &*std::min_element(
        ways.begin(), ways.end(), [](const entry& left, const entry& right) {
          const bool left_free = left.target == kNoTargetIndex;
          const bool right_free = right.target == kNoTargetIndex;
          if (left_free != right_free) return left_free;
          return left.used < right.used;
        });
    if (place->target == kNoTargetIndex) ++size_;
  }
  *place = {flow, target_start, target, SecondOf(now)};
}

void hint_cache::Remove(std::uint64_t flow) {
  for (entry& each : SetOf(flow)) {
    if (each.target == kNoTargetIndex || each.flow != flow) continue;
    each = {};
    --size_;
  }
}

}  // namespace tamaracklatch
