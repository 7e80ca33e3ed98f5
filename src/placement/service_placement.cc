// Weighted rendezvous hashing with bounded load.
#include "tamaracklatch/placement/service_placement.h"

#include <algorithm>
#include <cassert>

#include "placement/fixed_log.h"
#include "tamaracklatch/core/hash.h"

namespace tamaracklatch {
namespace {

// Number of best-ranked targets of a bucket that are considered first, and the
// factor by which it grows each time that all of them are at their limit.
constexpr std::size_t kInitialRanks = 4;
constexpr std::size_t kRanksGrowthFactor = 8;

// A target's position in the ranking of one bucket.
struct ranked_target {
  std::uint64_t cost = 0;           // the lowest ranks first
  std::uint16_t index = kNoTarget;  // into eligible_targets_

  friend bool operator<(const ranked_target& left, const ranked_target& right) {
    return left.cost != right.cost ? left.cost < right.cost
                                   : left.index < right.index;
  }
};

// Mixes the bits of a word; much cheaper than a hash of bytes. Two words are
// combined by XOR before the call.
std::uint64_t Mix(std::uint64_t word) {
  word ^= word >> 32U;
  word *= 0xd6e8feb86659fd93ULL;
  word ^= word >> 32U;
  word *= 0xd6e8feb86659fd93ULL;
  word ^= word >> 32U;
  return word;
}

// A target that takes new flows, with the buckets assigned to it.
struct eligible_target {
  std::uint32_t weight = 0;
  std::uint16_t index = 0;   // into service_placement::targets()
  std::uint64_t limit = 0;   // most buckets as first, and as second candidate
  std::uint64_t first = 0;   // buckets assigned so far as first candidate
  std::uint64_t second = 0;  // and as second candidate
};

// Assigns buckets to eligible targets. Assign() is called once for each bucket
// in ascending order: which targets are at their limit depends on the order.
class bucket_assigner {
 public:
  bucket_assigner(const std::vector<placed_target>& targets,
                  std::uint32_t bucket_count) {
    std::uint64_t total = 0;
    for (std::size_t at = 0; at < targets.size(); ++at) {
      const placed_target& target = targets[at];
      if (!target.takes_new_flows) continue;
      eligible_target next;
      next.weight = target.weight;
      next.index = static_cast<std::uint16_t>(at);
      eligible_targets_.push_back(next);
      salts_.push_back({HashPair(target.id.index, target.id.sequence),
                        std::uint64_t{target.weight}});
      total += target.weight;
    }
    if (eligible_targets_.empty()) return;
    assert(total > 0);  // an eligible target has a weight
    for (eligible_target& each : eligible_targets_) {
      const std::uint64_t share =
          std::uint64_t{bucket_count} * each.weight * (100 + kLoadBoundPercent);
      each.limit = (share + total * 100 - 1) / (total * 100) + 1;
    }
  }

  // Returns the two candidates of a bucket and counts them. With one
  // eligible target there is no second candidate, with none there is no
  // candidate.
  bucket_candidates Assign(std::uint32_t bucket) {
    if (eligible_targets_.empty()) return {};
    Rank(bucket, kInitialRanks);
    eligible_target* first =
        AssignBest(nullptr, bucket, &eligible_target::first);
    bucket_candidates result;
    result.first = first->index;
    if (eligible_targets_.size() == 1) return result;
    result.second = AssignBest(first, bucket, &eligible_target::second)->index;
    return result;
  }

 private:
  // Whether the cost of this hash is certainly above `cost` for this weight. By
  // -log2(x) >= 1 - x, most hashes are ruled out without a logarithm.
  static bool CostsMore(std::uint64_t hash, std::uint64_t weight,
                        std::uint64_t cost) {
    std::uint64_t bound = 0;
    if (__builtin_mul_overflow(cost + 1, weight, &bound)) return false;
    return (~hash >> (64U - kLogFractionBits)) >= bound;
  }

