// Tests of the balancer's decisions about segments.
#include "tamaracklatch/steering/segment_router.h"

#include <algorithm>
#include <map>
#include <memory>
#include <set>

#include "steering/segments.h"
#include "steering/target_directory.h"
#include "support/property.h"

namespace tamaracklatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using test::DaemonAt;
using test::FlowOf;
using test::kStart;
using test::TargetAt;

constexpr std::uint32_t kTargets = 6;

struct recorded_events : event_listener {
  void OnEvent(const event& reported) override { events.push_back(reported); }
  std::vector<event> events;
};

// A router whose view has been confirmed for 100 s, with targets 1 to 6 of one
// service.
struct router_fixture {
  explicit router_fixture(std::vector<service_share> shares = {{"web", 1}}) {
    segment_router_settings settings;
    settings.self = test::BalancerAt(1);
    settings.zone = "a";
    router = std::make_unique<segment_router>(settings, &recorded);
    router->SetRoutes(test::SetOf(1, std::move(shares)), {}, kStart);
    router->SetViewConfirmed(true, time_point::max());
    for (std::uint32_t number = 1; number <= kTargets; ++number)
      Update(TargetAt(number, "web"));
    now = kStart + seconds(100);
  }

  void Update(const roster_entry& entry) { router->UpdateTarget(entry, now); }

  steering_decision Send(const std::string& bytes) {
    return router->Route(test::plain_codec::Make(bytes, false), now);
  }
  steering_decision Open(std::uint16_t port, std::uint32_t copy = 0) {
    return Send(test::OpeningOf(FlowOf(port), copy));
  }
  steering_decision SendData(std::uint16_t port) {
    return Send(test::SegmentOf(FlowOf(port), 5000, "data"));
  }

  steering_header Hint(std::uint16_t port, steering_kind kind,
                       std::uint64_t start = 0) const {
    steering_header hint;
    hint.kind = kind;
    hint.flow = HashFlow(FlowOf(port));
    hint.target_start = start;
    return hint;
  }

  recorded_events recorded;
  std::unique_ptr<segment_router> router;
  time_point now = kStart;
};

endpoint To(const steering_decision& decision) {
  const auto* forward = std::get_if<forward_segment>(&decision);
  return forward == nullptr ? endpoint() : forward->to;
}

result_code RefusalReason(const steering_decision& decision) {
  const auto* refused = std::get_if<refuse_segment>(&decision);
  return refused == nullptr ? result_code::kOk : refused->reason;
}

result_code DropReason(const steering_decision& decision) {
  const auto* dropped = std::get_if<drop_segment>(&decision);
  return dropped == nullptr ? result_code::kOk : dropped->reason;
}

Test(router, sends_the_copies_of_an_opening_to_three_targets) {
  router_fixture fixture;
  for (std::uint16_t port = 1; port < 100; ++port) {
    std::set<endpoint> to;
    for (std::uint32_t copy = 0; copy < 3; ++copy) {
      const endpoint first = To(fixture.Open(port, copy));
      cr_assert(To(fixture.Open(port, copy)) == first);
      to.insert(first);
    }
    cr_assert(to.size() == 3 && to.count(endpoint()) == 0);
  }
}

Test(router, sends_copies_to_three_targets_without_having_seen_the_first) {
  for (std::uint16_t port = 1; port < 20; ++port) {
    router_fixture third;
    router_fixture second;
    router_fixture first;
    // All targets have the same load, so the first copy goes to rank 0.
    const std::set<endpoint> to{To(first.Open(port, 0)),
                                To(second.Open(port, 1)),
                                To(third.Open(port, 2))};
    cr_assert(to.size() == 3);
  }
}

Test(router, prefers_the_less_loaded_of_the_first_three) {
  struct row {
    const char* name;
    std::uint32_t load;
    std::uint32_t slots;
    seconds cold;
    const char* zone;
  };
  constexpr row kRows[] = {{"loaded", 1024, 4, seconds(0), "a"},
                           {"small", 256, 1, seconds(0), "a"},
                           {"cold", 0, 4, seconds(1000), "a"},
                           {"other zone", 0, 4, seconds(0), "b"}};
  for (const row& each : kRows) {
    for (std::uint16_t port = 1; port < 20; ++port) {
      router_fixture fixture;
      const endpoint first_choice = To(fixture.Open(port));
      router_fixture other;
      for (std::uint32_t number = 1; number <= kTargets; ++number) {
        roster_entry entry = TargetAt(number, "web");
        if (entry.record.where == first_choice) {
          entry.record.load = each.load;
          entry.record.slots = each.slots;
          entry.record.cold_remaining = each.cold;
          entry.record.zone = each.zone;
        }
        other.Update(entry);
      }
      cr_assert(To(other.Open(port)) != first_choice, "%s", each.name);
    }
  }
}

