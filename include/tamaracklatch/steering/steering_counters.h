// Counters of segment routers and segment owners, since the start of the
// process. Read by the metrics endpoint and by tests.
#pragma once

#include <cstdint>

#include "tamaracklatch/core/fixed_histogram.h"
#include "tamaracklatch/flow/flow_counters.h"

namespace tamaracklatch {

// Counted by the segment router of a balancer.
struct segment_router_counters {
  std::uint64_t openings = 0;  // openings forwarded to an accepting target
  std::uint64_t cached = 0;    // segments forwarded to the hinted owner
  std::uint64_t guessed = 0;   // segments forwarded to where the opening went
  std::uint64_t searched = 0;  // segments forwarded to search for the owner
  std::uint64_t owner_hints = 0;      // kOwner hints received
  std::uint64_t not_owner_hints = 0;  // kUnknown and kRefused hints received
  refusal_counters refused;           // segments answered with a reset
  refusal_counters dropped;           // segments dropped without a reset
};

// Counted by the segment owner of a target daemon.
struct segment_owner_counters {
  std::uint64_t delivered = 0;  // segments delivered to the target
  std::uint64_t taken = 0;      // openings accepted; included in `delivered`
  // Segments of flows that the flow table does not have; in `delivered`.
  std::uint64_t delivered_unknown = 0;
  std::uint64_t returned = 0;  // segments returned by the target
  std::uint64_t answered = 0;  // segments sent from the target to callers
  std::uint64_t searched = 0;  // segments passed on to search for the owner
  std::uint64_t claimed = 0;  // flows whose caller accepted the target's answer
  std::uint64_t hints_sent = 0;          // kOwner, kUnknown and kRefused
  std::uint64_t registrations_sent = 0;  // kRegistration
  std::uint64_t located = 0;         // segments passed on to a registered owner
  std::uint64_t split_searches = 0;  // searches in parts that began here
  refusal_counters passed;           // openings passed to another target daemon
  refusal_counters reset;            // resets sent to callers
  refusal_counters discarded;        // segments discarded
  refusal_counters forgotten;        // flows removed from the flow table
  span_histogram first_answer;       // from an opening to the target's SYN-ACK
  // Other target daemons visited by a segment before it reached this one.
  visit_histogram opening_visits;        // openings that were accepted
  visit_histogram search_visits;         // segments of flows owned here
  visit_histogram failed_search_visits;  // segments whose search ended here
};

}  // namespace tamaracklatch
