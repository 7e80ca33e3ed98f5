// Acceptance of target reports.
#include "tamaracklatch/membership/target_reports.h"

#include <algorithm>

namespace tamaracklatch {
namespace {

// The most by which the clocks of a target and of its daemon may differ.
constexpr std::chrono::hours kMaxClockDifference{24};

// Rounded down; 0 before the epoch.
std::uint64_t ToMilliseconds(wall_time when) {
  const auto since =
      std::chrono::floor<std::chrono::milliseconds>(when.time_since_epoch());
  return static_cast<std::uint64_t>(std::max<std::int64_t>(since.count(), 0));
}

bool IsFarAhead(std::uint64_t start, wall_time wall_now) {
  return start > ToMilliseconds(wall_now + kMaxClockDifference);
}

}  // namespace

target_reports::target_reports(const target_reports_settings& settings,
                               time_point now)
    : settings_(settings), last_report_at_(now) {
  status_.condition = target_condition::kUnreported;
}

result_code target_reports::OnReport(const target_report& report,
                                     time_point now, wall_time wall_now) {
  if (report.service != settings_.service || report.where != settings_.where)
    return result_code::kHeartbeatForeign;
  if (IsFarAhead(report.start, wall_now))
    return result_code::kHeartbeatMalformed;
  if (report.start < status_.target_start) return result_code::kHeartbeatStale;
  const bool new_start = report.start > status_.target_start;
  if (!new_start && (ended_ || report.sequence <= sequence_))
    return result_code::kHeartbeatStale;
  if (new_start) {
    saw_start_ = no_listener_at_ && report.start > *no_listener_at_;
    ended_ = false;
    status_.condition = target_condition::kReady;
  }
  id_ = report.id;
  sequence_ = report.sequence;
  last_report_at_ = now;
  if (!report.has_waited) status_.reported_at = now;
  status_.target_start = report.start;
  status_.slots = report.slots;
  status_.cold_until = now + report.cold_remaining;
  const bool was_draining =
      !new_start && status_.condition == target_condition::kDraining;
  status_.condition = report.draining || was_draining
                          ? target_condition::kDraining
                          : target_condition::kReady;
  return result_code::kOk;
}

void target_reports::OnNoListener(wall_time probed) {
  no_listener_at_ = ToMilliseconds(probed);
}

result_code target_reports::OnEnd(const std::string& id) {
  if (id != id_) return result_code::kHeartbeatStale;
  ended_ = true;
  status_.condition = target_condition::kAbsent;
  return result_code::kOk;
}

bool target_reports::Tick(time_point now) {
  if (status_.condition == target_condition::kAbsent) return false;
  if (now - last_report_at_ < AbsenceTimeout()) return false;
  status_.condition = target_condition::kAbsent;
  return true;
}

// A silent target that may have been running when the daemon started can hold
// flows. Other nodes search for them at this daemon until it announces the
// absence.
duration target_reports::AbsenceTimeout() const {
  if (status_.condition != target_condition::kUnreported)
    return settings_.report_timeout;
  return no_listener_at_ ? settings_.first_report_timeout
                         : settings_.max_flow_age;
}

}  // namespace tamaracklatch
