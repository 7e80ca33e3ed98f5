// Tests of the target daemon's decisions about segments, one rule per test.
#include "tamaracklatch/steering/segment_owner.h"

#include <cmath>
#include <memory>
#include <vector>

#include "steering/segments.h"
#include "support/property.h"
#include "tamaracklatch/membership/target_reports.h"

namespace tamaracklatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using test::AnswerOf;
using test::BalancerAt;
using test::DaemonAt;
using test::FlowOf;
using test::kStart;
using test::OpeningOf;
using test::plain_codec;
using test::SegmentOf;
using test::TargetAt;

constexpr std::uint32_t kAnswerSequence = 7000;  // of the SYN-ACK

struct event_counter : event_listener {
  void OnEvent(const event& reported) override {
    if (reported.id == wanted) ++count;
  }
  event_id wanted = event_id::kFlowClaimed;
  int count = 0;
};

// A segment owner for one of three targets of a service. By default the target
// is ready and started while its daemon was running.
struct owner_fixture {
  explicit owner_fixture(bool saw_target_start = true, bool has_target = true,
                         std::uint32_t self = 1) {
    segment_owner_settings settings;
    settings.self = DaemonAt(self);
    settings.generation = 1;
    settings.service = "web";
    settings.zone = "a";
    owner =
        std::make_unique<segment_owner>(settings, &codec, kStart, &listener);
    status.slots = 4;
    status.saw_target_start = saw_target_start;
    if (has_target) {
      status.condition = target_condition::kReady;
      status.target_start = 100;
      owner->SetTargetStatus(status, now);
    }
    owner->SetRosterConfirmed(true);
    for (std::uint32_t number = 1; number <= 3; ++number)
      owner->UpdateTarget(TargetAt(number, "web"), now);
    now += seconds(5);
  }

  static steering_header Header(const flow_key& key) {
    steering_header header;
    header.confirmed = true;
    header.flow = HashFlow(key);
    header.balancer = BalancerAt(1);
    header.receiver = NodeTag(DaemonAt(1), 1);
    header.service_count = 1;
    header.services[0] = DigestService("web");
    return header;
  }

  void Steer(const std::string& bytes) {
    const segment received = plain_codec::Make(bytes, false);
    Steer(Header(received.key), bytes);
  }
  void Steer(const steering_header& header, const std::string& bytes) {
    actions.clear();
    owner->OnSteered(header, plain_codec::Make(bytes, false), now, &actions);
  }
  void FromTarget(const std::string& bytes) {
    actions.clear();
    owner->OnTargetSegment(plain_codec::Make(bytes, true), now, &actions);
  }
  void SetCondition(target_condition condition) {
    status.condition = condition;
    owner->SetTargetStatus(status, now);
  }
  // Opens a flow: delivers the opening and answers it.
  void Open(std::uint16_t port) {
    Steer(OpeningOf(FlowOf(port)));
    cr_assert(FindAction<deliver_segment>() != nullptr);
    FromTarget(AnswerOf(FlowOf(port), kAnswerSequence));
    cr_assert(FindAction<answer_caller>() != nullptr);
  }
  // Opens a flow and lets the caller accept the answer.
  void Claim(std::uint16_t port) {
    Open(port);
    Steer(SegmentOf(FlowOf(port), kAnswerSequence + 1));
    cr_assert(FindAction<deliver_segment>() != nullptr);
  }
  void Request(std::uint16_t port) {
    Steer(SegmentOf(FlowOf(port), kAnswerSequence + 1, "request"));
  }

  template <typename Action>
  const Action* FindAction() const {
    for (const segment_action& each : actions) {
      if (const auto* found = std::get_if<Action>(&each)) return found;
    }
    return nullptr;
  }
  result_code DiscardReason() const {
    const auto* found = FindAction<discard_segment>();
    return found == nullptr ? result_code::kOk : found->reason;
  }
  bool HasReset() const {
    const auto* found = FindAction<answer_caller>();
    return found != nullptr &&
           (plain_codec::Read(found->bytes).flags & plain_codec::kSystem) != 0;
  }

  plain_codec codec;
  event_counter listener;
  std::unique_ptr<segment_owner> owner;
  target_status status;
  std::vector<segment_action> actions;
  time_point now = kStart;
};

// A header with visits at all targets but the first.
steering_header MakeLastVisitHeader(const flow_key& key) {
  steering_header header = owner_fixture::Header(key);
  header.AddVisit(NodeTag(DaemonAt(2), 1));
  header.AddVisit(NodeTag(DaemonAt(3), 1));
  return header;
}

Test(owner, opens_a_flow_that_the_caller_takes) {
  owner_fixture fixture;
  fixture.Open(1);
  fixture.Steer(SegmentOf(FlowOf(1), kAnswerSequence + 1));
  cr_assert(fixture.listener.count == 1);
  cr_assert(fixture.FindAction<deliver_segment>() != nullptr);
  const auto* notified = fixture.FindAction<send_notice>();
  cr_assert(notified != nullptr && notified->to == BalancerAt(1));
  cr_assert(notified->header.kind == steering_kind::kOwner);
  fixture.Request(1);
  cr_assert(fixture.FindAction<send_notice>() == nullptr);
}

