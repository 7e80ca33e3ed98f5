// The table of flows that one target holds or may hold, and the load that they
// cause. Used by segment_owner.
#pragma once

#include <array>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "steering/service_time_estimator.h"
#include "steering/target_directory.h"
#include "tamaracklatch/core/time.h"
#include "tamaracklatch/flow/packet.h"

namespace tamaracklatch {

enum class flow_phase : std::uint8_t {
  kPending = 0,  // the opening was delivered to the target
  kClaimed = 1,  // the caller accepted the target's answer
  kDropped = 2,  // the caller accepted another target's answer
  kEnded = 3,    // both ends sent a FIN, or one end sent a reset
  kSuspect = 4,  // claimed, but the target has restarted since
};

struct owned_flow {
  flow_key key;
  std::uint64_t hash = 0;  // HashFlow of the key
  flow_phase phase = flow_phase::kPending;
  // The target has sent a segment; `answer_start` and `answer_end` are set.
  bool answered = false;
  bool caller_finished = false;         // the caller sent a FIN
  bool target_finished = false;         // the target sent a FIN
  bool awaits_answer = false;           // the caller sent data, the target none
                                        // since
  bool caller_sent = false;             // `caller_end` is set
  std::uint8_t delivered_openings = 0;  // copies delivered and not returned
  // Sequence numbers: the first byte of the target's answer, the one past the
  // last byte that the target sent, and the one past the caller's last byte.
  std::uint32_t answer_start = 0;
  std::uint32_t answer_end = 0;
  std::uint32_t caller_end = 0;
  std::uint64_t hinted_balancer = 0;  // hash of the last one sent an owner hint
  time_point opened;
  // When the target was first known to hold the flow, by the caller's
  // acknowledgment or a later segment of the target; set unless pending.
  time_point claimed;
  time_point last_segment;  // of either end
  // When the request that awaits an answer was delivered, if the target runs it
  // at once; else time_point().
  time_point request_run;
  // The last check whether it must be registered elsewhere, and by target_index
  // where it then was.
  time_point registered;
  std::array<target_index, kSearchHead> registrars{
      kNoTargetIndex, kNoTargetIndex, kNoTargetIndex};

  bool IsOpen() const {
    return phase == flow_phase::kPending || phase == flow_phase::kClaimed;
  }
  // Whether the acknowledgment number is in the range that the target sent.
  bool Acknowledges(std::uint32_t number) const;
};

// When claimed and suspect flows expire.
struct flow_limits {
  duration idle{0};  // without a segment
  duration age{0};   // since the opening; then a short idle time is enough
};

class owned_flows {
 public:
  // Holds at most twice `max_open` flows, including dropped and ended ones. The
  // caller enforces `max_open` itself.
  owned_flows(std::size_t max_open, time_point now);

  // Null if the flow is not in the table. Valid until the flow is erased.
  owned_flow* Find(const flow_key& key, std::uint64_t hash);
  // Adds a pending flow. Null if the table is full or has a flow of that hash.
  owned_flow* Add(const flow_key& key, std::uint64_t hash, time_point now);
  void Erase(std::uint64_t hash);
  // Marks all claimed flows as suspect because the target has restarted. It has
  // lost them, except those that it accepted between its restart and its first
  // report; a segment that the target sends confirms such a flow. Discards the
  // estimate of the service time.
  void MarkAllSuspect();

  // Records a segment delivered to the target.
  void OnDelivered(owned_flow* flow, const tcp_segment& tcp, time_point now);
  // Records a segment sent by the target.
  void OnSent(owned_flow* flow, const tcp_segment& tcp, time_point now);
  void SetPhase(owned_flow* flow, flow_phase phase);
  // Sets a pending flow to claimed.
  void Claim(owned_flow* flow, time_point now);

  // Copies of the flows whose timeout has passed.
  std::vector<owned_flow> ListExpired(const flow_limits& limits,
                                      time_point now) const;

  // The first flows, at most `most`, for which `predicate` is true. Valid until
  // a flow is added or erased.
  template <typename Predicate>
  std::vector<owned_flow*> ListIf(Predicate predicate, std::size_t most) {
    std::vector<owned_flow*> listed;
    for (auto& [hash, flow] : flows_) {
      if (listed.size() == most) break;
      if (predicate(flow)) listed.push_back(&flow);
    }
    return listed;
  }

  // Requests that the target runs at a time, and
  // until when it runs them slowly. Requests delivered until then do not count
  // for the service time, since cold targets are compared by a factor.
  void SetCapacity(std::uint32_t slots, time_point cold_until) {
    slots_ = slots;
    cold_until_ = cold_until;
  }
  // Of the target, as in directory_target. Call UpdateLoad before.
  void SetRelativeServiceTime(double relative) {
    relative_service_time_ = relative;
  }

  // Advances the smoothed load to `now`. Call before each change of the flows,
  // since the current counts apply to the whole time since the last call.
  void UpdateLoad(time_point now);

  std::size_t open_flows() const { return open_flows_; }
  std::size_t size() const { return flows_.size(); }
  std::size_t max_open() const { return max_open_; }
  // Requests that the target has received and not begun to answer.
  std::size_t waiting_requests() const { return waiting_requests_; }
  const service_time_estimator& service_time() const { return service_time_; }
  // In 1/256 of a slot, smoothed.
  std::uint32_t load() const { return static_cast<std::uint32_t>(load_); }

 private:
  void SetAwaitsAnswer(owned_flow* flow, bool awaits_answer);
  void MeasureRequest(owned_flow* flow, bool is_next, time_point now);
  void EndIfFinished(owned_flow* flow, const tcp_segment& tcp);

  std::unordered_map<std::uint64_t, owned_flow> flows_;  // by hash
  std::size_t max_open_;
  // Invariants: the flows for which IsOpen() and `awaits_answer` hold.
  std::size_t open_flows_ = 0;
  std::size_t waiting_requests_ = 0;
  std::uint32_t slots_ = 1;
  time_point cold_until_;
  service_time_estimator service_time_;
  double relative_service_time_ = 1.0;
  double load_ = 0.0;        // in 1/256 of a slot, smoothed
  time_point load_updated_;  // last UpdateLoad
};

}  // namespace tamaracklatch
