// Sequence spaces, phases and load of the flows of one target.
#include "steering/owned_flows.h"

#include <cmath>

namespace tamaracklatch {
namespace {

// A flow that was learned while it ran began at most this far back.
constexpr std::uint32_t kLearnedSpan = 1U << 28U;

// Loads in 1/256 of a slot.
constexpr double kWaitingLoad = 256.0;
constexpr double kOpenLoad = 6.0;  // a flow brings requests at a mean rate
constexpr std::chrono::milliseconds kLoadTime{1000};

// Without a segment of either end.
constexpr std::chrono::seconds kUnansweredFor{3};
constexpr std::chrono::seconds kPendingFor{12};
constexpr std::chrono::seconds kDroppedFor{12};
constexpr std::chrono::seconds kEndedFor{3};
constexpr std::chrono::seconds kAgedFor{3};

std::uint32_t EndOf(const tcp_segment& tcp) {
  return tcp.sequence + tcp.payload_bytes + (tcp.syn ? 1U : 0U) +
         (tcp.fin ? 1U : 0U);
}

bool IsAfter(std::uint32_t left, std::uint32_t right) {
  return static_cast<std::int32_t>(left - right) > 0;
}

}  // namespace

bool owned_flow::Acknowledges(std::uint32_t number) const {
  return answered && number - first <= end - first;
}

owned_flows::owned_flows(std::size_t max_open, time_point now)
    : max_open_(max_open), advanced_(now) {}

owned_flow* owned_flows::Find(const flow_key& key, std::uint64_t hash) {
  const auto found = flows_.find(hash);
  if (found == flows_.end() || !(found->second.key == key)) return nullptr;
  return &found->second;
}

owned_flow* owned_flows::Add(const flow_key& key, std::uint64_t hash,
                             time_point now) {
  if (flows_.size() >= 2 * max_open_) return nullptr;
  const auto [place, is_new] = flows_.try_emplace(hash);
  if (!is_new) return nullptr;
  owned_flow& flow = place->second;
  flow.key = key;
  flow.hash = hash;
  flow.opened = now;
  flow.active = now;
  ++open_;
  return &flow;
}

void owned_flows::Erase(std::uint64_t hash) {
  const auto found = flows_.find(hash);
  if (found == flows_.end()) return;
  SetWaits(&found->second, false);
  if (found->second.IsOpen()) --open_;
  flows_.erase(found);
}

void owned_flows::DoubtAll() {
  for (auto& [hash, flow] : flows_) {
    if (flow.phase == flow_phase::kClaimed)
      SetPhase(&flow, flow_phase::kDoubted);
  }
}

void owned_flows::OnDelivered(owned_flow* flow, const tcp_segment& tcp,
                              time_point now) {
  flow->active = now;
  // A retransmission asks for nothing new.
  const std::uint32_t end = EndOf(tcp);
  if (!flow->caller_sent || IsAfter(end, flow->caller_end)) {
    flow->caller_sent = true;
    flow->caller_end = end;
    if (tcp.payload_bytes > 0 && flow->IsOpen()) SetWaits(flow, true);
  }
  flow->caller_finished = flow->caller_finished || tcp.fin;
  EndIfDone(flow, tcp);
}

void owned_flows::OnSent(owned_flow* flow, const tcp_segment& tcp,
                         time_point now) {
  flow->active = now;
  if (flow->phase == flow_phase::kDoubted) SetPhase(flow, flow_phase::kClaimed);
  const std::uint32_t end = EndOf(tcp);
  if (tcp.syn) {
    // The answer to the opening; the caller acknowledges it first.
    if (!flow->answered || flow->first != end) flow->end = end;
    flow->first = end;
    flow->answered = true;
  } else if (!flow->answered) {
    flow->first = tcp.sequence - kLearnedSpan;
    flow->end = end;
    flow->answered = true;
  } else if (!tcp.rst && IsAfter(end, flow->end)) {
    flow->end = end;
  }
  if (tcp.payload_bytes > 0) SetWaits(flow, false);
  flow->target_finished = flow->target_finished || tcp.fin;
  EndIfDone(flow, tcp);
}

void owned_flows::EndIfDone(owned_flow* flow, const tcp_segment& tcp) {
  const bool done = flow->caller_finished && flow->target_finished;
  if (done || tcp.rst) SetPhase(flow, flow_phase::kEnded);
}

void owned_flows::SetPhase(owned_flow* flow, flow_phase phase) {
  const bool was_open = flow->IsOpen();
  flow->phase = phase;
  if (was_open == flow->IsOpen()) return;
  if (was_open) {
    --open_;
    SetWaits(flow, false);
  } else {
    ++open_;
  }
}

void owned_flows::SetWaits(owned_flow* flow, bool waits) {
  if (flow->waits == waits) return;
  flow->waits = waits;
  if (waits) {
    ++waiting_;
  } else {
    --waiting_;
  }
}

std::vector<owned_flow> owned_flows::ListExpired(const flow_limits& limits,
                                                 time_point now) const {
  std::vector<owned_flow> expired;
  for (const auto& [hash, flow] : flows_) {
    const duration idle = now - flow.active;
    bool is_over = false;
    switch (flow.phase) {
      case flow_phase::kPending:
        is_over = idle >= (flow.answered ? kPendingFor : kUnansweredFor);
        break;
      case flow_phase::kClaimed:
      case flow_phase::kDoubted:
        is_over = idle >= limits.idle ||
                  (now - flow.opened >= limits.age && idle >= kAgedFor);
        break;
      case flow_phase::kDropped:
        is_over = idle >= kDroppedFor;
        break;
      case flow_phase::kEnded:
        is_over = idle >= kEndedFor;
        break;
    }
    if (is_over) expired.push_back(flow);
  }
  return expired;
}

void owned_flows::Advance(time_point now) {
  if (now <= advanced_) return;
  const double raw = static_cast<double>(waiting_) * kWaitingLoad +
                     static_cast<double>(open_) * kOpenLoad;
  const double part = static_cast<double>((now - advanced_).count()) /
                      static_cast<double>(duration(kLoadTime).count());
  load_ += (raw - load_) * -std::expm1(-part);
  advanced_ = now;
}

}  // namespace tamaracklatch
