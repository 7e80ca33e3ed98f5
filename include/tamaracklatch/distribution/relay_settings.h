// Settings of a relay_node, by which a node takes part in the distribution of
// revisions.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "tamaracklatch/distribution/relay_messages.h"

namespace tamaracklatch {

// Filled in by the daemon that runs the node.
struct relay_settings {
  node_identity self;  // this process
  zone_name zone;
  endpoint where;          // address for links; port 0: it can't relay
  std::string service;     // the service of a target daemon; empty: all
  bool is_source = false;  // a control VM: changes come from its log

  std::vector<relay_contact> control;  // the control VMs
  std::vector<relay_contact> peers;    // nodes that start_rule may query

  // Maximum number of children that can relay, and of those that can't (target
  // daemons). At a source, for each availability zone.
  std::size_t max_relays = 3;
  std::size_t max_leaves = 32;

  std::size_t log_bytes = 4 * 1024 * 1024;  // capacity of change_log
  std::size_t part_bytes = 64 * 1024;  // of one delta or snapshot part, about

  // Minimum time between unrequested deltas to one child, and between pulls for
  // newer revisions.
  duration batch_interval = std::chrono::milliseconds(50);
  // A relay collects its children's acknowledgments for this time.
  duration acknowledge_delay = std::chrono::milliseconds(100);
  // Time without an answer until a delta or a pull is sent again.
  duration retry_interval = std::chrono::milliseconds(250);
  // Time between pulls while nothing changes. The age of the view grows by up
  // to this at each level of the tree.
  duration idle_interval = std::chrono::seconds(2);
  // Delay after which a child whose service did not change receives a new
  // revision.
  duration unaffected_interval = std::chrono::seconds(1);
  // Number of successive unanswered pulls after which the parent is replaced.
  std::uint32_t max_tries = 8;
  // A child that has sent no pull for this time is removed.
  duration child_timeout = std::chrono::seconds(15);
  // A parent is replaced when the view is older than this (relay_node::Age).
  duration max_age = std::chrono::seconds(25);
  // The list of names is sent to the parent once it has not changed for this
  // time.
  duration names_settle = std::chrono::milliseconds(500);
  // A graceful stop is reported to the parent for this time.
  duration stopped_node_retention = std::chrono::seconds(30);

  // start_rule: the time during which only the control VMs are queried, and the
  // time between queries.
  duration control_only_period = std::chrono::seconds(3);
  duration confirm_interval = std::chrono::milliseconds(500);
};

}  // namespace tamaracklatch
