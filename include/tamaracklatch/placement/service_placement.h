// Where a service's flows belong: a power of two of buckets, each with two
// candidates by weighted rendezvous hashing with a bound on load. A pure
// function of the document and the targets, so that every node at a revision
// computes the same; nothing is sent.
//
//   service_placement placement(at, document, targets);
//   bucket_candidates two =
//       placement.CandidatesOf(placement.BucketOf(HashFlow(key)));
//   const placed_target& first = placement.targets()[two.first];
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
inline constexpr std::uint32_t kMinBuckets = 64;
inline constexpr std::uint32_t kMaxBuckets = 1U << 20U;

// Targets of one service that a placement holds; more are left out.
inline constexpr std::size_t kMaxPlacedTargets = 65534;

// Stands for "no target" in bucket_candidates.
inline constexpr std::uint16_t kNoTarget = 0xffff;

// Buckets that a target may own above its proportional share, in percent.
inline constexpr std::uint32_t kLoadBoundPercent = 10;

// A target as the packet plane needs it.
struct placed_target {
  target_id id;
  incarnation started;
  endpoint packets;
  endpoint relay;
  std::uint32_t weight = 0;  // share of the document times capacity
  bool opens = false;        // serving, and its weight is not 0
};

// Indices into service_placement::targets().
// Invariant: `second` is kNoTarget where `first` is; else they differ.
struct bucket_candidates {
  std::uint16_t first = kNoTarget;
  std::uint16_t second = kNoTarget;
};

// The power of two of buckets of a service with this many targets.
std::uint32_t BucketCount(std::size_t targets);

// The placement of one service at one revision. The buckets are computed when
// they are first asked for. Not safe for use by several threads.
class service_placement {
 public:
  // `targets` are those of the service, in any order.
  service_placement(revision at, const service_document& document,
                    const std::vector<target_record>& targets);

  // Like the above, with the targets already weighed.
  service_placement(revision at, std::vector<placed_target> targets);

  // The revision that last changed the service or its targets.
  revision at() const { return at_; }

  // All targets of the service, by id; also those that open nothing.
  const std::vector<placed_target>& targets() const { return targets_; }

  // Always a power of two.
  std::uint32_t bucket_count() const { return bucket_count_; }

  // The bucket of a flow, by its hash.
  std::uint32_t BucketOf(std::uint64_t flow_hash) const {
    return static_cast<std::uint32_t>(flow_hash) & (bucket_count_ - 1);
  }

  // The candidates for new flows of a bucket. `bucket` < bucket_count().
  bucket_candidates CandidatesOf(std::uint32_t bucket) const;

  // The target with this id, or null.
  const placed_target* Find(target_id id) const;

  // The index in targets() of one of them.
  std::size_t IndexOf(const placed_target& target) const {
    return static_cast<std::size_t>(&target - targets_.data());
  }

  // Memory held, in bytes.
  std::size_t MemoryBytes() const;

 private:
  void ComputeBuckets() const;

  revision at_;
  std::vector<placed_target> targets_;  // sorted by id
  std::uint32_t bucket_count_;
  // Empty until the first question; then one entry a bucket.
  mutable std::vector<bucket_candidates> buckets_;
};

}  // namespace tamaracklatch
