// Tests of when a process is said to have stood still.
#include "daemon/standstill_watch.h"

#include <criterion/criterion.h>

#include <vector>

namespace tamaracklatch {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kLeast{500};

// One timer: when it was due, when it fired, and by how much the clock that
// goes on through a suspend was ahead by then.
struct firing {
  int due;        // ms
  int fired;      // ms
  int ahead;      // ms
  int stood = 0;  // ms; 0: nothing told
};

struct row {
  const char* name;
  std::vector<firing> firings;
};

Test(standstill_watch, tells_each_standstill_once) {
  const std::vector<row> table = {
      {"in time", {{100, 100, 7}, {200, 201, 7}}},
      {"late by less than the bound", {{100, 599, 7}, {700, 1199, 7}}},
      {"stopped", {{100, 100, 7}, {200, 4200, 7, 4000}, {4300, 4300, 7}}},
      {"several timers held up by one stop",
       {{150, 4200, 7, 4050}, {200, 4200, 7}, {3900, 4201, 7}}},
      {"stopped again", {{100, 900, 7, 800}, {1000, 1700, 7, 700}}},
      {"suspended", {{100, 100, 7}, {200, 210, 3007, 3010}, {300, 300, 3007}}},
      {"clocks that drift", {{100, 100, 7}, {200, 200, 9}, {300, 300, 11}}},
      {"a first timer that is ahead", {{100, 100, 90000}}},
      {"the other clock falls back", {{100, 100, 7}, {200, 200, 3}}},
  };
  for (const row& each : table) {
    standstill_watch watch(kLeast);
    for (const firing& timer : each.firings) {
      const time_point fired{milliseconds(timer.fired)};
      const auto stood =
          watch.OnTimer(time_point(milliseconds(timer.due)), fired,
                        fired + milliseconds(timer.ahead));
      cr_expect(stood.value_or(duration(0)) == milliseconds(timer.stood),
                "%s, at %d ms", each.name, timer.fired);
    }
  }
}

}  // namespace
}  // namespace tamaracklatch
