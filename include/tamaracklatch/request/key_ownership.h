// Which buckets of keys a target daemon owns, from one view of its service to
// the next, and which earlier owners it must hear of before it runs their keys.
#pragma once

#include <cstdint>
#include <set>
#include <vector>

#include "tamaracklatch/core/ids.h"
#include "tamaracklatch/core/time.h"
#include "tamaracklatch/placement/service_placement.h"
#include "tamaracklatch/request/idempotency_key.h"
#include "tamaracklatch/request/request_owner.h"

namespace tamaracklatch {

// Buckets of keys of one service. Fixed, so that a bucket's number means the
// same in every view.
inline constexpr std::uint32_t kKeyBuckets = 1024;

std::uint32_t KeyBucketOf(const idempotency_key& key);

// The target that owns a bucket by this placement; none where no target takes
// work.
std::optional<target_id> KeyOwnerOf(const service_placement& placement,
                                    std::uint32_t bucket);

// Invariant: a bucket is disowned before acknowledged() names the view that
// takes it away.
class key_ownership {
 public:
  // `owner` must outlive this.
  key_ownership(target_id self, request_owner* owner);

  // The target joined again under another id. Other daemons may have owned its
  // buckets in between, so it owns none until the next Apply.
  void Rejoin(target_id self);

  // Takes the service's placement at a revision; older ones are ignored.
  void Apply(revision at, const service_placement& placement, wall_time now);

  // A peer has applied this revision.
  void OnAcknowledged(target_id peer, revision at, wall_time now);

  // The revision up to which this daemon has disowned what is not its own.
  revision acknowledged() const { return at_; }

  // Peers whose acknowledgment of needed() is missing.
  std::vector<target_id> missing() const;
  revision needed() const { return needed_; }

 private:
  // Tells which targets are gone; returns whether any is.
  bool ForgetGone(const service_placement& placement, wall_time now);

  target_id self_;
  request_owner* owner_;
  revision at_;
  revision needed_;  // the last one that gave a bucket to this daemon
  std::set<target_id> peers_;
  std::set<target_id> missing_;
  std::vector<bool> owned_;
};

}  // namespace tamaracklatch
