// Tests of document sets that are sent as deltas: the set_history of a hub
// together with the set_fetcher of a member.
#include "roster/set_history.h"

#include <cstdio>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "control/document_sets.h"
#include "roster/set_fetcher.h"
#include "support/property.h"
#include "tamaracklatch/control/set_delta.h"
#include "tamaracklatch/core/hash.h"
#include "tamaracklatch/roster/roster_hub.h"

namespace tamaracklatch {
namespace {

const time_point kStart(std::chrono::hours(1));

endpoint HubAt(std::uint32_t index) {
  return {MakeV4(0x0a000000 + index), 7000};
}

set_head HeadOf(const std::string& bytes, std::uint64_t version) {
  return {version, bytes.size(), HashBytes(bytes.data(), bytes.size())};
}

// A member that fetches sets from several hubs, over a network that loses
// datagrams.
class fetching_member {
 public:
  explicit fetching_member(std::uint64_t loss_percent) : loss_(loss_percent) {}

  // Fetches the set `head` from the hubs, and returns once it is complete.
  void FetchFrom(std::vector<roster_hub>* hubs, const set_head& head) {
    std::vector<set_source> sources;
    for (std::size_t i = 0; i < hubs->size(); ++i)
      sources.push_back({HubAt(static_cast<std::uint32_t>(i)), head});
    std::vector<roster_send> in_flight =
        fetcher_.SetSources(sources, set_.version, now_);
    std::optional<fetched_bytes> complete;
    while (!complete) {
      RC_ASSERT(now_ < kStart + std::chrono::minutes(10));
      std::vector<roster_send> next;
      for (const roster_send& sent : in_flight)
        Deliver(sent, hubs, &next, &complete);
      if (next.empty() && !complete) {
        now_ = fetcher_.next_wake();
        next = fetcher_.OnTick(now_);
      }
      in_flight = std::move(next);
    }
    bytes_ = complete->bytes;
    succession_ = complete->succession;
    const auto set = DecodeDocumentSet(bytes_);
    RC_ASSERT(set.has_value());
    set_ = *set;
    fetcher_.SetSources(sources, set_.version, now_);
  }

  const std::string& bytes() const { return bytes_; }
  const set_succession& succession() const { return succession_; }
  std::size_t received() const { return received_; }  // bytes, since the start

 private:
  bool IsLost() { return HashPair(++draws_, loss_) % 100 < loss_; }

  void Deliver(const roster_send& sent, std::vector<roster_hub>* hubs,
               std::vector<roster_send>* next,
               std::optional<fetched_bytes>* complete) {
    for (std::size_t i = 0; i < hubs->size(); ++i) {
      if (sent.to != HubAt(static_cast<std::uint32_t>(i)) || IsLost()) continue;
      for (const roster_send& answer :
           (*hubs)[i].OnMessage(HubAt(99), sent.bytes, now_)) {
        if (IsLost() || *complete) continue;
        received_ += answer.bytes.size();
        const auto part = DecodePart(answer.bytes, nullptr);
        RC_ASSERT(part.has_value());
        for (roster_send& more : fetcher_.OnPart(*part, set_, now_, complete))
          next->push_back(std::move(more));
      }
    }
  }

