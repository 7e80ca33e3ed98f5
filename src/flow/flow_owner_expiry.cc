// flow_owner: draining, idle and stuck flows, and closing a flow at both ends.
#include <algorithm>
#include <utility>

#include "flow/flow_owner_parts.h"
#include "flow/flow_table.h"
#include "tamaracklatch/flow/flow_owner.h"

namespace tamaracklatch {

// ---- draining and expiry ----

void flow_owner::BeginDrain(time_point now) {
  if (draining_) return;
  draining_ = true;
  drain_started_at_ = now;
}

void flow_owner::Tick(time_point now, std::vector<owner_action>* actions) {
  released_.clear();
  std::vector<flow_slot> due;
  flows_->TakeDue(TickOf(now), &due);
  for (const flow_slot slot : due) Expire(slot, now, actions);
  CloseDrainedFlows(now, actions);
  if (now - pull_requested_at_ >= kPullRetryInterval) pull_pending_ = false;
  RetryHeldPackets(now, actions);
  const placed_service* service = table_.Find(settings_.service);
  if (service == nullptr) return;
  const duration interval = settings_.report_interval +
                            kReportSpacingPerTarget * service->targets.size();
  if (report_due_ || now - reported_at_ >= interval) SendReport(now, actions);
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
  flow_tick next = entry.last_active +
                   TicksOf(entry.fin_seen ? kFinIdleLimit : limits.idle_limit);
  if (next <= at) {
    if (entry.relayed) {
      CloseBothEnds(slot, result_code::kFlowIdle, actions);
    } else {
      actions->push_back(
          close_towards_target{entry.key, result_code::kFlowIdle, {}});
      RemoveFlow(slot, result_code::kFlowIdle);
    }
    return;
  }
  for (const flow_tick waiting_since :
       {entry.target_waiting_since, entry.caller_waiting_since}) {
    if (waiting_since == 0) continue;
    if (waiting_since + stuck_after <= at) {
      CloseBothEnds(slot, result_code::kFlowStuck, actions);
      return;
    }
    next = std::min(next, waiting_since + stuck_after);
  }
  flows_->Schedule(slot, next);
}

void flow_owner::CloseDrainedFlows(time_point now,
                                   std::vector<owner_action>* actions) {
  if (!draining_ || flows_->size() == 0) return;
  const placed_service* service = table_.Find(settings_.service);
  if (service == nullptr) return;
  if (now - drain_started_at_ < service->record.document.flows.drain_limit)
    return;
  for (std::uint32_t step = 0; step < kDrainSweepSlots; ++step) {
    if (sweep_slot_ >= flows_->slot_count()) sweep_slot_ = 0;
    const flow_slot slot = sweep_slot_++;
    if (!flows_->At(slot).live) continue;
    CloseBothEnds(slot, result_code::kFlowDrainLimit, actions);
    if (flows_->size() == 0) return;
  }
}

void flow_owner::CloseBothEnds(std::uint32_t slot, result_code reason,
                               std::vector<owner_action>* actions) {
  const flow_entry& entry = flows_->At(slot);
  std::string target_reset;
  if (entry.tcp_seen)
    target_reset = BuildTcpReset(entry.key, false, entry.next_sequence);
  actions->push_back(close_towards_target{entry.key, reason, target_reset});
  actions->push_back(close_towards_caller{entry.key, reason});
  if (!entry.relayed) {
    envelope reset;
    reset.kind = envelope_kind::kReset;
    reset.service = settings_.service;
    reset.target = settings_.self;
    reset.started = settings_.started;
    reset.key = entry.key;
    reset.origin = entry.origin;
    if (entry.tcp_seen) {
      held_packet reset_packet;
      reset_packet.bytes = BuildTcpReset(entry.key, true, entry.acknowledged);
      released_.push_back(std::move(reset_packet));
      reset.payload = released_.back().bytes;
    }
    actions->push_back(send_envelope{entry.origin, reset});
  }
  RemoveFlow(slot, reason);
}

void flow_owner::RemoveFlow(std::uint32_t slot, result_code reason) {
  const std::uint64_t hash = flows_->At(slot).hash;
  counters_.refused.Add(reason);
  AdjustBucketCount(hash, -1);
  flows_->Remove(slot);
  ReportEvent(event_id::kFlowClosed, reason, hash, "");
}

}  // namespace tamaracklatch
