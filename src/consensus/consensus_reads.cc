// Linearizable reads: after a round of confirmations that began after the read
// was asked, here or through another leader; and the confirmation that a
// started member has caught up. No read rests on a clock: it stands still while
// the VM is suspended.
#include <algorithm>
#include <cassert>
#include <functional>

#include "tamaracklatch/consensus/consensus_node.h"

namespace tamaracklatch {

void consensus_node::On(const read_asked& input) {
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
  reads_.push_back({input.id, std::nullopt, round_ + 1});
  round_wanted_ = true;
}

void consensus_node::On(const read_request& body, const member_id& from) {
  if (role_ != consensus_role::kLeader) {
    return SendNow(from, read_reply{body.id, false, {}});
  }
  reads_.push_back({body.id, from, round_ + 1});
  round_wanted_ = true;
}

void consensus_node::StartRound() {
  round_wanted_ = false;
  ++round_;
  rounds_.push_back({round_, now_});
  heartbeat_deadline_ = now_ + settings_.heartbeat_interval;
  for (auto& [id, progress] : progress_) progress.heartbeat_due = true;
  AdvanceQuorumRound();
}

void consensus_node::HearFrom(follower_progress* progress,
                              std::uint64_t round) {
  progress->last_reply = now_;
  if (round <= progress->acknowledged_round || round > round_) return;
  progress->acknowledged_round = round;
  AdvanceQuorumRound();
}

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
  AnswerReads();
}

void consensus_node::AnswerReads() {
  if (!CommittedInOwnTerm()) return;
  std::vector<pending_read> waiting;
  for (pending_read& read : reads_) {
    if (read.round > quorum_round_) {
      waiting.push_back(std::move(read));
    } else if (read.asker) {
      SendNow(*read.asker, read_reply{read.id, true, commit_});
    } else {
      AnswerRead(read.id, result_code::kOk, commit_);
    }
  }
  reads_ = std::move(waiting);
}

void consensus_node::ForwardRead(std::optional<std::uint64_t> id) {
  assert(leader_);
  const std::uint64_t wire_id = next_wire_id_++;
  forwarded_.push_back(
      {id, wire_id, now_ + settings_.election_timeout, std::nullopt});
  SendNow(*leader_, read_request{wire_id});
}

void consensus_node::On(const read_reply& body, const member_id& /*from*/) {
  const auto found = std::find_if(
      forwarded_.begin(), forwarded_.end(),
      [&](const forwarded_read& read) { return read.wire_id == body.id; });
  if (found == forwarded_.end() || found->index) return;
  if (body.known) {
    found->index = body.index;
    return;  // TakeCommitted() answers it
  }
  if (found->id) AnswerRead(*found->id, result_code::kNotLeader, {});
  forwarded_.erase(found);
}

void consensus_node::ConfirmStart() {
  if (confirmed_ || !leader_ || leader_ == self_ || now_ < confirm_deadline_) {
    return;
  }
  confirm_deadline_ = now_ + settings_.election_timeout;
  ForwardRead(std::nullopt);
}

void consensus_node::AnswerForwardedReads() {
  std::vector<forwarded_read> waiting;
  for (forwarded_read& read : forwarded_) {
    if (!read.index || *read.index > applied_) {
      waiting.push_back(read);
    } else if (read.id) {
      AnswerRead(*read.id, result_code::kOk, *read.index);
    } else {
      confirmed_ = true;
    }
  }
  forwarded_ = std::move(waiting);
}

void consensus_node::ExpireForwardedReads() {
  std::vector<forwarded_read> waiting;
  for (forwarded_read& read : forwarded_) {
    if (read.deadline > now_) {
      waiting.push_back(read);
    } else if (read.id) {
      AnswerRead(*read.id, result_code::kNotLeader, {});
    }
  }
  forwarded_ = std::move(waiting);
}

}  // namespace tamaracklatch
