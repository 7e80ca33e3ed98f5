// A simulation, in virtual time, of a few routers and owners that exchange
// envelopes through a lossy message queue. Views reach each node with a
// different delay. It checks the invariants for every packet.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "tamaracklatch/core/random.h"
#include "tamaracklatch/flow/flow_owner.h"
#include "tamaracklatch/flow/flow_router.h"

namespace tamaracklatch::test {

// All random choices follow from `seed`.
struct fleet_settings {
  std::uint64_t seed = 1;
  std::size_t routers = 3;
  std::uint32_t loss_percent = 3;
  std::uint32_t duplicate_percent = 5;
  // Each message is delivered after 1 ms to max_network_delay, each view after
  // 1 ms to max_view_delay.
  std::chrono::milliseconds max_network_delay{40};
  std::chrono::milliseconds max_view_delay{3000};
};

// Counts of violated invariants; all must stay 0.
struct invariant_violations {
  std::uint32_t moved_flows = 0;      // packets delivered to another target
  std::uint32_t reset_flows = 0;      // established, owner alive, but reset
  std::uint32_t wrong_service = 0;    // packets delivered to another service
  std::uint32_t opened_draining = 0;  // flows opened at a draining target
  std::uint32_t hop_loops = 0;        // packets dropped at the hop limit
  std::uint32_t unreachable = 0;      // not delivered in CheckReachable

  std::uint32_t Sum() const {
    return moved_flows + reset_flows + wrong_service + opened_draining +
           hop_loops + unreachable;
  }
};

std::string ToString(const invariant_violations& violations);

// One flow of a caller, as the test expects it.
struct fleet_flow {
  flow_key key;
  service_id service;
  std::optional<target_id> owner;  // the target of the first delivery
  bool ended = false;              // ended, or its owner was lost
  // The caller ended it and sends nothing. The caller does not learn of a lost
  // owner and goes on sending.
  bool stopped_sending = false;
  std::uint32_t delivered = 0;  // packets
};

// Flows and routers are identified by their index.
class fleet {
 public:
  explicit fleet(const fleet_settings& settings);

  // Services 1 and 2 exist from the start, with the addresses 10.9.0.1 and
  // 10.9.0.2, port 80, over TCP and UDP.
  static constexpr std::uint64_t kServices = 2;

  // Configuration changes; each is a revision that reaches every node after a
  // random delay.
  target_id Join(service_id service, std::uint32_t capacity = 1);
  void Drain(target_id target);
  void Leave(target_id target);  // the flows that it still has are lost
  void SetCapacity(target_id target, std::uint32_t capacity);
  void SetWeightZero(target_id target);
  void RestartRouter(std::size_t router);
  void StopUpdates(std::size_t router);  // the router keeps its current view

  // Traffic. `router` is the router to which the fabric sends the packet.
  std::size_t OpenFlow(service_id service, ip_protocol protocol,
                       std::size_t router);
  void SendPacket(std::size_t flow, std::size_t router);
  void EndFlow(std::size_t flow);
  void Answer(std::size_t flow);  // the target answers the caller

  // Advances the virtual time by `time`.
  void Run(std::chrono::milliseconds time);

  // Waits until every node has the newest view, then sends a packet of each
  // flow through each router without loss. Flows whose packet does not arrive
  // count as unreachable.
  void CheckReachable();

  const invariant_violations& violations() const { return violations_; }
  const std::vector<fleet_flow>& flows() const { return flows_; }
  std::vector<target_id> TargetsOf(service_id service, bool serving) const;
  std::size_t FlowsAt(target_id target) const;
  const flow_owner& OwnerOf(target_id target) const;
  random_source& random() { return random_; }
  std::uint32_t Pick(std::uint32_t below);

  // The trace lines since the last call; empty unless EnableTrace was called.
  void EnableTrace() { trace_enabled_ = true; }
  std::string TakeTrace();
  void AppendTrace(const std::string& line);

 private:
  struct router_node {
    endpoint where;
    std::unique_ptr<flow_router> router;
    std::vector<owner_action> actions;
    std::size_t known = 0;  // revisions applied or scheduled
    bool updates = true;
  };
  struct target_node {
    target_record record;
    std::unique_ptr<flow_owner> owner;
    std::vector<owner_action> actions;
  };
  enum class event_kind { kMessage, kRouterView, kTargetView, kPull, kTick };
  struct fleet_event {
    event_kind kind = event_kind::kMessage;
    endpoint to;           // of a message
    std::string bytes;     // of a message
    std::size_t node = 0;  // router
    target_id target;
    std::uint64_t start = 0;    // of the router; ignored after a restart
    std::size_t revisions = 0;  // number of revisions in the view
  };

  void Submit(view_change change);
  void ScheduleViews();
  cluster_view ViewAt(std::size_t revisions) const;
  void Schedule(std::chrono::milliseconds after, fleet_event event);
  void Handle(const fleet_event& event);
  void HandleMessage(const fleet_event& event);
  void Send(const endpoint& to, const envelope& message);
  void Route(std::size_t flow, std::size_t router, flow_opening opens);
  void Perform(target_node* node);
  void OnDelivered(const target_node& node, const deliver_packet& delivered);
  void OnReset(const flow_key& key);
  fleet_flow* FindFlow(const flow_key& key);
  target_node* FindTarget(const endpoint& where);
  std::chrono::milliseconds Between(std::int64_t low, std::int64_t high);

  fleet_settings settings_;
  random_source random_;
  time_point now_{std::chrono::seconds(1000)};
  std::uint64_t event_count_ = 0;
  std::map<std::pair<time_point, std::uint64_t>, fleet_event> events_;
  std::vector<revision_changes> log_;
  std::vector<router_node> routers_;
  std::vector<std::uint64_t> starts_;  // number of starts of each router
  std::map<target_id, target_node> targets_;
  std::vector<endpoint> free_endpoints_;  // of removed targets, for reuse
  std::uint32_t next_target_ = 0;
  std::vector<fleet_flow> flows_;
  std::map<std::pair<std::uint32_t, std::uint16_t>, std::size_t> flow_of_;
  invariant_violations violations_;
  bool trace_enabled_ = false;
  std::string trace_;
};

}  // namespace tamaracklatch::test
