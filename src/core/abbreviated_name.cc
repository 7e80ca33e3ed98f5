// Abbreviation of long names by libsodium's BLAKE2b.
#include "tamaracklatch/core/abbreviated_name.h"

#include <fmt/format.h>
#include <sodium/crypto_generichash_blake2b.h>
#include <sodium/utils.h>

#include <algorithm>
#include <cassert>

namespace tamaracklatch {
namespace {

constexpr char kMark = '~';  // between the first letters and the digest
constexpr std::size_t kHexDigits = 2 * std::tuple_size_v<name_digest>;
// Of the first letters, in bytes. Fewer are kept where the limit is within a
// letter of several bytes, which has up to kMaxLetterBytes.
constexpr std::size_t kMaxPrefix = 31;
constexpr std::size_t kMaxLetterBytes = 4;

static_assert(kMaxPrefix + 1 + kHexDigits <= kMaxAbbreviatedName);

bool IsLowerHexDigit(char digit) {
  return (digit >= '0' && digit <= '9') || (digit >= 'a' && digit <= 'f');
}

// Whether `name` has the form of an abbreviation.
bool IsAbbreviation(std::string_view name) {
  constexpr std::size_t kShortest =
      kMaxPrefix - (kMaxLetterBytes - 1) + 1 + kHexDigits;
  constexpr std::size_t kLongest = kMaxPrefix + 1 + kHexDigits;
  if (name.size() < kShortest || name.size() > kLongest) return false;
  const std::string_view digits = name.substr(name.size() - kHexDigits);
  return name[name.size() - kHexDigits - 1] == kMark &&
         std::all_of(digits.begin(), digits.end(), IsLowerHexDigit);
}

// The first letters of a name that is longer than kMaxPrefix. A name that is no
// UTF-8 may be cut anywhere within the range that IsAbbreviation expects.
std::string_view PrefixOf(std::string_view name) {
  std::size_t size = kMaxPrefix;
  const auto is_continuation = [&](std::size_t at) {
    return (static_cast<std::uint8_t>(name[at]) & 0xc0U) == 0x80U;
  };
  while (size > kMaxPrefix - (kMaxLetterBytes - 1) && is_continuation(size))
    --size;
  return name.substr(0, size);
}

}  // namespace

name_digest DigestName(std::string_view name) {
  name_digest digest{};
  crypto_generichash_blake2b(
      digest.data(), digest.size(),
      reinterpret_cast<const unsigned char*>(name.data()), name.size(), nullptr,
      0);
  return digest;
}

std::string AbbreviateName(std::string_view name) {
  if (name.size() <= kMaxAbbreviatedName && !IsAbbreviation(name))
    return std::string(name);
  std::string result(PrefixOf(name));
  result += kMark;
  for (const std::uint8_t byte : DigestName(name))
    result += fmt::format("{:02x}", byte);
  return result;
}

name_digest DigestOfAbbreviated(std::string_view abbreviated) {
  if (!IsAbbreviation(abbreviated)) return DigestName(abbreviated);
  name_digest digest{};
  const std::string_view digits =
      abbreviated.substr(abbreviated.size() - kHexDigits);
  std::size_t size = 0;
  const int failed = sodium_hex2bin(digest.data(), digest.size(), digits.data(),
                                    digits.size(), nullptr, &size, nullptr);
  assert(failed == 0 && size == digest.size());
  static_cast<void>(failed);
  return digest;
}

}  // namespace tamaracklatch
