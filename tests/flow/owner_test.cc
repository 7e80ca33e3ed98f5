// Tests of a single flow_owner: held packets, resets, stuck flows, limits and
// draining.
#include <algorithm>
#include <chrono>
#include <string>
#include <vector>

#include "flow/ip_packets.h"
#include "support/property.h"
#include "tamaracklatch/flow/flow_owner.h"

namespace tamaracklatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr service_id kService{1};
constexpr target_id kSelf{0, 1};
constexpr incarnation kStarted{77};
constexpr time_point kStart{seconds(1000)};

endpoint EndpointOf(std::uint32_t host) {
  return {MakeV4(0x0a010000 + host), 7000};
}

// The flow_owner of the only target of a service, and the actions it requested.
struct owner_fixture {
  explicit owner_fixture(const flow_limits& limits = {}) {
    service_document document;
    document.service = "booking";
    document.flows = limits;
    view.at = {1};
    view.services[kService] = {kService, document};
    target_record self;
    self.id = kSelf;
    self.service = kService;
    self.started = kStarted;
    self.packets = EndpointOf(1);
    view.targets[kSelf] = self;
    flow_owner_settings settings;
    settings.service = kService;
    settings.self = kSelf;
    settings.started = kStarted;
    settings.packets = self.packets;
    owner = std::make_unique<flow_owner>(settings, kStart);
    owner->Reset(view, kStart, &actions);
    actions.clear();
  }

  envelope Packet(ip_protocol protocol, flow_opening opens) const {
    envelope message;
    message.opens = opens;
    message.service = kService;
    message.target = kSelf;
    message.started = kStarted;
    message.at = {1};
    message.key = {MakeV4(0x0a700001), MakeV4(0x0a090001), 1234, 80, protocol};
    message.origin = EndpointOf(200);
    message.payload = "data";
    return message;
  }

  template <typename Action>
  std::size_t Count() const {
    return static_cast<std::size_t>(std::count_if(
        actions.begin(), actions.end(), [](const owner_action& each) {
          return std::holds_alternative<Action>(each);
        }));
  }

  std::size_t CountSent(envelope_kind kind) const {
    return static_cast<std::size_t>(std::count_if(
        actions.begin(), actions.end(), [kind](const owner_action& each) {
          const auto* sent = std::get_if<send_envelope>(&each);
          return sent != nullptr && sent->message.kind == kind;
        }));
  }

  // Whether a TCP reset was sent to both ends.
  bool ResetsTcp() const {
    bool target = false;
    bool caller = false;
    for (const owner_action& each : actions) {
      if (const auto* close = std::get_if<close_towards_target>(&each))
        target = target || !close->reset.empty();
      const auto* sent = std::get_if<send_envelope>(&each);
      if (sent != nullptr && sent->message.kind == envelope_kind::kReset)
        caller = caller || !sent->message.payload.empty();
    }
    return target && caller;
  }

  // Ticks until `end` or the first close; returns the time of the last tick.
  time_point TickUntilClosed(time_point from, time_point end) {
    time_point now = from;
    while (now < end && Count<close_towards_target>() == 0) {
      now += kTickInterval;
      owner->Tick(now, &actions);
    }
    return now;
  }

  cluster_view view;
  std::unique_ptr<flow_owner> owner;
  std::vector<owner_action> actions;
};

Test(owner, holds_a_packet_of_a_newer_view_until_it_comes) {
  owner_fixture fixture;
  envelope message = fixture.Packet(ip_protocol::kTcp, flow_opening::kYes);
  message.at = {2};
  fixture.owner->OnEnvelope(message, kStart, &fixture.actions);
  cr_assert(fixture.Count<deliver_packet>() == 0);
  cr_assert(fixture.Count<pull_view>() == 1);
  fixture.owner->Apply({{2}, {}}, kStart, &fixture.actions);
  cr_assert(fixture.Count<deliver_packet>() == 1);
}

// A target whose lease ran out is removed and joins again under another id.
Test(owner, serves_under_the_id_of_a_later_join) {
  constexpr target_id kLater{0, 2};
  owner_fixture fixture;
  envelope open = fixture.Packet(ip_protocol::kUdp, flow_opening::kYes);
  fixture.owner->OnEnvelope(open, kStart, &fixture.actions);
  target_record rejoined = fixture.view.targets[kSelf];
  rejoined.id = kLater;
  fixture.view.at = {2};
  fixture.view.targets = {};
  fixture.owner->Reset(fixture.view, kStart, &fixture.actions);
  cr_assert(fixture.owner->self() == kSelf);
  fixture.view.at = {3};
  fixture.view.targets[kLater] = rejoined;
  fixture.owner->Reset(fixture.view, kStart, &fixture.actions);
  cr_assert(fixture.owner->self() == kLater);
  struct row {
    const char* name;
    target_id addressed;
    incarnation started;
    std::uint16_t port;
    std::size_t delivered;
  };
  constexpr row kRows[] = {
      {"an open flow", kLater, kStarted, 1234, 1},
      {"a new flow", kLater, kStarted, 1235, 1},
      {"the earlier id", kSelf, kStarted, 1236, 0},
      {"another incarnation", kLater, {78}, 1237, 0},
  };
  for (const row& each : kRows) {
    fixture.actions.clear();
    envelope message = fixture.Packet(ip_protocol::kUdp, flow_opening::kYes);
    message.target = each.addressed;
    message.started = each.started;
    message.at = {3};
    message.key.source_port = each.port;
    fixture.owner->OnEnvelope(message, kStart, &fixture.actions);
    cr_assert(fixture.Count<deliver_packet>() == each.delivered, "%s",
              each.name);
  }
}

