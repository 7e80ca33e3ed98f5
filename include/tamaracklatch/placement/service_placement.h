// Assigns a service's flows to targets. A flow's hash selects one of a power of
// two of buckets, and each bucket has two candidate targets, selected by
// weighted rendezvous hashing with bounded load. The placement is a pure
// function of the document and the targets: every node at a revision computes
// the same one, and none is sent between nodes.
//
//   service_placement placement(at, document, targets);
//   bucket_candidates candidates =
//       placement.CandidatesOf(placement.BucketOf(HashFlow(key)));
//   const placed_target& first = placement.targets()[candidates.first];
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "tamaracklatch/control/cluster_view.h"
#include "tamaracklatch/core/endpoint.h"
#include "tamaracklatch/core/ids.h"

namespace tamaracklatch {

// Buckets for each target, before rounding up to a power of two.
inline constexpr std::uint32_t kBucketsPerTarget = 32;
// Bounds of the number of buckets of a service.
inline constexpr std::uint32_t kMinBuckets = 64;
inline constexpr std::uint32_t kMaxBuckets = 1U << 20U;

// Most targets of one service in a placement, as indices have 16 bits and one
// value is kNoTarget. Targets beyond it, in order of id, are left out.
inline constexpr std::size_t kMaxPlacedTargets = 65534;

// The index in bucket_candidates that means "no target".
inline constexpr std::uint16_t kNoTarget = 0xffff;

// Buckets that a target may have above its share by weight, in percent. The
// limit is rounded up, plus one bucket. It holds for the first and for the
// second candidates separately.
inline constexpr std::uint32_t kLoadBoundPercent = 10;

// A target as the packet plane uses it.
struct placed_target {
  target_id id;
  incarnation started;           // distinguishes restarts of the target
  endpoint packets;              // receives forwarded packets
  endpoint relay;                // receives relayed connections
  std::uint32_t weight = 0;      // share in the document times capacity
  bool takes_new_flows = false;  // is serving and its weight is not 0
};

// The candidate targets for new flows of a bucket, best first, as indices into
// service_placement::targets(). With a single candidate, `second` is kNoTarget.
// Invariant: `second` is kNoTarget where `first` is; else they differ.
struct bucket_candidates {
  std::uint16_t first = kNoTarget;
  std::uint16_t second = kNoTarget;
};

// Returns the number of buckets of a service with this many targets: a power of
// two from kMinBuckets to kMaxBuckets.
std::uint32_t BucketCount(std::size_t targets);

// The placement of one service at one revision. The buckets are computed by the
// first call of CandidatesOf(), so that even const use isn't thread-safe.
class service_placement {
 public:
  // `targets` are those of the service, in any order.
  service_placement(revision at, const service_document& document,
                    const std::vector<target_record>& targets);

  // Like the above, with the weights already computed.
  service_placement(revision at, std::vector<placed_target> targets);

  // The revision that last changed the service or its targets.
  revision at() const { return at_; }

  // All targets of the service, by id; also those that take no new flows.
  const std::vector<placed_target>& targets() const { return targets_; }

  // Always a power of two.
  std::uint32_t bucket_count() const { return bucket_count_; }

  // The bucket of a flow, by its hash.
  std::uint32_t BucketOf(std::uint64_t flow_hash) const {
    return static_cast<std::uint32_t>(flow_hash) & (bucket_count_ - 1);
  }

  // The candidates for new flows of a bucket; none if no target takes new
  // flows. `bucket` < bucket_count().
  bucket_candidates CandidatesOf(std::uint32_t bucket) const;

  // The target with this id, or null.
  const placed_target* Find(target_id id) const;

  // The index in targets() of `target`, which must be an element of it.
  std::size_t IndexOf(const placed_target& target) const {
    return static_cast<std::size_t>(&target - targets_.data());
  }

  // Memory in use, in bytes.
  std::size_t MemoryBytes() const;

 private:
  void ComputeBuckets() const;

  revision at_;
  std::vector<placed_target> targets_;  // sorted by id
  std::uint32_t bucket_count_;
  // Empty until the first CandidatesOf(); then one entry for each bucket.
  mutable std::vector<bucket_candidates> buckets_;
};

}  // namespace tamaracklatch
