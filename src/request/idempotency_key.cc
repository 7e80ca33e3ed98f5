// Reading and writing of UUIDs of version 7.
#include "tamaracklatch/request/idempotency_key.h"

#include <fmt/format.h>

#include <cstddef>

#include "tamaracklatch/core/hash.h"

namespace tamaracklatch {
namespace {

constexpr std::size_t kTextSize = 36;
constexpr std::size_t kTimeBytes = 6;
constexpr std::uint8_t kVersion = 7;
constexpr std::uint8_t kVariant = 2;  // the two high bits, RFC 9562 section 4.1

bool IsDash(std::size_t at) {
  return at == 8 || at == 13 || at == 18 || at == 23;
}

int HexDigit(char digit) {
  if (digit >= '0' && digit <= '9') return digit - '0';
  if (digit >= 'a' && digit <= 'f') return digit - 'a' + 10;
  if (digit >= 'A' && digit <= 'F') return digit - 'A' + 10;
  return -1;
}

std::optional<idempotency_key> Malformed(failure* last_failure,
                                         std::string_view why) {
  SetFailure(last_failure, result_code::kKeyMalformed,
             fmt::format("Idempotency-Key: {}", why));
  return std::nullopt;
}

}  // namespace

wall_time idempotency_key::Minted() const {
  std::int64_t milliseconds = 0;
  for (std::size_t i = 0; i < kTimeBytes; ++i) {
    milliseconds = milliseconds << 8 | bytes[i];
  }
  return wall_time(std::chrono::milliseconds(milliseconds));
}

std::optional<idempotency_key> ParseIdempotencyKey(std::string_view text,
                                                   failure* last_failure) {
  if (text.size() == kTextSize + 2 && text.front() == '"' &&
      text.back() == '"') {
    text = text.substr(1, kTextSize);
  }
  if (text.size() != kTextSize) {
    return Malformed(last_failure, "not a UUID of 36 characters");
  }
  idempotency_key key;
  std::size_t nibble = 0;
  for (std::size_t i = 0; i < kTextSize; ++i) {
    if (IsDash(i)) {
      if (text[i] != '-') return Malformed(last_failure, "a dash is missing");
      continue;
    }
    const int digit = HexDigit(text[i]);
    if (digit < 0) return Malformed(last_failure, "not a hexadecimal digit");
    std::uint8_t& byte = key.bytes[nibble / 2];
    byte = static_cast<std::uint8_t>(byte << 4 | digit);
    ++nibble;
  }
  if (key.bytes[6] >> 4 != kVersion) {
    return Malformed(last_failure, "not of version 7");
  }
  if (key.bytes[8] >> 6 != kVariant) {
    return Malformed(last_failure, "not of the variant of RFC 9562");
  }
  return key;
}

idempotency_key MintKey(wall_time now, std::uint64_t random_high,
                        std::uint64_t random_low) {
  idempotency_key key;
  const auto milliseconds = static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          now.time_since_epoch())
          .count());
  for (std::size_t i = 0; i < kTimeBytes; ++i) {
    key.bytes[i] =
        static_cast<std::uint8_t>(milliseconds >> 8 * (kTimeBytes - 1 - i));
  }
  for (std::size_t i = 0; i < 8; ++i) {
    key.bytes[8 + i] = static_cast<std::uint8_t>(random_low >> 8 * i);
  }
  key.bytes[6] = static_cast<std::uint8_t>(kVersion << 4 | (random_high & 15));
  key.bytes[7] = static_cast<std::uint8_t>(random_high >> 8);
  key.bytes[8] =
      static_cast<std::uint8_t>(kVariant << 6 | (key.bytes[8] & 0x3f));
  return key;
}

std::string ToString(const idempotency_key& key) {
  std::string text;
  text.reserve(kTextSize);
  for (const std::uint8_t byte : key.bytes) {
    if (IsDash(text.size())) text += '-';
    text += fmt::format("{:02x}", byte);
  }
  return text;
}

std::uint64_t HashKey(const idempotency_key& key) {
  return HashBytes(key.bytes.data(), key.bytes.size());
}

}  // namespace tamaracklatch
