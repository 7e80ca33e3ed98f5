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

void flow_owner::OpenFlow(const envelope& message, std::uint64_t hash,
                          time_point now, std::vector<owner_action>* actions) {
  const placed_service* service = table_.Find(settings_.service);
  const duration idle_limit = service->record.document.flows.idle_limit;
  const flow_slot slot =
      flows_->Add(message.key, hash, TickOf(now) + TicksOf(idle_limit));
  AdjustBucketCount(hash, 1);
  ++counters_.opened;
  ReportEvent(event_id::kFlowOpened, result_code::kOk, hash, "");
  Deliver(slot, message, true, now, actions);
  if (report_due_) SendReport(now, actions);
}

void flow_owner::Deliver(std::uint32_t slot, const envelope& message,
                         bool opened, time_point now,
                         std::vector<owner_action>* actions) {
  flow_entry& entry = flows_->At(slot);
  entry.origin = message.origin;
  entry.last_active = TickOf(now);
  ++counters_.delivered;
  actions->push_back(deliver_packet{message.key, message.payload, opened});
  if (message.wants_hint || message.hops > 0) SendHint(message, actions);
  TrackCaller(slot, message, now);
}

void flow_owner::SendHint(const envelope& message,
                          std::vector<owner_action>* actions) {
  envelope hint;
  hint.kind = envelope_kind::kHint;
  hint.service = settings_.service;
  hint.target = settings_.self;
  hint.started = settings_.started;
  hint.key = message.key;
  hint.origin = message.origin;
  ++counters_.hints;
  actions->push_back(send_envelope{message.origin, hint});
}

void flow_owner::TrackCaller(std::uint32_t slot, const envelope& message,
                             time_point now) {
  const flow_entry& entry = flows_->At(slot);
  if (message.key.protocol == ip_protocol::kUdp) {
    // Without any answer so far the flow may be one-way, so it doesn't count as
    // stuck.
    if (entry.answered) StartStuckTimer(slot, flow_direction::kToTarget, now);
    return;
  }
  const std::optional<parsed_packet> parsed =
      ParseIpPacket(message.payload, nullptr);
  if (!parsed || !parsed->tcp) return;
  TrackSegment(slot, *parsed->tcp, now);
  if (parsed->tcp->rst) RemoveFlow(slot, result_code::kFlowEnded);
}

void flow_owner::TrackSegment(std::uint32_t slot, const tcp_segment& segment,
                              time_point now) {
  flow_entry& entry = flows_->At(slot);
  const std::uint32_t end = segment.sequence + segment.payload_bytes +
                            (segment.syn ? 1U : 0U) + (segment.fin ? 1U : 0U);
  const bool first = !entry.tcp_seen || segment.syn;
  const bool advanced = first || IsAfter(end, entry.next_sequence) ||
                        IsAfter(segment.acknowledged, entry.acknowledged);
  if (segment.fin) entry.fin_seen = true;
  if (segment.syn) entry.fin_seen = false;
  if (advanced) {
    entry.tcp_seen = true;
    if (first || IsAfter(end, entry.next_sequence)) entry.next_sequence = end;
    if (first || IsAfter(segment.acknowledged, entry.acknowledged))
      entry.acknowledged = segment.acknowledged;
    entry.target_waiting_since = 0;
    return;
  }
  // The caller retransmits: the target or the path to it does not respond.
  const bool repeats = segment.payload_bytes > 0 || segment.fin;
  if (repeats) StartStuckTimer(slot, flow_direction::kToTarget, now);
}

void flow_owner::StartStuckTimer(std::uint32_t slot, flow_direction direction,
                                 time_point now) {
  flow_entry& entry = flows_->At(slot);
  flow_tick& waiting = direction == flow_direction::kToTarget
                           ? entry.target_waiting_since
                           : entry.caller_waiting_since;
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
  entry.target_waiting_since = 0;
  entry.last_active = TickOf(now);
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
  if (slot != kNoFlow) RemoveFlow(slot, result_code::kFlowEnded);
}

// ---- relayed connections ----

