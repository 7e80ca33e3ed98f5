// The flows that one target holds, or may hold, and the load that they make.
#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "tamaracklatch/core/time.h"
#include "tamaracklatch/flow/packet.h"

namespace tamaracklatch {

enum class flow_phase : std::uint8_t {
  kPending = 0,  // the target was handed the opening
  kClaimed = 1,  // the caller took the target's answer
  kDropped = 2,  // the caller took another target's answer
  kEnded = 3,    // both ends have finished, or one has reset it
  kDoubted = 4,  // claimed, but the target has started again since
};

struct owned_flow {
  flow_key key;
  std::uint64_t hash = 0;  // HashFlow of the key
  flow_phase phase = flow_phase::kPending;
  bool answered = false;  // the target has sent; `first` and `end` are set
  bool caller_finished = false;
  bool target_finished = false;
  bool waits = false;            // the caller has sent, the target not since
  bool caller_sent = false;      // `caller_end` is set
  std::uint8_t handed = 0;       // openings handed to the target, less returned
  std::uint32_t first = 0;       // what the target's sequence starts from
  std::uint32_t end = 0;         // past the last byte that the target sent
  std::uint32_t caller_end = 0;  // past the last byte of the caller
  std::uint64_t told = 0;        // hash of the balancer told last
  time_point opened;
  time_point active;  // of the last segment

  bool IsOpen() const {
    return phase == flow_phase::kPending || phase == flow_phase::kClaimed;
  }
  // Whether the number can acknowledge what the target sent.
  bool Acknowledges(std::uint32_t number) const;
};

// After which time without a segment a flow is forgotten.
struct flow_limits {
  duration idle{0};  // of a claimed one
  duration age{0};   // of a claimed one, counted from its opening
};

class owned_flows {
 public:
  // Bounded to twice `max_open`, with those that were dropped or ended.
  owned_flows(std::size_t max_open, time_point now);

  // Null where the flow is not known. Valid until the next change.
  owned_flow* Find(const flow_key& key, std::uint64_t hash);
  // Null where there is no room. The flow must not be known.
  owned_flow* Add(const flow_key& key, std::uint64_t hash, time_point now);
  void Erase(std::uint64_t hash);
  // The target has started again: what it held is lost, except what it took
  // before its first report. What it sends tells which.
  void DoubtAll();

  // Takes in what the target was handed, or what it sent.
  void OnDelivered(owned_flow* flow, const tcp_segment& tcp, time_point now);
  void OnSent(owned_flow* flow, const tcp_segment& tcp, time_point now);
  void SetPhase(owned_flow* flow, flow_phase phase);

  // Those whose time is over.
  std::vector<owned_flow> ListExpired(const flow_limits& limits,
                                      time_point now) const;

  // Smooths the load up to `now`; to be called before anything changes.
  void Advance(time_point now);

  std::size_t open() const { return open_; }
  std::size_t size() const { return flows_.size(); }
  std::size_t max_open() const { return max_open_; }
  // Requests that the target has and has not begun to answer.
  std::size_t waiting() const { return waiting_; }
  std::uint32_t load() const { return static_cast<std::uint32_t>(load_); }

 private:
  void SetWaits(owned_flow* flow, bool waits);
  void EndIfDone(owned_flow* flow, const tcp_segment& tcp);

  std::unordered_map<std::uint64_t, owned_flow> flows_;
  std::size_t max_open_;
  std::size_t open_ = 0;     // of flows_, those that IsOpen
  std::size_t waiting_ = 0;  // of flows_, those that wait
  double load_ = 0.0;        // in 1/256 of a slot, smoothed
  time_point advanced_;
};

}  // namespace tamaracklatch
