// Random schedules: the balancer of each flow changes, daemons restart beside
// running targets, targets crash, drain and give their address to another
// service, VMs are cut off, and rosters and document sets arrive late. The
// simulation checks the invariants at every step.
#include "steering/steering_simulation.h"
#include "support/property.h"

namespace tamaracklatch {
namespace {

using test::simulation_settings;
using test::steering_simulation;

Test(schedule, holds_its_invariants_under_faults) {
  test::CheckProperty("random schedules", [] {
    simulation_settings settings;
    settings.seed = *rc::gen::arbitrary<std::uint64_t>();
    settings.balancers = *rc::gen::inRange<std::size_t>(1, 5);
    settings.target_vms = *rc::gen::inRange<std::size_t>(2, 9);
    settings.fault_rate = static_cast<double>(*rc::gen::inRange(1, 12));
    steering_simulation simulation(settings);
    const std::string failed = simulation.Run();
    RC_LOG() << "seed " << settings.seed << ": " << failed;
    RC_ASSERT(failed.empty());
  });
}

Test(schedule, serves_every_flow_without_faults) {
  simulation_settings settings;
  settings.lost = settings.duplicated = settings.delayed = 0.0;
  settings.fault_rate = 0.01;
  steering_simulation simulation(settings);
  const std::string failed = simulation.Run();
  cr_assert(failed.empty(), "%s", failed.c_str());
  cr_assert(simulation.counts().served == settings.flows);
  cr_assert(simulation.counts().resets == 0);
}

Test(schedule, covers_the_cases_that_it_is_for) {
  steering_simulation::outcome_counts sum;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    simulation_settings settings;
    settings.seed = seed;
    steering_simulation simulation(settings);
    const std::string failed = simulation.Run();
    cr_assert(failed.empty(), "seed %lu: %s", seed, failed.c_str());
    sum.served += simulation.counts().served;
    sum.resets += simulation.counts().resets;
    sum.returned += simulation.counts().returned;
    sum.searched += simulation.counts().searched;
    sum.passed += simulation.counts().passed;
  }
  cr_assert(sum.served > 400, "%zu", sum.served);
  cr_assert(sum.resets > 20, "%zu", sum.resets);
  cr_assert(sum.returned > 100, "%zu", sum.returned);
  cr_assert(sum.searched > 400, "%zu", sum.searched);
  cr_assert(sum.passed > 100, "%zu", sum.passed);
}

}  // namespace
}  // namespace tamaracklatch