Test(owner, bounds_how_long_and_how_many_it_holds) {
  owner_fixture fixture;
  envelope message = fixture.Packet(ip_protocol::kTcp, flow_opening::kNo);
  for (std::uint16_t port = 0; port < 300; ++port) {
    message.key.source_port = port;
    fixture.owner->OnEnvelope(message, kStart, &fixture.actions);
  }
  const flow_counters& counters = fixture.owner->counters();
  cr_assert(counters.held == 256);
  cr_assert(counters.refused.CountOf(result_code::kHoldLimit) == 44);
  fixture.owner->Tick(kStart + seconds(1), &fixture.actions);
  cr_assert(counters.refused.CountOf(result_code::kViewUnconfirmed) == 256);
  cr_assert(fixture.CountSent(envelope_kind::kReset) == 0);
}

Test(owner, resets_an_unknown_flow_only_once_the_view_is_confirmed) {
  struct row {
    revision newest;
    std::size_t resets;
  };
  constexpr row kRows[] = {{{1}, 1}, {{2}, 0}};
  for (const row& each : kRows) {
    owner_fixture fixture;
    const envelope message =
        fixture.Packet(ip_protocol::kTcp, flow_opening::kNo);
    fixture.owner->OnEnvelope(message, kStart, &fixture.actions);
    cr_assert(fixture.CountSent(envelope_kind::kReset) == 0);
    fixture.owner->OnViewConfirmed(each.newest, kStart, &fixture.actions);
    cr_assert(fixture.CountSent(envelope_kind::kReset) == each.resets);
  }
}

// How a flow gets stuck, for each kind of port.
enum class stall_kind { kDatagrams, kSegments, kRelayToTarget, kRelayToCaller };

void MakeStuck(stall_kind kind, owner_fixture* fixture, time_point now) {
  std::vector<owner_action>* actions = &fixture->actions;
  if (kind == stall_kind::kDatagrams) {
    const envelope message =
        fixture->Packet(ip_protocol::kUdp, flow_opening::kUnknown);
    fixture->owner->OnEnvelope(message, now, actions);
    fixture->owner->OnAnswer(message.key, "answer", now, actions);
    fixture->owner->OnEnvelope(message, now, actions);
    return;
  }
  envelope message = fixture->Packet(ip_protocol::kTcp, flow_opening::kYes);
  if (kind == stall_kind::kSegments) {
    // A SYN, then the same data twice.
    const std::string syn = test::V4(IPPROTO_TCP, test::Tcp(TH_SYN, ""));
    const std::string data =
        test::V4(IPPROTO_TCP, test::Tcp(TH_ACK, "data", 1001));
    for (const std::string* bytes : {&syn, &data, &data}) {
      message.payload = *bytes;
      fixture->owner->OnEnvelope(message, now, actions);
    }
    return;
  }
  fixture->owner->OnRelayOpen(message, now, actions);
  const auto direction = kind == stall_kind::kRelayToTarget
                             ? flow_direction::kToTarget
                             : flow_direction::kToCaller;
  fixture->owner->OnRelayProgress(message.key, {direction, true, true}, now);
}

Test(owner, closes_stuck_flows_towards_both_ends_within_the_limit) {
  for (const stall_kind kind :
       {stall_kind::kDatagrams, stall_kind::kSegments,
        stall_kind::kRelayToTarget, stall_kind::kRelayToCaller}) {
    test::CheckProperty("stuck flows", [kind]() {
      flow_limits limits;
      limits.stuck_limit = seconds(*rc::gen::inRange(1, 120));
      owner_fixture fixture(limits);
      const time_point stuck_at =
          kStart + milliseconds(*rc::gen::inRange(0, 5000));
      fixture.owner->Tick(stuck_at, &fixture.actions);
      MakeStuck(kind, &fixture, stuck_at);
      const time_point closed_at = fixture.TickUntilClosed(
          stuck_at, stuck_at + limits.stuck_limit + seconds(5));
      RC_ASSERT(fixture.Count<close_towards_target>() == 1U);
      RC_ASSERT(fixture.Count<close_towards_caller>() == 1U);
      RC_ASSERT(closed_at <= stuck_at + limits.stuck_limit);
      RC_ASSERT(closed_at >= stuck_at + limits.stuck_limit / 4);
      const bool packets =
          kind == stall_kind::kDatagrams || kind == stall_kind::kSegments;
      RC_ASSERT(fixture.CountSent(envelope_kind::kReset) ==
                (packets ? 1U : 0U));
      RC_ASSERT(fixture.owner->flow_count() == 0U);
      RC_ASSERT(fixture.ResetsTcp() == (kind == stall_kind::kSegments));
    });
  }
}