  // Fills `ranks_` with the `count` best eligible targets of the bucket, in
  // order.
  void Rank(std::uint32_t bucket, std::size_t count) {
    ranks_.clear();
    const std::uint64_t seed = Mix(std::uint64_t{bucket} + 1);
    for (std::size_t at = 0; at < salts_.size(); ++at) {
      const std::uint64_t hash = Mix(seed ^ salts_[at].salt);
      const std::uint64_t weight = salts_[at].weight;
      const bool is_full = ranks_.size() == count;
      if (is_full && CostsMore(hash, weight, ranks_.back().cost)) continue;
      const ranked_target next{NegativeLog2(hash) / weight,
                               static_cast<std::uint16_t>(at)};
      if (is_full && !(next < ranks_.back())) continue;
      if (is_full) ranks_.pop_back();
      ranks_.insert(std::upper_bound(ranks_.begin(), ranks_.end(), next), next);
    }
  }

  // Assigns the bucket to the best eligible target other than `except` whose
  // `count` is below its limit, and returns it.
  eligible_target* AssignBest(const eligible_target* except,
                              std::uint32_t bucket,
                              std::uint64_t eligible_target::*count) {
    for (;;) {
      for (const ranked_target& rank : ranks_) {
        eligible_target* found = &eligible_targets_[rank.index];
        if (found == except || found->*count >= found->limit) continue;
        ++(found->*count);
        return found;
      }
      if (ranks_.size() == eligible_targets_.size()) break;
      Rank(bucket, std::min(ranks_.size() * kRanksGrowthFactor,
                            eligible_targets_.size()));
    }
    // All others are at their limit: the best of them gets the bucket without
    // being counted, so the load bound may be exceeded.
    for (const ranked_target& rank : ranks_) {
      eligible_target* found = &eligible_targets_[rank.index];
      if (found != except) return found;
    }
    assert(false);
    return nullptr;
  }

  // The part of an eligible target that ranking reads for every bucket, stored
  // densely.
  struct salted_weight {
    std::uint64_t salt = 0;
    std::uint64_t weight = 0;
  };

  std::vector<salted_weight> salts_;  // parallel to eligible_targets_
  std::vector<eligible_target> eligible_targets_;
  // Of the bucket being assigned, best first.
  std::vector<ranked_target> ranks_;
};

// Computes the weight of each target and whether it takes new flows.
std::vector<placed_target> WeighTargets(
    const service_document& document,
    const std::vector<target_record>& targets) {
  std::vector<placed_target> placed;
  placed.reserve(targets.size());
  for (const target_record& target : targets) {
    placed_target next;
    next.id = target.id;
    next.started = target.started;
    next.packets = target.packets;
    next.relay = target.relay;
    next.weight = TargetWeight(document, target.zone, target.packets.address,
                               target.capacity);
    next.takes_new_flows =
        next.weight > 0 && target.state == target_state::kServing;
    placed.push_back(next);
  }
  return placed;
}

}  // namespace

std::uint32_t BucketCount(std::size_t targets) {
  std::uint32_t count = kMinBuckets;
  while (count < targets * kBucketsPerTarget && count < kMaxBuckets) count *= 2;
  return count;
}

service_placement::service_placement(revision at,
                                     const service_document& document,
                                     const std::vector<target_record>& targets)
    : service_placement(at, WeighTargets(document, targets)) {}

service_placement::service_placement(revision at,
                                     std::vector<placed_target> targets)
    : at_(at), targets_(std::move(targets)) {
  std::sort(targets_.begin(), targets_.end(),
            [](const placed_target& left, const placed_target& right) {
              return left.id < right.id;
            });
  if (targets_.size() > kMaxPlacedTargets) targets_.resize(kMaxPlacedTargets);
  bucket_count_ = BucketCount(targets_.size());
}

bucket_candidates service_placement::CandidatesOf(std::uint32_t bucket) const {
  assert(bucket < bucket_count_);
  if (buckets_.empty()) ComputeBuckets();
  return buckets_[bucket];
}

const placed_target* service_placement::Find(target_id id) const {
  const auto found = std::lower_bound(
      targets_.begin(), targets_.end(), id,
      [](const placed_target& each, target_id key) { return each.id < key; });
  return found != targets_.end() && found->id == id ? &*found : nullptr;
}

std::size_t service_placement::MemoryBytes() const {
  return sizeof(*this) + targets_.capacity() * sizeof(placed_target) +
         buckets_.capacity() * sizeof(bucket_candidates);
}

void service_placement::ComputeBuckets() const {
  bucket_assigner assigner(targets_, bucket_count_);
  buckets_.reserve(bucket_count_);
  for (std::uint32_t bucket = 0; bucket < bucket_count_; ++bucket)
    buckets_.push_back(assigner.Assign(bucket));
}

}  // namespace tamaracklatch
