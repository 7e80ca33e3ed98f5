// Checks the invariants of the roster over random schedules of faults.
// TAMARACKLATCH_SCHEDULE=SEED runs only the schedule with this seed, and prints
// its trace if it fails; TAMARACKLATCH_SCHEDULES=N runs N schedules, starting
// with the seed TAMARACKLATCH_FIRST_SEED.
#include <criterion/criterion.h>
#include <fmt/format.h>

#include <cstdlib>

#include "roster/roster_simulation.h"

namespace tamaracklatch::test {
namespace {

constexpr std::uint64_t kSchedules = 400;
constexpr std::uint64_t kParts = 4;  // test cases that run in parallel
constexpr duration kFaultTime = std::chrono::seconds(40);
// Time without faults until all members must agree: the sum of a hub's settling
// time, the longest interval of announcements to a hub that was lost, the
// silence timeout of a node, and the longest delay of a small change of load.
constexpr duration kConvergenceTime = std::chrono::seconds(8);

std::uint64_t FromEnvironment(const char* name, std::uint64_t fallback) {
  const char* text = std::getenv(name);
  return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

std::string RunSchedule(std::uint64_t seed, bool trace) {
  roster_simulation_settings settings;
  settings.seed = seed;
  settings.controls = seed % 3 == 0 ? 5 : 3;
  settings.trace = trace;
  roster_simulation simulation(settings);
  simulation.RunFaults(kFaultTime);
  if (simulation.violation().empty()) {
    simulation.EndFaults();
    simulation.RunFor(kConvergenceTime);
  }
  std::string violation = simulation.violation();
  if (violation.empty()) violation = simulation.CheckConverged();
  if (!violation.empty())
    for (const std::string& line : simulation.trace_lines())
      fmt::print(stderr, "{}\n", line);
  return violation;
}

void RunPart(std::uint64_t part) {
  const std::uint64_t single = FromEnvironment("TAMARACKLATCH_SCHEDULE", 0);
  const std::uint64_t count =
      single != 0 ? 1 : FromEnvironment("TAMARACKLATCH_SCHEDULES", kSchedules);
  const std::uint64_t first =
      single != 0 ? single : FromEnvironment("TAMARACKLATCH_FIRST_SEED", 1);
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    if (seed % kParts != part) continue;
    const std::string violation = RunSchedule(seed, single != 0);
    cr_expect(violation.empty(), "schedule %llu: %s",
              static_cast<unsigned long long>(seed), violation.c_str());
  }
}

Test(roster_schedules, part_0) { RunPart(0); }
Test(roster_schedules, part_1) { RunPart(1); }
Test(roster_schedules, part_2) { RunPart(2); }
Test(roster_schedules, part_3) { RunPart(3); }

}  // namespace
}  // namespace tamaracklatch::test
