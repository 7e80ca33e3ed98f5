// The target daemon's decisions on packets: which flows are its own, where the
// others may be, what opens here, what is held, reset or closed. It holds the
// truth about its flows.
//
//   flow_owner owner(settings, now);
//   std::vector<owner_action> actions;
//   owner.Reset(view, now, &actions);             // then Apply(step, ...)
//   owner.OnEnvelope(received, now, &actions);
//   owner.Tick(now, &actions);                    // at least each kTickEvery
//   for (const owner_action& each : actions) std::visit(performer, each);
//   actions.clear();
//
// Views of bytes in actions last until the next call.
#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "tamaracklatch/control/cluster_view.h"
#include "tamaracklatch/core/event.h"
#include "tamaracklatch/core/time.h"
#include "tamaracklatch/flow/envelope.h"
#include "tamaracklatch/flow/flow_counters.h"
#include "tamaracklatch/flow/packet.h"
#include "tamaracklatch/placement/placement_table.h"

namespace tamaracklatch {

// Tick() is called at least this often.
inline constexpr std::chrono::milliseconds kTickEvery{250};

// A stuck flow is closed at its document's stuck_limit less this, so that the
// coarse ticks never make it later than the limit.
inline constexpr std::chrono::milliseconds kStuckMargin{500};

struct flow_owner_settings {
  service_id service;
  target_id self;
  incarnation started;
  endpoint packets;  // where this daemon receives envelopes
  std::size_t max_flows = std::size_t{1} << 20U;
  std::chrono::milliseconds hold_limit{300};  // of a packet that waits
  std::size_t max_held = 256;                 // packets that wait at once
  std::chrono::seconds report_every{10};      // repeats of the held buckets
};

// Hand the bytes to the target.
struct deliver_packet {
  flow_key key;
  std::string_view bytes;
  bool opened = false;  // the flow begins with it
};

// Encode and send: a packet passed on, an answer, a hint, a reset, a report.
struct send_envelope {
  endpoint to;
  envelope what;
};

// End the target's side of the flow, by a reset where it has one.
struct close_towards_target {
  flow_key key;
  result_code why = result_code::kFlowEnded;
  std::string reset;  // for encapsulated TCP the IP packet to deliver, or empty
};

// End the caller's side: reset a relayed connection; for packets a kReset
// envelope to the balancer comes as an action of its own, with the IP packet
// for the caller as payload where the flow is encapsulated TCP.
struct close_towards_caller {
  flow_key key;
  result_code why = result_code::kFlowEnded;
};

// Ask the control plane or peers for the newest view, at least this one, then
// call Apply or Reset, and OnViewConfirmed.
struct pull_view {
  revision at_least;
};

// The packet went nowhere.
struct drop_packet {
  result_code why = result_code::kOk;
};

// Take the relayed connection.
struct accept_relay {
  flow_key key;
};

// Tell the balancer to try this target daemon next, with the envelope.
struct pass_relay {
  endpoint relay;  // port 0: not known here, ask the balancer's own view
  envelope what;
};

// Tell the balancer that the connection can't be taken.
struct refuse_relay {
  result_code why = result_code::kOk;
};

using owner_action =
    std::variant<deliver_packet, send_envelope, close_towards_target,
                 close_towards_caller, pull_view, drop_packet, accept_relay,
                 pass_relay, refuse_relay>;

enum class flow_direction : std::uint8_t { kToTarget = 0, kToCaller = 1 };

// What is known of one direction of a relayed connection.
struct relay_progress {
  flow_direction direction = flow_direction::kToTarget;
  bool outstanding = false;  // bytes wait for the far end
  bool advanced = false;     // the far end took some since the last report
};

// One target daemon's flows. Not safe for use by several threads.
class flow_owner {
 public:
  flow_owner(const flow_owner_settings& settings, time_point now,
             event_listener* listener = nullptr);
  ~flow_owner();

  // The view, as in placement_table.
  void Reset(const cluster_view& view, time_point now,
             std::vector<owner_action>* actions);
  void Apply(const revision_changes& step, time_point now,
             std::vector<owner_action>* actions);
  // The newest revision, as the control plane or enough peers said after the
  // pull that an action asked for.
  void OnViewConfirmed(revision newest, time_point now,
                       std::vector<owner_action>* actions);
  revision at() const { return table_.at(); }

  // A packet or report from a balancer or another target daemon.
  void OnEnvelope(const envelope& what, time_point now,
                  std::vector<owner_action>* actions);

  // A datagram from the target for the caller of a flow.
  void OnAnswer(const flow_key& key, std::string_view bytes, time_point now,
                std::vector<owner_action>* actions);

  // A balancer asks to relay a connection; `what` has opens == kYes. Gives
  // exactly one of accept_relay, pass_relay and refuse_relay.
  void OnRelayOpen(const envelope& what, time_point now,
                   std::vector<owner_action>* actions);
  void OnRelayProgress(const flow_key& key, const relay_progress& progress,
                       time_point now);

  // One end has ended the flow, or the relayed connection is over.
  void OnFlowEnded(const flow_key& key);

  // From now on nothing opens here, whatever a view says.
  void BeginDrain(time_point now);
  bool draining() const { return draining_; }

  // Expires what is due: held packets, idle, stuck and drained flows; repeats
  // the report.
  void Tick(time_point now, std::vector<owner_action>* actions);

