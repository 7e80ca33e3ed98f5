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

  // A run was shed while `running` were dispatched, itself among them.
  void OnShed(std::uint32_t running, time_point now);

  // A run took `relative` times the usual time of its class. The counts were
  // dispatched when it began and when it ended, itself among them.
  void OnAnswer(double relative, std::uint32_t at_begin, std::uint32_t at_end,
                time_point now);

  std::uint32_t current() const { return current_; }

 private:
  // Mean of relative times.
  struct mean_time {
    double sum = 0.0;
    std::uint32_t count = 0;

    double Mean() const { return count == 0 ? 0.0 : sum / count; }
  };

  void Lower(std::uint32_t limit, time_point now);
  void Raise(time_point now);

  std::uint32_t reported_;
  std::uint32_t current_;
  mean_time light_;  // runs with at most half of the limit in use
  mean_time full_;   // runs with the limit in use
  duration hold_;    // wait before the next step up
  time_point next_raise_{};
};

}  // namespace tamaracklatch