void flow_owner::OnRelayOpen(const envelope& message, time_point now,
                             std::vector<owner_action>* actions) {
  assert(message.opens == flow_opening::kYes);
  if (message.service != settings_.service ||
      message.target != settings_.self ||
      message.started != settings_.started) {
    const result_code reason = message.service == settings_.service
                                   ? result_code::kWrongIncarnation
                                   : result_code::kWrongService;
    counters_.refused.Add(reason);
    actions->push_back(refuse_relay{reason});
    return;
  }
  const std::uint64_t hash = HashFlow(message.key);
  const flow_slot known = flows_->Find(message.key, hash);
  // The caller reuses the ports, so its earlier connection must have ended.
  if (known != kNoFlow) CloseBothEnds(known, result_code::kFlowEnded, actions);

  envelope updated = message;
  // A new connection can't be known to an earlier owner. Those are listed after
  // the two current candidates.
  if (updated.hops == 0)
    updated.candidate_count =
        std::min<std::uint8_t>(updated.candidate_count, 2);
  flow_search search{hash, now};
  search.final_attempt = true;
  search.relayed = true;
  const decision decided = Decide(search, &updated, now);
  if (decided.kind == decision_kind::kForward) {
    const candidate& next = updated.candidates[decided.next];
    updated.target = next.id;
    updated.started = next.started;
    ++updated.hops;
    ++counters_.forwarded;
    const placed_target* target =
        table_.Find(settings_.service)->current->Find(next.id);
    const endpoint relay = target == nullptr ? endpoint() : target->relay;
    actions->push_back(redirect_relay{relay, updated});
    return;
  }
  if (decided.kind != decision_kind::kOpen) {
    counters_.refused.Add(decided.reason);
    actions->push_back(refuse_relay{decided.reason});
    return;
  }
  const placed_service* service = table_.Find(settings_.service);
  const duration idle_limit = service->record.document.flows.idle_limit;
  const flow_slot slot =
      flows_->Add(message.key, hash, TickOf(now) + TicksOf(idle_limit));
  flow_entry& entry = flows_->At(slot);
  entry.origin = message.origin;
  entry.last_active = TickOf(now);
  entry.relayed = true;
  AdjustBucketCount(hash, 1);
  ++counters_.opened;
  ReportEvent(event_id::kFlowOpened, result_code::kOk, hash, "relayed");
  actions->push_back(accept_relay{message.key});
}

void flow_owner::OnRelayProgress(const flow_key& key,
                                 const relay_progress& progress,
                                 time_point now) {
  const flow_slot slot = flows_->Find(key, HashFlow(key));
  if (slot == kNoFlow) return;
  flow_entry& entry = flows_->At(slot);
  if (progress.advanced) entry.last_active = TickOf(now);
  flow_tick& waiting = progress.direction == flow_direction::kToTarget
                           ? entry.target_waiting_since
                           : entry.caller_waiting_since;
  if (progress.advanced || !progress.outstanding) waiting = 0;
  if (progress.outstanding) StartStuckTimer(slot, progress.direction, now);
}

// ---- held packets ----

void flow_owner::HoldPacket(const envelope& message, time_point arrived,
                            time_point now,
                            std::vector<owner_action>* actions) {
  if (held_.size() >= settings_.max_held) {
    DropPacket(result_code::kHoldLimit, message, actions);
    return;
  }
  held_.push_back({message, std::string(message.payload), arrived});
  held_.back().message.payload = held_.back().bytes;
  ++counters_.held;
  RequestView(std::max(message.at, table_.at()), now, actions);
}

void flow_owner::RetryHeldPackets(time_point now,
                                  std::vector<owner_action>* actions) {
  if (held_.empty()) return;
  std::deque<held_packet> waiting = std::move(held_);
  held_.clear();
  for (held_packet& each : waiting) {
    flow_search search{HashFlow(each.message.key), each.arrived};
    search.final_attempt = now - each.arrived >= settings_.hold_limit;
    each.message.payload = each.bytes;
    const flow_slot slot = flows_->Find(each.message.key, search.hash);
    decision decided;
    if (slot == kNoFlow) {
      decided = Decide(search, &each.message, now);
      if (decided.kind == decision_kind::kHold) {
        RequestView(std::max(each.message.at, table_.at()), now, actions);
        held_.push_back(std::move(each));
        held_.back().message.payload = held_.back().bytes;
        continue;
      }
    }
    // Actions may refer to the bytes until the next call.
    released_.push_back(std::move(each));
    held_packet& released = released_.back();
    released.message.payload = released.bytes;
    if (slot != kNoFlow) {
      Deliver(slot, released.message, false, now, actions);
    } else {
      Perform(decided, search, &released.message, now, actions);
    }
  }
}

}  // namespace tamaracklatch
