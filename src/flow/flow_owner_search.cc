// flow_owner: the search for the owner of an unknown flow, and the choice of
// the target that opens it, by load.
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

// Adds the target unless it is listed. If the list is full, the search does not
// visit all possible owners, so it must not end with a reset.
void AddOnce(const placed_target& target, envelope* message) {
  if (message->IndexOf(target.id) != kNoCandidate) return;
  if (!message->Add(CandidateOf(target))) message->exhaustive = false;
}

// The first candidate that was not visited, or kNoCandidate.
std::uint8_t NextUnvisited(const envelope& message) {
  for (std::uint8_t index = 0; index < message.candidate_count; ++index) {
    if ((message.visited >> index & 1U) == 0) return index;
  }
  return kNoCandidate;
}

void MarkVisited(envelope* message, std::uint8_t index) {
  message->visited = static_cast<std::uint16_t>(message->visited | 1U << index);
}

void MarkDeclined(envelope* message, std::uint8_t index) {
  if (index == kNoCandidate) return;
  message->declined =
      static_cast<std::uint16_t>(message->declined | 1U << index);
}

bool HasDeclined(const envelope& message, target_id id) {
  const std::uint8_t index = message.IndexOf(id);
  return index != kNoCandidate && (message.declined >> index & 1U) != 0;
}

}  // namespace

// ---- the search for the owner ----

flow_owner::decision flow_owner::Decide(const flow_search& search,
                                        envelope* message, time_point now) {
  decision decided;
  if (message->at > table_.at() && !search.final_attempt) {
    decided.kind = decision_kind::kHold;
    return decided;
  }
  const placed_service* service = table_.Find(settings_.service);
  if (service == nullptr) {
    decided.reason = result_code::kViewUnconfirmed;
    return decided;
  }
  if (message->hops >= kMaxHops) {
    decided.reason = result_code::kHopLimit;
    return decided;
  }
  if (message->must_open) {
    // Opens only in the buckets of its newest view, because only those are in
    // its held_buckets report.
    if (CanOpen() && IsCurrentCandidate(*message, search.hash)) {
      UpdatePeerLoad(message->load);
      decided.kind = decision_kind::kOpen;
      return decided;
    }
    // This target was chosen but can't open the flow any more: the search
    // restarts without it.
    message->must_open = false;
    MarkDeclined(message, message->IndexOf(settings_.self));
    message->best = kNoCandidate;
    message->arbiter = kNoCandidate;
    message->visited = 0;
  }

  std::uint8_t self = message->IndexOf(settings_.self);
  if (self == kNoCandidate &&
      message->Add({settings_.self, settings_.started, settings_.packets})) {
    self = message->IndexOf(settings_.self);
  }
  if (self != kNoCandidate) MarkVisited(message, self);
  AddPossibleOwners(*service, search, message, now);
  if (message->opens == flow_opening::kNo)
    return DecideEstablished(search, *message);
  return DecideOpening(search, message, self, now);
}

void flow_owner::AddPossibleOwners(const placed_service& service,
                                   const flow_search& search, envelope* message,
                                   time_point now) const {
  const service_placement& placement = *service.current;
  const bucket_candidates pair =
      placement.CandidatesOf(placement.BucketOf(search.hash));
  for (const std::uint16_t index : {pair.first, pair.second}) {
    if (index != kNoTarget) AddOnce(placement.targets()[index], message);
  }
  // Another target can have the flow of a new connection only while views
  // differ, until kSettleTime after a change of the bucket.
  const bool is_new =
      search.relayed ||
      (message->opens == flow_opening::kYes &&
       HasStableCandidates(service, search.hash, now - kSettleTime));
  if (is_new) return;
  for (const placed_target* holder : PossibleHolders(service, search.hash))
    AddOnce(*holder, message);
}

flow_owner::decision flow_owner::DecideEstablished(
    const flow_search& search, const envelope& message) const {
  decision decided;
  decided.next = NextUnvisited(message);
  if (decided.next != kNoCandidate) {
    decided.kind = decision_kind::kForward;
    return decided;
  }
  if (!message.exhaustive) {
    decided.reason = result_code::kHopLimit;
    return decided;
  }
  if (search.arrived <= confirmed_before_) {
    decided.kind = decision_kind::kReset;
    return decided;
  }
  if (search.final_attempt) {
    decided.reason = result_code::kViewUnconfirmed;
    return decided;
  }
  decided.kind = decision_kind::kHold;
  return decided;
}

flow_owner::decision flow_owner::DecideOpening(const flow_search& search,
                                               envelope* message,
                                               std::uint8_t self,
                                               time_point now) {
  decision decided;
  if (self == kNoCandidate) {
    decided.reason = result_code::kHopLimit;
    return decided;
  }
  if (message->arbiter == kNoCandidate) message->arbiter = self;
  const forwarded_opening* earlier = FindForwardedOpening(search.hash, now);
  if (earlier != nullptr) {
    const std::optional<decision> follows =
        DeferToEarlierSearch(*earlier, message);
    if (follows) return *follows;
  }
  UpdateBestCandidate(search, message, self);

  const bool only_candidates = message->candidate_count <= 2;
  decided.next = NextUnvisited(*message);
  if (decided.next == kNoCandidate) {
    // With two candidates the second one visited decides instead of the
    // arbiter, which saves a forward, unless another packet of the flow was
    // forwarded from here, whose search may have more candidates.
    const bool decides =
        message->arbiter == self || (only_candidates && earlier == nullptr);
    return EndSearch(message, self, decides);
  }
  // If no earlier owner needs a visit, a target whose load does not exceed the
  // average of its peers opens the flow at once.
  const bool takes = message->opens == flow_opening::kYes &&
                     message->best == self && only_candidates &&
                     earlier == nullptr &&
                     (search.relayed || IsBucketSettled(search, now)) &&
                     message->load <= peer_load_;
  decided.kind = takes ? decision_kind::kOpen : decision_kind::kForward;
  return decided;
}

