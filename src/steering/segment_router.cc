// Placing openings by load among the first targets of a flow's order, and other
// segments at the owner that a hint named or along the search order.
#include "tamaracklatch/steering/segment_router.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "steering/hint_cache.h"
#include "steering/opening_memory.h"
#include "steering/recent_flows.h"
#include "steering/segment_hold.h"
#include "steering/target_directory.h"
#include "tamaracklatch/core/hash.h"

namespace tamaracklatch {
namespace {

// An opening goes to one of so many targets.
constexpr std::size_t kOpeningRanks = 3;

// Loads in 1/256 of a slot.
constexpr double kOpeningLoad = 256.0;  // of an opening that was just sent
constexpr double kIdleLoad = 64.0;      // of a target without any
constexpr double kOtherZoneLoad = 24.0;
constexpr double kColdFactor = 1.6;

// By then a record tells of the openings that were sent.
constexpr std::chrono::seconds kOpeningReported{1};

// The first copy of an opening was sent within this.
constexpr std::chrono::seconds kOpeningAge{2};

// A segment of a flow without a known owner that comes later than this after
// the last one is a retransmission.
constexpr std::chrono::milliseconds kSearchAgain{150};

// A target that joined is known to the balancers and the target daemons by
// then. A flow that is looked for as long, or while nothing has joined for as
// long, is not one that opened at a target unknown to all of them.
constexpr std::chrono::milliseconds kRosterSettles{500};

// Flows remembered of which events told.
constexpr std::size_t kToldFlows = 256;

// Segments held while the view is not complete.
constexpr std::size_t kHeldSegments = 1024;

// Makes the choice of the service independent of that of the target.
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
      openings_(std::make_unique<opening_memory>()),
      told_(std::make_unique<recent_flows>(kToldFlows)),
      hold_(std::make_unique<segment_hold>(kHeldSegments)) {}

segment_router::~segment_router() = default;

// ---- the view ----

void segment_router::SetRoutes(const document_set& set, time_point now) {
  if (set_version_ != 0 && set.version <= set_version_) return;
  if (set_version_ == 0) first_set_ = now;
  set_version_ = set.version;
  std::unordered_map<endpoint, route, address_hash> after;
  for (const set_route& each : set.routes) {
    route& added = after[each.where];
    added.name = each.name;
    for (const service_share& share : each.shares) {
      added.shares.push_back(
          {share.service, ServiceTag(share.service), share.weight});
      added.weights += share.weight;
    }
  }
  KeepPast(after, now);
  routes_ = std::move(after);
  for (auto& [where, each] : routes_) {
    const auto past = past_.find(where);
    if (past != past_.end()) each.past = past->second;
  }
}

// Notes the services that an address has no more; their flows go on.
void segment_router::KeepPast(
    const std::unordered_map<endpoint, route, address_hash>& after,
    time_point now) {
  for (auto each = past_.begin(); each != past_.end();) {
    std::vector<past_service>& list = each->second;
    list.erase(std::remove_if(list.begin(), list.end(),
                              [&](const past_service& past) {
                                return past.searched_until <= now;
                              }),
               list.end());
    each = list.empty() ? past_.erase(each) : std::next(each);
  }
  for (const auto& [where, before] : routes_) {
    const auto found = after.find(where);
    for (const route_share& share : before.shares) {
      const auto is_same = [&](const auto& other) {
        return other.tag == share.tag;
      };
      if (found != after.end() &&
          std::any_of(found->second.shares.begin(), found->second.shares.end(),
                      is_same)) {
        continue;
      }
      std::vector<past_service>& list = past_[where];
      list.erase(std::remove_if(list.begin(), list.end(), is_same), list.end());
      list.insert(list.begin(), {share.tag, now + settings_.max_flow_age});
    }
  }
}

void segment_router::UpdateTarget(const roster_entry& entry, time_point now) {
  if (!targets_->Update(entry, now)) return;
  sent_.resize(targets_->size());
}

void segment_router::OnOwner(const steering_header& hint, const endpoint& from,
                             time_point now) {
  if (hint.kind == steering_kind::kOwner) {
    const target_index target = targets_->Find(from);
    if (target == kNoTargetIndex) return;
    ++counters_.hints;
    owners_->Put(hint.flow, target, hint.target_start, now);
    hold_->Remove(hint.flow);
  } else if (hint.kind == steering_kind::kUnknown) {
    ++counters_.unknown;
    const hint_cache::entry* owner = owners_->Find(hint.flow, now);
    if (owner == nullptr) return;
    const directory_target& target = targets_->At(owner->target);
    if (target.where == from || hint.HasVisited(target.node))
      owners_->Remove(hint.flow);
  } else if (hint.kind == steering_kind::kRefused) {
    ++counters_.unknown;
    openings_->Get(hint.flow, now)->refused = true;
  }
}

// ---- segments ----

steering_decision segment_router::Route(const segment& what, time_point now) {
  const std::uint64_t flow = HashFlow(what.key);
  const auto found =
      routes_.find(endpoint{what.key.destination, what.key.destination_port});
  if (set_version_ == 0) {
    hold_->Keep(flow, segment_hold::reason::kNoSet, what.bytes, now);
    return Drop(result_code::kRouteUnknown);
  }
  if (found == routes_.end()) {
    opening_memory::entry* known = openings_->Get(flow, now);
    if (!confirmed_ || (known->refused && what.opens()))
      return Drop(result_code::kRouteUnknown);
    // The route may come with a later set, before the reset has arrived.
    known->refused = true;
    return Refuse(what, flow, result_code::kRouteUnknown, now);
  }
  return what.opens() ? RouteOpening(found->second, what, flow, now)
                      : RouteOther(found->second, what, flow, now);
}

std::vector<std::string> segment_router::TakeHeld(time_point now) {
  if (hold_->size() == 0) return {};
  return hold_->TakeDue(set_version_ != 0, IsSettled(now), now);
}

// Whether a search that starts now can be confirmed.
bool segment_router::IsSettled(time_point now) const {
  return confirmed_ && now - targets_->last_joined() >= kRosterSettles;
}

// The share whose part of the weights the flow's hash falls into.
std::size_t segment_router::ChooseShare(const route& by,
                                        std::uint64_t flow) const {
  if (by.weights == 0) return 0;
  std::uint64_t at = HashPair(flow, kShareSalt) % by.weights;
  for (std::size_t share = 0; share < by.shares.size(); ++share) {
    if (at < by.shares[share].weight) return share;
    at -= by.shares[share].weight;
  }
  return 0;
}

steering_header segment_router::MakeHeader(const route& by, std::size_t share,
                                           std::uint64_t flow,
                                           duration flow_age,
                                           time_point now) const {
  steering_header header;
  header.flow = flow;
  header.balancer = settings_.self;
  header.set_version = set_version_;
  bool complete = true;
  const auto add = [&](std::uint32_t tag) {
    if (header.HasService(tag)) return;
    if (header.service_count == kMaxSteeringServices) {
      complete = false;
      return;
    }
    header.services[header.service_count++] = tag;
  };
  add(by.shares[share].tag);
  for (const route_share& each : by.shares) add(each.tag);
  for (const past_service& each : by.past) {
    if (each.searched_until > now) add(each.tag);
  }
  // Sets from before the own start may have had any service for the route.
  if (now - first_set_ < flow_age) {
    for (const std::uint32_t tag : targets_->Services()) add(tag);
  }
  header.confirmed = confirmed_ && complete;
  return header;
}

// A flow whose opening may still be under way from before the own start is not
// known here.
steering_header segment_router::MakeOpeningHeader(const route& by,
                                                  std::size_t share,
                                                  std::uint64_t flow,
                                                  time_point now) const {
  steering_header header = MakeHeader(by, share, flow, kOpeningAge, now);
  if (now - first_set_ < kOpeningAge) header.confirmed = false;
  return header;
}

// ---- openings ----

steering_decision segment_router::RouteOpening(const route& by,
                                               const segment& what,
                                               std::uint64_t flow,
                                               time_point now) {
  // A refusal on its way must not meet a flow that a later copy opened.
  if (openings_->Get(flow, now)->refused) return Drop(result_code::kNoTarget);
  const std::size_t chosen = ChooseShare(by, flow);
  for (std::size_t step = 0; step < by.shares.size(); ++step) {
    const std::size_t share = (chosen + step) % by.shares.size();
    const route_share& each = by.shares[share];
    if (each.weight == 0 || !RankUsable(flow, each.tag)) continue;
    const target_index target = ChooseTarget(what.copy, flow, now);
    ++counters_.openings;
    if (listener_ != nullptr) {
      const directory_target& to = targets_->At(target);
      event placed = TellPlaced(by, share, what, flow, target);
      placed.inputs = {
          {"copy", std::int64_t{what.copy}},
          {"load_256ths", std::int64_t{to.load}},
          {"slots", std::int64_t{to.slots}},
          {"told_ms_ago", (now - to.changed) / std::chrono::milliseconds(1)},
          {"ranked", static_cast<std::int64_t>(ranked_.size())}};
      listener_->OnEvent(placed);
    }
    sent_[target] = {SentOpenings(target, now) + 1.0, now};
    return Forward(target, MakeOpeningHeader(by, share, flow, now));
  }
  // The target daemons know whether the flow is open, and may refuse it.
  const steering_header header = MakeOpeningHeader(by, chosen, flow, now);
  const owner_search& search = targets_->ListOwners(header, now);
  if (what.copy > 0 || search.alive.empty())
    return Drop(result_code::kNoTarget);
  const target_index first = search.alive.front();
  if (listener_ != nullptr) {
    event placed = TellPlaced(by, chosen, what, flow, first);
    placed.code = result_code::kNoTarget;
    placed.inputs = {
        {"possible_owners", static_cast<std::int64_t>(search.size())}};
    listener_->OnEvent(placed);
  }
  return Forward(first, header);
}

event segment_router::TellPlaced(const route& by, std::size_t share,
                                 const segment& what, std::uint64_t flow,
                                 std::uint32_t target) const {
  event placed;
  placed.id = event_id::kOpeningPlaced;
  placed.service = by.shares[share].service;
  placed.flow = flow;
  placed.peer = ToString(targets_->At(target).where);
  placed.key = what.key;
  placed.route = by.name;
  placed.version = set_version_;
  return placed;
}

// Ranks the targets that an opening may go to; false where there are none.
bool segment_router::RankUsable(std::uint64_t flow, std::uint32_t service) {
  targets_->Rank(
      flow, service, kOpeningRanks,
      [](const directory_target& target) { return target.TakesOpenings(); },
      &ranked_);
  if (!ranked_.empty()) return true;
  // Not heard of is not dead: the way to the target may still be open.
  targets_->Rank(
      flow, service, kOpeningRanks,
      [](const directory_target& target) {
        return target.condition == target_condition::kReady &&
               target.liveness == node_liveness::kSilent;
      },
      &ranked_);
  return !ranked_.empty();
}

// The least loaded of the ranked targets that no other copy was sent to.
target_index segment_router::ChooseTarget(std::uint32_t copy,
                                          std::uint64_t flow, time_point now) {
  opening_memory::entry* known = openings_->Get(flow, now);
  const auto is_ranked = [&](target_index target) {
    return std::find(ranked_.begin(), ranked_.end(), target) != ranked_.end();
  };
  const bool is_counted = copy < opening_memory::kCopies;
  if (is_counted && is_ranked(known->chosen[copy])) return known->chosen[copy];

  target_index best = kNoTargetIndex;
  if (copy == 0 || known->IsPlaced()) {
    for (const target_index each : ranked_) {
      if (known->HasChosen(each)) continue;
      if (best == kNoTargetIndex || LoadOf(each, now) < LoadOf(best, now))
        best = each;
    }
  }
  if (best == kNoTargetIndex) best = ranked_[copy % ranked_.size()];
  if (is_counted) known->chosen[copy] = best;
  return best;
}

double segment_router::SentOpenings(target_index target, time_point now) const {
  const sent_openings& sent = sent_[target];
  if (sent.count == 0.0) return 0.0;
  const duration since = now - sent.at;
  return sent.count * std::exp(-static_cast<double>(since.count()) /
                               duration(kOpeningReported).count());
}

double segment_router::LoadOf(target_index target, time_point now) const {
  const directory_target& at = targets_->At(target);
  const double sent = SentOpenings(target, now) * kOpeningLoad;
  double load = (at.load + sent + kIdleLoad) / at.slots;
  if (at.cold_until > now) load *= kColdFactor;
  return at.own_zone ? load : load + kOtherZoneLoad;
}

// ---- other segments ----

steering_decision segment_router::RouteOther(const route& by,
                                             const segment& what,
                                             std::uint64_t flow,
                                             time_point now) {
  steering_header header =
      MakeHeader(by, ChooseShare(by, flow), flow, settings_.max_flow_age, now);
  if (const hint_cache::entry* owner = owners_->Find(flow, now)) {
    const directory_target& target = targets_->At(owner->target);
    if (target.HasEnded(owner->target_start))
      return Refuse(what, flow, result_code::kFlowLost, now);
    ++counters_.cached;
    header.confirmed = false;
    return Forward(owner->target, header);
  }
  opening_memory::entry* known = openings_->Get(flow, now);
  if (known->searched != time_point() && now - known->searched >= kSearchAgain)
    ++known->searches;
  known->searched = now;
  if (known->first_searched == time_point()) known->first_searched = now;
  const time_point since =
      std::min(known->first_searched, targets_->last_joined());
  if (now - since < kRosterSettles) header.confirmed = false;
  if (!header.confirmed && !IsSettled(now))
    hold_->Keep(flow, segment_hold::reason::kUnsettled, what.bytes, now);
  // Each retransmission asks another target first, so that one that is dead
  // hides the owner from one segment only.
  std::size_t turn = known->searches;
  for (const target_index target : known->chosen) {
    if (target == kNoTargetIndex) continue;
    if (turn-- > 0) continue;
    if (targets_->At(target).liveness == node_liveness::kGone) break;
    ++counters_.guessed;
    return Forward(target, header);
  }
  const owner_search& search = targets_->ListOwners(header, now);
  if (search.size() == 0) return Drop(result_code::kNoTarget);
  ++counters_.searched;
  header.possible_owners =
      static_cast<std::uint8_t>(std::min<std::size_t>(search.size(), 255));
  // Where a search can't visit all, the next one begins at its last visit.
  const std::size_t stride =
      search.alive.size() > kMaxSteeringVisits ? kMaxSteeringVisits - 1 : 1;
  const target_index first =
      search.alive.empty()
          ? targets_->NextOwner(header, endpoint(), now)
          : search.alive[known->searches * stride % search.alive.size()];
  return Forward(first, header);
}

// ---- outcomes ----

forward_segment segment_router::Forward(target_index target,
                                        const steering_header& header) const {
  return {targets_->At(target).where, header};
}

steering_decision segment_router::Refuse(const segment& what,
                                         std::uint64_t flow, result_code why,
                                         time_point now) {
  if (what.tcp.rst) return Drop(why);
  counters_.refused.Add(why);
  if (listener_ != nullptr && told_->Note(flow, now)) {
    event reset;
    reset.id = event_id::kSegmentReset;
    reset.flow = flow;
    reset.code = why;
    reset.key = what.key;
    reset.version = set_version_;
    listener_->OnEvent(reset);
  }
  return refuse_segment{why};
}

steering_decision segment_router::Drop(result_code why) {
  counters_.dropped.Add(why);
  return drop_segment{why};
}

std::size_t segment_router::cached_flows() const { return owners_->size(); }

}  // namespace tamaracklatch
