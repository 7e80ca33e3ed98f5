// Comparing the members with the processes that are heard.
#include "tamaracklatch/membership/absence_judge.h"

#include <algorithm>
#include <unordered_set>

#include "tamaracklatch/distribution/progress_sum.h"

namespace tamaracklatch {
namespace {

// A proposal that the view does not show by then is made again.
constexpr duration kProposalPatience = std::chrono::seconds(5);
constexpr std::size_t kMaxBatch = 1024;  // targets in one log entry

// Acknowledgments arrive before names do: until both agree, a name that is
// missing says nothing.
bool NamesAreWhole(const node_presence& heard) {
  const progress all = AppliedAtLeast(heard.sum, revision{0});
  std::uint64_t identities = 0;
  for (const node_identity& node : heard.nodes)
    identities += HashIdentity(node);
  return all.nodes == heard.nodes.size() && all.identities == identities;
}

}  // namespace

absence_judge::absence_judge(const absence_settings& settings)
    : settings_(settings) {}

void absence_judge::Reset() {
  members_.clear();
  taken_.clear();
  doubted_.clear();
}

std::map<zone_name, absence_judge::zone_state> absence_judge::Look(
    const node_presence& heard, const cluster_view& view, time_point now) {
  std::unordered_set<std::uint64_t> starts;
  for (const node_identity& node : heard.nodes)
    starts.insert(node.started.value);
  std::map<target_id, member_state> before;
  before.swap(members_);
  std::map<zone_name, zone_state> zones;
  for (const auto& [id, target] : view.targets) {
    member_state member;
    member.missing_since = now;
    member.counted_since = now;
    zone_state& zone = zones[target.zone];
    ++zone.members;
    if (starts.count(target.started.value) > 0) {
      member.was_heard = true;
    } else {
      const auto known = before.find(id);
      if (known != before.end()) member = known->second;
      zone.missing.push_back(id);
    }
    members_.emplace_hint(members_.end(), id, member);
  }
  return zones;
}

bool absence_judge::IsDue(const member_state& member, bool all_voters,
                          time_point now) const {
  const bool is_sure = member.was_heard && all_voters;
  const duration patience =
      is_sure ? settings_.patience : settings_.long_patience;
  return now - member.counted_since >= patience;
}

bool absence_judge::MayTakeOut(const zone_name& zone, const zone_state& state,
                               const node_presence& heard) const {
  const bool zone_is_heard =
      state.missing.size() < state.members || heard.zones.count(zone) > 0;
  if (!zone_is_heard) return false;
  // Those taken out still count, so that a long cut takes no zone apart.
  std::size_t missing = state.missing.size();
  std::size_t members = state.members;
  for (const taken_loss& loss : taken_) {
    if (loss.zone != zone || members_.count(loss.target) > 0) continue;
    ++missing;
    ++members;
  }
  const auto share = static_cast<std::size_t>(settings_.missing_share *
                                              static_cast<double>(members));
  return missing <= std::max<std::size_t>(1, share);
}

std::size_t absence_judge::Doubt(const zone_state& state, time_point now) {
  std::size_t due = 0;
  for (const target_id id : state.missing) {
    member_state& member = members_.at(id);
    if (now - member.missing_since >= settings_.patience) ++due;
    member.was_heard = false;
    member.counted_since = now;
  }
  return due;
}

std::vector<loss_action> absence_judge::OnLook(const node_presence& heard,
                                               const cluster_view& view,
                                               time_point now) {
  taken_.erase(std::remove_if(taken_.begin(), taken_.end(),
                              [&](const taken_loss& loss) {
                                return now - loss.at > settings_.window;
                              }),
               taken_.end());
  const auto zones = Look(heard, view, now);
  if (!NamesAreWhole(heard)) return {};

  std::vector<loss_action> actions;
  membership_batch batch;
  for (const auto& [zone, state] : zones) {
    if (!MayTakeOut(zone, state, heard)) {
      const std::size_t due = Doubt(state, now);
      if (due > 0 && doubted_.insert(zone).second)
        actions.push_back(doubt_losses{"", zone, due});
      continue;
    }
    doubted_.erase(zone);
    for (const target_id id : state.missing) {
      member_state& member = members_.at(id);
      const bool waits_for_log =
          member.proposed && now - *member.proposed < kProposalPatience;
      if (!IsDue(member, heard.all_voters, now) || waits_for_log ||
          batch.losses.size() >= kMaxBatch)
        continue;
      const target_record& target = view.targets.at(id);
      batch.losses.push_back({target.vm,
                              view.services.at(target.service).document.service,
                              target.started});
      if (!member.proposed) taken_.push_back({id, zone, now});
      member.proposed = now;
    }
  }
  if (!batch.empty()) actions.push_back(propose_membership{std::move(batch)});
  return actions;
}

}  // namespace tamaracklatch