Test(owner, repeats_the_owner_hint_for_other_balancers_and_after_a_search) {
  owner_fixture fixture;
  fixture.Claim(1);
  steering_header header = owner_fixture::Header(FlowOf(1));
  header.balancer = BalancerAt(2);
  fixture.Steer(header, SegmentOf(FlowOf(1), kAnswerSequence + 1, "data"));
  cr_assert(fixture.FindAction<send_notice>() != nullptr);
  header.AddVisit(7);
  fixture.Steer(header, SegmentOf(FlowOf(1), kAnswerSequence + 1, "data"));
  cr_assert(fixture.FindAction<send_notice>() != nullptr);
  // The hint names the start of the target only after a report well after the
  // flow was claimed.
  cr_assert(fixture.FindAction<send_notice>()->header.target_start == 0);
  fixture.now += seconds(2);
  fixture.status.reported_at = fixture.now;
  fixture.owner->SetTargetStatus(fixture.status, fixture.now);
  fixture.Steer(header, SegmentOf(FlowOf(1), kAnswerSequence + 1, "data"));
  cr_assert(fixture.FindAction<send_notice>()->header.target_start == 100);
}

// Guards against a flow that is reset while its target holds it: it opened
// between a restart of the target and the first report, and the hint named the
// start that had ended.
Test(owner, names_a_start_only_after_a_report_that_follows_the_claim) {
  struct row {
    const char* name;
    bool reports;        // a report of the target, or another change
    milliseconds after;  // the claim
    target_condition condition;
    bool named;
  };
  constexpr auto kReady = target_condition::kReady;
  constexpr row kRows[] = {
      {"the load has changed", false, milliseconds(3000), kReady, false},
      {"a stop has begun", false, milliseconds(3000),
       target_condition::kDraining, false},
      {"reports stopped, or the end", false, milliseconds(3000),
       target_condition::kAbsent, false},
      {"a report between opening and claim", true, milliseconds(-50), kReady,
       false},
      {"a report that may be older", true, milliseconds(999), kReady, false},
      {"a later report", true, milliseconds(1000), kReady, true},
      {"a later report of a leaving target", true, milliseconds(1000),
       target_condition::kDraining, true}};
  for (const row& each : kRows) {
    owner_fixture fixture;
    fixture.status.reported_at = fixture.now - milliseconds(400);
    fixture.owner->SetTargetStatus(fixture.status, fixture.now);
    // The target answers a later copy, 1.1 s after the first one.
    fixture.Steer(OpeningOf(FlowOf(1)));
    fixture.now += milliseconds(1100);
    fixture.FromTarget(test::AnswerOf(FlowOf(1), kAnswerSequence));
    fixture.Steer(SegmentOf(FlowOf(1), kAnswerSequence + 1));
    fixture.status.condition = each.condition;
    if (each.reports) fixture.status.reported_at = fixture.now + each.after;
    fixture.now += std::max(each.after, milliseconds(0));
    fixture.owner->SetTargetStatus(fixture.status, fixture.now);
    steering_header header = owner_fixture::Header(FlowOf(1));
    header.balancer = BalancerAt(2);
    fixture.Steer(header, SegmentOf(FlowOf(1), kAnswerSequence + 1, "data"));
    const auto* notified = fixture.FindAction<send_notice>();
    cr_assert(notified != nullptr, "%s", each.name);
    cr_assert(notified->header.target_start == (each.named ? 100U : 0U), "%s",
              each.name);
  }
}

Test(owner, drops_its_claim_when_another_answer_was_taken) {
  for (const bool answered : {true, false}) {
    owner_fixture fixture;
    fixture.listener.wanted = event_id::kClaimDropped;
    fixture.Steer(OpeningOf(FlowOf(1)));
    if (answered) fixture.FromTarget(AnswerOf(FlowOf(1), kAnswerSequence));
    fixture.Steer(SegmentOf(FlowOf(1), 99999));
    cr_assert(fixture.listener.count == 1);
    cr_assert(fixture.FindAction<deliver_segment>() == nullptr);
    const auto* passed = fixture.FindAction<pass_segment>();
    cr_assert(passed != nullptr && passed->header.visit_count == 1);
    // Late answers of this target are not sent to the caller.
    fixture.FromTarget(AnswerOf(FlowOf(1), kAnswerSequence));
    cr_assert(fixture.DiscardReason() == result_code::kOtherTargetChosen);
    fixture.Steer(OpeningOf(FlowOf(1), 1));
    cr_assert(fixture.FindAction<deliver_segment>() == nullptr);
    cr_assert(fixture.owner->flow_count() == 0);
  }
}

Test(owner, delivers_all_but_the_mark_unchanged) {
  owner_fixture fixture;
  const std::string bytes = OpeningOf(FlowOf(1));
  fixture.Steer(bytes);
  std::string delivered = fixture.FindAction<deliver_segment>()->bytes;
  cr_assert(plain_codec::Read(delivered).token != 0);
  fixture.codec.MarkDelivery(&delivered, 0);
  cr_assert(delivered == bytes);
  const std::string answer = AnswerOf(FlowOf(1), kAnswerSequence);
  fixture.FromTarget(answer);
  cr_assert(fixture.FindAction<answer_caller>()->bytes == answer);
}