Test(router, spreads_a_burst_of_openings) {
  router_fixture fixture;
  std::map<endpoint, int> count;
  for (std::uint16_t port = 1; port <= 600; ++port)
    ++count[To(fixture.Open(port))];
  for (const auto& [where, openings] : count)
    cr_assert(openings > 85 && openings < 115, "%d", openings);
}

Test(router, places_openings_by_reported_condition) {
  struct row {
    const char* name;
    target_condition condition;
    node_liveness liveness;
    bool first;  // the first copy is sent to a target daemon
    bool later;  // later ones are
  };
  constexpr auto kReady = target_condition::kReady;
  constexpr auto kAlive = node_liveness::kAlive;
  constexpr row kRows[] = {
      {"ready", kReady, kAlive, true, true},
      {"silent", kReady, node_liveness::kSilent, true, true},
      {"gone", kReady, node_liveness::kGone, false, false},
      // A target daemon that may refuse the opening.
      {"draining", target_condition::kDraining, kAlive, true, false},
      {"absent", target_condition::kAbsent, kAlive, true, false}};
  for (const row& each : kRows) {
    router_fixture fixture;
    for (std::uint32_t number = 1; number <= kTargets; ++number) {
      roster_entry entry = TargetAt(number, "web");
      entry.record.condition = each.condition;
      entry.liveness = each.liveness;
      fixture.Update(entry);
    }
    for (const std::uint32_t copy : {0U, 1U}) {
      const steering_decision decision = fixture.Open(1, copy);
      const bool sent = copy == 0 ? each.first : each.later;
      cr_assert((To(decision) != endpoint()) == sent, "%s", each.name);
      cr_assert((DropReason(decision) == result_code::kNoTarget) == !sent);
      // One event for each opening that was sent to a target daemon.
      cr_assert(fixture.recorded.events.size() == (sent ? 1 : 0), "%s",
                each.name);
      for (const event& placed : fixture.recorded.events) {
        cr_expect(placed.id == event_id::kOpeningPlaced);
        cr_expect(placed.peer == ToString(To(decision)));
        cr_expect(placed.key == FlowOf(1));
        cr_expect(placed.route == "r-0" && placed.version == 1);
        cr_expect((placed.code == result_code::kNoTarget) ==
                  (each.condition != kReady));
      }
      fixture.recorded.events.clear();
    }
  }
}

// Guards against openings sent to an evacuated zone, also to its silent targets
// when no other target is left, and against a zone that stays excluded.
Test(router, sends_no_opening_to_an_evacuated_zone) {
  struct row {
    const char* name;
    std::vector<zone_name> evacuated;
    node_liveness others;  // of the targets in zone b
    bool placed;
  };
  const row rows[] = {
      {"own zone", {"a"}, node_liveness::kAlive, true},
      {"others silent", {"a"}, node_liveness::kSilent, true},
      {"all zones", {"a", "b"}, node_liveness::kAlive, false},
      {"all zones, silent", {"a", "b"}, node_liveness::kSilent, false}};
  for (const row& each : rows) {
    router_fixture fixture;
    // The order comes before some entries and after others.
    for (std::uint32_t number = 1; number <= kTargets; ++number) {
      roster_entry entry = TargetAt(number, "web");
      if (number % 2 == 0) {
        entry.record.zone = "b";
        entry.liveness = each.others;
      }
      fixture.Update(entry);
      if (number == 3) {
        fixture.router->SetPlacementRules(
            test::EvacuationOf(2, each.evacuated));
        fixture.router->SetPlacementRules(test::EvacuationOf(1, {}));
      }
    }
    for (std::uint16_t port = 1; port < 50; ++port) {
      for (const std::uint32_t copy : {0U, 1U, 2U}) {
        const endpoint to = To(fixture.Open(port, copy));
        if (!each.placed) {
          cr_assert((to != endpoint()) == (copy == 0), "%s", each.name);
          continue;
        }
        cr_assert(to == DaemonAt(2) || to == DaemonAt(4) || to == DaemonAt(6),
                  "%s", each.name);
      }
    }
    if (!each.placed) cr_assert(fixture.router->counters().openings == 0);
    fixture.router->SetPlacementRules(test::EvacuationOf(3, {}));
    // The openings sent before, to zone b alone, no longer count as load.
    fixture.now += seconds(30);
    std::set<endpoint> to;
    for (std::uint16_t port = 50; port < 150; ++port)
      to.insert(To(fixture.Open(port)));
    const bool all_alive = each.others == node_liveness::kAlive;
    cr_assert(to.size() == (all_alive ? kTargets : kTargets / 2), "%s",
              each.name);
  }
}

