// The packet decisions of a target daemon: whether a packet belongs to a flow
// of this target, is forwarded to another possible owner, opens a new flow, is
// held until a newer view arrives, or is reset; and when flows are closed. It
// is the authoritative source for the flows of its target and performs no input
// or output: each call appends actions that the daemon carries out.
//
//   flow_owner owner(settings, now);
//   std::vector<owner_action> actions;
//   owner.Reset(view, now, &actions);             // then Apply(step, ...)
//   owner.OnEnvelope(received, now, &actions);
//   owner.Tick(now, &actions);                    // every kTickInterval
//   for (const owner_action& each : actions) std::visit(performer, each);
//   actions.clear();
//
// Views of bytes in actions are valid until the next call of the owner.
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

// Maximum time between calls of flow_owner::Tick().
inline constexpr std::chrono::milliseconds kTickInterval{250};

// A stuck flow is closed this much before the stuck_limit of its service
// document, so that the coarse ticks never close it after the limit.
inline constexpr std::chrono::milliseconds kStuckMargin{500};

// Settings of one flow_owner. `service` and `self` must be set.
struct flow_owner_settings {
  service_id service;
  target_id self;       // the first id; see flow_owner::self()
  incarnation started;  // of this daemon
  endpoint packets;     // where this daemon receives envelopes
  std::size_t max_flows = std::size_t{1} << 20U;  // no flow opens beyond it
  std::chrono::milliseconds hold_limit{300};  // longest time a packet is held
  std::size_t max_held = 256;  // packets held at once; more are dropped
  // Time between unchanged held_buckets reports, before the addition of
  // kReportSpacingPerTarget for each target of the service.
  std::chrono::seconds report_interval{10};
};

// Action: deliver the bytes to the target.
struct deliver_packet {
  flow_key key;
  std::string_view bytes;
  bool opened = false;  // this packet opened the flow
};

// Action: encode and send an envelope, such as a forwarded packet, an answer, a
// hint, an invalidation, a reset or a report.
struct send_envelope {
  endpoint to;
  envelope message;
};

// Action: close the flow on the target's side, with the reset if there is one.
struct close_towards_target {
  flow_key key;
  result_code reason = result_code::kFlowEnded;
  // The IP packet with a TCP reset to deliver, for encapsulated TCP; else
  // empty.
  std::string reset;
};

// Action: close the flow on the caller's side by resetting its relayed
// connection. A flow that is not relayed needs nothing here: a separate
// send_envelope action carries a kReset envelope to the balancer, with the IP
// packet for the caller as payload if the flow is encapsulated TCP.
struct close_towards_caller {
  flow_key key;
  result_code reason = result_code::kFlowEnded;
};

// Action: fetch the newest view, at least this revision, from the control plane
// or from peers; then call Apply or Reset, and OnViewConfirmed.
struct pull_view {
  revision at_least;
};

// Action: count or log a dropped packet; nothing is sent for it.
struct drop_packet {
  result_code reason = result_code::kOk;
};

// Action: accept the connection that the balancer asked to relay.
struct accept_relay {
  flow_key key;
};

// Action: redirect the balancer's relay request to another target daemon, which
// is to receive this envelope.
struct redirect_relay {
  // The other daemon's TCP endpoint. Port 0: not in this view; the balancer
  // looks it up in its own.
  endpoint relay;
  envelope message;
};

// Action: refuse the connection that the balancer asked to relay.
struct refuse_relay {
  result_code reason = result_code::kOk;
};

// What the target daemon must do after a call of flow_owner, in order.
using owner_action =
    std::variant<deliver_packet, send_envelope, close_towards_target,
                 close_towards_caller, pull_view, drop_packet, accept_relay,
                 redirect_relay, refuse_relay>;

// Direction of data in a relayed connection.
enum class flow_direction : std::uint8_t { kToTarget = 0, kToCaller = 1 };

