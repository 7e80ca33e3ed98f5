// Property tests over random sequences of planned changes and target losses.
// The nodes have different revisions, and packets are reordered, duplicated and
// lost.
#include "flow/fleet.h"
#include "support/property.h"

namespace tamaracklatch {
namespace {

using test::fleet;

constexpr std::size_t kSteps = 60;
constexpr std::size_t kFewestTargets = 2;
constexpr std::chrono::milliseconds kLongestPause{600};

// Makes one random planned change, or none if it isn't possible.
void ApplyPlannedChange(fleet* system, service_id service) {
  const std::vector<target_id> serving = system->TargetsOf(service, true);
  const std::vector<target_id> draining = system->TargetsOf(service, false);
  const target_id random_target =
      serving[system->Pick(static_cast<std::uint32_t>(serving.size()))];
  switch (system->Pick(6)) {
    case 0:
      system->Join(service, 1 + system->Pick(4));
      return;
    case 1:
      if (serving.size() > kFewestTargets) system->Drain(random_target);
      return;
    case 2:
      system->SetCapacity(random_target, 1 + system->Pick(8));
      return;
    case 3:
      system->SetWeightZero(random_target);
      return;
    case 4:
      system->RestartRouter(system->Pick(3));
      return;
    default:
      for (const target_id target : draining) {
        if (system->FlowsAt(target) > 0) continue;
        system->Leave(target);
        return;
      }
  }
}

// Opens a flow and sends packets of random flows, through random routers.
void SendTraffic(fleet* system, service_id service) {
  const auto protocol =
      system->Pick(2) == 0 ? ip_protocol::kTcp : ip_protocol::kUdp;
  const std::size_t opened =
      system->OpenFlow(service, protocol, system->Pick(3));
  // The fabric may spread the first packets of a flow over several routers.
  if (system->Pick(3) == 0) system->SendPacket(opened, system->Pick(3));
  for (int repeat = 0; repeat < 6; ++repeat) {
    const std::size_t flow =
        system->Pick(static_cast<std::uint32_t>(system->flows().size()));
    system->SendPacket(flow, system->Pick(3));
    if (system->Pick(20) == 0) system->EndFlow(flow);
  }
}

void StartTargets(fleet* system) {
  for (std::uint64_t service = 1; service <= fleet::kServices; ++service) {
    for (std::size_t count = 0; count < kFewestTargets + 1; ++count)
      system->Join({service});
  }
  system->Run(std::chrono::seconds(4));
}

service_id RandomService(fleet* system) {
  return {1 + system->Pick(fleet::kServices)};
}

Test(history, planned_changes_break_nothing) {
  test::CheckProperty("planned changes", [](std::uint64_t seed) {
    fleet system({seed});
    StartTargets(&system);
    for (std::size_t step = 0; step < kSteps; ++step) {
      if (system.Pick(3) == 0)
        ApplyPlannedChange(&system, RandomService(&system));
      SendTraffic(&system, RandomService(&system));
      system.Run(std::chrono::milliseconds(
          system.Pick(static_cast<std::uint32_t>(kLongestPause.count()))));
    }
    system.CheckReachable();
    RC_LOG() << ToString(system.violations());
    RC_ASSERT(system.violations().Sum() == 0U);
  });
}

// Targets are lost at random times and their endpoints are reused by the other
// service. Packets of nodes with an old view then reach a target of the wrong
// service; only the flows of the lost targets may fail.
Test(history, losses_and_reused_addresses_reach_no_other_service) {
  test::CheckProperty("lost targets", [](std::uint64_t seed) {
    fleet system({seed});
    StartTargets(&system);
    for (std::size_t step = 0; step < kSteps; ++step) {
      const service_id service = RandomService(&system);
      const std::vector<target_id> serving = system.TargetsOf(service, true);
      if (system.Pick(6) == 0 && serving.size() > kFewestTargets) {
        system.Leave(
            serving[system.Pick(static_cast<std::uint32_t>(serving.size()))]);
        system.Join({3 - service.value});
      }
      SendTraffic(&system, RandomService(&system));
      system.Run(std::chrono::milliseconds(
          system.Pick(static_cast<std::uint32_t>(kLongestPause.count()))));
    }
    system.CheckReachable();
    RC_LOG() << ToString(system.violations());
    RC_ASSERT(system.violations().Sum() == 0U);
  });
}

}  // namespace
}  // namespace tamaracklatch
