// Routing of openings by load to one of the first targets in the flow's order
// in the own zone and in all zones, and of other segments to the cached owner
// or along the search order.
#include "tamaracklatch/steering/segment_router.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "steering/expected_load.h"
#include "steering/hint_cache.h"
#include "steering/opening_cache.h"
#include "steering/recent_flows.h"
#include "steering/segment_hold.h"
#include "steering/target_directory.h"
#include "tamaracklatch/core/hash.h"

namespace tamaracklatch {
namespace {

// Terms of the load by which targets are compared, in 1/256 of a slot.
constexpr double kOpeningLoad = 256.0;   // added for each opening just sent
constexpr double kIdleLoad = 64.0;       // base load, also of an idle target
constexpr double kOtherZoneLoad = 24.0;  // added for targets of other zones
constexpr double kColdFactor = 1.6;      // of targets that just started

// Time in which the reported load of a target comes to include the openings
// sent to it; the decay time of their count.
constexpr std::chrono::seconds kOpeningReportDelay{1};

// The age up to which copies of an opening may still be in transit.
constexpr std::chrono::seconds kMaxOpeningAge{2};

// A segment of a flow without a known owner counts as a retransmission if the
// flow's previous segment came at least this long before.
constexpr std::chrono::milliseconds kRetransmissionGap{150};

// Time in which all balancers and target daemons learn of a target that joined.
// If a flow has been searched for that long, or no target has joined for that
// long, the flow can't have opened at a target that some of them don't know.
constexpr std::chrono::milliseconds kRosterSettleTime{500};

// Capacity of the set of flows whose reset was reported.
constexpr std::size_t kReportedFlows = 256;

// The most past services of all addresses, unless more are still searched.
constexpr std::size_t kMaxPastServices = 8192;

// The most segments held while the view is incomplete.
constexpr std::size_t kMaxHeldSegments = 1024;

// Makes the choice of the service independent of the choice of the target,
// since both hash the flow. The same on all balancers.
constexpr std::uint64_t kShareSalt = 0x73686172650a0a0a;

}  // namespace

std::size_t segment_router::address_hash::operator()(
    const endpoint& where) const noexcept {
  return HashEndpoint(where);
}

segment_router::segment_router(const segment_router_settings& settings,
                               event_listener* listener)
    : settings_(settings),
      listener_(listener),
      targets_(std::make_unique<target_directory>(settings.zone,
                                                  settings.max_flow_age)),
      owners_(std::make_unique<hint_cache>(settings.max_cached_flows)),
      openings_(std::make_unique<opening_cache>()),
      reported_resets_(std::make_unique<recent_flows>(kReportedFlows)),
      hold_(std::make_unique<segment_hold>(kMaxHeldSegments)) {}

segment_router::~segment_router() = default;

// ---- routes, targets and hints ----

void segment_router::SetRoutes(const document_set& set,
                               const set_succession& succession,
                               time_point now) {
  if (set_version_ != 0 && set.version <= set_version_) return;
  if (set_version_ == 0 || succession.may_skip_sets) {
    sets_known_since_ = now;
    known_since_version_ = set.version;
  }
  route_table after;
  for (const set_route& each : set.routes) {
    route& added = after[each.where];
    added.name = each.name;
    for (const service_share& share : each.shares) {
      const service_digest digest = DigestService(share.service);
      added.shares.push_back({share.service, digest, share.weight,
                              FirstCopiesUntil(each.where, digest, now)});
      added.total_weight += share.weight;
    }
  }
  set_version_ = set.version;
  LimitPastServices(now);
  for (const set_route& each : succession.intermediate_routes) {
    for (const service_share& share : each.shares)
      RetainService(each.where, DigestService(share.service), after, now);
  }
  for (const auto& [where, before] : routes_) {
    for (const route_share& share : before.shares)
      RetainService(where, share.digest, after, now);
  }
  routes_ = std::move(after);
  for (auto& [where, each] : routes_) {
    const auto past = past_services_.find(where);
    if (past != past_services_.end()) each.past_services = past->second;
  }
}

// route_share::first_copies_until of a share in the set that replaces the
// applied one. A balancer that has not applied the new set lists the services
// of the earlier sets only, so its refusal does not cover an added service.
time_point segment_router::FirstCopiesUntil(const endpoint& where,
                                            const service_digest& service,
                                            time_point now) const {
  if (set_version_ == 0) return {};
  const auto is_same = [&](const auto& other) {
    return other.digest == service;
  };
  const auto before = routes_.find(where);
  if (before != routes_.end()) {
    const auto& shares = before->second.shares;
    const auto same = std::find_if(shares.begin(), shares.end(), is_same);
    if (same != shares.end()) return same->first_copies_until;
  }
  // Another balancer may have removed the service earlier than this one, and
  // may apply the new set later.
  const time_point refusals_end =
      now + settings_.max_set_delay + kMaxOpeningAge;
  const auto past = past_services_.find(where);
  if (past != past_services_.end() &&
      std::any_of(past->second.begin(), past->second.end(),
                  [&](const past_service& each) {
                    return is_same(each) &&
                           each.searched_until - settings_.max_set_delay >
                               refusals_end;
                  }))
    return {};
  return refusals_end;
}

// Drops the past services whose flows are over, unless they are few. Those that
// balancers out of touch may still use are then as unknown as if they had been
// of a set before the first.
void segment_router::LimitPastServices(time_point now) {
  std::size_t count = 0;
  for (const auto& [where, list] : past_services_) count += list.size();
  if (count <= kMaxPastServices) return;
  known_since_version_ = set_version_;
  for (auto each = past_services_.begin(); each != past_services_.end();) {
    std::vector<past_service>& list = each->second;
    list.erase(std::remove_if(list.begin(), list.end(),
                              [&](const past_service& past) {
                                return past.searched_until <= now;
                              }),
               list.end());
    each = list.empty() ? past_services_.erase(each) : std::next(each);
  }
}

// Records that an address had the service before, unless it has it in `after`.
// Flows that are open there continue, and other balancers may open some until
// they apply the set.
void segment_router::RetainService(const endpoint& where,
                                   const service_digest& service,
                                   const route_table& after, time_point now) {
  const auto is_same = [&](const auto& other) {
    return other.digest == service;
  };
  const auto found = after.find(where);
  if (found != after.end() && std::any_of(found->second.shares.begin(),
                                          found->second.shares.end(), is_same))
    return;
  std::vector<past_service>& list = past_services_[where];
  list.erase(std::remove_if(list.begin(), list.end(), is_same), list.end());
  list.insert(list.begin(),
              {service, now + settings_.max_flow_age + settings_.max_set_delay,
               set_version_});
}

// Whether a set from `version` on may have given the route the service, other
// than the shares that it has.
bool segment_router::MayHaveHad(const route& matched,
                                const service_digest& service,
                                std::uint64_t version) const {
  if (version < known_since_version_) return true;
  return std::any_of(matched.past_services.begin(), matched.past_services.end(),
                     [&](const past_service& each) {
                       return each.digest == service &&
                              version < each.replaced_by;
                     });
}

void segment_router::SetPlacementRules(const placement_rules& rules) {
  targets_->SetRules(rules);
}

void segment_router::UpdateTarget(const roster_entry& entry, time_point now) {
  if (!targets_->Update(entry, now)) return;
  recent_openings_.resize(targets_->size());
}

void segment_router::OnHint(const steering_header& hint, const endpoint& from,
                            time_point now) {
  if (hint.kind == steering_kind::kOwner) {
    const target_index target = targets_->Find(from);
    if (target == kNoTargetIndex) return;
    ++counters_.owner_hints;
    owners_->Put(hint.flow, target, hint.target_start, now);
    hold_->Remove(hint.flow);
  } else if (hint.kind == steering_kind::kUnknown) {
    ++counters_.not_owner_hints;
    const hint_cache::entry* owner = owners_->Find(hint.flow, now);
    if (owner == nullptr) return;
    const directory_target& target = targets_->At(owner->target);
    if (target.where == from || hint.HasVisited(target.node))
      owners_->Remove(hint.flow);
  } else if (hint.kind == steering_kind::kRefused) {
    ++counters_.not_owner_hints;
    openings_->Get(hint.flow, now)->refused = true;
  }
}

// ---- segments ----

steering_decision segment_router::Route(const segment& received,
                                        time_point now) {
  const std::uint64_t flow = HashFlow(received.key);
  const auto found = routes_.find(
      endpoint{received.key.destination, received.key.destination_port});
  if (set_version_ == 0) {
    hold_->Keep(flow, segment_hold::hold_reason::kNoSet, received.bytes,
                received.opens(), now);
    return Drop(result_code::kRouteUnknown);
  }
  if (found == routes_.end()) {
    opening_cache::entry* opening = openings_->Get(flow, now);
    if (!IsViewConfirmed(now) || (opening->refused && received.opens()))
      return Drop(result_code::kRouteUnknown);
    if (!received.opens()) {
      if (opening->first_searched == time_point())
        opening->first_searched = now;
      // A set accepted since the view was confirmed may have added the route.
      if (view_confirmed_as_of_ < opening->first_searched) {
        hold_->Keep(flow, segment_hold::hold_reason::kUnsettled, received.bytes,
                    false, now);
        return Drop(result_code::kRouteUnknown);
      }
    }
    // A later set may add the route while the reset is still in transit, so
    // later copies of the opening are not placed.
    opening->refused = true;
    return Refuse(received, flow, result_code::kRouteUnknown, now);
  }
  return received.opens() ? RouteOpening(found->second, received, flow, now)
                          : RouteNonOpening(found->second, received, flow, now);
}

std::vector<std::string> segment_router::TakeHeld(time_point now) {
  if (hold_->size() == 0) return {};
  return hold_->TakeDue(set_version_ != 0, IsViewSettled(now),
                        view_confirmed_as_of_, now);
}

// A process that was suspended may route what arrived meanwhile before it looks
// at its view again.
bool segment_router::IsViewConfirmed(time_point now) const {
  return view_confirmed_ &&
         now - view_confirmed_as_of_ < settings_.max_set_delay / 2;
}

// Whether a search that starts now can be confirmed.
bool segment_router::IsViewSettled(time_point now) const {
  return IsViewConfirmed(now) &&
         now - targets_->last_joined() >= kRosterSettleTime;
}

// Returns the share that the flow's hash selects in proportion to the weights.
std::size_t segment_router::ChooseShare(const route& matched,
                                        std::uint64_t flow) const {
  if (matched.total_weight == 0) return 0;
  std::uint64_t at = HashPair(flow, kShareSalt) % matched.total_weight;
  for (std::size_t share = 0; share < matched.shares.size(); ++share) {
    if (at < matched.shares[share].weight) return share;
    at -= matched.shares[share].weight;
  }
  return 0;
}

// The header of a segment of the flow. It lists the service of the share, the
// route's other services and its past ones; also those of all known targets if
// a flow of `flow_age` may have opened under a set that is not known, and those
// of targets with flows that a balancer out of touch may have opened for the
// route. Confirmed if the view is confirmed and the services fit into the
// header.
steering_header segment_router::MakeHeader(const route& matched,
                                           std::size_t share,
                                           std::uint64_t flow,
                                           duration flow_age,
                                           time_point now) const {
  steering_header header;
  header.flow = flow;
  header.balancer = settings_.self;
  header.set_version = set_version_;
  bool complete = true;
  const auto add = [&](const service_digest& service) {
    if (header.HasService(service)) return;
    if (header.service_count == kMaxSteeringServices) {
      complete = false;
      return;
    }
    header.services[header.service_count++] = service;
  };
  add(matched.shares[share].digest);
  for (const route_share& each : matched.shares) add(each.digest);
  for (const past_service& each : matched.past_services) {
    if (each.searched_until > now) add(each.digest);
  }
  // A set that this balancer does not know may have had any service for the
  // route, and other balancers may have used it for max_set_delay more.
  if (now - sets_known_since_ < flow_age + settings_.max_set_delay) {
    for (const service_digest& each : targets_->Services()) add(each);
  }
  targets_->VisitOutdated(
      now, [&](const service_digest& service, std::uint64_t version) {
        if (MayHaveHad(matched, service, version)) add(service);
      });
  header.confirmed = IsViewConfirmed(now) && complete;
  return header;
}

// The header for an opening. It is not confirmed within kMaxOpeningAge of a set
// before which others may be unknown, since another copy of the opening, sent
// before, may still be in transit to a service that this balancer does not
// know.
steering_header segment_router::MakeOpeningHeader(const route& matched,
                                                  std::size_t share,
                                                  std::uint64_t flow,
                                                  time_point now) const {
  steering_header header =
      MakeHeader(matched, share, flow, kMaxOpeningAge, now);
  if (now - sets_known_since_ < kMaxOpeningAge) header.confirmed = false;
  return header;
}

// ---- openings ----

steering_decision segment_router::RouteOpening(const route& matched,
                                               const segment& received,
                                               std::uint64_t flow,
                                               time_point now) {
  // A later copy must not open the flow while a reset is in transit to the
  // caller.
  if (openings_->Get(flow, now)->refused) return Drop(result_code::kNoTarget);
  const std::size_t chosen = ChooseShare(matched, flow);
  for (std::size_t step = 0; step < matched.shares.size(); ++step) {
    const std::size_t share = (chosen + step) % matched.shares.size();
    const route_share& each = matched.shares[share];
    if (each.weight == 0) continue;
    if (received.copy > 0 && now < each.first_copies_until) continue;
    if (!RankCandidates(flow, each.digest)) continue;
    const target_index target = ChooseTarget(received.copy, flow, now);
    ++counters_.openings;
    if (listener_ != nullptr) {
      const directory_target& to = targets_->At(target);
      event placed = MakePlacedEvent(matched, share, received, flow, target);
      placed.inputs = {{"copy", std::int64_t{received.copy}},
                       {"load_256ths", std::int64_t{to.load}},
                       {"slots", std::int64_t{to.slots}},
                       {"told_ms_ago",
                        (now - to.last_update) / std::chrono::milliseconds(1)},
                       {"ranked", static_cast<std::int64_t>(ranked_.size())}};
      listener_->OnEvent(placed);
    }
    recent_openings_[target] = {RecentOpenings(target, now) + 1.0, now};
    return Forward(target, MakeOpeningHeader(matched, share, flow, now));
  }
  // No target accepts openings. A target daemon finds out whether the flow is
  // open, and may refuse the first copy.
  const steering_header header = MakeOpeningHeader(matched, chosen, flow, now);
  const owner_search& search = targets_->ListOwners(header, now);
  if (received.copy > 0 || search.alive.empty())
    return Drop(result_code::kNoTarget);
  const target_index first = search.alive.front();
  if (listener_ != nullptr) {
    event placed = MakePlacedEvent(matched, chosen, received, flow, first);
    placed.code = result_code::kNoTarget;
    placed.inputs = {
        {"possible_owners", static_cast<std::int64_t>(search.size())}};
    listener_->OnEvent(placed);
  }
  return Forward(first, header);
}

event segment_router::MakePlacedEvent(const route& matched, std::size_t share,
                                      const segment& received,
                                      std::uint64_t flow,
                                      std::uint32_t target) const {
  event placed;
  placed.id = event_id::kOpeningPlaced;
  placed.service = matched.shares[share].service;
  placed.flow = flow;
  placed.peer = ToString(targets_->At(target).where);
  placed.key = received.key;
  placed.route = matched.name;
  placed.version = set_version_;
  return placed;
}

// Fills ranked_ with the candidates for an opening; false if there are none.
bool segment_router::RankCandidates(std::uint64_t flow,
                                    const service_digest& service) {
  targets_->RankByZone(
      flow, service,
      [](const directory_target& target) { return target.AcceptsOpenings(); },
      &ranked_);
  if (!ranked_.empty()) return true;
  // A silent daemon may still be reachable, so it is used if no other is left.
  targets_->RankByZone(
      flow, service,
      [](const directory_target& target) {
        return target.condition == target_condition::kReady &&
               target.liveness == node_liveness::kSilent && !target.evacuated;
      },
      &ranked_);
  return !ranked_.empty();
}

// The target of a copy: the one that it was already sent to, else the least
// loaded candidate to which no other copy was sent. If this balancer has placed
// no copy yet, a later copy is placed by rank, so that the copies go to
// different targets also when different balancers place them.
target_index segment_router::ChooseTarget(std::uint32_t copy,
                                          std::uint64_t flow, time_point now) {
  opening_cache::entry* opening = openings_->Get(flow, now);
  const auto is_ranked = [&](target_index target) {
    return std::find(ranked_.begin(), ranked_.end(), target) != ranked_.end();
  };
  const bool is_counted = copy < opening_cache::kCopies;
  if (is_counted && is_ranked(opening->chosen[copy]))
    return opening->chosen[copy];

  target_index best = kNoTargetIndex;
  if (copy == 0 || opening->IsPlaced()) {
    for (const target_index each : ranked_) {
      if (opening->HasChosen(each)) continue;
      if (best == kNoTargetIndex || IsPreferred(each, best, now)) best = each;
    }
  }
  if (best == kNoTargetIndex) best = ranked_[copy % ranked_.size()];
  if (is_counted) opening->chosen[copy] = best;
  return best;
}

// The decayed count of openings sent to the target.
double segment_router::RecentOpenings(target_index target,
                                      time_point now) const {
  const recent_openings& sent = recent_openings_[target];
  if (sent.count == 0.0) return 0.0;
  const duration since = now - sent.updated;
  return sent.count * std::exp(-static_cast<double>(since.count()) /
                               duration(kOpeningReportDelay).count());
}

// Whether the target is cold and was recently sent as many openings by this
// balancer as it accepts in one second from all of them.
bool segment_router::IsAtColdLimit(target_index target, time_point now) const {
  const directory_target& at = targets_->At(target);
  return at.cold_limit != 0 && at.cold_until > now &&
         RecentOpenings(target, now) >= at.cold_limit;
}

// Whether an opening goes to `left` rather than to `right`: a target at its
// cold limit comes after all others, else the less loaded one comes first.
bool segment_router::IsPreferred(target_index left, target_index right,
                                 time_point now) const {
  const bool is_left_limited = IsAtColdLimit(left, now);
  if (is_left_limited != IsAtColdLimit(right, now)) return !is_left_limited;
  return EffectiveLoad(left, now) < EffectiveLoad(right, now);
}

// The expected load per slot, including recent openings, and increased for cold
// targets and for targets of other zones.
double segment_router::EffectiveLoad(target_index target,
                                     time_point now) const {
  const directory_target& at = targets_->At(target);
  const double sent = RecentOpenings(target, now) * kOpeningLoad;
  const double reported = ReportedLoad(at, targets_->MeanLoad(at.service), now);
  double load = ExpectedLoad(at, reported, {sent, kIdleLoad});
  if (at.cold_until > now) load *= kColdFactor;
  return at.own_zone ? load : load + kOtherZoneLoad;
}

// ---- segments other than openings ----

steering_decision segment_router::RouteNonOpening(const route& matched,
                                                  const segment& received,
                                                  std::uint64_t flow,
                                                  time_point now) {
  steering_header header = MakeHeader(matched, ChooseShare(matched, flow), flow,
                                      settings_.max_flow_age, now);
  if (const hint_cache::entry* owner = owners_->Find(flow, now)) {
    const target_index index = owner->target;
    const directory_target& target = targets_->At(index);
    if (target.HasEnded(owner->target_start)) {
      if (!target.KnowsFlowsOf(owner->target_start))
        return Refuse(received, flow, result_code::kFlowLost, now);
      // The daemon finds out whether its target holds the flow: a daemon of
      // another release may have sent a wrong start.
      owners_->Put(flow, index, 0, now);
    }
    ++counters_.cached;
    header.confirmed = false;
    return Forward(index, header);
  }
  opening_cache::entry* opening = openings_->Get(flow, now);
  if (opening->searched != time_point() &&
      now - opening->searched >= kRetransmissionGap)
    ++opening->searches;
  opening->searched = now;
  if (opening->first_searched == time_point()) opening->first_searched = now;
  // The flow may have opened under a set accepted since the view was confirmed.
  const bool is_view_current = view_confirmed_as_of_ >= opening->first_searched;
  const time_point since =
      std::min(opening->first_searched, targets_->last_joined());
  if (!is_view_current || now - since < kRosterSettleTime)
    header.confirmed = false;
  if (!header.confirmed && !(is_view_current && IsViewSettled(now)))
    hold_->Keep(flow, segment_hold::hold_reason::kUnsettled, received.bytes,
                false, now);
  // Each retransmission goes to another target first, so that a dead target
  // costs only one of them.
  std::size_t skipped = opening->searches;
  for (const target_index target : opening->chosen) {
    if (target == kNoTargetIndex) continue;
    if (skipped-- > 0) continue;
    if (targets_->At(target).liveness == node_liveness::kGone) break;
    ++counters_.guessed;
    return Forward(target, header);
  }
  const owner_search& search = targets_->ListOwners(header, now);
  if (search.size() == 0) return Drop(result_code::kNoTarget);
  ++counters_.searched;
  header.possible_owners = static_cast<std::uint16_t>(
      std::min<std::size_t>(search.size(), UINT16_MAX));
  // Where a search can't visit all owners, the next one begins at its last
  // visit.
  const std::size_t stride =
      targets_->FitsSearch()
          ? 1
          : kMaxSteeringVisits - 1 - kSearchHead * header.service_count;
  const target_index first =
      search.alive.empty()
          ? targets_->NextOwner(header, endpoint(), now)
          : search.alive[opening->searches * stride % search.alive.size()];
  return Forward(first, header);
}

// ---- outcomes ----

forward_segment segment_router::Forward(target_index target,
                                        const steering_header& header) const {
  const directory_target& receiver = targets_->At(target);
  forward_segment sent{receiver.where, header};
  sent.header.receiver = receiver.node;
  return sent;
}

steering_decision segment_router::Refuse(const segment& received,
                                         std::uint64_t flow, result_code reason,
                                         time_point now) {
  if (received.tcp.rst) return Drop(reason);
  counters_.refused.Add(reason);
  if (listener_ != nullptr && reported_resets_->Insert(flow, now)) {
    event reset;
    reset.id = event_id::kSegmentReset;
    reset.flow = flow;
    reset.code = reason;
    reset.key = received.key;
    reset.version = set_version_;
    listener_->OnEvent(reset);
  }
  return refuse_segment{reason};
}

steering_decision segment_router::Drop(result_code reason) {
  counters_.dropped.Add(reason);
  return drop_segment{reason};
}

std::size_t segment_router::cached_flows() const { return owners_->size(); }

}  // namespace tamaracklatch
