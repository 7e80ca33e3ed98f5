// Inputs, outputs and timers of consensus_node. Elections are in
// consensus_election.cc, replication in consensus_replication.cc, founding and
// voter changes in consensus_membership.cc, automatic voter replacement in
// consensus_healing.cc, reads in consensus_reads.cc.
#include "tamaracklatch/consensus/consensus_node.h"

#include <fmt/format.h>

#include <algorithm>
#include <cassert>
#include <iterator>
#include <limits>
#include <utility>

namespace tamaracklatch {
namespace {

constexpr std::chrono::hours kIdleWait{1};  // longest wait when no timer is set
constexpr std::size_t kNoLimit = std::numeric_limits<std::size_t>::max();
// Messages withheld while a storage write is in progress. Beyond this number
// the oldest are dropped, which the protocol tolerates like network loss.
constexpr std::size_t kMaxHeldMessages = 256;

}  // namespace

const char* ToString(consensus_role role) {
  switch (role) {
    case consensus_role::kBlank:
      return "blank";
    case consensus_role::kFollower:
      return "follower";
    case consensus_role::kPreCandidate:
      return "pre_candidate";
    case consensus_role::kCandidate:
      return "candidate";
    case consensus_role::kLeader:
      return "leader";
    case consensus_role::kStopped:
      return "stopped";
  }
  return "unknown";
}

consensus_node::consensus_node(consensus_settings settings, stored_state stored,
                               random_source random, time_point now)
    : settings_(std::move(settings)),
      random_(random),
      now_(now),
      hard_state_(std::move(stored.hard)),
      leader_contact_(now - settings_.election_timeout),
      candidacy_allowed_until_(now),
      snapshot_receiver_(settings_.max_snapshot_bytes),
      join_deadline_(now),
      uninterrupted_since_(now),
      quorum_contact_(now),
      heartbeat_deadline_(now),
      next_request_id_(random_()),
      start_confirmation_deadline_(now) {
  assert(settings_.heartbeat_interval < settings_.election_timeout);
  assert(settings_.heartbeat_interval * 4 <= settings_.voter_reply_timeout ||
         settings_.desired_voters == 0);
  while (hard_state_.disk.value == 0) {
    hard_state_.disk.value = random_();
    hard_state_dirty_ = true;
  }
  self_ = {settings_.name, hard_state_.disk};
  if (stored.truncated_bytes > 0) {
    ReportEvent(event_id::kLogTailRepaired,
                fmt::format("{} bytes", stored.truncated_bytes));
  }
  first_unsaved_ = {1};
  identity_durable_ = !hard_state_dirty_;
  if (hard_state_.cluster.value == 0) return;
  role_ = consensus_role::kFollower;
  LoadLog(stored);
  SetStartupElectionDeadline();
}

// Restores the log and the snapshot of a VM that belongs to a log.
void consensus_node::LoadLog(const stored_state& stored) {
  snapshot_ = stored.snapshot ? stored.snapshot
                              : std::make_shared<const log_snapshot>();
  const std::vector<log_entry>& entries = stored.entries;
  revision base = snapshot_->index;
  log_term base_term = snapshot_->term;
  std::size_t first = 0;
  // Entries from before the snapshot's index are kept if the log contains the
  // snapshot's last entry.
  if (!entries.empty() && entries.front().index <= base) {
    const std::uint64_t offset = base.value - entries.front().index.value;
    const bool contains_snapshot_entry =
        offset < entries.size() && entries[offset].term == base_term;
    if (contains_snapshot_entry) {
      base = entries.front().index;
      base_term = entries.front().term;
      first = 1;
    } else {
      // The process crashed after a snapshot was installed and before the log
      // was reset to it.
      first = entries.size();
      log_reset_dirty_ = true;
      snapshot_dirty_ = true;
    }
  }
  log_.Reset(base, base_term, snapshot_->configuration);
  for (std::size_t i = first; i < entries.size(); ++i) log_.Append(entries[i]);
  first_unsaved_ = {log_.last_index().value + 1};
  last_synced_ = log_.last_index();
  commit_ = snapshot_->index;
  applied_ = snapshot_->index;
  restore_due_ = snapshot_->index.value > 0;
}

void consensus_node::Handle(const consensus_input& input, time_point now) {
  assert(now >= now_);
  // While a leader's process was paused, missing replies and an unfinished
  // write say nothing about the followers or the disk, so their timeouts
  // restart.
  const bool process_was_paused = now - now_ > 2 * settings_.heartbeat_interval;
  if (role_ == consensus_role::kLeader && process_was_paused) {
    uninterrupted_since_ = now;
    if (pending_write_) pending_write_->since = now;
  }
  now_ = now;
  std::visit([this](const auto& typed) { On(typed); }, input);
}

void consensus_node::On(const timer_due& /*input*/) {
  switch (role_) {
    case consensus_role::kStopped:
      return;
    case consensus_role::kBlank:
      if (now_ >= join_deadline_) Announce();
      return;
    case consensus_role::kLeader:
      if (now_ >= heartbeat_deadline_) {
        round_requested_ = true;
        const bool cut_off =
            now_ - quorum_contact_ > 2 * settings_.election_timeout;
        if (cut_off) return StepDown("lost contact with a quorum");
        if (IsStorageStalled()) {
          ReportEvent(
              event_id::kStorageStalled,
              fmt::format("{} ms",
                          (now_ - pending_write_->since).count() / 1000));
          return StepDown("storage write timed out");
        }
        ContinueVoterChanges();
      }
      return;
    case consensus_role::kFollower:
    case consensus_role::kPreCandidate:
    case consensus_role::kCandidate:
      ExpireForwardedReads();
      RequestStartConfirmation();
      if (AnnounceDeadline() <= now_) Announce();
      if (now_ >= election_deadline_) StartPreVote();
      return;
  }
}

// Whether to process the message. A message of another cluster is dropped, and
// the first one reported.
bool consensus_node::IsForThisMember(const consensus_message& message) {
  if (message.from == self_ || message.to.name != self_.name) return false;
  const bool is_announcement =
      std::holds_alternative<join_request>(message.body);
  if (is_announcement) {
    const bool other_cluster = message.cluster.value != 0 &&
                               hard_state_.cluster.value != 0 &&
                               message.cluster != hard_state_.cluster;
    return !other_cluster &&
           (message.to.disk.value == 0 || message.to == self_);
  }
  if (message.to != self_) return false;
  if (std::holds_alternative<join_invitation>(message.body)) {
    return hard_state_.cluster.value == 0 && message.cluster.value != 0;
  }
  const bool notifies_blank =
      std::holds_alternative<log_exists>(message.body) &&
      hard_state_.cluster.value == 0;
  if (notifies_blank) return message.cluster.value != 0;
  if (hard_state_.cluster.value != 0 && message.cluster == hard_state_.cluster)
    return true;
  if (hard_state_.cluster.value != 0 && !mismatch_reported_) {
    mismatch_reported_ = true;
    ReportEvent(event_id::kClusterMismatch,
                fmt::format("{:016x}", message.cluster.value), result_code::kOk,
                message.from.name);
  }
  return false;
}

void consensus_node::On(const message_received& input) {
  if (role_ == consensus_role::kStopped) return;
  const consensus_message& message = input.message;
  if (!IsForThisMember(message)) return;
  const bool blank = role_ == consensus_role::kBlank;
  if (blank && message.cluster.value != 0) existing_log_seen_ = true;
  if (const auto* invitation = std::get_if<join_invitation>(&message.body)) {
    return JoinCluster(message.cluster, invitation->founding);
  }
  std::visit(
      [&](const auto& body) {
        using body_type = std::decay_t<decltype(body)>;
        // An invitation was handled above.
        if constexpr (!std::is_same_v<body_type, join_invitation>) {
          On(body, message.from);
        }
      },
      message.body);
}

void consensus_node::On(const command_proposed& input) {
  if (role_ == consensus_role::kStopped) {
    return AnswerProposal(input.id, result_code::kStorageStopped, {});
  }
  if (role_ != consensus_role::kLeader) {
    return AnswerProposal(input.id, result_code::kNotLeader, {});
  }
  if (input.command.size() > kMaxCommandBytes) {
    return AnswerProposal(input.id, result_code::kCommandTooLarge, {});
  }
  const bool busy = uncommitted_bytes_ + input.command.size() >
                    settings_.max_uncommitted_bytes;
  if (busy) return AnswerProposal(input.id, result_code::kLogBusy, {});
  AppendLocalEntry(entry_kind::kCommand, input.command);
  pending_proposals_.push_back({log_.last_index(), input.id});
}

void consensus_node::On(const snapshot_taken& input) {
  if (role_ == consensus_role::kStopped) return;
  if (snapshot_ && input.index <= snapshot_->index) return;
  const auto term = log_.TermAt(input.index);
  assert(term && input.index <= applied_);
  log_bytes_since_snapshot_ = 0;
  snapshot_ = std::make_shared<const log_snapshot>(log_snapshot{
      input.index, *term, log_.ConfigurationAt(input.index), input.data});
  snapshot_dirty_ = true;
  const revision base = CompactionIndex(input.index);
  if (base > log_.base()) {
    log_.CompactThrough(base);
    compaction_dirty_ = log_.base();
  }
  ReportEvent(event_id::kSnapshotTaken,
              fmt::format("{} bytes", input.data.size()));
}

// Returns the new base of the log after a snapshot at `index`. The newest
// entries stay for followers that are slightly behind, and so do entries that
// are in no batch yet.
revision consensus_node::CompactionIndex(revision index) const {
  const revision before = log_.IndexBeforeTail(
      index, settings_.retained_entries, settings_.retained_bytes);
  return std::min(before, revision{first_unsaved_.value - 1});
}

void consensus_node::On(const batch_persisted& input) {
  if (role_ == consensus_role::kStopped) return;
  if (!pending_write_ || pending_write_->number != input.number) return;
  last_synced_ = pending_write_->last_index;
  if (pending_write_->has_hard_state) identity_durable_ = true;
  pending_write_.reset();
  if (role_ == consensus_role::kLeader) AdvanceCommit();
}

// The runner retries the batch; what is already durable stays valid. Another
// member should lead meanwhile.
void consensus_node::On(const batch_write_failed& input) {
  if (role_ == consensus_role::kStopped || !pending_write_) return;
  if (!pending_write_->failed) {
    ReportEvent(event_id::kStorageStalled, input.reason.reason,
                input.reason.code);
  }
  pending_write_->failed = true;
  if (role_ == consensus_role::kLeader) StepDown("storage write failed");
}

// Whether the write in progress has failed or exceeded its timeout.
bool consensus_node::IsStorageStalled() const {
  return pending_write_ &&
         (pending_write_->failed ||
          now_ - pending_write_->since >= settings_.storage_write_timeout);
}

// Called when entries after `after` were removed from the log: copies of them
// that are on the disk, or in the write in progress, no longer count as synced.
void consensus_node::InvalidateSyncedAfter(revision after) {
  last_synced_ = std::min(last_synced_, after);
  if (pending_write_)
    pending_write_->last_index = std::min(pending_write_->last_index, after);
}

void consensus_node::On(const snapshot_restore_failed& input) {
  if (role_ == consensus_role::kStopped) return;
  FailPendingRequests();
  role_ = consensus_role::kStopped;
  leader_.reset();
  immediate_messages_.clear();
  messages_for_next_batch_.clear();
  messages_behind_write_.clear();
  pending_write_.reset();
  hard_state_dirty_ = snapshot_dirty_ = log_reset_dirty_ = founding_dirty_ =
      false;
  compaction_dirty_.reset();
  restore_due_ = false;
  ReportEvent(event_id::kVotingStopped, input.reason.reason, input.reason.code);
}

time_point consensus_node::NextDeadline() const {
  switch (role_) {
    case consensus_role::kStopped:
      return now_ + kIdleWait;
    case consensus_role::kBlank:
      return join_deadline_;
    case consensus_role::kLeader:
      return heartbeat_deadline_;
    case consensus_role::kFollower:
    case consensus_role::kPreCandidate:
    case consensus_role::kCandidate:
      break;
  }
  time_point next = now_ + kIdleWait;
  if (MayStartElection()) next = election_deadline_;
  next = std::min(next, AnnounceDeadline());
  if (!start_confirmed_ && leader_)
    next = std::min(next, start_confirmation_deadline_);
  for (const forwarded_read& read : forwarded_reads_) {
    next = std::min(next, read.deadline);
  }
  return next;
}

consensus_status consensus_node::Status() const {
  consensus_status status;
  status.self = self_;
  status.cluster = hard_state_.cluster;
  status.role = role_;
  status.term = hard_state_.term;
  status.leader = leader_;
  status.commit = commit_;
  status.applied = applied_;
  status.last_index = log_.last_index();
  status.start_confirmed = start_confirmed_;
  status.configuration = log_.configuration();
  for (const auto& [name, id] : waiting_vms_) status.waiting.push_back(id);
  return status;
}

void consensus_node::SendImmediately(const member_id& to, consensus_body body) {
  immediate_messages_.push_back(
      {hard_state_.cluster, self_, to, std::move(body)});
}

void consensus_node::SendAfterPersist(const member_id& to,
                                      consensus_body body) {
  messages_for_next_batch_.push_back(
      {hard_state_.cluster, self_, to, std::move(body)});
}

void consensus_node::AnswerProposal(std::uint64_t id, result_code code,
                                    revision index) {
  outcomes_.emplace_back(proposal_outcome{id, code, index});
}

void consensus_node::AnswerRead(std::uint64_t id, result_code code,
                                revision index) {
  outcomes_.emplace_back(read_outcome{id, code, index});
}

void consensus_node::ReportEvent(event_id id, std::string detail,
                                 result_code code, const vm_name& peer) {
  event reported;
  reported.id = id;
  reported.at = applied_;
  reported.peer = peer;
  reported.code = code;
  reported.detail = std::move(detail);
  outcomes_.emplace_back(report_event{std::move(reported)});
}

// Called when the leader changes or the node stops: this member can no longer
// answer the proposals and reads in progress.
void consensus_node::FailPendingRequests() {
  for (const pending_proposal& proposal : pending_proposals_) {
    AnswerProposal(proposal.id, result_code::kOutcomeUnknown, {});
  }
  pending_proposals_.clear();
  for (const pending_read& read : pending_reads_) {
    if (read.requester) {
      SendImmediately(*read.requester, read_reply{read.id, false, {}});
    } else {
      AnswerRead(read.id, result_code::kNotLeader, {});
    }
  }
  pending_reads_.clear();
  for (const forwarded_read& read : forwarded_reads_) {
    if (read.id) AnswerRead(*read.id, result_code::kNotLeader, {});
  }
  forwarded_reads_.clear();
}

std::vector<consensus_action> consensus_node::TakeActions(time_point now) {
  assert(now >= now_);
  now_ = now;
  std::vector<consensus_action> actions;
  if (role_ == consensus_role::kLeader) {
    if (round_requested_) StartConfirmationRound();
    for (auto& [id, progress] : progress_) ReplicateTo(id, &progress);
  }
  EmitImmediateMessages(&actions);
  EmitBatchAndMessages(&actions);
  if (restore_due_) {
    restore_due_ = false;
    actions.emplace_back(restore_state_machine{snapshot_});
  }
  ApplyCommitted(&actions);
  for (consensus_action& outcome : outcomes_) {
    actions.push_back(std::move(outcome));
  }
  outcomes_.clear();
  RequestSnapshotIfDue(&actions);
  return actions;
}

// Moves the messages into send_message actions.
void consensus_node::EmitMessages(std::vector<consensus_message>* messages,
                                  std::vector<consensus_action>* actions) {
  for (consensus_message& message : *messages) {
    actions->emplace_back(send_message{std::move(message)});
  }
  messages->clear();
}

// A leader may send entries before they are durable here, because its own copy
// counts towards the quorum only once it is durable. Messages that depend on a
// term, a disk incarnation or a cluster that isn't durable yet are withheld.
// Read messages depend on no term or vote.
void consensus_node::EmitImmediateMessages(
    std::vector<consensus_action>* actions) {
  const bool hard_state_pending =
      hard_state_dirty_ || (pending_write_ && pending_write_->has_hard_state);
  if (!hard_state_pending) return EmitMessages(&immediate_messages_, actions);
  if (!identity_durable_) return;
  const auto reads = std::stable_partition(
      immediate_messages_.begin(), immediate_messages_.end(),
      [](const consensus_message& message) {
        return !std::holds_alternative<read_request>(message.body) &&
               !std::holds_alternative<read_reply>(message.body);
      });
  std::vector<consensus_message> reads_to_send(
      std::make_move_iterator(reads),
      std::make_move_iterator(immediate_messages_.end()));
  immediate_messages_.erase(reads, immediate_messages_.end());
  EmitMessages(&reads_to_send, actions);
}

// Only one batch is written at a time. Changes that arise meanwhile form the
// next batch.
void consensus_node::EmitBatchAndMessages(
    std::vector<consensus_action>* actions) {
  if (!pending_write_) {
    EmitMessages(&messages_behind_write_, actions);
    EmitFoundingBatches(actions);
    if (!EmitBatch(actions)) {
      EmitMessages(&immediate_messages_, actions);
      return EmitMessages(&messages_for_next_batch_, actions);
    }
    messages_behind_write_ = std::exchange(messages_for_next_batch_, {});
    for (consensus_message& message : immediate_messages_) {
      messages_behind_write_.push_back(std::move(message));
    }
    immediate_messages_.clear();
  }
  for (auto* held : {&immediate_messages_, &messages_for_next_batch_}) {
    if (held->size() <= kMaxHeldMessages) continue;
    const auto over =
        static_cast<std::ptrdiff_t>(held->size() - kMaxHeldMessages);
    held->erase(held->begin(), held->begin() + over);
  }
}

// After joining a log, makes the disk incarnation durable first, then the first
// snapshot; the batch after these contains the cluster.
void consensus_node::EmitFoundingBatches(
    std::vector<consensus_action>* actions) {
  if (!founding_dirty_) return;
  founding_dirty_ = false;
  snapshot_dirty_ = false;
  storage_batch identity;
  identity.hard = hard_state{hard_state_.disk, {}, {}, {}};
  actions->emplace_back(persist_batch{++batch_number_, std::move(identity)});
  storage_batch founding;
  founding.snapshot = snapshot_;
  actions->emplace_back(persist_batch{++batch_number_, std::move(founding)});
}

// Emits a batch of all changes that are in no batch yet. Returns false if there
// are none.
bool consensus_node::EmitBatch(std::vector<consensus_action>* actions) {
  const bool entries_due = first_unsaved_ <= log_.last_index();
  const bool due = hard_state_dirty_ || snapshot_dirty_ || log_reset_dirty_ ||
                   compaction_dirty_ || entries_due;
  if (!due) return false;
  storage_batch batch;
  if (hard_state_dirty_) batch.hard = hard_state_;
  if (snapshot_dirty_ || log_reset_dirty_) batch.snapshot = snapshot_;
  batch.reset_log = log_reset_dirty_;
  batch.entries = log_.Slice(first_unsaved_, kNoLimit, kNoLimit);
  batch.compact_before = compaction_dirty_;
  pending_write_ = pending_write{++batch_number_, now_, hard_state_dirty_,
                                 false, log_.last_index()};
  hard_state_dirty_ = snapshot_dirty_ = log_reset_dirty_ = false;
  compaction_dirty_.reset();
  first_unsaved_ = {log_.last_index().value + 1};
  actions->emplace_back(persist_batch{batch_number_, std::move(batch)});
  return true;
}

// Applies committed entries, and answers the proposals and reads that waited
// for them.
void consensus_node::ApplyCommitted(std::vector<consensus_action>* actions) {
  apply_entries apply;
  while (applied_ < commit_) {
    applied_ = {applied_.value + 1};
    const log_entry& entry = log_.At(applied_);
    const std::size_t bytes = EntryBytes(entry);
    uncommitted_bytes_ -= std::min(uncommitted_bytes_, bytes);
    log_bytes_since_snapshot_ += bytes;
    if (entry.kind == entry_kind::kCommand) apply.entries.push_back(entry);
    if (!pending_proposals_.empty() &&
        pending_proposals_.front().index == applied_) {
      AnswerProposal(pending_proposals_.front().id, result_code::kOk, applied_);
      pending_proposals_.pop_front();
    }
    HandleCommittedEntry(entry);
  }
  if (!apply.entries.empty()) actions->emplace_back(std::move(apply));
  if (role_ == consensus_role::kLeader && HasCommittedInCurrentTerm()) {
    start_confirmed_ = true;
  }
  AnswerForwardedReads();
}

void consensus_node::RequestSnapshotIfDue(
    std::vector<consensus_action>* actions) {
  if (!snapshot_) return;
  const std::size_t due =
      std::max(settings_.snapshot_log_bytes, snapshot_->data.size());
  if (log_bytes_since_snapshot_ < due) return;
  log_bytes_since_snapshot_ = 0;
  actions->emplace_back(take_snapshot{applied_});
}

}  // namespace tamaracklatch
