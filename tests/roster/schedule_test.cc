// The promises of the roster over random schedules. A failing seed runs by
// itself with TAMARACKLATCH_SCHEDULE=SEED and prints its time line;
// TAMARACKLATCH_SCHEDULES=N runs N schedules from TAMARACKLATCH_FIRST_SEED on.
#include <criterion/criterion.h>
#include <fmt/format.h>

#include <cstdlib>

#include "roster/roster_world.h"

namespace tamaracklatch::test {
namespace {

constexpr std::uint64_t kSchedules = 400;
constexpr std::uint64_t kParts = 4;  // run side by side
constexpr duration kFaults = std::chrono::seconds(40);
// A hub settles, the slowest announcements to hubs that were silent, a node's
// silence, and a small change of load that is told last.
constexpr duration kQuiet = std::chrono::seconds(8);

std::uint64_t FromEnvironment(const char* name, std::uint64_t fallback) {
  const char* text = std::getenv(name);
  return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

std::string RunOne(std::uint64_t seed, bool trace) {
  world_settings settings;
  settings.seed = seed;
  settings.controls = seed % 3 == 0 ? 5 : 3;
  settings.trace = trace;
  roster_world world(settings);
  world.RunFaults(kFaults);
  if (world.broken().empty()) {
    world.Calm();
    world.RunFor(kQuiet);
  }
  std::string broken = world.broken();
  if (broken.empty()) broken = world.CheckQuiet();
  if (!broken.empty())
    for (const std::string& line : world.timeline())
      fmt::print(stderr, "{}\n", line);
  return broken;
}

void RunPart(std::uint64_t part) {
  const std::uint64_t single = FromEnvironment("TAMARACKLATCH_SCHEDULE", 0);
  const std::uint64_t count =
      single != 0 ? 1 : FromEnvironment("TAMARACKLATCH_SCHEDULES", kSchedules);
  const std::uint64_t first =
      single != 0 ? single : FromEnvironment("TAMARACKLATCH_FIRST_SEED", 1);
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    if (seed % kParts != part) continue;
    const std::string broken = RunOne(seed, single != 0);
    cr_expect(broken.empty(), "schedule %llu: %s",
              static_cast<unsigned long long>(seed), broken.c_str());
  }
}

Test(roster_schedules, part_0) { RunPart(0); }
Test(roster_schedules, part_1) { RunPart(1); }
Test(roster_schedules, part_2) { RunPart(2); }
Test(roster_schedules, part_3) { RunPart(3); }

}  // namespace
}  // namespace tamaracklatch::test