Test(owner, accepts_an_opening_or_passes_it_on_with_a_reason) {
  struct row {
    const char* name;
    target_condition condition;
    std::uint32_t max_connections;
    const char* service;
    result_code passed;  // kOk: accepted
  };
  constexpr auto kReady = target_condition::kReady;
  constexpr row kRows[] = {
      {"ready", kReady, 0, "web", result_code::kOk},
      {"room", kReady, 2, "web", result_code::kOk},
      {"full", kReady, 1, "web", result_code::kTargetFull},
      {"draining", target_condition::kDraining, 0, "web",
       result_code::kTargetDraining},
      {"absent", target_condition::kAbsent, 0, "web", result_code::kNoTarget},
      {"other service", kReady, 0, "shop", result_code::kNotThisTarget}};
  for (const row& each : kRows) {
    owner_fixture fixture;
    fixture.Claim(1);
    fixture.owner->UpdateTarget(TargetAt(9, "shop"), fixture.now);
    fixture.status.max_connections = each.max_connections;
    fixture.SetCondition(each.condition);
    steering_header header = owner_fixture::Header(FlowOf(2));
    header.services[0] = DigestService(each.service);
    fixture.Steer(header, OpeningOf(FlowOf(2)));
    const auto* passed = fixture.FindAction<pass_segment>();
    cr_assert((fixture.FindAction<deliver_segment>() != nullptr) ==
                  (each.passed == result_code::kOk),
              "%s", each.name);
    if (each.passed == result_code::kOk) continue;
    cr_assert(passed != nullptr && passed->to != DaemonAt(1), "%s", each.name);
    cr_assert(passed->header.HasVisited(NodeTag(DaemonAt(1), 1)));
    cr_assert(fixture.owner->counters().passed.CountOf(each.passed) == 1, "%s",
              each.name);
  }
}

Test(owner, passes_openings_to_the_least_loaded) {
  owner_fixture fixture;
  fixture.owner->UpdateTarget(TargetAt(2, "web", 900), fixture.now);
  fixture.SetCondition(target_condition::kDraining);
  for (std::uint16_t port = 1; port < 20; ++port) {
    fixture.Steer(OpeningOf(FlowOf(port)));
    cr_assert(fixture.FindAction<pass_segment>()->to == DaemonAt(3));
  }
}

Test(owner, passes_openings_on_while_it_is_busy) {
  struct row {
    std::uint16_t waiting;
    std::uint32_t others;  // their load
    std::uint8_t visits;
    bool passes;
  };
  constexpr row kRows[] = {
      {4, 0, 0, false}, {5, 0, 0, true}, {5, 1000, 0, false}, {5, 0, 2, false}};
  for (const row& each : kRows) {
    owner_fixture fixture;
    for (std::uint32_t number = 2; number <= 3; ++number)
      fixture.owner->UpdateTarget(TargetAt(number, "web", each.others),
                                  fixture.now);
    for (std::uint16_t port = 1; port <= each.waiting; ++port) {
      fixture.Claim(port);
      fixture.Request(port);
      fixture.Request(port);  // a retransmission
    }
    steering_header header = owner_fixture::Header(FlowOf(99));
    for (std::uint16_t visit = 0; visit < each.visits; ++visit)
      header.AddVisit(visit);
    fixture.Steer(header, OpeningOf(FlowOf(99)));
    cr_assert((fixture.FindAction<pass_segment>() != nullptr) == each.passes);
  }
}

Test(owner, refuses_an_opening_only_when_it_is_open_nowhere) {
  struct row {
    const char* name;
    std::uint32_t copy;
    bool confirmed;         // by the balancer, in the header
    bool roster_confirmed;  // by this daemon
    bool uncertain;
    bool saw_target_start;
    bool all_visited;
    node_liveness other;
    std::uint8_t possible;
    bool refused;
  };
  constexpr auto kAlive = node_liveness::kAlive;
  constexpr row kRows[] = {
      {"all visited", 0, true, true, false, true, true, kAlive, 3, true},
      {"later copy", 1, true, true, false, true, true, kAlive, 3, false},
      {"balancer", 0, false, true, false, true, true, kAlive, 3, false},
      {"roster", 0, true, false, false, true, true, kAlive, 3, false},
      {"uncertain", 0, true, true, true, true, true, kAlive, 3, false},
      {"flow table incomplete", 0, true, true, false, false, true, kAlive, 3,
       false},
      {"one left", 0, true, true, false, true, false, kAlive, 3, false},
      {"one silent left", 0, true, true, false, true, false,
       node_liveness::kSilent, 3, false},
      {"more known", 0, true, true, false, true, true, kAlive, 4, false}};
  for (const row& each : kRows) {
    owner_fixture fixture(each.saw_target_start);
    fixture.owner->SetRosterConfirmed(each.roster_confirmed);
    roster_entry other = TargetAt(3, "web");
    other.liveness = each.other;
    fixture.owner->UpdateTarget(other, fixture.now);
    fixture.SetCondition(target_condition::kDraining);
    steering_header header = each.all_visited
                                 ? MakeLastVisitHeader(FlowOf(1))
                                 : owner_fixture::Header(FlowOf(1));
    if (!each.all_visited) header.AddVisit(NodeTag(DaemonAt(2), 1));
    header.confirmed = each.confirmed;
    header.uncertain = each.uncertain;
    header.possible_owners = each.possible;
    fixture.Steer(header, OpeningOf(FlowOf(1), each.copy));
    cr_assert(fixture.HasReset() == each.refused, "%s", each.name);
    const auto* notified = fixture.FindAction<send_notice>();
    cr_assert((notified != nullptr &&
               notified->header.kind == steering_kind::kRefused) ==
              each.refused);
    cr_assert(
        (fixture.FindAction<pass_segment>() != nullptr) == !each.all_visited,
        "%s", each.name);
  }
}

