// Pre-vote, votes, and the changes of role.
#include <fmt/format.h>

#include <algorithm>
#include <cassert>

#include "tamaracklatch/consensus/consensus_node.h"

namespace tamaracklatch {
namespace {

constexpr int kCallLasts = 4;  // election timeouts

}  // namespace

// Whether this member must not help another one to the lead: it answered a
// leader, and within the election timeout that leader may count on it.
bool consensus_node::WithinLeaderPromise() const {
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

void consensus_node::ResetElectionDeadline() {
  const auto span = settings_.election_timeout.count();
  std::uniform_int_distribution<duration::rep> wait(span, 2 * span - 1);
  election_deadline_ = now_ + duration(wait(random_));
}

void consensus_node::RetryElectionSoon() {
  const auto span = settings_.election_timeout.count();
  std::uniform_int_distribution<duration::rep> wait(span / 2, span);
  election_deadline_ = now_ + duration(wait(random_));
}

// All may have started together. The pre-vote keeps one that did alone from
// disturbing a leader that lives.
void consensus_node::StandSoonAfterStart() {
  const auto span = settings_.election_timeout.count();
  std::uniform_int_distribution<duration::rep> wait(span / 6, span / 2);
  election_deadline_ = now_ + duration(wait(random_));
}

// A member that a change under way removes may be the only one to finish that
// change, so it stands until the removal is accepted. So may a learner that was
// asked for its vote by one with an older log: nobody else can win without it.
bool consensus_node::MayStand() const {
  return now_ < called_until_ || log_.IsVoterAtOrAfter(commit_, self_);
}

void consensus_node::StartPreVote() {
  RetryElectionSoon();
  if (!MayStand() || StorageStalls()) return;
  role_ = consensus_role::kPreCandidate;
  leader_.reset();
  votes_ = {self_};
  AskForVotes({hard_.term.value + 1}, true);
  CountVotes();
}

void consensus_node::StartElection() {
  role_ = consensus_role::kCandidate;
  hard_.term = {hard_.term.value + 1};
  hard_.vote = self_;
  hard_dirty_ = true;
  votes_ = {self_};
  RetryElectionSoon();
  AskForVotes(hard_.term, false);
  CountVotes();
}

void consensus_node::AskForVotes(log_term term, bool pre) {
  const vote_request request{term, pre, log_.last_index(), log_.last_term()};
  for (const cluster_member& voter : log_.configuration().voters) {
    if (voter.id != self_) SendDurable(voter.id, request);
  }
}

void consensus_node::CountVotes() {
  const voter_configuration& configuration = log_.configuration();
  const auto granted = static_cast<std::size_t>(std::count_if(
      votes_.begin(), votes_.end(),
      [&](const member_id& id) { return configuration.IsVoter(id); }));
  if (granted < configuration.Quorum()) return;
  if (role_ == consensus_role::kPreCandidate) return StartElection();
  BecomeLeader();
}

void consensus_node::On(const vote_request& body, const member_id& from) {
  if (body.term < hard_.term) {
    return SendDurable(from, vote_reply{hard_.term, body.pre, false});
  }
  if (WithinLeaderPromise()) return;
  if (!IsUpToDate(body) && !MayStand()) {
    called_until_ = now_ + kCallLasts * settings_.election_timeout;
    RetryElectionSoon();
  }
  if (body.pre) {
    const bool granted = body.term > hard_.term && IsUpToDate(body);
    const log_term term = granted ? body.term : hard_.term;
    return SendDurable(from, vote_reply{term, true, granted});
  }
  if (body.term > hard_.term) BecomeFollower(body.term);
  const bool free = !hard_.vote || *hard_.vote == from;
  const bool granted = free && IsUpToDate(body);
  if (granted && !hard_.vote) {
    hard_.vote = from;
    hard_dirty_ = true;
    ResetElectionDeadline();
  }
  SendDurable(from, vote_reply{hard_.term, false, granted});
}

void consensus_node::On(const vote_reply& body, const member_id& from) {
  if (!body.granted) {
    if (body.term > hard_.term) BecomeFollower(body.term);
    return;
  }
  const bool counts =
      body.pre ? role_ == consensus_role::kPreCandidate &&
                     body.term.value == hard_.term.value + 1
               : role_ == consensus_role::kCandidate && body.term == hard_.term;
  if (!counts) return;
  votes_.insert(from);
  CountVotes();
}

void consensus_node::BecomeLeader() {
  assert(role_ == consensus_role::kCandidate);
  FailPending();
  role_ = consensus_role::kLeader;
  leader_ = self_;
  progress_.clear();
  reads_.clear();
  rounds_.clear();
  quorum_round_ = round_;
  quorum_contact_ = now_;
  attentive_since_ = now_;
  waiting_.clear();
  uncommitted_bytes_ = 0;
  for (std::uint64_t i = applied_.value + 1; i <= log_.last_index().value;
       ++i) {
    uncommitted_bytes_ += EntryBytes(log_.At({i}));
  }
  MatchProgressToConfiguration();
  AppendOwn(entry_kind::kNothing, "");
  round_wanted_ = true;
  Report(event_id::kLeaderElected, fmt::format("term {}", hard_.term.value));
}

void consensus_node::BecomeFollower(log_term term) {
  assert(term >= hard_.term);
  if (role_ == consensus_role::kLeader) StepDown("a newer term began");
  if (term > hard_.term) {
    hard_.term = term;
    hard_.vote.reset();
    hard_dirty_ = true;
  }
  role_ = consensus_role::kFollower;
  leader_.reset();
  if (election_deadline_ <= now_) ResetElectionDeadline();
}

void consensus_node::FollowLeader(log_term term, const member_id& leader) {
  assert(role_ != consensus_role::kLeader || term > hard_.term);
  const bool known = role_ == consensus_role::kFollower && term == hard_.term &&
                     leader_ == leader;
  if (!known) BecomeFollower(term);
  leader_ = leader;
  leader_contact_ = now_;
  ResetElectionDeadline();
  if (!known) ConfirmStart();
}

void consensus_node::StepDown(const std::string& why) {
  assert(role_ == consensus_role::kLeader);
  role_ = consensus_role::kFollower;
  leader_.reset();
  progress_.clear();
  waiting_.clear();
  round_wanted_ = false;
  FailPending();
  ResetElectionDeadline();
  join_deadline_ = now_ + settings_.join_interval;
  Report(event_id::kLeaderSteppedDown, why);
}

}  // namespace tamaracklatch
