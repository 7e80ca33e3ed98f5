// Moving average of service times.
#include "steering/service_time_estimator.h"

#include <algorithm>
#include <cmath>

#include "tamaracklatch/roster/node_record.h"

namespace tamaracklatch {
namespace {

// The estimate is unknown until there are this many samples.
constexpr std::uint32_t kMinSamples = 16;
// The weight of a new sample is 1/kAveraged; the first samples weigh alike, so
// that the first one does not dominate the average.
constexpr std::uint32_t kAveraged = 64;
// A change by less than 1/kReportedChange is not reported.
constexpr std::uint32_t kReportedChange = 8;

}  // namespace

void service_time_estimator::Add(duration sample) {
  samples_ = std::min(samples_ + 1, kAveraged);
  // A single sample is limited, so that one lost answer does not outweigh all
  // other samples.
  const double units =
      std::clamp(static_cast<double>(sample.count()) /
                     static_cast<double>(duration(kServiceTimeUnit).count()),
                 0.0, static_cast<double>(kMaxServiceTime));
  mean_ += (units - mean_) / samples_;
  const std::uint32_t now = estimate();
  const std::uint32_t change =
      now > reported_ ? now - reported_ : reported_ - now;
  if (change * kReportedChange >= reported_) reported_ = now;
}

std::uint32_t service_time_estimator::estimate() const {
  if (samples_ < kMinSamples) return 0;
  return std::max<std::uint32_t>(static_cast<std::uint32_t>(std::lround(mean_)),
                                 1);
}

}  // namespace tamaracklatch
