// Tests of the registration of flows at the daemons that searches visit first:
// which flows are registered where and when, and what a registration leads to.
#include <algorithm>
#include <memory>

#include "steering/owner_registry.h"
#include "steering/segments.h"
#include "steering/target_directory.h"
#include "support/property.h"
#include "tamaracklatch/steering/segment_owner.h"

namespace tamaracklatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using test::BalancerAt;
using test::DaemonAt;
using test::FlowOf;
using test::kStart;
using test::TargetAt;

constexpr std::uint32_t kAnswerSequence = 7000;
constexpr std::uint32_t kTargets = 60;

// The owner of target 1 among many targets, and a directory with the same view.
struct registration_fixture {
  registration_fixture() {
    segment_owner_settings settings;
    settings.self = DaemonAt(1);
    settings.generation = 1;
    settings.service = "web";
    settings.zone = "a";
    owner = std::make_unique<segment_owner>(settings, &codec, kStart);
    target_status status;
    status.condition = target_condition::kReady;
    status.target_start = 100;
    status.slots = 200;
    status.saw_target_start = true;
    owner->SetTargetStatus(status, kStart);
    owner->SetRosterConfirmed(true);
    for (std::uint32_t number = 1; number <= kTargets; ++number)
      Update(TargetAt(number, "web"));
    now += seconds(5);
  }

