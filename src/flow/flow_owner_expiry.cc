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

}  // namespace tamaracklatch