Test(owner, accepts_no_opening_just_after_it_reported_no_target) {
  for (const bool said_absent : {true, false}) {
    owner_fixture fixture(true, false);
    if (said_absent) fixture.SetCondition(target_condition::kAbsent);
    fixture.status.target_start = 100;
    fixture.SetCondition(target_condition::kReady);
    fixture.Steer(OpeningOf(FlowOf(1)));
    cr_assert((fixture.FindAction<pass_segment>() != nullptr) == said_absent);
    fixture.now += seconds(1);
    fixture.Steer(OpeningOf(FlowOf(2)));
    cr_assert(fixture.FindAction<deliver_segment>() != nullptr);
  }
}

Test(owner, takes_no_copy_after_it_passed_the_first_on) {
  for (const bool confirmed : {true, false}) {
    owner_fixture fixture;
    steering_header header = owner_fixture::Header(FlowOf(1));
    header.confirmed = confirmed;
    fixture.SetCondition(target_condition::kAbsent);
    fixture.Steer(header, OpeningOf(FlowOf(1)));
    cr_assert(fixture.FindAction<pass_segment>() != nullptr);
    fixture.SetCondition(target_condition::kReady);
    fixture.Steer(header, OpeningOf(FlowOf(1), 1));
    // No daemon may refuse an opening with an unconfirmed header, so a later
    // copy may be accepted.
    cr_assert((fixture.FindAction<deliver_segment>() == nullptr) == confirmed);
    fixture.Steer(OpeningOf(FlowOf(2)));
    cr_assert(fixture.FindAction<deliver_segment>() != nullptr);
  }
}

// An earlier start of the daemon, beside the same target, may have passed the
// first copy on, and another daemon may refuse it.
Test(owner, takes_only_first_copies_just_after_a_start) {
  struct row {
    bool saw_target_start;
    seconds after;           // the daemon's start
    std::uint64_t receiver;  // generation of the start it was sent to
    std::uint32_t copy;
    bool takes;
  };
  constexpr row kRows[] = {
      {false, seconds(1), 1, 0, true},  {false, seconds(1), 1, 1, false},
      {false, seconds(1), 1, 2, false}, {false, seconds(2), 1, 1, true},
      {true, seconds(1), 1, 0, true},   {true, seconds(1), 1, 1, false},
      {true, seconds(1), 1, 2, false},  {true, seconds(2), 1, 1, true},
      {true, seconds(1), 0, 0, false},  {true, seconds(2), 0, 0, true},
  };
  for (const row& each : kRows) {
    owner_fixture fixture(each.saw_target_start);
    fixture.now = kStart + each.after;
    steering_header header = owner_fixture::Header(FlowOf(1));
    header.receiver = NodeTag(DaemonAt(1), each.receiver);
    fixture.Steer(header, OpeningOf(FlowOf(1), each.copy));
    cr_assert((fixture.FindAction<deliver_segment>() != nullptr) == each.takes);
    cr_assert((fixture.FindAction<pass_segment>() != nullptr) == !each.takes);
  }
}

Test(owner, passes_no_copy_on_while_it_holds_the_flow) {
  owner_fixture fixture;
  fixture.Open(1);
  steering_header header = owner_fixture::Header(FlowOf(1));
  header.services[0] = DigestService("shop");
  fixture.Steer(header, OpeningOf(FlowOf(1)));
  cr_assert(fixture.DiscardReason() == result_code::kNotThisTarget);
  fixture.SetCondition(target_condition::kDraining);
  fixture.Steer(OpeningOf(FlowOf(1)));
  cr_assert(fixture.DiscardReason() == result_code::kTargetDraining);
}

Test(owner, waits_for_all_copies_before_it_passes_one_on) {
  owner_fixture fixture;
  fixture.Steer(OpeningOf(FlowOf(1), 1));
  const std::string first = fixture.FindAction<deliver_segment>()->bytes;
  fixture.Steer(OpeningOf(FlowOf(1), 0));
  const std::string second = fixture.FindAction<deliver_segment>()->bytes;
  fixture.FromTarget(test::ReturnOf(first));
  cr_assert(fixture.FindAction<pass_segment>() == nullptr);
  fixture.FromTarget(test::ReturnOf(second));
  cr_assert(fixture.FindAction<pass_segment>() != nullptr);
}

Test(owner, visits_all_owners_only_if_it_may_refuse) {
  struct row {
    const char* name;
    std::uint32_t copy;
    bool confirmed;
    std::uint32_t targets;
    bool passes;
  };
  constexpr row kRows[] = {{"first copy", 0, true, 16, true},
                           {"later copy", 1, true, 16, false},
                           {"not confirmed", 0, false, 16, false},
                           {"too many", 0, true, 17, false}};
  for (const row& each : kRows) {
    owner_fixture fixture;
    for (std::uint32_t number = 1; number <= each.targets; ++number) {
      roster_entry entry = TargetAt(number, "web");
      entry.record.condition = target_condition::kDraining;
      fixture.owner->UpdateTarget(entry, fixture.now);
    }
    fixture.SetCondition(target_condition::kDraining);
    steering_header header = owner_fixture::Header(FlowOf(1));
    header.confirmed = each.confirmed;
    fixture.Steer(header, OpeningOf(FlowOf(1), each.copy));
    cr_assert((fixture.FindAction<pass_segment>() != nullptr) == each.passes,
              "%s", each.name);
    cr_assert(!fixture.HasReset());
  }
}

