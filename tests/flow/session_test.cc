// Golden tests: the complete trace of a small fleet, for one planned change or
// fault in each test.
#include <fmt/format.h>

#include <chrono>
#include <string>

#include "flow/fleet.h"
#include "support/golden.h"

namespace tamaracklatch {
namespace {

using test::fleet;

constexpr service_id kBooking{1};
constexpr service_id kArchive{2};
constexpr std::chrono::seconds kSettleTime{15};
constexpr std::chrono::seconds kPause{1};

fleet StartLosslessFleet() {
  test::fleet_settings settings;
  settings.loss_percent = 0;
  settings.duplicate_percent = 0;
  settings.max_network_delay = std::chrono::milliseconds(5);
  fleet system(settings);
  system.EnableTrace();
  for (int count = 0; count < 3; ++count) system.Join(kBooking);
  system.Join(kArchive);
  system.Run(kSettleTime);
  return system;
}

// Opens two long-lived flows of each protocol.
void OpenFlows(fleet* system) {
  for (std::size_t count = 0; count < 4; ++count) {
    const auto protocol =
        count % 2 == 0 ? ip_protocol::kTcp : ip_protocol::kUdp;
    system->OpenFlow(kBooking, protocol, count % 3);
    system->Run(kPause);
  }
}

// Sends a packet of every flow through router (flow + turn) % 3.
void SendOnAllFlows(fleet* system, std::size_t turn) {
  for (std::size_t flow = 0; flow < system->flows().size(); ++flow) {
    system->SendPacket(flow, (flow + turn) % 3);
    system->Run(kPause);
  }
}

void CheckTrace(fleet* system, const std::string& name) {
  system->AppendTrace(ToString(system->violations()));
  test::CheckGolden("flow/golden/" + name + ".txt", system->TakeTrace());
}

Test(session, target_joins_under_long_flows) {
  fleet system = StartLosslessFleet();
  OpenFlows(&system);
  system.Join(kBooking);
  system.Join(kBooking);
  SendOnAllFlows(&system, 1);
  system.Run(kSettleTime);
  SendOnAllFlows(&system, 2);
  cr_assert(system.violations().Sum() == 0);
  CheckTrace(&system, "target_joins");
}

Test(session, drain) {
  fleet system = StartLosslessFleet();
  OpenFlows(&system);
  const target_id leaving = *system.flows()[0].owner;
  system.Drain(leaving);
  OpenFlows(&system);
  SendOnAllFlows(&system, 1);
  for (std::size_t flow = 0; flow < system.flows().size(); ++flow) {
    if (system.flows()[flow].owner == leaving) system.EndFlow(flow);
  }
  cr_assert(system.FlowsAt(leaving) == 0);
  system.Leave(leaving);
  system.Run(kPause);
  SendOnAllFlows(&system, 2);
  cr_assert(system.violations().Sum() == 0);
  CheckTrace(&system, "drain");
}

Test(session, balancer_restart) {
  fleet system = StartLosslessFleet();
  OpenFlows(&system);
  for (std::size_t router = 0; router < 3; ++router)
    system.RestartRouter(router);
  SendOnAllFlows(&system, 0);
  cr_assert(system.violations().Sum() == 0);
  CheckTrace(&system, "balancer_restart");
}

Test(session, stale_balancer) {
  fleet system = StartLosslessFleet();
  system.StopUpdates(0);
  OpenFlows(&system);
  system.Join(kBooking);
  system.Drain(system.TargetsOf(kBooking, true).front());
  system.Run(kSettleTime);
  for (int count = 0; count < 4; ++count) {
    system.OpenFlow(kBooking, ip_protocol::kTcp, 0);
    system.Run(kPause);
  }
  SendOnAllFlows(&system, 0);
  cr_assert(system.violations().Sum() == 0);
  CheckTrace(&system, "stale_balancer");
}

Test(session, address_reuse) {
  fleet system = StartLosslessFleet();
  OpenFlows(&system);
  system.StopUpdates(0);
  const target_id lost = *system.flows()[0].owner;
  system.Leave(lost);
  const target_id replacement = system.Join(kArchive);
  // A caller unaware of the loss continues through a router whose view includes
  // neither change.
  system.SendPacket(0, 0);
  system.OpenFlow(kBooking, ip_protocol::kTcp, 0);
  for (int count = 0; count < 6; ++count) {
    system.Run(kPause);
    system.OpenFlow(kBooking, ip_protocol::kUdp, 0);
  }
  system.Run(kPause);
  cr_assert(system.violations().wrong_service == 0);
  cr_assert(system.OwnerOf(replacement).counters().delivered == 0);
  cr_assert(system.OwnerOf(replacement)
                .counters()
                .refused.CountOf(result_code::kWrongService) > 0);
  CheckTrace(&system, "address_reuse");
}

Test(session, stuck_flow) {
  fleet system = StartLosslessFleet();
  const std::size_t flow = system.OpenFlow(kBooking, ip_protocol::kUdp, 0);
  system.Run(kPause);
  system.Answer(flow);
  // From here on the target doesn't answer.
  for (int count = 0; count < 8; ++count) {
    system.SendPacket(flow, 0);
    system.Run(std::chrono::seconds(4));
  }
  CheckTrace(&system, "stuck_flow");
}

}  // namespace
}  // namespace tamaracklatch
