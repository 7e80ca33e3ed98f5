// Founding a log, joining one, and changes of voters one at a time.
#include <fmt/format.h>

#include <algorithm>
#include <cassert>
#include <utility>

#include "tamaracklatch/consensus/consensus_node.h"

namespace tamaracklatch {
namespace {

constexpr std::size_t kMaxWaiting = 16;   // blank VMs that nobody asked for
constexpr std::size_t kMaxLearned = 256;  // names of other VMs

std::string Names(const std::vector<cluster_member>& members) {
  std::string text;
  for (const cluster_member& one : members) {
    if (!text.empty()) text += ' ';
    text += fmt::format("{}:{:016x}", one.id.name, one.id.disk.value);
  }
  return text;
}

}  // namespace

// --- Blank members ---

std::set<vm_name> consensus_node::PeerNames() const {
  std::set<vm_name> names(settings_.peers.begin(), settings_.peers.end());
  names.insert(settings_.founders.begin(), settings_.founders.end());
  names.erase(self_.name);
  return names;
}

std::set<vm_name> consensus_node::AnnouncedTo() const {
  std::set<vm_name> names = PeerNames();
  names.insert(learned_peers_.begin(), learned_peers_.end());
  const voter_configuration& configuration = log_.configuration();
  for (const cluster_member& one : configuration.voters) {
    names.insert(one.id.name);
  }
  names.erase(self_.name);
  return names;
}

void consensus_node::LearnPeers(const std::vector<vm_name>& names) {
  bool news = false;
  for (const vm_name& name : names) {
    if (name == self_.name || learned_peers_.size() >= kMaxLearned) continue;
    news |= learned_peers_.insert(name).second && PeerNames().count(name) == 0;
  }
  if (news) join_deadline_ = now_;
}

void consensus_node::On(const peers_learned& input) { LearnPeers(input.names); }

void consensus_node::On(const log_exists& body, const member_id& /*from*/) {
  LearnPeers(body.members);
}

// Whom a VM that is no member may ask to be admitted.
log_exists consensus_node::MembersKnown() const {
  log_exists known;
  for (const cluster_member& one : log_.configuration().voters) {
    known.members.push_back(one.id.name);
  }
  for (const cluster_member& one : log_.configuration().learners) {
    known.members.push_back(one.id.name);
  }
  return known;
}

// A blank VM announces itself, and so does one that belongs to the log but
// seems to be no member: it was removed, or the change that admitted it was
// lost. Where voters are replaced, one that hears no leader for long may have
// been removed without knowing it.
time_point consensus_node::AnnounceDeadline() const {
  if (role_ == consensus_role::kBlank) return join_deadline_;
  if (MayStand() && settings_.voter_goal == 0) return time_point::max();
  return std::max(join_deadline_,
                  leader_contact_ + 2 * settings_.election_timeout);
}

void consensus_node::Announce() {
  join_deadline_ = now_ + settings_.join_interval;
  const bool blank = role_ == consensus_role::kBlank;
  if (blank) FoundIfAllAreBlank();
  if (blank != (role_ == consensus_role::kBlank)) return;
  previous_nonce_ = nonce_;
  nonce_ = random_();
  for (const vm_name& name : AnnouncedTo()) {
    // To any disk, for a peer may have lost its own since.
    std::uint64_t echo = 0;
    const auto known = blank_peers_.find(name);
    if (known != blank_peers_.end()) echo = known->second.nonce;
    SendDurable({name, {}}, join_request{nonce_, echo});
  }
  for (auto& [name, peer] : blank_peers_) {
    if (peer.echoed != nonce_ && peer.echoed != previous_nonce_) {
      peer.fresh = false;
    }
  }
}

void consensus_node::On(const join_request& body, const member_id& from) {
  if (role_ != consensus_role::kBlank) return AdmitBlank(from);
  if (PeerNames().count(from.name) == 0) return;
  const bool fresh =
      body.echo != 0 && (body.echo == nonce_ || body.echo == previous_nonce_);
  blank_peer& peer = blank_peers_[from.name];
  if (peer.id != from) peer = {from, 0, 0, false};
  peer.nonce = body.nonce;
  if (!fresh) return;
  peer.echoed = body.echo;
  peer.fresh = true;
}

// The first of the founders, by name, decides, once all VMs that it knows of
// have just said that they are blank. Each member accepts one log in its life,
// so that no two logs of these founders can both have a quorum.
void consensus_node::FoundIfAllAreBlank() {
  const std::vector<vm_name>& names = settings_.founders;
  if (names.empty() || log_exists_) return;
  if (*std::min_element(names.begin(), names.end()) != self_.name) return;
  voter_configuration founding;
  const std::set<vm_name> founders(names.begin(), names.end());
  founding.voters.push_back({self_, {}});
  for (const vm_name& name : PeerNames()) {
    const auto found = blank_peers_.find(name);
    if (found == blank_peers_.end() || !found->second.fresh) return;
    if (founders.count(name) == 0) continue;
    founding.voters.push_back({found->second.id, {}});
  }
  std::sort(founding.voters.begin(), founding.voters.end(),
            [](const cluster_member& left, const cluster_member& right) {
              return left.id < right.id;
            });
  cluster_id cluster;
  while (cluster.value == 0) cluster.value = random_();
  JoinCluster(cluster, founding);
  Report(event_id::kClusterFounded, fmt::format("{:016x}", cluster.value));
  for (const cluster_member& voter : founding.voters) {
    if (voter.id != self_) Invite(voter.id);
  }
}

void consensus_node::JoinCluster(cluster_id cluster,
                                 const voter_configuration& founding) {
  assert(role_ == consensus_role::kBlank && cluster.value != 0);
  hard_.cluster = cluster;
  hard_dirty_ = true;
  log_.Reset({}, {}, founding);
  log_snapshot first;
  first.configuration = founding;
  snapshot_ = std::make_shared<const log_snapshot>(std::move(first));
  snapshot_dirty_ = true;
  founding_dirty_ = true;
  role_ = consensus_role::kFollower;
  leader_contact_ = now_;
  ResetElectionDeadline();
  Report(event_id::kClusterJoined, fmt::format("{:016x}", cluster.value));
}

void consensus_node::Invite(const member_id& blank) {
  join_invitation invitation;
  const bool from_the_start = log_.base().value == 0;
  if (from_the_start) invitation.founding = log_.ConfigurationAt({});
  SendDurable(blank, std::move(invitation));
}

void consensus_node::AdmitBlank(const member_id& blank) {
  const voter_configuration& configuration = log_.configuration();
  const voter_configuration& accepted = log_.ConfigurationAt(commit_);
  // Only into what is accepted: a member of a configuration that is lost again
  // would wait for ever.
  if (accepted.IsVoter(blank) || accepted.IsLearner(blank)) {
    return Invite(blank);
  }
  SendDurable(blank, MembersKnown());
  if (role_ != consensus_role::kLeader) return;
  if (configuration.IsLearner(blank)) return;
  const bool heals = settings_.voter_goal > 0;
  if (heals || !configuration.HasName(blank.name)) {
    const bool news = waiting_.count(blank.name) == 0;
    if (news && waiting_.size() >= kMaxWaiting) return;
    waiting_[blank.name] = blank;
    if (news) Report(event_id::kMemberWaiting, "", {}, blank.name);
    if (heals) ContinueVoterChanges();
    return;
  }
  // A member's VM that lost its disk comes back as a new member.
  if (!MayChangeVoters()) return;
  voter_configuration next = configuration;
  for (const cluster_member& learner : configuration.learners) {
    if (learner.id.name == blank.name) next = next.Without(learner.id);
  }
  const std::size_t members = next.voters.size() + next.learners.size();
  if (members >= kMaxMembers) return;
  ProposeConfiguration(next.WithLearner(blank, {log_.last_index().value + 1}));
}

// --- Voter changes, on the leader ---

void consensus_node::On(const voter_change_asked& input) {
  using change_kind = voter_change_asked::change_kind;
  if (role_ != consensus_role::kLeader) {
    const auto code = role_ == consensus_role::kStopped
                          ? result_code::kStorageStopped
                          : result_code::kNotLeader;
    return Answer(input.id, code, {});
  }
  if (!MayChangeVoters()) {
    return Answer(input.id, result_code::kVoterChangePending, {});
  }
  const voter_configuration configuration = log_.configuration();
  voter_configuration next = configuration;
  if (input.kind == change_kind::kAdd) {
    const auto found = waiting_.find(input.name);
    if (found == waiting_.end() || configuration.HasName(input.name)) {
      return Answer(input.id, result_code::kMemberUnknown, {});
    }
    next = next.WithLearner(found->second, {log_.last_index().value + 1});
    waiting_.erase(found);
  } else {
    if (!configuration.HasName(input.name)) {
      return Answer(input.id, result_code::kMemberUnknown, {});
    }
    // One voter of the name, or else its learners.
    for (const cluster_member& learner : configuration.learners) {
      if (learner.id.name == input.name) next = next.Without(learner.id);
    }
    for (const cluster_member& voter : configuration.voters) {
      if (voter.id.name != input.name) continue;
      next = next.Without(voter.id);
      break;
    }
  }
  const std::size_t members = next.voters.size() + next.learners.size();
  const bool risky =
      next.voters.empty() || members > kMaxMembers || !ActiveQuorumIn(next);
  if (risky) return Answer(input.id, result_code::kQuorumAtRisk, {});
  ProposeConfiguration(next);
  proposals_.push_back({log_.last_index(), input.id});
}

bool consensus_node::MayChangeVoters() const {
  return role_ == consensus_role::kLeader && CommittedInOwnTerm() &&
         log_.configuration_index() <= commit_;
}

// How many voters answered of late, this one included.
std::size_t consensus_node::ActiveIn(
    const voter_configuration& configuration) const {
  return static_cast<std::size_t>(std::count_if(
      configuration.voters.begin(), configuration.voters.end(),
      [this](const cluster_member& voter) {
        if (voter.id == self_) return true;
        const auto found = progress_.find(voter.id);
        return found != progress_.end() && found->second.last_reply &&
               now_ - *found->second.last_reply <
                   2 * settings_.election_timeout;
      }));
}

bool consensus_node::ActiveQuorumIn(
    const voter_configuration& configuration) const {
  return ActiveIn(configuration) >= configuration.Quorum();
}

void consensus_node::ProposeConfiguration(const voter_configuration& next) {
  assert(MayChangeVoters());
  AppendOwn(entry_kind::kConfiguration, EncodeConfiguration(next));
  MatchProgressToConfiguration();
}

// Takes the next step of a change under way, whichever leader began it. A
// learner that caught up becomes a voter; the voter of its name, whose disk is
// lost, goes first, so that the lost one and a newcomer that dies at once are
// never both waited for.
void consensus_node::ContinueVoterChanges() {
  if (!MayChangeVoters()) return;
  const voter_configuration configuration = log_.configuration();
  if (settings_.voter_goal > 0) {
    const auto next = HealingStep(configuration);
    if (next) ProposeConfiguration(*next);
    return;
  }
  for (const cluster_member& learner : configuration.learners) {
    if (!HasCaughtUp(learner.id)) continue;
    const auto next = NextStepFor(configuration, learner.id);
    if (next) return ProposeConfiguration(*next);
  }
}

bool consensus_node::HasCaughtUp(const member_id& learner) const {
  if (learner == self_) return true;
  const auto found = progress_.find(learner);
  if (found == progress_.end() || found->second.match.value == 0) return false;
  return found->second.match.value + settings_.promotion_gap >=
         log_.last_index().value;
}

std::optional<voter_configuration> consensus_node::NextStepFor(
    const voter_configuration& configuration, const member_id& learner) const {
  for (const cluster_member& voter : configuration.voters) {
    if (voter.id.name != learner.name) continue;
    auto next = configuration.Without(voter.id);
    if (next.voters.empty() || !ActiveQuorumIn(next)) return std::nullopt;
    return next;
  }
  // The other voters must do without the newcomer, but for a single one.
  auto next = configuration.WithVoter(learner);
  const bool single = configuration.voters.size() == 1;
  if (!single && ActiveIn(configuration) < next.Quorum()) return std::nullopt;
  return next;
}

void consensus_node::MatchProgressToConfiguration() {
  const voter_configuration& configuration = log_.configuration();
  for (auto it = progress_.begin(); it != progress_.end();) {
    const bool member =
        configuration.IsVoter(it->first) || configuration.IsLearner(it->first);
    it = member ? std::next(it) : progress_.erase(it);
  }
  const auto add = [&](const cluster_member& one) {
    if (one.id == self_ || progress_.count(one.id) != 0) return;
    follower_progress progress;
    progress.next = {log_.last_index().value + 1};
    progress.tracked_since = now_;
    progress_.emplace(one.id, std::move(progress));
  };
  for (const cluster_member& voter : configuration.voters) add(voter);
  for (const cluster_member& learner : configuration.learners) add(learner);
}

void consensus_node::AfterCommitted(const log_entry& entry) {
  if (entry.kind != entry_kind::kConfiguration) return;
  const voter_configuration& now = log_.ConfigurationAt(entry.index);
  Report(event_id::kVotersChanged,
         fmt::format("voters {}; learners {}", Names(now.voters),
                     Names(now.learners)));
  if (role_ != consensus_role::kLeader) return;
  if (!log_.configuration().IsVoter(self_)) {
    return StepDown("it is no voter any more");
  }
  // Newcomers need not wait for their next announcement.
  if (settings_.voter_goal > 0) {
    for (const cluster_member& learner : now.learners) {
      const auto found = progress_.find(learner.id);
      const bool fresh = found != progress_.end() && !found->second.last_reply;
      if (fresh) Invite(learner.id);
    }
  }
  ContinueVoterChanges();
}

}  // namespace tamaracklatch
