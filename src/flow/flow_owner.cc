// Owning flows: the search for an unknown flow's owner, opening by load,
// holding, closing, reporting.
#include "tamaracklatch/flow/flow_owner.h"

#include <algorithm>
#include <cassert>
#include <limits>
#include <utility>

#include "flow/flow_table.h"
#include "tamaracklatch/core/hash.h"

namespace tamaracklatch {
namespace {

// Unit of flow_tick.
constexpr std::chrono::milliseconds kFlowTick = kTickEvery;

// A TCP flow whose caller has sent FIN is forgotten after this without packets.
constexpr std::chrono::seconds kFinishedLimit{60};

// How long after a change an opening packet still asks the earlier owners.
constexpr std::chrono::seconds kSettleTime{10};

// How long an opening packet that was passed on is remembered.
constexpr std::chrono::seconds kPassedFor{2};
constexpr std::size_t kPassedEntries = 256;  // a power of two
constexpr std::size_t kPassedWays = 4;

constexpr std::uint32_t kBitsPerWord = 64;

// A pull that was not answered is asked for again after this.
constexpr std::chrono::milliseconds kPullEvery{100};

// Flows closed in one Tick when the drain limit ends.
constexpr std::uint32_t kSweepStep = 4096;

// Load of one flow on a target of weight 1.
constexpr std::uint64_t kLoadUnit = 65536;

// Weight of a new observation in peer_load_, as a shift.
constexpr std::uint32_t kLoadShift = 3;

// Time added to the report interval for each peer.
constexpr std::chrono::milliseconds kReportSpacing{50};

flow_tick TickOf(time_point now) {
  return static_cast<flow_tick>(now.time_since_epoch() / kFlowTick) + 1;
}

flow_tick TicksOf(duration time) {
  return static_cast<flow_tick>(time / kFlowTick);
}

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

// Whether TCP sequence number `left` is after `right`.
bool IsAfter(std::uint32_t left, std::uint32_t right) {
  return static_cast<std::int32_t>(left - right) > 0;
}

}  // namespace

flow_owner::flow_owner(const flow_owner_settings& settings, time_point now,
                       event_listener* listener)
    : settings_(settings),
      listener_(listener),
      flows_(std::make_unique<flow_table>(TickOf(now))),
      passed_(kPassedEntries),
      pulled_at_(now),
      confirmed_before_(time_point::min()),
      reported_at_(now) {
  assert(settings_.service.value != 0);
  assert(settings_.self.sequence != 0);
}

flow_owner::~flow_owner() = default;

// ---- the view ----

void flow_owner::Reset(const cluster_view& view, time_point now,
                       std::vector<owner_action>* actions) {
  released_.clear();
  if (view.at < table_.at()) return;
  table_.Reset(view, now);
  AfterView(now, actions);
}

void flow_owner::Apply(const revision_changes& step, time_point now,
                       std::vector<owner_action>* actions) {
  released_.clear();
  const placed_service* before = table_.Find(settings_.service);
  const revision changed_at =
      before == nullptr ? revision() : before->changed_at;
  table_.Apply(step, now);
  const placed_service* after = table_.Find(settings_.service);
  if (after == nullptr || after->changed_at == changed_at) {
    Retry(now, actions);
    return;
  }
  AfterView(now, actions);
}

void flow_owner::AfterView(time_point now, std::vector<owner_action>* actions) {
  const placed_service* service = table_.Find(settings_.service);
  if (service != nullptr) {
    const auto self = service->targets.find(settings_.self);
    if (self != service->targets.end() &&
        self->second.state == target_state::kDraining) {
      BeginDrain(now);
    }
  }
  ListOwnBuckets();
  SendReport(now, actions);
  Retry(now, actions);
}

void flow_owner::OnViewConfirmed(revision newest, time_point now,
                                 std::vector<owner_action>* actions) {
  released_.clear();
  if (table_.at() < newest) {
    // The newer view must come first; the pull goes on.
    actions->push_back(pull_view{newest});
    return;
  }
  if (pulling_) confirmed_before_ = pulled_at_;
  pulling_ = false;
  Retry(now, actions);
}

void flow_owner::Pull(revision at_least, time_point now,
                      std::vector<owner_action>* actions) {
  // One pull at a time serves all packets that wait.
  if (pulling_) return;
  pulling_ = true;
  pulled_at_ = now;
  actions->push_back(pull_view{at_least});
}

// ---- packets ----

void flow_owner::OnEnvelope(const envelope& what, time_point now,
                            std::vector<owner_action>* actions) {
  released_.clear();
  if (what.kind == envelope_kind::kReport) {
    OnReport(what, now, actions);
    return;
  }
  if (what.kind != envelope_kind::kPacket) {
    Drop(result_code::kEnvelopeMalformed, what, actions);
    return;
  }
  if (!IsOurs(what, actions)) return;
  OnPacket(what, now, actions);
}

bool flow_owner::IsOurs(const envelope& what,
                        std::vector<owner_action>* actions) {
  const bool service = what.service == settings_.service;
  const bool target =
      what.target == settings_.self && what.started == settings_.started;
  if (service && target) return true;
  Drop(service ? result_code::kWrongIncarnation : result_code::kWrongService,
       what, actions);
  envelope forget;
  forget.kind = envelope_kind::kForget;
  forget.service = what.service;
  forget.target = what.target;
  forget.started = what.started;
  forget.key = what.key;
  forget.origin = what.origin;
  actions->push_back(send_envelope{what.origin, forget});
  return false;
}

void flow_owner::OnPacket(const envelope& what, time_point now,
                          std::vector<owner_action>* actions) {
  const std::uint64_t hash = HashFlow(what.key);
  const flow_slot slot = flows_->Find(what.key, hash);
  if (slot != kNoFlow) {
    if (what.at > table_.at()) Pull(what.at, now, actions);
    Deliver(slot, what, false, now, actions);
    return;
  }
  envelope passed = what;
  const search wanted{hash, now};
  const decision decided = Decide(wanted, &passed, now);
  Perform(decided, wanted, &passed, now, actions);
}

void flow_owner::Perform(const decision& decided, const search& wanted,
                         envelope* what, time_point now,
                         std::vector<owner_action>* actions) {
  switch (decided.what) {
    case verdict::kOpen:
      Open(*what, wanted.hash, now, actions);
      return;
    case verdict::kHold:
      Hold(*what, wanted.arrived, now, actions);
      return;
    case verdict::kDrop:
      Drop(decided.why, *what, actions);
      return;
    case verdict::kReset: {
      Drop(result_code::kFlowUnknown, *what, actions);
      envelope reset;
      reset.kind = envelope_kind::kReset;
      reset.service = settings_.service;
      reset.target = what->target;
      reset.started = what->started;
      reset.key = what->key;
      reset.origin = what->origin;
      const std::optional<parsed_packet> parsed =
          ParseIpPacket(what->payload, nullptr);
      if (parsed && parsed->tcp && !parsed->tcp->rst) {
        held_packet kept;
        kept.bytes = BuildTcpReset(what->key, true, parsed->tcp->acknowledged);
        released_.push_back(std::move(kept));
        reset.payload = released_.back().bytes;
      }
      actions->push_back(send_envelope{what->origin, reset});
      return;
    }
    case verdict::kForward:
      break;
  }
  const candidate& next = what->candidates[decided.next];
  if (what->opens != flow_opening::kNo) RememberPassed(wanted, *what, now);
  what->target = next.id;
  what->started = next.started;
  ++what->hops;
  ++counters_.forwarded;
  actions->push_back(send_envelope{next.packets, *what});
}

void flow_owner::Drop(result_code why, const envelope& what,
                      std::vector<owner_action>* actions) {
  counters_.refused.Add(why);
  Tell(event_id::kEnvelopeDropped, why, HashFlow(what.key), "");
  actions->push_back(drop_packet{why});
}

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
      wanted.relayed || (what->opens == flow_opening::kYes &&
                         IsSettled(service, wanted.hash, now - kSettleTime));
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
  return IsSettled(*table_.Find(settings_.service), wanted.hash,
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
  return self != nullptr && self->opens;
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

// ---- known flows ----

void flow_owner::Open(const envelope& what, std::uint64_t hash, time_point now,
                      std::vector<owner_action>* actions) {
  const placed_service* service = table_.Find(settings_.service);
  const duration idle_limit = service->record.document.flows.idle_limit;
  const flow_slot slot =
      flows_->Add(what.key, hash, TickOf(now) + TicksOf(idle_limit));
  CountHeld(hash, 1);
  ++counters_.opened;
  Tell(event_id::kFlowOpened, result_code::kOk, hash, "");
  Deliver(slot, what, true, now, actions);
  if (report_due_) SendReport(now, actions);
}

void flow_owner::Deliver(std::uint32_t slot, const envelope& what, bool opened,
                         time_point now, std::vector<owner_action>* actions) {
  flow_entry& entry = flows_->At(slot);
  entry.origin = what.origin;
  entry.used = TickOf(now);
  ++counters_.delivered;
  actions->push_back(deliver_packet{what.key, what.payload, opened});
  if (what.wants_hint || what.hops > 0) Hint(what, actions);
  TrackCaller(slot, what, now);
}

void flow_owner::Hint(const envelope& what,
                      std::vector<owner_action>* actions) {
  envelope hint;
  hint.kind = envelope_kind::kHint;
  hint.service = settings_.service;
  hint.target = settings_.self;
  hint.started = settings_.started;
  hint.key = what.key;
  hint.origin = what.origin;
  ++counters_.hints;
  actions->push_back(send_envelope{what.origin, hint});
}

void flow_owner::TrackCaller(std::uint32_t slot, const envelope& what,
                             time_point now) {
  const flow_entry& entry = flows_->At(slot);
  if (what.key.protocol == ip_protocol::kUdp) {
    // A flow that was never answered may be one-way, and is not stuck.
    if (entry.answered) StartWaiting(slot, flow_direction::kToTarget, now);
    return;
  }
  const std::optional<parsed_packet> parsed =
      ParseIpPacket(what.payload, nullptr);
  if (!parsed || !parsed->tcp) return;
  TrackSegment(slot, *parsed->tcp, now);
  if (parsed->tcp->rst) Forget(slot, result_code::kFlowEnded);
}

void flow_owner::TrackSegment(std::uint32_t slot, const tcp_segment& segment,
                              time_point now) {
  flow_entry& entry = flows_->At(slot);
  const std::uint32_t end = segment.sequence + segment.payload_bytes +
                            (segment.syn ? 1U : 0U) + (segment.fin ? 1U : 0U);
  const bool first = !entry.tcp_seen || segment.syn;
  const bool advanced = first || IsAfter(end, entry.next_sequence) ||
                        IsAfter(segment.acknowledged, entry.acknowledged);
  if (segment.fin) entry.finished = true;
  if (segment.syn) entry.finished = false;
  if (advanced) {
    entry.tcp_seen = true;
    if (first || IsAfter(end, entry.next_sequence)) entry.next_sequence = end;
    if (first || IsAfter(segment.acknowledged, entry.acknowledged))
      entry.acknowledged = segment.acknowledged;
    entry.target_waiting = 0;
    return;
  }
  // The caller repeats data: the target, or what lies between, is silent.
  const bool repeats = segment.payload_bytes > 0 || segment.fin;
  if (repeats) StartWaiting(slot, flow_direction::kToTarget, now);
}

void flow_owner::StartWaiting(std::uint32_t slot, flow_direction direction,
                              time_point now) {
  flow_entry& entry = flows_->At(slot);
  flow_tick& waiting = direction == flow_direction::kToTarget
                           ? entry.target_waiting
                           : entry.caller_waiting;
  if (waiting != 0) return;
  waiting = TickOf(now);
  const placed_service* service = table_.Find(settings_.service);
  if (service == nullptr) return;
  const duration stuck_limit = service->record.document.flows.stuck_limit;
  const flow_tick due =
      TickOf(now) +
      TicksOf(std::max<duration>(stuck_limit - kStuckMargin, kFlowTick));
  if (due < entry.due) flows_->Schedule(slot, due);
}

void flow_owner::OnAnswer(const flow_key& key, std::string_view bytes,
                          time_point now, std::vector<owner_action>* actions) {
  const flow_slot slot = flows_->Find(key, HashFlow(key));
  if (slot == kNoFlow) {
    counters_.refused.Add(result_code::kFlowUnknown);
    actions->push_back(drop_packet{result_code::kFlowUnknown});
    return;
  }
  flow_entry& entry = flows_->At(slot);
  entry.answered = true;
  entry.target_waiting = 0;
  entry.used = TickOf(now);
  envelope answer;
  answer.kind = envelope_kind::kAnswer;
  answer.service = settings_.service;
  answer.target = settings_.self;
  answer.started = settings_.started;
  answer.key = key;
  answer.origin = entry.origin;
  answer.payload = bytes;
  actions->push_back(send_envelope{entry.origin, answer});
}

void flow_owner::OnFlowEnded(const flow_key& key) {
  const flow_slot slot = flows_->Find(key, HashFlow(key));
  if (slot != kNoFlow) Forget(slot, result_code::kFlowEnded);
}

// ---- relayed connections ----

void flow_owner::OnRelayOpen(const envelope& what, time_point now,
                             std::vector<owner_action>* actions) {
  assert(what.opens == flow_opening::kYes);
  if (what.service != settings_.service || what.target != settings_.self ||
      what.started != settings_.started) {
    const result_code why = what.service == settings_.service
                                ? result_code::kWrongIncarnation
                                : result_code::kWrongService;
    counters_.refused.Add(why);
    actions->push_back(refuse_relay{why});
    return;
  }
  const std::uint64_t hash = HashFlow(what.key);
  const flow_slot known = flows_->Find(what.key, hash);
  // The caller's old connection with the same ports must be over by now.
  if (known != kNoFlow) CloseBothEnds(known, result_code::kFlowEnded, actions);

  envelope passed = what;
  // A new connection needs no earlier owner, which follow the first two.
  if (passed.hops == 0)
    passed.candidate_count = std::min<std::uint8_t>(passed.candidate_count, 2);
  search wanted{hash, now};
  wanted.last_chance = true;
  wanted.relayed = true;
  const decision decided = Decide(wanted, &passed, now);
  if (decided.what == verdict::kForward) {
    const candidate& next = passed.candidates[decided.next];
    passed.target = next.id;
    passed.started = next.started;
    ++passed.hops;
    ++counters_.forwarded;
    const placed_target* target =
        table_.Find(settings_.service)->current->Find(next.id);
    const endpoint relay = target == nullptr ? endpoint() : target->relay;
    actions->push_back(pass_relay{relay, passed});
    return;
  }
  if (decided.what != verdict::kOpen) {
    counters_.refused.Add(decided.why);
    actions->push_back(refuse_relay{decided.why});
    return;
  }
  const placed_service* service = table_.Find(settings_.service);
  const duration idle_limit = service->record.document.flows.idle_limit;
  const flow_slot slot =
      flows_->Add(what.key, hash, TickOf(now) + TicksOf(idle_limit));
  flow_entry& entry = flows_->At(slot);
  entry.origin = what.origin;
  entry.used = TickOf(now);
  entry.relayed = true;
  CountHeld(hash, 1);
  ++counters_.opened;
  Tell(event_id::kFlowOpened, result_code::kOk, hash, "relayed");
  actions->push_back(accept_relay{what.key});
}

void flow_owner::OnRelayProgress(const flow_key& key,
                                 const relay_progress& progress,
                                 time_point now) {
  const flow_slot slot = flows_->Find(key, HashFlow(key));
  if (slot == kNoFlow) return;
  flow_entry& entry = flows_->At(slot);
  if (progress.advanced) entry.used = TickOf(now);
  flow_tick& waiting = progress.direction == flow_direction::kToTarget
                           ? entry.target_waiting
                           : entry.caller_waiting;
  if (progress.advanced || !progress.outstanding) waiting = 0;
  if (progress.outstanding) StartWaiting(slot, progress.direction, now);
}

// ---- holding ----

void flow_owner::Hold(const envelope& what, time_point arrived, time_point now,
                      std::vector<owner_action>* actions) {
  if (held_.size() >= settings_.max_held) {
    Drop(result_code::kHoldLimit, what, actions);
    return;
  }
  held_.push_back({what, std::string(what.payload), arrived});
  held_.back().what.payload = held_.back().bytes;
  ++counters_.held;
  Pull(std::max(what.at, table_.at()), now, actions);
}

void flow_owner::Retry(time_point now, std::vector<owner_action>* actions) {
  if (held_.empty()) return;
  std::deque<held_packet> waiting = std::move(held_);
  held_.clear();
  for (held_packet& each : waiting) {
    search wanted{HashFlow(each.what.key), each.arrived};
    wanted.last_chance = now - each.arrived >= settings_.hold_limit;
    each.what.payload = each.bytes;
    const flow_slot slot = flows_->Find(each.what.key, wanted.hash);
    decision decided;
    if (slot == kNoFlow) {
      decided = Decide(wanted, &each.what, now);
      if (decided.what == verdict::kHold) {
        Pull(std::max(each.what.at, table_.at()), now, actions);
        held_.push_back(std::move(each));
        held_.back().what.payload = held_.back().bytes;
        continue;
      }
    }
    // The actions' views need the bytes until the next call.
    released_.push_back(std::move(each));
    held_packet& released = released_.back();
    released.what.payload = released.bytes;
    if (slot != kNoFlow) {
      Deliver(slot, released.what, false, now, actions);
    } else {
      Perform(decided, wanted, &released.what, now, actions);
    }
  }
}

// ---- reports ----

void flow_owner::ListOwnBuckets() {
  const placed_service* service = table_.Find(settings_.service);
  if (service == nullptr) return;
  const service_placement& placement = *service->current;
  const std::uint32_t buckets = placement.bucket_count();
  if (held_flows_.size() != buckets) CountAllFlows();
  own_buckets_.assign(buckets / kBitsPerWord, 0);
  for (std::uint32_t bucket = 0; bucket < buckets; ++bucket) {
    const bucket_candidates two = placement.CandidatesOf(bucket);
    for (const std::uint16_t index : {two.first, two.second}) {
      if (index == kNoTarget || placement.targets()[index].id != settings_.self)
        continue;
      own_buckets_[bucket / kBitsPerWord] |= std::uint64_t{1}
                                             << (bucket % kBitsPerWord);
    }
  }
}

// Looks at every flow; only when the number of buckets changes, which the
// number of targets does at a power of two.
void flow_owner::CountAllFlows() {
  const std::uint32_t buckets =
      table_.Find(settings_.service)->current->bucket_count();
  held_flows_.assign(buckets, 0);
  for (flow_slot slot = 0; slot < flows_->slots(); ++slot) {
    const flow_entry& entry = flows_->At(slot);
    if (entry.live) ++held_flows_[entry.hash & (buckets - 1)];
  }
}

void flow_owner::CountHeld(std::uint64_t hash, int change) {
  assert(!held_flows_.empty());
  const std::uint64_t bucket = hash & (held_flows_.size() - 1);
  std::uint32_t& count = held_flows_[bucket];
  const bool before = count != 0;
  count = static_cast<std::uint32_t>(static_cast<int>(count) + change);
  const bool ours =
      (own_buckets_[bucket / kBitsPerWord] >> (bucket % kBitsPerWord) & 1U) !=
      0;
  if (!ours && before != (count != 0)) report_due_ = true;
}

void flow_owner::EncodeReport() {
  held_buckets report;
  report.service = settings_.service;
  report.target = settings_.self;
  report.at = table_.at();
  report.count = ++report_count_;
  report.bucket_count = static_cast<std::uint32_t>(held_flows_.size());
  report.bits = own_buckets_;
  for (std::uint32_t bucket = 0; bucket < report.bucket_count; ++bucket) {
    if (held_flows_[bucket] != 0) report.Set(bucket);
  }
  table_.Apply(report);
  report_bytes_ = EncodeHeldBuckets(report);
}

void flow_owner::SendReportTo(const placed_target& peer,
                              std::vector<owner_action>* actions) {
  envelope what;
  what.kind = envelope_kind::kReport;
  what.service = settings_.service;
  what.at = table_.Find(settings_.service)->changed_at;
  what.origin = settings_.packets;
  what.target = peer.id;
  what.started = peer.started;
  what.payload = report_bytes_;
  ++counters_.reports;
  actions->push_back(send_envelope{peer.packets, what});
}

void flow_owner::SendReport(time_point now,
                            std::vector<owner_action>* actions) {
  report_due_ = false;
  reported_at_ = now;
  const placed_service* service = table_.Find(settings_.service);
  if (service == nullptr) return;
  EncodeReport();
  for (const placed_target& peer : service->current->targets()) {
    if (peer.id != settings_.self) SendReportTo(peer, actions);
  }
}

void flow_owner::OnReport(const envelope& what, time_point now,
                          std::vector<owner_action>* actions) {
  if (what.service != settings_.service) {
    Drop(result_code::kWrongService, what, actions);
    return;
  }
  const std::optional<held_buckets> report =
      DecodeHeldBuckets(what.payload, nullptr);
  if (!report || report->service != settings_.service) {
    Drop(result_code::kHeldReportMalformed, what, actions);
    return;
  }
  if (table_.Apply(*report) && !report_bytes_.empty()) {
    // A newcomer, which does not know ours yet.
    const placed_service* service = table_.Find(settings_.service);
    SendReportTo(*service->current->Find(report->target), actions);
  }
  if (what.at > table_.at()) Pull(what.at, now, actions);
  Retry(now, actions);
}

// ---- leaving and expiry ----

void flow_owner::BeginDrain(time_point now) {
  if (draining_) return;
  draining_ = true;
  drained_at_ = now;
}

void flow_owner::Tick(time_point now, std::vector<owner_action>* actions) {
  released_.clear();
  std::vector<flow_slot> due;
  flows_->TakeDue(TickOf(now), &due);
  for (const flow_slot slot : due) Expire(slot, now, actions);
  SweepDrained(now, actions);
  if (now - pulled_at_ >= kPullEvery) pulling_ = false;
  Retry(now, actions);
  const placed_service* service = table_.Find(settings_.service);
  if (service == nullptr) return;
  const duration every =
      settings_.report_every + kReportSpacing * service->targets.size();
  if (report_due_ || now - reported_at_ >= every) SendReport(now, actions);
}

void flow_owner::Expire(std::uint32_t slot, time_point now,
                        std::vector<owner_action>* actions) {
  flow_entry& entry = flows_->At(slot);
  const placed_service* service = table_.Find(settings_.service);
  if (service == nullptr) {
    flows_->Schedule(slot, TickOf(now) + 1);
    return;
  }
  const flow_limits& limits = service->record.document.flows;
  const flow_tick at = TickOf(now);
  const flow_tick stuck_after =
      TicksOf(std::max<duration>(limits.stuck_limit - kStuckMargin, kFlowTick));
  flow_tick next =
      entry.used + TicksOf(entry.finished ? kFinishedLimit : limits.idle_limit);
  if (next <= at) {
    if (entry.relayed) {
      CloseBothEnds(slot, result_code::kFlowIdle, actions);
    } else {
      actions->push_back(
          close_towards_target{entry.key, result_code::kFlowIdle, {}});
      Forget(slot, result_code::kFlowIdle);
    }
    return;
  }
  for (const flow_tick waiting : {entry.target_waiting, entry.caller_waiting}) {
    if (waiting == 0) continue;
    if (waiting + stuck_after <= at) {
      CloseBothEnds(slot, result_code::kFlowStuck, actions);
      return;
    }
    next = std::min(next, waiting + stuck_after);
  }
  flows_->Schedule(slot, next);
}

void flow_owner::SweepDrained(time_point now,
                              std::vector<owner_action>* actions) {
  if (!draining_ || flows_->size() == 0) return;
  const placed_service* service = table_.Find(settings_.service);
  if (service == nullptr) return;
  if (now - drained_at_ < service->record.document.flows.drain_limit) return;
  for (std::uint32_t step = 0; step < kSweepStep; ++step) {
    if (sweep_hand_ >= flows_->slots()) sweep_hand_ = 0;
    const flow_slot slot = sweep_hand_++;
    if (!flows_->At(slot).live) continue;
    CloseBothEnds(slot, result_code::kFlowDrainLimit, actions);
    if (flows_->size() == 0) return;
  }
}

void flow_owner::CloseBothEnds(std::uint32_t slot, result_code why,
                               std::vector<owner_action>* actions) {
  const flow_entry& entry = flows_->At(slot);
  std::string target_reset;
  if (entry.tcp_seen)
    target_reset = BuildTcpReset(entry.key, false, entry.next_sequence);
  actions->push_back(close_towards_target{entry.key, why, target_reset});
  actions->push_back(close_towards_caller{entry.key, why});
  if (!entry.relayed) {
    envelope reset;
    reset.kind = envelope_kind::kReset;
    reset.service = settings_.service;
    reset.target = settings_.self;
    reset.started = settings_.started;
    reset.key = entry.key;
    reset.origin = entry.origin;
    if (entry.tcp_seen) {
      held_packet kept;
      kept.bytes = BuildTcpReset(entry.key, true, entry.acknowledged);
      released_.push_back(std::move(kept));
      reset.payload = released_.back().bytes;
    }
    actions->push_back(send_envelope{entry.origin, reset});
  }
  Forget(slot, why);
}

void flow_owner::Forget(std::uint32_t slot, result_code why) {
  const std::uint64_t hash = flows_->At(slot).hash;
  counters_.refused.Add(why);
  CountHeld(hash, -1);
  flows_->Remove(slot);
  Tell(event_id::kFlowClosed, why, hash, "");
}

void flow_owner::Tell(event_id id, result_code code, std::uint64_t hash,
                      std::string detail) const {
  if (listener_ == nullptr) return;
  event what;
  what.id = id;
  what.at = table_.at();
  const placed_service* service = table_.Find(settings_.service);
  if (service != nullptr) what.service = service->record.document.service;
  what.flow = hash;
  what.code = code;
  what.detail = std::move(detail);
  listener_->OnEvent(what);
}

std::size_t flow_owner::flow_count() const { return flows_->size(); }

bool flow_owner::Knows(const flow_key& key) const {
  return flows_->Find(key, HashFlow(key)) != kNoFlow;
}

std::size_t flow_owner::MemoryBytes() const {
  return sizeof(*this) + flows_->MemoryBytes() +
         passed_.capacity() * sizeof(passed_packet) +
         held_flows_.capacity() * sizeof(std::uint32_t) +
         own_buckets_.capacity() * sizeof(std::uint64_t) +
         held_.size() * sizeof(held_packet);
}

}  // namespace tamaracklatch
