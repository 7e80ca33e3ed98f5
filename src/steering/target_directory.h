// The targets of the roster, by service, as segment routers and segment owners
// use them. For each flow, all nodes with the same roster compute the same
// order of targets.
#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "steering/endpoint_hash.h"
#include "steering/opening_candidates.h"
#include "tamaracklatch/control/placement_rules.h"
#include "tamaracklatch/core/abbreviated_name.h"
#include "tamaracklatch/roster/node_record.h"
#include "tamaracklatch/steering/steering_header.h"

namespace tamaracklatch {

// The head of a search order: this many first possible owners of each service.
// Flows are registered there, so a search that can't visit all possible owners
// visits the head before others.
inline constexpr std::size_t kSearchHead = 3;

// From the first copy of an opening until the caller has opened the flow or
// given it up.
inline constexpr std::chrono::seconds kMaxHandshakeTime{2};

// Index of a target in the directory. The index of an endpoint never changes.
using target_index = std::uint32_t;
inline constexpr target_index kNoTargetIndex = ~target_index{0};

// What the directory records of a target and its daemon.
struct directory_target {
  endpoint where;          // of the daemon
  std::uint64_t hash = 0;  // HashEndpoint of `where`
  std::uint64_t node = 0;  // NodeTag of this start of the daemon
  service_digest service;
  zone_name zone;          // abbreviated, as in node_record
  bool own_zone = false;   // in the zone of this node
  bool evacuated = false;  // the placement rules list `zone`
  // The most openings that it accepts in one second while cold; 0: no limit.
  std::uint32_t cold_limit = 0;
  node_liveness liveness = node_liveness::kAlive;
  target_condition condition = target_condition::kUnreported;
  std::uint64_t generation = 0;  // of the node record; one per daemon start
  std::uint32_t slots = 1;  // requests that the target runs at a time, >= 1
  std::uint32_t load = 0;   // in 1/256 of a slot, as last reported
  time_point cold_until;    // the target runs slowly until then
  std::uint32_t service_time = 0;  // as in node_record; 0: unknown
  // Of the service time to the median of the service, in [1/4, 4]; 1: unknown.
  double relative_service_time = 1.0;
  std::uint64_t target_start = 0;  // as in node_record; 0 while absent
  bool may_have_target = true;     // as in node_record
  // The first and the last target_start that this start of the daemon reported;
  // 0: none yet.
  std::uint64_t first_start = 0;
  std::uint64_t last_start = 0;
  // The last target_start that an earlier start of the daemon reported, if that
  // target may still run and this start of the daemon has reported none; else
  // 0.
  std::uint64_t previous_start = 0;
  std::uint64_t outdated_set = 0;  // as in node_record
  // The lowest of those that earlier starts of the daemon reported, which may
  // apply to open flows until then.
  std::uint64_t previous_outdated_set = 0;
  time_point previous_outdated_until;
  time_point known_since;  // when this start of the daemon became known
  time_point last_update;  // last Update of this target

  // Whether the target is ready, its daemon alive and its zone not evacuated.
  bool AcceptsOpenings() const {
    return condition == target_condition::kReady &&
           liveness == node_liveness::kAlive && !evacuated;
  }
  // The lowest version of a replaced document set by which flows that may be
  // open were opened here; 0: none.
  std::uint64_t OutdatedSetAt(time_point now) const;
  // Whether the target that started at `start` is known to have ended.
  bool HasEnded(std::uint64_t start) const;
  // Whether the daemon runs and already ran beside the target that started at
  // `start`, so that its flow table has the flows of that target.
  bool KnowsFlowsOf(std::uint64_t start) const;
};

// The possible owners of a flow. Daemons that are silent or gone are visited
// after the alive ones, since a search that reaches a dead daemon ends there.
struct owner_search {
  std::vector<target_index> alive;   // in search order
  std::vector<target_index> silent;  // silent or gone, in search order

