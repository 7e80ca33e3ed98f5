// Adaptive limit on the slots in use: lowered when the target sheds runs or
// slows down under full load, then raised one slot at a time up to the reported
// number.
#pragma once

#include <cstdint>

#include "tamaracklatch/core/time.h"

namespace tamaracklatch {

// Used by admission_queue, one for each target.
// Invariant: 1 <= current() <= max(1, reported slots).
class slot_limit {
 public:
  explicit slot_limit(std::uint32_t reported);

  // Sets the number of slots that the target reports. A changed number resets
  // the limit to it and discards all samples.
  void SetReportedSlots(std::uint32_t reported);

  // Records that a run was shed while `running` were dispatched, itself
  // included. The limit is lowered only when a large share of recent runs is
  // shed: a target may shed a single run for another reason.
  void OnShed(std::uint32_t running, time_point now);

  // Records an answered run that took `relative` times the long-term
  // service time of its class. `running` were dispatched when it started,
  // itself included. The count at its start is used because it does not depend
  // on how long the run takes, as the count at its end does.
  void OnAnswered(double relative, std::uint32_t running, time_point now);

  // The present limit, in slots.
  std::uint32_t current() const { return current_; }

 private:
  // Relative service times of runs at one level of load.
  struct time_sample {
    double sum = 0.0;
    double sum_of_squares = 0.0;
    std::uint32_t count = 0;

    void Add(double time) {
      sum += time;
      sum_of_squares += time * time;
      ++count;
    }
    double Mean() const { return sum / count; }
    // Standard error of the mean, as a fraction of the mean.
    double RelativeError() const;
  };

  // Compares service times at full and at light load once there are enough
  // samples, and lowers the limit on a slowdown.
  void Compare(time_point now);
  bool IsSignificantSlowdown(double ratio) const;
  // Lowers the limit to `limit`, but not below 1, and discards the samples.
  void LowerTo(std::uint32_t limit);
  // Raises the limit by one slot if a raise is due and it is below reported_.
  void Raise(time_point now);

  std::uint32_t reported_;
  std::uint32_t current_;
  // Runs started with at most half of the limit in use.
  time_sample light_load_;
  // Runs started with the whole limit in use.
  time_sample full_load_;
  duration raise_interval_;    // least time between two raises
  time_point next_raise_{};    // no raise before this time
  time_point last_shed_at_{};  // when shed runs last lowered the limit
  double shed_share_ = 0.0;    // moving average over recent runs, 0 to 1
};

}  // namespace tamaracklatch
