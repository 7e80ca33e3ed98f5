// What a target says of itself to the daemon beside it, and the judgment of
// which reports to believe: reports may be late, of an earlier start, of
// another service, or unreadable.
//
//   target_reports reports(settings, now);
//   result_code code = reports.OnReport(report, now);
//   if (reports.Tick(now)) ...;          // the status may have changed
//   const target_status& status = reports.status();
#pragma once

#include <cstdint>
#include <string>

#include "tamaracklatch/core/endpoint.h"
#include "tamaracklatch/core/result_code.h"
#include "tamaracklatch/core/time.h"
#include "tamaracklatch/steering/segment_owner.h"

namespace tamaracklatch {

// One report of a target.
struct target_report {
  std::string id;  // of the target, as it names itself
  std::string service;
  endpoint where;              // of the target itself
  std::uint64_t start = 0;     // ms of the wall clock; orders its starts
  std::uint64_t sequence = 0;  // rises within one start
  bool draining = false;
  std::uint32_t slots = 1;     // requests at a time
  duration cold_remaining{0};  // how much longer it is slow
};

struct target_reports_settings {
  std::string service;
  endpoint where;  // of the target beside the daemon
  // Without a report for this long the target counts as absent.
  duration silence = std::chrono::seconds(2);
  // A target that lives beside a daemon which starts reports to it within this.
  duration first_report = std::chrono::seconds(2);
};

// Invariants: the start never falls; within one start draining stays.
class target_reports {
 public:
  // `now`: the start of the daemon.
  target_reports(const target_reports_settings& settings, time_point now);

  // Takes a report. kOk, kHeartbeatStale or kHeartbeatForeign; all but kOk
  // change nothing.
  result_code OnReport(const target_report& report, time_point now);

  // The target of that id ends. kOk, or kHeartbeatStale for another one.
  result_code OnEnd(const std::string& id);

  // Looks at the silence; true if the status changed.
  bool Tick(time_point now);

  const target_status& status() const { return status_; }
  // Whether the start that is held said that it ends, or no target has reported
  // to this daemon within the bound of the first report.
  bool ended() const {
    return ended_ || (status_.target_start == 0 &&
                      status_.condition == target_condition::kAbsent);
  }
  // Whether the start that is held was seen from its first report on.
  bool saw_start() const { return saw_start_; }

 private:
  target_reports_settings settings_;
  target_status status_;
  std::string id_;
  std::uint64_t sequence_ = 0;
  bool ended_ = false;  // the held start said that it ends
  bool saw_start_ = false;
  time_point heard_;  // the last report, or the start of the daemon
};

}  // namespace tamaracklatch
