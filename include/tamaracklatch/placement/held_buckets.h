// What a target daemon says about the buckets in which it may hold flows, so
// that others know where an unknown flow can still be.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "tamaracklatch/core/ids.h"
#include "tamaracklatch/core/result_code.h"

namespace tamaracklatch {

// The bits cover the buckets of which the target is a candidate at `at`, and
// all others in which it holds a flow. So they change only with the placement,
// or when a bucket that the target lost gets its first or loses its last flow.
// Invariant: bits.size() is the number of buckets divided by 64, rounded up.
struct held_buckets {
  service_id service;
  target_id target;
  revision at;              // what the target had applied
  std::uint64_t count = 0;  // rises with every report of this target
  std::uint32_t bucket_count = 0;
  std::vector<std::uint64_t> bits;

  // Whether a flow with this hash may be there.
  bool MayHold(std::uint64_t flow_hash) const;
  void Set(std::uint32_t bucket);
};

std::string EncodeHeldBuckets(const held_buckets& report);

// On failure returns nothing; the code is kHeldReportMalformed.
std::optional<held_buckets> DecodeHeldBuckets(std::string_view bytes,
                                              failure* last_failure);

}  // namespace tamaracklatch