// Progress of one direction of a relayed connection since the last report of
// the relay.
struct relay_progress {
  flow_direction direction = flow_direction::kToTarget;
  bool outstanding = false;  // bytes are queued for the receiving end
  bool advanced = false;     // the receiving end accepted bytes since then
};

// The flows of one target and the decisions on its packets, used by the target
// daemon. Not thread-safe.
class flow_owner {
 public:
  // `listener`, if not null, receives the events of flows and dropped packets
  // and must outlive the owner.
  flow_owner(const flow_owner_settings& settings, time_point now,
             event_listener* listener = nullptr);
  ~flow_owner();

  // Replaces the view, or applies one step to it, as in placement_table. Sends
  // a report if the service changed and decides again on the held packets.
  // Reset ignores a view older than the current one.
  void Reset(const cluster_view& view, time_point now,
             std::vector<owner_action>* actions);
  void Apply(const revision_changes& step, time_point now,
             std::vector<owner_action>* actions);
  // Called with the newest revision that the control plane or enough peers
  // reported in reply to a pull_view action. If this view is older, another
  // pull_view follows; else packets that arrived before the pull may be reset.
  void OnViewConfirmed(revision newest, time_point now,
                       std::vector<owner_action>* actions);
  // The revision of the current view.
  revision at() const { return table_.at(); }
  // The id of this target. A target that was removed and joins again under the
  // same incarnation gets another one, which the view brings.
  target_id self() const { return settings_.self; }

  // Handles a packet or report from a balancer or another target daemon.
  void OnEnvelope(const envelope& message, time_point now,
                  std::vector<owner_action>* actions);

  // Sends a datagram of the target to the caller, through the balancer of the
  // flow's latest packet. Dropped with kFlowUnknown if the flow is not here.
  void OnAnswer(const flow_key& key, std::string_view bytes, time_point now,
                std::vector<owner_action>* actions);

  // Called when a balancer asks to relay a connection; `message` has opens ==
  // kYes. Appends exactly one of accept_relay, redirect_relay and refuse_relay.
  void OnRelayOpen(const envelope& message, time_point now,
                   std::vector<owner_action>* actions);
  // Called while an accepted connection is relayed; ignored if the flow is not
  // here.
  void OnRelayProgress(const flow_key& key, const relay_progress& progress,
                       time_point now);

  // Removes a flow that one end has ended or whose relayed connection closed.
  void OnFlowEnded(const flow_key& key);

  // Opens no flows from now on, whatever the view says. After the drain_limit
  // of the service document the remaining flows are closed.
  void BeginDrain(time_point now);
  bool draining() const { return draining_; }

  // Called at least every kTickInterval. Closes idle and stuck flows, and the
  // remaining flows after the drain limit; decides finally on packets held for
  // hold_limit; repeats the report.
  void Tick(time_point now, std::vector<owner_action>* actions);

  // Number of flows, including idle ones that have not expired yet.
  std::size_t flow_count() const;
  bool HasFlow(const flow_key& key) const;
  const flow_counters& counters() const { return counters_; }
  const placement_table& table() const { return table_; }
  // Memory of the flows, held packets and their bookkeeping in bytes, without
  // the placement table and the payloads of held packets.
  std::size_t MemoryBytes() const;

 private:
  enum class decision_kind : std::uint8_t {
    kOpen,
    kForward,
    kHold,
    kReset,
    kDrop
  };

  // What happens to a packet of a flow that this target does not have.
  struct decision {
    decision_kind kind = decision_kind::kDrop;
    std::uint8_t next = kNoCandidate;       // kForward: index of the receiver
    result_code reason = result_code::kOk;  // kDrop: the reason
  };

  // A packet held until a newer view arrives or the view is confirmed.
  // `message.payload` refers to `bytes`.
  struct held_packet {
    envelope message;
    std::string bytes;
    time_point arrived;
  };

