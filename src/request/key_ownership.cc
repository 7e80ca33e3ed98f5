// From views to owned buckets.
#include "tamaracklatch/request/key_ownership.h"

#include "tamaracklatch/core/hash.h"

namespace tamaracklatch {

std::uint32_t KeyBucketOf(const idempotency_key& key) {
  return static_cast<std::uint32_t>(HashKey(key) % kKeyBuckets);
}

std::optional<target_id> KeyOwnerOf(const service_placement& placement,
                                    std::uint32_t bucket) {
  const std::uint64_t spread = HashPair(bucket, kKeyBuckets);
  const bucket_candidates two =
      placement.CandidatesOf(placement.BucketOf(spread));
  if (two.first == kNoTarget) return std::nullopt;
  return placement.targets()[two.first].id;
}

key_ownership::key_ownership(target_id self, request_owner* owner)
    : self_(self), owner_(owner), owned_(kKeyBuckets, false) {}

void key_ownership::Rejoin(target_id self) {
  self_ = self;
  for (std::uint32_t bucket = 0; bucket < kKeyBuckets; ++bucket) {
    if (owned_[bucket]) owner_->Disown(bucket);
    owned_[bucket] = false;
  }
}

bool key_ownership::ForgetGone(const service_placement& placement,
                               wall_time now) {
  bool any = false;
  for (auto at = peers_.begin(); at != peers_.end();) {
    if (placement.Find(*at) != nullptr) {
      ++at;
      continue;
    }
    owner_->OwnerGone(*at, now);
    missing_.erase(*at);
    at = peers_.erase(at);
    any = true;
  }
  return any;
}

void key_ownership::Apply(revision at, const service_placement& placement,
                          wall_time now) {
  if (at <= at_) return;
  // Owners of a view that was skipped, or that left with this one, can't be
  // asked: an empty id stands for them.
  const bool skipped = at_.value + 1 != at.value;
  const bool gone = ForgetGone(placement, now);
  std::vector<target_id> earlier;
  if (skipped || gone) earlier.push_back(target_id{});
  for (const placed_target& each : placement.targets()) {
    if (each.id == self_) continue;
    peers_.insert(each.id);
    earlier.push_back(each.id);
  }
  bool gained = false;
  for (std::uint32_t bucket = 0; bucket < kKeyBuckets; ++bucket) {
    const bool mine = KeyOwnerOf(placement, bucket) == self_;
    if (mine == owned_[bucket]) continue;
    owned_[bucket] = mine;
    if (mine) {
      owner_->Own(bucket, at, earlier, now);
      gained = true;
    } else {
      owner_->Disown(bucket);
    }
  }
  at_ = at;
  if (!gained) return;
  needed_ = at;
  missing_ = peers_;
}

void key_ownership::OnAcknowledged(target_id peer, revision at, wall_time now) {
  if (at < needed_) return;
  owner_->OwnerAcknowledged(peer, at, now);
  missing_.erase(peer);
}

std::vector<target_id> key_ownership::missing() const {
  return {missing_.begin(), missing_.end()};
}

}  // namespace tamaracklatch
