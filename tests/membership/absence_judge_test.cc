// Tests of the look at missing members: random schedules of ended targets, cut
// zones, lost voters and new leaders take no living target out.
#include "tamaracklatch/membership/absence_judge.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "support/property.h"
#include "tamaracklatch/distribution/progress_sum.h"

namespace tamaracklatch {
namespace {

using std::chrono::seconds;

constexpr std::uint32_t kZones = 3;

std::string ZoneName(std::uint32_t zone) {
  return "zone-" + std::to_string(zone);
}

// Zones of targets and one more node each, in steps of a second.
class zones_fixture {
 public:
  explicit zones_fixture(std::uint32_t targets_each) {
    view.services[service_id{1}].id = service_id{1};
    view.services[service_id{1}].document.service = "desk";
    for (std::uint32_t i = 0; i < kZones * targets_each; ++i) {
      target_record target;
      target.id = {i, 1};
      target.service = service_id{1};
      target.started = incarnation{100 + i};
      target.vm = "vm-" + std::to_string(i);
      target.zone = ZoneName(i / targets_each);
      view.targets[target.id] = target;
    }
    everyone_ = view.targets;
  }

  void RunFor(seconds span) {
    for (const time_point end = now + span; now < end; now += seconds(1))
      Step();
  }

  bool IsMember(std::uint32_t index) const {
    return view.targets.count({index, 1}) > 0;
  }

  // A target that is hidden already comes back at its time.
  void Hide(std::uint32_t index, seconds span) {
    time_point& until = hidden_until[index];
    if (until < now) until = now + span;
  }

  // Each target of a zone is not heard for a random time.
  void HideAll(std::uint32_t zone, seconds shortest, seconds longest) {
    for (const auto& [id, target] : everyone_) {
      if (target.zone != ZoneName(zone)) continue;
      const auto span = *rc::gen::inRange(shortest.count(), longest.count());
      Hide(id.index, seconds(span));
    }
  }

  std::size_t Living(std::uint32_t zone) const {
    std::size_t count = 0;
    for (const auto& [id, target] : view.targets) {
      if (target.zone == ZoneName(zone) && ended.count(id.index) == 0) ++count;
    }
    return count;
  }

  void BecomeLeader() { judge.Reset(); }

  cluster_view view;
  absence_judge judge{absence_settings()};
  time_point now = time_point(std::chrono::hours(1));
  std::set<std::uint32_t> ended;                     // indexes of targets
  std::map<std::uint32_t, time_point> hidden_until;  // the same; they live
  std::set<std::uint32_t> cut_zones;
  bool all_voters = true;
  bool names_are_late = false;
  std::size_t doubts = 0;
  std::size_t living_lost = 0;

 private:
  bool IsHeard(const target_id& id, const zone_name& zone) const {
    for (const std::uint32_t cut : cut_zones) {
      if (zone == ZoneName(cut)) return false;
    }
    const auto hidden = hidden_until.find(id.index);
    return ended.count(id.index) == 0 &&
           (hidden == hidden_until.end() || hidden->second <= now);
  }

  void Step() {
    node_presence heard;
    heard.all_voters = all_voters;
    for (std::uint32_t zone = 0; zone < kZones; ++zone) {
      if (cut_zones.count(zone) == 0) heard.zones.insert(ZoneName(zone));
    }
    for (const auto& [id, target] : everyone_) {
      if (!IsHeard(id, target.zone)) continue;
      const node_identity node{target.vm, target.started};
      AddProgress({{revision{1}, 1, HashIdentity(node)}}, &heard.sum);
      if (!names_are_late) heard.nodes.push_back(node);
    }
    for (const loss_action& action : judge.OnLook(heard, view, now)) {
      if (std::holds_alternative<doubt_losses>(action)) ++doubts;
      const auto* proposal = std::get_if<propose_membership>(&action);
      if (proposal == nullptr) continue;
      for (const target_key& key : proposal->batch.losses) Remove(key);
    }
  }

  void Remove(const target_key& key) {
    for (const auto& [id, target] : view.targets) {
      if (target.vm != key.vm) continue;
      if (ended.count(id.index) == 0) ++living_lost;
      view.targets.erase(id);
      return;
    }
  }

