// The expected load by which balancers and target daemons compare the targets
// of a service.
#pragma once

#include <cstdint>
#include <vector>

#include "steering/target_directory.h"

namespace tamaracklatch {

// The service time of a target relative to `median`, that of its service. 1 if
// one of them is 0 (unknown). Limited to [1/4, 4], since the estimates of
// targets that serve different routes can differ without a difference in speed.
double RelativeServiceTime(std::uint32_t service_time, std::uint32_t median);

// The lower median, 0 if there are no values. Reorders them.
std::uint32_t MedianServiceTime(std::vector<std::uint32_t>* known);

// Load of a target that its report does not include yet, in 1/256 of a slot of
// a target of the median service time.
struct unreported_load {
  double openings = 0.0;  // of openings that were just sent to the target
  double base = 0.0;      // also of an idle target
};

// The reported load, in 1/256 of a slot. A report older than 1 s is blended
// with `mean`, the mean load per slot of the service: its weight falls to 1/2
// at 5 s. It falls no further, since a load that does not change is not
// reported again.
double ReportedLoad(const directory_target& target, double mean,
                    time_point now);

// The expected load per slot, in 1/256. The reported load already reflects the
// speed of the target, since requests wait longer at a slow one; unreported
// load is scaled by the relative service time.
inline double ExpectedLoad(const directory_target& target, double reported,
                           const unreported_load& added) {
  const double relative = target.relative_service_time;
  return (reported + added.openings * relative + added.base * relative) /
         target.slots;
}
inline double ExpectedLoad(const directory_target& target,
                           const unreported_load& added) {
  return ExpectedLoad(target, target.load, added);
}

}  // namespace tamaracklatch
