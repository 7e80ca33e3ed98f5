// Founding and joining a log, and voter changes, which are made one at a time.
#include <fmt/format.h>

#include <algorithm>
#include <cassert>
#include <utility>

#include "tamaracklatch/consensus/consensus_node.h"

namespace tamaracklatch {
namespace {

// Announced VMs that are not in the configuration yet; more are ignored.
constexpr std::size_t kMaxWaitingVms = 16;
// Names of discovered peers; more are ignored.
constexpr std::size_t kMaxPeers = 256;

// Formats members for an event detail: "name:disk name:disk".
std::string FormatMembers(const std::vector<cluster_member>& members) {
  std::string text;
  for (const cluster_member& member : members) {
    if (!text.empty()) text += ' ';
    text += fmt::format("{}:{:016x}", member.id.name, member.id.disk.value);
  }
  return text;
}

}  // namespace

// --- Founding and joining ---

// The other VMs in the settings: founders and peers.
std::set<vm_name> consensus_node::PeerNames() const {
  std::set<vm_name> names(settings_.peers.begin(), settings_.peers.end());
  names.insert(settings_.founders.begin(), settings_.founders.end());
  names.erase(self_.name);
  return names;
}

// All VMs that may be members: those in the settings, discovered ones and the
// voters of the newest configuration.
std::set<vm_name> consensus_node::AnnouncementRecipients() const {
  std::set<vm_name> names = PeerNames();
  names.insert(discovered_peers_.begin(), discovered_peers_.end());
  const voter_configuration& configuration = log_.configuration();
  for (const cluster_member& member : configuration.voters) {
    names.insert(member.id.name);
  }
  names.erase(self_.name);
  return names;
}

// If a name is new, announces this VM at once.
void consensus_node::AddDiscoveredPeers(const std::vector<vm_name>& names) {
  bool new_name_found = false;
  for (const vm_name& name : names) {
    if (name == self_.name || discovered_peers_.size() >= kMaxPeers) continue;
    new_name_found |=
        discovered_peers_.insert(name).second && PeerNames().count(name) == 0;
  }
  if (new_name_found) join_deadline_ = now_;
}

void consensus_node::On(const peers_discovered& input) {
  AddDiscoveredPeers(input.names);
}

void consensus_node::On(const log_exists& body, const member_id& /*from*/) {
  AddDiscoveredPeers(body.members);
}

// The members to which a VM that isn't a member may announce itself.
log_exists consensus_node::KnownMembers() const {
  log_exists known;
  for (const cluster_member& member : log_.configuration().voters) {
    known.members.push_back(member.id.name);
  }
  for (const cluster_member& member : log_.configuration().learners) {
    known.members.push_back(member.id.name);
  }
  return known;
}

// Returns when this VM must next announce itself. A blank VM does so, and also
// one that belongs to the log but seems not to be a member: it was removed, or
// the change that admitted it was lost. If voters are replaced automatically, a
// voter without leader contact for two election timeouts may have been removed
// without receiving the change.
time_point consensus_node::AnnounceDeadline() const {
  if (role_ == consensus_role::kBlank) return join_deadline_;
  if (MayStartElection() && settings_.desired_voters == 0)
    return time_point::max();
  return std::max(join_deadline_,
                  leader_contact_ + 2 * settings_.election_timeout);
}

void consensus_node::Announce() {
  join_deadline_ = now_ + settings_.join_interval;
  const bool blank = role_ == consensus_role::kBlank;
  if (blank) FoundClusterIfAllBlank();
  if (blank != (role_ == consensus_role::kBlank)) return;
  previous_nonce_ = last_nonce_;
  last_nonce_ = random_();
  for (const vm_name& name : AnnouncementRecipients()) {
    // To any disk incarnation, because the peer may have lost its disk since.
    std::uint64_t echo = 0;
    const auto known = blank_vms_.find(name);
    if (known != blank_vms_.end()) echo = known->second.nonce;
    SendAfterPersist({name, {}}, join_request{last_nonce_, echo});
  }
  for (auto& [name, peer] : blank_vms_) {
    if (peer.echoed_nonce != last_nonce_ &&
        peer.echoed_nonce != previous_nonce_) {
      peer.fresh = false;
    }
  }
}

void consensus_node::On(const join_request& body, const member_id& from) {
  if (role_ != consensus_role::kBlank) return HandleAnnouncement(from);
  if (PeerNames().count(from.name) == 0) return;
  const bool fresh = body.echo != 0 &&
                     (body.echo == last_nonce_ || body.echo == previous_nonce_);
  blank_vm& peer = blank_vms_[from.name];
  if (peer.id != from) peer = {from, 0, 0, false};
  peer.nonce = body.nonce;
  if (!fresh) return;
  peer.echoed_nonce = body.echo;
  peer.fresh = true;
}

// The founder with the lowest name founds the log, once all founders and peers
// have recently announced themselves as blank. Each member joins only one log
// in its lifetime, so that no two logs of these founders can both have a
// quorum.
void consensus_node::FoundClusterIfAllBlank() {
  const std::vector<vm_name>& names = settings_.founders;
  if (names.empty() || existing_log_seen_) return;
  if (*std::min_element(names.begin(), names.end()) != self_.name) return;
  voter_configuration founding;
  const std::set<vm_name> founders(names.begin(), names.end());
  founding.voters.push_back({self_, {}});
  for (const vm_name& name : PeerNames()) {
    const auto found = blank_vms_.find(name);
    if (found == blank_vms_.end() || !found->second.fresh) return;
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
  ReportEvent(event_id::kClusterFounded, fmt::format("{:016x}", cluster.value));
  for (const cluster_member& voter : founding.voters) {
    if (voter.id != self_) SendInvitation(voter.id);
  }
}

// Called when this VM founds a log or accepts an invitation.
void consensus_node::JoinCluster(cluster_id cluster,
                                 const voter_configuration& founding) {
  assert(role_ == consensus_role::kBlank && cluster.value != 0);
  hard_state_.cluster = cluster;
  hard_state_dirty_ = true;
  log_.Reset({}, {}, founding);
  log_snapshot first;
  first.configuration = founding;
  snapshot_ = std::make_shared<const log_snapshot>(std::move(first));
  snapshot_dirty_ = true;
  founding_dirty_ = true;
  role_ = consensus_role::kFollower;
  leader_contact_ = now_;
  ResetElectionDeadline();
  ReportEvent(event_id::kClusterJoined, fmt::format("{:016x}", cluster.value));
}

void consensus_node::SendInvitation(const member_id& blank) {
  join_invitation invitation;
  const bool has_whole_log = log_.base().value == 0;
  if (has_whole_log) invitation.founding = log_.ConfigurationAt({});
  SendAfterPersist(blank, std::move(invitation));
}

// Called when a VM announces itself to this VM, which belongs to a log. Invites
// it if it is a committed member; otherwise names the members to it and, on the
// leader, admits it or lists it as waiting.
void consensus_node::HandleAnnouncement(const member_id& sender) {
  const voter_configuration& configuration = log_.configuration();
  const voter_configuration& committed = log_.ConfigurationAt(commit_);
  // Only members of the committed configuration are invited. A VM that joined
  // because of a configuration that is lost afterwards would wait forever.
  if (committed.IsVoter(sender) || committed.IsLearner(sender)) {
    return SendInvitation(sender);
  }
  SendAfterPersist(sender, KnownMembers());
  if (role_ != consensus_role::kLeader) return;
  if (configuration.IsLearner(sender)) return;
  const bool automatic = settings_.desired_voters > 0;
  if (automatic || !configuration.HasName(sender.name)) {
    const bool is_new = waiting_vms_.count(sender.name) == 0;
    if (is_new && waiting_vms_.size() >= kMaxWaitingVms) return;
    waiting_vms_[sender.name] = sender;
    if (is_new) ReportEvent(event_id::kMemberWaiting, "", {}, sender.name);
    if (automatic) ContinueVoterChanges();
    return;
  }
  // The VM of a member lost its disk and is added as a new learner.
  if (!MayChangeVoters()) return;
  voter_configuration next = configuration;
  for (const cluster_member& learner : configuration.learners) {
    if (learner.id.name == sender.name) next = next.Without(learner.id);
  }
  const std::size_t members = next.voters.size() + next.learners.size();
  if (members >= kMaxMembers) return;
  ProposeConfiguration(next.WithLearner(sender, {log_.last_index().value + 1}));
}

// --- Voter changes, on the leader ---

void consensus_node::On(const voter_change_requested& input) {
  using change_kind = voter_change_requested::change_kind;
  if (role_ != consensus_role::kLeader) {
    const auto code = role_ == consensus_role::kStopped
                          ? result_code::kStorageStopped
                          : result_code::kNotLeader;
    return AnswerProposal(input.id, code, {});
  }
  if (!MayChangeVoters()) {
    return AnswerProposal(input.id, result_code::kVoterChangePending, {});
  }
  const voter_configuration configuration = log_.configuration();
  voter_configuration next = configuration;
  if (input.kind == change_kind::kAdd) {
    const auto found = waiting_vms_.find(input.name);
    if (found == waiting_vms_.end() || configuration.HasName(input.name)) {
      return AnswerProposal(input.id, result_code::kMemberUnknown, {});
    }
    next = next.WithLearner(found->second, {log_.last_index().value + 1});
    waiting_vms_.erase(found);
  } else {
    if (!configuration.HasName(input.name)) {
      return AnswerProposal(input.id, result_code::kMemberUnknown, {});
    }
    // Removes all learners of this name and one voter, if there is one.
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
  const bool at_risk =
      next.voters.empty() || members > kMaxMembers || !HasActiveQuorum(next);
  if (at_risk) return AnswerProposal(input.id, result_code::kQuorumAtRisk, {});
  ProposeConfiguration(next);
  pending_proposals_.push_back({log_.last_index(), input.id});
}

// Whether a voter change may begin: this member leads, an entry of its own term
// is committed, and so is the newest configuration.
bool consensus_node::MayChangeVoters() const {
  return role_ == consensus_role::kLeader && HasCommittedInCurrentTerm() &&
         log_.configuration_index() <= commit_;
}

// The number of voters that replied within the last two election timeouts,
// including this member.
std::size_t consensus_node::CountActiveVoters(
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

bool consensus_node::HasActiveQuorum(
    const voter_configuration& configuration) const {
  return CountActiveVoters(configuration) >= configuration.Quorum();
}

void consensus_node::ProposeConfiguration(const voter_configuration& next) {
  assert(MayChangeVoters());
  AppendLocalEntry(entry_kind::kConfiguration, EncodeConfiguration(next));
  UpdateTrackedFollowers();
}

// Takes the next step of a change in progress, even if an earlier leader began
// it. A learner that has caught up becomes a voter. A voter of the same VM
// name, whose disk is lost, is removed before that: otherwise a quorum could
// depend on both the lost voter and a new one that fails immediately.
void consensus_node::ContinueVoterChanges() {
  if (!MayChangeVoters()) return;
  const voter_configuration configuration = log_.configuration();
  if (settings_.desired_voters > 0) {
    const auto next = NextHealingStep(configuration);
    if (next) ProposeConfiguration(*next);
    return;
  }
  for (const cluster_member& learner : configuration.learners) {
    if (!HasCaughtUp(learner.id)) continue;
    const auto next = NextPromotionStep(configuration, learner.id);
    if (next) return ProposeConfiguration(*next);
  }
}

bool consensus_node::HasCaughtUp(const member_id& learner) const {
  if (learner == self_) return true;
  const auto found = progress_.find(learner);
  if (found == progress_.end() || found->second.match.value == 0) return false;
  return found->second.match.value + settings_.promotion_lag_entries >=
         log_.last_index().value;
}

std::optional<voter_configuration> consensus_node::NextPromotionStep(
    const voter_configuration& configuration, const member_id& learner) const {
  for (const cluster_member& voter : configuration.voters) {
    if (voter.id.name != learner.name) continue;
    auto next = configuration.Without(voter.id);
    if (next.voters.empty() || !HasActiveQuorum(next)) return std::nullopt;
    return next;
  }
  // The current voters must form the new quorum without the new voter, except a
  // single voter, which can't.
  auto next = configuration.WithVoter(learner);
  const bool single = configuration.voters.size() == 1;
  if (!single && CountActiveVoters(configuration) < next.Quorum())
    return std::nullopt;
  return next;
}

// Called when the configuration changes: drops the progress of members that it
// no longer contains and starts to track new ones.
void consensus_node::UpdateTrackedFollowers() {
  const voter_configuration& configuration = log_.configuration();
  for (auto it = progress_.begin(); it != progress_.end();) {
    const bool member =
        configuration.IsVoter(it->first) || configuration.IsLearner(it->first);
    it = member ? std::next(it) : progress_.erase(it);
  }
  const auto add = [&](const cluster_member& member) {
    if (member.id == self_ || progress_.count(member.id) != 0) return;
    follower_progress progress;
    progress.next = {log_.last_index().value + 1};
    progress.tracked_since = now_;
    progress_.emplace(member.id, std::move(progress));
  };
  for (const cluster_member& voter : configuration.voters) add(voter);
  for (const cluster_member& learner : configuration.learners) add(learner);
}

void consensus_node::HandleCommittedEntry(const log_entry& entry) {
  if (entry.kind != entry_kind::kConfiguration) return;
  const voter_configuration& now = log_.ConfigurationAt(entry.index);
  ReportEvent(event_id::kVotersChanged,
              fmt::format("voters {}; learners {}", FormatMembers(now.voters),
                          FormatMembers(now.learners)));
  if (role_ != consensus_role::kLeader) return;
  if (!log_.configuration().IsVoter(self_)) {
    return StepDown("no longer a voter");
  }
  // Invites new learners at once, instead of at their next announcement.
  if (settings_.desired_voters > 0) {
    for (const cluster_member& learner : now.learners) {
      const auto found = progress_.find(learner.id);
      const bool never_replied =
          found != progress_.end() && !found->second.last_reply;
      if (never_replied) SendInvitation(learner.id);
    }
  }
  ContinueVoterChanges();
}

}  // namespace tamaracklatch
