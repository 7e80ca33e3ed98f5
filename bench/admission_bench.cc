// Goodput that each class keeps during floods, for the policies weighed, in
// virtual time at the two users' sizes.
#include <fmt/format.h>

#include <algorithm>
#include <string>
#include <vector>

#include "report.h"
#include "request_fleet.h"

namespace tamaracklatch::bench {
namespace {

constexpr duration kLength = std::chrono::seconds(30);
constexpr duration kFloodFrom = std::chrono::seconds(5);
constexpr duration kFloodUntil = std::chrono::seconds(25);
constexpr double kFloodFactor = 10.0;  // of the fleet's slots
constexpr double kOwnLoad = 0.6;       // of a class's guaranteed share
constexpr double kSlotRate = 10.0;     // requests a second a slot can end
constexpr std::size_t kFloodAccount = 4;

struct policy_row {
  const char* name;
  admission_policy policy;
  bool limits;
};

struct flood_row {
  const char* name;
  const char* class_name;
  std::uint32_t callers;
};

struct size_row {
  const char* name;
  std::size_t targets;
  std::uint32_t slots;
};

request_class Class(const std::string& name, double share,
                    std::uint8_t urgency) {
  request_class made;
  made.name = name;
  made.guaranteed_share = share;
  made.urgency = urgency;
  made.default_timeout = std::chrono::seconds(3);
  return made;
}

std::vector<request_class> Classes() {
  return {Class("hold", 0.3, 1), Class("card", 0.3, 3), Class("log", 0.2, 5),
          Class("manifest", 0.1, 7)};
}

// Each class below its guaranteed share; holds and logs carry keys.
std::vector<fleet_load> OwnLoads(const size_row& size) {
  std::vector<fleet_load> loads;
  const double fleet = static_cast<double>(size.targets) * size.slots;
  for (const request_class& each : Classes()) {
    fleet_load load;
    load.class_name = each.name;
    load.rate = fleet * kSlotRate * each.guaranteed_share * kOwnLoad;
    load.keyed = each.name == "hold" || each.name == "log";
    load.account = loads.size();
    load.first_caller = 1000 * (loads.size() + 1);
    load.until = kLength;
    loads.push_back(load);
  }
  return loads;
}

fleet_load Flood(const size_row& size, const flood_row& flood) {
  fleet_load load;
  load.class_name = flood.class_name;
  load.rate =
      static_cast<double>(size.targets) * size.slots * kSlotRate * kFloodFactor;
  load.callers = flood.callers;
  load.first_caller = 100000;
  load.account = kFloodAccount;
  load.from = kFloodFrom;
  load.until = kFloodUntil;
  return load;
}

fleet_result RunFleet(const size_row& size, const policy_row& policy,
                      const std::vector<fleet_load>& loads) {
  fleet_settings settings;
  settings.targets = size.targets;
  settings.slots = size.slots;
  settings.true_slots = size.slots;
  settings.classes = Classes();
  settings.policy = policy.policy;
  settings.limits = policy.limits;
  settings.hand_over = policy.limits;
  settings.lost_answers = 5;
  settings.seed = 20261204;
  request_fleet fleet(settings);
  return fleet.Run(loads, kLength);
}

// Requests answered in time, over those without the flood.
double Kept(const fleet_account& calm, const fleet_account& flooded) {
  const double good =
      static_cast<double>(flooded.good) /
      static_cast<double>(std::max<std::uint64_t>(1, flooded.sent));
  const double before =
      static_cast<double>(calm.good) /
      static_cast<double>(std::max<std::uint64_t>(1, calm.sent));
  return 100.0 * good / before;
}

void CompareFloods(report& figures) {
  const std::vector<size_row> sizes{
      {"7x4", 7, 4}, {"4x4", 4, 4}, {"3x4", 3, 4}};
  const std::vector<policy_row> policies{
      {"no limits", arrival_order{}, false},
      {"priority queue", urgency_only{}, false},
      {"shares alone", shares_only{}, true},
      {"chosen", floors_then_urgency{}, true}};
  const std::vector<flood_row> floods{{"least urgent", "manifest", 50},
                                      {"most urgent", "hold", 50},
                                      {"one caller", "card", 1}};
  for (const size_row& size : sizes) {
    for (const policy_row& policy : policies) {
      const bool chosen = std::string(policy.name) == "chosen";
      const fleet_result calm = RunFleet(size, policy, OwnLoads(size));
      std::uint64_t doubled = 0;
      std::uint64_t lost = 0;
      std::uint64_t false_not_run = 0;
      for (const flood_row& flood : floods) {
        std::vector<fleet_load> loads = OwnLoads(size);
        loads.push_back(Flood(size, flood));
        const fleet_result flooded = RunFleet(size, policy, loads);
        doubled += flooded.doubled;
        lost += flooded.lost;
        false_not_run += flooded.false_not_run;
        for (std::size_t i = 0; i < kFloodAccount; ++i) {
          // Of a flooded class only the others' part in a caller's flood
          // counts.
          const bool same = loads[i].class_name == flood.class_name;
          if (same && flood.callers > 1) continue;
          figures.Add(
              {"floods",
               fmt::format("{}, flood {}, {}: goodput kept by {}{}", size.name,
                           flood.name, policy.name, loads[i].class_name,
                           same ? " of other callers" : ""),
               Kept(calm.accounts[i], flooded.accounts[i]), "%",
               chosen ? ">= 99" : ""});
        }
      }
      if (!policy.limits) continue;
      figures.Add(
          {"floods",
           fmt::format("{}, {}: keys run twice", size.name, policy.name),
           static_cast<double>(doubled), "requests", "0"});
      figures.Add({"floods",
                   fmt::format("{}, {}: requests without an answer", size.name,
                               policy.name),
                   static_cast<double>(lost), "requests", "0"});
      figures.Add(
          {"floods",
           fmt::format("{}, {}: not_run that ran", size.name, policy.name),
           static_cast<double>(false_not_run), "requests", "0"});
    }
  }
}

const registration kFloods("floods", CompareFloods);

}  // namespace
}  // namespace tamaracklatch::bench