// Guards against a rush of openings to cold targets while others have room, and
// against openings that are not placed where all targets are at their limit.
Test(router, prefers_targets_below_their_cold_limit) {
  struct row {
    const char* name;
    std::uint32_t cold;  // of the targets, the first ones
    double limit;        // openings per second; 0: none
    int most;            // openings that a cold target is sent at most
    std::uint32_t warm_load;
  };
  constexpr row kRows[] = {{"limit", 3, 2.0, 3, 4096},
                           {"no limit", 3, 0.0, 1000, 4096},
                           {"all cold", kTargets, 2.0, 1000, 0}};
  for (const row& each : kRows) {
    router_fixture fixture;
    fixture.router->SetPlacementRules(test::ColdLimitOf(1, each.limit));
    for (std::uint32_t number = 1; number <= kTargets; ++number) {
      roster_entry entry = TargetAt(number, "web");
      entry.changed_at = fixture.now;
      if (number <= each.cold) entry.record.cold_remaining = seconds(10);
      if (number > each.cold) entry.record.load = each.warm_load;
      fixture.Update(entry);
    }
    std::map<endpoint, int> count;
    // Candidates are 3 of 6, so some openings have cold candidates only.
    for (std::uint16_t port = 1; port <= 100; ++port) {
      const endpoint to = To(fixture.Open(port));
      cr_assert(to != endpoint(), "%s", each.name);
      ++count[to];
    }
    int cold = 0;
    for (std::uint32_t number = 1; number <= each.cold; ++number)
      cold += count[DaemonAt(number)];
    if (each.most < 1000) {
      cr_expect(cold <= 3 * each.most + 10, "%s: %d", each.name, cold);
    } else {
      cr_expect(cold > 40, "%s: %d", each.name, cold);
    }
  }
}

Test(router, places_no_copy_of_an_opening_that_it_refused) {
  router_fixture fixture;
  const steering_decision refused = fixture.Send(test::OpeningOf(FlowOf(1, 7)));
  cr_assert(RefusalReason(refused) == result_code::kRouteUnknown);
  document_set set = test::SetOf(2, {{"web", 1}});
  set.routes.push_back({"r-7", test::RouteAt(7), {{"web", 1}}});
  fixture.router->SetRoutes(set, {}, fixture.now);
  cr_assert(DropReason(fixture.Send(test::OpeningOf(FlowOf(1, 7), 1))) ==
            result_code::kNoTarget);
  cr_assert(To(fixture.Send(test::OpeningOf(FlowOf(2, 7)))) != endpoint());
}

Test(router, places_no_copy_of_an_opening_that_a_target_daemon_refused) {
  router_fixture fixture;
  fixture.Open(1);
  fixture.router->OnHint(fixture.Hint(1, steering_kind::kRefused), DaemonAt(1),
                         fixture.now);
  cr_assert(DropReason(fixture.Open(1, 1)) == result_code::kNoTarget);
}

Test(router, refuses_unknown_routes_only_while_confirmed) {
  for (const bool confirmed : {true, false}) {
    router_fixture fixture;
    fixture.router->SetViewConfirmed(confirmed, fixture.now);
    const steering_decision decisions[] = {
        fixture.Send(test::OpeningOf(FlowOf(1, 7))),
        fixture.Send(test::SegmentOf(FlowOf(2, 7), 1, "data"))};
    for (const steering_decision& each : decisions) {
      cr_assert((RefusalReason(each) == result_code::kRouteUnknown) ==
                confirmed);
      cr_assert((DropReason(each) == result_code::kRouteUnknown) != confirmed);
    }
    const steering_decision reset = fixture.Send(
        test::SegmentOf(FlowOf(1, 7), 1, "", test::plain_codec::kRst));
    cr_assert(DropReason(reset) == result_code::kRouteUnknown);
  }
}

