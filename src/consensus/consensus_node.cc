// The member's inputs, outputs and timers. Elections are in
// consensus_election.cc, replication in consensus_replication.cc, founding and
// voter changes in consensus_membership.cc, reads in consensus_reads.cc.
#include "tamaracklatch/consensus/consensus_node.h"

#include <fmt/format.h>

#include <algorithm>
#include <cassert>
#include <iterator>
#include <limits>
#include <utility>

namespace tamaracklatch {
namespace {

constexpr std::chrono::hours kIdle{1};  // when nothing is due
constexpr std::size_t kNoLimit = std::numeric_limits<std::size_t>::max();
// Messages held back while the disk does not answer; the oldest are dropped, as
// if lost on the way.
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
      hard_(std::move(stored.hard)),
      leader_contact_(now - settings_.election_timeout),
      called_until_(now),
      receiver_(settings_.max_snapshot_bytes),
      join_deadline_(now),
      attentive_since_(now),
      quorum_contact_(now),
      heartbeat_deadline_(now),
      next_wire_id_(random_()),
      confirm_deadline_(now) {
  assert(settings_.heartbeat_interval < settings_.election_timeout);
  assert(settings_.heartbeat_interval * 4 <= settings_.voter_silence ||
         settings_.voter_goal == 0);
  while (hard_.disk.value == 0) {
    hard_.disk.value = random_();
    hard_dirty_ = true;
  }
  self_ = {settings_.name, hard_.disk};
  if (stored.truncated_bytes > 0) {
    Report(event_id::kLogTailRepaired,
           fmt::format("{} bytes", stored.truncated_bytes));
  }
  unsaved_ = {1};
  identity_durable_ = !hard_dirty_;
  if (hard_.cluster.value == 0) return;
  role_ = consensus_role::kFollower;
  LoadLog(stored);
  StandSoonAfterStart();
}

void consensus_node::LoadLog(const stored_state& stored) {
  snapshot_ = stored.snapshot ? stored.snapshot
                              : std::make_shared<const log_snapshot>();
  const std::vector<log_entry>& entries = stored.entries;
  revision base = snapshot_->index;
  log_term base_term = snapshot_->term;
  std::size_t first = 0;
  // Entries that reach back behind the snapshot are kept, if they lead to it.
  if (!entries.empty() && entries.front().index <= base) {
    const std::uint64_t offset = base.value - entries.front().index.value;
    const bool leads_to_it =
        offset < entries.size() && entries[offset].term == base_term;
    if (leads_to_it) {
      base = entries.front().index;
      base_term = entries.front().term;
      first = 1;
    } else {
      // A crash came between an installed snapshot and the new start of the
      // log.
      first = entries.size();
      reset_dirty_ = true;
      snapshot_dirty_ = true;
    }
  }
  log_.Reset(base, base_term, snapshot_->configuration);
  for (std::size_t i = first; i < entries.size(); ++i) log_.Append(entries[i]);
  unsaved_ = {log_.last_index().value + 1};
  synced_ = log_.last_index();
  commit_ = snapshot_->index;
  applied_ = snapshot_->index;
  restore_due_ = snapshot_->index.value > 0;
}

void consensus_node::Handle(const consensus_input& input, time_point now) {
  assert(now >= now_);
  // Silence of others and disk while a leader's process stood still says
  // nothing.
  const bool stood_still = now - now_ > 2 * settings_.heartbeat_interval;
  if (role_ == consensus_role::kLeader && stood_still) {
    attentive_since_ = now;
    if (writing_) writing_->since = now;
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
        round_wanted_ = true;
        const bool cut_off =
            now_ - quorum_contact_ > 2 * settings_.election_timeout;
        if (cut_off) return StepDown("no quorum answers");
        if (StorageStalls()) {
          Report(event_id::kStorageStalled,
                 fmt::format("{} ms", (now_ - writing_->since).count() / 1000));
          return StepDown("its disk does not answer");
        }
        ContinueVoterChanges();
      }
      return;
    case consensus_role::kFollower:
    case consensus_role::kPreCandidate:
    case consensus_role::kCandidate:
      ExpireForwardedReads();
      ConfirmStart();
      if (AnnounceDeadline() <= now_) Announce();
      if (now_ >= election_deadline_) StartPreVote();
      return;
  }
}

bool consensus_node::IsForThisMember(const consensus_message& message) {
  if (message.from == self_ || message.to.name != self_.name) return false;
  const bool announces = std::holds_alternative<join_request>(message.body);
  if (announces) {
    const bool foreign = message.cluster.value != 0 &&
                         hard_.cluster.value != 0 &&
                         message.cluster != hard_.cluster;
    return !foreign && (message.to.disk.value == 0 || message.to == self_);
  }
  if (message.to != self_) return false;
  if (std::holds_alternative<join_invitation>(message.body)) {
    return hard_.cluster.value == 0 && message.cluster.value != 0;
  }
  const bool tells_blank = std::holds_alternative<log_exists>(message.body) &&
                           hard_.cluster.value == 0;
  if (tells_blank) return message.cluster.value != 0;
  if (hard_.cluster.value != 0 && message.cluster == hard_.cluster) return true;
  if (hard_.cluster.value != 0 && !mismatch_reported_) {
    mismatch_reported_ = true;
    Report(event_id::kClusterMismatch,
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
  if (blank && message.cluster.value != 0) log_exists_ = true;
  if (const auto* invitation = std::get_if<join_invitation>(&message.body)) {
    return JoinCluster(message.cluster, invitation->founding);
  }
  std::visit(
      [&](const auto& body) {
        using body_type = std::decay_t<decltype(body)>;
        // Done above.
        if constexpr (!std::is_same_v<body_type, join_invitation>) {
          On(body, message.from);
        }
      },
      message.body);
}

void consensus_node::On(const command_proposed& input) {
  if (role_ == consensus_role::kStopped) {
    return Answer(input.id, result_code::kStorageStopped, {});
  }
  if (role_ != consensus_role::kLeader) {
    return Answer(input.id, result_code::kNotLeader, {});
  }
  if (input.command.size() > kMaxCommandBytes) {
    return Answer(input.id, result_code::kCommandTooLarge, {});
  }
  const bool busy = uncommitted_bytes_ + input.command.size() >
                    settings_.max_uncommitted_bytes;
  if (busy) return Answer(input.id, result_code::kLogBusy, {});
  AppendOwn(entry_kind::kCommand, input.command);
  proposals_.push_back({log_.last_index(), input.id});
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
  // A tail of the log stays for followers that lag a little.
  const revision kept = KeptAfter(input.index);
  if (kept > log_.base()) {
    log_.CompactThrough(kept);
    compact_dirty_ = log_.base();
  }
  Report(event_id::kSnapshotTaken, fmt::format("{} bytes", input.data.size()));
}

// A tail of the log stays for followers that lag a little.
revision consensus_node::KeptAfter(revision index) const {
  const revision before =
      log_.IndexBeforeTail(index, settings_.kept_entries, settings_.kept_bytes);
  return std::min(before, revision{unsaved_.value - 1});
}

void consensus_node::On(const batch_persisted& input) {
  if (role_ == consensus_role::kStopped) return;
  if (!writing_ || writing_->number != input.number) return;
  synced_ = writing_->last_index;
  if (writing_->holds_identity) identity_durable_ = true;
  writing_.reset();
  if (role_ == consensus_role::kLeader) AdvanceCommit();
}

// What the disk holds stays good, and the batch is tried again. Meanwhile
// somebody else should lead.
void consensus_node::On(const storage_refused& input) {
  if (role_ == consensus_role::kStopped || !writing_) return;
  if (!writing_->refused) {
    Report(event_id::kStorageStalled, input.reason.reason, input.reason.code);
  }
  writing_->refused = true;
  if (role_ == consensus_role::kLeader) StepDown("its disk refuses writes");
}

bool consensus_node::StorageStalls() const {
  return writing_ && (writing_->refused ||
                      now_ - writing_->since >= settings_.storage_patience);
}

// Entries after `after` are others than those on their way to the disk.
void consensus_node::ForgetUnsynced(revision after) {
  synced_ = std::min(synced_, after);
  if (writing_) writing_->last_index = std::min(writing_->last_index, after);
}

void consensus_node::On(const storage_failed& input) {
  if (role_ == consensus_role::kStopped) return;
  FailPending();
  role_ = consensus_role::kStopped;
  leader_.reset();
  now_messages_.clear();
  durable_messages_.clear();
  behind_write_.clear();
  writing_.reset();
  hard_dirty_ = snapshot_dirty_ = reset_dirty_ = founding_dirty_ = false;
  compact_dirty_.reset();
  restore_due_ = false;
  Report(event_id::kVotingStopped, input.reason.reason, input.reason.code);
}

time_point consensus_node::NextDeadline() const {
  switch (role_) {
    case consensus_role::kStopped:
      return now_ + kIdle;
    case consensus_role::kBlank:
      return join_deadline_;
    case consensus_role::kLeader:
      return heartbeat_deadline_;
    case consensus_role::kFollower:
    case consensus_role::kPreCandidate:
    case consensus_role::kCandidate:
      break;
  }
  time_point next = now_ + kIdle;
  if (MayStand()) next = election_deadline_;
  next = std::min(next, AnnounceDeadline());
  if (!confirmed_ && leader_) next = std::min(next, confirm_deadline_);
  for (const forwarded_read& read : forwarded_) {
    next = std::min(next, read.deadline);
  }
  return next;
}

consensus_status consensus_node::Status() const {
  consensus_status status;
  status.self = self_;
  status.cluster = hard_.cluster;
  status.role = role_;
  status.term = hard_.term;
  status.leader = leader_;
  status.commit = commit_;
  status.applied = applied_;
  status.last_index = log_.last_index();
  status.confirmed = confirmed_;
  status.configuration = log_.configuration();
  for (const auto& [name, id] : waiting_) status.waiting.push_back(id);
  return status;
}

void consensus_node::SendNow(const member_id& to, consensus_body body) {
  now_messages_.push_back({hard_.cluster, self_, to, std::move(body)});
}

void consensus_node::SendDurable(const member_id& to, consensus_body body) {
  durable_messages_.push_back({hard_.cluster, self_, to, std::move(body)});
}

void consensus_node::Answer(std::uint64_t id, result_code code,
                            revision index) {
  outcomes_.emplace_back(proposal_outcome{id, code, index});
}

void consensus_node::AnswerRead(std::uint64_t id, result_code code,
                                revision index) {
  outcomes_.emplace_back(read_outcome{id, code, index});
}

void consensus_node::Report(event_id id, std::string detail, result_code code,
                            const vm_name& peer) {
  event what;
  what.id = id;
  what.at = applied_;
  what.peer = peer;
  what.code = code;
  what.detail = std::move(detail);
  outcomes_.emplace_back(report_event{std::move(what)});
}

void consensus_node::FailPending() {
  for (const pending_proposal& proposal : proposals_) {
    Answer(proposal.id, result_code::kOutcomeUnknown, {});
  }
  proposals_.clear();
  for (const pending_read& read : reads_) {
    if (read.asker) {
      SendNow(*read.asker, read_reply{read.id, false, {}});
    } else {
      AnswerRead(read.id, result_code::kNotLeader, {});
    }
  }
  reads_.clear();
  for (const forwarded_read& read : forwarded_) {
    if (read.id) AnswerRead(*read.id, result_code::kNotLeader, {});
  }
  forwarded_.clear();
}

std::vector<consensus_action> consensus_node::TakeActions(time_point now) {
  assert(now >= now_);
  now_ = now;
  std::vector<consensus_action> actions;
  if (role_ == consensus_role::kLeader) {
    if (round_wanted_) StartRound();
    for (auto& [id, progress] : progress_) SendTo(id, &progress);
  }
  TakeImmediate(&actions);
  TakeDurable(&actions);
  if (restore_due_) {
    restore_due_ = false;
    actions.emplace_back(restore_machine{snapshot_});
  }
  TakeCommitted(&actions);
  for (consensus_action& outcome : outcomes_) {
    actions.push_back(std::move(outcome));
  }
  outcomes_.clear();
  SnapshotIfDue(&actions);
  return actions;
}

void consensus_node::TakeMessages(std::vector<consensus_message>* messages,
                                  std::vector<consensus_action>* actions) {
  for (consensus_message& message : *messages) {
    actions->emplace_back(send_message{std::move(message)});
  }
  messages->clear();
}

// A leader's entries may leave before they are synced here, for its own copy
// counts only later; but nothing of a term or an identity may that is not on
// the disk. Reads tell of neither term nor vote.
void consensus_node::TakeImmediate(std::vector<consensus_action>* actions) {
  const bool identity_moves =
      hard_dirty_ || (writing_ && writing_->holds_identity);
  if (!identity_moves) return TakeMessages(&now_messages_, actions);
  if (!identity_durable_) return;
  const auto reads = std::stable_partition(
      now_messages_.begin(), now_messages_.end(),
      [](const consensus_message& message) {
        return !std::holds_alternative<read_request>(message.body) &&
               !std::holds_alternative<read_reply>(message.body);
      });
  std::vector<consensus_message> free(
      std::make_move_iterator(reads),
      std::make_move_iterator(now_messages_.end()));
  now_messages_.erase(reads, now_messages_.end());
  TakeMessages(&free, actions);
}

// One batch is under way at a time; what comes up meanwhile is the next one.
void consensus_node::TakeDurable(std::vector<consensus_action>* actions) {
  if (!writing_) {
    TakeMessages(&behind_write_, actions);
    TakeFounding(actions);
    if (!TakeBatch(actions)) {
      TakeMessages(&now_messages_, actions);
      return TakeMessages(&durable_messages_, actions);
    }
    behind_write_ = std::exchange(durable_messages_, {});
    for (consensus_message& message : now_messages_) {
      behind_write_.push_back(std::move(message));
    }
    now_messages_.clear();
  }
  for (auto* held : {&now_messages_, &durable_messages_}) {
    if (held->size() <= kMaxHeldMessages) continue;
    const auto over =
        static_cast<std::ptrdiff_t>(held->size() - kMaxHeldMessages);
    held->erase(held->begin(), held->begin() + over);
  }
}

void consensus_node::TakeFounding(std::vector<consensus_action>* actions) {
  if (!founding_dirty_) return;
  founding_dirty_ = false;
  snapshot_dirty_ = false;
  storage_batch identity;
  identity.hard = hard_state{hard_.disk, {}, {}, {}};
  actions->emplace_back(persist_batch{++batch_number_, std::move(identity)});
  storage_batch founding;
  founding.snapshot = snapshot_;
  actions->emplace_back(persist_batch{++batch_number_, std::move(founding)});
}

// Whether a batch is under way from now on.
bool consensus_node::TakeBatch(std::vector<consensus_action>* actions) {
  const bool entries_due = unsaved_ <= log_.last_index();
  const bool due = hard_dirty_ || snapshot_dirty_ || reset_dirty_ ||
                   compact_dirty_ || entries_due;
  if (!due) return false;
  storage_batch batch;
  if (hard_dirty_) batch.hard = hard_;
  if (snapshot_dirty_ || reset_dirty_) batch.snapshot = snapshot_;
  batch.reset_log = reset_dirty_;
  batch.entries = log_.Slice(unsaved_, kNoLimit, kNoLimit);
  batch.compact_before = compact_dirty_;
  writing_ = write_under_way{++batch_number_, now_, hard_dirty_, false,
                             log_.last_index()};
  hard_dirty_ = snapshot_dirty_ = reset_dirty_ = false;
  compact_dirty_.reset();
  unsaved_ = {log_.last_index().value + 1};
  actions->emplace_back(persist_batch{batch_number_, std::move(batch)});
  return true;
}

void consensus_node::TakeCommitted(std::vector<consensus_action>* actions) {
  apply_entries apply;
  while (applied_ < commit_) {
    applied_ = {applied_.value + 1};
    const log_entry& entry = log_.At(applied_);
    const std::size_t bytes = EntryBytes(entry);
    uncommitted_bytes_ -= std::min(uncommitted_bytes_, bytes);
    log_bytes_since_snapshot_ += bytes;
    if (entry.kind == entry_kind::kCommand) apply.entries.push_back(entry);
    if (!proposals_.empty() && proposals_.front().index == applied_) {
      Answer(proposals_.front().id, result_code::kOk, applied_);
      proposals_.pop_front();
    }
    AfterCommitted(entry);
  }
  if (!apply.entries.empty()) actions->emplace_back(std::move(apply));
  if (role_ == consensus_role::kLeader && CommittedInOwnTerm()) {
    confirmed_ = true;
  }
  AnswerForwardedReads();
}

void consensus_node::SnapshotIfDue(std::vector<consensus_action>* actions) {
  if (!snapshot_) return;
  const std::size_t due =
      std::max(settings_.snapshot_log_bytes, snapshot_->data.size());
  if (log_bytes_since_snapshot_ < due) return;
  log_bytes_since_snapshot_ = 0;
  actions->emplace_back(take_snapshot{applied_});
}

}  // namespace tamaracklatch
