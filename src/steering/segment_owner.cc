// What a target daemon does with each segment: deliver it, pass an opening on,
// search the owner, answer the caller.
#include "tamaracklatch/steering/segment_owner.h"

#include <fmt/format.h>

#include <algorithm>
#include <cassert>
#include <utility>

#include "steering/delivery_memory.h"
#include "steering/owned_flows.h"
#include "steering/recent_flows.h"
#include "steering/target_directory.h"

namespace tamaracklatch {
namespace {

// An opening is passed on to one of so many targets of the flow's order.
constexpr std::size_t kPassRanks = 4;
// Visits after which an opening is not passed on any more: because a target is
// busy, to one that may take it, to find out that it is open nowhere.
constexpr std::size_t kMaxBusyVisits = 2;
constexpr std::size_t kMaxOpeningVisits = 6;
constexpr std::size_t kMaxRefusalVisits = 16;

// A report this long after an opening says that the target which took it is the
// one reported.
constexpr std::chrono::seconds kStartSettles{1};

// A claimed flow is kept for this beyond the idle time-out.
constexpr std::chrono::seconds kIdleMargin{2};

// A node that said it has no target is a possible owner for all others by then.
constexpr std::chrono::seconds kAbsenceRevoked{1};

// Copies of an opening come within this, and a refusal reaches its caller.
constexpr std::chrono::seconds kPromiseTime{2};

constexpr std::chrono::milliseconds kSweepEvery{500};

// Flows remembered of late: those that events told of, and openings passed on.
constexpr std::size_t kToldFlows = 256;
constexpr std::size_t kPassedFlows = 4096;

double LoadOfSlot(const directory_target& target) {
  return static_cast<double>(target.load) / (256.0 * target.slots);
}

}  // namespace

segment_owner::segment_owner(const segment_owner_settings& settings,
                             const segment_codec* codec, time_point now,
                             event_listener* listener)
    : settings_(settings),
      codec_(codec),
      listener_(listener),
      service_(ServiceTag(settings.service)),
      node_(NodeTag(settings.self, settings.generation)),
      started_(now),
      blind_until_(now + settings.max_flow_age),
      targets_(std::make_unique<target_directory>(settings.zone,
                                                  settings.max_flow_age)),
      flows_(std::make_unique<owned_flows>(settings.max_flows, now)),
      deliveries_(std::make_unique<delivery_memory>()),
      searched_(std::make_unique<recent_flows>(kToldFlows)),
      ended_(std::make_unique<recent_flows>(kToldFlows)),
      passed_(std::make_unique<recent_flows>(kPassedFlows)),
      swept_(now) {
  assert(codec != nullptr);
}

segment_owner::~segment_owner() = default;

// ---- the own target and the roster ----

void segment_owner::SetTarget(const target_status& status, time_point now) {
  flows_->Advance(now);
  const bool is_first = target_start_ == 0;
  const bool was_absent =
      is_first && status_.condition == target_condition::kAbsent;
  status_ = status;
  target_told_ = now;
  if (status.target_start == 0 || status.target_start == target_start_) return;
  if (was_absent) absent_until_ = now + kAbsenceRevoked;
  target_start_ = status.target_start;
  if (is_first) {
    if (status.saw_target_start) blind_until_ = now;
    return;
  }
  flows_->DoubtAll();
}

void segment_owner::SetGeneration(std::uint64_t generation) {
  if (generation == settings_.generation) return;
  settings_.generation = generation;
  node_ = NodeTag(settings_.self, generation);
}

void segment_owner::UpdateTarget(const roster_entry& entry, time_point now) {
  targets_->Update(entry, now);
}

// ---- from the fabric ----

void segment_owner::OnSteered(const steering_header& header,
                              const segment& what, time_point now,
                              std::vector<segment_action>* actions) {
  flows_->Advance(now);
  const std::uint64_t hash = HashFlow(what.key);
  if (header.kind != steering_kind::kSegment || header.flow != hash) {
    Discard(result_code::kEnvelopeMalformed, actions);
    return;
  }
  if (what.opens()) {
    OnOpening(header, what, now, actions);
    return;
  }
  owned_flow* flow = flows_->Find(what.key, hash);
  if (flow == nullptr) {
    if (IsBlind(now) && header.HasService(service_)) {
      ++counters_.blind;
      Deliver(header, what, nullptr, now, actions);
    } else {
      Search(header, what, false, now, actions);
    }
    return;
  }
  if (flow->phase == flow_phase::kPending && what.tcp.ack)
    JudgeClaim(header, what, flow, now);
  if (flow->phase == flow_phase::kDropped) {
    Search(header, what, true, now, actions);
    return;
  }
  if (flow->phase == flow_phase::kClaimed) TellOwner(header, flow, actions);
  if (header.visit_count > 0) counters_.search_visits.Add(header.visit_count);
  Deliver(header, what, flow, now, actions);
}

// The first segment after the opening tells whose answer the caller took.
void segment_owner::JudgeClaim(const steering_header& header,
                               const segment& what, owned_flow* flow,
                               time_point now) {
  if (flow->Acknowledges(what.tcp.acknowledged)) {
    flows_->SetPhase(flow, flow_phase::kClaimed);
    ++counters_.claimed;
    Tell(event_id::kFlowClaimed, flow->hash, what.key, result_code::kOk,
         ToString(header.balancer),
         fmt::format("{} ms after the opening",
                     (now - flow->opened) / std::chrono::milliseconds(1)));
    return;
  }
  // A late copy of the opening of a flow that is open since before the own
  // start; the target knows.
  if (!flow->answered && IsBlind(flow->opened)) return;
  flows_->SetPhase(flow, flow_phase::kDropped);
  flow->active = now;
  Tell(event_id::kClaimDropped, flow->hash, what.key,
       result_code::kOtherTargetChosen, ToString(header.balancer),
       flow->answered ? "answered" : "not answered yet");
}

void segment_owner::OnOpening(const steering_header& header,
                              const segment& what, time_point now,
                              std::vector<segment_action>* actions) {
  owned_flow* flow = flows_->Find(what.key, header.flow);
  if (flow != nullptr && flow->phase != flow_phase::kPending) {
    // A late copy; the flow is past its opening.
    Discard(flow->phase == flow_phase::kDropped
                ? result_code::kOtherTargetChosen
                : result_code::kNotThisTarget,
            actions);
    return;
  }
  if (flow != nullptr) {
    // The handshake goes on here, unless the target takes no openings any more.
    if (header.services[0] != service_) {
      Discard(result_code::kNotThisTarget, actions);
    } else if (status_.condition != target_condition::kReady) {
      Discard(result_code::kTargetDraining, actions);
    } else {
      Deliver(header, what, flow, now, actions);
    }
    return;
  }
  if (header.services[0] != service_) {
    TellNotHere(steering_kind::kUnknown, header, actions);
    PassOpening(header, what, result_code::kNotThisTarget, false, now, actions);
    return;
  }
  // A daemon that was here before, beside the same target, may have passed the
  // first copy on.
  const bool is_promised =
      passed_->Has(header.flow, now) ||
      (what.copy > 0 && now - started_ < kPromiseTime && IsBlind(now));
  const result_code why = is_promised ? result_code::kTargetFull : WhyNot(now);
  if (why != result_code::kOk) {
    PassOpening(header, what, why, false, now, actions);
    return;
  }
  if (PassWhileBusy(header, what, now, actions)) return;
  flow = flows_->Add(what.key, header.flow, now);
  if (flow == nullptr) {
    PassOpening(header, what, result_code::kTargetFull, false, now, actions);
    return;
  }
  ++counters_.taken;
  counters_.opening_visits.Add(header.visit_count);
  Deliver(header, what, flow, now, actions);
}

// Why the target takes no opening now; kOk: it does.
result_code segment_owner::WhyNot(time_point now) const {
  if (now < absent_until_) return result_code::kNoTarget;
  switch (status_.condition) {
    case target_condition::kUnreported:
    case target_condition::kAbsent:
      return result_code::kNoTarget;
    case target_condition::kDraining:
      return result_code::kTargetDraining;
    case target_condition::kReady:
      break;
  }
  std::size_t room = settings_.max_flows;
  if (status_.max_connections != 0)
    room = std::min<std::size_t>(room, status_.max_connections);
  return flows_->open() < room ? result_code::kOk : result_code::kTargetFull;
}

// ---- from the target ----

void segment_owner::OnTargetSegment(const segment& what, time_point now,
                                    std::vector<segment_action>* actions) {
  flows_->Advance(now);
  if (what.returned) {
    OnReturned(what, now, actions);
    return;
  }
  const std::uint64_t hash = HashFlow(what.key);
  owned_flow* flow = flows_->Find(what.key, hash);
  if (flow != nullptr && flow->phase == flow_phase::kDropped) {
    // The caller has another target's answer.
    flow->active = now;
    Discard(result_code::kOtherTargetChosen, actions);
    return;
  }
  if (flow != nullptr && what.tcp.syn && !flow->answered)
    counters_.first_answer.Add(now - flow->opened);
  if (flow == nullptr && !what.tcp.rst) {
    flow = flows_->Add(what.key, hash, now);
    if (flow == nullptr) blind_until_ = now + settings_.max_flow_age;
  }
  // The target goes on with a flow only when it has the caller's answer.
  if (flow != nullptr && flow->phase == flow_phase::kPending && !what.tcp.syn &&
      !what.tcp.rst) {
    flows_->SetPhase(flow, flow_phase::kClaimed);
  }
  if (flow != nullptr) flows_->OnSent(flow, what.tcp, now);
  ++counters_.answered;
  actions->push_back(answer_caller{what.key, std::string(what.bytes)});
}

void segment_owner::OnReturned(const segment& what, time_point now,
                               std::vector<segment_action>* actions) {
  ++counters_.returned;
  const std::uint64_t hash = HashFlow(what.key);
  steering_header header;
  if (const steering_header* kept = deliveries_->Find(what.token, hash)) {
    header = *kept;
  } else {
    header.flow = hash;
    header.uncertain = true;
    header.service_count = 1;
    header.services[0] = service_;
  }
  owned_flow* flow = flows_->Find(what.key, hash);
  if (flow != nullptr && flow->phase == flow_phase::kEnded) {
    Discard(result_code::kFlowEnded, actions);
    return;
  }
  if (what.opens()) {
    if (flow != nullptr) {
      if (flow->handed > 0) --flow->handed;
      if (flow->handed > 0 || flow->answered ||
          flow->phase != flow_phase::kPending) {
        Discard(result_code::kNotThisTarget, actions);
        return;
      }
    }
    flows_->Erase(hash);
    PassOpening(header, what, result_code::kTargetFull, true, now, actions);
    return;
  }
  const bool is_lost =
      flow != nullptr && (flow->phase == flow_phase::kClaimed ||
                          flow->phase == flow_phase::kDoubted);
  const bool has_closed = flow != nullptr && flow->target_finished;
  if (flow != nullptr && flow->phase != flow_phase::kDropped)
    Forget(*flow, result_code::kFlowLost);
  if (!is_lost) {
    Search(header, what, true, now, actions);
    return;
  }
  // The caller took this target's answer, so nobody else holds the flow.
  TellNotHere(steering_kind::kUnknown, header, actions);
  // A target that has closed its end may be done with a flow that its caller
  // still sees as open.
  if (what.tcp.rst || has_closed) {
    Discard(result_code::kFlowLost, actions);
    return;
  }
  if (ended_->Note(hash, now)) {
    Tell(event_id::kSegmentReset, hash, what.key, result_code::kFlowLost, "",
         "returned by the target");
  }
  Reset(what, result_code::kFlowLost, actions);
}

// ---- openings that go elsewhere ----

void segment_owner::PassOpening(steering_header header, const segment& what,
                                result_code why, bool is_sure, time_point now,
                                std::vector<segment_action>* actions) {
  const bool visited = Visit(&header, is_sure, now);
  // Who comes last may refuse the flow, so no later copy is taken here.
  if (what.copy == 0 && header.confirmed && !header.uncertain)
    passed_->Note(header.flow, now);
  if (visited) {
    target_index next = kNoTargetIndex;
    if (header.visit_count <= kMaxOpeningVisits) next = LeastLoaded(header);
    // Only the first copy may be refused, and only once all were asked.
    const bool may_refuse = what.copy == 0 && header.confirmed &&
                            !header.uncertain && confirmed_ &&
                            header.possible_owners <= kMaxRefusalVisits;
    if (next == kNoTargetIndex && may_refuse)
      next = targets_->NextOwner(header, settings_.self, now);
    if (next != kNoTargetIndex) {
      counters_.passed.Add(why);
      const directory_target& to = targets_->At(next);
      Tell(event_id::kOpeningPassed, header.flow, what.key, why,
           ToString(to.where),
           fmt::format("copy {}, visit {}, own {} waiting of {} slots, {} "
                       "flows; there {}/256 of {} slots, told {} ms ago",
                       what.copy, header.visit_count, flows_->waiting(),
                       status_.slots, flows_->open(), to.load, to.slots,
                       (now - to.changed) / std::chrono::milliseconds(1)));
      Pass(next, header, what, actions);
      return;
    }
  }
  EndSearch(header, what,
            why == result_code::kNotThisTarget ? why : result_code::kNoTarget,
            now, actions);
}

// Passes an opening on where the target has more work than slots and another
// clearly less.
bool segment_owner::PassWhileBusy(const steering_header& header,
                                  const segment& what, time_point now,
                                  std::vector<segment_action>* actions) {
  const std::size_t slots = std::max<std::size_t>(status_.slots, 1);
  const std::size_t enough = slots + std::max<std::size_t>(slots / 4, 1);
  if (flows_->waiting() < enough || header.visit_count >= kMaxBusyVisits)
    return false;
  steering_header passed = header;
  if (!passed.AddVisit(node_)) return false;
  const target_index best = LeastLoaded(passed);
  if (best == kNoTargetIndex) return false;
  const double own =
      static_cast<double>(flows_->waiting()) / static_cast<double>(slots);
  if (2.0 * LoadOfSlot(targets_->At(best)) >= own) return false;
  PassOpening(header, what, result_code::kTargetFull, false, now, actions);
  return true;
}

// Of the next targets that may take the opening and were not visited.
target_index segment_owner::LeastLoaded(const steering_header& header) {
  targets_->Rank(
      header.flow, header.services[0], kPassRanks,
      [&](const directory_target& target) {
        return target.TakesOpenings() && target.where != settings_.self &&
               !header.HasVisited(target.node);
      },
      &ranked_);
  target_index best = kNoTargetIndex;
  for (const target_index each : ranked_) {
    if (best == kNoTargetIndex ||
        LoadOfSlot(targets_->At(each)) < LoadOfSlot(targets_->At(best)))
      best = each;
  }
  return best;
}

// ---- searches ----

// Notes the own visit and what is known here of possible owners. False where
// there is no room for the visit.
bool segment_owner::Visit(steering_header* header, bool is_sure,
                          time_point now) {
  if (!is_sure && IsBlind(now)) header->uncertain = true;
  header->sender_load = load();
  const std::size_t possible = targets_->ListOwners(*header, now).size();
  header->possible_owners = static_cast<std::uint8_t>(std::min<std::size_t>(
      std::max<std::size_t>(header->possible_owners, possible), 255));
  return header->HasVisited(node_) || header->AddVisit(node_);
}

void segment_owner::Search(steering_header header, const segment& what,
                           bool is_sure, time_point now,
                           std::vector<segment_action>* actions) {
  const bool is_first = header.visit_count == 0;
  const bool visited = Visit(&header, is_sure, now);
  const target_index next =
      visited ? targets_->NextOwner(header, settings_.self, now)
              : kNoTargetIndex;
  if (next == kNoTargetIndex) {
    EndSearch(header, what, result_code::kSearchEnded, now, actions);
    return;
  }
  ++counters_.searched;
  if (is_first && searched_->Note(header.flow, now)) {
    Tell(event_id::kSearchStarted, header.flow, what.key, result_code::kOk,
         ToString(targets_->At(next).where),
         fmt::format("from balancer {}, set {}, {} possible owners",
                     ToString(header.balancer), header.set_version,
                     header.possible_owners));
  }
  Pass(next, header, what, actions);
}

// Nobody is left to be asked.
void segment_owner::EndSearch(const steering_header& header,
                              const segment& what, result_code why,
                              time_point now,
                              std::vector<segment_action>* actions) {
  const bool may_reset = what.opens()
                             ? what.copy == 0 && targets_->AllSettled(now)
                             : !what.tcp.rst;
  const bool resets = may_reset && IsNowhereOpen(header);
  if (!what.opens()) counters_.failed_search_visits.Add(header.visit_count);
  if (!what.opens()) {
    TellNotHere(steering_kind::kUnknown, header, actions);
  } else if (resets) {
    TellNotHere(steering_kind::kRefused, header, actions);
  }
  if (ended_->Note(header.flow, now)) {
    Tell(resets ? event_id::kSegmentReset : event_id::kSearchFailed,
         header.flow, what.key, why, "",
         fmt::format("{} visits, {} possible owners, set {}{}{}{}",
                     header.visit_count, header.possible_owners,
                     header.set_version,
                     header.confirmed ? "" : ", not confirmed",
                     confirmed_ ? "" : ", roster not confirmed",
                     header.uncertain ? ", uncertain" : ""));
  }
  if (resets) {
    Reset(what, why, actions);
  } else {
    Discard(why, actions);
  }
}

// After Visit: whether every target that may hold the flow has said that it
// does not.
bool segment_owner::IsNowhereOpen(const steering_header& header) const {
  return header.confirmed && confirmed_ && !header.uncertain &&
         header.possible_owners > 0 &&
         header.possible_owners <= header.visit_count &&
         targets_->AllVisited(header);
}

// ---- outcomes ----

void segment_owner::Deliver(const steering_header& header, const segment& what,
                            owned_flow* flow, time_point now,
                            std::vector<segment_action>* actions) {
  ++counters_.delivered;
  if (flow != nullptr) {
    flows_->OnDelivered(flow, what.tcp, now);
    if (what.opens() && flow->handed < UINT8_MAX) ++flow->handed;
  }
  deliver_segment delivered{std::string(what.bytes)};
  codec_->MarkDelivery(&delivered.bytes, deliveries_->Remember(header));
  actions->push_back(std::move(delivered));
}

void segment_owner::Pass(target_index target, const steering_header& header,
                         const segment& what,
                         std::vector<segment_action>* actions) {
  pass_segment passed{targets_->At(target).where, header,
                      std::string(what.bytes)};
  if (what.returned) codec_->MarkDelivery(&passed.bytes, 0);
  actions->push_back(std::move(passed));
}

void segment_owner::TellOwner(const steering_header& header, owned_flow* flow,
                              std::vector<segment_action>* actions) {
  if (header.balancer.port == 0) return;
  const std::uint64_t balancer = HashEndpoint(header.balancer);
  if (flow->told == balancer && header.visit_count == 0) return;
  flow->told = balancer;
  ++counters_.hints;
  steering_header hint;
  hint.kind = steering_kind::kOwner;
  hint.flow = header.flow;
  hint.balancer = header.balancer;
  if (target_told_ - flow->opened >= kStartSettles)
    hint.target_start = target_start_;
  actions->push_back(tell_balancer{header.balancer, hint});
}

void segment_owner::TellNotHere(steering_kind kind,
                                const steering_header& header,
                                std::vector<segment_action>* actions) {
  if (header.balancer.port == 0) return;
  ++counters_.hints;
  steering_header hint;
  hint.kind = kind;
  hint.flow = header.flow;
  hint.balancer = header.balancer;
  hint.visit_count = header.visit_count;
  hint.visits = header.visits;
  actions->push_back(tell_balancer{header.balancer, hint});
}

void segment_owner::Reset(const segment& what, result_code why,
                          std::vector<segment_action>* actions) {
  counters_.reset.Add(why);
  actions->push_back(answer_caller{what.key, codec_->BuildReset(what)});
}

void segment_owner::Discard(result_code why,
                            std::vector<segment_action>* actions) {
  counters_.discarded.Add(why);
  actions->push_back(discard_segment{why});
}

void segment_owner::Forget(const owned_flow& flow, result_code why) {
  counters_.forgotten.Add(why);
  const bool is_claim = flow.phase == flow_phase::kPending;
  if (flow.phase != flow_phase::kDropped && flow.phase != flow_phase::kEnded) {
    Tell(is_claim ? event_id::kClaimDropped : event_id::kFlowForgotten,
         flow.hash, flow.key, why, "",
         flow.answered ? "answered" : "never answered");
  }
  flows_->Erase(flow.hash);
}

void segment_owner::Tell(event_id id, std::uint64_t flow, const flow_key& key,
                         result_code code, const std::string& peer,
                         std::string_view detail) const {
  if (listener_ == nullptr) return;
  event what;
  what.id = id;
  what.service = settings_.service;
  what.flow = flow;
  what.peer = peer;
  what.code = code;
  what.key = key;
  what.detail = detail;
  listener_->OnEvent(what);
}

void segment_owner::Tick(time_point now, std::vector<segment_action>*) {
  flows_->Advance(now);
  if (now - swept_ < kSweepEvery) return;
  swept_ = now;
  flow_limits limits;
  limits.age = settings_.max_flow_age;
  limits.idle = settings_.max_flow_age;
  if (idle_timeout_ > duration(0))
    limits.idle = std::min(limits.idle, idle_timeout_ + kIdleMargin);
  for (const owned_flow& flow : flows_->ListExpired(limits, now)) {
    Forget(flow, flow.phase == flow_phase::kEnded ? result_code::kFlowEnded
                                                  : result_code::kFlowIdle);
  }
}

std::uint32_t segment_owner::load() const { return flows_->load(); }

std::size_t segment_owner::flow_count() const { return flows_->open(); }

}  // namespace tamaracklatch
