// The balancer's decision about a caller's segment: which target daemon it goes
// to first. Keeps no truth: owners are cached as target daemons tell them.
//
//   segment_router router(settings);
//   router.SetRoutes(set, now);
//   router.UpdateTarget(entry);          // for each change of the roster
//   auto decision = router.Route(segment, now);
//   router.OnOwner(header, from, now);   // kOwner, kUnknown and kRefused
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "tamaracklatch/control/document_set.h"
#include "tamaracklatch/core/event.h"
#include "tamaracklatch/roster/node_record.h"
#include "tamaracklatch/steering/segment.h"
#include "tamaracklatch/steering/steering_counters.h"
#include "tamaracklatch/steering/steering_header.h"

namespace tamaracklatch {

class hint_cache;
class opening_memory;
class recent_flows;
class segment_hold;
class target_directory;

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
  // `listener` outlives the router.
  explicit segment_router(const segment_router_settings& settings,
                          event_listener* listener = nullptr);
  ~segment_router();

  // A higher document set; earlier routes' services stay searchable.
  void SetRoutes(const document_set& set, time_point now);

  // A target daemon of the roster is new or changed, or is forgotten (kGone).
  void UpdateTarget(const roster_entry& entry, time_point now);

  // Whether the own view was confirmed by the control quorum within the bound
  // after which an accepted set must be in force.
  void SetConfirmed(bool confirmed) { confirmed_ = confirmed; }

  steering_decision Route(const segment& what, time_point now);

  // Segments of before that are to be routed again, because the view has become
  // complete. Call a few times a second.
  std::vector<std::string> TakeHeld(time_point now);

  // A hint from a target daemon.
  void OnOwner(const steering_header& hint, const endpoint& from,
               time_point now);

  std::uint64_t set_version() const { return set_version_; }
  std::size_t cached_flows() const;
  const segment_router_counters& counters() const { return counters_; }

 private:
  struct route_share {
    std::string service;
    std::uint32_t tag = 0;
    std::uint32_t weight = 0;
  };
  // A service that an earlier set gave the address.
  struct past_service {
    std::uint32_t tag = 0;
    time_point searched_until;
  };
  struct route {
    std::string name;
    std::vector<route_share> shares;
    std::uint64_t weights = 0;  // the sum, at least 1
    std::vector<past_service> past;
  };
  // Openings sent to one target; decays as its record comes to tell of them.
  struct sent_openings {
    double count = 0.0;
    time_point at;
  };
  struct address_hash {
    std::size_t operator()(const endpoint& where) const noexcept;
  };

  void KeepPast(const std::unordered_map<endpoint, route, address_hash>& after,
                time_point now);
  std::size_t ChooseShare(const route& by, std::uint64_t flow) const;
  steering_header MakeHeader(const route& by, std::size_t share,
                             std::uint64_t flow, duration flow_age,
                             time_point now) const;
  steering_header MakeOpeningHeader(const route& by, std::size_t share,
                                    std::uint64_t flow, time_point now) const;
  steering_decision RouteOpening(const route& by, const segment& what,
                                 std::uint64_t flow, time_point now);
  steering_decision RouteOther(const route& by, const segment& what,
                               std::uint64_t flow, time_point now);
  bool IsSettled(time_point now) const;
  event TellPlaced(const route& by, std::size_t share, const segment& what,
                   std::uint64_t flow, std::uint32_t target) const;
  bool RankUsable(std::uint64_t flow, std::uint32_t service);
  std::uint32_t ChooseTarget(std::uint32_t copy, std::uint64_t flow,
                             time_point now);
  double LoadOf(std::uint32_t target, time_point now) const;
  double SentOpenings(std::uint32_t target, time_point now) const;
  forward_segment Forward(std::uint32_t target,
                          const steering_header& header) const;
  steering_decision Refuse(const segment& what, std::uint64_t flow,
                           result_code why, time_point now);
  steering_decision Drop(result_code why);

  segment_router_settings settings_;
  event_listener* listener_;
  std::unique_ptr<target_directory> targets_;
  std::unique_ptr<hint_cache> owners_;
  std::unique_ptr<opening_memory> openings_;
  std::unique_ptr<recent_flows> told_;
  std::unique_ptr<segment_hold> hold_;
  std::unordered_map<endpoint, route, address_hash> routes_;
  std::unordered_map<endpoint, std::vector<past_service>, address_hash> past_;
  std::vector<sent_openings> sent_;    // by target
  std::vector<std::uint32_t> ranked_;  // scratch
  std::uint64_t set_version_ = 0;
  time_point first_set_;  // when the first set was taken over
  bool confirmed_ = false;
  segment_router_counters counters_;
};

}  // namespace tamaracklatch