Test(owner, delivers_no_opening_while_it_drains) {
  owner_fixture fixture;
  fixture.Open(1);
  fixture.Claim(2);
  fixture.SetCondition(target_condition::kDraining);
  for (const std::uint16_t port : {1, 2, 3}) {
    fixture.Steer(OpeningOf(FlowOf(port)));
    cr_assert(fixture.FindAction<deliver_segment>() == nullptr, "flow %d",
              port);
  }
  // Its open flows continue.
  fixture.Request(1);
  cr_assert(fixture.FindAction<deliver_segment>() != nullptr);
  fixture.Request(2);
  cr_assert(fixture.FindAction<deliver_segment>() != nullptr);
}

// Guards against openings that reach the target of an evacuated zone: new ones
// from a balancer without the order, and copies of pending ones. Open flows
// continue, and the target returns with the withdrawal.
Test(owner, delivers_no_opening_while_its_zone_is_evacuated) {
  owner_fixture fixture;
  fixture.Open(1);
  fixture.Claim(2);
  for (const std::uint32_t number : {2U, 3U}) {
    roster_entry other = TargetAt(number, "web");
    other.record.zone = "b";
    fixture.owner->UpdateTarget(other, fixture.now);
  }
  fixture.owner->SetPlacementRules(test::EvacuationOf(7, {"a"}));
  // Sent before the order in force.
  fixture.owner->SetPlacementRules(test::EvacuationOf(6, {}));
  fixture.Steer(OpeningOf(FlowOf(1), 1));
  cr_assert(fixture.FindAction<deliver_segment>() == nullptr);
  cr_assert(fixture.DiscardReason() == result_code::kZoneEvacuated);
  fixture.Steer(OpeningOf(FlowOf(3)));
  cr_assert(fixture.FindAction<deliver_segment>() == nullptr);
  cr_assert(fixture.FindAction<pass_segment>() != nullptr);
  cr_assert(fixture.owner->counters().passed.CountOf(
                result_code::kZoneEvacuated) == 1);
  for (const std::uint16_t port : {1, 2}) {
    fixture.Request(port);
    cr_assert(fixture.FindAction<deliver_segment>() != nullptr, "flow %d",
              port);
  }
  fixture.owner->SetPlacementRules(test::EvacuationOf(8, {}));
  fixture.Steer(OpeningOf(FlowOf(4)));
  cr_assert(fixture.FindAction<deliver_segment>() != nullptr);
}

// Guards against openings that circulate or go unanswered while no zone takes
// any: they end as if no target accepted openings.
Test(owner, refuses_first_copies_while_all_zones_are_evacuated) {
  for (const std::uint32_t copy : {0U, 1U}) {
    owner_fixture fixture;
    fixture.owner->SetPlacementRules(test::EvacuationOf(1, {"a"}));
    fixture.Steer(OpeningOf(FlowOf(1), copy));
    // Only the first copy visits the others, to establish that the flow is not
    // open.
    cr_assert((fixture.FindAction<pass_segment>() != nullptr) == (copy == 0));
    fixture.Steer(MakeLastVisitHeader(FlowOf(2)), OpeningOf(FlowOf(2), copy));
    cr_assert(fixture.HasReset() == (copy == 0));
  }
}

// Under load from several balancers: guards against more openings at a cold
// target than its limit in any second, with repeated copies counted, and
// against openings lost that another target accepts.
Test(owner, keeps_the_limit_of_a_cold_target_under_load) {
  for (const double limit : {0.3, 2.5, 20.0}) {
    const auto most = static_cast<std::size_t>(std::ceil(limit));
    owner_fixture cold;
    owner_fixture other(true, true, 2);
    cold.status.cold_until = cold.now + seconds(20);
    cold.SetCondition(target_condition::kReady);
    for (owner_fixture* each : {&cold, &other})
      each->owner->SetPlacementRules(test::ColdLimitOf(1, limit));
    std::vector<time_point> delivered;
    std::size_t passed = 0;
    std::uint32_t random = 1;
    for (std::uint16_t number = 0; number < 3000; ++number) {
      random = random * 1664525 + 1013904223;
      cold.now += milliseconds((random >> 16U) % 13);
      // Every third segment repeats the one before.
      const flow_key key = FlowOf(number - (number % 3 == 2 ? 1 : 0));
      steering_header header = owner_fixture::Header(key);
      header.balancer = BalancerAt(number % 5);
      cold.Steer(header, OpeningOf(key));
      if (cold.FindAction<deliver_segment>() != nullptr) {
        delivered.push_back(cold.now);
        continue;
      }
      const auto* next = cold.FindAction<pass_segment>();
      if (next == nullptr) {
        cr_assert(cold.DiscardReason() == result_code::kTargetCold);
        continue;
      }
      ++passed;
      other.now = cold.now;
      other.Steer(next->header, next->bytes);
      cr_assert(other.FindAction<deliver_segment>() != nullptr);
    }
    cr_assert(delivered.size() > most && passed > 1000);
    cr_assert(cold.owner->counters().passed.CountOf(result_code::kTargetCold) >
              100);
    for (std::size_t at = most; at < delivered.size(); ++at)
      cr_assert(delivered[at] - delivered[at - most] > seconds(1));
    // Without the limit, and once the target is warm, all are accepted.
    cold.owner->SetPlacementRules(test::ColdLimitOf(2, 0.0));
    cold.Open(4000);
    cold.owner->SetPlacementRules(test::ColdLimitOf(3, limit));
    cold.now = cold.status.cold_until;
    for (std::uint16_t port = 4001; port < 4100; ++port) cold.Open(port);
  }
}

