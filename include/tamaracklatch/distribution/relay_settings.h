// Settings of a node's part in the distribution.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "tamaracklatch/distribution/relay_messages.h"

namespace tamaracklatch {

struct relay_settings {
  node_identity self;
  zone_name zone;
  endpoint where;          // of this node's links; port 0: it relays for nobody
  std::string service;     // a target daemon's own service; empty: all services
  bool is_source = false;  // a control VM: it gets changes from the log

  std::vector<relay_contact> control;  // the control VMs
  std::vector<relay_contact> peers;    // nodes that the start rule may ask

  // Children: nodes that may relay themselves (at a source: of each zone), and
  // target daemons.
  std::size_t max_relays = 3;
  std::size_t max_leaves = 32;

  std::size_t log_bytes = 4 * 1024 * 1024;  // encoded changes kept for children
  std::size_t part_bytes = 64 * 1024;       // of one delta or snapshot part

  duration batch_interval = std::chrono::milliseconds(50);
  duration acknowledge_delay = std::chrono::milliseconds(100);
  duration retry_interval = std::chrono::milliseconds(250);
  // News ages by up to this at each level of the tree while nothing changes.
  duration idle_interval = std::chrono::seconds(2);
  // A child whose service did not change hears of a new revision this late.
  duration unconcerned_interval = std::chrono::seconds(1);
  // A parent that left this many pulls unanswered is given up.
  std::uint32_t max_tries = 8;
  duration child_silence = std::chrono::seconds(15);
  // A parent whose news is older than this is given up.
  duration max_age = std::chrono::seconds(25);
  // The names of nodes are reported once they have not changed for this long.
  duration names_settle = std::chrono::milliseconds(500);
  // A graceful stop is reported for this long.
  duration left_retention = std::chrono::seconds(30);

  // The start rule: how long the control VMs alone are asked, and how often.
  duration confirm_patience = std::chrono::seconds(3);
  duration confirm_interval = std::chrono::milliseconds(500);
};

}  // namespace tamaracklatch
