// Fixed-point logarithm by linear interpolation in a table, which is computed
// by repeated squaring.
#include "placement/fixed_log.h"

#include <array>

namespace tamaracklatch {
namespace {

constexpr std::uint32_t kTableBits = 11;
constexpr std::uint32_t kTableSize = 1U << kTableBits;

// Computes log2 of a number in [1, 2) with 31 fraction bits, one bit of the
// result in each step.
std::uint64_t ComputeLog2(std::uint64_t number) {
  std::uint64_t result = 0;
  for (std::uint32_t bit = kLogFractionBits; bit-- > 0;) {
    number = (number * number) >> 31U;
    if (number < std::uint64_t{1} << 32U) continue;
    number >>= 1U;
    result |= std::uint64_t{1} << bit;
  }
  return result;
}

// log2 of 1 + i / kTableSize for each index i, with kLogFractionBits.
struct log_table {
  std::array<std::uint64_t, kTableSize + 1> values{};

  log_table() {
    for (std::uint64_t at = 0; at < kTableSize; ++at) {
      const std::uint64_t number =
          (std::uint64_t{1} << 31U) + (at << (31U - kTableBits));
      values.at(at) = ComputeLog2(number);
    }
    values.at(kTableSize) = std::uint64_t{1} << kLogFractionBits;
  }
};

}  // namespace

std::uint64_t NegativeLog2(std::uint64_t hash) {
  static const log_table kTable;
  if (hash == 0) return std::uint64_t{64} << kLogFractionBits;

  // hash = 2^exponent * (1 + fraction / 2^64)
  const auto leading = static_cast<std::uint32_t>(__builtin_clzll(hash));
  const std::uint64_t fraction = leading == 63 ? 0 : hash << (leading + 1);
  const std::uint64_t cell = fraction >> (64U - kTableBits);
  const std::uint64_t within = (fraction << kTableBits) >> 32U;

  const std::uint64_t low = kTable.values[cell];
  const std::uint64_t step = kTable.values[cell + 1] - low;
  const std::uint64_t log = low + ((step * within) >> 32U);
  const std::uint64_t one = std::uint64_t{1} << kLogFractionBits;
  const std::uint64_t result = (leading + 1) * one - log;
  return result == 0 ? 1 : result;
}

}  // namespace tamaracklatch
