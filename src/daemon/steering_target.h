// The daemon beside a target whose answers leave its VM directly: sees every
// segment of the target in both directions, announces the target, and leaves
// gracefully.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "daemon/graceful_stop.h"
#include "daemon/listener_probe.h"
#include "daemon/process_frame.h"
#include "daemon/roster_agent.h"
#include "daemon/udp_port.h"
#include "tamaracklatch/membership/target_reports.h"
#include "tamaracklatch/steering/segment.h"
#include "tamaracklatch/steering/segment_owner.h"

namespace tamaracklatch {

struct steering_target_settings {
  process_settings process;
  std::string service;
  endpoint target;  // UDP: where the target takes segments
  // TCP: where the target listens from its start to its end.
  endpoint target_listener;
  endpoint outbound;              // UDP: where the target sends its segments
  endpoint cluster;               // UDP: roster and steered segments
  endpoint listen_http;           // TCP: the target's reports, and metrics
  endpoint listen_ready;          // TCP: readiness; port 0: not served
  std::vector<endpoint> seeds;    // UDP: control VMs
  std::uint16_t caller_port = 0;  // UDP: where callers take segments
  // Without a report for this long the target counts as absent.
  duration report_silence = std::chrono::seconds(2);
  // As first_report_timeout in target_reports_settings.
  duration first_report = std::chrono::seconds(2);
  duration stop_limit = std::chrono::seconds(5);  // of a graceful stop
  duration max_flow_age = std::chrono::seconds(60);
};

class steering_target : public roster_listener {
 public:
  // `codec` must outlive the daemon.
  steering_target(const steering_target_settings& settings,
                  const segment_codec* codec);

  // Runs until a graceful stop is done; returns the exit code. `handler`
  // answers HTTP calls.
  int Run(const http_handler& handler);

  // A report of the target, and its end. As in target_reports.
  result_code OnReport(const target_report& report);
  result_code OnEnd(const std::string& id);
  // A report that could not be read.
  void OnUnreadableReport(const failure& why);

  bool IsReady() const { return !stop_.HasBegun(); }

  process_frame& frame() { return frame_; }
  roster_agent& roster() { return roster_; }

  void OnRosterChanged(const roster_entry& entry) override;
  void OnSetReceived(const set_received& received) override;
  void OnPlacementRules(const placement_rules& rules) override;

 private:
  void OnSteered(std::string_view bytes);
  void OnOutbound(std::string_view bytes);
  void Perform();
  void Do(const deliver_segment& action);
  void Do(const pass_segment& action);
  void Do(const answer_caller& action);
  void Do(const send_notice& action);
  void Do(const discard_segment& action);
  void CountDropped(result_code code);
  void Export();
  void FollowTarget();
  void Refuse(result_code code, const std::string& detail);
  void Tick();
  void ProbeTarget();
  void OnProbed(wall_time begun, probe_result result);
  void BeginStop();
  void ContinueStop();

  steering_target_settings settings_;
  const segment_codec* codec_;
  process_frame frame_;
  roster_agent roster_;
  target_reports reports_;
  listener_probe probe_;
  time_point probed_;                           // start of the last probe
  std::optional<probe_result> reported_probe_;  // in the last event
  segment_owner owner_;
  udp_port outbound_;
  std::vector<segment_action> actions_;
  std::string buffer_;  // of the datagram being sent
  target_condition told_ = target_condition::kUnreported;  // in the last event
  graceful_stop stop_;
};

}  // namespace tamaracklatch