Test(router, splits_openings_by_weight_alike_on_all_balancers) {
  router_fixture one({{"web", 90}, {"shop", 10}, {"idle", 0}});
  router_fixture two({{"web", 90}, {"shop", 10}, {"idle", 0}});
  for (router_fixture* each : {&one, &two}) {
    for (std::uint32_t number = 10; number < 14; ++number) {
      each->Update(TargetAt(number, "shop"));
      each->Update(TargetAt(number + 10, "idle"));
    }
  }
  int shop = 0;
  for (std::uint16_t port = 1; port <= 2000; ++port) {
    const auto first = std::get<forward_segment>(one.Open(port));
    const auto second = std::get<forward_segment>(two.Open(port));
    cr_assert(first.header.services[0] == second.header.services[0]);
    cr_assert(first.header.service_count == 3);
    cr_assert(first.header.services[0] != DigestService("idle"));
    if (first.header.services[0] == DigestService("shop")) ++shop;
  }
  cr_assert(shop > 150 && shop < 250, "%d", shop);
}

Test(router, lists_services_of_earlier_sets_for_a_while) {
  router_fixture fixture;
  fixture.router->SetRoutes(test::SetOf(2, {{"shop", 1}}), {}, fixture.now);
  fixture.router->SetRoutes(test::SetOf(1, {{"idle", 1}}), {}, fixture.now);
  cr_assert(fixture.router->set_version() == 2);
  const auto soon = std::get<forward_segment>(fixture.SendData(1)).header;
  cr_assert(soon.service_count == 2);
  cr_assert(soon.services[0] == DigestService("shop"));
  cr_assert(soon.services[1] == DigestService("web"));
  // Other balancers may open flows there until max_set_delay after the set.
  fixture.now += seconds(62);
  cr_assert(To(fixture.SendData(1)) != endpoint());
  fixture.now += seconds(1);
  cr_assert(DropReason(fixture.SendData(1)) == result_code::kNoTarget);
}

// What a balancer knows of the sets between the one that it applied and the
// next one, which has the same route.
struct missed_set_row {
  const char* name;
  std::vector<std::string> intermediate;  // services of the route
  bool may_skip_sets;
  std::uint32_t other_services;  // that have targets
  seconds after;                 // the next set
  std::size_t services;          // listed in the header
  bool confirmed;
};

// Guards against resets of flows that were opened, through other balancers, at
// a service that the route had only in a set that this balancer never applied.
Test(router, searches_the_services_of_sets_that_it_missed) {
  const std::vector<missed_set_row> rows = {
      {"none missed", {}, false, 1, seconds(0), 1, true},
      {"known", {"other-0"}, false, 2, seconds(0), 2, true},
      {"known, until its flows are over",
       {"other-0"},
       false,
       2,
       seconds(62),
       2,
       true},
      {"known, and over", {"other-0"}, false, 2, seconds(63), 1, true},
      {"not known", {}, true, 2, seconds(0), 3, true},
      {"not known, until its flows are over",
       {},
       true,
       2,
       seconds(62),
       3,
       true},
      {"not known, and over", {}, true, 2, seconds(63), 1, true},
      {"known, without room for all",
       {"other-0", "other-1", "other-2", "other-3"},
       false,
       4,
       seconds(0),
       4,
       false},
      {"not known, without room for all", {}, true, 4, seconds(0), 4, false},
  };
  for (const missed_set_row& row : rows) {
    router_fixture fixture;
    for (std::uint32_t other = 0; other < row.other_services; ++other) {
      fixture.Update(
          TargetAt(kTargets + 1 + other, "other-" + std::to_string(other)));
    }
    fixture.now += seconds(1);
    set_succession succession;
    succession.may_skip_sets = row.may_skip_sets;
    for (const std::string& service : row.intermediate) {
      const document_set between = test::SetOf(2, {{service, 1}});
      succession.intermediate_routes.push_back(between.routes.front());
    }
    fixture.router->SetRoutes(test::SetOf(9, {{"web", 1}}), succession,
                              fixture.now);
    fixture.now += row.after;
    const auto sent = std::get<forward_segment>(fixture.SendData(1)).header;
    cr_expect_eq(sent.service_count, row.services, "%s", row.name);
    cr_expect_eq(sent.confirmed, row.confirmed, "%s", row.name);
  }
}