  // A recently forwarded packet that may open a flow. Several packets of one
  // new flow can start several searches; to have them open the flow at one
  // target only, the search whose arbiter has the lowest id continues and the
  // others are redirected to it. While a target has such an entry, it does not
  // open the flow before the search has ended.
  struct forwarded_opening {
    std::uint64_t hash = 0;
    time_point at;
    target_id arbiter;  // of the search; sequence 0: the entry is empty
    target_id chosen;   // sent must_open; sequence 0: not decided here
  };

  // State of one search for a flow's owner that does not travel in the
  // envelope.
  struct flow_search {
    std::uint64_t hash = 0;      // HashFlow of the packet's key
    time_point arrived;          // of the packet at this target
    bool final_attempt = false;  // the packet must not be held again
    bool relayed = false;        // a new connection, which no earlier owner has
  };

  void OnPacket(const envelope& message, time_point now,
                std::vector<owner_action>* actions);
  void OnReport(const envelope& message, time_point now,
                std::vector<owner_action>* actions);
  // Whether the packet is addressed to this service, target and incarnation. If
  // not, drops it and sends the balancer a kInvalidate envelope.
  bool CheckAddressee(const envelope& message,
                      std::vector<owner_action>* actions);

  // Decides on a packet whose flow is not in flows_, and records the visit in
  // its envelope.
  decision Decide(const flow_search& search, envelope* message, time_point now);
  // Decides on a packet that can't open a flow: forwards it until all
  // candidates are visited, then holds it, or resets it once the view is
  // confirmed.
  decision DecideEstablished(const flow_search& search,
                             const envelope& message) const;
  // Decides on a packet that may open a flow: here, at the least loaded
  // candidate after a search, or where another search of the flow leads.
  decision DecideOpening(const flow_search& search, envelope* message,
                         std::uint8_t self, time_point now);
  // Redirects the packet to the earlier search if that one takes precedence.
  // Nothing if this search continues.
  std::optional<decision> DeferToEarlierSearch(const forwarded_opening& earlier,
                                               envelope* message) const;
  // Called when all candidates are visited. If this target decides, the flow is
  // opened at the best candidate, or the packet dropped with kNoOpenTarget if
  // there is none; else the packet is forwarded to the arbiter.
  decision EndSearch(envelope* message, std::uint8_t self, bool decides) const;
  // Makes this target the best candidate if it can open the flow and has less
  // load than the best one so far.
  void UpdateBestCandidate(const flow_search& search, envelope* message,
                           std::uint8_t self);
  // Adds the current candidates and possible owners of this view to the list.
  void AddPossibleOwners(const placed_service& service,
                         const flow_search& search, envelope* message,
                         time_point now) const;
  // Whether the flow's bucket has not changed for kSettleTime.
  bool IsBucketSettled(const flow_search& search, time_point now) const;
  // Adds an observation to the average peer_load_.
  void UpdatePeerLoad(std::uint32_t load);
  // Whether this target may open flows: it is not draining, has fewer than
  // max_flows and is open in the view.
  bool CanOpen() const;
  // Whether this target is one of the two current candidates of the flow's
  // bucket.
  bool IsCurrentCandidate(const envelope& message, std::uint64_t hash) const;
  // Flows here divided by this target's weight, in units of kLoadUnit.
  std::uint32_t Load() const;

  // Appends the actions that follow from a decision.
  void Perform(const decision& decided, const flow_search& search,
               envelope* message, time_point now,
               std::vector<owner_action>* actions);
  void OpenFlow(const envelope& message, std::uint64_t hash, time_point now,
                std::vector<owner_action>* actions);
  void Deliver(std::uint32_t slot, const envelope& message, bool opened,
               time_point now, std::vector<owner_action>* actions);
  // Updates the progress of a flow from a packet of its caller. A TCP RST
  // removes the flow.
  void TrackCaller(std::uint32_t slot, const envelope& message, time_point now);
  void TrackSegment(std::uint32_t slot, const tcp_segment& segment,
                    time_point now);
  void SendHint(const envelope& message, std::vector<owner_action>* actions);
  // Holds a copy of the packet and requests a newer view; drops the packet with
  // kHoldLimit if max_held packets are held.
  void HoldPacket(const envelope& message, time_point arrived, time_point now,
                  std::vector<owner_action>* actions);
  // Asks for a newer view unless such a request is pending.
  void RequestView(revision at_least, time_point now,
                   std::vector<owner_action>* actions);
  // Decides again on all held packets; those held for hold_limit are not held
  // again.
  void RetryHeldPackets(time_point now, std::vector<owner_action>* actions);
  void DropPacket(result_code reason, const envelope& message,
                  std::vector<owner_action>* actions);

