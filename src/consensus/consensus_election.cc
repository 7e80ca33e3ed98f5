// Elections of consensus_node: pre-vote, votes and role changes.
#include <fmt/format.h>

#include <algorithm>
#include <cassert>

#include "tamaracklatch/consensus/consensus_node.h"

namespace tamaracklatch {
namespace {

// For how many election timeouts a member that isn't a voter may start
// elections after a candidate with an older log requested its vote.
constexpr int kNonVoterCandidacyElectionTimeouts = 4;

}  // namespace

// Whether this member must ignore vote requests: it leads, or has replied to a
// leader, which may rely on its support until the election timeout has passed.
bool consensus_node::HasRecentLeaderContact() const {
  const time_point contact =
      role_ == consensus_role::kLeader ? quorum_contact_ : leader_contact_;
  return now_ < contact + settings_.election_timeout;
}

bool consensus_node::IsUpToDate(const vote_request& body) const {
  if (body.last_term != log_.last_term()) {
    return body.last_term > log_.last_term();
  }
  return body.last_index >= log_.last_index();
}

// Waits a random time of one to two election timeouts.
void consensus_node::ResetElectionDeadline() {
  const auto span = settings_.election_timeout.count();
  std::uniform_int_distribution<duration::rep> wait(span, 2 * span - 1);
  election_deadline_ = now_ + duration(wait(random_));
}

// Waits half to one election timeout, at random, before another attempt.
void consensus_node::SetElectionRetryDeadline() {
  const auto span = settings_.election_timeout.count();
  std::uniform_int_distribution<duration::rep> wait(span / 2, span);
  election_deadline_ = now_ + duration(wait(random_));
}

// Waits only a sixth to half of an election timeout, because all members may
// have started together. If only this one did, the pre-vote prevents it
// from disturbing a working leader.
void consensus_node::SetStartupElectionDeadline() {
  const auto span = settings_.election_timeout.count();
  std::uniform_int_distribution<duration::rep> wait(span / 6, span / 2);
  election_deadline_ = now_ + duration(wait(random_));
}

// A voter that an uncommitted change removes may be the only member that can
// complete the change, so it may start elections until the removal is
// committed. So may a non-voter whose vote a candidate with an older log
// requested, for a limited time: no other member might be able to win.
bool consensus_node::MayStartElection() const {
  return now_ < candidacy_allowed_until_ ||
         log_.IsVoterAtOrAfter(commit_, self_);
}

// Called at the election deadline. Sets the next deadline even if this member
// must not start an election now.
void consensus_node::StartPreVote() {
  SetElectionRetryDeadline();
  if (!MayStartElection() || IsStorageStalled()) return;
  role_ = consensus_role::kPreCandidate;
  leader_.reset();
  granted_votes_ = {self_};
  RequestVotes({hard_state_.term.value + 1}, true);
  CountVotes();
}

// Called when a quorum granted the pre-vote.
void consensus_node::StartElection() {
  role_ = consensus_role::kCandidate;
  hard_state_.term = {hard_state_.term.value + 1};
  hard_state_.vote = self_;
  hard_state_dirty_ = true;
  granted_votes_ = {self_};
  SetElectionRetryDeadline();
  RequestVotes(hard_state_.term, false);
  CountVotes();
}

void consensus_node::RequestVotes(log_term term, bool pre_vote) {
  const vote_request request{term, pre_vote, log_.last_index(),
                             log_.last_term()};
  for (const cluster_member& voter : log_.configuration().voters) {
    if (voter.id != self_) SendAfterPersist(voter.id, request);
  }
}

// Takes the next role once a quorum of voters has granted its vote.
void consensus_node::CountVotes() {
  const voter_configuration& configuration = log_.configuration();
  const auto granted = static_cast<std::size_t>(std::count_if(
      granted_votes_.begin(), granted_votes_.end(),
      [&](const member_id& id) { return configuration.IsVoter(id); }));
  if (granted < configuration.Quorum()) return;
  if (role_ == consensus_role::kPreCandidate) return StartElection();
  BecomeLeader();
}

void consensus_node::On(const vote_request& body, const member_id& from) {
  if (body.term < hard_state_.term) {
    return SendAfterPersist(from,
                            vote_reply{hard_state_.term, body.pre_vote, false});
  }
  if (HasRecentLeaderContact()) return;
  if (!IsUpToDate(body) && !MayStartElection()) {
    candidacy_allowed_until_ =
        now_ + kNonVoterCandidacyElectionTimeouts * settings_.election_timeout;
    SetElectionRetryDeadline();
  }
  if (body.pre_vote) {
    const bool granted = body.term > hard_state_.term && IsUpToDate(body);
    const log_term term = granted ? body.term : hard_state_.term;
    return SendAfterPersist(from, vote_reply{term, true, granted});
  }
  if (body.term > hard_state_.term) BecomeFollower(body.term);
  const bool may_vote = !hard_state_.vote || *hard_state_.vote == from;
  const bool granted = may_vote && IsUpToDate(body);
  if (granted && !hard_state_.vote) {
    hard_state_.vote = from;
    hard_state_dirty_ = true;
    ResetElectionDeadline();
  }
  SendAfterPersist(from, vote_reply{hard_state_.term, false, granted});
}

void consensus_node::On(const vote_reply& body, const member_id& from) {
  if (!body.granted) {
    if (body.term > hard_state_.term) BecomeFollower(body.term);
    return;
  }
  const bool counts = body.pre_vote
                          ? role_ == consensus_role::kPreCandidate &&
                                body.term.value == hard_state_.term.value + 1
                          : role_ == consensus_role::kCandidate &&
                                body.term == hard_state_.term;
  if (!counts) return;
  granted_votes_.insert(from);
  CountVotes();
}

void consensus_node::BecomeLeader() {
  assert(role_ == consensus_role::kCandidate);
  FailPendingRequests();
  role_ = consensus_role::kLeader;
  leader_ = self_;
  progress_.clear();
  pending_reads_.clear();
  rounds_.clear();
  quorum_round_ = round_;
  quorum_contact_ = now_;
  uninterrupted_since_ = now_;
  waiting_vms_.clear();
  uncommitted_bytes_ = 0;
  for (std::uint64_t i = applied_.value + 1; i <= log_.last_index().value;
       ++i) {
    uncommitted_bytes_ += EntryBytes(log_.At({i}));
  }
  UpdateTrackedFollowers();
  AppendLocalEntry(entry_kind::kNoOp, "");
  round_requested_ = true;
  ReportEvent(event_id::kLeaderElected,
              fmt::format("term {}", hard_state_.term.value));
}

void consensus_node::BecomeFollower(log_term term) {
  assert(term >= hard_state_.term);
  if (role_ == consensus_role::kLeader) StepDown("received a newer term");
  if (term > hard_state_.term) {
    hard_state_.term = term;
    hard_state_.vote.reset();
    hard_state_dirty_ = true;
  }
  role_ = consensus_role::kFollower;
  leader_.reset();
  if (election_deadline_ <= now_) ResetElectionDeadline();
}

// Called for every message from the leader of the newest term.
void consensus_node::FollowLeader(log_term term, const member_id& leader) {
  assert(role_ != consensus_role::kLeader || term > hard_state_.term);
  const bool known = role_ == consensus_role::kFollower &&
                     term == hard_state_.term && leader_ == leader;
  if (!known) BecomeFollower(term);
  leader_ = leader;
  leader_contact_ = now_;
  ResetElectionDeadline();
  if (!known) RequestStartConfirmation();
}

// Ends the leadership, with a reason for the event log; pending proposals have
// an unknown outcome.
void consensus_node::StepDown(const std::string& reason) {
  assert(role_ == consensus_role::kLeader);
  role_ = consensus_role::kFollower;
  leader_.reset();
  progress_.clear();
  waiting_vms_.clear();
  round_requested_ = false;
  FailPendingRequests();
  ResetElectionDeadline();
  join_deadline_ = now_ + settings_.join_interval;
  ReportEvent(event_id::kLeaderSteppedDown, reason);
}

}  // namespace tamaracklatch
