// Tests of the placement: it does not depend on the order of the targets,
// bounds the load, moves few buckets on a change, and uses only targets that
// take new flows.
#include "tamaracklatch/placement/service_placement.h"

#include <algorithm>
#include <random>
#include <vector>

#include "placement/fixed_log.h"
#include "support/property.h"
#include "tamaracklatch/placement/placement_table.h"

namespace tamaracklatch {
namespace {

std::vector<placed_target> SomeTargets() {
  const auto count = *rc::gen::inRange<std::uint32_t>(1, 40);
  std::vector<placed_target> targets(count);
  for (std::uint32_t at = 0; at < count; ++at) {
    targets[at].id = {at, 1};
    targets[at].weight = *rc::gen::inRange<std::uint32_t>(0, 9);
    targets[at].takes_new_flows = targets[at].weight > 0;
  }
  return targets;
}

std::vector<std::uint64_t> BucketsOfFirst(const service_placement& placement) {
  std::vector<std::uint64_t> owned(placement.targets().size());
  for (std::uint32_t bucket = 0; bucket < placement.bucket_count(); ++bucket) {
    const bucket_candidates candidates = placement.CandidatesOf(bucket);
    if (candidates.first != kNoTarget) ++owned[candidates.first];
  }
  return owned;
}

Test(placement, does_not_depend_on_the_order_of_targets) {
  test::CheckProperty("pure", [](std::uint64_t seed) {
    std::vector<placed_target> targets = SomeTargets();
    const service_placement one({1}, targets);
    std::mt19937_64 random(seed);
    std::shuffle(targets.begin(), targets.end(), random);
    const service_placement other({1}, targets);
    for (std::uint32_t bucket = 0; bucket < one.bucket_count(); ++bucket) {
      RC_ASSERT(one.CandidatesOf(bucket).first ==
                other.CandidatesOf(bucket).first);
      RC_ASSERT(one.CandidatesOf(bucket).second ==
                other.CandidatesOf(bucket).second);
    }
  });
}

Test(placement, bounds_the_load_and_uses_only_eligible_targets) {
  test::CheckProperty("bounded", []() {
    const service_placement placement({1}, SomeTargets());
    std::uint64_t total = 0;
    for (const placed_target& target : placement.targets())
      total += target.weight;
    const std::vector<std::uint64_t> owned = BucketsOfFirst(placement);
    for (std::size_t at = 0; at < owned.size(); ++at) {
      const placed_target& target = placement.targets()[at];
      if (!target.takes_new_flows) RC_ASSERT(owned[at] == 0U);
      if (total == 0) continue;
      const double share =
          static_cast<double>(target.weight) / static_cast<double>(total);
      const double bound = share * placement.bucket_count() *
                           (100.0 + kLoadBoundPercent) / 100.0;
      RC_ASSERT(static_cast<double>(owned[at]) <= bound + 2.0);
    }
    for (std::uint32_t bucket = 0; bucket < placement.bucket_count();
         ++bucket) {
      const bucket_candidates candidates = placement.CandidatesOf(bucket);
      RC_ASSERT((candidates.first == kNoTarget) == (total == 0));
      RC_ASSERT(candidates.first == kNoTarget ||
                candidates.first != candidates.second);
    }
  });
}

// When a target joins or leaves and the bucket count stays, at most twice as
// many buckets move as the minimum.
Test(placement, moves_few_buckets) {
  struct row {
    std::uint32_t before;
    std::uint32_t after;
  };
  constexpr row kRows[] = {{7, 8}, {8, 7}, {100, 101}, {101, 100}};
  for (const row& each : kRows) {
    const auto make = [](std::uint32_t count) {
      std::vector<placed_target> targets(count);
      for (std::uint32_t at = 0; at < count; ++at) {
        targets[at].id = {at, 1};
        targets[at].weight = 4;
        targets[at].takes_new_flows = true;
      }
      return service_placement({1}, targets);
    };
    const service_placement before = make(each.before);
    const service_placement after = make(each.after);
    cr_assert(before.bucket_count() == after.bucket_count());
    std::uint32_t moved = 0;
    for (std::uint32_t bucket = 0; bucket < before.bucket_count(); ++bucket) {
      // Both have the same ids in the same order, so indices can be compared.
      moved +=
          before.CandidatesOf(bucket).first != after.CandidatesOf(bucket).first
              ? 1
              : 0;
    }
    const std::uint32_t least =
        before.bucket_count() / std::max(each.before, each.after) + 1;
    cr_assert(moved <= 2 * least, "%u moved, least %u", moved, least);
  }
}

Test(placement, logarithm_falls_and_is_exact_at_powers_of_two) {
  constexpr std::uint64_t kOne = std::uint64_t{1} << kLogFractionBits;
  for (std::uint64_t bit = 0; bit < 64; ++bit)
    cr_assert(NegativeLog2(std::uint64_t{1} << bit) == (64 - bit) * kOne);
  test::CheckProperty("monotone", [](std::uint64_t left, std::uint64_t right) {
    RC_ASSERT((left < right) ==
              (left != right && NegativeLog2(left) >= NegativeLog2(right)));
  });
}

Test(placement_table, keeps_past_candidates_until_they_report_otherwise) {
  service_document document;
  document.service = "booking";
  cluster_view view;
  view.at = {1};
  view.services[{1}] = {{1}, document};
  target_record old_target;
  old_target.id = {0, 1};
  old_target.service = {1};
  view.targets[old_target.id] = old_target;
  placement_table table;
  table.Reset(view, time_point());

  // A second target joins and the first drains, so that the first is no longer
  // a candidate.
  target_record new_target = old_target;
  new_target.id = {1, 1};
  old_target.state = target_state::kDraining;
  table.Apply({{2}, {target_put{new_target}, target_put{old_target}}},
              time_point());
  const placed_service& service = *table.Find({1});
  constexpr std::uint64_t kHash = 5;
  cr_assert(PastCandidates(service, kHash, time_point::min()).size() == 1);

  held_buckets report;
  report.service = {1};
  report.target = old_target.id;
  report.bucket_count = kMinBuckets;
  report.bits.resize(1);
  struct row {
    revision at;
    bool holds;
    std::size_t expected;  // possible holders besides the new target
  };
  // A report from before the change does not rule out a holder.
  constexpr row kRows[] = {{{1}, false, 1}, {{2}, true, 1}, {{2}, false, 0}};
  for (const row& each : kRows) {
    report.at = each.at;
    ++report.sequence;
    report.bits[0] = each.holds ? ~std::uint64_t{0} : 0;
    table.Apply(report);
    const auto holders = PossibleHolders(service, kHash);
    const auto found = std::count_if(holders.begin(), holders.end(),
                                     [&](const placed_target* holder) {
                                       return holder->id == old_target.id;
                                     });
    cr_assert(static_cast<std::size_t>(found) == each.expected);
  }
}

}  // namespace
}  // namespace tamaracklatch
