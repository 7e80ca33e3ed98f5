// How many lines of each kind of event the log takes, and how many it left out.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>

#include "tamaracklatch/core/event_id.h"
#include "tamaracklatch/core/time.h"

namespace tamaracklatch {

struct log_budget_settings {
  std::uint32_t lines_per_second = 50;  // of each kind
  std::uint32_t burst = 500;            // lines of each kind at once
};

// A token bucket for each kind.
// Invariant: in any span of time, at most burst + lines_per_second * span lines
// of one kind are taken.
class log_budget {
 public:
  // Lines left out, by kind.
  using left_out = std::map<event_id, std::uint64_t>;

  explicit log_budget(const log_budget_settings& settings);

  // Whether a line of this kind may be written now; if not, it is counted.
  bool Take(event_id kind, time_point now);

  // Counts a line that was left out for another reason.
  void CountDropped(event_id kind) { ++dropped_[kind]; }

  // Left out since the kind was last forgotten.
  const left_out& dropped() const { return dropped_; }
  void ForgetDropped(event_id kind) { dropped_.erase(kind); }

 private:
  struct bucket {
    time_point filled;  // when it is full again; the past: it is full
  };

  duration cost_;      // of one line
  duration capacity_;  // of a full bucket
  std::map<event_id, bucket> buckets_;
  left_out dropped_;
};

}  // namespace tamaracklatch
