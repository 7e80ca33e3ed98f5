// Tests of the removal of missing members: random schedules of ended targets,
// partitioned zones, unreachable voters and new leaders never remove a running
// target.
#include "tamaracklatch/membership/absence_detector.h"

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

// A leader and kZones zones, each with targets and one node that is no target.
// Time advances in steps of a second.
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

  // Makes a running target unreachable for `span`. One that is unreachable
  // already keeps its time.
  void Hide(std::uint32_t index, seconds span) {
    time_point& until = hidden_until[index];
    if (until < now) until = now + span;
  }

  // Makes each target of a zone unreachable for a random time.
  void HideZone(std::uint32_t zone, seconds shortest, seconds longest) {
    for (const auto& [id, target] : everyone_) {
      if (target.zone != ZoneName(zone)) continue;
      const auto span = *rc::gen::inRange(shortest.count(), longest.count());
      Hide(id.index, seconds(span));
    }
  }

  std::size_t CountRunning(std::uint32_t zone) const {
    std::size_t count = 0;
    for (const auto& [id, target] : view.targets) {
      if (target.zone == ZoneName(zone) && ended.count(id.index) == 0) ++count;
    }
    return count;
  }

  void BecomeLeader() { detector.Reset(); }

  cluster_view view;
  absence_detector detector{absence_settings()};
  time_point now = time_point(std::chrono::hours(1));
  std::set<std::uint32_t> ended;                     // indexes of targets
  std::map<std::uint32_t, time_point> hidden_until;  // running, unreachable
  std::set<std::uint32_t> cut_zones;
  bool all_voters_present = true;
  bool names_are_missing = false;
  std::size_t unconfirmed_reports = 0;
  std::size_t running_removed = 0;

 private:
  bool IsPresent(const target_id& id, const zone_name& zone) const {
    for (const std::uint32_t cut : cut_zones) {
      if (zone == ZoneName(cut)) return false;
    }
    const auto hidden = hidden_until.find(id.index);
    return ended.count(id.index) == 0 &&
           (hidden == hidden_until.end() || hidden->second <= now);
  }

  void Step() {
    node_presence presence;
    presence.all_voters_present = all_voters_present;
    for (std::uint32_t zone = 0; zone < kZones; ++zone) {
      if (cut_zones.count(zone) == 0) presence.zones.insert(ZoneName(zone));
    }
    for (const auto& [id, target] : everyone_) {
      if (!IsPresent(id, target.zone)) continue;
      const node_identity node{target.vm, target.started};
      AddProgress({{revision{1}, 1, HashIdentity(node)}},
                  &presence.acknowledgments);
      if (!names_are_missing) presence.nodes.push_back(node);
    }
    for (const loss_action& action : detector.Evaluate(presence, view, now)) {
      if (std::holds_alternative<report_unconfirmed_losses>(action))
        ++unconfirmed_reports;
      const auto* proposal = std::get_if<propose_membership>(&action);
      if (proposal == nullptr) continue;
      for (const target_key& key : proposal->batch.losses) Remove(key);
    }
  }

  void Remove(const target_key& key) {
    for (const auto& [id, target] : view.targets) {
      if (target.vm != key.vm) continue;
      if (ended.count(id.index) == 0) ++running_removed;
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
    cr_expect(zones.unconfirmed_reports == 1);
  }
}

Test(absence, a_zone_cut_in_halves_loses_no_targets_one_by_one) {
  zones_fixture zones(8);
  zones.RunFor(seconds(5));
  for (std::uint32_t i = 0; i < 4; ++i)
    zones.hidden_until[i] = zones.now + std::chrono::hours(1);
  zones.RunFor(seconds(7200));
  cr_expect(zones.view.targets.size() == 24 && zones.unconfirmed_reports == 1);
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

Test(absence, a_new_leader_waits_for_nodes_without_a_parent) {
  zones_fixture zones(1);
  zones.RunFor(seconds(5));
  zones.hidden_until[0] = zones.now + seconds(90);
  zones.BecomeLeader();
  zones.RunFor(seconds(300));
  cr_expect(zones.view.targets.size() == 3);
}

Test(absence, missing_names_remove_no_target) {
  zones_fixture zones(1);
  zones.RunFor(seconds(5));
  zones.names_are_missing = true;
  zones.RunFor(seconds(600));
  cr_expect(zones.view.targets.size() == 3);
}

Test(absence, random_schedules_remove_no_running_target) {
  test::CheckProperty("no running target is removed, ended ones are", [] {
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
            zones.HideZone(cut, seconds(0), seconds(90));
          zones.cut_zones.clear();
          break;
        case 6:  // a zone's targets are cut off for long, its other node is not
          zones.RunFor(seconds(100));
          if (zones.CountRunning(zone) < 2) break;
          zones.HideZone(zone, seconds(1700), seconds(1790));
          zones.RunFor(seconds(1700));
          break;
        case 3:  // a target moves to another parent
          zones.Hide(target, seconds(19));
          break;
        case 4:  // a voter is cut off with a third of the nodes
          zones.all_voters_present = false;
          for (std::uint32_t j = i % 3; j < kZones * targets; j += 3)
            zones.Hide(j, seconds(60));
          zones.RunFor(seconds(60));
          zones.all_voters_present = true;
          break;
        case 5:  // all control VMs restart
          zones.BecomeLeader();
          for (std::uint32_t j = 0; j < kZones; ++j)
            zones.HideZone(j, seconds(0), seconds(90));
          break;
      }
      zones.RunFor(seconds(*rc::gen::inRange(0, 200)));
    }
    zones.cut_zones.clear();
    zones.RunFor(seconds(600));
    RC_ASSERT(zones.running_removed == 0U);
    // A single ended target of a zone is removed.
    for (std::uint32_t zone = 0; zone < kZones; ++zone) {
      const auto first = zones.ended.lower_bound(zone * targets);
      const auto last = zones.ended.lower_bound((zone + 1) * targets);
      if (std::distance(first, last) == 1) RC_ASSERT(!zones.IsMember(*first));
    }
  });
}

}  // namespace
}  // namespace tamaracklatch
