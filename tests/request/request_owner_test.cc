// Tests of single rules of the owner of keys, each with the fault that it is
// there for.
#include "tamaracklatch/request/request_owner.h"

#include <set>
#include <string>
#include <vector>

#include "support/property.h"

namespace tamaracklatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration kWallStart = seconds(1700000000);
constexpr target_id kFirst{1, 1};
constexpr target_id kSecond{2, 1};

wall_time Wall(duration since) { return wall_time(kWallStart + since); }

idempotency_key Key(duration minted, std::uint64_t number) {
  return MintKey(Wall(minted), number, number);
}

request_owner_settings Settings() {
  request_owner_settings settings;
  settings.started = Wall(-seconds(60));
  return settings;
}

request_owner Owner(const request_owner_settings& settings) {
  request_owner owner(settings);
  owner.Renew(time_point(seconds(1000)));
  owner.Own(0, {1}, {}, Wall(-seconds(60)));
  return owner;
}

keyed_request Request(std::uint64_t id, const idempotency_key& key) {
  return {{id}, key, 42, 0};
}

// The decision's kind, or the refusal's code and whether it says not_run.
std::string Text(const key_decision& decision) {
  static const std::vector<std::string> kNames{"run", "wait", "answer",
                                               "ask", "pass", "elsewhere"};
  if (decision.index() < kNames.size()) return kNames[decision.index()];
  const auto& refusal = std::get<key_refusal>(decision);
  return std::string(ToString(refusal.code)) +
         (refusal.not_run ? " not_run" : "");
}

void ExpectArrival(request_owner* owner, const keyed_request& request,
                   duration now, const std::string& expected) {
  const std::string text =
      Text(owner->Arrive(request, time_point(now), Wall(now)));
  cr_expect(text == expected, "got %s, not %s", text.c_str(), expected.c_str());
}

Test(owner, a_key_of_before_the_start_never_runs) {
  request_owner_settings settings = Settings();
  settings.started = Wall(seconds(0));
  request_owner owner(settings);
  owner.Renew(time_point(seconds(1000)));
  // The bucket's own fence lies further back than the start.
  owner.Own(0, {1}, {}, Wall(-seconds(60)));
  ExpectArrival(&owner, Request(1, Key(seconds(0), 1)), seconds(10),
                "outcome_unknown");
  ExpectArrival(&owner, Request(2, Key(seconds(6), 2)), seconds(10), "run");
  cr_expect(owner.ready_at() == Wall(milliseconds(5500)));
}

Test(owner, an_acknowledgment_of_an_older_view_does_not_count) {
  request_owner owner = Owner(Settings());
  owner.Disown(0);
  owner.Own(0, {5}, {kFirst}, Wall(seconds(0)));
  const auto key = Key(seconds(20), 1);
  owner.OwnerAcknowledged(kFirst, {4}, Wall(seconds(1)));
  ExpectArrival(&owner, Request(1, key), seconds(20), "pass");
  owner.OwnerAcknowledged(kFirst, {5}, Wall(seconds(1)));
  ExpectArrival(&owner, Request(2, key), seconds(20), "run");
}

Test(owner, an_owner_that_took_over_itself_may_not_say_never) {
  request_owner owner = Owner(Settings());
  owner.Disown(0);
  owner.Own(0, {5}, {kFirst}, Wall(seconds(10)));
  owner.Disown(0);
  cr_expect(owner.Ask(Key(seconds(12), 1), 0, time_point(seconds(20))) ==
            key_knowledge::kPerhaps);
  cr_expect(owner.Ask(Key(seconds(16), 2), 0, time_point(seconds(20))) ==
            key_knowledge::kNever);
}

struct reply_row {
  const char* name;
  key_knowledge second;
  key_knowledge first;
  const char* decision;
};

