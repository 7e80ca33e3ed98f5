// Tests of the cache of owners.
#include "steering/hint_cache.h"

#include <map>

#include "support/property.h"
#include "tamaracklatch/core/hash.h"

namespace tamaracklatch {
namespace {

constexpr std::size_t kMost = 4096;

Test(hint_cache, holds_what_was_put_while_there_is_room) {
  test::CheckProperty("as a map", [](std::uint64_t seed) {
    hint_cache cache(kMost);
    std::map<std::uint64_t, target_index> model;
    // Few enough that no set of the grown cache overflows.
    for (std::uint64_t i = 0; i < 60; ++i) {
      const std::uint64_t flow = HashPair(seed, i % 50);
      const auto target = static_cast<target_index>(i % 7);
      if (i % 11 == 10) {
        cache.Remove(flow);
        model.erase(flow);
      } else {
        cache.Put(flow, target, 0, time_point());
        model[flow] = target;
      }
      RC_ASSERT(cache.size() <= model.size());
    }
    for (const auto& [flow, target] : model) {
      const hint_cache::entry* found = cache.Find(flow, time_point());
      // RC_ASSERT evaluates both sides of an "or".
      const bool holds = found == nullptr || found->target == target;
      RC_ASSERT(holds);
    }
  });
}

Test(hint_cache, keeps_most_flows_up_to_its_bound_and_not_more) {
  hint_cache cache(kMost);
  for (std::uint64_t i = 0; i < 4 * kMost; ++i)
    cache.Put(HashPair(1, i), 1, 0, time_point());
  cr_expect(cache.size() <= kMost);
  cr_expect(cache.size() > kMost * 9 / 10);
  // Half of the bound: nearly nothing is pushed out by others of its set.
  hint_cache half(kMost);
  for (std::uint64_t i = 0; i < kMost / 2; ++i)
    half.Put(HashPair(2, i), 1, 0, time_point());
  cr_expect(half.size() > kMost / 2 * 9 / 10);
}

}  // namespace
}  // namespace tamaracklatch
