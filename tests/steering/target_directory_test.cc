// Tests of the possible owners of a flow and of the order in which a search
// visits them.
#include "steering/target_directory.h"

#include <algorithm>
#include <set>
#include <unordered_map>
#include <vector>

#include "steering/segments.h"
#include "support/property.h"

namespace tamaracklatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using test::kStart;
using test::TargetAt;

constexpr duration kMaxFlowAge = seconds(60);

steering_header HeaderOf(std::uint64_t flow) {
  steering_header header;
  header.flow = flow;
  header.service_count = 2;
  header.services[0] = DigestService("web");
  header.services[1] = DigestService("shop");
  return header;
}

Test(directory, searches_each_owner_once_from_any_start) {
  test::CheckProperty("search", [] {
    target_directory directory("a", kMaxFlowAge);
    const auto count = *rc::gen::inRange<std::uint32_t>(1, 20);
    for (std::uint32_t number = 0; number < count; ++number) {
      roster_entry entry =
          TargetAt(number, *rc::gen::element<std::string>("web", "shop"));
      entry.liveness =
          *rc::gen::element(node_liveness::kAlive, node_liveness::kSilent);
      directory.Update(entry, kStart);
    }
    steering_header header = HeaderOf(*rc::gen::arbitrary<std::uint64_t>());
    const owner_search search = directory.ListOwners(header, kStart);
    RC_ASSERT(search.size() == count);
    // Visits the alive targets in cyclic order, then the silent ones.
    const std::size_t alive = search.alive.size();
    const auto start =
        alive == 0 ? 0 : *rc::gen::inRange<std::size_t>(0, alive);
    endpoint self;
    for (std::size_t step = 0; step < count; ++step) {
      RC_ASSERT(!directory.AllVisited(header));
      const target_index next = step == 0 && alive > 0
                                    ? search.alive[start]
                                    : directory.NextOwner(header, self, kStart);
      RC_ASSERT(next != kNoTargetIndex);
      if (step < alive) RC_ASSERT(next == search.alive[(start + step) % alive]);
      RC_ASSERT(header.AddVisit(directory.At(next).node));
      self = directory.At(next).where;
    }
    RC_ASSERT(directory.NextOwner(header, self, kStart) == kNoTargetIndex);
    RC_ASSERT(directory.AllVisited(header));
  });
}

Test(directory, orders_targets_independently_of_the_order_of_updates) {
  target_directory one("a", kMaxFlowAge);
  target_directory two("b", kMaxFlowAge);
  constexpr std::uint32_t kCount = 12;
  for (std::uint32_t number = 0; number < kCount; ++number) {
    one.Update(TargetAt(number, "web"), kStart);
    two.Update(TargetAt(kCount - 1 - number, "web"), kStart);
  }
  for (std::uint64_t flow = 1; flow < 50; ++flow) {
    const owner_search first = one.ListOwners(HeaderOf(flow), kStart);
    const owner_search second = two.ListOwners(HeaderOf(flow), kStart);
    for (std::size_t at = 0; at < kCount; ++at) {
      cr_assert(one.At(first.alive[at]).where ==
                two.At(second.alive[at]).where);
    }
  }
}

// The opening went to one of the first targets of the service that was chosen
// at that time, which can't be derived from later weights.
Test(directory, visits_the_first_of_each_service_before_the_rest) {
  target_directory directory("a", kMaxFlowAge);
  for (std::uint32_t number = 0; number < 43; ++number)
    directory.Update(TargetAt(number, number < 34 ? "web" : "shop"), kStart);
  constexpr std::size_t kFirst = 4;
  for (std::uint64_t flow = 1; flow < 50; ++flow) {
    const owner_search search = directory.ListOwners(HeaderOf(flow), kStart);
    cr_assert(search.size() == 43);
    for (const char* service : {"web", "shop"}) {
      std::vector<target_index> first;
      directory.Rank(
          flow, DigestService(service), kFirst,
          [](const directory_target&) { return true; }, &first);
      for (const target_index each : first) {
        const auto end = search.alive.begin() + 2 * kFirst;
        cr_expect(std::find(search.alive.begin(), end, each) != end,
                  "flow %llu, %s", static_cast<unsigned long long>(flow),
                  service);
      }
    }
  }
}

