// The logarithm that weighted rendezvous hashing needs, in whole numbers: the
// same result on every processor and with every C library.
#pragma once

#include <cstdint>

namespace tamaracklatch {

// Fraction bits of NegativeLog2.
inline constexpr std::uint32_t kLogFractionBits = 32;

// -log2((hash + 1) / 2^64) with kLogFractionBits of fraction; never 0. An
// error below 2^-24.
std::uint64_t NegativeLog2(std::uint64_t hash);

}  // namespace tamaracklatch
