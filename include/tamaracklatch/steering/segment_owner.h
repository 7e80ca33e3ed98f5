// The decisions of a target daemon that sees every segment of its target in
// both directions: which flows are the target's own, which openings it takes,
// where other segments go.
//
//   segment_owner owner(settings, &codec, now);
//   owner.OnSteered(header, segment, now, &actions);      // from the fabric
//   owner.OnTargetSegment(segment, now, &actions);        // from the target
//   owner.SetTarget(status, now);                         // heartbeats
//   owner.UpdateTarget(entry);                            // of the roster
//   owner.Tick(now, &actions);
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "tamaracklatch/core/event.h"
#include "tamaracklatch/roster/node_record.h"
#include "tamaracklatch/steering/segment.h"
#include "tamaracklatch/steering/steering_header.h"

namespace tamaracklatch {

struct segment_owner_settings {
  endpoint self;
  std::string service;
  zone_name zone;
  std::size_t max_flows = 8192;
  // A flow older than this, or idle for this long, is forgotten.
  duration max_flow_age = std::chrono::seconds(60);
};

// What the target said of itself last.
struct target_status {
  target_condition condition = target_condition::kAbsent;
  std::uint32_t slots = 1;
  std::uint32_t max_connections = 0;  // 0: not known
  time_point cold_until;
  std::uint64_t target_start = 0;  // as in node_record
};

// Hand the bytes to the target.
struct deliver_segment {
  std::string bytes;
};

// Send the segment on to another target daemon.
struct pass_segment {
  endpoint to;
  steering_header header;
  std::string bytes;
};

// Send the target's bytes to the caller of the key, unchanged; or a reset of
// the own.
struct answer_caller {
  flow_key key;
  std::string bytes;
};

// Tell the balancer.
struct tell_balancer {
  endpoint to;
  steering_header header;  // kOwner or kUnknown
};

struct discard_segment {
  result_code why = result_code::kOk;
};

using segment_action =
    std::variant<deliver_segment, pass_segment, answer_caller, tell_balancer,
                 discard_segment>;

class segment_owner {
 public:
  // `codec` and `listener` outlive the owner.
  segment_owner(const segment_owner_settings& settings,
                const segment_codec* codec, time_point now,
                event_listener* listener = nullptr);

  void OnSteered(const steering_header& header, const segment& what,
                 time_point now, std::vector<segment_action>* actions);
  void OnTargetSegment(const segment& what, time_point now,
                       std::vector<segment_action>* actions);

  void SetTarget(const target_status& status, time_point now);
  void UpdateTarget(const roster_entry& entry, time_point now);
  // The bound of the document set in force; 0: none.
  void SetIdleTimeout(duration limit);

  void Tick(time_point now, std::vector<segment_action>* actions);

  // For the own record, in 1/256 of a slot, smoothed.
  std::uint32_t load() const;
  std::size_t flow_count() const;
};

}  // namespace tamaracklatch
