// Tests of which held segments are sent again, and when.
#include "steering/segment_hold.h"

#include <criterion/criterion.h>

#include <iterator>

#include "steering/segments.h"

namespace tamaracklatch {
namespace {

using std::chrono::milliseconds;
using test::kStart;
using hold_reason = segment_hold::hold_reason;

struct take_row {
  const char* name;
  hold_reason reason;
  bool has_set;
  bool is_settled;
  milliseconds later;
  std::size_t due;
  std::size_t left;
};

Test(hold, returns_segments_when_the_view_is_complete) {
  constexpr take_row kRows[] = {
      {"no set yet", hold_reason::kNoSet, false, false, milliseconds(5), 0, 1},
      {"set came", hold_reason::kNoSet, true, false, milliseconds(5), 1, 0},
      {"set came late", hold_reason::kNoSet, true, true, milliseconds(1001), 0,
       0},
      {"unsettled", hold_reason::kUnsettled, true, false, milliseconds(5), 0,
       1},
      {"settled", hold_reason::kUnsettled, true, true, milliseconds(5), 1, 1},
      {"settled late", hold_reason::kUnsettled, true, true, milliseconds(1001),
       0, 0}};
  for (const take_row& row : kRows) {
    segment_hold hold(4);
    hold.Keep(7, row.reason, "segment", false, kStart);
    const auto due = hold.TakeDue(row.has_set, row.is_settled,
                                  time_point::max(), kStart + row.later);
    cr_assert(due.size() == row.due, "%s", row.name);
    cr_assert(hold.size() == row.left, "%s", row.name);
    if (!due.empty()) cr_assert(due.front() == "segment", "%s", row.name);
  }
}

Test(hold, repeats_a_settled_segment_once) {
  segment_hold hold(4);
  hold.Keep(7, hold_reason::kUnsettled, "segment", false, kStart);
  cr_assert(hold.TakeDue(true, true, time_point::max(), kStart).size() == 1);
  cr_assert(
      hold.TakeDue(true, true, time_point::max(), kStart + milliseconds(99))
          .empty());
  cr_assert(
      hold.TakeDue(true, true, time_point::max(), kStart + milliseconds(100))
          .size() == 1);
  cr_assert(hold.size() == 0);
}

Test(hold, returns_a_segment_once_the_view_of_its_arrival_is_confirmed) {
  segment_hold hold(4);
  const time_point now = kStart + milliseconds(300);
  hold.Keep(7, hold_reason::kUnsettled, "segment", false, kStart);
  cr_assert(hold.TakeDue(true, true, kStart - milliseconds(1), now).empty());
  cr_assert(hold.TakeDue(true, true, kStart, now).size() == 1);
}

Test(hold, keeps_the_last_segment_of_a_flow_until_its_owner_is_known) {
  segment_hold hold(2);
  hold.Keep(7, hold_reason::kNoSet, "first", false, kStart);
  hold.Keep(7, hold_reason::kNoSet, "last", false, kStart + milliseconds(200));
  hold.Keep(8, hold_reason::kNoSet, "other", false, kStart);
  hold.Keep(9, hold_reason::kNoSet, "no room", false, kStart);
  hold.Remove(8);
  const auto due =
      hold.TakeDue(true, false, time_point::max(), kStart + milliseconds(1100));
  cr_assert(due.size() == 1);
  cr_assert(due.front() == "last");
}

Test(hold, keeps_the_first_copy_of_an_opening) {
  segment_hold hold(2);
  hold.Keep(7, hold_reason::kNoSet, "copy 0", true, kStart);
  hold.Keep(7, hold_reason::kNoSet, "copy 1", true, kStart + milliseconds(200));
  hold.Keep(7, hold_reason::kNoSet, "copy 2", true, kStart + milliseconds(600));
  const auto due =
      hold.TakeDue(true, false, time_point::max(), kStart + milliseconds(1500));
  cr_assert(due.size() == 1);
  cr_assert(due.front() == "copy 0");
  hold.Keep(8, hold_reason::kNoSet, "copy 0", true, kStart);
  hold.Keep(8, hold_reason::kNoSet, "data", false, kStart);
  cr_assert(hold.TakeDue(true, false, time_point::max(), kStart).front() ==
            "data");
}

}  // namespace
}  // namespace tamaracklatch
