// Tests of which openings count as opened by a replaced set.
#include "steering/outdated_openings.h"

#include <criterion/criterion.h>

#include <vector>

#include "steering/segments.h"

namespace tamaracklatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using test::kStart;

struct opening_row {
  const char* name;
  std::vector<std::uint64_t> versions;  // of the openings, at kStart
  std::uint64_t accepted;               // version
  milliseconds as_of;                   // after kStart
  milliseconds asked;                   // after kStart
  std::uint64_t expected;
  bool is_in_touch = true;
};

// Guards against flows by a replaced set that are not reported, and against
// reports of flows that were opened while there was no leader.
Test(outdated_openings, counts_flows_by_a_set_that_was_replaced) {
  const std::vector<opening_row> rows = {
      {"none", {}, 9, seconds(0), seconds(0), 0},
      {"the newest set", {9}, 9, seconds(0), seconds(0), 0},
      {"a replaced set", {8}, 9, seconds(0), seconds(0), 8},
      {"the lowest of several", {8, 5, 9}, 9, seconds(0), seconds(0), 5},
      {"as long as flows last", {8}, 9, seconds(59), milliseconds(59999), 8},
      {"when they are over", {8}, 9, seconds(60), seconds(60), 0},
      {"no leader for a while", {9}, 9, seconds(-1), seconds(11), 0},
      {"no leader for long", {9}, 9, seconds(-1), milliseconds(11001), 9},
      {"no control VM responds", {9}, 9, seconds(-1), seconds(0), 9, false},
      {"none, but the set was confirmed",
       {9},
       9,
       seconds(0),
       seconds(0),
       0,
       false},
      {"a leader again", {9}, 9, seconds(1), seconds(30), 0},
      {"replaced meanwhile", {9}, 10, seconds(1), seconds(2), 9},
      {"a set unknown here yet", {12}, 9, seconds(1), seconds(2), 0},
  };
  for (const opening_row& row : rows) {
    outdated_openings openings(seconds(60));
    for (const std::uint64_t version : row.versions)
      openings.Add(version, kStart);
    openings.SetAccepted(row.accepted, kStart + row.as_of);
    cr_expect_eq(openings.LowestVersion(row.is_in_touch, kStart + row.asked),
                 row.expected, "%s", row.name);
  }
}

// A set that is accepted after the quorum confirmed the one before does not
// make that one's openings outdated.
Test(outdated_openings, forgets_openings_that_were_by_the_newest_set) {
  outdated_openings openings(seconds(60));
  openings.Add(9, kStart);
  openings.SetAccepted(9, kStart);
  openings.SetAccepted(10, kStart + seconds(1));
  cr_expect_eq(openings.LowestVersion(true, kStart + seconds(1)), 0U);
  openings.Add(9, kStart + seconds(1));
  cr_expect_eq(openings.LowestVersion(true, kStart + seconds(1)), 9U);
}

Test(outdated_openings, is_bounded_and_keeps_the_lowest_version) {
  outdated_openings openings(seconds(60));
  openings.SetAccepted(2000, kStart + seconds(30));
  for (std::uint64_t version = 1; version <= 1000; ++version)
    openings.Add(version, kStart + milliseconds(10) * version);
  cr_expect_eq(openings.LowestVersion(true, kStart + seconds(60)), 1U);
  cr_expect_eq(openings.LowestVersion(true, kStart + seconds(69)), 1U);
}

}  // namespace
}  // namespace tamaracklatch