  std::size_t flow_count() const;
  bool Knows(const flow_key& key) const;
  const flow_counters& counters() const { return counters_; }
  const placement_table& table() const { return table_; }
  // Memory of flows, held packets and the parts that come with them, in bytes;
  // without the placements.
  std::size_t MemoryBytes() const;

 private:
  enum class verdict : std::uint8_t { kOpen, kForward, kHold, kReset, kDrop };

  // What happens to a packet of a flow that is not known here.
  struct decision {
    verdict what = verdict::kDrop;
    std::uint8_t next = kNoCandidate;    // of kForward
    result_code why = result_code::kOk;  // of kDrop
  };

  // A packet that waits for a view. `what.payload` refers to `bytes`.
  struct held_packet {
    envelope what;
    std::string bytes;
    time_point arrived;
  };

  // An opening packet of an unknown flow that passed here a moment ago. While
  // it is remembered, nothing else opens that flow here: of several searches
  // the one with the lowest arbiter goes on, the others follow it.
  struct passed_packet {
    std::uint64_t hash = 0;
    time_point at;
    target_id arbiter;  // sequence 0: the entry is empty
    target_id chosen;   // told to open; sequence 0: not decided here
  };

  // The packet that a search is for, besides its envelope.
  struct search {
    std::uint64_t hash = 0;
    time_point arrived;
    bool last_chance = false;  // no holding any more
    bool relayed = false;      // a new connection: no earlier owner can know it
  };

  void OnPacket(const envelope& what, time_point now,
                std::vector<owner_action>* actions);
  void OnReport(const envelope& what, time_point now,
                std::vector<owner_action>* actions);
  bool IsOurs(const envelope& what, std::vector<owner_action>* actions);

  decision Decide(const search& wanted, envelope* what, time_point now);
  decision DecideEstablished(const search& wanted, const envelope& what) const;
  decision DecideOpening(const search& wanted, envelope* what,
                         std::uint8_t self, time_point now);
  std::optional<decision> FollowEarlier(const passed_packet& earlier,
                                        envelope* what) const;
  decision EndSearch(envelope* what, std::uint8_t self, bool decides) const;
  void Consider(const search& wanted, envelope* what, std::uint8_t self);
  void AddKnown(const placed_service& service, const search& wanted,
                envelope* what, time_point now) const;
  bool IsSettledHere(const search& wanted, time_point now) const;
  void LearnLoad(std::uint32_t load);
  bool CanOpen() const;
  bool IsCurrentCandidate(const envelope& what, std::uint64_t hash) const;
  std::uint32_t Load() const;

  void Perform(const decision& decided, const search& wanted, envelope* what,
               time_point now, std::vector<owner_action>* actions);
  void Open(const envelope& what, std::uint64_t hash, time_point now,
            std::vector<owner_action>* actions);
  void Deliver(std::uint32_t slot, const envelope& what, bool opened,
               time_point now, std::vector<owner_action>* actions);
  void TrackCaller(std::uint32_t slot, const envelope& what, time_point now);
  void TrackSegment(std::uint32_t slot, const tcp_segment& segment,
                    time_point now);
  void Hint(const envelope& what, std::vector<owner_action>* actions);
  void Hold(const envelope& what, time_point arrived, time_point now,
            std::vector<owner_action>* actions);
  void Pull(revision at_least, time_point now,
            std::vector<owner_action>* actions);
  void Retry(time_point now, std::vector<owner_action>* actions);
  void Drop(result_code why, const envelope& what,
            std::vector<owner_action>* actions);

  void AfterView(time_point now, std::vector<owner_action>* actions);
  void ListOwnBuckets();
  void CountAllFlows();
  void SendReport(time_point now, std::vector<owner_action>* actions);
  void SendReportTo(const placed_target& peer,
                    std::vector<owner_action>* actions);
  void EncodeReport();
  void CountHeld(std::uint64_t hash, int change);

  void Expire(std::uint32_t slot, time_point now,
              std::vector<owner_action>* actions);
  void CloseBothEnds(std::uint32_t slot, result_code why,
                     std::vector<owner_action>* actions);
  void Forget(std::uint32_t slot, result_code why);
  void SweepDrained(time_point now, std::vector<owner_action>* actions);
  void StartWaiting(std::uint32_t slot, flow_direction direction,
                    time_point now);

  passed_packet* FindPassed(std::uint64_t hash, time_point now);
  void RememberPassed(const search& wanted, const envelope& what,
                      time_point now);
  void Tell(event_id id, result_code code, std::uint64_t hash,
            std::string detail) const;

  flow_owner_settings settings_;
  event_listener* listener_;
  placement_table table_;
  std::unique_ptr<class flow_table> flows_;
  flow_counters counters_;

  bool draining_ = false;
  time_point drained_at_;
  std::uint32_t sweep_hand_ = 0;

  // Estimate of the other targets' load, from the envelopes that they pass.
  std::uint32_t peer_load_ = 0;
  std::vector<passed_packet> passed_;

  std::deque<held_packet> held_;
  std::deque<held_packet> released_;  // whose bytes actions may refer to
  bool pulling_ = false;              // a pull was asked for at pulled_at_
  time_point pulled_at_;
  // Packets that arrived before this have seen the newest view.
  time_point confirmed_before_;

  // Flows by bucket, and as bits the buckets of which this is a candidate, both
  // of the current placement.
  std::vector<std::uint32_t> held_flows_;
  std::vector<std::uint64_t> own_buckets_;
  bool report_due_ = false;
  time_point reported_at_;
  std::uint64_t report_count_ = 0;
  std::string report_bytes_;
};

}  // namespace tamaracklatch