Test(owner, searches_the_owner_of_an_unknown_flow) {
  owner_fixture fixture;
  fixture.listener.wanted = event_id::kSearchStarted;
  steering_header header = owner_fixture::Header(FlowOf(1));
  fixture.Steer(header, SegmentOf(FlowOf(1), 1, "data"));
  const auto* first = fixture.FindAction<pass_segment>();
  cr_assert(first != nullptr && fixture.listener.count == 1);
  header = first->header;
  const endpoint second = first->to == DaemonAt(2) ? DaemonAt(3) : DaemonAt(2);
  header.AddVisit(NodeTag(first->to, 1));
  fixture.Steer(header, SegmentOf(FlowOf(1), 1, "data"));
  cr_assert(fixture.FindAction<pass_segment>()->to == second);
  // Only one event per flow.
  fixture.Steer(SegmentOf(FlowOf(1), 1, "data"));
  cr_assert(fixture.listener.count == 1);
}

Test(owner, ends_a_search_with_a_reset_only_when_all_were_visited) {
  struct row {
    const char* name;
    bool confirmed;
    bool uncertain;
    std::uint8_t flags;
    node_liveness other;
    bool reset;
  };
  constexpr auto kAlive = node_liveness::kAlive;
  constexpr row kRows[] = {
      {"data", true, false, plain_codec::kAck, kAlive, true},
      {"end", true, false, plain_codec::kAck | plain_codec::kFin, kAlive, true},
      {"caller's reset", true, false, plain_codec::kRst, kAlive, false},
      {"not confirmed", false, false, plain_codec::kAck, kAlive, false},
      {"uncertain", true, true, plain_codec::kAck, kAlive, false},
      {"gone, its target lives", true, false, plain_codec::kAck,
       node_liveness::kGone, false}};
  for (const row& each : kRows) {
    owner_fixture fixture;
    roster_entry other = TargetAt(4, "web");
    other.liveness = each.other;
    if (each.other == node_liveness::kGone)
      fixture.owner->UpdateTarget(other, fixture.now);
    steering_header header = MakeLastVisitHeader(FlowOf(1));
    header.confirmed = each.confirmed;
    header.uncertain = each.uncertain;
    fixture.Steer(header, SegmentOf(FlowOf(1), 1, "", each.flags));
    cr_assert(fixture.HasReset() == each.reset, "%s", each.name);
    if (each.other == node_liveness::kGone) {
      // Its target is reachable again when a daemon starts beside it.
      cr_assert(fixture.FindAction<pass_segment>()->to == DaemonAt(4));
      continue;
    }
    cr_assert((fixture.DiscardReason() == result_code::kSearchEnded) !=
              each.reset);
    cr_assert(fixture.FindAction<send_notice>()->header.kind ==
              steering_kind::kUnknown);
  }
}

Test(owner, delivers_unknown_flows_after_a_restart_beside_its_target) {
  owner_fixture fixture(false);
  fixture.Steer(SegmentOf(FlowOf(1), 1, "data"));
  cr_assert(fixture.FindAction<deliver_segment>() != nullptr);
  // The target does not hold the flow: the search continues with the original
  // bytes, without the token.
  const std::string returned =
      test::ReturnOf(fixture.FindAction<deliver_segment>()->bytes);
  fixture.FromTarget(returned);
  const auto* passed = fixture.FindAction<pass_segment>();
  cr_assert(passed != nullptr && !passed->header.uncertain);
  cr_assert(passed->bytes == SegmentOf(FlowOf(1), 1, "data"));
  // The target holds this flow.
  fixture.FromTarget(SegmentOf(FlowOf(2), 1, "answer"));
  cr_assert(fixture.FindAction<answer_caller>() != nullptr);
  fixture.Steer(SegmentOf(FlowOf(2), 1, "data"));
  cr_assert(fixture.FindAction<send_notice>() != nullptr);
  // The target can't own a flow of another service.
  steering_header header = owner_fixture::Header(FlowOf(3));
  header.services[0] = DigestService("shop");
  fixture.Steer(header, SegmentOf(FlowOf(3), 1, "data"));
  cr_assert(fixture.FindAction<deliver_segment>() == nullptr);
  // Flows from before the daemon's start have expired by now.
  fixture.now += seconds(60);
  fixture.Steer(SegmentOf(FlowOf(4), 1, "data"));
  cr_assert(fixture.FindAction<deliver_segment>() == nullptr);
}

