// Relative service times.
#include "steering/expected_load.h"

#include <algorithm>

namespace tamaracklatch {
namespace {

constexpr double kMaxRelative = 4.0;

}  // namespace

double RelativeServiceTime(std::uint32_t service_time, std::uint32_t median) {
  if (service_time == 0 || median == 0) return 1.0;
  return std::clamp(static_cast<double>(service_time) / median,
                    1.0 / kMaxRelative, kMaxRelative);
}

std::uint32_t MedianServiceTime(std::vector<std::uint32_t>* known) {
  if (known->empty()) return 0;
  const auto middle =
      known->begin() + static_cast<std::ptrdiff_t>((known->size() - 1) / 2);
  std::nth_element(known->begin(), middle, known->end());
  return *middle;
}

}  // namespace tamaracklatch
