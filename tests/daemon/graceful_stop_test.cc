// The table of stops: what a daemon hears after the signal, and when it ends.
#include "daemon/graceful_stop.h"

#include <criterion/criterion.h>

#include <vector>

namespace tamaracklatch::test {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kSignal{1000};  // when the stop begins
const graceful_stop_settings kSettings{milliseconds(5800), milliseconds(2900),
                                       milliseconds(250)};

struct stop_row {
  const char* name;
  std::vector<int> arrivals;  // milliseconds after the signal
  int work_ends;              // milliseconds after the signal; -1: never
  int done;                   // milliseconds after the signal
};

// Each row is played in steps of 50 ms, the arrivals of a step first.
Test(graceful_stop, ends_when_nothing_arrives_or_at_its_limit) {
  const std::vector<stop_row> rows{
      {"nothing arrives", {}, -1, 2900},
      {"arrivals before the signal", {-900, -50}, -1, 2900},
      {"the fabric goes on for a while", {0, 500, 1000, 1500}, -1, 4400},
      {"the fabric never leaves off",
       {0, 1000, 2000, 3000, 4000, 5000, 5750},
       -1,
       5800},
      {"a pause just below the limit of silence", {2850}, -1, 5750},
      {"one segment late", {2850, 5700}, -1, 5800},
      {"nothing is left to serve", {}, 0, 250},
      {"nothing is left, segments arrive still", {50, 100, 150}, 0, 250},
      {"the work ends during the stop", {0, 1000, 2000}, 2500, 2750},
      {"the work ends just before the limit", {2000, 4000, 5000}, 5700, 5800},
      {"the work had ended before the signal", {}, -500, 250},
  };
  for (const stop_row& row : rows) {
    graceful_stop stop(kSettings);
    int done = -1;
    for (int at = -1000; at <= 10000 && done < 0; at += 50) {
      const time_point now{kSignal + milliseconds(at)};
      if (at == 0) stop.Begin(now);
      cr_assert_eq(stop.HasBegun(), at >= 0);
      for (const int arrival : row.arrivals) {
        if (arrival == at) stop.OnArrival(now);
      }
      if (row.work_ends != -1 && at >= row.work_ends) stop.OnWorkEnded(now);
      if (stop.IsDone(now)) done = at;
    }
    cr_expect_eq(done, row.done, "%s: %d", row.name, done);
  }
}

// A daemon beside a target takes requests until other nodes know of the stop;
// each step in which one is in progress counts as an arrival.
Test(graceful_stop, goes_on_while_requests_come_and_are_answered) {
  struct request_row {
    const char* name;
    int from;  // milliseconds after the signal; -1: no request
    int to;
    int done;
  };
  constexpr request_row kRows[] = {
      {"no request", -1, -1, 4000},
      {"answered before the signal", -300, -50, 4000},
      {"in progress at the signal", -300, 1000, 4950},
      {"just after the signal", 100, 400, 4350},
      {"a long one", 0, 90000, 93950},
  };
  graceful_stop_settings settings;
  settings.limit = std::chrono::hours(24);
  settings.quiet = std::chrono::seconds(4);
  for (const request_row& row : kRows) {
    graceful_stop stop(settings);
    int done = -1;
    for (int at = -1000; at <= 100000 && done < 0; at += 50) {
      const time_point now{kSignal + milliseconds(at)};
      if (at == 0) stop.Begin(now);
      if (row.from <= at && at < row.to) stop.OnArrival(now);
      if (stop.IsDone(now)) done = at;
    }
    cr_expect_eq(done, row.done, "%s: %d", row.name, done);
  }
}

// A pause is no end where what comes next can't be known.
Test(graceful_stop, without_a_silence_to_go_by_ends_at_its_limit) {
  graceful_stop_settings settings = kSettings;
  settings.quiet.reset();
  for (const bool has_arrival : {false, true}) {
    graceful_stop stop(settings);
    stop.Begin(time_point(kSignal));
    if (has_arrival) stop.OnArrival(time_point(kSignal + milliseconds(10)));
    cr_expect(
        !stop.IsDone(time_point(kSignal + settings.limit - milliseconds(1))));
    cr_expect(stop.IsDone(time_point(kSignal + settings.limit)));
  }
  graceful_stop stop(settings);
  stop.Begin(time_point(kSignal));
  stop.OnWorkEnded(time_point(kSignal));
  cr_expect(stop.IsDone(time_point(kSignal + settings.farewell)));
}

Test(graceful_stop, a_second_signal_does_not_prolong_it) {
  graceful_stop stop(kSettings);
  stop.Begin(time_point(kSignal));
  stop.Begin(time_point(kSignal + milliseconds(2000)));
  cr_expect(stop.IsDone(time_point(kSignal + *kSettings.quiet)));
}

}  // namespace
}  // namespace tamaracklatch::test