// Guards against resets that a target sends for flows that are open at another
// target: of a copy whose answer was not accepted, or where it started after
// its daemon and does not know the flow.
Test(owner, passes_on_no_reset_of_a_flow_that_may_be_open_elsewhere) {
  const std::string reset =
      SegmentOf(FlowOf(1), 0, "", test::plain_codec::kRst);
  for (const bool answered : {false, true}) {
    owner_fixture fixture;
    fixture.Steer(OpeningOf(FlowOf(1)));
    if (answered) fixture.FromTarget(AnswerOf(FlowOf(1), kAnswerSequence));
    fixture.FromTarget(reset);
    cr_expect(fixture.DiscardReason() == result_code::kNotThisTarget);
  }
  struct row {
    bool saw_target_start;
    bool found_no_listener;
    bool passed_on;
  };
  constexpr row kRows[] = {
      {true, false, false}, {false, true, false}, {false, false, true}};
  for (const row& each : kRows) {
    owner_fixture fixture(each.saw_target_start);
    if (each.found_no_listener) fixture.owner->OnNoListener();
    fixture.Steer(SegmentOf(FlowOf(1), 1, "data"));
    fixture.FromTarget(reset);
    cr_expect((fixture.FindAction<answer_caller>() != nullptr) ==
              each.passed_on);
  }
  owner_fixture fixture;
  fixture.Claim(1);
  fixture.FromTarget(reset);
  cr_expect(fixture.FindAction<answer_caller>() != nullptr);
}

Test(owner, passes_a_returned_opening_on) {
  for (const bool token_lost : {false, true}) {
    owner_fixture fixture;
    const std::string opening = OpeningOf(FlowOf(1));
    fixture.Steer(opening);
    std::string returned =
        test::ReturnOf(fixture.FindAction<deliver_segment>()->bytes);
    const std::uint32_t other = 77;
    if (token_lost)
      std::memcpy(returned.data() + offsetof(plain_codec::head, token), &other,
                  4);
    fixture.FromTarget(returned);
    const auto* passed = fixture.FindAction<pass_segment>();
    cr_assert(passed != nullptr && passed->bytes == opening);
    cr_assert(passed->header.uncertain == token_lost);
    cr_assert(fixture.owner->flow_count() == 0);
  }
}

Test(owner, resets_a_flow_that_its_target_lost) {
  struct row {
    const char* name;
    bool restarts;
    bool closes;         // the target sent a FIN before
    std::uint8_t flags;  // of the caller's segment
    bool reset;
  };
  constexpr row kRows[] = {
      {"lost", false, false, plain_codec::kAck, true},
      {"started again", true, false, plain_codec::kAck, true},
      {"closed before", false, true, plain_codec::kAck, false},
      {"caller's reset", true, false, plain_codec::kRst, false}};
  for (const row& each : kRows) {
    owner_fixture fixture;
    fixture.Claim(1);
    if (each.closes) {
      fixture.FromTarget(SegmentOf(FlowOf(1), 1, "",
                                   plain_codec::kAck | plain_codec::kFin,
                                   kAnswerSequence + 1));
    }
    if (each.restarts) {
      fixture.status.target_start = 200;
      fixture.owner->SetTargetStatus(fixture.status, fixture.now);
      cr_assert(fixture.owner->flow_count() == 0);
    }
    fixture.Steer(SegmentOf(FlowOf(1), kAnswerSequence + 1, "data"));
    std::string returned =
        test::ReturnOf(fixture.FindAction<deliver_segment>()->bytes);
    returned[offsetof(plain_codec::head, flags)] =
        static_cast<char>(each.flags | plain_codec::kReturned);
    fixture.FromTarget(returned);
    cr_assert(fixture.HasReset() == each.reset, "%s", each.name);
    cr_assert((fixture.DiscardReason() == result_code::kFlowLost) !=
              each.reset);
    cr_assert(fixture.FindAction<send_notice>()->header.kind ==
              steering_kind::kUnknown);
  }
}

Test(owner, keeps_a_flow_taken_before_the_first_report_of_a_start) {
  owner_fixture fixture;
  fixture.Claim(1);
  fixture.status.target_start = 200;
  fixture.owner->SetTargetStatus(fixture.status, fixture.now);
  fixture.Request(1);
  fixture.FromTarget(SegmentOf(FlowOf(1), 1, "answer", plain_codec::kAck,
                               kAnswerSequence + 1));
  cr_assert(fixture.owner->flow_count() == 1);
}

Test(owner, removes_expired_flows) {
  struct row {
    const char* name;
    bool claimed;
    std::uint8_t caller;  // flags of the caller's last segment; 0: none
    std::uint8_t target;
    seconds kept;
  };
  constexpr std::uint8_t kFin = plain_codec::kFin | plain_codec::kAck;
  constexpr row kRows[] = {
      {"idle", true, 0, 0, seconds(17)},
      {"half closed", true, kFin, 0, seconds(17)},
      {"closed", true, kFin, kFin, seconds(3)},
      {"caller resets", true, plain_codec::kRst, 0, seconds(3)},
      {"target resets", true, 0, plain_codec::kRst, seconds(3)},
      {"not taken", false, 0, 0, seconds(12)}};
  for (const row& each : kRows) {
    owner_fixture fixture;
    fixture.owner->SetIdleTimeout(seconds(15));
    if (each.claimed) {
      fixture.Claim(1);
    } else {
      fixture.Open(1);
    }
    if (each.caller != 0)
      fixture.Steer(SegmentOf(FlowOf(1), kAnswerSequence + 1, "", each.caller));
    if (each.target != 0)
      fixture.FromTarget(
          SegmentOf(FlowOf(1), 1, "", each.target, kAnswerSequence + 1));
    const auto delivers = [&](duration after) {
      fixture.now = kStart + seconds(5) + after;
      fixture.owner->Tick(fixture.now, &fixture.actions);
      owner_fixture* one = &fixture;
      one->Steer(SegmentOf(FlowOf(1), kAnswerSequence + 1, "", kFin));
      return one->FindAction<deliver_segment>() != nullptr;
    };
    fixture.now += each.kept;
    fixture.owner->Tick(fixture.now - milliseconds(500), &fixture.actions);
    const bool over_early =
        fixture.owner->counters().forgotten.CountOf(result_code::kFlowEnded) +
            fixture.owner->counters().forgotten.CountOf(
                result_code::kFlowIdle) >
        0;
    cr_assert(!over_early, "%s", each.name);
    cr_assert(!delivers(each.kept), "%s", each.name);
  }
}

