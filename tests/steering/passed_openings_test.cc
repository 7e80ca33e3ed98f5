// Tests of how long flows whose opening was passed on are kept, and of the
// bound.
#include "steering/passed_openings.h"

#include <criterion/criterion.h>

#include "steering/segments.h"

namespace tamaracklatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using test::kStart;

Test(passed_openings, keeps_a_flow_for_its_retention) {
  passed_openings passed(4);
  passed.Insert(7, kStart);
  passed.Insert(7, kStart + seconds(1));
  cr_expect(passed.Contains(7, kStart + milliseconds(2999)));
  cr_expect(!passed.Contains(7, kStart + seconds(3)));
  cr_expect(!passed.Contains(8, kStart));
  passed.Insert(7, kStart + seconds(4));
  cr_expect(passed.Contains(7, kStart + seconds(6)));
}

// Beyond the bound it forgets no flow, but says that of others too.
Test(passed_openings, contains_all_flows_while_it_may_have_forgotten_one) {
  passed_openings passed(4);
  for (std::uint64_t flow = 1; flow <= 5; ++flow)
    passed.Insert(flow, kStart + milliseconds(100) * flow);
  const time_point forgotten_until = kStart + milliseconds(3100);
  for (std::uint64_t flow = 1; flow <= 9; ++flow)
    cr_expect(passed.Contains(flow, forgotten_until - milliseconds(1)));
  cr_expect(!passed.Contains(1, forgotten_until));
  cr_expect(passed.Contains(2, forgotten_until));
  cr_expect(!passed.Contains(9, forgotten_until));
}

}  // namespace
}  // namespace tamaracklatch
