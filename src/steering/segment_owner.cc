// Handling of segments at a target daemon: delivery, passing openings to other
// targets, the search for the owner of a flow, and answers to the caller.
#include "tamaracklatch/steering/segment_owner.h"

#include <fmt/format.h>

#include <algorithm>
#include <cassert>
#include <utility>

#include "steering/cold_admission.h"
#include "steering/delivery_cache.h"
#include "steering/expected_load.h"
#include "steering/outdated_openings.h"
#include "steering/owned_flows.h"
#include "steering/owner_registry.h"
#include "steering/passed_openings.h"
#include "steering/recent_flows.h"
#include "steering/search_collector.h"
#include "steering/target_directory.h"

namespace tamaracklatch {
namespace {

// An opening is passed to the least loaded of this many accepting targets, the
// first in the flow's order.
constexpr std::size_t kPassCandidates = 4;
// Limits on passing an opening on. With kMaxOverloadVisits visits, an
// overloaded target accepts it; with more than kMaxOpeningVisits, it is no
// longer passed to targets that might accept it. Up to kMaxRefusalVisits
// possible owners, all are visited in order to establish that the flow is open
// nowhere.
constexpr std::size_t kMaxOverloadVisits = 2;
constexpr std::size_t kMaxOpeningVisits = 6;
constexpr std::size_t kMaxRefusalVisits = 16;

// A report that is read this long after a flow was claimed was sent after that:
// a target waits at most this long for the answer to a report.
constexpr std::chrono::seconds kMaxReportDelay{1};

// A claimed flow is kept this much longer than the idle timeout.
constexpr std::chrono::seconds kIdleMargin{2};

// After a daemon that had reported no target reports one, the time in which all
// nodes come to list it as a possible owner.
constexpr std::chrono::seconds kAbsenceRevocationTime{1};

// Time after the first copy of an opening in which its other copies arrive, and
// a refusal reaches the caller.
constexpr std::chrono::seconds kRefusalWindow{2};

constexpr std::chrono::milliseconds kSweepInterval{500};

// Capacity of the sets of flows reported in events.
constexpr std::size_t kReportedFlows = 256;

// Openings passed on whose later copies are not accepted.
constexpr std::size_t kMaxPassedOpenings = 65536;

// Searches in parts whose outcomes are collected at the same time.
constexpr std::size_t kCollectedSearches = 1024;

// The unit of reported loads: the load of one request in one slot.
constexpr double kLoadOfSlot = 256.0;

}  // namespace

segment_owner::segment_owner(const segment_owner_settings& settings,
                             const segment_codec* codec, time_point now,
                             event_listener* listener)
    : settings_(settings),
      codec_(codec),
      listener_(listener),
      service_(DigestService(settings.service)),
      node_(NodeTag(settings.self, settings.generation)),
      started_(now),
      flow_table_incomplete_until_(now + settings.max_flow_age),
      targets_(std::make_unique<target_directory>(settings.zone,
                                                  settings.max_flow_age)),
      flows_(std::make_unique<owned_flows>(settings.max_flows, now)),
      cold_admission_(std::make_unique<cold_admission>()),
      deliveries_(std::make_unique<delivery_cache>()),
      outdated_openings_(std::make_unique<outdated_openings>(
          settings.max_flow_age + kMaxHandshakeTime)),
      registry_(std::make_unique<owner_registry>(settings.max_flows)),
      collector_(std::make_unique<search_collector>(kCollectedSearches)),
      reported_searches_(std::make_unique<recent_flows>(kReportedFlows)),
      reported_endings_(std::make_unique<recent_flows>(kReportedFlows)),
      passed_openings_(std::make_unique<passed_openings>(kMaxPassedOpenings)),
      last_sweep_(now) {
  assert(codec != nullptr);
}

segment_owner::~segment_owner() = default;

// ---- target status and roster ----

void segment_owner::SetTargetStatus(const target_status& status,
                                    time_point now) {
  flows_->UpdateLoad(now);
  const bool is_first = target_start_ == 0;
  const bool was_absent =
      is_first && status_.condition == target_condition::kAbsent;
  status_ = status;
  flows_->SetCapacity(std::max<std::uint32_t>(status.slots, 1),
                      status.cold_until);
  if (status.target_start == 0 || status.target_start == target_start_) return;
  if (was_absent) absence_known_until_ = now + kAbsenceRevocationTime;
  target_start_ = status.target_start;
  if (is_first) {
    if (status.saw_target_start) flow_table_incomplete_until_ = now;
    return;
  }
  flows_->MarkAllSuspect();
}

void segment_owner::SetGeneration(std::uint64_t generation) {
  if (generation == settings_.generation) return;
  settings_.generation = generation;
  node_ = NodeTag(settings_.self, generation);
}

void segment_owner::SetPlacementRules(const placement_rules& rules) {
  targets_->SetRules(rules);
  cold_admission_->SetLimit(targets_->rules().ColdLimitOf(settings_.service));
}

void segment_owner::UpdateTarget(const roster_entry& entry, time_point now) {
  targets_->Update(entry, now);
}

void segment_owner::SetAcceptedSet(std::uint64_t version, time_point as_of) {
  outdated_openings_->SetAccepted(version, as_of);
}

std::uint64_t segment_owner::OutdatedSet(time_point now) {
  return outdated_openings_->LowestVersion(roster_confirmed_, now);
}

// ---- segments from balancers and other target daemons ----

void segment_owner::OnSteered(const steering_header& header,
                              const segment& received, time_point now,
                              std::vector<segment_action>* actions) {
  flows_->UpdateLoad(now);
  const std::uint64_t hash = HashFlow(received.key);
  if (header.kind != steering_kind::kSegment || header.flow != hash) {
    Discard(result_code::kEnvelopeMalformed, actions);
    return;
  }
  if (received.opens()) {
    OnOpening(header, received, now, actions);
    return;
  }
  owned_flow* flow = flows_->Find(received.key, hash);
  if (flow == nullptr) {
    if (IsFlowTableIncomplete(now) && header.HasService(service_)) {
      ++counters_.delivered_unknown;
      Deliver(header, received, nullptr, now, actions);
    } else {
      Search(header, received, false, now, actions);
    }
    return;
  }
  if (flow->phase == flow_phase::kPending && received.tcp.ack) {
    EvaluateClaim(header, received, flow, now);
    if (flow->phase == flow_phase::kClaimed)
      RegisterNewFlow(flow, now, actions);
  }
  if (flow->phase == flow_phase::kDropped) {
    Search(header, received, true, now, actions);
    return;
  }
  if (flow->phase == flow_phase::kClaimed) SendOwnerHint(header, flow, actions);
  if (header.visit_count > 0) counters_.search_visits.Add(header.visit_count);
  Deliver(header, received, flow, now, actions);
}

void segment_owner::OnNotice(const steering_header& header, time_point now,
                             std::vector<segment_action>* actions) {
  if (header.kind == steering_kind::kRegistration) {
    registry_->Put(header.flow, header.balancer, now);
  } else if (header.kind == steering_kind::kPartEnded) {
    OnPartEnded(header, now, actions);
  }
}

// Called for the first segment with an acknowledgment after the opening: the
// acknowledgment number shows whether the caller accepted this target's answer.
void segment_owner::EvaluateClaim(const steering_header& header,
                                  const segment& received, owned_flow* flow,
                                  time_point now) {
  if (flow->Acknowledges(received.tcp.acknowledged)) {
    flows_->Claim(flow, now);
    ++counters_.claimed;
    ReportEvent(
        event_id::kFlowClaimed, flow->hash, received.key, result_code::kOk,
        ToString(header.balancer),
        fmt::format("{} ms after the opening",
                    (now - flow->opened) / std::chrono::milliseconds(1)));
    return;
  }
  // The flow may have been open before this daemon started, and what was
  // tracked is a late copy of its opening. The target decides.
  if (!flow->answered && IsFlowTableIncomplete(flow->opened)) return;
  flows_->SetPhase(flow, flow_phase::kDropped);
  flow->last_segment = now;
  ReportEvent(event_id::kClaimDropped, flow->hash, received.key,
              result_code::kOtherTargetChosen, ToString(header.balancer),
              flow->answered ? "answered" : "not answered yet");
}

void segment_owner::OnOpening(const steering_header& header,
                              const segment& received, time_point now,
                              std::vector<segment_action>* actions) {
  owned_flow* flow = flows_->Find(received.key, header.flow);
  if (flow != nullptr && flow->phase != flow_phase::kPending) {
    // A late copy: the handshake of the flow is over.
    Discard(flow->phase == flow_phase::kDropped
                ? result_code::kOtherTargetChosen
                : result_code::kNotThisTarget,
            actions);
    return;
  }
  if (flow != nullptr) {
    // Another copy of a pending opening is delivered too, unless the target no
    // longer accepts openings.
    if (header.services[0] != service_) {
      Discard(result_code::kNotThisTarget, actions);
    } else if (status_.condition != target_condition::kReady) {
      Discard(result_code::kTargetDraining, actions);
    } else if (IsEvacuated()) {
      Discard(result_code::kZoneEvacuated, actions);
    } else if (IsAtColdLimit(now)) {
      Discard(result_code::kTargetCold, actions);
    } else {
      Deliver(header, received, flow, now, actions);
    }
    return;
  }
  if (header.services[0] != service_) {
    SendNotOwnerHint(steering_kind::kUnknown, header, actions);
    PassOpening(header, received, result_code::kNotThisTarget, false, now,
                actions);
    return;
  }
  // If the first copy was passed on, another daemon may refuse it, so no other
  // copy is accepted. An earlier start of this daemon may have passed on the
  // first copy or a duplicate of this one, and the daemon that refuses it need
  // not know yet of this start.
  const bool is_for_earlier_start = header.receiver != node_;
  const bool may_be_refused = passed_openings_->Contains(header.flow, now) ||
                              (now - started_ < kRefusalWindow &&
                               (received.copy > 0 || is_for_earlier_start));
  const result_code reason =
      may_be_refused ? result_code::kTargetFull : CheckAdmission(now);
  if (reason != result_code::kOk) {
    PassOpening(header, received, reason, false, now, actions);
    return;
  }
  if (PassIfOverloaded(header, received, now, actions)) return;
  flow = flows_->Add(received.key, header.flow, now);
  if (flow == nullptr) {
    PassOpening(header, received, result_code::kTargetFull, false, now,
                actions);
    return;
  }
  ++counters_.taken;
  counters_.opening_visits.Add(header.visit_count);
  RegisterNewFlow(flow, now, actions);
  Deliver(header, received, flow, now, actions);
}

// Whether the placement rules list the zone of this daemon. A balancer that
// does not have these rules yet may still send openings here.
bool segment_owner::IsEvacuated() const {
  return targets_->IsOwnZoneEvacuated();
}

// Whether the target is cold and has received as many openings in the last
// second as the limit of its service.
bool segment_owner::IsAtColdLimit(time_point now) const {
  return now < status_.cold_until && !cold_admission_->HasRoom(now);
}

// Returns kOk if the target can accept an opening now, else the reason.
result_code segment_owner::CheckAdmission(time_point now) const {
  if (now < absence_known_until_) return result_code::kNoTarget;
  switch (status_.condition) {
    case target_condition::kUnreported:
    case target_condition::kAbsent:
      return result_code::kNoTarget;
    case target_condition::kDraining:
      return result_code::kTargetDraining;
    case target_condition::kReady:
      break;
  }
  if (IsEvacuated()) return result_code::kZoneEvacuated;
  std::size_t room = settings_.max_flows;
  if (status_.max_connections != 0)
    room = std::min<std::size_t>(room, status_.max_connections);
  if (flows_->open_flows() >= room) return result_code::kTargetFull;
  return IsAtColdLimit(now) ? result_code::kTargetCold : result_code::kOk;
}

// ---- segments from the target ----

void segment_owner::OnTargetSegment(const segment& received, time_point now,
                                    std::vector<segment_action>* actions) {
  flows_->UpdateLoad(now);
  if (received.returned) {
    OnReturned(received, now, actions);
    return;
  }
  const std::uint64_t hash = HashFlow(received.key);
  owned_flow* flow = flows_->Find(received.key, hash);
  if (flow != nullptr && flow->phase == flow_phase::kDropped) {
    // The caller accepted another target's answer.
    flow->last_segment = now;
    Discard(result_code::kOtherTargetChosen, actions);
    return;
  }
  if (IsForeignReset(received, flow, now)) {
    if (reported_endings_->Insert(hash, now)) {
      ReportEvent(event_id::kSegmentReset, hash, received.key,
                  result_code::kNotThisTarget, "",
                  "a reset by the target was not passed on");
    }
    Discard(result_code::kNotThisTarget, actions);
    return;
  }
  if (flow != nullptr && received.tcp.syn && !flow->answered)
    counters_.first_answer.Add(now - flow->opened);
  if (flow == nullptr && !received.tcp.rst) {
    flow = flows_->Add(received.key, hash, now);
    if (flow == nullptr)
      flow_table_incomplete_until_ = now + settings_.max_flow_age;
  }
  // The target sends more than the SYN-ACK only after the caller acknowledged
  // it, so the caller accepted its answer.
  if (flow != nullptr && flow->phase == flow_phase::kPending &&
      !received.tcp.syn && !received.tcp.rst) {
    flows_->Claim(flow, now);
  }
  if (flow != nullptr) flows_->OnSent(flow, received.tcp, now);
  ++counters_.answered;
  actions->push_back(answer_caller{received.key, std::string(received.bytes)});
}

// Whether the segment is a reset of a flow that is not open at this target, but
// may be open at another one: its caller has not accepted an answer of this
// target, or the target started after this daemon, which does not know the
// flow.
bool segment_owner::IsForeignReset(const segment& received,
                                   const owned_flow* flow,
                                   time_point now) const {
  if (!received.tcp.rst) return false;
  if (flow != nullptr) return flow->phase == flow_phase::kPending;
  return found_no_listener_ || !IsFlowTableIncomplete(now);
}

void segment_owner::OnReturned(const segment& received, time_point now,
                               std::vector<segment_action>* actions) {
  ++counters_.returned;
  const std::uint64_t hash = HashFlow(received.key);
  steering_header header;
  if (const steering_header* delivered =
          deliveries_->Find(received.token, hash)) {
    header = *delivered;
  } else {
    header.flow = hash;
    header.uncertain = true;
    header.service_count = 1;
    header.services[0] = service_;
  }
  owned_flow* flow = flows_->Find(received.key, hash);
  if (flow != nullptr && flow->phase == flow_phase::kEnded) {
    Discard(result_code::kFlowEnded, actions);
    return;
  }
  if (received.opens()) {
    if (flow != nullptr) {
      if (flow->delivered_openings > 0) --flow->delivered_openings;
      // Another copy of the opening is still at the target, or was answered.
      if (flow->delivered_openings > 0 || flow->answered ||
          flow->phase != flow_phase::kPending) {
        Discard(result_code::kNotThisTarget, actions);
        return;
      }
    }
    flows_->Erase(hash);
    PassOpening(header, received, result_code::kTargetFull, true, now, actions);
    return;
  }
  const bool is_lost =
      flow != nullptr && (flow->phase == flow_phase::kClaimed ||
                          flow->phase == flow_phase::kSuspect);
  const bool has_closed = flow != nullptr && flow->target_finished;
  if (flow != nullptr && flow->phase != flow_phase::kDropped)
    RemoveFlow(*flow, result_code::kFlowLost);
  if (!is_lost) {
    Search(header, received, true, now, actions);
    return;
  }
  // The caller accepted this target's answer, so no other target holds the
  // flow.
  SendNotOwnerHint(steering_kind::kUnknown, header, actions);
  // A target that sent its FIN may have removed a flow that is still open on
  // the caller's side, so it is not reset.
  if (received.tcp.rst || has_closed) {
    Discard(result_code::kFlowLost, actions);
    return;
  }
  if (reported_endings_->Insert(hash, now)) {
    ReportEvent(event_id::kSegmentReset, hash, received.key,
                result_code::kFlowLost, "", "returned by the target");
  }
  Reset(received, result_code::kFlowLost, actions);
}

// ---- passing openings to other targets ----

void segment_owner::PassOpening(steering_header header, const segment& received,
                                result_code reason, bool is_sure,
                                time_point now,
                                std::vector<segment_action>* actions) {
  const bool visited = RecordVisit(&header, is_sure, now);
  // The last daemon visited may refuse the first copy, so no later copy may be
  // accepted here.
  if (received.copy == 0 && header.confirmed && !header.uncertain)
    passed_openings_->Insert(header.flow, now);
  if (visited) {
    target_index next = kNoTargetIndex;
    if (header.visit_count <= kMaxOpeningVisits)
      next = ChooseLeastLoaded(header);
    // Only the first copy may be refused, and only after all possible owners
    // were visited.
    const bool may_refuse = received.copy == 0 && header.confirmed &&
                            !header.uncertain && roster_confirmed_ &&
                            header.possible_owners <= kMaxRefusalVisits;
    if (next == kNoTargetIndex && may_refuse)
      next = targets_->NextOwner(header, settings_.self, now);
    if (next != kNoTargetIndex) {
      counters_.passed.Add(reason);
      const directory_target& next_target = targets_->At(next);
      ReportEvent(
          event_id::kOpeningPassed, header.flow, received.key, reason,
          ToString(next_target.where),
          fmt::format(
              "copy {}, visit {}, here {} waiting of {} slots, {} "
              "flows; next target {}/256 of {} slots, reported {} ms ago",
              received.copy, header.visit_count, flows_->waiting_requests(),
              status_.slots, flows_->open_flows(), next_target.load,
              next_target.slots,
              (now - next_target.last_update) / std::chrono::milliseconds(1)));
      Pass(next, header, received, actions);
      return;
    }
  }
  EndSearch(
      header, received,
      reason == result_code::kNotThisTarget ? reason : result_code::kNoTarget,
      now, actions);
}

// Passes the opening on if the waiting requests exceed the slots by a quarter
// and at least by one, and the least loaded other target has less than half of
// this load per slot. False if the opening is to be accepted here.
bool segment_owner::PassIfOverloaded(const steering_header& header,
                                     const segment& received, time_point now,
                                     std::vector<segment_action>* actions) {
  const std::size_t slots = std::max<std::size_t>(status_.slots, 1);
  const std::size_t enough = slots + std::max<std::size_t>(slots / 4, 1);
  if (flows_->waiting_requests() < enough ||
      header.visit_count >= kMaxOverloadVisits)
    return false;
  steering_header passed = header;
  if (!passed.AddVisit(node_)) return false;
  const target_index best = ChooseLeastLoaded(passed);
  if (best == kNoTargetIndex) return false;
  const double own = static_cast<double>(flows_->waiting_requests()) /
                     static_cast<double>(slots);
  if (2.0 * ExpectedLoad(targets_->At(best), {}) >= own * kLoadOfSlot)
    return false;
  PassOpening(header, received, result_code::kTargetFull, false, now, actions);
  return true;
}

// The least loaded of the first kPassCandidates unvisited targets that accept
// openings; kNoTargetIndex if there are none.
target_index segment_owner::ChooseLeastLoaded(const steering_header& header) {
  targets_->Rank(
      header.flow, header.services[0], kPassCandidates,
      [&](const directory_target& target) {
        return target.AcceptsOpenings() && target.where != settings_.self &&
               !header.HasVisited(target.node);
      },
      &ranked_);
  target_index best = kNoTargetIndex;
  for (const target_index each : ranked_) {
    if (best == kNoTargetIndex || ExpectedLoad(targets_->At(each), {}) <
                                      ExpectedLoad(targets_->At(best), {}))
      best = each;
  }
  return best;
}

// ---- search for the owner ----

// Records in the header the visit of this daemon, its load and the number of
// possible owners that it knows. An incomplete flow table makes the header
// uncertain, unless the target itself denied the flow (`is_sure`). False if the
// list of visits is full.
bool segment_owner::RecordVisit(steering_header* header, bool is_sure,
                                time_point now) {
  if (!is_sure && IsFlowTableIncomplete(now)) header->uncertain = true;
  header->sender_load = load();
  const std::size_t possible = targets_->ListOwners(*header, now).size();
  header->possible_owners = static_cast<std::uint16_t>(std::min<std::size_t>(
      std::max<std::size_t>(header->possible_owners, possible), UINT16_MAX));
  return header->HasVisited(node_) || header->AddVisit(node_);
}

// Passes the segment to the next possible owner of its flow, or ends the
// search.
void segment_owner::Search(steering_header header, const segment& received,
                           bool is_sure, time_point now,
                           std::vector<segment_action>* actions) {
  if (header.parts > 0)
    return ContinuePart(header, received, is_sure, now, actions);
  const bool is_first = header.visit_count == 0;
  const bool visited = RecordVisit(&header, is_sure, now);
  target_index next =
      visited ? FindRegisteredOwner(header, now) : kNoTargetIndex;
  if (next != kNoTargetIndex) {
    ++counters_.located;
  } else if (visited && !targets_->FitsSearch() &&
             targets_->IsHeadVisited(header) &&
             BeginParts(header, received, now, actions)) {
    // Nobody of the head knows the owner: all others are visited at once.
    return;
  } else if (visited) {
    next = targets_->NextOwner(header, settings_.self, now);
  }
  if (next == kNoTargetIndex) {
    if (!BeginParts(header, received, now, actions))
      EndSearch(header, received, result_code::kSearchEnded, now, actions);
    return;
  }
  ++counters_.searched;
  if (is_first && reported_searches_->Insert(header.flow, now)) {
    ReportEvent(event_id::kSearchStarted, header.flow, received.key,
                result_code::kOk, ToString(targets_->At(next).where),
                fmt::format("from balancer {}, set {}, {} possible owners",
                            ToString(header.balancer), header.set_version,
                            header.possible_owners));
  }
  Pass(next, header, received, actions);
}

// Ends the search when no unvisited owner is left or the visits are used up.
// Answers the caller with a reset if it is established that the flow is open
// nowhere, and otherwise discards the segment.
void segment_owner::EndSearch(const steering_header& header,
                              const segment& received, result_code reason,
                              time_point now,
                              std::vector<segment_action>* actions) {
  const bool may_reset = received.opens()
                             ? received.copy == 0 && targets_->AllSettled(now)
                             : !received.tcp.rst;
  const bool resets = may_reset && IsConfirmedUnowned(header);
  if (!received.opens()) counters_.failed_search_visits.Add(header.visit_count);
  if (!received.opens()) {
    SendNotOwnerHint(steering_kind::kUnknown, header, actions);
  } else if (resets) {
    SendNotOwnerHint(steering_kind::kRefused, header, actions);
  }
  if (reported_endings_->Insert(header.flow, now)) {
    ReportEvent(resets ? event_id::kSegmentReset : event_id::kSearchFailed,
                header.flow, received.key, reason, "",
                fmt::format("{} visits, {} possible owners, set {}{}{}{}",
                            header.visit_count, header.possible_owners,
                            header.set_version,
                            header.confirmed ? "" : ", not confirmed",
                            roster_confirmed_ ? "" : ", roster not confirmed",
                            header.uncertain ? ", uncertain" : ""));
  }
  if (resets) {
    Reset(received, reason, actions);
  } else {
    Discard(reason, actions);
  }
}

// After RecordVisit: whether every target that may hold the flow was visited
// and does not hold it.
bool segment_owner::IsConfirmedUnowned(const steering_header& header) const {
  return header.confirmed && roster_confirmed_ && !header.uncertain &&
         header.possible_owners > 0 &&
         header.possible_owners <= header.visit_count &&
         targets_->AllVisited(header);
}

// ---- outcomes ----

// Delivers the segment to the target. `flow` is null if the flow table does not
// have it.
void segment_owner::Deliver(const steering_header& header,
                            const segment& received, owned_flow* flow,
                            time_point now,
                            std::vector<segment_action>* actions) {
  ++counters_.delivered;
  if (received.opens()) cold_admission_->OnDelivered(now);
  if (flow != nullptr) {
    flows_->OnDelivered(flow, received.tcp, now);
    if (received.opens() && flow->delivered_openings < UINT8_MAX)
      ++flow->delivered_openings;
  }
  if (received.opens() && !header.confirmed)
    outdated_openings_->Add(header.set_version, now);
  deliver_segment delivered{std::string(received.bytes)};
  codec_->MarkDelivery(&delivered.bytes, deliveries_->Add(header));
  actions->push_back(std::move(delivered));
}

// Sends the segment to another target daemon; a returned one as it was before
// its delivery.
void segment_owner::Pass(target_index target, const steering_header& header,
                         const segment& received,
                         std::vector<segment_action>* actions) {
  const directory_target& receiver = targets_->At(target);
  pass_segment passed{receiver.where, header, std::string(received.bytes)};
  passed.header.receiver = receiver.node;
  if (received.returned) codec_->MarkDelivery(&passed.bytes, 0);
  actions->push_back(std::move(passed));
}

// The target held the flow when it was claimed, and a target that sends a
// report after that is the same one or a later one. Without such a report, a
// target that has not reported yet may have accepted the flow, also a flow
// whose opening came in the time of the target that reported last.
bool segment_owner::HasReportedSince(const owned_flow& flow) const {
  return status_.reported_at - flow.claimed >= kMaxReportDelay;
}

// Informs the balancer that its flow is owned here: once per balancer, and
// again for each segment that reached this daemon through others.
void segment_owner::SendOwnerHint(const steering_header& header,
                                  owned_flow* flow,
                                  std::vector<segment_action>* actions) {
  if (header.balancer.port == 0) return;
  const std::uint64_t balancer = HashEndpoint(header.balancer);
  if (flow->hinted_balancer == balancer && header.visit_count == 0) return;
  flow->hinted_balancer = balancer;
  ++counters_.hints_sent;
  steering_header hint;
  hint.kind = steering_kind::kOwner;
  hint.flow = header.flow;
  hint.balancer = header.balancer;
  if (HasReportedSince(*flow)) hint.target_start = target_start_;
  actions->push_back(send_notice{header.balancer, hint});
}

// Informs the balancer that the visited daemons don't own the flow, or that its
// opening was refused.
void segment_owner::SendNotOwnerHint(steering_kind kind,
                                     const steering_header& header,
                                     std::vector<segment_action>* actions) {
  if (header.balancer.port == 0) return;
  ++counters_.hints_sent;
  steering_header hint;
  hint.kind = kind;
  hint.flow = header.flow;
  hint.balancer = header.balancer;
  hint.visit_count = header.visit_count;
  hint.visits = header.visits;
  actions->push_back(send_notice{header.balancer, hint});
}

void segment_owner::Reset(const segment& received, result_code reason,
                          std::vector<segment_action>* actions) {
  counters_.reset.Add(reason);
  actions->push_back(answer_caller{received.key, codec_->BuildReset(received)});
}

void segment_owner::Discard(result_code reason,
                            std::vector<segment_action>* actions) {
  counters_.discarded.Add(reason);
  actions->push_back(discard_segment{reason});
}

// Removes the flow from the flow table and reports it unless it was over.
void segment_owner::RemoveFlow(const owned_flow& flow, result_code reason) {
  counters_.forgotten.Add(reason);
  const bool is_claim = flow.phase == flow_phase::kPending;
  if (flow.phase != flow_phase::kDropped && flow.phase != flow_phase::kEnded) {
    ReportEvent(is_claim ? event_id::kClaimDropped : event_id::kFlowForgotten,
                flow.hash, flow.key, reason, "",
                flow.answered ? "answered" : "never answered");
  }
  flows_->Erase(flow.hash);
}

void segment_owner::ReportEvent(event_id id, std::uint64_t flow,
                                const flow_key& key, result_code code,
                                const std::string& peer,
                                std::string_view detail) const {
  if (listener_ == nullptr) return;
  event reported;
  reported.id = id;
  reported.service = settings_.service;
  reported.flow = flow;
  reported.peer = peer;
  reported.code = code;
  reported.key = key;
  reported.detail = detail;
  listener_->OnEvent(reported);
}

void segment_owner::Tick(time_point now, std::vector<segment_action>* actions) {
  flows_->UpdateLoad(now);
  flows_->SetRelativeServiceTime(
      targets_->RelativeTo(service_, service_time()));
  RegisterDueFlows(now, actions);
  if (now - last_sweep_ < kSweepInterval) return;
  last_sweep_ = now;
  registry_->Sweep(now);
  collector_->Sweep(now);
  flow_limits limits;
  limits.age = settings_.max_flow_age;
  limits.idle = settings_.max_flow_age;
  if (idle_timeout_ > duration(0))
    limits.idle = std::min(limits.idle, idle_timeout_ + kIdleMargin);
  for (const owned_flow& flow : flows_->ListExpired(limits, now)) {
    RemoveFlow(flow, flow.phase == flow_phase::kEnded ? result_code::kFlowEnded
                                                      : result_code::kFlowIdle);
  }
}

std::uint32_t segment_owner::load() const { return flows_->load(); }

std::uint32_t segment_owner::service_time() const {
  return flows_->service_time().reported();
}

std::size_t segment_owner::flow_count() const { return flows_->open_flows(); }

}  // namespace tamaracklatch