Test(owner, reports_its_load_by_waiting_requests) {
  owner_fixture fixture;
  for (std::uint16_t port = 1; port <= 3; ++port) {
    fixture.Claim(port);
    fixture.Request(port);
  }
  fixture.now += seconds(10);
  fixture.owner->Tick(fixture.now, &fixture.actions);
  cr_assert(fixture.owner->load() > 3 * 256 && fixture.owner->load() < 4 * 256);
  for (std::uint16_t port = 1; port <= 3; ++port) {
    fixture.FromTarget(SegmentOf(FlowOf(port), 1, "answer", plain_codec::kAck,
                                 kAnswerSequence + 1));
  }
  fixture.now += seconds(10);
  fixture.owner->Tick(fixture.now, &fixture.actions);
  cr_assert(fixture.owner->load() < 64);
  cr_assert(fixture.owner->flow_count() == 3);
}

// Guards against a reset of an open flow: its first copy is refused elsewhere,
// and a later copy opens it here, since openings passed on after it took its
// place in a table of fixed size.
Test(owner, accepts_no_later_copy_however_many_openings_it_passes_on) {
  owner_fixture fixture;
  fixture.status.condition = target_condition::kDraining;
  fixture.owner->SetTargetStatus(fixture.status, fixture.now);
  constexpr std::uint16_t kFlows = 20000;
  for (std::uint16_t port = 1; port <= kFlows; ++port)
    fixture.Steer(OpeningOf(FlowOf(port)));
  fixture.status.condition = target_condition::kReady;
  fixture.owner->SetTargetStatus(fixture.status, fixture.now);
  fixture.now += milliseconds(600);
  for (std::uint16_t port = 1; port <= kFlows; ++port) {
    fixture.Steer(OpeningOf(FlowOf(port), 2));
    cr_assert(fixture.FindAction<deliver_segment>() == nullptr, "port %d",
              port);
  }
  fixture.Steer(OpeningOf(FlowOf(kFlows + 1), 2));
  cr_expect(fixture.FindAction<deliver_segment>() != nullptr);
}

// Guards against flows at a replaced service that no balancer in touch looks
// for: the daemon that holds them knows by which set they were opened.
Test(owner, reports_the_replaced_set_by_which_its_flows_were_opened) {
  struct row {
    const char* name;
    bool confirmed;              // the view of the balancer
    result_code reason;          // for which the opening is passed on
    std::uint64_t outdated_set;  // reported
  };
  const std::vector<row> rows = {
      {"by a balancer out of touch", false, result_code::kOk, 4},
      {"by a balancer in touch", true, result_code::kOk, 0},
      {"passed on", false, result_code::kTargetDraining, 0},
  };
  for (const row& each : rows) {
    owner_fixture fixture;
    if (each.reason != result_code::kOk) {
      fixture.status.condition = target_condition::kDraining;
      fixture.owner->SetTargetStatus(fixture.status, fixture.now);
    }
    fixture.owner->SetAcceptedSet(6, fixture.now);
    steering_header header = owner_fixture::Header(FlowOf(1));
    header.confirmed = each.confirmed;
    header.set_version = 4;
    fixture.Steer(header, OpeningOf(FlowOf(1)));
    cr_expect_eq(fixture.owner->OutdatedSet(fixture.now), each.outdated_set,
                 "%s", each.name);
  }
}

Test(owner, drops_a_header_of_another_flow) {
  owner_fixture fixture;
  fixture.Steer(owner_fixture::Header(FlowOf(2)), OpeningOf(FlowOf(1)));
  cr_assert(fixture.DiscardReason() == result_code::kEnvelopeMalformed);
}

// Guards against resets of open flows after a restart of the daemon, whose flow
// table is empty and not complete, whatever the sequence of the first report.
Test(owner, asks_a_running_target_about_flows_opened_before_its_own_start) {
  constexpr wall_time kWall{seconds(1700000000)};
  for (const std::uint64_t first_sequence : {0U, 1U, 2U, 9U}) {
    target_reports_settings settings;
    settings.service = "web";
    target_reports reports(settings, kStart);
    target_report report;
    report.service = "web";
    report.start = 1700000000000 - 300;
    report.sequence = first_sequence + 1;
    cr_assert(reports.OnReport(report, kStart, kWall) == result_code::kOk);
    owner_fixture fixture(reports.saw_start());
    fixture.Request(1);
    cr_expect(fixture.FindAction<deliver_segment>() != nullptr);
    cr_expect(fixture.FindAction<pass_segment>() == nullptr);
  }
}

}  // namespace
}  // namespace tamaracklatch
