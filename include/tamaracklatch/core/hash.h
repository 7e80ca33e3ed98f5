// Hashes that are the same on every node and in every version of the system.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace tamaracklatch {

// 64-bit hash of a run of bytes.
std::uint64_t HashBytes(const void* data, std::size_t size,
                        std::uint64_t seed = 0);

// 64-bit hash of a text.
std::uint64_t HashText(std::string_view text, std::uint64_t seed = 0);

// 64-bit hash of two numbers, order matters.
std::uint64_t HashPair(std::uint64_t first, std::uint64_t second);

}  // namespace tamaracklatch