Test(directory, visits_silent_targets_in_rotation) {
  target_directory directory("a", kMaxFlowAge);
  for (std::uint32_t number = 0; number < 2; ++number) {
    roster_entry entry = TargetAt(number, "web");
    entry.liveness = node_liveness::kSilent;
    directory.Update(entry, kStart);
  }
  const steering_header header = HeaderOf(7);
  directory.ListOwners(header, kStart);
  cr_assert(
      directory.NextOwner(header, endpoint(), kStart) !=
      directory.NextOwner(header, endpoint(), kStart + milliseconds(150)));
}

Test(directory, lists_targets_that_may_hold_a_flow) {
  struct row {
    const char* name;
    target_condition condition;
    node_liveness liveness;
    std::uint64_t start;
    seconds later;
    std::size_t alive;
    std::size_t silent;
  };
  constexpr auto kReady = target_condition::kReady;
  constexpr auto kAbsent = target_condition::kAbsent;
  constexpr auto kAlive = node_liveness::kAlive;
  constexpr auto kGone = node_liveness::kGone;
  constexpr row kRows[] = {
      {"ready", kReady, kAlive, 100, seconds(0), 1, 0},
      {"draining", target_condition::kDraining, kAlive, 100, seconds(0), 1, 0},
      {"restarted", target_condition::kUnreported, kAlive, 0, seconds(0), 1, 0},
      {"absent since its last report", kAbsent, kAlive, 0, seconds(0), 1, 0},
      {"silent", kReady, node_liveness::kSilent, 100, seconds(99), 0, 1},
      {"daemon gone", kReady, kGone, 100, seconds(59), 0, 1},
      {"daemon long gone", kReady, kGone, 100, seconds(60), 0, 0},
      {"target gone before", kAbsent, kGone, 0, seconds(0), 0, 0}};
  for (const row& each : kRows) {
    target_directory directory("a", kMaxFlowAge);
    roster_entry entry = TargetAt(1, "web");
    directory.Update(entry, kStart);
    entry.record.condition = each.condition;
    entry.record.target_start = each.start;
    entry.liveness = each.liveness;
    directory.Update(entry, kStart);
    const owner_search& search =
        directory.ListOwners(HeaderOf(1), kStart + each.later);
    cr_assert(search.alive.size() == each.alive, "%s", each.name);
    cr_assert(search.silent.size() == each.silent, "%s", each.name);
  }
}

Test(directory, lists_an_address_under_its_last_service_only) {
  target_directory directory("a", kMaxFlowAge);
  directory.Update(TargetAt(1, "web"), kStart);
  directory.Update(TargetAt(1, "idle"), kStart);
  cr_assert(directory.ListOwners(HeaderOf(1), kStart).size() == 0);
  roster_entry balancer = TargetAt(2, "web");
  balancer.record.role = node_role::kBalancer;
  cr_assert(!directory.Update(balancer, kStart));
}

Test(directory, counts_a_visit_for_one_start_of_a_daemon) {
  target_directory directory("a", kMaxFlowAge);
  roster_entry entry = TargetAt(1, "web");
  directory.Update(entry, kStart);
  steering_header header = HeaderOf(1);
  header.AddVisit(NodeTag(entry.record.where, entry.record.generation));
  directory.ListOwners(header, kStart);
  cr_assert(directory.AllVisited(header));
  ++entry.record.sequence;
  directory.Update(entry, kStart);
  cr_assert(directory.AllVisited(header));
  ++entry.record.generation;
  directory.Update(entry, kStart);
  cr_assert(!directory.AllVisited(header));
}

Test(directory, is_settled_some_time_after_the_last_start) {
  target_directory directory("a", kMaxFlowAge);
  roster_entry entry = TargetAt(1, "web");
  directory.Update(entry, kStart);
  directory.ListOwners(HeaderOf(1), kStart);
  cr_assert(!directory.AllSettled(kStart + seconds(1)));
  cr_assert(directory.AllSettled(kStart + seconds(2)));
  ++entry.record.generation;
  directory.Update(entry, kStart + seconds(2));
  cr_assert(!directory.AllSettled(kStart + seconds(3)));
  cr_assert(directory.AllSettled(kStart + seconds(4)));
}

