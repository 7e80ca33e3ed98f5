// The membership slice in a balancer: holds leases of its zone's targets, so
// that their heartbeats end here, and reports to the control VMs what changes.
#pragma once

#include <string>
#include <vector>

#include "daemon/process_frame.h"
#include "daemon/view_agent.h"
#include "tamaracklatch/membership/lease_table.h"
#include "transport/link_hub.h"

namespace tamaracklatch {

class lease_agent {
 public:
  // All of them must outlive the agent.
  lease_agent(process_frame* frame, link_hub* hub, const view_agent* view,
              const lease_settings& settings,
              std::vector<relay_contact> control);

  // Reports what is due. Call several times a second.
  void Tick();

 private:
  void OnMessage(const std::string& peer, const std::string& body);

  process_frame* frame_;
  link_hub* hub_;
  const view_agent* view_;
  std::vector<relay_contact> control_;
  lease_table leases_;
};

}  // namespace tamaracklatch
