// Hashes by xxHash's XXH3, whose result is fixed by its specification.
#include "tamaracklatch/core/hash.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <array>

namespace tamaracklatch {

std::uint64_t HashBytes(const void* data, std::size_t size,
                        std::uint64_t seed) {
  return XXH3_64bits_withSeed(data, size, seed);
}

std::uint64_t HashText(std::string_view text, std::uint64_t seed) {
  return HashBytes(text.data(), text.size(), seed);
}

std::uint64_t HashPair(std::uint64_t first, std::uint64_t second) {
  const std::array<std::uint64_t, 2> pair{first, second};
  return HashBytes(pair.data(), sizeof(pair));
}

}  // namespace tamaracklatch
