// Estimates how long a target takes for one request, from the requests that it
// ran without waiting for a free slot. Used by owned_flows.
#pragma once

#include <cstdint>

#include "tamaracklatch/core/time.h"

namespace tamaracklatch {

class service_time_estimator {
 public:
  // The time from the delivery of a request to the first byte of its answer.
  void Add(duration sample);
  // Discards all samples, as after a new start of the target.
  void Reset() { *this = service_time_estimator(); }

  // The estimate in units of kServiceTimeUnit, at least 1; 0: unknown.
  std::uint32_t estimate() const;
  // The estimate to report. It follows `estimate` once that differs by an
  // eighth or has become known, so that small changes are not announced.
  std::uint32_t reported() const { return reported_; }

 private:
  double mean_ = 0.0;          // moving average, in units of kServiceTimeUnit
  std::uint32_t samples_ = 0;  // added since the reset, at most kAveraged
  std::uint32_t reported_ = 0;
};

}  // namespace tamaracklatch
