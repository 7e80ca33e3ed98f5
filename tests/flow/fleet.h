// A handful of routers and owners over a lossy message queue in virtual time,
// each with a view of its own age; it checks what must hold of every packet.
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

struct fleet_settings {
  std::uint64_t seed = 1;
  std::size_t routers = 3;
  std::uint32_t lost_percent = 3;
  std::uint32_t repeated_percent = 5;
  std::chrono::milliseconds longest_trip{40};  // each takes from 1 ms to this
  std::chrono::milliseconds longest_update{3000};  // of a view to a node
};

// What went against a promise; all stay 0.
struct broken_promises {
  std::uint32_t moved_flows = 0;      // delivered elsewhere than before
  std::uint32_t reset_flows = 0;      // established, owner alive, yet reset
  std::uint32_t wrong_service = 0;    // delivered to another service
  std::uint32_t opened_draining = 0;  // opened at a target that drains
  std::uint32_t hop_loops = 0;        // packets that ran into the hop limit
  std::uint32_t unreachable = 0;      // flows not reached in the end

  std::uint32_t Sum() const {
    return moved_flows + reset_flows + wrong_service + opened_draining +
           hop_loops + unreachable;
  }
};

std::string ToString(const broken_promises& broken);

// One flow of a caller.
struct fleet_flow {
  flow_key key;
  service_id service;
  std::optional<target_id> owner;  // where it was first delivered
  bool over = false;               // ended, or its owner was lost
  bool silent = false;  // the caller ended it; of a loss it does not know
  std::uint32_t delivered = 0;
};

class fleet {
 public:
  explicit fleet(const fleet_settings& settings);

  // Services 1 and 2 exist from the start, with the addresses 10.9.0.1 and
  // 10.9.0.2, port 80, over TCP and UDP.
  static constexpr std::uint64_t kServices = 2;

  // Changes of the configuration; each is a revision that every node learns
  // after a while of its own.
  target_id Join(service_id service, std::uint32_t capacity = 1);
  void Drain(target_id target);
  void Leave(target_id target);  // its flows, if any, are lost
  void SetCapacity(target_id target, std::uint32_t capacity);
  void SetWeightZero(target_id target);
  void RestartRouter(std::size_t router);
  void StopUpdates(std::size_t router);  // the router's view stays as it is

  // Traffic. `router` is where the fabric takes the packet.
  std::size_t OpenFlow(service_id service, ip_protocol protocol,
                       std::size_t router);
  void SendOn(std::size_t flow, std::size_t router);
  void EndFlow(std::size_t flow);
  void Answer(std::size_t flow);  // the target answers the caller

  void Run(std::chrono::milliseconds time);

  // Waits until all know the newest view, then sends a packet of each flow
  // through each router without loss; what does not arrive is unreachable.
  void CheckReachable();

  const broken_promises& broken() const { return broken_; }
  const std::vector<fleet_flow>& flows() const { return flows_; }
  std::vector<target_id> TargetsOf(service_id service, bool serving) const;
  std::size_t FlowsAt(target_id target) const;
  const flow_owner& OwnerOf(target_id target) const;
  random_source& random() { return random_; }
  std::uint32_t Pick(std::uint32_t below);

  // Lines of what happened since the last call, when kept.
  void KeepTrace() { keeps_trace_ = true; }
  std::string TakeTrace();
  void Note(const std::string& line);

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
    std::uint64_t start = 0;    // the router's start that it is for
    std::size_t revisions = 0;  // of a view
  };

  void Submit(view_change change);
  void Spread();
  cluster_view ViewAt(std::size_t revisions) const;
  void Schedule(std::chrono::milliseconds after, fleet_event event);
  void Handle(const fleet_event& event);
  void HandleMessage(const fleet_event& event);
  void Send(const endpoint& to, const envelope& what);
  void Route(std::size_t flow, std::size_t router, flow_opening opens);
  void Perform(target_node* node);
  void OnDelivered(const target_node& node, const deliver_packet& delivered);
  void OnReset(const flow_key& key);
  fleet_flow* FindFlow(const flow_key& key);
  target_node* At(const endpoint& where);
  std::chrono::milliseconds Between(std::int64_t low, std::int64_t high);

  fleet_settings settings_;
  random_source random_;
  time_point now_{std::chrono::seconds(1000)};
  std::uint64_t event_count_ = 0;
  std::map<std::pair<time_point, std::uint64_t>, fleet_event> events_;
  std::vector<revision_changes> log_;
  std::vector<router_node> routers_;
  std::vector<std::uint64_t> starts_;  // of each router
  std::map<target_id, target_node> targets_;
  std::vector<endpoint> free_endpoints_;
  std::uint32_t next_target_ = 0;
  std::vector<fleet_flow> flows_;
  std::map<std::pair<std::uint32_t, std::uint16_t>, std::size_t> flow_of_;
  broken_promises broken_;
  bool keeps_trace_ = false;
  std::string trace_;
};

}  // namespace tamaracklatch::test
