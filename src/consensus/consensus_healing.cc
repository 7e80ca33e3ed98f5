// Automatic voter replacement: selects the leader's next voter change, so that
// the log has the configured number of responsive voters.
#include <algorithm>
#include <cassert>

#include "tamaracklatch/consensus/consensus_node.h"

namespace tamaracklatch {

// Returns the time of the member's last reply, or a later one at which this
// leader began to track it or its process resumed after a pause: a gap before
// that says nothing about the member.
time_point consensus_node::LastReplyTime(const member_id& id) const {
  if (id == self_) return now_;
  const auto found = progress_.find(id);
  if (found == progress_.end()) return uninterrupted_since_;
  const follower_progress& progress = found->second;
  return std::max(progress.last_reply.value_or(progress.tracked_since),
                  uninterrupted_since_);
}

bool consensus_node::IsUnresponsive(const member_id& id) const {
  return now_ - LastReplyTime(id) > settings_.voter_reply_timeout;
}

// Returns one step; the next is taken only after this one is committed. The
// order matters: first voters that lost their disk are removed, then surplus
// voters, and only then are new voters added.
std::optional<voter_configuration> consensus_node::NextHealingStep(
    const voter_configuration& configuration) {
  assert(MayChangeVoters());
  if (auto next = WithoutLostDisk(configuration)) return next;
  if (auto next = WithoutSurplusVoter(configuration)) return next;
  if (auto next = WithNewVoter(configuration)) return next;
  if (auto next = WithWaitingVm(configuration)) return next;
  return WithoutUnresponsiveLearner(configuration);
}

// If a learner that has caught up has the VM name of a voter, that voter's disk
// is certainly lost. The old member is removed before the new one votes.
std::optional<voter_configuration> consensus_node::WithoutLostDisk(
    const voter_configuration& configuration) const {
  for (const cluster_member& learner : configuration.learners) {
    if (!HasCaughtUp(learner.id)) continue;
    for (const cluster_member& voter : configuration.voters) {
      if (voter.id.name != learner.id.name) continue;
      auto next = configuration.Without(voter.id);
      if (!next.voters.empty() && HasActiveQuorum(next)) return next;
    }
  }
  return std::nullopt;
}

// Demotes the voter that has been unresponsive for longest, or else the one
// that was added last. It stays a learner, so that it receives the change when
// it is back, unless a learner already has its VM name.
std::optional<voter_configuration> consensus_node::WithoutSurplusVoter(
    const voter_configuration& configuration) {
  if (configuration.voters.size() <= settings_.desired_voters)
    return std::nullopt;
  const cluster_member* chosen = nullptr;
  bool chosen_unresponsive = false;
  for (const cluster_member& voter : configuration.voters) {
    if (voter.id == self_) continue;
    const bool unresponsive = IsUnresponsive(voter.id);
    const bool better =
        chosen == nullptr || (unresponsive && !chosen_unresponsive) ||
        (unresponsive == chosen_unresponsive &&
         (unresponsive ? LastReplyTime(voter.id) < LastReplyTime(chosen->id)
                       : voter.added > chosen->added));
    if (!better) continue;
    chosen = &voter;
    chosen_unresponsive = unresponsive;
  }
  if (chosen == nullptr) return std::nullopt;
  const bool has_successor =
      std::any_of(configuration.learners.begin(), configuration.learners.end(),
                  [&](const cluster_member& member) {
                    return member.id.name == chosen->id.name;
                  });
  auto next = configuration.Without(chosen->id);
  if (!has_successor) next = next.WithLearner(chosen->id, chosen->added);
  if (!HasActiveQuorum(next)) return std::nullopt;
  ReportEvent(event_id::kVoterRetired,
              chosen_unresponsive ? "silent" : "surplus voter", {},
              chosen->id.name);
  return next;
}

// Promotes a learner if there are too few voters, or if a voter is
// unresponsive, which then becomes surplus. The new voter counts towards the
// active quorum, because it currently responds.
std::optional<voter_configuration> consensus_node::WithNewVoter(
    const voter_configuration& configuration) const {
  const auto& voters = configuration.voters;
  if (voters.size() > settings_.desired_voters) return std::nullopt;
  const bool voter_needed = voters.size() < settings_.desired_voters ||
                            std::any_of(voters.begin(), voters.end(),
                                        [&](const cluster_member& member) {
                                          return IsUnresponsive(member.id);
                                        });
  if (!voter_needed) return std::nullopt;
  for (const cluster_member& learner : configuration.learners) {
    if (!HasCaughtUp(learner.id) || IsUnresponsive(learner.id)) continue;
    // WithoutLostDisk() must remove the voter with this VM name first.
    const bool name_already_votes = std::any_of(
        voters.begin(), voters.end(),
        [&](const auto& voter) { return voter.id.name == learner.id.name; });
    if (name_already_votes) continue;
    auto next = configuration.WithVoter(learner.id);
    if (HasActiveQuorum(next)) return next;
  }
  return std::nullopt;
}

// Adds a VM that announced itself as a learner. It replaces a learner of the
// same VM name. Adds none if the configuration has kMaxMembers; the VM then has
// to announce itself again.
std::optional<voter_configuration> consensus_node::WithWaitingVm(
    const voter_configuration& configuration) {
  while (!waiting_vms_.empty()) {
    const member_id announced = waiting_vms_.begin()->second;
    waiting_vms_.erase(waiting_vms_.begin());
    if (configuration.IsVoter(announced) ||
        configuration.IsLearner(announced)) {
      continue;
    }
    voter_configuration next = configuration;
    for (const cluster_member& learner : configuration.learners) {
      const bool same_name = learner.id.name == announced.name;
      if (same_name) next = next.Without(learner.id);
    }
    if (next.voters.size() + next.learners.size() >= kMaxMembers) {
      return std::nullopt;
    }
    ReportEvent(event_id::kVoterAdmitted, "", {}, announced.name);
    return next.WithLearner(announced, {log_.last_index().value + 1});
  }
  return std::nullopt;
}

std::optional<voter_configuration> consensus_node::WithoutUnresponsiveLearner(
    const voter_configuration& configuration) const {
  for (const cluster_member& learner : configuration.learners) {
    if (now_ - LastReplyTime(learner.id) > settings_.learner_reply_timeout) {
      return configuration.Without(learner.id);
    }
  }
  return std::nullopt;
}

}  // namespace tamaracklatch