struct owner_row {
  node_liveness liveness;
  target_condition condition;
  std::uint64_t target_start;  // 0: no target has reported
  bool may_have_target;        // before the daemon started
  bool may_own;
};

Test(directory, lists_no_daemon_that_never_had_a_target) {
  constexpr auto kUnreported = target_condition::kUnreported;
  constexpr auto kReady = target_condition::kReady;
  constexpr auto kAbsent = target_condition::kAbsent;
  const owner_row rows[] = {
      {node_liveness::kAlive, kReady, 100, false, true},
      {node_liveness::kAlive, kUnreported, 0, false, true},
      {node_liveness::kAlive, kAbsent, 0, false, false},
      {node_liveness::kSilent, kReady, 100, false, true},
      {node_liveness::kSilent, kUnreported, 0, false, false},
      {node_liveness::kSilent, kUnreported, 0, true, true},
      {node_liveness::kSilent, kAbsent, 0, false, false},
      {node_liveness::kGone, kReady, 100, false, true},
      {node_liveness::kGone, kUnreported, 0, false, true},
      {node_liveness::kGone, kAbsent, 0, false, false}};
  for (const owner_row& row : rows) {
    target_directory directory("a", kMaxFlowAge);
    roster_entry entry = TargetAt(1, "web");
    entry.liveness = row.liveness;
    entry.record.target_start = row.target_start;
    entry.record.condition = row.condition;
    entry.record.may_have_target = row.may_have_target;
    directory.Update(entry, kStart);
    const owner_search& search = directory.ListOwners(HeaderOf(1), kStart);
    cr_assert((search.size() == 1) == row.may_own);
  }
}

struct restart_row {
  const char* name;
  target_condition before;  // of the earlier start of the daemon
  node_liveness stopped;    // liveness after it stopped
  std::uint64_t target_start;
  bool may_own;
};

// A daemon restarted and was cut off before its target's first report, so the
// target of the earlier start may still hold flows.
Test(directory, lists_a_silent_daemon_whose_target_may_live_on) {
  constexpr auto kReady = target_condition::kReady;
  constexpr auto kAbsent = target_condition::kAbsent;
  constexpr auto kUnreported = target_condition::kUnreported;
  constexpr auto kSilent = node_liveness::kSilent;
  const restart_row rows[] = {
      {"had a target", kReady, kSilent, 100, true},
      {"left beside its target", kReady, node_liveness::kGone, 100, true},
      {"left after its target", kAbsent, node_liveness::kGone, 0, false},
      {"never had one", kUnreported, kSilent, 0, false}};
  for (const restart_row& row : rows) {
    target_directory directory("a", kMaxFlowAge);
    roster_entry entry = TargetAt(1, "web");
    if (row.before == kUnreported) entry.record.target_start = 0;
    entry.record.condition =
        row.before == kAbsent ? target_condition::kReady : row.before;
    directory.Update(entry, kStart);
    entry.record.condition = row.before;
    entry.record.target_start = row.target_start;
    entry.liveness = row.stopped;
    directory.Update(entry, kStart);
    for (int restarts = 0; restarts < 2; ++restarts) {
      ++entry.record.generation;
      entry.record.condition = kUnreported;
      entry.record.target_start = 0;
      entry.record.may_have_target = false;
      entry.liveness = kSilent;
      directory.Update(entry, kStart);
      const owner_search& search = directory.ListOwners(HeaderOf(1), kStart);
      cr_assert((search.size() == 1) == row.may_own, "%s", row.name);
    }
  }
}

// Guards against tag collisions. With 16-bit tags two of fourteen targets
// shared a tag, and the search for the flows of one ended at the other.
Test(directory, tags_of_an_installation_differ) {
  std::set<std::uint64_t> tags;
  constexpr std::uint32_t kTargets = 2000;
  for (std::uint32_t zone = 1; zone <= 4; ++zone) {
    for (std::uint32_t number = 0; number < kTargets / 4; ++number) {
      const endpoint where{MakeV4(10U << 24U | zone << 16U | number), 7360};
      cr_expect(tags.insert(NodeTag(where, 1)).second);
    }
  }
}

