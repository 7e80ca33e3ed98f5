// Linearizable reads on the leader and, through the leader, on other members. A
// read is answered after a round of leadership confirmations that began after
// the read was requested. A member that has started uses such a read to confirm
// that it has caught up. No read relies on a clock, as a leader lease would,
// because the clock stops while the VM is suspended.
#include <algorithm>
#include <cassert>
#include <functional>

#include "tamaracklatch/consensus/consensus_node.h"

namespace tamaracklatch {

void consensus_node::On(const read_requested& input) {
  switch (role_) {
    case consensus_role::kStopped:
      return AnswerRead(input.id, result_code::kStorageStopped, {});
    case consensus_role::kLeader:
      break;
    case consensus_role::kBlank:
    case consensus_role::kFollower:
    case consensus_role::kPreCandidate:
    case consensus_role::kCandidate:
      if (!leader_) return AnswerRead(input.id, result_code::kNotLeader, {});
      return ForwardRead(input.id);
  }
  pending_reads_.push_back({input.id, std::nullopt, round_ + 1});
  round_requested_ = true;
}

void consensus_node::On(const read_request& body, const member_id& from) {
  if (role_ != consensus_role::kLeader) {
    return SendImmediately(from, read_reply{body.id, false, {}});
  }
  pending_reads_.push_back({body.id, from, round_ + 1});
  round_requested_ = true;
}

// Called by TakeActions() if a round was requested; all reads requested since
// the last round share it. Makes all followers due for a heartbeat; their
// replies confirm the round.
void consensus_node::StartConfirmationRound() {
  round_requested_ = false;
  ++round_;
  rounds_.push_back({round_, now_});
  heartbeat_deadline_ = now_ + settings_.heartbeat_interval;
  for (auto& [id, progress] : progress_) progress.heartbeat_due = true;
  AdvanceQuorumRound();
}

// Called for every reply of a follower in the current term. `round` is the
// newest round that the reply confirms.
void consensus_node::RecordReply(follower_progress* progress,
                                 std::uint64_t round) {
  progress->last_reply = now_;
  if (round <= progress->acknowledged_round || round > round_) return;
  progress->acknowledged_round = round;
  AdvanceQuorumRound();
}

// Finds the newest round that a quorum has confirmed, and answers its reads.
void consensus_node::AdvanceQuorumRound() {
  std::vector<std::uint64_t> confirmed;
  const voter_configuration& configuration = log_.configuration();
  for (const cluster_member& voter : configuration.voters) {
    const auto found = progress_.find(voter.id);
    if (voter.id == self_) {
      confirmed.push_back(round_);
    } else if (found != progress_.end()) {
      confirmed.push_back(found->second.acknowledged_round);
    }
  }
  if (confirmed.size() < configuration.Quorum()) return;
  const auto place = confirmed.begin() +
                     static_cast<std::ptrdiff_t>(configuration.Quorum() - 1);
  std::nth_element(confirmed.begin(), place, confirmed.end(), std::greater<>());
  if (*place <= quorum_round_) return;
  quorum_round_ = *place;
  while (rounds_.front().number < quorum_round_) rounds_.pop_front();
  quorum_contact_ = rounds_.front().started;
  AnswerConfirmedReads();
}

// Answers reads whose round is confirmed. Before an entry of this term is
// committed, the commit index may lag behind an earlier leader's, so they wait.
void consensus_node::AnswerConfirmedReads() {
  if (!HasCommittedInCurrentTerm()) return;
  std::vector<pending_read> remaining;
  for (pending_read& read : pending_reads_) {
    if (read.round > quorum_round_) {
      remaining.push_back(std::move(read));
    } else if (read.requester) {
      SendImmediately(*read.requester, read_reply{read.id, true, commit_});
    } else {
      AnswerRead(read.id, result_code::kOk, commit_);
    }
  }
  pending_reads_ = std::move(remaining);
}

// Requests the commit index from the leader, for the read `id` or, if it is
// nothing, to confirm that this member has caught up.
void consensus_node::ForwardRead(std::optional<std::uint64_t> id) {
  assert(leader_);
  const std::uint64_t request_id = next_request_id_++;
  forwarded_reads_.push_back(
      {id, request_id, now_ + settings_.election_timeout, std::nullopt});
  SendImmediately(*leader_, read_request{request_id});
}

void consensus_node::On(const read_reply& body, const member_id& /*from*/) {
  const auto found = std::find_if(
      forwarded_reads_.begin(), forwarded_reads_.end(),
      [&](const forwarded_read& read) { return read.request_id == body.id; });
  if (found == forwarded_reads_.end() || found->index) return;
  if (body.known) {
    found->index = body.index;
    return;  // ApplyCommitted() answers it once `index` is applied.
  }
  if (found->id) AnswerRead(*found->id, result_code::kNotLeader, {});
  forwarded_reads_.erase(found);
}

// Requests the commit index from the leader, repeated every election timeout
// until this member has applied what was committed before it started.
void consensus_node::RequestStartConfirmation() {
  if (start_confirmed_ || !leader_ || leader_ == self_ ||
      now_ < start_confirmation_deadline_) {
    return;
  }
  start_confirmation_deadline_ = now_ + settings_.election_timeout;
  ForwardRead(std::nullopt);
}

// Answers the reads whose index is applied; called by ApplyCommitted().
void consensus_node::AnswerForwardedReads() {
  std::vector<forwarded_read> remaining;
  for (forwarded_read& read : forwarded_reads_) {
    if (!read.index || *read.index > applied_) {
      remaining.push_back(read);
    } else if (read.id) {
      AnswerRead(*read.id, result_code::kOk, *read.index);
    } else {
      start_confirmed_ = true;
    }
  }
  forwarded_reads_ = std::move(remaining);
}

// Fails reads that are not answered within an election timeout: the leader did
// not reply, or the index that it returned is not applied here yet.
void consensus_node::ExpireForwardedReads() {
  std::vector<forwarded_read> remaining;
  for (forwarded_read& read : forwarded_reads_) {
    if (read.deadline > now_) {
      remaining.push_back(read);
    } else if (read.id) {
      AnswerRead(*read.id, result_code::kNotLeader, {});
    }
  }
  forwarded_reads_ = std::move(remaining);
}

}  // namespace tamaracklatch