// Guards against decisions by a replaced set of a process that was suspended:
// it routes what waited in its socket before it looks at its view again.
Test(router, counts_a_view_as_confirmed_no_longer_than_sets_are_awaited) {
  for (const bool is_late : {false, true}) {
    router_fixture fixture;
    fixture.router->SetViewConfirmed(true, fixture.now);
    fixture.now += milliseconds(is_late ? 1500 : 1499);
    const auto opening = std::get<forward_segment>(fixture.Open(1)).header;
    cr_expect_eq(opening.confirmed, !is_late);
    const auto unknown = fixture.Send(test::OpeningOf(FlowOf(1, 7)));
    cr_expect_eq(RefusalReason(unknown) == result_code::kRouteUnknown,
                 !is_late);
  }
}

struct outdated_set_row {
  const char* name;
  std::string service;         // of the target with flows
  std::uint64_t outdated_set;  // that it reports
  bool skips_sets;             // before set 3
  std::size_t services;        // listed in the header
};

// Guards against resets of flows that a balancer which was cut off from the
// control VMs opened by a replaced set, long after this one had removed the
// service.
Test(router, searches_a_replaced_service_while_a_target_reports_flows_by_it) {
  // The route has "web" in sets 1, 3 and 5, "shop" in sets 2 and 4.
  const std::vector<outdated_set_row> rows = {
      {"no flows", "shop", 0, false, 1},
      {"by a set with the service", "shop", 2, false, 2},
      {"by a set before", "shop", 1, false, 2},
      {"by the set that removed it first", "shop", 3, false, 2},
      {"by the set with the service again", "shop", 4, false, 2},
      {"by the set that removed it last", "shop", 5, false, 1},
      {"of a service that the route never had", "idle", 2, false, 1},
      {"by a set that may be unknown", "idle", 2, true, 2},
      {"by a known set after unknown ones", "idle", 3, true, 1},
      {"of the service that the route has", "web", 2, false, 1},
  };
  for (const outdated_set_row& row : rows) {
    router_fixture fixture;
    roster_entry entry = TargetAt(kTargets + 1, row.service);
    fixture.Update(entry);
    for (std::uint64_t version = 2; version <= 5; ++version) {
      set_succession succession;
      succession.may_skip_sets = row.skips_sets && version == 3;
      const std::string service = version % 2 == 0 ? "shop" : "web";
      fixture.router->SetRoutes(test::SetOf(version, {{service, 1}}),
                                succession, fixture.now);
    }
    fixture.now += seconds(200);
    entry.record.outdated_set = row.outdated_set;
    ++entry.record.sequence;
    fixture.Update(entry);
    auto sent = std::get<forward_segment>(fixture.SendData(1)).header;
    cr_expect_eq(sent.service_count, row.services, "%s", row.name);
    cr_expect(sent.confirmed, "%s", row.name);
    entry.record.outdated_set = 0;
    ++entry.record.sequence;
    fixture.Update(entry);
    sent = std::get<forward_segment>(fixture.SendData(2)).header;
    cr_expect_eq(sent.service_count, 1U, "%s, later", row.name);
  }
}

// Guards against a reset where the header has no room for a replaced service,
// and against unbounded memory of such services.
Test(router, forgets_replaced_services_only_in_favour_of_all) {
  router_fixture fixture;
  fixture.now = kStart + seconds(100);
  constexpr std::uint64_t kSets = 9000;
  for (std::uint64_t version = 2; version <= kSets; ++version) {
    fixture.router->SetRoutes(
        test::SetOf(version, {{"web-" + std::to_string(version), 1}}), {},
        fixture.now);
  }
  const auto services_listed = [&](std::uint64_t outdated_set) {
    roster_entry entry = TargetAt(kTargets + 1, "web-5");
    entry.record.outdated_set = outdated_set;
    entry.record.sequence = outdated_set;
    fixture.Update(entry);
    const auto decision = fixture.SendData(1);
    return std::get<forward_segment>(decision).header.service_count;
  };
  fixture.now += seconds(64);
  cr_expect_eq(services_listed(5), 2);
  fixture.router->SetRoutes(test::SetOf(kSets + 1, {{"web", 1}}), {},
                            fixture.now);
  cr_expect_eq(services_listed(6), 3,
               "the last one replaced, and the target's");
  cr_expect_eq(services_listed(kSets + 1), 2);
}

