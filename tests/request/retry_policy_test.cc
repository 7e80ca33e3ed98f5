// Tests of retries: only what may be repeated, only within the budget.
#include "tamaracklatch/request/retry_policy.h"

#include <vector>

#include "support/property.h"

namespace tamaracklatch {
namespace {

time_point At(int ms) { return time_point(std::chrono::milliseconds(ms)); }

struct retry_row {
  const char* name;
  try_failure what;
  bool repeatable;
  std::uint32_t tries;
  int deadline_ms;
  bool again;
};

Test(retry, only_what_may_be_repeated) {
  const std::vector<retry_row> rows{
      {"proven", try_failure::kProvenNotRun, false, 1, 9000, true},
      {"may have run", try_failure::kMayHaveRun, false, 1, 9000, false},
      {"repeatable", try_failure::kMayHaveRun, true, 1, 9000, true},
      {"third try", try_failure::kProvenNotRun, true, 3, 9000, false},
      {"late", try_failure::kProvenNotRun, true, 1, 1000, false}};
  for (const retry_row& row : rows) {
    retry_policy policy{retry_settings{}};
    for (int i = 0; i < 100; ++i) policy.OnFirstTry();
    random_source random(1);
    const auto delay = policy.Retry(row.what, row.repeatable, row.tries,
                                    std::chrono::seconds(1),
                                    At(row.deadline_ms), At(0), &random);
    cr_expect(delay.has_value() == row.again, "%s", row.name);
    if (delay) cr_expect(*delay > std::chrono::seconds(1));
  }
}

Test(retry, budget_bounds_the_retries) {
  test::CheckProperty("retries stay below a tenth of first tries",
                      [](const std::vector<bool>& steps, std::uint64_t seed) {
                        retry_policy policy{retry_settings{}};
                        random_source random(seed);
                        double first = 0;
                        double again = 0;
                        for (const bool fails : steps) {
                          policy.OnFirstTry();
                          first += 1;
                          if (!fails) continue;
                          const auto delay = policy.Retry(
                              try_failure::kProvenNotRun, false, 1, duration(0),
                              At(9000), At(0), &random);
                          if (delay) again += 1;
                          RC_ASSERT(again <= 0.1 * first + 1e-9);
                        }
                      });
}

}  // namespace
}  // namespace tamaracklatch
