// Relative service times.
#include "steering/expected_load.h"

#include <algorithm>

namespace tamaracklatch {
namespace {

constexpr double kMaxRelative = 4.0;

// The age up to which a report has full weight, and that from which it has the
// least weight.
constexpr std::chrono::seconds kFreshAge{1};
constexpr std::chrono::seconds kOldAge{5};
constexpr double kLeastWeight = 0.5;

}  // namespace

double RelativeServiceTime(std::uint32_t service_time, std::uint32_t median) {
  if (service_time == 0 || median == 0) return 1.0;
  return std::clamp(static_cast<double>(service_time) / median,
                    1.0 / kMaxRelative, kMaxRelative);
}

double ReportedLoad(const directory_target& target, double mean,
                    time_point now) {
  const duration age = now - target.last_update;
  if (age <= kFreshAge) return target.load;
  const double part =
      static_cast<double>((age - kFreshAge).count()) /
      static_cast<double>(duration(kOldAge - kFreshAge).count());
  const double weight = 1.0 - (1.0 - kLeastWeight) * std::min(part, 1.0);
  return weight * target.load + (1.0 - weight) * mean * target.slots;
}

std::uint32_t MedianServiceTime(std::vector<std::uint32_t>* known) {
  if (known->empty()) return 0;
  const auto middle =
      known->begin() + static_cast<std::ptrdiff_t>((known->size() - 1) / 2);
  std::nth_element(known->begin(), middle, known->end());
  return *middle;
}

}  // namespace tamaracklatch
