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

struct heard_events : event_listener {
  void OnEvent(const event& what) override { events.push_back(what); }
  std::vector<event> events;
};

// A router whose view is long confirmed, with targets 1 to 6 of one service.
struct lone_router {
  explicit lone_router(std::vector<service_share> shares = {{"web", 1}}) {
    segment_router_settings settings;
    settings.self = test::BalancerAt(1);
    settings.zone = "a";
    router = std::make_unique<segment_router>(settings, &heard);
    router->SetRoutes(test::SetOf(1, std::move(shares)), kStart);
    router->SetConfirmed(true);
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
  steering_decision Go(std::uint16_t port) {
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

  heard_events heard;
  std::unique_ptr<segment_router> router;
  time_point now = kStart;
};

endpoint To(const steering_decision& decision) {
  const auto* forward = std::get_if<forward_segment>(&decision);
  return forward == nullptr ? endpoint() : forward->to;
}

result_code WhyRefused(const steering_decision& decision) {
  const auto* refused = std::get_if<refuse_segment>(&decision);
  return refused == nullptr ? result_code::kOk : refused->why;
}

result_code WhyDropped(const steering_decision& decision) {
  const auto* dropped = std::get_if<drop_segment>(&decision);
  return dropped == nullptr ? result_code::kOk : dropped->why;
}

Test(router, sends_the_copies_of_an_opening_to_three_targets) {
  lone_router alone;
  for (std::uint16_t port = 1; port < 100; ++port) {
    std::set<endpoint> to;
    for (std::uint32_t copy = 0; copy < 3; ++copy) {
      const endpoint first = To(alone.Open(port, copy));
      cr_assert(To(alone.Open(port, copy)) == first);
      to.insert(first);
    }
    cr_assert(to.size() == 3 && to.count(endpoint()) == 0);
  }
}

Test(router, sends_copies_to_three_targets_without_memory_of_the_first) {
  for (std::uint16_t port = 1; port < 20; ++port) {
    lone_router third;
    lone_router second;
    lone_router first;
    // No load tells the targets apart, so the first copy goes to rank 0.
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
      lone_router alone;
      const endpoint usual = To(alone.Open(port));
      lone_router other;
      for (std::uint32_t number = 1; number <= kTargets; ++number) {
        roster_entry entry = TargetAt(number, "web");
        if (entry.record.where == usual) {
          entry.record.load = each.load;
          entry.record.slots = each.slots;
          entry.record.cold_remaining = each.cold;
          entry.record.zone = each.zone;
        }
        other.Update(entry);
      }
      cr_assert(To(other.Open(port)) != usual, "%s", each.name);
    }
  }
}

Test(router, spreads_a_burst_of_openings) {
  lone_router alone;
  std::map<endpoint, int> count;
  for (std::uint16_t port = 1; port <= 600; ++port)
    ++count[To(alone.Open(port))];
  for (const auto& [where, openings] : count)
    cr_assert(openings > 85 && openings < 115, "%d", openings);
}

Test(router, chooses_openings_by_what_targets_say) {
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
      // Who may refuse it.
      {"draining", target_condition::kDraining, kAlive, true, false},
      {"absent", target_condition::kAbsent, kAlive, true, false}};
  for (const row& each : kRows) {
    lone_router alone;
    for (std::uint32_t number = 1; number <= kTargets; ++number) {
      roster_entry entry = TargetAt(number, "web");
      entry.record.condition = each.condition;
      entry.liveness = each.liveness;
      alone.Update(entry);
    }
    for (const std::uint32_t copy : {0U, 1U}) {
      const steering_decision decision = alone.Open(1, copy);
      const bool sent = copy == 0 ? each.first : each.later;
      cr_assert((To(decision) != endpoint()) == sent, "%s", each.name);
      cr_assert((WhyDropped(decision) == result_code::kNoTarget) == !sent);
      // Each opening that went to a target daemon has a line that says so.
      cr_assert(alone.heard.events.size() == (sent ? 1 : 0), "%s", each.name);
      for (const event& placed : alone.heard.events) {
        cr_expect(placed.id == event_id::kOpeningPlaced);
        cr_expect(placed.peer == ToString(To(decision)));
        cr_expect(placed.key == FlowOf(1));
        cr_expect(placed.route == "r-0" && placed.version == 1);
        cr_expect((placed.code == result_code::kNoTarget) ==
                  (each.condition != kReady));
      }
      alone.heard.events.clear();
    }
  }
}