  std::map<target_id, target_record> everyone_;
};

Test(absence, the_only_target_of_a_zone_leaves_when_it_ends) {
  zones_fixture zones(1);
  zones.RunFor(seconds(5));
  zones.ended.insert(1);
  zones.RunFor(seconds(22));
  cr_expect(!zones.IsMember(1) && zones.view.targets.size() == 2);
}

Test(absence, a_zone_that_is_cut_off_keeps_its_targets) {
  for (const std::uint32_t targets : {1U, 8U}) {
    zones_fixture zones(targets);
    zones.RunFor(seconds(5));
    zones.cut_zones = {0};
    zones.RunFor(seconds(7200));
    cr_expect(zones.view.targets.size() == kZones * targets);
    cr_expect(zones.doubts == 1);
  }
}

Test(absence, a_zone_that_is_cut_in_halves_loses_nothing_bit_by_bit) {
  zones_fixture zones(8);
  zones.RunFor(seconds(5));
  for (std::uint32_t i = 0; i < 4; ++i)
    zones.hidden_until[i] = zones.now + std::chrono::hours(1);
  zones.RunFor(seconds(7200));
  cr_expect(zones.view.targets.size() == 24 && zones.doubts == 1);
}

Test(absence, losses_one_after_the_other_count_together) {
  zones_fixture zones(12);
  zones.RunFor(seconds(5));
  zones.ended = {0, 1};
  zones.RunFor(seconds(22));
  cr_assert(zones.view.targets.size() == 34);
  zones.ended = {0, 1, 2, 3};
  zones.RunFor(seconds(40));
  cr_expect(zones.view.targets.size() == 34);
}

Test(absence, a_new_leader_waits_for_nodes_that_search_for_long) {
  zones_fixture zones(1);
  zones.RunFor(seconds(5));
  zones.hidden_until[0] = zones.now + seconds(90);
  zones.BecomeLeader();
  zones.RunFor(seconds(300));
  cr_expect(zones.view.targets.size() == 3);
}

Test(absence, names_that_are_late_say_nothing) {
  zones_fixture zones(1);
  zones.RunFor(seconds(5));
  zones.names_are_late = true;
  zones.RunFor(seconds(600));
  cr_expect(zones.view.targets.size() == 3);
}

Test(absence, random_schedules_take_no_living_target_out) {
  test::CheckProperty("no living target leaves, ended ones do", [] {
    const auto targets = *rc::gen::inRange<std::uint32_t>(1, 12);
    zones_fixture zones(targets);
    zones.RunFor(seconds(10));
    const auto steps = *rc::gen::inRange(1, 12);
    for (int i = 0; i < steps; ++i) {
      const auto zone = *rc::gen::inRange<std::uint32_t>(0, kZones);
      const auto target =
          zone * targets + *rc::gen::inRange<std::uint32_t>(0, targets);
      switch (*rc::gen::inRange(0, 7)) {
        case 0:
          zones.ended.insert(target);
          break;
        case 1:
          zones.cut_zones.insert(zone);
          break;
        case 2:  // some nodes come back later than others
          for (const std::uint32_t cut : zones.cut_zones)
            zones.HideAll(cut, seconds(0), seconds(90));
          zones.cut_zones.clear();
          break;
        case 6:  // a zone's targets are cut off for long, not its other node
          zones.RunFor(seconds(100));
          if (zones.Living(zone) < 2) break;
          zones.HideAll(zone, seconds(1700), seconds(1790));
          zones.RunFor(seconds(1700));
          break;
        case 3:  // moves to another parent
          zones.Hide(target, seconds(19));
          break;
        case 4:  // a voter is cut off with a third of the nodes
          zones.all_voters = false;
          for (std::uint32_t j = i % 3; j < kZones * targets; j += 3)
            zones.Hide(j, seconds(60));
          zones.RunFor(seconds(60));
          zones.all_voters = true;
          break;
        case 5:  // all control VMs start again
          zones.BecomeLeader();
          for (std::uint32_t j = 0; j < kZones; ++j)
            zones.HideAll(j, seconds(0), seconds(90));
          break;
      }
      zones.RunFor(seconds(*rc::gen::inRange(0, 200)));
    }
    zones.cut_zones.clear();
    zones.RunFor(seconds(600));
    RC_ASSERT(zones.living_lost == 0U);
    // Where one of a zone has ended, nothing keeps it.
    for (std::uint32_t zone = 0; zone < kZones; ++zone) {
      const auto first = zones.ended.lower_bound(zone * targets);
      const auto last = zones.ended.lower_bound((zone + 1) * targets);
      if (std::distance(first, last) == 1) RC_ASSERT(!zones.IsMember(*first));
    }
  });
}

}  // namespace
}  // namespace tamaracklatch
