// The decision logic of a balancer: selects the target daemon to which a
// caller's segment is forwarded first. Target daemons are authoritative for
// flow ownership; the router only caches the owners that they report. It does
// no I/O: the balancer carries out each decision.
//
//   segment_router router(settings);
//   router.SetRoutes(set, succession, now);
//   router.UpdateTarget(entry, now);     // each roster change
//   auto decision = router.Route(segment, now);
//   router.OnHint(header, from, now);    // kOwner, kUnknown and kRefused
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "tamaracklatch/control/document_set.h"
#include "tamaracklatch/control/placement_rules.h"
#include "tamaracklatch/control/set_delta.h"
#include "tamaracklatch/core/event.h"
#include "tamaracklatch/roster/node_record.h"
#include "tamaracklatch/steering/segment.h"
#include "tamaracklatch/steering/steering_counters.h"
#include "tamaracklatch/steering/steering_header.h"

namespace tamaracklatch {

class hint_cache;
class opening_cache;
class recent_flows;
class segment_hold;
class target_directory;

struct segment_router_settings {
  endpoint self;   // UDP, where this balancer receives hints
  zone_name zone;  // its targets are preferred at equal load
  // The most flows whose owner is cached. The cache consists of small sets: a
  // flow added to a full set evicts the least recently used flow of that set.
  std::size_t max_cached_flows = 65536;
  // The age after which target daemons may remove a flow. The targets of each
  // service that a route had within this time and max_set_delay are searched
  // for owners; those of a service removed earlier, while one of its targets
  // reports flows opened by a replaced set.
  duration max_flow_age = std::chrono::seconds(60);
  // The time in which all balancers whose view is confirmed apply an accepted
  // document set. Others go on with the set that they have.
  duration max_set_delay = std::chrono::seconds(3);
};

// Send the header followed by the segment to the target daemon.
struct forward_segment {
  endpoint to;
  steering_header header;
};

// Answer the caller with a reset: the flow is known not to be open, or no route
// of the applied document set has its address.
struct refuse_segment {
  result_code reason = result_code::kRouteUnknown;
};

// Drop the segment without an answer.
struct drop_segment {
  result_code reason = result_code::kRouteUnknown;
};

using steering_decision =
    std::variant<forward_segment, refuse_segment, drop_segment>;

// Routes the segments of all flows of one balancer. Used from one thread.
class segment_router {
 public:
  // `listener` must outlive the router; it may be null.
  explicit segment_router(const segment_router_settings& settings,
                          event_listener* listener = nullptr);
  ~segment_router();

  // Replaces the routes by those of `set`; a set whose version is not higher is
  // ignored. `succession` is from the set applied before. Services that the
  // replaced set or one in between gives a route, and `set` does not, are
  // searched for as long as flows may be open there; all known services where
  // sets may have been skipped.
  void SetRoutes(const document_set& set, const set_succession& succession,
                 time_point now);

  // Replaces the placement rules, unless their revision is not higher. No
  // target of a zone that they list is chosen for an opening.
  void SetPlacementRules(const placement_rules& rules);

  // A roster entry of a target daemon was added or has changed, also to kGone;
  // other roles are ignored.
  void UpdateTarget(const roster_entry& entry, time_point now);

  // Whether the control quorum confirmed this balancer's view within the time
  // after which an accepted document set must be in force. Without it no
  // segment is refused for an unknown route and no search ends with a reset.
  // `as_of`: the time up to which all accepted sets are applied. A search can
  // only end with a reset if its first segment came before: the flow may have
  // opened under a set that was accepted since.
  // The view counts as confirmed for half of max_set_delay after that.
  void SetViewConfirmed(bool confirmed, time_point as_of) {
    view_confirmed_ = confirmed;
    view_confirmed_as_of_ = as_of;
  }

  // Decides about a segment from a caller. If no document set was applied yet,
  // or if a segment other than an opening starts a search that can't be
  // confirmed yet, a copy is also held for TakeHeld, unless there is no room.
  steering_decision Route(const segment& received, time_point now);

  // Returns held segments that can be routed now that the view is complete;
  // pass their bytes to Route again. Call after SetRoutes and a few times a
  // second.
  std::vector<std::string> TakeHeld(time_point now);

  // A hint received from the target daemon at `from`. kOwner caches it as the
  // flow's owner, kUnknown removes a cached owner that sent it or was
  // visited, and after kRefused further copies of the opening are dropped.
  void OnHint(const steering_header& hint, const endpoint& from,
              time_point now);