Test(router, places_no_copy_of_an_opening_that_it_refused) {
  lone_router alone;
  const steering_decision refused = alone.Send(test::OpeningOf(FlowOf(1, 7)));
  cr_assert(WhyRefused(refused) == result_code::kRouteUnknown);
  document_set set = test::SetOf(2, {{"web", 1}});
  set.routes.push_back({"r-7", test::RouteAt(7), {{"web", 1}}});
  alone.router->SetRoutes(set, alone.now);
  cr_assert(WhyDropped(alone.Send(test::OpeningOf(FlowOf(1, 7), 1))) ==
            result_code::kNoTarget);
  cr_assert(To(alone.Send(test::OpeningOf(FlowOf(2, 7)))) != endpoint());
}

Test(router, places_no_copy_of_an_opening_that_a_target_daemon_refused) {
  lone_router alone;
  alone.Open(1);
  alone.router->OnOwner(alone.Hint(1, steering_kind::kRefused), DaemonAt(1),
                        alone.now);
  cr_assert(WhyDropped(alone.Open(1, 1)) == result_code::kNoTarget);
}

Test(router, refuses_unknown_routes_only_while_confirmed) {
  for (const bool confirmed : {true, false}) {
    lone_router alone;
    alone.router->SetConfirmed(confirmed);
    const steering_decision decisions[] = {
        alone.Send(test::OpeningOf(FlowOf(1, 7))),
        alone.Send(test::SegmentOf(FlowOf(2, 7), 1, "data"))};
    for (const steering_decision& each : decisions) {
      cr_assert((WhyRefused(each) == result_code::kRouteUnknown) == confirmed);
      cr_assert((WhyDropped(each) == result_code::kRouteUnknown) != confirmed);
    }
    const steering_decision reset = alone.Send(
        test::SegmentOf(FlowOf(1, 7), 1, "", test::plain_codec::kRst));
    cr_assert(WhyDropped(reset) == result_code::kRouteUnknown);
  }
}

Test(router, splits_openings_by_weight_alike_on_all_balancers) {
  lone_router one({{"web", 90}, {"shop", 10}, {"idle", 0}});
  lone_router two({{"web", 90}, {"shop", 10}, {"idle", 0}});
  for (lone_router* each : {&one, &two}) {
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
    cr_assert(first.header.services[0] != ServiceTag("idle"));
    if (first.header.services[0] == ServiceTag("shop")) ++shop;
  }
  cr_assert(shop > 150 && shop < 250, "%d", shop);
}

Test(router, lists_services_of_earlier_sets_for_a_while) {
  lone_router alone;
  alone.router->SetRoutes(test::SetOf(2, {{"shop", 1}}), alone.now);
  alone.router->SetRoutes(test::SetOf(1, {{"idle", 1}}), alone.now);
  cr_assert(alone.router->set_version() == 2);
  const auto soon = std::get<forward_segment>(alone.Go(1)).header;
  cr_assert(soon.service_count == 2);
  cr_assert(soon.services[0] == ServiceTag("shop"));
  cr_assert(soon.services[1] == ServiceTag("web"));
  alone.now += seconds(60);
  cr_assert(WhyDropped(alone.Go(1)) == result_code::kNoTarget);
}

Test(router, follows_the_hint_until_another_comes) {
  lone_router alone;
  for (std::uint32_t number = 1; number <= kTargets; ++number) {
    alone.router->OnOwner(alone.Hint(1, steering_kind::kOwner),
                          DaemonAt(number), alone.now);
    cr_assert(To(alone.Go(1)) == DaemonAt(number));
  }
  cr_assert(alone.router->cached_flows() == 1);
  alone.router->OnOwner(alone.Hint(1, steering_kind::kUnknown), DaemonAt(1),
                        alone.now);
  cr_assert(alone.router->cached_flows() == 1);
  alone.router->OnOwner(alone.Hint(1, steering_kind::kUnknown),
                        DaemonAt(kTargets), alone.now);
  cr_assert(alone.router->cached_flows() == 0);
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
    router.OnOwner(hint, DaemonAt(1), kStart);
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
    bool refused;
  };
  constexpr auto kReady = target_condition::kReady;
  constexpr auto kAbsent = target_condition::kAbsent;
  constexpr auto kAlive = node_liveness::kAlive;
  constexpr auto kGone = node_liveness::kGone;
  constexpr row kRows[] = {
      {"the same", 100, kReady, kAlive, 100, 1, "web", false},
      {"a later target", 100, kReady, kAlive, 200, 1, "web", true},
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
    lone_router alone;
    alone.router->OnOwner(alone.Hint(1, steering_kind::kOwner, each.hinted),
                          DaemonAt(1), alone.now);
    roster_entry entry = TargetAt(1, each.service);
    entry.record.condition = each.condition;
    entry.record.target_start = each.start;
    entry.record.generation = each.generation;
    entry.liveness = each.liveness;
    alone.Update(entry);
    const steering_decision decision = alone.Go(1);
    if (each.refused) {
      cr_assert(WhyRefused(decision) == result_code::kFlowLost, "%s",
                each.name);
    } else {
      cr_assert(To(decision) == DaemonAt(1), "%s", each.name);
    }
  }
}

