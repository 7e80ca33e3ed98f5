// Owning flows: the search for an unknown flow's owner, and opening by load.
#include <algorithm>
#include <limits>

#include "flow/flow_owner_parts.h"
#include "flow/flow_table.h"
#include "tamaracklatch/flow/flow_owner.h"

namespace tamaracklatch {
namespace {

candidate CandidateOf(const placed_target& target) {
  return {target.id, target.started, target.packets};
}

void AddOnce(const placed_target& target, envelope* what) {
  if (what->IndexOf(target.id) != kNoCandidate) return;
  if (!what->Add(CandidateOf(target))) what->exhaustive = false;
}

// The first candidate that was not visited, or kNoCandidate.
std::uint8_t NextUnvisited(const envelope& what) {
  for (std::uint8_t index = 0; index < what.candidate_count; ++index) {
    if ((what.visited >> index & 1U) == 0) return index;
  }
  return kNoCandidate;
}

void MarkVisited(envelope* what, std::uint8_t index) {
  what->visited = static_cast<std::uint16_t>(what->visited | 1U << index);
}

void MarkDeclined(envelope* what, std::uint8_t index) {
  if (index == kNoCandidate) return;
  what->declined = static_cast<std::uint16_t>(what->declined | 1U << index);
}

bool HasDeclined(const envelope& what, target_id id) {
  const std::uint8_t index = what.IndexOf(id);
  return index != kNoCandidate && (what.declined >> index & 1U) != 0;
}

}  // namespace

// ---- the search for the owner ----

flow_owner::decision flow_owner::Decide(const search& wanted, envelope* what,
                                        time_point now) {
  decision decided;
  if (what->at > table_.at() && !wanted.last_chance) {
    decided.what = verdict::kHold;
    return decided;
  }
  const placed_service* service = table_.Find(settings_.service);
  if (service == nullptr) {
    decided.why = result_code::kViewUnconfirmed;
    return decided;
  }
  if (what->hops >= kMaxHops) {
    decided.why = result_code::kHopLimit;
    return decided;
  }
  if (what->must_open) {
    // What this target reports holding covers only the buckets of its newest
    // view, so it opens in no other.
    if (CanOpen() && IsCurrentCandidate(*what, wanted.hash)) {
      LearnLoad(what->load);
      decided.what = verdict::kOpen;
      return decided;
    }
    // Chosen, but it can't any more: the search starts again without it.
    what->must_open = false;
    MarkDeclined(what, what->IndexOf(settings_.self));
    what->best = kNoCandidate;
    what->arbiter = kNoCandidate;
    what->visited = 0;
  }

  std::uint8_t self = what->IndexOf(settings_.self);
  if (self == kNoCandidate &&
      what->Add({settings_.self, settings_.started, settings_.packets})) {
    self = what->IndexOf(settings_.self);
  }
  if (self != kNoCandidate) MarkVisited(what, self);
  AddKnown(*service, wanted, what, now);
  if (what->opens == flow_opening::kNo) return DecideEstablished(wanted, *what);
  return DecideOpening(wanted, what, self, now);
}

void flow_owner::AddKnown(const placed_service& service, const search& wanted,
                          envelope* what, time_point now) const {
  const service_placement& placement = *service.current;
  const bucket_candidates two =
      placement.CandidatesOf(placement.BucketOf(wanted.hash));
  for (const std::uint16_t index : {two.first, two.second}) {
    if (index != kNoTarget) AddOnce(placement.targets()[index], what);
  }
  // A new connection can be known elsewhere only while views differ.
  const bool is_new =
      wanted.relayed ||
      (what->opens == flow_opening::kYes &&
       HasStableCandidates(service, wanted.hash, now - kSettleTime));
  if (is_new) return;
  for (const placed_target* holder : PossibleHolders(service, wanted.hash))
    AddOnce(*holder, what);
}

flow_owner::decision flow_owner::DecideEstablished(const search& wanted,
                                                   const envelope& what) const {
  decision decided;
  decided.next = NextUnvisited(what);
  if (decided.next != kNoCandidate) {
    decided.what = verdict::kForward;
    return decided;
  }
  if (!what.exhaustive) {
    decided.why = result_code::kHopLimit;
    return decided;
  }
  if (wanted.arrived <= confirmed_before_) {
    decided.what = verdict::kReset;
    return decided;
  }
  if (wanted.last_chance) {
    decided.why = result_code::kViewUnconfirmed;
    return decided;
  }
  decided.what = verdict::kHold;
  return decided;
}

flow_owner::decision flow_owner::DecideOpening(const search& wanted,
                                               envelope* what,
                                               std::uint8_t self,
                                               time_point now) {
  decision decided;
  if (self == kNoCandidate) {
    decided.why = result_code::kHopLimit;
    return decided;
  }
  if (what->arbiter == kNoCandidate) what->arbiter = self;
  const passed_packet* earlier = FindPassed(wanted.hash, now);
  if (earlier != nullptr) {
    const std::optional<decision> follows = FollowEarlier(*earlier, what);
    if (follows) return *follows;
  }
  Consider(wanted, what, self);

  const bool only_candidates = what->candidate_count <= 2;
  decided.next = NextUnvisited(*what);
  if (decided.next == kNoCandidate) {
    // Between two targets the second decides, unless another packet of the flow
    // has been here, perhaps on a longer way.
    const bool decides =
        what->arbiter == self || (only_candidates && earlier == nullptr);
    return EndSearch(what, self, decides);
  }
  // With no earlier owner to ask, a target that is no fuller than the others
  // takes the packet at once.
  const bool takes = what->opens == flow_opening::kYes && what->best == self &&
                     only_candidates && earlier == nullptr &&
                     (wanted.relayed || IsSettledHere(wanted, now)) &&
                     what->load <= peer_load_;
  decided.what = takes ? verdict::kOpen : verdict::kForward;
  return decided;
}

std::optional<flow_owner::decision> flow_owner::FollowEarlier(
    const passed_packet& earlier, envelope* what) const {
  const target_id arbiter = what->candidates[what->arbiter].id;
  target_id leader;
  if (earlier.chosen.sequence != 0 && !HasDeclined(*what, earlier.chosen)) {
    if (earlier.chosen == settings_.self) return std::nullopt;
    leader = earlier.chosen;
  } else if (earlier.arbiter < arbiter) {
    leader = earlier.arbiter;
  } else {
    return std::nullopt;
  }
  if (leader == settings_.self) {
    // The search begins again here.
    what->arbiter = what->IndexOf(leader);
    what->best = kNoCandidate;
    what->visited = 0;
    MarkVisited(what, what->arbiter);
    return std::nullopt;
  }

  decision decided;
  const placed_target* target =
      table_.Find(settings_.service)->current->Find(leader);
  if (what->IndexOf(leader) == kNoCandidate &&
      (target == nullptr || !what->Add(CandidateOf(*target)))) {
    // It is not in this view yet; the caller's next packet will find it.
    decided.why = result_code::kViewUnconfirmed;
    return decided;
  }
  decided.what = verdict::kForward;
  decided.next = what->IndexOf(leader);
  if (leader == earlier.chosen) {
    what->must_open = true;
    what->best = decided.next;
  } else {
    // The search begins again there.
    what->arbiter = decided.next;
    what->best = kNoCandidate;
    what->visited = 0;
  }
  return decided;
}

void flow_owner::Consider(const search& wanted, envelope* what,
                          std::uint8_t self) {
  if (what->best != kNoCandidate && what->best != self) {
    LearnLoad(what->load);
  }
  if (!CanOpen() || !IsCurrentCandidate(*what, wanted.hash)) {
    if (what->best == self) what->best = kNoCandidate;
    return;
  }
  const std::uint32_t load = Load();
  if (what->best != kNoCandidate && what->best != self && load >= what->load)
    return;
  what->best = self;
  what->load = load;
}

flow_owner::decision flow_owner::EndSearch(envelope* what, std::uint8_t self,
                                           bool decides) const {
  decision decided;
  decided.what = verdict::kForward;
  if (!decides) {
    decided.next = what->arbiter;
  } else if (what->best == kNoCandidate) {
    decided.what = verdict::kDrop;
    decided.why = result_code::kNoOpenTarget;
  } else if (what->best == self) {
    decided.what = verdict::kOpen;
  } else {
    decided.next = what->best;
    what->must_open = true;
    what->load = Load();
  }
  return decided;
}

bool flow_owner::IsSettledHere(const search& wanted, time_point now) const {
  return HasStableCandidates(*table_.Find(settings_.service), wanted.hash,
                             now - kSettleTime);
}

void flow_owner::LearnLoad(std::uint32_t load) {
  peer_load_ = peer_load_ - (peer_load_ >> kLoadShift) + (load >> kLoadShift);
}

bool flow_owner::CanOpen() const {
  if (draining_ || flows_->size() >= settings_.max_flows) return false;
  const placed_service* service = table_.Find(settings_.service);
  if (service == nullptr) return false;
  const placed_target* self = service->current->Find(settings_.self);
  return self != nullptr && self->takes_new_flows;
}

bool flow_owner::IsCurrentCandidate(const envelope& what,
                                    std::uint64_t hash) const {
  // A newer view than ours, that could not be had in time, chose the first two.
  if (what.at > table_.at()) return what.IndexOf(settings_.self) < 2;
  const service_placement& placement = *table_.Find(settings_.service)->current;
  const bucket_candidates two =
      placement.CandidatesOf(placement.BucketOf(hash));
  for (const std::uint16_t index : {two.first, two.second}) {
    if (index != kNoTarget && placement.targets()[index].id == settings_.self)
      return true;
  }
  return false;
}

std::uint32_t flow_owner::Load() const {
  const placed_service* service = table_.Find(settings_.service);
  const placed_target* self = service->current->Find(settings_.self);
  const std::uint64_t weight =
      self == nullptr ? 1 : std::max<std::uint64_t>(self->weight, 1);
  const std::uint64_t load = flows_->size() * kLoadUnit / weight;
  return static_cast<std::uint32_t>(
      std::min<std::uint64_t>(load, std::numeric_limits<std::uint32_t>::max()));
}

flow_owner::passed_packet* flow_owner::FindPassed(std::uint64_t hash,
                                                  time_point now) {
  passed_packet* set = &passed_[hash & (kPassedEntries - kPassedWays)];
  for (std::size_t way = 0; way < kPassedWays; ++way) {
    passed_packet* found = &set[way];
    if (found->arbiter.sequence == 0 || found->hash != hash) continue;
    return now - found->at <= kPassedFor ? found : nullptr;
  }
  return nullptr;
}

void flow_owner::RememberPassed(const search& wanted, const envelope& what,
                                time_point now) {
  passed_packet next;
  next.hash = wanted.hash;
  next.at = now;
  if (what.arbiter != kNoCandidate)
    next.arbiter = what.candidates[what.arbiter].id;
  if (what.must_open) next.chosen = what.candidates[what.best].id;
  // In place of the same flow's entry, else of the oldest of the set.
  passed_packet* set = &passed_[wanted.hash & (kPassedEntries - kPassedWays)];
  passed_packet* place = set;
  for (std::size_t way = 0; way < kPassedWays; ++way) {
    if (set[way].hash == wanted.hash) {
      place = &set[way];
      break;
    }
    if (set[way].at < place->at) place = &set[way];
  }
  *place = next;
}

}  // namespace tamaracklatch