  std::size_t size() const { return alive.size() + silent.size(); }
};

class target_directory {
 public:
  // `zone`: of this node. After its daemon has left, a target counts as a
  // possible owner for `max_flow_age` more.
  target_directory(const zone_name& zone, duration max_flow_age)
      : zone_(AbbreviateName(zone)), max_flow_age_(max_flow_age) {}

  // Adds or updates the target of a roster entry. False, without effect, if the
  // entry is of another role.
  bool Update(const roster_entry& entry, time_point now);

  // Replaces the placement rules, unless their revision is not higher, and
  // applies them to all known targets.
  void SetRules(const placement_rules& rules);
  const placement_rules& rules() const { return rules_; }
  // Whether the rules list the zone of this node.
  bool IsOwnZoneEvacuated() const { return rules_.IsEvacuated(zone_); }

  // kNoTargetIndex if the endpoint is not of a target.
  target_index Find(const endpoint& where) const;
  const directory_target& At(target_index index) const {
    return targets_[index];
  }
  std::size_t size() const { return targets_.size(); }

  // When a new start of a target daemon was last added.
  time_point last_joined() const { return last_joined_; }

  // Sets `out` to the first `most` targets, in the flow's order, of those of
  // the service for which `accepts` is true.
  template <typename Predicate>
  void Rank(std::uint64_t flow, const service_digest& service, std::size_t most,
            Predicate accepts, std::vector<target_index>* out);

  // Sets `out` to the candidates of an opening, as opening_candidates selects
  // them, of those targets of the service for which `accepts` is true.
  template <typename Predicate>
  void RankByZone(std::uint64_t flow, const service_digest& service,
                  Predicate accepts, std::vector<target_index>* out) const;

  // Sets `out` to the first `most` possible owners, of those with an alive
  // daemon, of a flow that opened at the service; in its search order.
  void RankOwners(std::uint64_t flow, const service_digest& service,
                  std::size_t most, time_point now,
                  std::vector<target_index>* out);

  // The relative service time of a target of the service with that
  // service time, as directory_target::relative_service_time.
  double RelativeTo(const service_digest& service,
                    std::uint32_t service_time) const;

  // The mean reported load per slot, in 1/256, of the targets of the service
  // that accepted openings at its last Update.
  double MeanLoad(const service_digest& service) const;

  // The services of all known targets, in ascending order.
  std::vector<service_digest> Services() const;

  // Calls `visit(service, version)` for each possible owner with flows that
  // were opened by a replaced set; `version` is that of OutdatedSetAt.
  template <typename Visitor>
  void VisitOutdated(time_point now, Visitor visit) const;

  // The possible owners of the header's flow, among the targets of the header's
  // services. The result is valid until the next call.
  const owner_search& ListOwners(const steering_header& header, time_point now);

  // After ListOwners: whether a search can visit all alive owners.
  bool FitsSearch() const { return search_.alive.size() <= kMaxSteeringVisits; }

  // After ListOwners, unless FitsSearch(): whether the head was visited.
  bool IsHeadVisited(const steering_header& header) const;

  // After ListOwners: the next unvisited alive owner after `self` in cyclic
  // search order, or from its start if `self` is not among them; then an
  // unvisited silent one, beginning at one that rotates with `now`.
  // kNoTargetIndex if all were visited. Unless FitsSearch(): first those of the
  // head, then those after the first visited one.
  target_index NextOwner(const steering_header& header, const endpoint& self,
                         time_point now) const;

  // After ListOwners: whether all possible owners were visited. False also if
  // they are more than kMaxSteeringVisits, or if two have the same node tag,
  // since one visit could stand for either.
  bool AllVisited(const steering_header& header) const;

  // After ListOwners: the next unvisited owner of the header's part of a
  // search, alive ones first, other than `self` and the collector. Which owner
  // is in which part is the same on all nodes. kNoTargetIndex if there is none.
  target_index NextInPart(const steering_header& header,
                          const endpoint& self) const;

  // After ListOwners: as AllVisited, with the visits of all parts of a search.
  bool AllAmong(const std::set<std::uint64_t>& nodes) const;

