// Tests of searches in parts: what the collector concludes from the outcomes,
// and that parts together visit each possible owner once.
#include <set>

#include "steering/search_collector.h"
#include "steering/segments.h"
#include "steering/target_directory.h"
#include "support/property.h"

namespace tamaracklatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using test::DaemonAt;
using test::kStart;
using test::TargetAt;

steering_header OutcomeOf(std::uint64_t flow, std::uint8_t part,
                          std::uint64_t node) {
  steering_header outcome;
  outcome.kind = steering_kind::kPartEnded;
  outcome.flow = flow;
  outcome.parts = 2;
  outcome.part = part;
  outcome.possible_owners = 30;
  outcome.AddVisit(node);
  return outcome;
}

collected_search SearchOf(std::uint64_t flow) {
  collected_search begun;
  begun.header.flow = flow;
  begun.nodes = {1};
  return begun;
}

Test(search_parts, end_with_the_last_outcome) {
  search_collector collector(4);
  cr_assert(collector.Begin(SearchOf(7), 0b11, kStart));
  cr_assert(!collector.Begin(SearchOf(7), 0b11, kStart), "under way");
  cr_assert(!collector.Add(OutcomeOf(8, 0, 2), kStart), "another flow");
  cr_assert(!collector.Add(OutcomeOf(7, 0, 2), kStart));
  cr_assert(!collector.Add(OutcomeOf(7, 0, 3), kStart), "a part ends once");
  const auto ended = collector.Add(OutcomeOf(7, 1, 4), kStart);
  cr_assert(ended.has_value());
  cr_assert(ended->nodes == (std::set<std::uint64_t>{1, 2, 4}));
  cr_assert(ended->possible_owners == 30);
  cr_assert(!ended->uncertain);
  cr_assert(collector.size() == 0);
}

Test(search_parts, are_uncertain_if_any_is) {
  search_collector collector(4);
  collector.Begin(SearchOf(7), 0b11, kStart);
  steering_header outcome = OutcomeOf(7, 0, 2);
  outcome.uncertain = true;
  collector.Add(outcome, kStart);
  cr_assert(collector.Add(OutcomeOf(7, 1, 3), kStart)->uncertain);
}

Test(search_parts, are_bounded_in_number_and_time) {
  search_collector collector(2);
  cr_assert(collector.Begin(SearchOf(1), 1, kStart));
  cr_assert(collector.Begin(SearchOf(2), 1, kStart + milliseconds(500)));
  cr_assert(!collector.Begin(SearchOf(3), 1, kStart + milliseconds(500)));
  cr_assert(!collector.Add(OutcomeOf(1, 0, 2), kStart + seconds(1)), "late");
  cr_assert(collector.Begin(SearchOf(1), 1, kStart + seconds(1)), "again");
  collector.Sweep(kStart + milliseconds(1500));
  cr_assert(collector.size() == 1);
}

Test(search_parts, visit_each_owner_once_in_one_part) {
  test::CheckProperty("parts", [] {
    target_directory directory("a", seconds(60));
    const auto count = *rc::gen::inRange<std::uint32_t>(25, 200);
    for (std::uint32_t number = 0; number < count; ++number) {
      roster_entry entry = TargetAt(number, "web");
      entry.liveness =
          *rc::gen::element(node_liveness::kAlive, node_liveness::kSilent);
      directory.Update(entry, kStart);
    }
    steering_header whole;
    whole.flow = *rc::gen::arbitrary<std::uint64_t>();
    whole.service_count = 1;
    whole.services[0] = DigestService("web");
    whole.parts = static_cast<std::uint8_t>(count / 12 + 1);
    whole.collector = DaemonAt(0);
    directory.ListOwners(whole, kStart);
    std::set<std::uint64_t> nodes{NodeTag(DaemonAt(0), 1)};
    std::size_t visits = nodes.size();
    for (std::uint8_t part = 0; part < whole.parts; ++part) {
      steering_header header = whole;
      header.part = part;
      endpoint self = header.collector;
      bool fits = true;
      while (fits) {
        const target_index next = directory.NextInPart(header, self);
        if (next == kNoTargetIndex) break;
        self = directory.At(next).where;
        fits = header.AddVisit(directory.At(next).node);
        if (fits) RC_ASSERT(nodes.insert(directory.At(next).node).second);
        if (fits) ++visits;
      }
      if (!fits) return;  // the part is incomplete, and says so
    }
    RC_ASSERT(visits == count);
    RC_ASSERT(directory.AllAmong(nodes));
    nodes.erase(nodes.begin());
    RC_ASSERT(!directory.AllAmong(nodes));
  });
}

}  // namespace
}  // namespace tamaracklatch
