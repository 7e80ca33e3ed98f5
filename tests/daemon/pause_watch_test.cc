// Test of the watch for pauses of the process.
#include "daemon/pause_watch.h"

#include <criterion/criterion.h>

namespace tamaracklatch {
namespace {

using std::chrono::milliseconds;

// Guards against an order that arrived during a pause and is read before the
// first timer fires after it.
Test(pause_watch, a_pause_counts_as_recent_for_a_while) {
  pause_watch watch(milliseconds(1000), milliseconds(1000));
  const time_point start{};
  struct row {
    int at_ms;
    bool is_order;  // else a timer
    bool is_recent;
  };
  for (const row& each :
       {row{0, true, false}, row{900, false, false}, row{1800, true, false},
        row{2800, true, true}, row{3300, false, false}, row{3799, true, true},
        row{3800, true, false}, row{6000, false, false}, row{6500, true, true},
        row{7000, true, false}}) {
    const time_point now = start + milliseconds(each.at_ms);
    if (!each.is_order) {
      watch.OnTurn(now);
    } else {
      cr_expect_eq(watch.IsRecent(now), each.is_recent, "%d", each.at_ms);
    }
  }
}

}  // namespace
}  // namespace tamaracklatch