  void Update(const roster_entry& entry) {
    owner->UpdateTarget(entry, now);
    directory.Update(entry, now);
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

  // The first daemons of the flow's search order.
  std::vector<endpoint> HeadOf(std::uint16_t port) {
    std::vector<target_index> ranked;
    directory.RankOwners(HashFlow(FlowOf(port)), DigestService("web"),
                         kSearchHead, now, &ranked);
    std::vector<endpoint> head;
    head.reserve(ranked.size());
    for (const target_index each : ranked)
      head.push_back(directory.At(each).where);
    return head;
  }
  // A flow that has target 1 in its head, or not.
  std::uint16_t FindFlow(bool in_head) {
    for (std::uint16_t port = 1;; ++port) {
      const auto head = HeadOf(port);
      const bool is_in =
          std::find(head.begin(), head.end(), DaemonAt(1)) != head.end();
      if (is_in == in_head) return port;
    }
  }

  void Steer(const steering_header& header, const std::string& bytes) {
    actions.clear();
    owner->OnSteered(header, test::plain_codec::Make(bytes, false), now,
                     &actions);
  }
  void Claim(std::uint16_t port) {
    Steer(Header(FlowOf(port)), test::OpeningOf(FlowOf(port)));
    owner->OnTargetSegment(
        test::plain_codec::Make(test::AnswerOf(FlowOf(port), kAnswerSequence),
                                true),
        now, &actions);
    Steer(Header(FlowOf(port)),
          test::SegmentOf(FlowOf(port), kAnswerSequence + 1));
  }
  void Tick(duration after) {
    now += after;
    actions.clear();
    owner->Tick(now, &actions);
  }
  // Where the last call sent registrations of the flow.
  std::vector<endpoint> Registrars(std::uint16_t port) const {
    std::vector<endpoint> registrars;
    for (const segment_action& each : actions) {
      const auto* notice = std::get_if<send_notice>(&each);
      if (notice == nullptr ||
          notice->header.kind != steering_kind::kRegistration)
        continue;
      cr_assert(notice->header.flow == HashFlow(FlowOf(port)));
      cr_assert(notice->header.balancer == DaemonAt(1));
      registrars.push_back(notice->to);
    }
    return registrars;
  }

  test::plain_codec codec;
  std::unique_ptr<segment_owner> owner;
  target_directory directory{"a", seconds(60)};
  std::vector<segment_action> actions;
  time_point now = kStart;
};

Test(registration, tells_the_head_of_a_flow_that_opened_elsewhere) {
  for (const bool in_head : {true, false}) {
    registration_fixture fixture;
    const std::uint16_t port = fixture.FindFlow(in_head);
    fixture.Claim(port);
    const auto expected =
        in_head ? std::vector<endpoint>() : fixture.HeadOf(port);
    cr_assert(fixture.Registrars(port) == expected);
    fixture.Tick(milliseconds(250));
    cr_assert(fixture.Registrars(port).empty());
    fixture.Tick(seconds(5));
    cr_assert(fixture.Registrars(port) == expected);
  }
}

Test(registration, follows_the_head_when_targets_join) {
  registration_fixture fixture;
  const std::uint16_t port = fixture.FindFlow(false);
  fixture.Claim(port);
  // Targets join until one of them comes first in the flow's order.
  std::uint32_t number = kTargets;
  const auto before = fixture.HeadOf(port);
  while (fixture.HeadOf(port) == before)
    fixture.Update(TargetAt(++number, "web"));
  fixture.Tick(milliseconds(250));
  cr_assert(fixture.Registrars(port) ==
            std::vector<endpoint>{DaemonAt(number)});
}

Test(registration, is_left_out_where_searches_visit_all) {
  segment_owner_settings settings;
  settings.self = DaemonAt(1);
  settings.generation = 1;
  settings.service = "web";
  const test::plain_codec codec;
  segment_owner owner(settings, &codec, kStart);
  for (std::uint32_t number = 1; number <= kMaxSteeringVisits; ++number)
    owner.UpdateTarget(TargetAt(number, "web"), kStart);
  target_status status;
  status.condition = target_condition::kReady;
  status.target_start = 100;
  status.slots = 200;
  owner.SetTargetStatus(status, kStart);
  std::vector<segment_action> actions;
  for (std::uint16_t port = 1; port < 50; ++port) {
    owner.OnSteered(
        registration_fixture::Header(FlowOf(port)),
        test::plain_codec::Make(test::OpeningOf(FlowOf(port)), false),
        kStart + seconds(5), &actions);
  }
  cr_assert(owner.counters().taken > 0);
  cr_assert(owner.counters().registrations_sent == 0);
}

// What a search that arrives here does with a registration of its flow.
Test(registration, leads_a_search_to_the_owner_unless_it_names_nobody) {
  enum class state { kAlive, kSilent, kOtherService, kUnknown, kVisited, kOld };
  struct row {
    const char* name;
    state owner;
    bool leads;
  };
  constexpr row kRows[] = {
      {"alive", state::kAlive, true},
      {"silent", state::kSilent, false},
      {"address reused by another service", state::kOtherService, false},
      {"not in the roster", state::kUnknown, false},
      {"visited without result", state::kVisited, false},
      {"expired", state::kOld, false},
  };
  for (const row& each : kRows) {
    registration_fixture fixture;
    // Last of all in the search order, so that only a registration leads there.
    std::vector<target_index> ranked;
    const std::uint16_t port = fixture.FindFlow(true);
    const std::uint64_t flow = HashFlow(FlowOf(port));
    fixture.directory.RankOwners(flow, DigestService("web"), kTargets,
                                 fixture.now, &ranked);
    const endpoint owner = each.owner == state::kUnknown
                               ? DaemonAt(999)
                               : fixture.directory.At(ranked.back()).where;
    steering_header registration;
    registration.kind = steering_kind::kRegistration;
    registration.flow = flow;
    registration.balancer = owner;
    fixture.owner->OnNotice(registration, fixture.now, &fixture.actions);
    if (each.owner == state::kOld) fixture.now += seconds(16);
    const auto number = static_cast<std::uint32_t>(owner.address.bytes[15]);
    roster_entry entry =
        TargetAt(number, each.owner == state::kOtherService ? "shop" : "web");
    if (each.owner == state::kSilent) entry.liveness = node_liveness::kSilent;
    if (each.owner != state::kUnknown) fixture.Update(entry);
    steering_header header = registration_fixture::Header(FlowOf(port));
    if (each.owner == state::kVisited) header.AddVisit(NodeTag(owner, 1));
    fixture.Steer(header, test::SegmentOf(FlowOf(port), 5000, "data"));
    endpoint next;
    for (const segment_action& action : fixture.actions) {
      if (const auto* passed = std::get_if<pass_segment>(&action))
        next = passed->to;
    }
    cr_assert(next.port != 0, "%s", each.name);
    cr_assert((next == owner) == each.leads, "%s", each.name);
  }
}

Test(registration, is_bounded_and_expires) {
  owner_registry registry(2);
  registry.Put(1, DaemonAt(1), kStart);
  registry.Put(2, DaemonAt(2), kStart + seconds(1));
  registry.Put(3, DaemonAt(3), kStart + seconds(1));
  cr_assert(!registry.Find(3, kStart + seconds(1)), "no room");
  registry.Put(2, DaemonAt(4), kStart + seconds(1));
  cr_assert(registry.Find(2, kStart + seconds(1)) == DaemonAt(4), "replaced");
  cr_assert(registry.Find(1, kStart + milliseconds(15999)) == DaemonAt(1));
  cr_assert(!registry.Find(1, kStart + seconds(16)));
  registry.Sweep(kStart + seconds(16));
  cr_assert(registry.size() == 1);
}

// The head of a search order is visited first wherever a search begins; the
// rest follows from there, so that later searches reach the others.
Test(registration, a_long_search_visits_the_head_first) {
  test::CheckProperty("long search", [] {
    target_directory directory("a", seconds(60));
    const auto count = *rc::gen::inRange<std::uint32_t>(40, 120);
    for (std::uint32_t number = 0; number < count; ++number)
      directory.Update(TargetAt(number, number % 3 == 0 ? "shop" : "web"),
                       kStart);
    steering_header header;
    header.flow = *rc::gen::arbitrary<std::uint64_t>();
    header.service_count = 2;
    header.services[0] = DigestService("web");
    header.services[1] = DigestService("shop");
    const std::vector<target_index> alive =
        directory.ListOwners(header, kStart).alive;
    const std::size_t head = 2 * kSearchHead;
    const auto start = *rc::gen::inRange<std::size_t>(head, count);
    target_index at = alive[start];
    std::vector<target_index> visited;
    for (std::size_t step = 0; step < kMaxSteeringVisits; ++step) {
      visited.push_back(at);
      RC_ASSERT(header.AddVisit(directory.At(at).node));
      at = directory.NextOwner(header, directory.At(at).where, kStart);
      RC_ASSERT(at != kNoTargetIndex);
    }
    for (std::size_t step = 0; step < head; ++step)
      RC_ASSERT(visited[1 + step] == alive[step]);
    std::size_t position = start;
    for (std::size_t step = head + 1; step < visited.size(); ++step) {
      do {
        position = (position + 1) % count;
      } while (position < head);
      RC_ASSERT(visited[step] == alive[position]);
    }
  });
}

}  // namespace
}  // namespace tamaracklatch
