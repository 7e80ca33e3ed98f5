// Voters that heal themselves: which change of voters the leader makes next, so
// that the log has its goal of voters that answer.
#include <algorithm>
#include <cassert>

#include "tamaracklatch/consensus/consensus_node.h"

namespace tamaracklatch {

time_point consensus_node::LastHeard(const member_id& id) const {
  if (id == self_) return now_;
  const auto found = progress_.find(id);
  if (found == progress_.end()) return attentive_since_;
  const follower_progress& progress = found->second;
  return std::max(progress.last_reply.value_or(progress.tracked_since),
                  attentive_since_);
}

bool consensus_node::IsSilent(const member_id& id) const {
  return now_ - LastHeard(id) > settings_.voter_silence;
}

// One step at a time, each accepted before the next. The order matters: what a
// lost disk leaves goes first, then what is too much, and only then come new
// voters.
std::optional<voter_configuration> consensus_node::HealingStep(
    const voter_configuration& configuration) {
  assert(MayChangeVoters());
  if (auto next = WithoutLostDisk(configuration)) return next;
  if (auto next = WithoutSurplusVoter(configuration)) return next;
  if (auto next = WithNewVoter(configuration)) return next;
  if (auto next = WithWaiting(configuration)) return next;
  return WithoutSilentLearner(configuration);
}

// A voter whose VM is a learner that caught up has lost its disk for certain,
// and goes before the newcomer votes.
std::optional<voter_configuration> consensus_node::WithoutLostDisk(
    const voter_configuration& configuration) const {
  for (const cluster_member& learner : configuration.learners) {
    if (!HasCaughtUp(learner.id)) continue;
    for (const cluster_member& voter : configuration.voters) {
      if (voter.id.name != learner.id.name) continue;
      auto next = configuration.Without(voter.id);
      if (!next.voters.empty() && ActiveQuorumIn(next)) return next;
    }
  }
  return std::nullopt;
}

// The voter that was silent for longest, else the one that came last. It stays
// as a learner, so that it hears of it when it is back.
std::optional<voter_configuration> consensus_node::WithoutSurplusVoter(
    const voter_configuration& configuration) {
  if (configuration.voters.size() <= settings_.voter_goal) return std::nullopt;
  const cluster_member* chosen = nullptr;
  bool silent = false;
  for (const cluster_member& voter : configuration.voters) {
    if (voter.id == self_) continue;
    const bool quiet = IsSilent(voter.id);
    const bool better =
        chosen == nullptr || (quiet && !silent) ||
        (quiet == silent && (quiet ? LastHeard(voter.id) < LastHeard(chosen->id)
                                   : voter.added > chosen->added));
    if (!better) continue;
    chosen = &voter;
    silent = quiet;
  }
  if (chosen == nullptr) return std::nullopt;
  const bool lost =
      std::any_of(configuration.learners.begin(), configuration.learners.end(),
                  [&](const cluster_member& one) {
                    return one.id.name == chosen->id.name;
                  });
  auto next = configuration.Without(chosen->id);
  if (!lost) next = next.WithLearner(chosen->id, chosen->added);
  if (!ActiveQuorumIn(next)) return std::nullopt;
  Report(event_id::kVoterRetired, silent ? "silent" : "one too many", {},
         chosen->id.name);
  return next;
}

// A learner votes where voters are too few, or where one is silent, which then
// goes. The newcomer counts for the new quorum, for it answers now.
std::optional<voter_configuration> consensus_node::WithNewVoter(
    const voter_configuration& configuration) const {
  const auto& voters = configuration.voters;
  if (voters.size() > settings_.voter_goal) return std::nullopt;
  const bool wanted =
      voters.size() < settings_.voter_goal ||
      std::any_of(voters.begin(), voters.end(),
                  [&](const cluster_member& one) { return IsSilent(one.id); });
  if (!wanted) return std::nullopt;
  for (const cluster_member& learner : configuration.learners) {
    if (!HasCaughtUp(learner.id) || IsSilent(learner.id)) continue;
    const bool replaces_itself = std::any_of(
        voters.begin(), voters.end(),
        [&](const auto& voter) { return voter.id.name == learner.id.name; });
    if (replaces_itself) continue;
    auto next = configuration.WithVoter(learner.id);
    if (ActiveQuorumIn(next)) return next;
  }
  return std::nullopt;
}

std::optional<voter_configuration> consensus_node::WithWaiting(
    const voter_configuration& configuration) {
  while (!waiting_.empty()) {
    const member_id newcomer = waiting_.begin()->second;
    waiting_.erase(waiting_.begin());
    if (configuration.IsVoter(newcomer) || configuration.IsLearner(newcomer)) {
      continue;
    }
    voter_configuration next = configuration;
    for (const cluster_member& learner : configuration.learners) {
      const bool older = learner.id.name == newcomer.name;
      if (older) next = next.Without(learner.id);
    }
    if (next.voters.size() + next.learners.size() >= kMaxMembers) {
      return std::nullopt;
    }
    Report(event_id::kVoterAdmitted, "", {}, newcomer.name);
    return next.WithLearner(newcomer, {log_.last_index().value + 1});
  }
  return std::nullopt;
}

std::optional<voter_configuration> consensus_node::WithoutSilentLearner(
    const voter_configuration& configuration) const {
  for (const cluster_member& learner : configuration.learners) {
    if (now_ - LastHeard(learner.id) > settings_.learner_silence) {
      return configuration.Without(learner.id);
    }
  }
  return std::nullopt;
}

}  // namespace tamaracklatch