Test(owner, leaves_flows_alone_that_make_progress) {
  owner_fixture fixture;
  const envelope message =
      fixture.Packet(ip_protocol::kUdp, flow_opening::kUnknown);
  time_point now = kStart;
  for (int round = 0; round < 200; ++round) {
    fixture.owner->OnEnvelope(message, now, &fixture.actions);
    fixture.owner->OnAnswer(message.key, "answer", now + seconds(20),
                            &fixture.actions);
    now += seconds(25);
    fixture.owner->Tick(now, &fixture.actions);
  }
  cr_assert(fixture.Count<close_towards_target>() == 0);
  cr_assert(fixture.owner->counters().opened == 1);
}

Test(owner, leaves_a_caller_alone_whose_data_moves_on) {
  owner_fixture fixture;
  envelope message = fixture.Packet(ip_protocol::kTcp, flow_opening::kYes);
  for (std::uint32_t step = 0; step < 100; ++step) {
    // Each segment is sent twice, and the next follows 20 s later.
    const std::string data =
        test::V4(IPPROTO_TCP, test::Tcp(TH_ACK, "data", 1000 + 4 * step));
    message.payload = data;
    const time_point now = kStart + seconds(20) * step;
    fixture.owner->OnEnvelope(message, now, &fixture.actions);
    fixture.owner->OnEnvelope(message, now + seconds(1), &fixture.actions);
    fixture.owner->Tick(now + seconds(1), &fixture.actions);
  }
  cr_assert(fixture.Count<close_towards_target>() == 0);
  cr_assert(fixture.owner->counters().delivered == 200);
}

Test(owner, ends_flows_by_the_limits_of_the_document) {
  struct row {
    bool draining;
    result_code reason;
    seconds after;
    std::size_t towards_caller;
  };
  const row rows[] = {{false, result_code::kFlowIdle, seconds(600), 0},
                      {true, result_code::kFlowDrainLimit, seconds(90), 1}};
  for (const row& each : rows) {
    flow_limits limits;
    limits.idle_limit = seconds(600);
    limits.drain_limit = seconds(90);
    owner_fixture fixture(limits);
    fixture.owner->OnEnvelope(
        fixture.Packet(ip_protocol::kTcp, flow_opening::kYes), kStart,
        &fixture.actions);
    if (each.draining) fixture.owner->BeginDrain(kStart);
    const time_point closed_at =
        fixture.TickUntilClosed(kStart, kStart + seconds(2000));
    cr_assert(closed_at >= kStart + each.after);
    cr_assert(closed_at <= kStart + each.after + 2 * kTickInterval);
    cr_assert(fixture.Count<close_towards_caller>() == each.towards_caller);
    cr_assert(fixture.owner->counters().refused.CountOf(each.reason) == 1);
  }
}

Test(owner, opens_nothing_while_it_drains) {
  for (const flow_opening opens :
       {flow_opening::kYes, flow_opening::kUnknown}) {
    owner_fixture fixture;
    fixture.owner->BeginDrain(kStart);
    const ip_protocol protocol =
        opens == flow_opening::kYes ? ip_protocol::kTcp : ip_protocol::kUdp;
    fixture.owner->OnEnvelope(fixture.Packet(protocol, opens), kStart,
                              &fixture.actions);
    cr_assert(fixture.owner->flow_count() == 0);
    cr_assert(fixture.owner->counters().refused.CountOf(
                  result_code::kNoOpenTarget) == 1);
  }
  owner_fixture fixture;
  fixture.owner->BeginDrain(kStart);
  fixture.owner->OnRelayOpen(
      fixture.Packet(ip_protocol::kTcp, flow_opening::kYes), kStart,
      &fixture.actions);
  cr_assert(fixture.Count<refuse_relay>() == 1);
}

Test(owner, drops_what_is_not_its_own) {
  struct row {
    service_id service;
    target_id target;
    incarnation started;
    result_code reason;
  };
  const row rows[] = {
      {{2}, kSelf, kStarted, result_code::kWrongService},
      {kService, {0, 2}, kStarted, result_code::kWrongIncarnation},
      {kService, kSelf, {78}, result_code::kWrongIncarnation}};
  for (const row& each : rows) {
    owner_fixture fixture;
    envelope message = fixture.Packet(ip_protocol::kTcp, flow_opening::kYes);
    message.service = each.service;
    message.target = each.target;
    message.started = each.started;
    fixture.owner->OnEnvelope(message, kStart, &fixture.actions);
    cr_assert(fixture.Count<deliver_packet>() == 0);
    cr_assert(fixture.CountSent(envelope_kind::kInvalidate) == 1);
    cr_assert(fixture.owner->counters().refused.CountOf(each.reason) == 1);
  }
}

}  // namespace
}  // namespace tamaracklatch
