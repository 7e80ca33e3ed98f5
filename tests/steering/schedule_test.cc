// Random schedules: balancers change for every flow, daemons restart beside
// living targets, targets crash, drain and give their address to another
// service, VMs are cut off, rosters and sets lag. What must hold is checked at
// every step by the world.
#include "steering/steering_world.h"
#include "support/property.h"

namespace tamaracklatch {
namespace {

using test::steering_world;
using test::world_settings;

Test(schedule, keeps_its_promises_under_faults) {
  test::CheckProperty("random schedules", [] {
    world_settings settings;
    settings.seed = *rc::gen::arbitrary<std::uint64_t>();
    settings.balancers = *rc::gen::inRange<std::size_t>(1, 5);
    settings.slots = *rc::gen::inRange<std::size_t>(2, 9);
    settings.events = static_cast<double>(*rc::gen::inRange(1, 12));
    steering_world world(settings);
    const std::string failed = world.Run();
    RC_LOG() << "seed " << settings.seed << ": " << failed;
    RC_ASSERT(failed.empty());
  });
}

Test(schedule, serves_every_flow_without_faults) {
  world_settings settings;
  settings.loss = settings.repeat = settings.late = 0.0;
  settings.events = 0.01;
  steering_world world(settings);
  const std::string failed = world.Run();
  cr_assert(failed.empty(), "%s", failed.c_str());
  cr_assert(world.counts().served == settings.flows);
  cr_assert(world.counts().resets == 0);
}

Test(schedule, meets_the_cases_that_it_is_for) {
  steering_world::tally sum;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    world_settings settings;
    settings.seed = seed;
    steering_world world(settings);
    const std::string failed = world.Run();
    cr_assert(failed.empty(), "seed %lu: %s", seed, failed.c_str());
    sum.served += world.counts().served;
    sum.resets += world.counts().resets;
    sum.returned += world.counts().returned;
    sum.searched += world.counts().searched;
    sum.passed += world.counts().passed;
  }
  cr_assert(sum.served > 400, "%zu", sum.served);
  cr_assert(sum.resets > 20, "%zu", sum.resets);
  cr_assert(sum.returned > 100, "%zu", sum.returned);
  cr_assert(sum.searched > 400, "%zu", sum.searched);
  cr_assert(sum.passed > 100, "%zu", sum.passed);
}

}  // namespace
}  // namespace tamaracklatch