// Guards against resets of flows that were opened under a set that was accepted
// since this balancer's view was confirmed, and against silence afterwards.
Test(router, confirms_a_search_only_of_flows_from_before_its_confirmation) {
  for (const std::uint16_t route : {std::uint16_t{0}, std::uint16_t{7}}) {
    router_fixture fixture;
    const std::string data = test::SegmentOf(FlowOf(1, route), 5000, "data");
    const auto is_confirmed = [&](const steering_decision& decision) {
      const auto* forward = std::get_if<forward_segment>(&decision);
      return forward == nullptr
                 ? RefusalReason(decision) == result_code::kRouteUnknown
                 : forward->header.confirmed;
    };
    fixture.router->SetViewConfirmed(true, fixture.now - milliseconds(1));
    cr_expect(!is_confirmed(fixture.Send(data)), "route %d", route);
    cr_expect(fixture.router->TakeHeld(fixture.now).empty());
    const time_point arrived = fixture.now;
    fixture.now += milliseconds(300);
    fixture.router->SetViewConfirmed(true, arrived);
    const auto held = fixture.router->TakeHeld(fixture.now);
    cr_assert_eq(held.size(), 1U, "route %d", route);
    cr_expect(is_confirmed(fixture.Send(held.front())), "route %d", route);
  }
}

Test(router, follows_the_hint_until_another_comes) {
  router_fixture fixture;
  for (std::uint32_t number = 1; number <= kTargets; ++number) {
    fixture.router->OnHint(fixture.Hint(1, steering_kind::kOwner),
                           DaemonAt(number), fixture.now);
    cr_assert(To(fixture.SendData(1)) == DaemonAt(number));
  }
  cr_assert(fixture.router->cached_flows() == 1);
  fixture.router->OnHint(fixture.Hint(1, steering_kind::kUnknown), DaemonAt(1),
                         fixture.now);
  cr_assert(fixture.router->cached_flows() == 1);
  fixture.router->OnHint(fixture.Hint(1, steering_kind::kUnknown),
                         DaemonAt(kTargets), fixture.now);
  cr_assert(fixture.router->cached_flows() == 0);
}

Test(router, keeps_a_bounded_number_of_hints) {
  segment_router_settings settings;
  settings.max_cached_flows = 64;
  segment_router router(settings);
  router.UpdateTarget(TargetAt(1, "web"), kStart);
  for (std::uint16_t port = 0; port < 1000; ++port) {
    steering_header hint;
    hint.kind = steering_kind::kOwner;
    hint.flow = HashFlow(FlowOf(port));
    router.OnHint(hint, DaemonAt(1), kStart);
  }
  cr_assert(router.cached_flows() <= 64 && router.cached_flows() > 32);
}

Test(router, refuses_a_flow_only_when_its_target_surely_ended) {
  struct row {
    const char* name;
    std::uint64_t hinted;  // target_start of the hint
    target_condition condition;
    node_liveness liveness;
    std::uint64_t start;
    std::uint64_t generation;
    const char* service;
    bool refused;  // else the daemon is asked
  };
  constexpr auto kReady = target_condition::kReady;
  constexpr auto kAbsent = target_condition::kAbsent;
  constexpr auto kAlive = node_liveness::kAlive;
  constexpr auto kGone = node_liveness::kGone;
  constexpr row kRows[] = {
      {"the same", 100, kReady, kAlive, 100, 1, "web", false},
      {"a later target, the daemon knows", 100, kReady, kAlive, 200, 1, "web",
       false},
      {"a later target, a later daemon", 100, kReady, kAlive, 200, 2, "web",
       true},
      {"a later target, the daemon is silent", 100, kReady,
       node_liveness::kSilent, 200, 1, "web", true},
      {"an earlier record", 100, kReady, kAlive, 90, 1, "web", false},
      {"another service", 100, kReady, kAlive, 200, 2, "shop", true},
      {"a hint without start", 0, kReady, kAlive, 200, 1, "web", false},
      {"daemon restarted", 100, kAbsent, kAlive, 0, 2, "web", false},
      {"daemon leaves, target lives", 100, kReady, kGone, 100, 1, "web", false},
      {"daemon leaves after its target", 100, kAbsent, kGone, 0, 1, "web",
       true},
      {"daemon leaves before it knew", 100, kAbsent, kGone, 0, 2, "web", false},
      {"silent", 100, kReady, node_liveness::kSilent, 100, 1, "web", false}};
  for (const row& each : kRows) {
    router_fixture fixture;
    fixture.router->OnHint(fixture.Hint(1, steering_kind::kOwner, each.hinted),
                           DaemonAt(1), fixture.now);
    roster_entry entry = TargetAt(1, each.service);
    entry.record.condition = each.condition;
    entry.record.target_start = each.start;
    entry.record.generation = each.generation;
    entry.liveness = each.liveness;
    fixture.Update(entry);
    const steering_decision decision = fixture.SendData(1);
    if (each.refused) {
      cr_assert(RefusalReason(decision) == result_code::kFlowLost, "%s",
                each.name);
    } else {
      cr_assert(To(decision) == DaemonAt(1), "%s", each.name);
    }
  }
}

