// Tests of the limit of openings at a cold target.
#include "steering/cold_admission.h"

#include <vector>

#include "steering/segments.h"
#include "support/property.h"

namespace tamaracklatch {
namespace {

using std::chrono::microseconds;
using std::chrono::seconds;
using test::kStart;

Test(cold_admission, rounds_limits_up) {
  struct row {
    double limit;
    std::uint32_t openings;
  };
  constexpr row kRows[] = {{0.0, 0}, {-1.0, 0}, {0.2, 1},         {1.0, 1},
                           {1.5, 2}, {5.0, 5},  {1e18, 1'000'000}};
  for (const row& each : kRows)
    cr_expect(ColdOpeningsPerSecond(each.limit) == each.openings, "%f",
              each.limit);
}

// Guards against a count by fixed seconds or a decaying one, which lets more
// openings through in a second that spans two of its periods.
Test(cold_admission, keeps_the_limit_in_each_span_of_a_second) {
  test::CheckProperty("spans", [] {
    const auto limit = *rc::gen::inRange<std::uint32_t>(1, 30);
    cold_admission admission;
    admission.SetLimit(limit);
    time_point now = kStart;
    std::vector<time_point> delivered;
    for (const int gap : *rc::gen::container<std::vector<int>>(
             400, rc::gen::element(0, 1, 999, 50'000, 250'000, 1'000'000))) {
      now += microseconds(gap);
      std::size_t within = 0;
      for (const time_point each : delivered)
        within += now - each <= seconds(1) ? 1 : 0;
      // Refuses no opening that the limit allows either.
      RC_ASSERT(admission.HasRoom(now) == (within < limit));
      if (!admission.HasRoom(now)) continue;
      admission.OnDelivered(now);
      delivered.push_back(now);
    }
  });
}

}  // namespace
}  // namespace tamaracklatch
