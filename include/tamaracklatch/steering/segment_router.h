// The balancer's decision about a caller's segment: which target daemon it goes
// to first. Keeps no truth: owners are cached as target daemons tell them.
//
//   segment_router router(settings);
//   router.SetRoutes(set, now);
//   router.UpdateTarget(entry);          // for each change of the roster
//   auto decision = router.Route(segment, now);
//   router.OnOwner(header, from, now);   // kOwner and kUnknown
#pragma once

#include <cstdint>
#include <variant>

#include "tamaracklatch/control/document_set.h"
#include "tamaracklatch/core/event.h"
#include "tamaracklatch/core/random.h"
#include "tamaracklatch/roster/node_record.h"
#include "tamaracklatch/steering/segment.h"
#include "tamaracklatch/steering/steering_header.h"

namespace tamaracklatch {

struct segment_router_settings {
  endpoint self;   // UDP, for hints
  zone_name zone;  // targets of it are preferred at equal load
  std::size_t max_cached_flows = 65536;
  // Flows that are older than this may be forgotten; targets of services that
  // a route named within it are searched for owners.
  duration max_flow_age = std::chrono::seconds(60);
};

// Send the segment behind the header.
struct forward_segment {
  endpoint to;
  steering_header header;
};

// Answer the caller with a reset: the flow is surely not open, or its route is
// gone.
struct refuse_segment {
  result_code why = result_code::kRouteUnknown;
};

struct drop_segment {
  result_code why = result_code::kRouteUnknown;
};

using steering_decision =
    std::variant<forward_segment, refuse_segment, drop_segment>;

class segment_router {
 public:
  segment_router(const segment_router_settings& settings,
                 event_listener* listener = nullptr);

  // A higher document set; earlier routes' services stay searchable.
  void SetRoutes(const document_set& set, time_point now);

  // A target daemon of the roster is new or changed, or is forgotten (kGone).
  void UpdateTarget(const roster_entry& entry, time_point now);

  // Whether the own view was confirmed by the control quorum within the bound
  // after which an accepted set must be in force.
  void SetConfirmed(bool confirmed) { confirmed_ = confirmed; }

  steering_decision Route(const segment& what, time_point now);

  // A hint from a target daemon.
  void OnOwner(const steering_header& hint, const endpoint& from,
               time_point now);

  std::uint64_t set_version() const;
  std::size_t cached_flows() const;

 private:
  bool confirmed_ = false;
};

}  // namespace tamaracklatch