// Guards against a wrong start in the cache that outlives the daemon's
// knowledge of the flow: a later start of the daemon would let the flow be
// reset.
Test(router, forgets_a_start_that_the_daemon_was_asked_about) {
  router_fixture fixture;
  fixture.router->OnHint(fixture.Hint(1, steering_kind::kOwner, 100),
                         DaemonAt(1), fixture.now);
  roster_entry entry = TargetAt(1, "web");
  entry.record.target_start = 200;
  fixture.Update(entry);
  cr_assert(To(fixture.SendData(1)) == DaemonAt(1));
  entry.record.generation = 2;
  fixture.Update(entry);
  cr_assert(To(fixture.SendData(1)) == DaemonAt(1));
}

Test(router, guesses_where_the_opening_went) {
  router_fixture fixture;
  const endpoint first = To(fixture.Open(1, 0));
  const endpoint second = To(fixture.Open(1, 1));
  cr_assert(To(fixture.SendData(1)) == first);
  fixture.now += milliseconds(200);
  cr_assert(To(fixture.SendData(1)) == second);
}

Test(router, tries_another_target_first_at_each_retransmission) {
  router_fixture fixture;
  // A target has just joined, so other nodes may not know it yet.
  roster_entry joined = TargetAt(kTargets, "web");
  joined.record.generation = 2;
  fixture.Update(joined);
  std::set<endpoint> visited;
  for (std::uint32_t turn = 0; turn < kTargets; ++turn) {
    const auto sent = std::get<forward_segment>(fixture.SendData(1));
    cr_assert(sent.header.possible_owners == kTargets);
    // By then the flow is older than any roster change that has not reached all
    // nodes.
    cr_assert(sent.header.confirmed == (turn >= 3));
    visited.insert(sent.to);
    cr_assert(To(fixture.SendData(1)) == sent.to);
    fixture.now += milliseconds(200);
  }
  cr_assert(visited.size() == kTargets);
}

// One search visits at most kMaxSteeringVisits targets, so several searches are
// needed.
Test(router, visits_all_of_many_targets_within_few_retransmissions) {
  for (const std::uint32_t count : {25U, 43U, 48U, 60U}) {
    router_fixture fixture;
    std::vector<endpoint> order;
    for (std::uint32_t number = 1; number <= count; ++number)
      fixture.Update(TargetAt(number, "web"));
    const auto header = std::get<forward_segment>(fixture.SendData(9)).header;
    target_directory directory("a", seconds(60));
    for (std::uint32_t number = 1; number <= count; ++number)
      directory.Update(TargetAt(number, "web"), kStart);
    for (const target_index each : directory.ListOwners(header, kStart).alive)
      order.push_back(directory.At(each).where);
    std::set<endpoint> visited;
    const std::size_t searches = (count + 22) / 23;
    for (std::size_t search = 0; search < searches; ++search) {
      const auto first =
          std::find(order.begin(), order.end(), To(fixture.SendData(9)));
      cr_assert(first != order.end());
      const auto from = static_cast<std::size_t>(first - order.begin());
      for (std::size_t step = 0; step < kMaxSteeringVisits; ++step)
        visited.insert(order[(from + step) % order.size()]);
      fixture.now += milliseconds(200);
    }
    cr_expect(visited.size() == count, "%zu of %u", visited.size(), count);
  }
}

