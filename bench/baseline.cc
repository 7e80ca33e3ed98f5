// The baseline's measurement and the fit.
#include "baseline.h"

#include <algorithm>
#include <array>
#include <cassert>
#include <cstdint>
#include <cstring>

#include "report.h"
#include "tamaracklatch/core/hash.h"

namespace tamaracklatch::bench {
namespace {

constexpr int kHashes = 2'000'000;
constexpr int kRuns = 5;

volatile std::uint64_t sink;  // keeps the work from being optimised away

double MeasureOnce() {
  std::array<std::uint64_t, 8> bytes{};
  const double seconds = SecondsOf([&] {
    for (int i = 0; i < kHashes; ++i)
      bytes[0] = HashBytes(bytes.data(), sizeof(bytes));
  });
  sink = bytes[0];
  return seconds / kHashes;
}

}  // namespace

double BaselineSeconds() {
  static const double kSeconds = [] {
    double best = MeasureOnce();
    for (int i = 1; i < kRuns; ++i) best = std::min(best, MeasureOnce());
    return best;
  }();
  return kSeconds;
}

double Slope(const std::vector<sample>& samples) {
  assert(samples.size() >= 2);
  double mean_size = 0.0;
  double mean_value = 0.0;
  for (const sample& point : samples) {
    mean_size += point.size / static_cast<double>(samples.size());
    mean_value += point.value / static_cast<double>(samples.size());
  }
  double covariance = 0.0;
  double variance = 0.0;
  for (const sample& point : samples) {
    covariance += (point.size - mean_size) * (point.value - mean_value);
    variance += (point.size - mean_size) * (point.size - mean_size);
  }
  assert(variance > 0.0);
  return covariance / variance;
}

}  // namespace tamaracklatch::bench
