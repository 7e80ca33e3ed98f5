// Moving bytes between callers, the segment_router and target daemons.
#include "daemon/steering_balancer.h"

#include <fmt/format.h>

#include <cstdio>
#include <utility>

#include "tamaracklatch/steering/steering_header.h"

namespace tamaracklatch {
namespace {

constexpr std::chrono::milliseconds kCheckInterval{
    100};  // between looks at readiness and the end of a stop

segment_router_settings RouterSettings(
    const steering_balancer_settings& settings) {
  segment_router_settings result;
  result.self = settings.cluster;
  result.zone = settings.process.zone;
  result.max_flow_age = settings.max_flow_age;
  result.max_set_delay = settings.propagation_limit;
  return result;
}

// Silence proves nothing: where few balancers are left, the fabric chooses one
// again that said long before that it is not ready.
graceful_stop_settings StopSettings(
    const steering_balancer_settings& settings) {
  graceful_stop_settings result;
  result.limit = settings.stop_limit;
  return result;
}

}  // namespace

steering_balancer::steering_balancer(const steering_balancer_settings& settings,
                                     const segment_codec* codec)
    : settings_(settings),
      codec_(codec),
      frame_(settings.process, process_role::kBalancer),
      roster_(&frame_, {settings.seeds, /*wants_set=*/true},
              MakeOwnRecord(frame_, node_role::kBalancer, settings.cluster),
              this,
              [this](const endpoint& from, std::string_view bytes) {
                OnHint(from, bytes);
              }),
      router_(RouterSettings(settings), &frame_.events()),
      ingress_(&frame_.loop(),
               [this](const endpoint& from, std::string_view bytes) {
                 OnSegment(from, bytes);
               }),
      stop_(StopSettings(settings)) {}

int steering_balancer::Run(http_handler handler) {
  frame_.events().SetNode(ToString(settings_.cluster));
  failure why;
  const bool started =
      frame_.ServeHttp(settings_.listen_http, std::move(handler), &why) &&
      ingress_.Start(settings_.ingress, port_sharing::kAlone, &why) &&
      roster_.Start(&why);
  if (!started) {
    fmt::print(stderr, "{}\n", ToString(why));
    return 1;
  }
  frame_.Every(kCheckInterval, [this] { Check(); });
  frame_.OnScrape([this] { Export(); });
  frame_.Run([this] { BeginStop(); });
  return 0;
}

void steering_balancer::OnRosterChanged(const roster_entry& entry) {
  if (entry.record.role == node_role::kTarget)
    router_.UpdateTarget(entry, frame_.Now());
}

void steering_balancer::OnSetReceived(const set_received& received) {
  const time_point now = frame_.Now();
  const document_set& set = received.set;
  router_.SetRoutes(set, received.succession, now);
  for (const std::string& bytes : router_.TakeHeld(now)) OnSegment({}, bytes);
  event what;
  what.id = event_id::kSetApplied;
  what.detail =
      fmt::format("version {}, {} routes", set.version, set.routes.size());
  if (!received.succession.intermediate_routes.empty()) {
    what.detail += fmt::format(", {} routes changed in between",
                               received.succession.intermediate_routes.size());
  }
  if (received.succession.may_skip_sets) what.detail += ", sets may be missing";
  frame_.events().OnEvent(what);
}

void steering_balancer::OnPlacementRules(const placement_rules& rules) {
  router_.SetPlacementRules(rules);
}

void steering_balancer::OnSegment(const endpoint&, std::string_view bytes) {
  failure why;
  const auto what = codec_->Decode(bytes, false, &why);
  if (!what) return CountRefused(why.code);
  const time_point now = frame_.Now();
  const steering_decision decision = router_.Route(*what, now);
  std::visit([&](const auto& each) { Do(each, *what); }, decision);
}

void steering_balancer::Do(const forward_segment& action, const segment& what) {
  buffer_.clear();
  AppendSteeringHeader(action.header, &buffer_);
  buffer_.append(what.bytes);
  roster_.Send(action.to, buffer_);
}

void steering_balancer::Do(const refuse_segment& action, const segment& what) {
  CountRefused(action.reason);
  // A reset of the caller's own is answered by nothing.
  if (what.tcp.rst) return;
  ingress_.Send({what.key.source, settings_.caller_port},
                codec_->BuildReset(what));
}

void steering_balancer::Do(const drop_segment& action, const segment&) {
  CountRefused(action.reason);
}

void steering_balancer::CountRefused(result_code code) {
  frame_.counts().Count("tamaracklatch_segments_refused_total",
                        "Segments that were not forwarded, by reason.", 1.0,
                        std::string(ToString(code)));
}

void steering_balancer::Export() {
  metrics& counts = frame_.counts();
  const segment_router_counters& counted = router_.counters();
  const auto total = [](std::uint64_t count) {
    return static_cast<double>(count);
  };
  counts.SetTotal("tamaracklatch_openings_placed_total",
                  "Segments that open, sent to a target daemon.",
                  total(counted.openings));
  constexpr const char* kForwarded = "Other segments forwarded, by what led.";
  counts.SetTotal("tamaracklatch_segments_forwarded_total", kForwarded,
                  total(counted.cached), "owner");
  counts.SetTotal("tamaracklatch_segments_forwarded_total", kForwarded,
                  total(counted.guessed), "opening");
  counts.SetTotal("tamaracklatch_segments_forwarded_total", kForwarded,
                  total(counted.searched), "search");
  counts.SetCodes("tamaracklatch_resets_sent_total",
                  "Callers that were sent a reset, by reason.",
                  counted.refused);
  counts.Set("tamaracklatch_cached_flows", "Flows in the owner cache.",
             total(router_.cached_flows()));
  counts.Set("tamaracklatch_ready", "1 where new flows should come here.",
             ready_ ? 1.0 : 0.0);
}

void steering_balancer::OnHint(const endpoint& from, std::string_view bytes) {
  failure why;
  std::string_view rest;
  const auto header = ReadSteeringHeader(bytes, &rest, &why);
  if (!header) return CountRefused(why.code);
  router_.OnHint(*header, from, frame_.Now());
}

bool steering_balancer::IsViewConfirmed(time_point now) const {
  const auto confirmed = roster_.member().confirmed();
  return confirmed && now - *confirmed < settings_.propagation_limit / 2 &&
         roster_.member().IsSynchronized(now);
}

void steering_balancer::Check() {
  const time_point now = frame_.Now();
  const bool confirmed = IsViewConfirmed(now);
  router_.SetViewConfirmed(confirmed,
                           roster_.member().confirmed().value_or(time_point()));
  for (const std::string& bytes : router_.TakeHeld(now)) OnSegment({}, bytes);
  if (stop_.IsDone(now)) frame_.Stop();
  if (confirmed && !stop_.HasBegun() && roster_.member().set().version != 0)
    SetReady(true, "the view is confirmed");
}

void steering_balancer::SetReady(bool ready, const std::string& why) {
  if (ready == ready_) return;
  ready_ = ready;
  event what;
  what.id = event_id::kReadinessChanged;
  what.detail = fmt::format("{}: {}", ready ? "ready" : "not ready", why);
  frame_.events().OnEvent(what);
}

void steering_balancer::BeginStop() {
  stop_.Begin(frame_.Now());
  SetReady(false, "a graceful stop has begun");
  node_record own = roster_.member().local_record();
  own.leaving = true;
  roster_.SetOwn(own);
}

}  // namespace tamaracklatch