  // Takes the id under which the view lists this incarnation.
  void UpdateSelf(const placed_service& service);
  // Called when the view of the service has changed.
  void OnViewChanged(time_point now, std::vector<owner_action>* actions);
  // Recomputes candidate_buckets_ from the current placement.
  void ListCandidateBuckets();
  // Recomputes flows_by_bucket_ from all flows.
  void RecountFlowsByBucket();
  // Encodes the held buckets and sends them to all other targets.
  void SendReport(time_point now, std::vector<owner_action>* actions);
  void SendReportTo(const placed_target& peer,
                    std::vector<owner_action>* actions);
  void EncodeReport();
  // Updates flows_by_bucket_ by one flow; a report becomes due if the set of
  // reported buckets changes.
  void AdjustBucketCount(std::uint64_t hash, int change);

  // Closes the flow if it is idle or stuck, else schedules its next check.
  void Expire(std::uint32_t slot, time_point now,
              std::vector<owner_action>* actions);
  void CloseBothEnds(std::uint32_t slot, result_code reason,
                     std::vector<owner_action>* actions);
  void RemoveFlow(std::uint32_t slot, result_code reason);
  // Closes flows after the drain limit, at most kDrainSweepSlots slots per
  // call.
  void CloseDrainedFlows(time_point now, std::vector<owner_action>* actions);
  // Starts the stuck timer of one direction unless it is running.
  void StartStuckTimer(std::uint32_t slot, flow_direction direction,
                       time_point now);

  // The entry of the flow, or null if there is none or it is older than
  // kForwardedOpeningLifetime.
  forwarded_opening* FindForwardedOpening(std::uint64_t hash, time_point now);
  void RecordForwardedOpening(const flow_search& search,
                              const envelope& message, time_point now);
  void ReportEvent(event_id id, result_code code, std::uint64_t hash,
                   std::string detail) const;

  flow_owner_settings settings_;
  event_listener* listener_;
  placement_table table_;
  std::unique_ptr<class flow_table> flows_;
  flow_counters counters_;

  bool draining_ = false;
  time_point drain_started_at_;
  std::uint32_t sweep_slot_ = 0;  // next slot that CloseDrainedFlows checks

  // Moving average of the other targets' load, from the envelopes that they
  // forward; in the units of Load().
  std::uint32_t peer_load_ = 0;
  // Set-associative: kForwardedOpeningWays entries for each set of hashes.
  std::vector<forwarded_opening> forwarded_openings_;

  std::deque<held_packet> held_;
  std::deque<held_packet> released_;  // their bytes may be in use by actions
  bool pull_pending_ = false;  // a pull_view of pull_requested_at_ is pending
  time_point pull_requested_at_;
  // Packets that arrived up to this time were decided on with a view confirmed
  // to be the newest, so an unknown flow among them can be reset.
  time_point confirmed_before_;

  // Both by bucket of the current placement: the number of flows here, and one
  // bit for each bucket of which this target is a candidate.
  std::vector<std::uint32_t> flows_by_bucket_;
  std::vector<std::uint64_t> candidate_buckets_;
  bool report_due_ = false;  // the held buckets changed since the last report
  time_point reported_at_;
  std::uint64_t report_count_ = 0;  // sequence number of the last report
  std::string report_bytes_;        // the last report, encoded
};

}  // namespace tamaracklatch
