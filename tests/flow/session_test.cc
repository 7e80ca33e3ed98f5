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
constexpr std::chrono::seconds kSettled{15};
constexpr std::chrono::seconds kPause{1};

fleet QuietFleet() {
  test::fleet_settings settings;
  settings.lost_percent = 0;
  settings.repeated_percent = 0;
  settings.longest_trip = std::chrono::milliseconds(5);
  fleet system(settings);
  system.KeepTrace();
  for (int count = 0; count < 3; ++count) system.Join(kBooking);
  system.Join(kArchive);
  system.Run(kSettled);
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
void SendOnAll(fleet* system, std::size_t turn) {
  for (std::size_t flow = 0; flow < system->flows().size(); ++flow) {
    system->SendOn(flow, (flow + turn) % 3);
    system->Run(kPause);
  }
}

void Finish(fleet* system, const std::string& name) {
  system->Note(ToString(system->broken()));
  test::CheckGolden("flow/golden/" + name + ".txt", system->TakeTrace());
}

Test(session, target_joins_under_long_flows) {
  fleet system = QuietFleet();
  OpenFlows(&system);
  system.Join(kBooking);
  system.Join(kBooking);
  SendOnAll(&system, 1);
  system.Run(kSettled);
  SendOnAll(&system, 2);
  cr_assert(system.broken().Sum() == 0);
  Finish(&system, "target_joins");
}

Test(session, drain) {
  fleet system = QuietFleet();
  OpenFlows(&system);
  const target_id leaving = *system.flows()[0].owner;
  system.Drain(leaving);
  OpenFlows(&system);
  SendOnAll(&system, 1);
  for (std::size_t flow = 0; flow < system.flows().size(); ++flow) {
    if (system.flows()[flow].owner == leaving) system.EndFlow(flow);
  }
  cr_assert(system.FlowsAt(leaving) == 0);
  system.Leave(leaving);
  system.Run(kPause);
  SendOnAll(&system, 2);
  cr_assert(system.broken().Sum() == 0);
  Finish(&system, "drain");
}

Test(session, balancer_restart) {
  fleet system = QuietFleet();
  OpenFlows(&system);
  for (std::size_t router = 0; router < 3; ++router)
    system.RestartRouter(router);
  SendOnAll(&system, 0);
  cr_assert(system.broken().Sum() == 0);
  Finish(&system, "balancer_restart");
}

Test(session, stale_balancer) {
  fleet system = QuietFleet();
  system.StopUpdates(0);
  OpenFlows(&system);
  system.Join(kBooking);
  system.Drain(system.TargetsOf(kBooking, true).front());
  system.Run(kSettled);
  for (int count = 0; count < 4; ++count) {
    system.OpenFlow(kBooking, ip_protocol::kTcp, 0);
    system.Run(kPause);
  }
  SendOnAll(&system, 0);
  cr_assert(system.broken().Sum() == 0);
  Finish(&system, "stale_balancer");
}

Test(session, address_reuse) {
  fleet system = QuietFleet();
  OpenFlows(&system);
  system.StopUpdates(0);
  const target_id lost = *system.flows()[0].owner;
  system.Leave(lost);
  const target_id heir = system.Join(kArchive);
  // A caller unaware of the loss continues through a router whose view includes
  // neither change.
  system.SendOn(0, 0);
  system.OpenFlow(kBooking, ip_protocol::kTcp, 0);
  for (int count = 0; count < 6; ++count) {
    system.Run(kPause);
    system.OpenFlow(kBooking, ip_protocol::kUdp, 0);
  }
  system.Run(kPause);
  cr_assert(system.broken().wrong_service == 0);
  cr_assert(system.OwnerOf(heir).counters().delivered == 0);
  cr_assert(system.OwnerOf(heir).counters().refused.Of(
                result_code::kWrongService) > 0);
  Finish(&system, "address_reuse");
}

Test(session, stuck_flow) {
  fleet system = QuietFleet();
  const std::size_t flow = system.OpenFlow(kBooking, ip_protocol::kUdp, 0);
  system.Run(kPause);
  system.Answer(flow);
  // From here on the target doesn't answer.
  for (int count = 0; count < 8; ++count) {
    system.SendOn(flow, 0);
    system.Run(std::chrono::seconds(4));
  }
  Finish(&system, "stuck_flow");
}

}  // namespace
}  // namespace tamaracklatch
