// Replication of entries and snapshots from the leader to its followers.
#include <fmt/format.h>

#include <algorithm>
#include <cassert>
#include <functional>
#include <utility>

#include "tamaracklatch/consensus/consensus_node.h"

namespace tamaracklatch {

// --- On the follower ---

void consensus_node::On(const append_request& body, const member_id& from) {
  append_reply reply{hard_state_.term, false, {}, body.round, body.generation};
  if (body.term < hard_state_.term) return SendAfterPersist(from, reply);
  FollowLeader(body.term, from);
  reply.term = hard_state_.term;
  const auto hint = RejectionHint(body);
  if (hint) {
    reply.match = *hint;
    return SendAfterPersist(from, reply);
  }
  AppendReceivedEntries(body);
  reply.accepted = true;
  reply.match = {body.previous_index.value + body.entries.size()};
  commit_ = std::max(commit_, std::min(body.commit, reply.match));
  SendAfterPersist(from, reply);
}

// If the log doesn't contain the entry before the sent ones, returns the entry
// after which the leader should continue; otherwise nothing.
std::optional<revision> consensus_node::RejectionHint(
    const append_request& body) const {
  // Committed entries equal the leader's.
  if (body.previous_index <= commit_) return std::nullopt;
  const auto term = log_.TermAt(body.previous_index);
  if (!term) return log_.last_index();
  if (*term == body.previous_term) return std::nullopt;
  const revision before{log_.FirstIndexOfTerm(body.previous_index).value - 1};
  return std::max(before, commit_);
}

// Skips entries that the log already contains. An entry with a different term
// replaces the one of its index and all after it.
void consensus_node::AppendReceivedEntries(const append_request& body) {
  for (const log_entry& entry : body.entries) {
    if (entry.index <= commit_) continue;
    const auto known = log_.TermAt(entry.index);
    if (known && *known == entry.term) continue;
    if (known) {
      log_.TruncateFrom(entry.index);
      first_unsaved_ = std::min(first_unsaved_, entry.index);
      InvalidateSyncedAfter(log_.last_index());
    }
    log_.Append(entry);
  }
}

void consensus_node::On(const snapshot_chunk& body, const member_id& from) {
  snapshot_reply reply;
  reply.term = hard_state_.term;
  reply.round = body.round;
  reply.generation = body.generation;
  reply.index = body.index;
  if (body.term < hard_state_.term) return SendAfterPersist(from, reply);
  FollowLeader(body.term, from);
  reply.term = hard_state_.term;
  if (body.index > commit_) {
    const auto result = snapshot_receiver_.AddChunk(body);
    reply.gap = result == snapshot_receiver::chunk_result::kGap;
    reply.received = snapshot_receiver_.received();
    auto whole = snapshot_receiver_.TakeIfComplete();
    if (whole) InstallSnapshot(std::move(*whole));
  }
  reply.installed = body.index <= commit_;
  SendAfterPersist(from, reply);
}

void consensus_node::InstallSnapshot(log_snapshot snapshot) {
  assert(snapshot.index > commit_);
  ReportEvent(event_id::kSnapshotInstalled,
              fmt::format("{} bytes", snapshot.data.size()));
  const revision index = snapshot.index;
  const auto known = log_.TermAt(index);
  const bool log_contains_index =
      known && *known == snapshot.term && first_unsaved_ > index;
  if (log_contains_index) {
    log_.CompactThrough(index);
    compaction_dirty_ = index;
  } else {
    log_.Reset(index, snapshot.term, snapshot.configuration);
    log_reset_dirty_ = true;
    first_unsaved_ = {index.value + 1};
    InvalidateSyncedAfter(index);
  }
  snapshot_ = std::make_shared<const log_snapshot>(std::move(snapshot));
  snapshot_dirty_ = true;
  commit_ = index;
  applied_ = index;
  restore_due_ = true;
  log_bytes_since_snapshot_ = 0;
}

// --- On the leader ---

void consensus_node::AppendLocalEntry(entry_kind kind, std::string payload) {
  assert(role_ == consensus_role::kLeader);
  log_entry entry;
  entry.index = {log_.last_index().value + 1};
  entry.term = hard_state_.term;
  entry.kind = kind;
  entry.payload = std::move(payload);
  uncommitted_bytes_ += EntryBytes(entry);
  log_.Append(std::move(entry));
}

// Only then does the leader's commit index cover all entries that earlier
// leaders committed.
bool consensus_node::HasCommittedInCurrentTerm() const {
  return log_.TermAt(commit_) == hard_state_.term;
}

void consensus_node::AdvanceCommit() {
  std::vector<revision> synced;
  const voter_configuration& configuration = log_.configuration();
  for (const cluster_member& voter : configuration.voters) {
    const auto found = progress_.find(voter.id);
    if (voter.id == self_) {
      synced.push_back(last_synced_);
    } else if (found != progress_.end()) {
      synced.push_back(found->second.match);
    }
  }
  if (synced.size() < configuration.Quorum()) return;
  const auto place =
      synced.begin() + static_cast<std::ptrdiff_t>(configuration.Quorum() - 1);
  std::nth_element(synced.begin(), place, synced.end(), std::greater<>());
  // Entries of older terms are committed only together with a later entry of
  // this term.
  if (*place <= commit_ || log_.TermAt(*place) != hard_state_.term) return;
  commit_ = *place;
  AnswerConfirmedReads();
}

void consensus_node::On(const append_reply& body, const member_id& from) {
  if (body.term > hard_state_.term) return BecomeFollower(body.term);
  if (role_ != consensus_role::kLeader || body.term < hard_state_.term) return;
  const auto found = progress_.find(from);
  if (found == progress_.end()) return;
  follower_progress* progress = &found->second;
  RecordReply(progress, body.round);
  if (body.accepted) {
    if (body.match > log_.last_index()) return;
    progress->Acknowledge(body.match);
    return AdvanceCommit();
  }
  // Of the messages sent from one position, only the first rejection moves the
  // position.
  if (body.generation != progress->generation || progress->snapshot) return;
  progress->ResumeAfter(std::min(body.match, log_.last_index()));
}

void consensus_node::On(const snapshot_reply& body, const member_id& from) {
  if (body.term > hard_state_.term) return BecomeFollower(body.term);
  if (role_ != consensus_role::kLeader || body.term < hard_state_.term) return;
  const auto found = progress_.find(from);
  if (found == progress_.end()) return;
  follower_progress* progress = &found->second;
  RecordReply(progress, body.round);
  const bool current =
      progress->snapshot && progress->snapshot->index == body.index;
  if (!current) return;
  if (body.installed) {
    progress->FinishSnapshot(body.index);
    return AdvanceCommit();
  }
  if (body.generation != progress->generation) return;
  const std::uint64_t size = progress->snapshot->data.size();
  const std::uint64_t received = std::min(body.received, size);
  if (body.gap) {
    progress->snapshot_acknowledged = received;
    progress->snapshot_sent = received;
    ++progress->generation;
  } else if (received > progress->snapshot_acknowledged) {
    progress->snapshot_acknowledged = received;
    progress->snapshot_sent = std::max(progress->snapshot_sent, received);
    progress->snapshot_progressed = true;
  }
}

// Sends the follower all that flow control allows. A follower that needs
// compacted entries receives the newest snapshot first.
void consensus_node::ReplicateTo(const member_id& id,
                                 follower_progress* progress) {
  const bool compacted = progress->next.value <= log_.base().value;
  if (!progress->snapshot && compacted) progress->StartSnapshot(snapshot_);
  if (progress->snapshot) {
    SendSnapshot(id, progress);
  } else {
    SendEntries(id, progress);
  }
  progress->heartbeat_due = false;
}

void consensus_node::SendEntries(const member_id& id,
                                 follower_progress* progress) {
  bool sent = false;
  while (progress->next <= log_.last_index() &&
         progress->in_flight.size() < settings_.max_in_flight_messages) {
    auto entries = log_.Slice(progress->next, kMaxEntriesPerMessage,
                              settings_.max_append_bytes);
    const revision last = entries.back().index;
    SendAppend(id, progress, std::move(entries));
    progress->next = {last.value + 1};
    progress->in_flight.push_back(last);
    sent = true;
  }
  const bool heartbeat_needed =
      progress->heartbeat_due || progress->commit_sent < commit_;
  if (!sent && heartbeat_needed) SendAppend(id, progress, {});
}

void consensus_node::SendAppend(const member_id& id,
                                follower_progress* progress,
                                std::vector<log_entry> entries) {
  append_request request;
  request.term = hard_state_.term;
  request.previous_index = {progress->next.value - 1};
  request.previous_term = *log_.TermAt(request.previous_index);
  request.commit = commit_;
  request.round = round_;
  request.generation = progress->generation;
  request.entries = std::move(entries);
  progress->commit_sent = commit_;
  SendImmediately(id, std::move(request));
}

void consensus_node::SendSnapshot(const member_id& id,
                                  follower_progress* progress) {
  if (progress->heartbeat_due && !progress->snapshot_progressed) {
    // No part was acknowledged since the last heartbeat: resend from the first
    // unacknowledged byte, or start over with the newest snapshot if the
    // follower has not replied for two election timeouts.
    const bool unreachable =
        !progress->last_reply ||
        now_ - *progress->last_reply > 2 * settings_.election_timeout;
    if (unreachable && progress->snapshot != snapshot_) {
      progress->StartSnapshot(snapshot_);
    }
    progress->snapshot_sent = progress->snapshot_acknowledged;
    ++progress->generation;
  }
  if (progress->heartbeat_due) progress->snapshot_progressed = false;
  const log_snapshot& snapshot = *progress->snapshot;
  const std::uint64_t size = snapshot.data.size();
  bool must_send = progress->heartbeat_due || !progress->snapshot_started;
  progress->snapshot_started = true;
  while (must_send ||
         (progress->snapshot_sent < size &&
          progress->snapshot_sent - progress->snapshot_acknowledged <
              settings_.max_in_flight_snapshot_bytes)) {
    const bool all_sent = progress->snapshot_sent == size;
    const std::uint64_t offset =
        all_sent ? progress->snapshot_acknowledged : progress->snapshot_sent;
    snapshot_chunk chunk;
    chunk.term = hard_state_.term;
    chunk.round = round_;
    chunk.generation = progress->generation;
    chunk.index = snapshot.index;
    chunk.index_term = snapshot.term;
    chunk.configuration = snapshot.configuration;
    chunk.total = size;
    chunk.checksum = progress->snapshot_checksum;
    chunk.offset = offset;
    chunk.bytes = snapshot.data.substr(offset, settings_.snapshot_chunk_bytes);
    if (!all_sent) progress->snapshot_sent += chunk.bytes.size();
    must_send = false;
    SendImmediately(id, std::move(chunk));
  }
}

}  // namespace tamaracklatch