  // Version of the applied document set; 0: none yet.
  std::uint64_t set_version() const { return set_version_; }
  // Flows in the owner cache.
  std::size_t cached_flows() const;
  const segment_router_counters& counters() const { return counters_; }

 private:
  struct route_share {
    std::string service;
    service_digest digest;     // of `service`
    std::uint32_t weight = 0;  // 0: gets no openings
    // Until then another balancer may refuse the first copy of an opening
    // without knowing of this share, so no later copy is placed here.
    time_point first_copies_until;
  };
  // A service that an earlier set assigned to the address.
  struct past_service {
    service_digest digest;
    // Then all its flows for the address are over that balancers with a
    // confirmed view opened.
    time_point searched_until;
    std::uint64_t replaced_by = 0;  // version of the set that removed it
  };
  struct route {
    std::string name;
    std::vector<route_share> shares;
    std::uint64_t total_weight = 0;  // sum over the shares, at least 1
    std::vector<past_service> past_services;
  };
  // Openings recently sent to one target. The count decays exponentially with
  // time, since the load that the target reports comes to include them.
  struct recent_openings {
    double count = 0.0;
    time_point updated;
  };
  struct address_hash {
    std::size_t operator()(const endpoint& where) const noexcept;
  };

  time_point FirstCopiesUntil(const endpoint& where,
                              const service_digest& service,
                              time_point now) const;
  using route_table = std::unordered_map<endpoint, route, address_hash>;
  void LimitPastServices(time_point now);
  void RetainService(const endpoint& where, const service_digest& service,
                     const route_table& after, time_point now);
  bool MayHaveHad(const route& matched, const service_digest& service,
                  std::uint64_t version) const;
  std::size_t ChooseShare(const route& matched, std::uint64_t flow) const;
  steering_header MakeHeader(const route& matched, std::size_t share,
                             std::uint64_t flow, duration flow_age,
                             time_point now) const;
  steering_header MakeOpeningHeader(const route& matched, std::size_t share,
                                    std::uint64_t flow, time_point now) const;
  steering_decision RouteOpening(const route& matched, const segment& received,
                                 std::uint64_t flow, time_point now);
  steering_decision RouteNonOpening(const route& matched,
                                    const segment& received, std::uint64_t flow,
                                    time_point now);
  bool IsViewConfirmed(time_point now) const;
  bool IsViewSettled(time_point now) const;
  event MakePlacedEvent(const route& matched, std::size_t share,
                        const segment& received, std::uint64_t flow,
                        std::uint32_t target) const;
  bool RankCandidates(std::uint64_t flow, const service_digest& service);
  std::uint32_t ChooseTarget(std::uint32_t copy, std::uint64_t flow,
                             time_point now);
  bool IsAtColdLimit(std::uint32_t target, time_point now) const;
  bool IsPreferred(std::uint32_t left, std::uint32_t right,
                   time_point now) const;
  double EffectiveLoad(std::uint32_t target, time_point now) const;
  double RecentOpenings(std::uint32_t target, time_point now) const;
  forward_segment Forward(std::uint32_t target,
                          const steering_header& header) const;
  steering_decision Refuse(const segment& received, std::uint64_t flow,
                           result_code reason, time_point now);
  steering_decision Drop(result_code reason);

  segment_router_settings settings_;
  event_listener* listener_;
  std::unique_ptr<target_directory> targets_;
  std::unique_ptr<hint_cache> owners_;
  std::unique_ptr<opening_cache> openings_;
  std::unique_ptr<recent_flows> reported_resets_;
  std::unique_ptr<segment_hold> hold_;
  route_table routes_;  // by address
  // By address; the service removed last is first. Has all services that sets
  // from known_since_version_ on removed.
  std::unordered_map<endpoint, std::vector<past_service>, address_hash>
      past_services_;
  std::vector<recent_openings> recent_openings_;  // by target_index
  std::vector<std::uint32_t> ranked_;             // buffer of Rank
  std::uint64_t set_version_ = 0;
  // When the last set was applied before which sets may have been in use that
  // this balancer does not know.
  time_point sets_known_since_;
  // The version of that set, or of a later one: the routes of all sets from it
  // on are known.
  std::uint64_t known_since_version_ = 0;
  bool view_confirmed_ = false;
  time_point view_confirmed_as_of_;
  segment_router_counters counters_;
};

}  // namespace tamaracklatch