Test(router, confirms_at_once_if_no_target_joined_recently) {
  struct row {
    milliseconds since_joined;
    bool confirmed;
  };
  constexpr row kRows[] = {{milliseconds(0), false},
                           {milliseconds(499), false},
                           {milliseconds(500), true}};
  for (const row& each : kRows) {
    router_fixture fixture;
    roster_entry joined = TargetAt(kTargets, "web");
    joined.record.generation = 2;
    fixture.Update(joined);
    fixture.now += each.since_joined;
    const auto sent = std::get<forward_segment>(fixture.SendData(1));
    cr_assert(sent.header.confirmed == each.confirmed);
  }
}

Test(router, searches_all_services_where_earlier_sets_are_not_known) {
  struct row {
    seconds after;  // time since the first set
    bool opening;   // whether the header of an opening is confirmed
    bool all;       // whether all services are searched
  };
  constexpr row kRows[] = {{seconds(1), false, true},
                           {seconds(2), true, true},
                           {seconds(62), true, true},
                           {seconds(63), true, false}};
  for (const row& each : kRows) {
    router_fixture fixture;
    fixture.now = kStart;
    fixture.Update(TargetAt(kTargets + 1, "archive"));
    fixture.now = kStart + each.after;
    const auto opening = std::get<forward_segment>(fixture.Open(1));
    cr_assert(opening.header.confirmed == each.opening);
    const auto other = std::get<forward_segment>(fixture.SendData(2));
    cr_assert(other.header.confirmed);
    cr_assert(other.header.HasService(DigestService("archive")) == each.all);
    cr_assert(other.header.possible_owners == kTargets + (each.all ? 1 : 0));
  }
}

Test(router, confirms_nothing_where_it_can_not_search_all_services) {
  router_fixture fixture;
  fixture.now = kStart;
  for (std::uint32_t other = 0; other < kMaxSteeringServices; ++other)
    fixture.Update(
        TargetAt(kTargets + 1 + other, "other-" + std::to_string(other)));
  fixture.now = kStart + seconds(62);
  cr_assert(!std::get<forward_segment>(fixture.SendData(1)).header.confirmed);
  fixture.now = kStart + seconds(63);
  cr_assert(std::get<forward_segment>(fixture.SendData(2)).header.confirmed);
}

// A balancer that still has the set of before may refuse the first copy without
// a visit to the added service.
Test(router, places_only_first_copies_at_a_share_just_added) {
  struct row {
    const char* name;
    std::vector<service_share> before;
    seconds removed;  // since the set of before was replaced by one without
                      // any share; 0: it was not
    std::uint32_t copy;
    milliseconds after;  // the new set
    bool placed;
  };
  const std::vector<row> rows = {
      {"first copy", {{"web", 1}}, seconds(0), 0, milliseconds(0), true},
      {"later copy", {{"web", 1}}, seconds(0), 1, milliseconds(0), false},
      {"until it is known",
       {{"web", 1}},
       seconds(0),
       2,
       milliseconds(4999),
       false},
      {"when it is known",
       {{"web", 1}},
       seconds(0),
       1,
       milliseconds(5000),
       true},
      {"was listed",
       {{"web", 1}, {"shop", 0}},
       seconds(0),
       1,
       milliseconds(0),
       true},
      {"was removed lately",
       {{"shop", 1}},
       seconds(5),
       1,
       milliseconds(0),
       true},
      {"was removed, and others list it long enough",
       {{"shop", 1}},
       seconds(54),
       1,
       milliseconds(0),
       true},
      {"was removed, and others may not list it any more",
       {{"shop", 1}},
       seconds(55),
       1,
       milliseconds(0),
       false},
      {"was removed long ago",
       {{"shop", 1}},
       seconds(64),
       1,
       milliseconds(0),
       false},
  };
  for (const row& each : rows) {
    router_fixture fixture(each.before);
    fixture.Update(TargetAt(7, "shop"));
    std::uint64_t version = 1;
    if (each.removed > seconds(0)) {
      fixture.router->SetRoutes(test::SetOf(++version, {{"web", 1}}), {},
                                fixture.now);
      fixture.now += each.removed;
      fixture.router->SetRoutes(test::SetOf(++version, {{"web", 2}}), {},
                                fixture.now);
    }
    fixture.router->SetRoutes(test::SetOf(++version, {{"shop", 1}}), {},
                              fixture.now);
    fixture.now += each.after;
    const auto decision = fixture.Open(1, each.copy);
    const endpoint expected = each.placed ? test::DaemonAt(7) : endpoint();
    cr_assert(To(decision) == expected, "%s", each.name);
  }
}

}  // namespace
}  // namespace tamaracklatch
