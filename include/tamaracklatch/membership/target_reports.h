// Status of a target as it reports it to its target daemon, and the rules by
// which reports are accepted: they may be delayed, of an earlier start of the
// target or of another service. Unreadable reports are refused before this.
//
//   target_reports reports(settings, now);
//   result_code code = reports.OnReport(report, now);
//   if (reports.Tick(now)) ...;          // the status may have changed
//   const target_status& status = reports.status();
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "tamaracklatch/core/endpoint.h"
#include "tamaracklatch/core/result_code.h"
#include "tamaracklatch/core/time.h"
#include "tamaracklatch/steering/segment_owner.h"

namespace tamaracklatch {

// One report of a target.
struct target_report {
  std::string id;  // of this start of the target, chosen by the target
  std::string service;
  endpoint where;              // of the target itself
  std::uint64_t start = 0;     // ms of the wall clock; orders its starts
  std::uint64_t sequence = 0;  // increases within one start
  bool draining = false;
  std::uint32_t slots = 1;     // requests at a time
  duration cold_remaining{0};  // until it runs at full speed
  // The daemon did not run for a while before it read the report, which may
  // have waited that long.
  bool has_waited = false;
};

struct target_reports_settings {
  std::string service;
  endpoint where;  // of the daemon's target
  // A target without a report for this long counts as absent.
  duration report_timeout = std::chrono::seconds(2);
  // Without a report to a newly started daemon for this long, the target counts
  // as absent if nothing listens at its address.
  duration first_report_timeout = std::chrono::seconds(2);
  // The age at which a flow is over. A target that may be running and does not
  // report holds no flows from before the daemon's start after this time.
  duration max_flow_age = std::chrono::seconds(60);
};

// Used by the target daemon. Invariants: the accepted start never decreases;
// within one start draining is never reset.
class target_reports {
 public:
  // `now` is the start of the daemon.
  target_reports(const target_reports_settings& settings, time_point now);

  // Takes a report. Returns kOk; kHeartbeatForeign for another service or
  // endpoint; kHeartbeatMalformed for a start far ahead of the clock, which
  // would make all later reports stale; or kHeartbeatStale for an earlier
  // start, a start that has ended or a sequence that is not newer. Only kOk
  // changes the status.
  result_code OnReport(const target_report& report, time_point now,
                       wall_time wall_now);

  // No process listened at the target's address when the daemon probed it at
  // `probed`, after it had begun to receive all segments of its target. Probe
  // again every first_report_timeout while the target is unreported, since it
  // may have ended.
  void OnNoListener(wall_time probed);

  // The target with this id ends and is absent at once. Returns kOk, or
  // kHeartbeatStale for any other id than that of the last accepted report.
  result_code OnEnd(const std::string& id);

  // Checks the timeouts. Returns whether the target became absent.
  bool Tick(time_point now);

  const target_status& status() const { return status_; }
  // Whether the last accepted start reported its end, or the target is absent
  // and has not reported to this daemon.
  bool ended() const {
    return ended_ || (status_.target_start == 0 &&
                      status_.condition == target_condition::kAbsent);
  }
  // Whether this daemon was running when the last accepted start of the target
  // began: there was no listener before, and the start is later by the VM's
  // clock. Either alone is not enough: a target may close its listener and keep
  // its flows, and the clock may be set back. Reports show nothing of it: where
  // their sequence begins is up to the target.
  bool saw_start() const { return saw_start_; }

 private:
  // The time without a report after which the target counts as absent.
  duration AbsenceTimeout() const;

  target_reports_settings settings_;
  target_status status_;
  std::string id_;              // of the last accepted report
  std::uint64_t sequence_ = 0;  // of the last accepted report
  bool ended_ = false;          // the last accepted start reported its end
  bool saw_start_ = false;
  // When there was no listener, in ms of the wall clock; nothing: not known.
  std::optional<std::uint64_t> no_listener_at_;
  time_point last_report_at_;  // initially the start of the daemon
};

}  // namespace tamaracklatch
