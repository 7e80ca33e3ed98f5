// What each process tells about itself. The records of all processes make the
// roster.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "tamaracklatch/core/endpoint.h"
#include "tamaracklatch/core/ids.h"
#include "tamaracklatch/core/time.h"

namespace tamaracklatch {

enum class node_role : std::uint8_t {
  kControl = 0,
  kBalancer = 1,
  kTarget = 2
};

enum class target_condition : std::uint8_t {
  kAbsent = 0,      // no report within the bound, or ended
  kReady = 1,       // takes new flows
  kDraining = 2,    // keeps its flows, takes no new ones
  kUnreported = 3,  // the daemon just started; a target may live beside it
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

// One process. A later record of the same start has a higher sequence; a later
// start at the same endpoint has a higher generation.
struct node_record {
  endpoint where;  // UDP, for messages and segments; identifies the node
  std::uint64_t generation = 0;  // wall clock at the start, in microseconds
  std::uint64_t sequence = 0;    // rises with each change of the record
  node_role role = node_role::kTarget;
  zone_name zone;
  bool leaving = false;  // a graceful stop has begun; final for this start

  // Of a control VM.
  endpoint operators;  // TCP: HTTP of the operators

  // Of a target daemon.
  std::string service;
  target_condition condition = target_condition::kAbsent;
  std::uint32_t slots = 1;         // requests that the target runs at a time
  std::uint32_t load = 0;          // in 1/256 of a slot, smoothed
  duration cold_remaining{0};      // from when the record was made; in a
                                   // roster_entry from `learned`
  std::uint64_t target_start = 0;  // of the target, in ms of its wall clock;
                                   // 0 while absent

  // Whether the other record is of the same start of the same node.
  bool IsSameStart(const node_record& other) const {
    return where == other.where && generation == other.generation;
  }
  // Whether this record replaces the other, of the same endpoint.
  bool IsNewerThan(const node_record& other) const {
    return generation != other.generation ? generation > other.generation
                                          : sequence > other.sequence;
  }
};

// A record as a node of the roster sees it.
enum class node_liveness : std::uint8_t {
  kAlive = 0,
  kSilent = 1,  // no hub hears it
  kGone = 2,    // it said that it leaves, or a later start took its place
};

struct roster_entry {
  node_record record;
  node_liveness liveness = node_liveness::kAlive;
  time_point learned;  // when `record` or `liveness` last changed here
};

}  // namespace tamaracklatch
