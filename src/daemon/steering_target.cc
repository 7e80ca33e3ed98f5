// Moving bytes between balancers, the segment_owner, the target and callers.
#include "daemon/steering_target.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstdio>
#include <utility>

#include "tamaracklatch/core/abbreviated_name.h"
#include "tamaracklatch/steering/steering_header.h"

namespace tamaracklatch {
namespace {

constexpr std::chrono::milliseconds kTickInterval{
    50};  // between looks at what expires
// A probe of the target's listener, which is on this VM, takes less.
constexpr std::chrono::milliseconds kProbeLimit{1000};

// A stop beside a living target serves its flows on until none of them says
// anything for this long.
constexpr std::chrono::milliseconds kStopQuiet{1000};

node_record OwnRecord(const steering_target_settings& settings,
                      const process_frame& frame) {
  node_record result =
      MakeOwnRecord(frame, node_role::kTarget, settings.cluster);
  result.service = AbbreviateName(settings.service);
  result.condition = target_condition::kUnreported;
  return result;
}

segment_owner_settings OwnerSettings(const steering_target_settings& settings) {
  segment_owner_settings result;
  result.self = settings.cluster;
  result.service = settings.service;
  result.zone = settings.process.zone;
  result.max_flow_age = settings.max_flow_age;
  return result;
}

graceful_stop_settings StopSettings(const steering_target_settings& settings) {
  graceful_stop_settings result;
  result.limit = settings.stop_limit;
  result.quiet = kStopQuiet;
  return result;
}

}  // namespace

steering_target::steering_target(const steering_target_settings& settings,
                                 const segment_codec* codec)
    : settings_(settings),
      codec_(codec),
      frame_(settings.process, process_role::kTarget),
      roster_(&frame_, {settings.seeds}, OwnRecord(settings, frame_), this,
              [this](const endpoint&, std::string_view bytes) {
                OnSteered(bytes);
              }),
      reports_({settings.service, settings.target, settings.report_silence,
                settings.first_report, settings.max_flow_age},
               frame_.Now()),
      probe_(&frame_.loop()),
      owner_(OwnerSettings(settings), codec, frame_.Now(), &frame_.events()),
      outbound_(&frame_.loop(),
                [this](const endpoint&, std::string_view bytes) {
                  OnOutbound(bytes);
                }),
      stop_(StopSettings(settings)) {}

int steering_target::Run(const http_handler& handler) {
  frame_.events().SetNode(tamaracklatch::ToString(settings_.cluster));
  failure why;
  const bool started =
      frame_.ServeHttp(settings_.listen_http, handler, &why) &&
      (settings_.listen_ready.port == 0 ||
       frame_.ServeHttp(settings_.listen_ready, handler, &why)) &&
      outbound_.Start(settings_.outbound, port_sharing::kAlone, &why) &&
      roster_.Start(&why);
  if (!started) {
    fmt::print(stderr, "{}\n", ToString(why));
    return 1;
  }
  owner_.SetGeneration(roster_.member().local_record().generation);
  ProbeTarget();
  frame_.Every(kTickInterval, [this] { Tick(); });
  frame_.OnScrape([this] { Export(); });
  frame_.Run([this] { BeginStop(); });
  return 0;
}

result_code steering_target::OnReport(const target_report& report) {
  target_report received = report;
  received.has_waited = frame_.HasJustPaused();
  const result_code code =
      reports_.OnReport(received, frame_.Now(), frame_.WallNow());
  if (code != result_code::kOk) {
    Refuse(code,
           fmt::format("{} of {} at {}, start {}, sequence {}", report.id,
                       report.service, tamaracklatch::ToString(report.where),
                       report.start, report.sequence));
    return code;
  }
  FollowTarget();
  return code;
}

result_code steering_target::OnEnd(const std::string& id) {
  const result_code code = reports_.OnEnd(id);
  if (code == result_code::kOk) {
    FollowTarget();
  } else {
    Refuse(code, "end of " + id);
  }
  return code;
}

void steering_target::OnUnreadableReport(const failure& why) {
  Refuse(why.code, why.reason);
}

void steering_target::Refuse(result_code code, const std::string& detail) {
  event what;
  what.id = event_id::kHeartbeatRefused;
  what.service = settings_.service;
  what.code = code;
  what.detail = detail;
  frame_.events().OnEvent(what);
}

// The owner follows at once, so that a leaving target takes nothing more from
// the moment that its report is answered.
void steering_target::FollowTarget() {
  const time_point now = frame_.Now();
  target_status status = reports_.status();
  status.saw_target_start = reports_.saw_start();
  if (stop_.HasBegun() && status.condition == target_condition::kReady)
    status.condition = target_condition::kDraining;
  owner_.SetTargetStatus(status, now);
  node_record own = roster_.member().local_record();
  own.condition = status.condition;
  own.slots = status.slots;
  own.target_start = status.target_start;
  own.cold_remaining = std::max(status.cold_until - now, duration::zero());
  own.load = owner_.load();
  own.service_time = owner_.service_time();
  own.outdated_set = owner_.OutdatedSet(now);
  roster_.SetOwn(own);
  if (status.condition == told_) return;
  told_ = status.condition;
  event what;
  what.id = event_id::kTargetChanged;
  what.service = settings_.service;
  what.detail = fmt::format(
      "{}, start {}, slots {}{}", ToString(told_), status.target_start,
      status.slots, status.saw_target_start ? ", observed from its start" : "");
  frame_.events().OnEvent(what);
}

void steering_target::OnRosterChanged(const roster_entry& entry) {
  if (entry.record.role == node_role::kTarget)
    owner_.UpdateTarget(entry, frame_.Now());
}

void steering_target::OnSetReceived(const set_received& received) {
  owner_.SetIdleTimeout(received.set.idle_timeout);
}

void steering_target::OnPlacementRules(const placement_rules& rules) {
  owner_.SetPlacementRules(rules);
}

void steering_target::OnSteered(std::string_view bytes) {
  failure why;
  std::string_view rest;
  const auto header = ReadSteeringHeader(bytes, &rest, &why);
  if (!header) return CountDropped(why.code);
  if (header->kind != steering_kind::kSegment) {
    owner_.OnNotice(*header, frame_.Now(), &actions_);
    return Perform();
  }
  const auto what = codec_->Decode(rest, false, &why);
  if (!what) return CountDropped(why.code);
  const time_point now = frame_.Now();
  stop_.OnArrival(now);
  owner_.OnSteered(*header, *what, now, &actions_);
  if (owner_.OutdatedSet(now) != roster_.member().local_record().outdated_set)
    FollowTarget();
  Perform();
}

void steering_target::OnOutbound(std::string_view bytes) {
  failure why;
  const auto what = codec_->Decode(bytes, true, &why);
  if (!what) return CountDropped(why.code);
  const time_point now = frame_.Now();
  stop_.OnArrival(now);
  owner_.OnTargetSegment(*what, now, &actions_);
  Perform();
}

void steering_target::Perform() {
  for (const segment_action& action : actions_) {
    std::visit([this](const auto& each) { Do(each); }, action);
  }
  actions_.clear();
}

void steering_target::Do(const deliver_segment& action) {
  outbound_.Send(settings_.target, action.bytes);
}

void steering_target::Do(const pass_segment& action) {
  buffer_.clear();
  AppendSteeringHeader(action.header, &buffer_);
  buffer_.append(action.bytes);
  roster_.Send(action.to, buffer_);
}

void steering_target::Do(const answer_caller& action) {
  outbound_.Send({action.key.source, settings_.caller_port}, action.bytes);
}

void steering_target::Do(const send_notice& action) {
  buffer_.clear();
  AppendSteeringHeader(action.header, &buffer_);
  roster_.Send(action.to, buffer_);
}

void steering_target::Do(const discard_segment& action) {
  CountDropped(action.reason);
}

void steering_target::CountDropped(result_code code) {
  frame_.counts().Count("tamaracklatch_segments_dropped_total",
                        "Segments that went nowhere, by reason.", 1.0,
                        std::string(tamaracklatch::ToString(code)));
}

void steering_target::Export() {
  metrics& counts = frame_.counts();
  const segment_owner_counters& counted = owner_.counters();
  const auto total = [](std::uint64_t count) {
    return static_cast<double>(count);
  };
  counts.SetTotal("tamaracklatch_segments_delivered_total",
                  "Segments handed to the target.", total(counted.delivered));
  counts.SetTotal("tamaracklatch_segments_answered_total",
                  "Segments of the target sent to callers.",
                  total(counted.answered));
  counts.SetTotal("tamaracklatch_segments_returned_total",
                  "Segments handed back by the target.",
                  total(counted.returned));
  counts.SetTotal("tamaracklatch_segments_searched_total",
                  "Segments passed on in search of their flow's owner.",
                  total(counted.searched));
  counts.SetTotal("tamaracklatch_openings_taken_total",
                  "Flows whose opening was handed to the target.",
                  total(counted.taken));
  counts.SetTotal("tamaracklatch_registrations_sent_total",
                  "Registrations of own flows at other target daemons.",
                  total(counted.registrations_sent));
  counts.SetTotal("tamaracklatch_segments_located_total",
                  "Segments passed on to the registered owner of their flow.",
                  total(counted.located));
  counts.SetTotal("tamaracklatch_split_searches_total",
                  "Searches in parts that began here.",
                  total(counted.split_searches));
  counts.SetTotal("tamaracklatch_flows_claimed_total",
                  "Flows whose caller took the target's answer.",
                  total(counted.claimed));
  counts.SetCodes("tamaracklatch_openings_passed_total",
                  "Openings passed on to another target daemon, by reason.",
                  counted.passed);
  counts.SetCodes("tamaracklatch_resets_sent_total",
                  "Callers that were sent a reset, by reason.", counted.reset);
  counts.SetCodes("tamaracklatch_flows_forgotten_total",
                  "Flows whose record was dropped, by reason.",
                  counted.forgotten);
  counts.Set("tamaracklatch_flows", "Flows open now.",
             total(owner_.flow_count()));
  constexpr double kLoadUnit = 256.0;
  counts.Set("tamaracklatch_target_load_slots",
             "Smoothed load of the target, in slots.",
             owner_.load() / kLoadUnit);
  counts.Set("tamaracklatch_target_service_time_seconds",
             "Estimated time that the target takes for a request.",
             std::chrono::duration<double>(kServiceTimeUnit).count() *
                 owner_.service_time());
  counts.Set("tamaracklatch_outdated_set_version",
             "Lowest replaced set by which flows were opened that may be open.",
             static_cast<double>(roster_.member().local_record().outdated_set));
  counts.SetHistogram("tamaracklatch_first_answer_seconds",
                      "From an opening to the target's answer.",
                      counted.first_answer);
  counts.SetHistogram("tamaracklatch_opening_visits",
                      "Daemons visited before by openings taken.",
                      counted.opening_visits);
  counts.SetHistogram("tamaracklatch_search_visits",
                      "Daemons visited before by segments of own flows.",
                      counted.search_visits);
  counts.SetHistogram("tamaracklatch_failed_search_visits",
                      "Daemons visited before by segments without an owner.",
                      counted.failed_search_visits);
}

void steering_target::Tick() {
  const time_point now = frame_.Now();
  owner_.SetGeneration(roster_.member().local_record().generation);
  owner_.SetRosterConfirmed(roster_.member().IsSynchronized(now));
  const newest_set& accepted = roster_.member().newest_accepted_set();
  owner_.SetAcceptedSet(accepted.version, accepted.as_of);
  owner_.Tick(now, &actions_);
  Perform();
  if (reports_.status().condition == target_condition::kUnreported &&
      now - probed_ >= settings_.first_report && !probe_.IsRunning())
    ProbeTarget();
  const bool has_changed = reports_.Tick(now);
  const node_record& own = roster_.member().local_record();
  if (has_changed || owner_.load() != own.load ||
      owner_.service_time() != own.service_time ||
      owner_.OutdatedSet(now) != own.outdated_set)
    FollowTarget();
  if (stop_.HasBegun()) ContinueStop();
}

// Called once all segments of the target pass through this daemon, which
// `outbound` is for: a target that begins to listen later has no flows that the
// daemon does not know.
void steering_target::ProbeTarget() {
  probed_ = frame_.Now();
  probe_.Start(settings_.target_listener, kProbeLimit,
               [this, begun = frame_.WallNow()](probe_result result) {
                 OnProbed(begun, result);
               });
}

void steering_target::OnProbed(wall_time begun, probe_result result) {
  if (result == probe_result::kNoListener) {
    reports_.OnNoListener(begun);
    owner_.OnNoListener();
    node_record own = roster_.member().local_record();
    own.may_have_target = false;
    roster_.SetOwn(own);
  }
  if (reported_probe_ == result) return;
  reported_probe_ = result;
  event what;
  what.id = event_id::kTargetProbed;
  what.service = settings_.service;
  what.peer = tamaracklatch::ToString(settings_.target_listener);
  what.detail = ToString(result);
  frame_.events().OnEvent(what);
}

void steering_target::BeginStop() {
  stop_.Begin(frame_.Now());
  FollowTarget();
  ContinueStop();
}

// The flows of a target that has ended are gone with it; beside a living one
// they wait for the next start of this daemon.
void steering_target::ContinueStop() {
  const time_point now = frame_.Now();
  if (stop_.IsDone(now)) return frame_.Stop();
  if (!reports_.ended()) return;
  stop_.OnWorkEnded(now);
  node_record own = roster_.member().local_record();
  if (own.leaving) return;
  own.leaving = true;
  roster_.SetOwn(own);
}

}  // namespace tamaracklatch
