// Tests of the health of targets: ramps, the limit of ejections, and the
// limited influence of reports on choices.
#include "tamaracklatch/membership/target_health.h"

#include <map>
#include <vector>

#include "support/property.h"

namespace tamaracklatch {
namespace {

time_point At(int seconds) { return time_point(std::chrono::seconds(seconds)); }

target_id Target(std::uint32_t index) { return {index, 1}; }

target_health MakeTargets(std::uint32_t count) {
  target_health health{health_settings{}};
  for (std::uint32_t i = 0; i < count; ++i) {
    health.Join(Target(i), 4, false, At(0));
  }
  return health;
}

void RecordTries(target_health* health, target_id target, int answered,
                 int failed) {
  for (int i = 0; i < answered + failed; ++i) {
    health->OnBegin(target);
    health->OnEnd(target,
                  i < answered ? try_result::kAnswered : try_result::kFailed,
                  At(0));
  }
}

Test(health, a_cold_target_ramps_up) {
  target_health health{health_settings{}};
  health.Join(Target(0), 4, true, At(100));
  cr_expect(health.WeightOf(Target(0), At(100)) == 0.4);
  cr_expect(health.WeightOf(Target(0), At(105)) == 2.0);
  cr_expect(health.WeightOf(Target(0), At(110)) == 4.0);
}

struct ejection_row {
  std::uint32_t targets;
  std::uint32_t failing;
  std::size_t ejected;
};

Test(health, ejections_stay_within_their_bound) {
  const std::vector<ejection_row> rows{{2, 1, 0}, {3, 1, 1}, {4, 1, 1},
                                       {7, 2, 2}, {7, 3, 2}, {7, 7, 0}};
  for (const ejection_row& row : rows) {
    target_health health = MakeTargets(row.targets);
    for (std::uint32_t i = 0; i < row.targets; ++i) {
      const bool fails = i < row.failing;
      RecordTries(&health, Target(i), fails ? 0 : 20, fails ? 20 : 0);
    }
    const std::size_t ejected = health.Tick(At(1)).size();
    cr_expect(ejected == row.ejected, "%u of %u: %zu", row.failing, row.targets,
              ejected);
  }
}

Test(health, an_ejected_target_returns_cold_and_is_ejected_longer_next_time) {
  target_health health = MakeTargets(3);
  RecordTries(&health, Target(1), 20, 0);
  RecordTries(&health, Target(0), 0, 20);
  cr_assert(health.Tick(At(1)).size() == 1);
  cr_expect(health.WeightOf(Target(0), At(2)) == 0.0);
  const auto restored = health.Tick(At(6));
  cr_assert(restored.size() == 1 && !restored[0].ejected);
  cr_expect(health.WeightOf(Target(0), At(6)) == 0.4);
  RecordTries(&health, Target(1), 20, 0);
  RecordTries(&health, Target(0), 0, 20);
  cr_assert(health.Tick(At(7)).size() == 1);
  cr_expect(health.Tick(At(16)).empty());
  cr_expect(health.Tick(At(17)).size() == 1);
}

// If all reports favor one target at once, all requests must not go to it: it
// gets less than 1.3 times its share.
Test(health, a_favored_target_gets_little_more_than_its_share) {
  target_health health = MakeTargets(7);
  for (std::uint32_t i = 0; i < 7; ++i) {
    health.OnReport(Target(i), i == 0 ? 0.0 : 1.0, At(10));
  }
  random_source random(1);
  std::map<target_id, int> chosen;
  constexpr int kTries = 7000;
  for (int i = 0; i < kTries; ++i) {
    ++chosen[*health.Choose(std::nullopt, At(10), &random)];
  }
  cr_expect(chosen[Target(0)] < kTries / 7 * 13 / 10, "%d", chosen[Target(0)]);
}

Test(health, own_open_tries_come_before_reports) {
  test::CheckProperty(
      "the target with fewer own tries is chosen", [](std::uint64_t seed) {
        random_source random(seed);
        target_health health = MakeTargets(2);
        health.OnBegin(Target(0));
        health.OnReport(Target(0), 0.0, At(10));
        health.OnReport(Target(1), 1.0, At(10));
        const auto chosen = health.Choose(std::nullopt, At(10), &random);
        RC_ASSERT(*chosen == Target(1));
        RC_ASSERT(*health.Choose(Target(1), At(10), &random) == Target(0));
      });
}

}  // namespace
}  // namespace tamaracklatch