// One visit must not stand for two daemons, even if their tags are equal.
Test(directory, sees_that_two_targets_share_a_tag) {
  roster_entry one = TargetAt(1, "web");
  one.record.generation = 5758190309093725407;
  roster_entry twin = TargetAt(2, "web");
  twin.record.generation = 2748867406401299778;
  const std::uint64_t tag = NodeTag(one.record.where, one.record.generation);
  cr_assert(tag == NodeTag(twin.record.where, twin.record.generation));
  target_directory directory("a", kMaxFlowAge);
  directory.Update(one, kStart);
  steering_header header = HeaderOf(1);
  header.AddVisit(tag);
  directory.ListOwners(header, kStart);
  cr_assert(directory.AllVisited(header));
  cr_assert(directory.AllAmong({tag}));
  directory.Update(twin, kStart);
  directory.ListOwners(header, kStart);
  cr_assert(!directory.AllVisited(header));
  cr_assert(!directory.AllAmong({tag}));
}

// Guards against flows opened by a replaced set that are forgotten where their
// daemon starts again beside the target, which is the only one that knew.
Test(directory, keeps_the_replaced_set_of_an_earlier_start_while_flows_last) {
  struct row {
    const char* name;
    std::uint64_t generation;    // of the second record; the first has 1
    std::string service;         // of the second record
    std::uint64_t outdated_set;  // of the second record; the first has 5
    seconds after;               // the second record
    std::uint64_t expected;
  };
  const std::vector<row> rows = {
      {"the same start", 1, "web", 0, seconds(0), 0},
      {"a later start", 2, "web", 0, seconds(0), 5},
      {"while flows last", 2, "web", 0, seconds(61), 5},
      {"when they are over", 2, "web", 0, seconds(62), 0},
      {"with flows by a later set", 2, "web", 7, seconds(0), 5},
      {"with flows by an earlier set", 2, "web", 3, seconds(0), 3},
      {"of another service", 2, "shop", 0, seconds(0), 0},
  };
  for (const row& each : rows) {
    target_directory directory("a", kMaxFlowAge);
    roster_entry entry = TargetAt(1, "web");
    entry.record.generation = 1;
    entry.record.outdated_set = 5;
    directory.Update(entry, kStart);
    entry.record.generation = each.generation;
    entry.record.service = each.service;
    entry.record.outdated_set = each.outdated_set;
    ++entry.record.sequence;
    directory.Update(entry, kStart);
    std::uint64_t visited = 0;
    directory.VisitOutdated(
        kStart + each.after,
        [&](const service_digest& service, std::uint64_t version) {
          cr_expect(service == DigestService(each.service), "%s", each.name);
          visited = version;
        });
    cr_expect_eq(visited, each.expected, "%s", each.name);
  }
}

struct twin_row {
  const char* name;
  unsigned shift;  // of the 32 bits in which the tags of two daemons agree
};

// Guards against searches that pass the owner of a flow by, because a visit of
// another daemon stands for it.
Test(directory, counts_no_visit_for_a_daemon_with_half_of_its_tag) {
  for (const twin_row& row : {twin_row{"low half", 0}, {"high half", 32}}) {
    std::uint32_t number = 0;
    std::uint32_t twin = 0;
    std::unordered_map<std::uint32_t, std::uint32_t> seen;
    for (;; ++number) {
      const auto half = static_cast<std::uint32_t>(
          NodeTag(test::DaemonAt(number), 1) >> row.shift);
      const auto [first, is_new] = seen.try_emplace(half, number);
      if (is_new) continue;
      twin = first->second;
      break;
    }
    target_directory directory("a", kMaxFlowAge);
    directory.Update(TargetAt(number, "web"), kStart);
    steering_header header = HeaderOf(1);
    header.AddVisit(NodeTag(test::DaemonAt(number), 1));
    directory.ListOwners(header, kStart);
    cr_assert(directory.AllVisited(header), "%s", row.name);
    directory.Update(TargetAt(twin, "web"), kStart);
    directory.ListOwners(header, kStart);
    cr_assert(!directory.AllVisited(header), "%s", row.name);
    const target_index next =
        directory.NextOwner(header, test::DaemonAt(number), kStart);
    cr_assert(next == directory.Find(test::DaemonAt(twin)), "%s", row.name);
  }
}

}  // namespace
}  // namespace tamaracklatch