std::optional<flow_owner::decision> flow_owner::DeferToEarlierSearch(
    const forwarded_opening& earlier, envelope* message) const {
  const target_id arbiter = message->candidates[message->arbiter].id;
  target_id preferred;
  if (earlier.chosen.sequence != 0 && !HasDeclined(*message, earlier.chosen)) {
    if (earlier.chosen == settings_.self) return std::nullopt;
    preferred = earlier.chosen;
  } else if (earlier.arbiter < arbiter) {
    preferred = earlier.arbiter;
  } else {
    return std::nullopt;
  }
  if (preferred == settings_.self) {
    // The search restarts here, with this target as its arbiter.
    message->arbiter = message->IndexOf(preferred);
    message->best = kNoCandidate;
    message->visited = 0;
    MarkVisited(message, message->arbiter);
    return std::nullopt;
  }

  decision decided;
  const placed_target* target =
      table_.Find(settings_.service)->current->Find(preferred);
  if (message->IndexOf(preferred) == kNoCandidate &&
      (target == nullptr || !message->Add(CandidateOf(*target)))) {
    // The target is not in this view yet; a retransmission by the caller will
    // find it.
    decided.reason = result_code::kViewUnconfirmed;
    return decided;
  }
  decided.kind = decision_kind::kForward;
  decided.next = message->IndexOf(preferred);
  if (preferred == earlier.chosen) {
    message->must_open = true;
    message->best = decided.next;
  } else {
    // The search restarts at the earlier arbiter.
    message->arbiter = decided.next;
    message->best = kNoCandidate;
    message->visited = 0;
  }
  return decided;
}

void flow_owner::UpdateBestCandidate(const flow_search& search,
                                     envelope* message, std::uint8_t self) {
  if (message->best != kNoCandidate && message->best != self) {
    UpdatePeerLoad(message->load);
  }
  if (!CanOpen() || !IsCurrentCandidate(*message, search.hash)) {
    if (message->best == self) message->best = kNoCandidate;
    return;
  }
  const std::uint32_t load = Load();
  if (message->best != kNoCandidate && message->best != self &&
      load >= message->load)
    return;
  message->best = self;
  message->load = load;
}

flow_owner::decision flow_owner::EndSearch(envelope* message, std::uint8_t self,
                                           bool decides) const {
  decision decided;
  decided.kind = decision_kind::kForward;
  if (!decides) {
    decided.next = message->arbiter;
  } else if (message->best == kNoCandidate) {
    decided.kind = decision_kind::kDrop;
    decided.reason = result_code::kNoOpenTarget;
  } else if (message->best == self) {
    decided.kind = decision_kind::kOpen;
  } else {
    decided.next = message->best;
    message->must_open = true;
    message->load = Load();
  }
  return decided;
}

bool flow_owner::IsBucketSettled(const flow_search& search,
                                 time_point now) const {
  return HasStableCandidates(*table_.Find(settings_.service), search.hash,
                             now - kSettleTime);
}

void flow_owner::UpdatePeerLoad(std::uint32_t load) {
  peer_load_ =
      peer_load_ - (peer_load_ >> kPeerLoadShift) + (load >> kPeerLoadShift);
}

bool flow_owner::CanOpen() const {
  if (draining_ || flows_->size() >= settings_.max_flows) return false;
  const placed_service* service = table_.Find(settings_.service);
  if (service == nullptr) return false;
  const placed_target* self = service->current->Find(settings_.self);
  return self != nullptr && self->takes_new_flows;
}

bool flow_owner::IsCurrentCandidate(const envelope& message,
                                    std::uint64_t hash) const {
  // The sender's view is newer and did not arrive here in time: its current
  // candidates are the first two of the list.
  if (message.at > table_.at()) return message.IndexOf(settings_.self) < 2;
  const service_placement& placement = *table_.Find(settings_.service)->current;
  const bucket_candidates pair =
      placement.CandidatesOf(placement.BucketOf(hash));
  for (const std::uint16_t index : {pair.first, pair.second}) {
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

flow_owner::forwarded_opening* flow_owner::FindForwardedOpening(
    std::uint64_t hash, time_point now) {
  forwarded_opening* set =
      &forwarded_openings_[hash &
                           (kForwardedOpeningEntries - kForwardedOpeningWays)];
  for (std::size_t way = 0; way < kForwardedOpeningWays; ++way) {
    forwarded_opening* found = &set[way];
    if (found->arbiter.sequence == 0 || found->hash != hash) continue;
    return now - found->at <= kForwardedOpeningLifetime ? found : nullptr;
  }
  return nullptr;
}

void flow_owner::RecordForwardedOpening(const flow_search& search,
                                        const envelope& message,
                                        time_point now) {
  forwarded_opening next;
  next.hash = search.hash;
  next.at = now;
  if (message.arbiter != kNoCandidate)
    next.arbiter = message.candidates[message.arbiter].id;
  if (message.must_open) next.chosen = message.candidates[message.best].id;
  // Replaces the entry of the same flow, else the oldest of the set.
  forwarded_opening* set =
      &forwarded_openings_[search.hash &
                           (kForwardedOpeningEntries - kForwardedOpeningWays)];
  forwarded_opening* place = set;
  for (std::size_t way = 0; way < kForwardedOpeningWays; ++way) {
    if (set[way].hash == search.hash) {
      place = &set[way];
      break;
    }
    if (set[way].at < place->at) place = &set[way];
  }
  *place = next;
}

}  // namespace tamaracklatch
