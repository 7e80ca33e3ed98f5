// Fixed-point logarithm for weighted rendezvous hashing. It uses only integers,
// so that the result is the same on every processor and with every C library.
#pragma once

#include <cstdint>

namespace tamaracklatch {

// Fraction bits of the result of NegativeLog2().
inline constexpr std::uint32_t kLogFractionBits = 32;

// Returns -log2((hash + 1) / 2^64) with kLogFractionBits fraction bits; never
// 0. The error is below 2^-24.
std::uint64_t NegativeLog2(std::uint64_t hash);

}  // namespace tamaracklatch
