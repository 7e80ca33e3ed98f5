// The key of a request that may not be repeated: a UUID of version 7 (RFC
// 9562), which carries the time at which it was minted.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "tamaracklatch/core/result_code.h"
#include "tamaracklatch/core/time.h"

namespace tamaracklatch {

struct idempotency_key {
  std::array<std::uint8_t, 16> bytes{};  // in network byte order

  // When it was minted, by the caller's clock, in whole milliseconds.
  wall_time Minted() const;

  friend bool operator==(const idempotency_key& left,
                         const idempotency_key& right) {
    return left.bytes == right.bytes;
  }
  friend bool operator<(const idempotency_key& left,
                        const idempotency_key& right) {
    return left.bytes < right.bytes;
  }
};

// Reads the value of an Idempotency-Key field: the UUID's text, bare or in
// double quotes. On failure returns nothing and says why in `last_failure`.
std::optional<idempotency_key> ParseIdempotencyKey(std::string_view text,
                                                   failure* last_failure);

// Mints a key at `now` with these random bits.
idempotency_key MintKey(wall_time now, std::uint64_t random_high,
                        std::uint64_t random_low);

// The UUID's text in lower case.
std::string ToString(const idempotency_key& key);

// A 64-bit hash, the same on every node; its low bits choose the bucket.
std::uint64_t HashKey(const idempotency_key& key);

}  // namespace tamaracklatch
