// Comparison of the members with the processes that are present.
#include "tamaracklatch/membership/absence_detector.h"

#include <algorithm>
#include <unordered_set>

#include "tamaracklatch/distribution/progress_sum.h"

namespace tamaracklatch {
namespace {

// A loss that the view does not show by then is proposed again.
constexpr duration kProposalTimeout = std::chrono::seconds(5);
constexpr std::size_t kMaxBatch = 1024;  // targets in one log entry

// Acknowledgments arrive before names do: until both cover the same nodes, a
// missing name does not mean that the node is missing.
bool AreNamesComplete(const node_presence& presence) {
  const progress all = AppliedAtLeast(presence.acknowledgments, revision{0});
  std::uint64_t identities = 0;
  for (const node_identity& node : presence.nodes)
    identities += HashIdentity(node);
  return all.nodes == presence.nodes.size() && all.identities == identities;
}

}  // namespace

absence_detector::absence_detector(const absence_settings& settings)
    : settings_(settings) {}

void absence_detector::Reset() {
  members_.clear();
  recent_losses_.clear();
  unconfirmed_zones_.clear();
}

std::map<zone_name, absence_detector::zone_state>
absence_detector::UpdateMembers(const node_presence& presence,
                                const cluster_view& view, time_point now) {
  std::unordered_set<std::uint64_t> starts;
  for (const node_identity& node : presence.nodes)
    starts.insert(node.started.value);
  std::map<target_id, member_state> before;
  before.swap(members_);
  std::map<zone_name, zone_state> zones;
  for (const auto& [id, target] : view.targets) {
    member_state member;
    member.missing_since = now;
    member.timeout_start = now;
    zone_state& zone = zones[target.zone];
    ++zone.members;
    if (starts.count(target.started.value) > 0) {
      member.was_present = true;
    } else {
      const auto known = before.find(id);
      if (known != before.end()) member = known->second;
      zone.missing.push_back(id);
    }
    members_.emplace_hint(members_.end(), id, member);
  }
  return zones;
}

bool absence_detector::IsTimedOut(const member_state& member,
                                  bool all_voters_present,
                                  time_point now) const {
  const bool is_certain = member.was_present && all_voters_present;
  const duration timeout =
      is_certain ? settings_.absence_timeout : settings_.long_absence_timeout;
  return now - member.timeout_start >= timeout;
}

bool absence_detector::MayRemove(const zone_name& zone, const zone_state& state,
                                 const node_presence& presence) const {
  const bool is_zone_connected =
      state.missing.size() < state.members || presence.zones.count(zone) > 0;
  if (!is_zone_connected) return false;
  // Members removed recently still count, so that a long partition does not
  // remove a zone's members one after the other.
  std::size_t missing = state.missing.size();
  std::size_t members = state.members;
  for (const proposed_loss& loss : recent_losses_) {
    if (loss.zone != zone || members_.count(loss.target) > 0) continue;
    ++missing;
    ++members;
  }
  const auto share = static_cast<std::size_t>(settings_.max_missing_share *
                                              static_cast<double>(members));
  return missing <= std::max<std::size_t>(1, share);
}

std::size_t absence_detector::RestartTimeouts(const zone_state& state,
                                              time_point now) {
  std::size_t due = 0;
  for (const target_id id : state.missing) {
    member_state& member = members_.at(id);
    if (now - member.missing_since >= settings_.absence_timeout) ++due;
    member.was_present = false;
    member.timeout_start = now;
  }
  return due;
}

std::vector<loss_action> absence_detector::Evaluate(
    const node_presence& presence, const cluster_view& view, time_point now) {
  recent_losses_.erase(
      std::remove_if(recent_losses_.begin(), recent_losses_.end(),
                     [&](const proposed_loss& loss) {
                       return now - loss.at > settings_.window;
                     }),
      recent_losses_.end());
  const auto zones = UpdateMembers(presence, view, now);
  if (!AreNamesComplete(presence)) return {};

  std::vector<loss_action> actions;
  membership_batch batch;
  for (const auto& [zone, state] : zones) {
    if (!MayRemove(zone, state, presence)) {
      const std::size_t due = RestartTimeouts(state, now);
      if (due > 0 && unconfirmed_zones_.insert(zone).second)
        actions.push_back(report_unconfirmed_losses{"", zone, due});
      continue;
    }
    unconfirmed_zones_.erase(zone);
    for (const target_id id : state.missing) {
      member_state& member = members_.at(id);
      const bool waits_for_log =
          member.proposed_at && now - *member.proposed_at < kProposalTimeout;
      if (!IsTimedOut(member, presence.all_voters_present, now) ||
          waits_for_log || batch.losses.size() >= kMaxBatch)
        continue;
      const target_record& target = view.targets.at(id);
      batch.losses.push_back({target.vm,
                              view.services.at(target.service).document.service,
                              target.started});
      if (!member.proposed_at) recent_losses_.push_back({id, zone, now});
      member.proposed_at = now;
    }
  }
  if (!batch.empty()) actions.push_back(propose_membership{std::move(batch)});
  return actions;
}

}  // namespace tamaracklatch
