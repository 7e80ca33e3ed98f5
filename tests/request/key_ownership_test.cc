// Tests of the buckets that a daemon owns from view to view.
#include "tamaracklatch/request/key_ownership.h"

#include <criterion/criterion.h>

#include <vector>

namespace tamaracklatch {
namespace {

using std::chrono::seconds;

constexpr target_id kSelf{1, 1};
constexpr duration kWallStart = seconds(1700000000);

wall_time Wall(duration since) { return wall_time(kWallStart + since); }

service_placement Placement(revision at, const std::vector<target_id>& ids) {
  std::vector<target_record> targets;
  for (const target_id id : ids) {
    target_record target;
    target.id = id;
    target.started = {id.index};
    targets.push_back(target);
  }
  return service_placement(at, service_document(), targets);
}

// How an arriving key of the first owned bucket is decided.
std::size_t Decide(request_owner* owner, const service_placement& placement,
                   duration now) {
  static std::uint64_t number = 0;
  keyed_request request;
  do {
    ++number;
    request.key = MintKey(Wall(now), number, number);
    request.bucket = KeyBucketOf(request.key);
  } while (KeyOwnerOf(placement, request.bucket) != kSelf);
  request.id = {number};
  return owner->Arrive(request, time_point(now), Wall(now)).index();
}

Test(key_ownership, a_moved_bucket_waits_for_its_earlier_owner) {
  request_owner_settings settings;
  settings.started = Wall(-seconds(60));
  request_owner owner(settings);
  owner.Renew(time_point(seconds(1000)));
  key_ownership keys(kSelf, &owner);
  const target_id peer{2, 1};
  const auto two = Placement({5}, {kSelf, peer});
  keys.Apply({5}, two, Wall(seconds(0)));
  cr_assert(keys.missing().size() == 1);
  cr_expect(Decide(&owner, two, seconds(1)) ==
            key_decision(key_pass{}).index());
  // An older revision is no acknowledgment.
  keys.OnAcknowledged(peer, {4}, Wall(seconds(1)));
  cr_expect(keys.missing().size() == 1);
  keys.OnAcknowledged(peer, {5}, Wall(seconds(1)));
  cr_expect(keys.missing().empty());
  // The first view names no owners of before: near keys stay unknown.
  cr_expect(Decide(&owner, two, seconds(2)) ==
            key_decision(key_refusal{}).index());
  cr_expect(Decide(&owner, two, seconds(20)) ==
            key_decision(key_run{}).index());
  // The peer leaves: what it owned is this daemon's, after the fence.
  const auto one = Placement({6}, {kSelf});
  keys.Apply({6}, one, Wall(seconds(30)));
  cr_expect(keys.acknowledged() == revision{6});
  cr_expect(Decide(&owner, one, seconds(50)) ==
            key_decision(key_run{}).index());
}

// While the target was out, its peer owned the buckets and may have run keys.
Test(key_ownership, a_target_that_joined_again_asks_before_it_runs_keys) {
  request_owner_settings settings;
  settings.started = Wall(-seconds(60));
  request_owner owner(settings);
  owner.Renew(time_point(seconds(1000)));
  const target_id first{1, 7};
  const target_id peer{2, 1};
  key_ownership keys(first, &owner);
  keys.Apply({5}, Placement({5}, {first, peer}), Wall(seconds(0)));
  keys.OnAcknowledged(peer, {5}, Wall(seconds(1)));
  keys.Rejoin(kSelf);
  const auto rejoined = Placement({7}, {kSelf, peer});
  cr_expect(Decide(&owner, rejoined, seconds(2)) !=
            key_decision(key_run{}).index());
  keys.Apply({7}, rejoined, Wall(seconds(100)));
  cr_assert(keys.missing().size() == 1);
  cr_expect(Decide(&owner, rejoined, seconds(101)) !=
            key_decision(key_run{}).index());
}

}  // namespace
}  // namespace tamaracklatch
