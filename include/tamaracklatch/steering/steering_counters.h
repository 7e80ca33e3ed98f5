// What segment routers and segment owners count, for /metrics and tests.
#pragma once

#include <cstdint>

#include "tamaracklatch/core/fixed_histogram.h"
#include "tamaracklatch/flow/flow_counters.h"

namespace tamaracklatch {

// Counted by a balancer.
struct segment_router_counters {
  std::uint64_t openings = 0;  // segments that open, forwarded
  std::uint64_t cached = 0;    // segments to an owner that a hint named
  std::uint64_t guessed = 0;   // segments to the opening's first choice
  std::uint64_t searched = 0;  // segments along the search order
  std::uint64_t hints = 0;     // kOwner
  std::uint64_t unknown = 0;   // kUnknown and kRefused
  refusal_counters refused;    // with a reset
  refusal_counters dropped;    // without
};

// Counted by a target daemon.
struct segment_owner_counters {
  std::uint64_t delivered = 0;  // segments handed to the target
  std::uint64_t taken = 0;      // openings, of those
  std::uint64_t blind = 0;      // of those, without knowing the flow
  std::uint64_t returned = 0;   // handed back by the target
  std::uint64_t answered = 0;   // segments from the target to callers
  std::uint64_t searched = 0;   // segments passed on in search of the owner
  std::uint64_t claimed = 0;    // flows whose caller took the target's answer
  std::uint64_t hints = 0;      // kOwner and kUnknown
  refusal_counters passed;      // openings passed on
  refusal_counters reset;       // callers sent a reset
  refusal_counters discarded;   // segments dropped
  refusal_counters forgotten;   // flows
  span_histogram first_answer;  // from an opening to the target's answer
  // Visits at other target daemons before this one.
  visit_histogram opening_visits;        // of openings taken
  visit_histogram search_visits;         // of segments found to be its own
  visit_histogram failed_search_visits;  // of segments with no owner found
};

}  // namespace tamaracklatch
