// Checks the invariants of the replicated log under random schedules of faults.
// A failing seed prints its timeline; TAMARACKLATCH_SCHEDULE=SEED runs it
// alone. TAMARACKLATCH_SCHEDULES=N runs N schedules from
// TAMARACKLATCH_FIRST_SEED on.
#include <criterion/criterion.h>
#include <fmt/format.h>

#include <csignal>
#include <cstdlib>

#include "consensus/schedule_simulation.h"

namespace tamaracklatch::test {
namespace {

constexpr std::uint64_t kSchedules = 10000;
constexpr std::uint64_t kParts = 8;  // run in parallel

std::uint64_t FromEnvironment(const char* name, std::uint64_t fallback) {
  const char* text = std::getenv(name);
  return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

volatile std::sig_atomic_t running_seed = 0;  // for ReportSeed()

// Names the seed when an assertion in the code under test aborts.
void ReportSeed(int /*signal*/) {
  fmt::print(stderr, "assertion failed in schedule {}\n",
             static_cast<std::uint64_t>(running_seed));
}

// Odd seeds have 5 voters, even ones 3.
std::size_t VotersOf(std::uint64_t seed) { return seed % 2 == 0 ? 3 : 5; }

void ReplayTraced(std::uint64_t seed) {
  schedule_simulation simulation(seed, VotersOf(seed), true);
  const std::string violation = simulation.Run();
  for (const std::string& line : simulation.timeline()) {
    fmt::print(stderr, "{}\n", line);
  }
  cr_assert(violation.empty(), "schedule %llu: %s",
            static_cast<unsigned long long>(seed), violation.c_str());
}

void RunPart(std::uint64_t part) {
  std::signal(SIGABRT, ReportSeed);
  const std::uint64_t single = FromEnvironment("TAMARACKLATCH_SCHEDULE", 0);
  if (single != 0) {
    running_seed = static_cast<std::sig_atomic_t>(single);
    if (single % kParts == part) ReplayTraced(single);
    return;
  }
  const std::uint64_t count =
      FromEnvironment("TAMARACKLATCH_SCHEDULES", kSchedules);
  const std::uint64_t first = FromEnvironment("TAMARACKLATCH_FIRST_SEED", 1);
  std::uint64_t acknowledged = 0;
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    if (seed % kParts != part) continue;
    running_seed = static_cast<std::sig_atomic_t>(seed);
    schedule_simulation simulation(seed, VotersOf(seed), false);
    const std::string violation = simulation.Run();
    if (!violation.empty()) ReplayTraced(seed);
    acknowledged += simulation.acknowledged();
  }
  // Without acknowledged commands the schedules would not test their loss.
  cr_assert(acknowledged > count / kParts, "only %llu commands acknowledged",
            static_cast<unsigned long long>(acknowledged));
}

void CheckReplacements(std::size_t voters, std::uint64_t seeds) {
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    schedule_simulation simulation(seed, voters, true);
    const std::string violation = simulation.RunReplacement();
    if (violation.empty()) continue;
    for (const std::string& line : simulation.timeline()) {
      fmt::print(stderr, "{}\n", line);
    }
    cr_assert(false, "replacement, seed %llu, %zu voters: %s",
              static_cast<unsigned long long>(seed), voters, violation.c_str());
  }
}

Test(schedules, a_new_vm_replaces_one_of_three_voters) {
  CheckReplacements(3, 100);
}
Test(schedules, a_new_vm_replaces_one_of_five_voters) {
  CheckReplacements(5, 100);
}

Test(schedules, part_0) { RunPart(0); }
Test(schedules, part_1) { RunPart(1); }
Test(schedules, part_2) { RunPart(2); }
Test(schedules, part_3) { RunPart(3); }
Test(schedules, part_4) { RunPart(4); }
Test(schedules, part_5) { RunPart(5); }
Test(schedules, part_6) { RunPart(6); }
Test(schedules, part_7) { RunPart(7); }

}  // namespace
}  // namespace tamaracklatch::test
