// Balance of the targets under misleading load reports, and tries a request in
// an outage, in virtual time.
#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <string>
#include <vector>

#include "report.h"
#include "request_fleet.h"
#include "tamaracklatch/request/retry_policy.h"

namespace tamaracklatch::bench {
namespace {

constexpr double kSlotRate = 10.0;  // requests a second a slot can end

// --- Balance.

constexpr duration kBalanceLength = std::chrono::seconds(1000);

struct choice_row {
  const char* name;
  pick_policy pick;
  bool hand_over;
};

struct report_kind {
  const char* name;
  duration lag;
  bool lying;
};

double Percentile(std::vector<double> values, double percent) {
  if (values.empty()) return 0.0;
  std::sort(values.begin(), values.end());
  const double rank =
      std::ceil(percent / 100.0 * static_cast<double>(values.size()));
  return values[static_cast<std::size_t>(std::max(rank, 1.0)) - 1];
}

void CompareBalance(report& figures) {
  const std::vector<choice_row> choices{
      {"random", pick_random{}, false},
      {"least reported", pick_least_reported{}, false},
      {"chosen", pick_random{}, true}};
  const std::vector<report_kind> reports{
      {"truthful", duration(0), false},
      {"5 s late", std::chrono::seconds(5), false},
      {"lying", duration(0), true}};
  for (const std::size_t targets : {7U, 4U, 3U}) {
    for (const report_kind& kind : reports) {
      for (const choice_row& choice : choices) {
        request_class only;
        only.name = "card";
        only.guaranteed_share = 1.0;
        fleet_settings settings;
        settings.targets = targets;
        settings.classes = {only};
        settings.pick = choice.pick;
        settings.hand_over = choice.hand_over;
        settings.report_lag = kind.lag;
        settings.lying = kind.lying;
        settings.seed = 20261204;
        fleet_load load;
        load.class_name = only.name;
        load.rate =
            0.7 * static_cast<double>(targets * settings.slots) * kSlotRate;
        load.until = kBalanceLength;
        request_fleet fleet(settings);
        const fleet_result result = fleet.Run({load}, kBalanceLength);
        figures.Add({"balance",
                     fmt::format("{}x4, reports {}, {}: busiest over mean, p99 "
                                 "of 10 s windows",
                                 targets, kind.name, choice.name),
                     Percentile(result.imbalance, 99.0), "max/mean",
                     choice.hand_over ? "<= 1.15" : ""});
      }
    }
  }
}

const registration kBalance("balance", CompareBalance);

// --- Retries in an outage.

struct outage_result {
  std::uint64_t requests = 0;
  std::uint64_t tries = 0;
  std::uint64_t answered = 0;
};

// Requests at a fixed rate; a third of the targets refuses every connection
// from 5 s to 25 s of 40 s. Other tries are answered after 100 ms.
outage_result RunOutage(std::size_t targets, bool budget, bool health) {
  random_source random(20261204);
  health_settings watch;
  if (!health) watch.max_ejected_share = 0.0;
  target_health fleet(watch);
  for (std::uint32_t i = 0; i < targets; ++i) {
    fleet.Join({i, 1}, 4, false, time_point{});
  }
  retry_policy policy{retry_settings{}};
  outage_result result;
  const std::size_t dead = std::max<std::size_t>(1, targets / 3);
  const double rate = 0.5 * static_cast<double>(targets) * 4 * kSlotRate;
  const duration gap(static_cast<duration::rep>(1e6 / rate));
  for (time_point now{}; now < time_point(std::chrono::seconds(40));
       now += gap) {
    const bool outage = now >= time_point(std::chrono::seconds(5)) &&
                        now < time_point(std::chrono::seconds(25));
    fleet.Tick(now);
    ++result.requests;
    policy.OnFirstTry();
    for (std::uint32_t tries = 1;; ++tries) {
      ++result.tries;
      const auto target = fleet.Choose(std::nullopt, now, &random);
      fleet.OnBegin(*target);
      const bool fails = outage && target->index < dead;
      fleet.OnEnd(*target, fails ? try_result::kFailed : try_result::kAnswered,
                  now);
      if (!fails) {
        ++result.answered;
        break;
      }
      if (!budget && tries < 3) continue;
      if (!budget ||
          !policy.Retry(try_failure::kProvenNotRun, false, tries, duration(0),
                        now + std::chrono::seconds(5), now, &random)) {
        break;
      }
    }
  }
  return result;
}

void CompareRetries(report& figures) {
  for (const std::size_t targets : {7U, 4U, 3U}) {
    for (const bool chosen : {false, true}) {
      const outage_result result = RunOutage(targets, chosen, chosen);
      const char* name = chosen ? "budget and ejection" : "three tries at once";
      const auto requests = static_cast<double>(result.requests);
      figures.Add(
          {"retries",
           fmt::format("{}x4, a third out for 20 s, {}: tries a request",
                       targets, name),
           static_cast<double>(result.tries) / requests, "tries",
           chosen ? "<= 1.1" : ""});
      figures.Add({"retries",
                   fmt::format("{}x4, a third out for 20 s, {}: answered",
                               targets, name),
                   100.0 * static_cast<double>(result.answered) / requests, "%",
                   ""});
    }
  }
}

const registration kRetries("retries", CompareRetries);

}  // namespace
}  // namespace tamaracklatch::bench
