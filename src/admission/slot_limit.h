// How many of the reported slots the target shows to bear: down when it sheds
// or slows under full load, up again step by step.
#pragma once

#include <cstdint>

#include "tamaracklatch/core/time.h"

namespace tamaracklatch {

// Invariant: 1 <= current() <= reported slots.
class slot_limit {
 public:
  explicit slot_limit(std::uint32_t reported);

  // The target reports another number of slots.
  void Report(std::uint32_t reported);

  // A run was shed while `running` were dispatched, itself among them. Single
  // ones do not count: a target may have other reasons.
  void OnShed(std::uint32_t running, time_point now);

  // A run took `relative` times the usual time of its class. `running` were
  // dispatched when it began, itself among them: how long a run takes does not
  // bear on that, while it does on how many run at its end.
  void OnAnswer(double relative, std::uint32_t running, time_point now);

  std::uint32_t current() const { return current_; }

 private:
  // Relative times of runs of one kind.
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
    // Standard error of the mean, as a share of the mean.
    double RelativeError() const;
  };

  void Compare(time_point now);
  bool IsSurelySlow(double ratio) const;
  void LowerTo(std::uint32_t limit);
  void Raise(time_point now);

  std::uint32_t reported_;
  std::uint32_t current_;
  time_sample light_;  // runs begun with at most half of the limit in use
  time_sample full_;   // runs begun with the limit in use
  duration hold_;      // wait before the next step up
  time_point next_raise_{};
  time_point last_shed_{};   // that lowered the limit
  double shed_share_ = 0.0;  // of the last runs
};

}  // namespace tamaracklatch