  std::uint64_t loss_;
  std::uint64_t draws_ = 0;
  time_point now_ = kStart;
  set_fetcher fetcher_;
  document_set set_;
  std::string bytes_;
  set_succession succession_;
  std::size_t received_ = 0;
};

// A member gets the exact bytes of the newest set, whichever versions the hubs
// have missed and whichever set it holds.
Test(set_history, members_get_the_exact_sets) {
  test::CheckProperty("sets through deltas", []() {
    std::vector<roster_hub> hubs;
    for (std::uint32_t i = 0; i < 3; ++i)
      hubs.emplace_back(roster_hub_settings(), i + 1, kStart);
    fetching_member member(*rc::gen::element(0, 20));
    document_set set =
        test::MakeSet(1, *rc::gen::inRange<std::uint32_t>(1, 90));
    const int changes = *rc::gen::inRange(1, 12);
    for (int change = 0; change < changes; ++change) {
      const std::string bytes = EncodeDocumentSet(set);
      for (roster_hub& hub : hubs)
        if (*rc::gen::inRange(0, 4) != 0)
          hub.SetDocuments(set.version, bytes, true, kStart);
      if (*rc::gen::arbitrary<bool>()) {
        // A hub that has just started has no earlier set.
        const auto index = *rc::gen::inRange<std::size_t>(0, hubs.size());
        hubs[index] = roster_hub(roster_hub_settings(), 100, kStart);
        for (roster_hub& hub : hubs)
          hub.SetDocuments(set.version, bytes, true, kStart);
        member.FetchFrom(&hubs, HeadOf(bytes, set.version));
        RC_ASSERT(member.bytes() == bytes);
      }
      set = test::LaterSet(set);
    }
  });
}

// The member holds other bytes than the hub under the same version.
Test(set_history, another_base_gives_the_whole_set) {
  const document_set next = test::MakeSet(5, 90, 7);
  const std::string bytes = EncodeDocumentSet(next);
  set_history history;
  history.Add(4, EncodeDocumentSet(test::MakeSet(4, 90)), true);
  const set_head held = history.head();
  cr_expect(history.DeltaFrom(held.version, held.hash).empty(), "no later set");
  history.Add(5, EncodeDocumentSet(test::MakeSet(5, 91)), true);
  cr_expect(!history.DeltaFrom(held.version, held.hash).empty());
  cr_expect(history.DeltaFrom(held.version, held.hash + 1).empty());
  cr_expect(history.DeltaFrom(held.version - 1, held.hash).empty());
  cr_expect(history.bytes() != bytes);
}

// Which sets a member may have missed, by the versions that a hub held, of 1 to
// 4 accepted, and by the version that the member holds.
struct succession_row {
  const char* name;
  std::vector<std::uint64_t> held_by_hub;
  std::vector<bool> is_next;  // of each
  std::uint64_t held;
  std::size_t intermediate_routes;
  bool may_skip_sets;
};

const std::vector<succession_row> kSuccessionRows{
    {"the next set", {3, 4}, {true, true}, 3, 0, false},
    {"two sets later", {2, 3, 4}, {true, true, true}, 2, 1, false},
    {"three sets later", {1, 2, 3, 4}, {true, true, true, true}, 1, 2, false},
    {"the hub skipped one", {1, 2, 4}, {true, true, false}, 1, 1, true},
    {"the hub skipped the one before", {3, 4}, {false, true}, 3, 0, false},
    {"the hub started since", {4}, {false}, 3, 0, true},
    {"the hub started with an older set", {3, 4}, {false, true}, 2, 0, true},
    {"the first set", {3, 4}, {true, true}, 0, 0, true},
};

// Guards against resets of flows that were opened under a set that a balancer
// never applied: it must know the routes of such sets, or that it missed some.
Test(set_history, members_know_what_they_missed) {
  for (const succession_row& row : kSuccessionRows) {
    const auto set_of = [](std::uint64_t version) {
      document_set set = test::MakeSet(version, 50);
      set.routes.front().shares = {{version % 2 == 0 ? "cards" : "desk", 1}};
      return EncodeDocumentSet(set);
    };
    std::vector<roster_hub> first;
    first.emplace_back(roster_hub_settings(), 1, kStart);
    fetching_member member(0);
    if (row.held != 0) {
      const std::string held = set_of(row.held);
      first[0].SetDocuments(row.held, held, true, kStart);
      member.FetchFrom(&first, HeadOf(held, row.held));
    }
    std::vector<roster_hub> hubs;
    hubs.emplace_back(roster_hub_settings(), 2, kStart);
    for (std::size_t i = 0; i < row.held_by_hub.size(); ++i) {
      hubs[0].SetDocuments(row.held_by_hub[i], set_of(row.held_by_hub[i]),
                           row.is_next[i], kStart);
    }
    member.FetchFrom(&hubs, HeadOf(set_of(4), 4));
    const set_succession& got = member.succession();
    cr_expect_eq(got.may_skip_sets, row.may_skip_sets, "%s", row.name);
    cr_expect_eq(got.intermediate_routes.size(), row.intermediate_routes, "%s",
                 row.name);
  }
}

// A part without complete_since leaves it unknown whether sets were skipped.
Test(set_history, a_part_without_complete_since_may_skip_sets) {
  const std::string bytes = EncodeDocumentSet(test::MakeSet(5));
  set_part part{5, bytes.size(), 0, bytes, 0};
  part.complete_since = 4;
  std::string encoded = Encode(part);
  cr_assert(DecodePart(encoded, nullptr)->complete_since == 4);
  encoded.pop_back();
  encoded[1] = '\x95';  // an array of five elements
  const auto decoded = DecodePart(encoded, nullptr);
  cr_assert(decoded.has_value());
  cr_expect_eq(decoded->complete_since, 0U);
  cr_expect(decoded->bytes == bytes);
}

// A delta that gives other bytes than the head says, as from a faulty hub, is
// not used; the whole set is requested at once.
Test(set_history, a_wrong_delta_gives_the_whole_set) {
  const document_set held = test::MakeSet(4, 30);
  const std::string held_bytes = EncodeDocumentSet(held);
  const document_set next = test::MakeSet(5, 31);
  const std::string next_bytes = EncodeDocumentSet(next);
  const std::string wrong =
      JoinSetDeltas({EncodeSetDelta(held, test::MakeSet(5, 31, 9))});
  set_fetcher fetcher;
  std::optional<fetched_bytes> complete;
  const auto whole = [&](const std::string& bytes, std::uint64_t version) {
    for (std::size_t at = 0; at < bytes.size(); at += kMaxSetPart)
      fetcher.OnPart(
          {version, bytes.size(), at, bytes.substr(at, kMaxSetPart), 0}, held,
          kStart, &complete);
  };
  fetcher.SetSources({{HubAt(0), HeadOf(held_bytes, 4)}}, 0, kStart);
  whole(held_bytes, 4);
  cr_assert(complete && complete->bytes == held_bytes);
  complete.reset();
  const auto requested =
      fetcher.SetSources({{HubAt(0), HeadOf(next_bytes, 5)}}, 4, kStart);
  cr_assert(requested.size() == 1);
  const auto first = DecodeFetch(requested[0].bytes, nullptr);
  cr_expect(first && first->base == 4 &&
            first->base_hash == HeadOf(held_bytes, 4).hash);
  for (std::size_t at = 0; at < wrong.size(); at += kMaxSetPart) {
    const auto again =
        fetcher.OnPart({5, wrong.size(), at, wrong.substr(at, kMaxSetPart), 4},
                       held, kStart, &complete);
    if (at + kMaxSetPart < wrong.size()) continue;
    cr_assert(!again.empty());
    const auto fetch = DecodeFetch(again[0].bytes, nullptr);
    cr_expect(fetch && fetch->base == 0);
  }
  cr_expect(!complete);
  whole(next_bytes, 5);
  cr_expect(complete && complete->bytes == next_bytes);
}

// One route is added to sets of several sizes; the delta must stay within 200
// bytes.
Test(set_history, a_small_change_needs_a_small_delta) {
  for (const std::uint32_t routes : {50U, 1400U, 6100U}) {
    const std::string held = EncodeDocumentSet(test::MakeSet(4, routes));
    const std::string next = EncodeDocumentSet(test::MakeSet(5, routes + 1));
    std::vector<roster_hub> hubs;
    hubs.emplace_back(roster_hub_settings(), 1, kStart);
    fetching_member member(0);
    hubs[0].SetDocuments(4, held, true, kStart);
    member.FetchFrom(&hubs, HeadOf(held, 4));
    const std::size_t whole = member.received();
    hubs[0].SetDocuments(5, next, true, kStart);
    member.FetchFrom(&hubs, HeadOf(next, 5));
    const std::size_t delta = member.received() - whole;
    std::printf("%u routes: whole set %zu bytes, change of one route %zu\n",
                routes, whole, delta);
    cr_expect(member.bytes() == next);
    cr_expect(delta <= 200, "%zu bytes", delta);
  }
}

}  // namespace
}  // namespace tamaracklatch
