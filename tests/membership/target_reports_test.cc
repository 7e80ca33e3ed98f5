// Tests of which reports of a target are accepted.
#include "tamaracklatch/membership/target_reports.h"

#include <criterion/criterion.h>

#include <optional>
#include <vector>

namespace tamaracklatch {
namespace {

using std::chrono::milliseconds;

const endpoint kTarget{MakeV4(0x0a000009), 80};
const target_reports_settings kSettings{"desk", kTarget, milliseconds(2000),
                                        milliseconds(1500),
                                        milliseconds(60000)};

// The clock of the daemon's VM.
constexpr wall_time kWall{std::chrono::seconds(1700000000)};

target_report Report(std::uint64_t start, std::uint64_t sequence,
                     bool draining = false) {
  target_report report;
  report.id = "i-" + std::to_string(start);
  report.service = "desk";
  report.where = kTarget;
  report.start = start;
  report.sequence = sequence;
  report.draining = draining;
  report.slots = 4;
  return report;
}

struct report_row {
  target_report report;
  result_code code;
  target_condition condition;  // afterwards
};

target_report Foreign(target_report report) {
  report.service = "archive";
  return report;
}

Test(target_reports, follow_the_newest_start_and_sequence) {
  using condition = target_condition;
  const std::vector<report_row> rows{
      {Foreign(Report(9, 9)), result_code::kHeartbeatForeign,
       condition::kUnreported},
      {Report(5, 1), result_code::kOk, condition::kReady},
      {Report(5, 1), result_code::kHeartbeatStale, condition::kReady},
      {Report(5, 3, true), result_code::kOk, condition::kDraining},
      {Report(5, 2), result_code::kHeartbeatStale, condition::kDraining},
      {Report(5, 4), result_code::kOk, condition::kDraining},
      {Report(4, 9), result_code::kHeartbeatStale, condition::kDraining},
      {Report(6, 0), result_code::kOk, condition::kReady},
      {Report(5, 9, true), result_code::kHeartbeatStale, condition::kReady},
  };
  target_reports reports(kSettings, time_point());
  for (const report_row& row : rows) {
    cr_expect(reports.OnReport(row.report, time_point(), kWall) == row.code);
    cr_expect(reports.status().condition == row.condition);
  }
}

// Guards against a time of the last report that something else than a report of
// the running target sets.
Test(target_reports, only_a_report_sets_the_time_of_the_last) {
  target_reports reports(kSettings, time_point());
  const auto at = [](int count) { return time_point(milliseconds(count)); };
  const auto reported_at = [&] { return reports.status().reported_at; };
  cr_expect(reported_at() == time_point());
  reports.OnReport(Foreign(Report(5, 1)), at(100), kWall);
  cr_expect(reported_at() == time_point());
  reports.OnReport(Report(5, 1), at(200), kWall);
  cr_expect(reported_at() == at(200));
  reports.OnReport(Report(5, 1), at(300), kWall);  // stale
  reports.OnReport(Report(4, 9), at(300), kWall);  // of an earlier start
  cr_expect(reported_at() == at(200));
  target_report waiting = Report(5, 2);
  waiting.has_waited = true;
  cr_expect(reports.OnReport(waiting, at(400), kWall) == result_code::kOk);
  cr_expect(reported_at() == at(200));
  reports.OnReport(Report(5, 3, true), at(500), kWall);
  cr_expect(reported_at() == at(500));
  reports.OnNoListener(kWall);
  cr_expect(reports.Tick(at(9000)));
  reports.OnEnd("i-5");
  cr_expect(reported_at() == at(500));
  reports.OnReport(Report(5, 4), at(9100), kWall);  // after its end
  cr_expect(reported_at() == at(500));
  reports.OnReport(Report(6, 1), at(9200), kWall);
  cr_expect(reported_at() == at(9200));
}

Test(target_reports, an_end_is_final_for_its_start) {
  target_reports reports(kSettings, time_point());
  reports.OnReport(Report(5, 1), time_point(), kWall);
  cr_expect(reports.OnEnd("i-4") == result_code::kHeartbeatStale);
  cr_expect(reports.OnEnd("i-5") == result_code::kOk);
  cr_expect(reports.ended());
  cr_expect(reports.OnReport(Report(5, 2), time_point(), kWall) ==
            result_code::kHeartbeatStale);
  cr_expect(reports.status().condition == target_condition::kAbsent);
  cr_expect(reports.OnReport(Report(6, 1), time_point(), kWall) ==
            result_code::kOk);
  cr_expect(!reports.ended());
}

Test(target_reports, silence_makes_absent_until_the_next_report) {
  target_reports reports(kSettings, time_point());
  reports.OnReport(Report(5, 1), time_point(), kWall);
  cr_expect(!reports.Tick(time_point(milliseconds(1999))));
  cr_expect(reports.Tick(time_point(milliseconds(2000))));
  cr_expect(reports.status().condition == target_condition::kAbsent);
  cr_expect(!reports.ended());
  cr_expect(!reports.Tick(time_point(milliseconds(2001))));
  reports.OnReport(Report(5, 2), time_point(milliseconds(2500)), kWall);
  cr_expect(reports.status().condition == target_condition::kReady);
}

Test(target_reports, a_daemon_without_listener_and_report_has_no_target) {
  target_reports reports(kSettings, time_point());
  reports.OnNoListener(kWall);
  cr_expect(!reports.ended());
  cr_expect(!reports.Tick(time_point(milliseconds(1499))));
  cr_expect(reports.status().condition == target_condition::kUnreported);
  cr_expect(reports.Tick(time_point(milliseconds(1500))));
  cr_expect(reports.status().condition == target_condition::kAbsent);
  cr_expect(reports.ended());
  cr_expect(reports.OnReport(Report(5, 7), time_point(milliseconds(1501)),
                             kWall) == result_code::kOk);
  cr_expect(!reports.ended());
  cr_expect(!reports.saw_start());
}

// Guards against resets of open flows after a restart of the daemon: a target
// may begin with any sequence.
// Guards against resets of open flows at a target whose first report to a
// restarted daemon is late: a missing report proves no absence.
Test(target_reports, a_target_that_may_be_running_stays_unreported) {
  target_reports reports(kSettings, time_point());
  cr_expect(!reports.Tick(time_point(milliseconds(1500))));
  cr_expect(!reports.Tick(time_point(milliseconds(59999))));
  cr_expect(reports.status().condition == target_condition::kUnreported);
  cr_expect(!reports.ended());
  // It ended without a report.
  target_reports later = reports;
  later.OnNoListener(kWall);
  cr_expect(later.Tick(time_point(milliseconds(59999))));
  cr_expect(later.status().condition == target_condition::kAbsent);
  // Its flows from before the daemon's start are over.
  cr_expect(reports.Tick(time_point(milliseconds(60000))));
  cr_expect(reports.status().condition == target_condition::kAbsent);
}

Test(target_reports, no_sequence_shows_that_the_start_was_observed) {
  for (const std::uint64_t sequence : {0U, 1U, 2U, 40U}) {
    target_reports reports(kSettings, time_point());
    reports.OnReport(Report(5, sequence), time_point(), kWall);
    cr_expect(!reports.saw_start(), "%d", static_cast<int>(sequence));
  }
}

struct observed_row {
  const char* name;
  std::optional<milliseconds> probed;  // without a listener; after kWall
  milliseconds started;                // of the target; after kWall
  bool saw_start;
};

Test(target_reports, know_whether_the_start_was_observed) {
  const observed_row rows[] = {
      {"no probe, or it found a listener", std::nullopt, milliseconds(10),
       false},
      {"started before the probe", milliseconds(5), milliseconds(4), false},
      {"in the millisecond of the probe", milliseconds(5), milliseconds(5),
       false},
      {"started after the probe", milliseconds(5), milliseconds(6), true},
      {"the clock was set back between", milliseconds(5), milliseconds(-900),
       false},
  };
  constexpr auto kEpoch = kWall.time_since_epoch() / milliseconds(1);
  for (const observed_row& row : rows) {
    target_reports reports(kSettings, time_point());
    if (row.probed) reports.OnNoListener(kWall + *row.probed);
    const auto start = static_cast<std::uint64_t>(kEpoch + row.started.count());
    reports.OnReport(Report(start, 0), time_point(), kWall);
    cr_expect(reports.saw_start() == row.saw_start, "%s", row.name);
  }
}

Test(target_reports, an_impossible_start_leaves_the_true_one_in_use) {
  constexpr std::uint64_t kStart = 1700000000000;
  constexpr std::uint64_t kDay = 86400000;
  struct row {
    std::uint64_t start;
    result_code code;
  };
  constexpr row kRows[] = {
      {UINT64_MAX, result_code::kHeartbeatMalformed},
      {kStart + kDay + 1, result_code::kHeartbeatMalformed},
      {kStart + kDay, result_code::kOk},
  };
  for (const row& each : kRows) {
    target_reports reports(kSettings, time_point());
    reports.OnReport(Report(kStart, 1), time_point(), kWall);
    cr_expect(reports.OnReport(Report(each.start, 2), time_point(), kWall) ==
              each.code);
    const result_code next =
        reports.OnReport(Report(kStart, 3), time_point(), kWall);
    cr_expect((next == result_code::kOk) ==
              (each.code == result_code::kHeartbeatMalformed));
  }
}

}  // namespace
}  // namespace tamaracklatch