Test(router, guesses_where_the_opening_went) {
  lone_router alone;
  const endpoint first = To(alone.Open(1, 0));
  const endpoint second = To(alone.Open(1, 1));
  cr_assert(To(alone.Go(1)) == first);
  alone.now += milliseconds(200);
  cr_assert(To(alone.Go(1)) == second);
}

Test(router, asks_another_target_first_at_each_retransmission) {
  lone_router alone;
  // A target has just joined, so others may not know it.
  roster_entry joined = TargetAt(kTargets, "web");
  joined.record.generation = 2;
  alone.Update(joined);
  std::set<endpoint> asked;
  for (std::uint32_t turn = 0; turn < kTargets; ++turn) {
    const auto sent = std::get<forward_segment>(alone.Go(1));
    cr_assert(sent.header.possible_owners == kTargets);
    // Only then is the flow older than any change that others don't know.
    cr_assert(sent.header.confirmed == (turn >= 3));
    asked.insert(sent.to);
    cr_assert(To(alone.Go(1)) == sent.to);
    alone.now += milliseconds(200);
  }
  cr_assert(asked.size() == kTargets);
}

// A search visits no more than a header has room for.
Test(router, asks_all_of_many_targets_within_few_retransmissions) {
  for (const std::uint32_t count : {25U, 43U, 48U, 60U}) {
    lone_router alone;
    std::vector<endpoint> order;
    for (std::uint32_t number = 1; number <= count; ++number)
      alone.Update(TargetAt(number, "web"));
    const auto header = std::get<forward_segment>(alone.Go(9)).header;
    target_directory directory("a", seconds(60));
    for (std::uint32_t number = 1; number <= count; ++number)
      directory.Update(TargetAt(number, "web"), kStart);
    for (const target_index each : directory.ListOwners(header, kStart).alive)
      order.push_back(directory.At(each).where);
    std::set<endpoint> asked;
    const std::size_t searches = (count + 22) / 23;
    for (std::size_t search = 0; search < searches; ++search) {
      const auto first = std::find(order.begin(), order.end(), To(alone.Go(9)));
      cr_assert(first != order.end());
      const auto from = static_cast<std::size_t>(first - order.begin());
      for (std::size_t step = 0; step < kMaxSteeringVisits; ++step)
        asked.insert(order[(from + step) % order.size()]);
      alone.now += milliseconds(200);
    }
    cr_expect(asked.size() == count, "%zu of %u", asked.size(), count);
  }
}

Test(router, confirms_at_once_where_no_target_joined_of_late) {
  struct row {
    milliseconds since_joined;
    bool confirmed;
  };
  constexpr row kRows[] = {{milliseconds(0), false},
                           {milliseconds(499), false},
                           {milliseconds(500), true}};
  for (const row& each : kRows) {
    lone_router alone;
    roster_entry joined = TargetAt(kTargets, "web");
    joined.record.generation = 2;
    alone.Update(joined);
    alone.now += each.since_joined;
    const auto sent = std::get<forward_segment>(alone.Go(1));
    cr_assert(sent.header.confirmed == each.confirmed);
  }
}

Test(router, searches_all_services_where_earlier_sets_are_not_known) {
  struct row {
    seconds after;  // the first set
    bool opening;   // confirmed
    bool all;       // services are searched
  };
  constexpr row kRows[] = {{seconds(1), false, true},
                           {seconds(2), true, true},
                           {seconds(59), true, true},
                           {seconds(60), true, false}};
  for (const row& each : kRows) {
    lone_router alone;
    alone.now = kStart;
    alone.Update(TargetAt(kTargets + 1, "archive"));
    alone.now = kStart + each.after;
    const auto opening = std::get<forward_segment>(alone.Open(1));
    cr_assert(opening.header.confirmed == each.opening);
    const auto other = std::get<forward_segment>(alone.Go(2));
    cr_assert(other.header.confirmed);
    cr_assert(other.header.HasService(ServiceTag("archive")) == each.all);
    cr_assert(other.header.possible_owners == kTargets + (each.all ? 1 : 0));
  }
}

Test(router, confirms_nothing_where_it_can_not_search_all_services) {
  lone_router alone;
  alone.now = kStart;
  for (std::uint32_t other = 0; other < kMaxSteeringServices; ++other)
    alone.Update(
        TargetAt(kTargets + 1 + other, "other-" + std::to_string(other)));
  alone.now = kStart + seconds(59);
  cr_assert(!std::get<forward_segment>(alone.Go(1)).header.confirmed);
  alone.now = kStart + seconds(60);
  cr_assert(std::get<forward_segment>(alone.Go(2)).header.confirmed);
}

}  // namespace
}  // namespace tamaracklatch
