// Moves of buckets between daemons.
#include "request/bucket_fences.h"

#include <algorithm>
#include <utility>

namespace tamaracklatch {
namespace {

// Removes the owner from the list. Returns whether it was there.
bool Remove(std::vector<target_id>* owners, target_id owner) {
  const auto at = std::find(owners->begin(), owners->end(), owner);
  if (at == owners->end()) return false;
  owners->erase(at);
  return true;
}

}  // namespace

void bucket_fences::Own(std::uint32_t bucket, revision at,
                        std::vector<target_id> earlier, wall_time now) {
  bucket_state& state = buckets_[bucket];
  if (state.owned) return;
  state.owned = true;
  state.since = at;
  // Without an earlier owner to ask, or with one that has no name, one that is
  // gone may have run the key.
  state.some_gone = earlier.empty() || Remove(&earlier, target_id{});
  state.waiting = std::move(earlier);
  state.asked.clear();
  Raise(&state, now);
}

void bucket_fences::Disown(std::uint32_t bucket) {
  const auto found = buckets_.find(bucket);
  if (found == buckets_.end()) return;
  found->second.owned = false;
}

void bucket_fences::Acknowledged(target_id owner, revision at, wall_time now) {
  for (auto& [number, bucket] : buckets_) {
    // An older view may have given the bucket back to that owner since.
    if (!bucket.owned || at < bucket.since) continue;
    if (!Remove(&bucket.waiting, owner)) continue;
    bucket.asked.push_back(owner);
    Raise(&bucket, now);
  }
}

void bucket_fences::Gone(target_id owner, wall_time now) {
  for (auto& [number, bucket] : buckets_) {
    if (!bucket.owned) continue;
    const bool waited = Remove(&bucket.waiting, owner);
    const bool asked = Remove(&bucket.asked, owner);
    if (!waited && !asked) continue;
    bucket.some_gone = true;
    // One that had acknowledged ran nothing since: its fence stands.
    if (waited) Raise(&bucket, now);
  }
}

fence_verdict bucket_fences::Check(std::uint32_t bucket,
                                   wall_time minted) const {
  const auto found = buckets_.find(bucket);
  if (found == buckets_.end() || !found->second.owned) return fence_elsewhere{};
  const bucket_state& state = found->second;
  if (!state.waiting.empty()) return fence_pass{state.waiting.back()};
  if (minted > *state.fence) return fence_clear{};
  if (state.some_gone) return fence_unknown{};
  return fence_ask{state.asked};
}

bool bucket_fences::MayPrecede(std::uint32_t bucket, wall_time minted) const {
  const auto found = buckets_.find(bucket);
  // A bucket that was never owned here says nothing about its key's past, but
  // none of it ran here.
  if (found == buckets_.end() || !found->second.fence) return false;
  return minted <= *found->second.fence;
}

void bucket_fences::Raise(bucket_state* bucket, wall_time now) const {
  const wall_time fence = now + margin_;
  bucket->fence = std::max(bucket->fence.value_or(fence), fence);
}

}  // namespace tamaracklatch
