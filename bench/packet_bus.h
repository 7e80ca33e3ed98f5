// Routers and owners joined by direct calls: every envelope arrives at once and
// nothing is lost, so that a benchmark measures the decisions alone.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "tamaracklatch/flow/flow_owner.h"
#include "tamaracklatch/flow/flow_router.h"

namespace tamaracklatch::bench {

// One service at 10.9.0.1:80 with its targets.
class packet_bus {
 public:
  packet_bus(std::size_t routers, std::size_t targets);

  // The flow with this number; each has its own caller.
  static flow_key KeyOf(std::uint32_t flow, ip_protocol protocol);

  // Sends a packet through a router; gives where it was delivered.
  std::optional<target_id> Send(const flow_key& key, flow_opening opens,
                                std::size_t router);
  void End(const flow_key& key, target_id owner);

  // Changes of the configuration. Targets learn them at once; a router when
  // Update is called.
  target_id Join();
  void Drain(target_id target);
  void SetCapacity(target_id target, std::uint32_t capacity);
  void Update(std::size_t router, std::size_t revisions_behind);
  void RestartRouter(std::size_t router);

  void Advance(std::chrono::milliseconds time);

  std::vector<target_id> Targets(bool serving) const;
  flow_router& RouterAt(std::size_t router) { return *routers_[router]; }
  flow_owner& OwnerOf(target_id target) { return *targets_.at(target).owner; }
  const std::vector<revision_changes>& log() const { return log_; }
  cluster_view ViewAt(std::size_t revisions) const;
  time_point now() const { return now_; }
  std::uint64_t hops() const { return hops_; }
  std::uint64_t resets() const { return resets_; }

 private:
  struct target_node {
    target_record record;
    std::unique_ptr<flow_owner> owner;
  };
  struct message {
    endpoint to;
    envelope what;
    std::string bytes;
  };

  target_node NewTarget();
  void Submit(view_change change);
  void Collect(std::vector<owner_action>* actions, target_id from);
  void Pump();

  time_point now_{std::chrono::seconds(1000)};
  std::vector<revision_changes> log_;
  std::vector<std::unique_ptr<flow_router>> routers_;
  std::vector<std::size_t> known_;  // revisions, of each router
  std::map<target_id, target_node> targets_;
  std::map<endpoint, target_id> places_;
  std::deque<message> messages_;
  std::vector<target_id> pulls_;
  std::optional<target_id> delivered_;
  std::uint64_t hops_ = 0;
  std::uint64_t resets_ = 0;
};

}  // namespace tamaracklatch::bench
