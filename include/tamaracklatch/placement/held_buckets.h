// A target daemon's report of the buckets in which it may hold flows. Other
// nodes use it to find the target that holds a flow unknown to them.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "tamaracklatch/core/ids.h"
#include "tamaracklatch/core/result_code.h"

namespace tamaracklatch {

// The set bits are the buckets of which the target is a candidate at `at`, and
// all others in which it holds a flow. So they change only with the placement,
// or when a bucket of which the target is no longer a candidate gets its first
// or loses its last flow.
// Invariant: bits.size() is the number of buckets divided by 64, rounded up.
struct held_buckets {
  service_id service;
  target_id target;
  revision at;                     // the newest that the target had applied
  std::uint64_t sequence = 0;      // increases with every report of this target
  std::uint32_t bucket_count = 0;  // a power of two
  std::vector<std::uint64_t> bits;  // bucket b is bit b % 64 of word b / 64

  // Whether the target may hold a flow with this hash; false without buckets.
  bool MayHold(std::uint64_t flow_hash) const;
  // Sets the bit of a bucket. `bucket` < bucket_count.
  void Set(std::uint32_t bucket);
};

// Encodes a report for the wire; words of 64 buckets that are 0 are left out.
std::string EncodeHeldBuckets(const held_buckets& report);

// Decodes a report. On failure returns nothing and sets `last_failure` with the
// code kHeldReportMalformed.
std::optional<held_buckets> DecodeHeldBuckets(std::string_view bytes,
                                              failure* last_failure);

}  // namespace tamaracklatch
