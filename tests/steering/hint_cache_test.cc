// Tests of the cache of flow owners.
#include "steering/hint_cache.h"

#include <map>

#include "support/property.h"
#include "tamaracklatch/core/hash.h"

namespace tamaracklatch {
namespace {

constexpr std::size_t kMaxEntries = 4096;

Test(hint_cache, holds_what_was_put_while_there_is_room) {
  test::CheckProperty("as a map", [](std::uint64_t seed) {
    hint_cache cache(kMaxEntries);
    std::map<std::uint64_t, target_index> model;
    // Few enough flows that no set of the grown cache overflows.
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
      // Not one assertion with ||: it would evaluate both sides and dereference
      // null.
      if (found != nullptr) RC_ASSERT(found->target == target);
    }
  });
}

Test(hint_cache, keeps_most_flows_up_to_its_bound_and_not_more) {
  hint_cache cache(kMaxEntries);
  for (std::uint64_t i = 0; i < 4 * kMaxEntries; ++i)
    cache.Put(HashPair(1, i), 1, 0, time_point());
  cr_expect(cache.size() <= kMaxEntries);
  cr_expect(cache.size() > kMaxEntries * 9 / 10);
  // At half of the bound hardly any entry is evicted by others of its set.
  hint_cache half(kMaxEntries);
  for (std::uint64_t i = 0; i < kMaxEntries / 2; ++i)
    half.Put(HashPair(2, i), 1, 0, time_point());
  cr_expect(half.size() > kMaxEntries / 2 * 9 / 10);
}

}  // namespace
}  // namespace tamaracklatch
