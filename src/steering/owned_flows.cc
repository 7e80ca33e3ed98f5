// Sequence tracking, phases, timeouts and load of the flows of one target.
#include "steering/owned_flows.h"

#include <cmath>

namespace tamaracklatch {
namespace {

// For a flow first seen after its opening: how many bytes before the first
// segment seen its sequence numbers may have begun.
constexpr std::uint32_t kLearnedSpan = 1U << 28U;

// Contributions to the load, in 1/256 of a slot.
constexpr double kWaitingLoad = 256.0;  // of a request that awaits an answer
// Of an open flow: its mean request rate, at the median service time.
constexpr double kOpenLoad = 6.0;
constexpr std::chrono::milliseconds kLoadTimeConstant{1000};

// Timeouts, counted from the last segment of either end.
constexpr std::chrono::seconds kUnansweredTimeout{3};
constexpr std::chrono::seconds kPendingTimeout{12};
constexpr std::chrono::seconds kDroppedTimeout{12};
constexpr std::chrono::seconds kEndedTimeout{3};
constexpr std::chrono::seconds kAgedIdleTimeout{3};

std::uint32_t EndOf(const tcp_segment& tcp) {
  return tcp.sequence + tcp.payload_bytes + (tcp.syn ? 1U : 0U) +
         (tcp.fin ? 1U : 0U);
}

bool IsAfter(std::uint32_t left, std::uint32_t right) {
  return static_cast<std::int32_t>(left - right) > 0;
}

}  // namespace

bool owned_flow::Acknowledges(std::uint32_t number) const {
  return answered && number - answer_start <= answer_end - answer_start;
}

owned_flows::owned_flows(std::size_t max_open, time_point now)
    : max_open_(max_open), load_updated_(now) {}

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
  flow.last_segment = now;
  ++open_flows_;
  return &flow;
}

void owned_flows::Erase(std::uint64_t hash) {
  const auto found = flows_.find(hash);
  if (found == flows_.end()) return;
  SetAwaitsAnswer(&found->second, false);
  if (found->second.IsOpen()) --open_flows_;
  flows_.erase(found);
}

void owned_flows::MarkAllSuspect() {
  for (auto& [hash, flow] : flows_) {
    if (flow.phase == flow_phase::kClaimed)
      SetPhase(&flow, flow_phase::kSuspect);
    flow.request_run = {};
  }
  service_time_.Reset();
}

void owned_flows::OnDelivered(owned_flow* flow, const tcp_segment& tcp,
                              time_point now) {
  flow->last_segment = now;
  // A retransmission is not a new request.
  const std::uint32_t end = EndOf(tcp);
  if (!flow->caller_sent || IsAfter(end, flow->caller_end)) {
    flow->caller_sent = true;
    flow->caller_end = end;
    if (tcp.payload_bytes > 0 && flow->IsOpen()) {
      MeasureRequest(flow, !flow->awaits_answer, now);
      SetAwaitsAnswer(flow, true);
    }
  }
  flow->caller_finished = flow->caller_finished || tcp.fin;
  EndIfFinished(flow, tcp);
}

void owned_flows::OnSent(owned_flow* flow, const tcp_segment& tcp,
                         time_point now) {
  flow->last_segment = now;
  if (flow->phase == flow_phase::kSuspect) SetPhase(flow, flow_phase::kClaimed);
  const std::uint32_t end = EndOf(tcp);
  if (tcp.syn) {
    // The SYN-ACK; the caller's first acknowledgment is of its end. A new
    // SYN-ACK with another sequence number starts the range anew.
    if (!flow->answered || flow->answer_start != end) flow->answer_end = end;
    flow->answer_start = end;
    flow->answered = true;
  } else if (!flow->answered) {
    flow->answer_start = tcp.sequence - kLearnedSpan;
    flow->answer_end = end;
    flow->answered = true;
  } else if (!tcp.rst && IsAfter(end, flow->answer_end)) {
    flow->answer_end = end;
  }
  if (tcp.payload_bytes > 0) {
    if (flow->awaits_answer && flow->request_run != time_point())
      service_time_.Add(now - flow->request_run);
    SetAwaitsAnswer(flow, false);
  }
  flow->target_finished = flow->target_finished || tcp.fin;
  EndIfFinished(flow, tcp);
}

void owned_flows::EndIfFinished(owned_flow* flow, const tcp_segment& tcp) {
  const bool done = flow->caller_finished && flow->target_finished;
  if (done || tcp.rst) SetPhase(flow, flow_phase::kEnded);
}

void owned_flows::Claim(owned_flow* flow, time_point now) {
  flow->claimed = now;
  SetPhase(flow, flow_phase::kClaimed);
}

void owned_flows::SetPhase(owned_flow* flow, flow_phase phase) {
  const bool was_open = flow->IsOpen();
  flow->phase = phase;
  if (was_open == flow->IsOpen()) return;
  if (was_open) {
    --open_flows_;
    SetAwaitsAnswer(flow, false);
  } else {
    ++open_flows_;
  }
}

// Records the delivery of a part of a request. The request counts from its last
// part, and only if a slot was free at its first one (`is_next`).
void owned_flows::MeasureRequest(owned_flow* flow, bool is_next,
                                 time_point now) {
  const bool runs = is_next ? waiting_requests_ < slots_ && now >= cold_until_
                            : flow->request_run != time_point();
  flow->request_run = runs ? now : time_point();
}

void owned_flows::SetAwaitsAnswer(owned_flow* flow, bool awaits_answer) {
  if (flow->awaits_answer == awaits_answer) return;
  flow->awaits_answer = awaits_answer;
  if (awaits_answer) {
    ++waiting_requests_;
  } else {
    --waiting_requests_;
  }
}

std::vector<owned_flow> owned_flows::ListExpired(const flow_limits& limits,
                                                 time_point now) const {
  std::vector<owned_flow> expired;
  for (const auto& [hash, flow] : flows_) {
    const duration idle = now - flow.last_segment;
    bool is_over = false;
    switch (flow.phase) {
      case flow_phase::kPending:
        is_over =
            idle >= (flow.answered ? kPendingTimeout : kUnansweredTimeout);
        break;
      case flow_phase::kClaimed:
      case flow_phase::kSuspect:
        is_over = idle >= limits.idle ||
                  (now - flow.opened >= limits.age && idle >= kAgedIdleTimeout);
        break;
      case flow_phase::kDropped:
        is_over = idle >= kDroppedTimeout;
        break;
      case flow_phase::kEnded:
        is_over = idle >= kEndedTimeout;
        break;
    }
    if (is_over) expired.push_back(flow);
  }
  return expired;
}

void owned_flows::UpdateLoad(time_point now) {
  if (now <= load_updated_) return;
  const double raw =
      static_cast<double>(waiting_requests_) * kWaitingLoad +
      static_cast<double>(open_flows_) * kOpenLoad * relative_service_time_;
  const double part = static_cast<double>((now - load_updated_).count()) /
                      static_cast<double>(duration(kLoadTimeConstant).count());
  load_ += (raw - load_) * -std::expm1(-part);
  load_updated_ = now;
}

}  // namespace tamaracklatch
