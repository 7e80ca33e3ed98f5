// The record that each process announces about itself. The roster is the set of
// the records of all processes.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "tamaracklatch/core/endpoint.h"
#include "tamaracklatch/core/ids.h"
#include "tamaracklatch/core/time.h"

namespace tamaracklatch {

// What a process does in the installation.
enum class node_role : std::uint8_t {
  kControl = 0,
  kBalancer = 1,
  kTarget = 2
};

// State of the target beside a target daemon, as the daemon announces it.
enum class target_condition : std::uint8_t {
  kAbsent = 0,      // ended, or no report within the time limit
  kReady = 1,       // accepts new flows
  kDraining = 2,    // keeps its flows, accepts no new ones
  kUnreported = 3,  // the daemon just started; a target may already be running
};

inline std::string_view ToString(target_condition condition) {
  switch (condition) {
    case target_condition::kAbsent:
      return "absent";
    case target_condition::kReady:
      return "ready";
    case target_condition::kDraining:
      return "draining";
    case target_condition::kUnreported:
      return "unreported";
  }
  return "unknown";
}

inline constexpr std::chrono::microseconds kServiceTimeUnit{64};
inline constexpr std::uint32_t kMaxServiceTime = 65535;

// Describes one process; announced by its roster_member. A later record of the
// same start has a higher sequence; a later start at the same endpoint has a
// higher generation.
struct node_record {
  // UDP, for roster messages and segments; identifies the node.
  endpoint where;
  std::uint64_t generation = 0;  // wall clock at the start, in microseconds
  std::uint64_t sequence = 0;    // increases with each change of the record
  node_role role = node_role::kTarget;
  zone_name zone;        // abbreviated, as AbbreviateName returns it
  bool leaving = false;  // a graceful stop has begun; final for this start

  // Set by a control VM only.
  endpoint operators;  // TCP, the HTTP interface for operators

  // Set by a target daemon only.
  std::string service;  // abbreviated, as AbbreviateName returns it
  target_condition condition = target_condition::kAbsent;
  std::uint32_t slots = 1;  // requests that the target runs concurrently
  std::uint32_t load = 0;   // in 1/256 of a slot, smoothed
  // How long the target stays cold, counted from when the record was made; in a
  // roster_entry from `changed_at`.
  duration cold_remaining{0};
  // Start of the target, in milliseconds of its wall clock; 0 while absent.
  std::uint64_t target_start = 0;
  // While unreported: a target that was running before the daemon may hold
  // flows. Also true where the record does not tell.
  bool may_have_target = true;
  // Estimated time that the target takes for a request, in units of
  // kServiceTimeUnit, at most kMaxServiceTime; 0: unknown.
  std::uint32_t service_time = 0;
  // The lowest version of a replaced document set by which balancers opened
  // flows that may be open at this target; 0: none.
  std::uint64_t outdated_set = 0;

  // Whether both records are from the same start of the same node.
  bool IsSameStart(const node_record& other) const {
    return where == other.where && generation == other.generation;
  }
  // Whether this record replaces `other`, which has the same endpoint.
  bool IsNewerThan(const node_record& other) const {
    return generation != other.generation ? generation > other.generation
                                          : sequence > other.sequence;
  }
};

// Whether a node can be reached, as a hub or member sees it.
enum class node_liveness : std::uint8_t {
  kAlive = 0,
  kSilent = 1,  // no hub receives its announcements
  kGone = 2,    // it announced that it leaves, or a later start replaced it
};

// The newest record of a node, as a hub or member holds it.
struct roster_entry {
  node_record record;
  node_liveness liveness = node_liveness::kAlive;
  time_point changed_at;  // when `record` or `liveness` last changed here
};

}  // namespace tamaracklatch