Test(owner, replies_of_two_earlier_owners) {
  const std::vector<reply_row> rows{
      {"both never", key_knowledge::kNever, key_knowledge::kNever, "run"},
      {"one perhaps", key_knowledge::kPerhaps, key_knowledge::kNever,
       "outcome_unknown"},
      {"one knows", key_knowledge::kPerhaps, key_knowledge::kKnown, "pass"}};
  for (const reply_row& row : rows) {
    request_owner owner = Owner(Settings());
    owner.Disown(0);
    owner.Own(0, {5}, {kFirst, kSecond}, Wall(seconds(10)));
    owner.OwnerAcknowledged(kFirst, {5}, Wall(seconds(10)));
    owner.OwnerAcknowledged(kSecond, {5}, Wall(seconds(10)));
    const auto key = Key(seconds(9), 1);
    ExpectArrival(&owner, Request(1, key), seconds(11), "ask");
    cr_expect(owner.OnReply(key, kFirst, row.first).empty());
    const auto next = owner.OnReply(key, kSecond, row.second);
    cr_assert(next.size() == 1 && Text(next[0].decision) == "ask");
    const auto end = owner.OnReply(key, kFirst, row.first);
    cr_assert(end.size() == 1);
    cr_expect(Text(end[0].decision) == row.decision, "%s: %s", row.name,
              Text(end[0].decision).c_str());
  }
}

Test(owner, a_denied_key_never_runs_here_again) {
  request_owner owner = Owner(Settings());
  const auto key = Key(seconds(1), 1);
  cr_expect(owner.Ask(key, 0, time_point(seconds(2))) == key_knowledge::kNever);
  ExpectArrival(&owner, Request(1, key), seconds(2), "outcome_unknown");
}

Test(owner, without_a_lease_nothing_runs) {
  request_owner owner = Owner(Settings());
  const auto key = Key(seconds(1), 1);
  ExpectArrival(&owner, Request(1, key), seconds(1), "run");
  cr_expect(!owner.MayDispatch(key, time_point(seconds(1000))));
  ExpectArrival(&owner, Request(2, Key(seconds(999), 2)), seconds(1000),
                "key_moving");
}

Test(owner, answers_are_bounded_in_bytes_and_time) {
  request_owner_settings settings = Settings();
  settings.answer_bytes = 1000;
  settings.longest_answer = 700;
  settings.answer_time = seconds(60);
  request_owner owner = Owner(settings);
  const std::vector<std::size_t> sizes{500, 500, 800};
  for (std::size_t i = 0; i < sizes.size(); ++i) {
    const auto key = Key(seconds(1), i + 1);
    ExpectArrival(&owner, Request(i + 1, key), seconds(1), "run");
    cr_assert(owner.MayDispatch(key, time_point(seconds(1))));
    auto answer = std::make_shared<stored_answer>();
    answer->body = std::string(sizes[i], 'x');
    owner.Answered(key, answer, time_point(seconds(1)));
    cr_expect(owner.remembered_bytes() <= settings.answer_bytes);
  }
  // The first gave way to the second; the third was too long.
  ExpectArrival(&owner, Request(11, Key(seconds(1), 1)), seconds(2),
                "answer_forgotten");
  ExpectArrival(&owner, Request(12, Key(seconds(1), 2)), seconds(2), "answer");
  ExpectArrival(&owner, Request(13, Key(seconds(1), 3)), seconds(2),
                "answer_forgotten");
  ExpectArrival(&owner, Request(14, Key(seconds(1), 2)), seconds(61),
                "answer_forgotten");
  cr_expect(owner.remembered_bytes() == 0);
}

// However many keys come, the state stays bounded, and a key that was pushed
// out is never run again.
Test(owner, keys_are_bounded_and_forgotten_ones_never_run) {
  test::CheckProperty(
      "bounded keys", [](const std::vector<std::uint8_t>& minted) {
        request_owner_settings settings = Settings();
        settings.max_keys = 4;
        settings.max_refused = 4;
        request_owner owner = Owner(settings);
        std::set<idempotency_key> used;
        std::uint64_t id = 0;
        for (const std::uint8_t at : minted) {
          const auto key = Key(milliseconds(at * 10), at % 50U);
          const auto decision = owner.Arrive(
              Request(++id, key), time_point(seconds(3)), Wall(seconds(3)));
          if (!std::holds_alternative<key_run>(decision)) continue;
          RC_ASSERT(used.insert(key).second);
          if (at % 3 == 0) {
            owner.Refused(key, result_code::kQueueFull, time_point(seconds(3)));
          } else {
            RC_ASSERT(owner.MayDispatch(key, time_point(seconds(3))));
            owner.Lost(key, time_point(seconds(3)));
          }
          RC_ASSERT(owner.remembered_keys() <= settings.max_keys);
        }
      });
}

}  // namespace
}  // namespace tamaracklatch
