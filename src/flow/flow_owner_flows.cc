// flow_owner: delivery, progress in both directions, relayed connections and
// packets held until a view arrives.
#include <algorithm>
#include <cassert>
#include <utility>

#include "flow/flow_owner_parts.h"
#include "flow/flow_table.h"
#include "tamaracklatch/flow/flow_owner.h"

namespace tamaracklatch {
namespace {

// Whether TCP sequence number `left` is after `right`.
bool IsAfter(std::uint32_t left, std::uint32_t right) {
  return static_cast<std::int32_t>(left - right) > 0;
}

}  // namespace

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
    // Without any answer so far the flow may be one-way, so it doesn't count as
    // stuck.
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
  // The caller retransmits: the target or the path to it does not respond.
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
  // The caller reuses the ports, so its earlier connection must have ended.
  if (known != kNoFlow) CloseBothEnds(known, result_code::kFlowEnded, actions);

  envelope passed = what;
  // A new connection can't be known to an earlier owner. Those are listed after
  // the two current candidates.
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

// ---- held packets ----

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
    // Actions may refer to the bytes until the next call.
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

}  // namespace tamaracklatch