  // After ListOwners: whether all daemons started before any copy of an opening
  // that may still be in transit was sent.
  bool AllSettled(time_point now) const;

 private:
  // The higher weight ranks first.
  struct ranked_target {
    std::uint64_t weight;
    target_index index;
    friend bool operator<(const ranked_target& left,
                          const ranked_target& right) {
      return left.weight != right.weight ? left.weight > right.weight
                                         : left.index < right.index;
    }
  };

  // Whether the target may hold flows, so that a search must visit it.
  bool MayOwn(const directory_target& target, time_point now) const;
  // The index in the list of alive owners at which NextOwner begins.
  std::size_t FirstStep(const steering_header& header,
                        const endpoint& self) const;
  // Sets what depends on the placement rules.
  void ApplyRules(directory_target* target) const;
  void RemoveFromService(const directory_target& target, target_index index);
  void UpdateOutdated(const directory_target& target, target_index index);
  void UpdateServiceTimes(const service_digest& service);
  void UpdateMeanLoad(const service_digest& service);
  // Whether the target is listed under the service of that abbreviated name.
  bool IsListedUnder(const directory_target& target,
                     const std::string& service) const;

  zone_name zone_;  // abbreviated, as in node_record
  placement_rules rules_;
  // The cold limits of `rules_`, by service.
  std::unordered_map<service_digest, double, service_digest_hash> cold_limits_;
  duration max_flow_age_;
  std::vector<directory_target> targets_;
  // The targets that have or had flows opened by replaced sets.
  std::vector<target_index> outdated_;
  time_point last_joined_;
  std::unordered_map<endpoint, target_index, endpoint_hash> indices_;
  struct service_targets {
    std::string name;                   // abbreviated, as in node_record
    std::vector<target_index> targets;  // never empty
    // Median of the known service times of targets that are not gone; 0: none.
    std::uint32_t service_time = 0;
    double load = 0.0;  // mean per slot, as MeanLoad
  };
  std::unordered_map<service_digest, service_targets, service_digest_hash>
      services_;
  owner_search search_;                 // result of the last ListOwners
  std::vector<ranked_target> ranking_;  // buffer of Rank
  std::vector<std::uint32_t> known_service_times_;  // of UpdateServiceTimes
  // Buffer of ListOwners: possible owners by service of the header, in the
  // flow's order.
  std::array<std::vector<target_index>, kMaxSteeringServices>
      owners_by_service_;
};

template <typename Predicate>
void target_directory::Rank(std::uint64_t flow, const service_digest& service,
                            std::size_t most, Predicate accepts,
                            std::vector<target_index>* out) {
  out->clear();
  ranking_.clear();
  const auto found = services_.find(service);
  if (found == services_.end()) return;
  for (const target_index index : found->second.targets) {
    const directory_target& target = targets_[index];
    if (accepts(target))
      ranking_.push_back({HashPair(flow, target.hash), index});
  }
  const std::size_t count = std::min(most, ranking_.size());
  std::partial_sort(ranking_.begin(),
                    ranking_.begin() + static_cast<std::ptrdiff_t>(count),
                    ranking_.end());
  for (std::size_t at = 0; at < count; ++at) out->push_back(ranking_[at].index);
}

template <typename Visitor>
void target_directory::VisitOutdated(time_point now, Visitor visit) const {
  for (const target_index index : outdated_) {
    const directory_target& target = targets_[index];
    const std::uint64_t version = target.OutdatedSetAt(now);
    if (version != 0 && MayOwn(target, now)) visit(target.service, version);
  }
}

template <typename Predicate>
void target_directory::RankByZone(std::uint64_t flow,
                                  const service_digest& service,
                                  Predicate accepts,
                                  std::vector<target_index>* out) const {
  opening_candidates candidates;
  const auto found = services_.find(service);
  if (found != services_.end()) {
    for (const target_index index : found->second.targets) {
      const directory_target& target = targets_[index];
      if (accepts(target))
        candidates.Add(HashPair(flow, target.hash), index, target.own_zone);
    }
  }
  candidates.List(out);
}

}  // namespace tamaracklatch
