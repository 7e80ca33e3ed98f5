// One member of the replicated log, as a state machine without I/O: it takes
// inputs and the current time, and returns actions. The algorithm is Raft.
//
// Elections have a pre-vote round and need a quorum of durable votes. A
// leader that receives no replies from a quorum steps down. A read is served
// after a round of leadership confirmations that began after the read was
// requested. Only entries of the leader's current term are committed by
// counting replicas. Voters change one at a time; a new one first catches up as
// a learner.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "tamaracklatch/consensus/consensus_action.h"
#include "tamaracklatch/consensus/consensus_settings.h"
#include "tamaracklatch/consensus/consensus_types.h"
#include "tamaracklatch/consensus/follower_progress.h"
#include "tamaracklatch/consensus/log_storage.h"
#include "tamaracklatch/consensus/replicated_log.h"
#include "tamaracklatch/consensus/snapshot_receiver.h"
#include "tamaracklatch/core/random.h"
#include "tamaracklatch/core/time.h"

namespace tamaracklatch {

enum class consensus_role : std::uint8_t {
  kBlank,     // belongs to no log yet
  kFollower,  // also a learner or a removed member
  kPreCandidate,
  kCandidate,
  kLeader,
  kStopped,  // permanent: a snapshot could not be restored
};

// Returns the role's name, such as "leader".
const char* ToString(consensus_role role);

// A member's state for operators.
struct consensus_status {
  member_id self;
  cluster_id cluster;
  consensus_role role = consensus_role::kBlank;
  log_term term;
  std::optional<member_id> leader;
  revision commit;      // the last entry known to be committed
  revision applied;     // the last entry passed to the state machine
  revision last_index;  // the last entry of the log
  // Whether it has applied all entries that were committed before it started.
  bool start_confirmed = false;
  voter_configuration configuration;  // the newest, committed or not
  // On a leader: VMs that announced themselves and were not added yet.
  std::vector<member_id> waiting;
};

// Used by consensus_runner, which carries out the actions.
//
// Invariants: applied <= commit <= last index; applied and commit never
// decrease while the process runs; a message that confirms a vote, a term or an
// entry is sent only after these are durable.
class consensus_node {
 public:
  // `stored` is the result of log_storage::Load(). If that is blank, the disk
  // incarnation is drawn from `random`, which must therefore be seeded from a
  // source of true randomness.
  consensus_node(consensus_settings settings, stored_state stored,
                 random_source random, time_point now);

  // Processes one input. `now` must not be less than in an earlier call.
  void Handle(const consensus_input& input, time_point now);

  // Returns the actions that result from all inputs since the last call, in the
  // order in which they must be carried out. Called until it returns none,
  // because carrying out an action may give new inputs.
  std::vector<consensus_action> TakeActions(time_point now);

  // Returns the time by which timer_due must be passed to Handle().
  time_point NextDeadline() const;

  // Returns a copy of the state for operators.
  consensus_status Status() const;
  consensus_role role() const { return role_; }
  // The newest term that this member knows.
  log_term term() const { return hard_state_.term; }
  // The leader of the current term, if known.
  const std::optional<member_id>& leader() const { return leader_; }
  // This member.
  const member_id& self() const { return self_; }
  // The last entry known to be committed.
  revision commit() const { return commit_; }
  // The last entry passed to the state machine.
  revision applied() const { return applied_; }
  // Whether it has applied all entries that were committed before it started.
  bool start_confirmed() const { return start_confirmed_; }
  // The log in memory, including entries that aren't durable or committed yet.
  const replicated_log& log() const { return log_; }

 private:
  // A round of leadership confirmation. It is confirmed when a quorum has
  // replied to messages of this round or a later one.
  struct confirmation_round {
    std::uint64_t number = 0;
    time_point started;
  };
  // A command or voter change appended by this leader and not applied yet.
  struct pending_proposal {
    revision index;
    std::uint64_t id = 0;
  };
  // A blank VM that announced itself to this VM while this one is blank too.
  struct blank_vm {
    member_id id;
    std::uint64_t nonce = 0;  // of its last announcement
    // The nonce of an announcement of this VM that the other one had received.
    std::uint64_t echoed_nonce = 0;
    // Whether that is one of this VM's last two announcements.
    bool fresh = false;
  };
  // The batch that the storage is writing.
  struct pending_write {
    std::uint64_t number = 0;
    time_point since;             // when the write began
    bool has_hard_state = false;  // the batch contains a hard_state
    bool failed = false;          // an attempt failed; the runner retries
    // The last entry that is durable when the write has finished. Lowered when
    // entries of the batch are replaced meanwhile.
    revision last_index;
  };
  // A read that waits for this leader's confirmation round.
  struct pending_read {
    std::uint64_t id = 0;
    std::optional<member_id> requester;  // none: this member
    std::uint64_t round = 0;  // the first round that confirms the read
  };
  // A read requested on this member while another one is the leader.
  struct forwarded_read {
    std::optional<std::uint64_t> id;  // none: the confirmation after a start
    std::uint64_t request_id = 0;     // of the read_request to the leader
    time_point deadline;              // then it fails with kNotLeader
    std::optional<revision> index;    // from the leader's reply
  };

  // Inputs.
  void On(const timer_due& input);
  void On(const message_received& input);
  void On(const command_proposed& input);
  void On(const read_requested& input);
  void On(const voter_change_requested& input);
  void On(const peers_discovered& input);
  void On(const snapshot_taken& input);
  void On(const batch_persisted& input);
  void On(const batch_write_failed& input);
  void On(const snapshot_restore_failed& input);

  // Messages.
  void On(const vote_request& body, const member_id& from);
  void On(const vote_reply& body, const member_id& from);
  void On(const append_request& body, const member_id& from);
  void On(const append_reply& body, const member_id& from);
  void On(const snapshot_chunk& body, const member_id& from);
  void On(const snapshot_reply& body, const member_id& from);
  void On(const join_request& body, const member_id& from);
  void On(const log_exists& body, const member_id& from);
  void On(const read_request& body, const member_id& from);
  void On(const read_reply& body, const member_id& from);
  bool IsForThisMember(const consensus_message& message);

  // Founding and joining.
  void Announce();
  std::set<vm_name> PeerNames() const;
  std::set<vm_name> AnnouncementRecipients() const;
  void AddDiscoveredPeers(const std::vector<vm_name>& names);
  log_exists KnownMembers() const;
  time_point AnnounceDeadline() const;
  void FoundClusterIfAllBlank();
  void JoinCluster(cluster_id cluster, const voter_configuration& founding);
  void HandleAnnouncement(const member_id& sender);
  void SendInvitation(const member_id& blank);

  // Elections.
  bool HasRecentLeaderContact() const;
  bool IsUpToDate(const vote_request& body) const;
  bool MayStartElection() const;
  void StartPreVote();
  void StartElection();
  void RequestVotes(log_term term, bool pre_vote);
  void CountVotes();
  void BecomeLeader();
  void BecomeFollower(log_term term);
  void FollowLeader(log_term term, const member_id& leader);
  void StepDown(const std::string& reason);
  void ResetElectionDeadline();
  void SetElectionRetryDeadline();
  void SetStartupElectionDeadline();

  void LoadLog(const stored_state& stored);
  void FailPendingRequests();

  // Replication, on the follower.
  std::optional<revision> RejectionHint(const append_request& body) const;
  void AppendReceivedEntries(const append_request& body);
  void InstallSnapshot(log_snapshot snapshot);

  // Replication, on the leader.
  void AppendLocalEntry(entry_kind kind, std::string payload);
  void StartConfirmationRound();
  void RecordReply(follower_progress* progress, std::uint64_t round);
  void AdvanceCommit();
  void AdvanceQuorumRound();
  bool HasCommittedInCurrentTerm() const;
  void AnswerConfirmedReads();
  void ReplicateTo(const member_id& id, follower_progress* progress);
  void SendEntries(const member_id& id, follower_progress* progress);
  void SendSnapshot(const member_id& id, follower_progress* progress);
  void SendAppend(const member_id& id, follower_progress* progress,
                  std::vector<log_entry> entries);

  // Voter changes, on the leader.
  bool MayChangeVoters() const;
  std::size_t CountActiveVoters(const voter_configuration& configuration) const;
  bool HasActiveQuorum(const voter_configuration& configuration) const;
  std::optional<voter_configuration> NextPromotionStep(
      const voter_configuration& configuration, const member_id& learner) const;
  void ProposeConfiguration(const voter_configuration& next);
  void ContinueVoterChanges();
  bool HasCaughtUp(const member_id& learner) const;

  // Automatic voter replacement, on the leader.
  time_point LastReplyTime(const member_id& id) const;
  bool IsUnresponsive(const member_id& id) const;
  std::optional<voter_configuration> NextHealingStep(
      const voter_configuration& configuration);
  std::optional<voter_configuration> WithoutLostDisk(
      const voter_configuration& configuration) const;
  std::optional<voter_configuration> WithoutSurplusVoter(
      const voter_configuration& configuration);
  std::optional<voter_configuration> WithNewVoter(
      const voter_configuration& configuration) const;
  std::optional<voter_configuration> WithWaitingVm(
      const voter_configuration& configuration);
  std::optional<voter_configuration> WithoutUnresponsiveLearner(
      const voter_configuration& configuration) const;
  void UpdateTrackedFollowers();

  // Reads on a follower.
  void ForwardRead(std::optional<std::uint64_t> id);
  void RequestStartConfirmation();
  void AnswerForwardedReads();
  void ExpireForwardedReads();

  // Output.
  void SendImmediately(const member_id& to, consensus_body body);
  void SendAfterPersist(const member_id& to, consensus_body body);
  void AnswerProposal(std::uint64_t id, result_code code, revision index);
  void AnswerRead(std::uint64_t id, result_code code, revision index);
  void ReportEvent(event_id id, std::string detail,
                   result_code code = result_code::kOk,
                   const vm_name& peer = {});
  void EmitMessages(std::vector<consensus_message>* messages,
                    std::vector<consensus_action>* actions);
  void EmitImmediateMessages(std::vector<consensus_action>* actions);
  void EmitBatchAndMessages(std::vector<consensus_action>* actions);
  void EmitFoundingBatches(std::vector<consensus_action>* actions);
  bool EmitBatch(std::vector<consensus_action>* actions);
  void InvalidateSyncedAfter(revision after);
  revision CompactionIndex(revision index) const;
  bool IsStorageStalled() const;
  void ApplyCommitted(std::vector<consensus_action>* actions);
  void HandleCommittedEntry(const log_entry& entry);
  void RequestSnapshotIfDue(std::vector<consensus_action>* actions);

  consensus_settings settings_;
  random_source random_;
  time_point now_;

  // Durable state. The members named dirty are the changes that are in no batch
  // yet.
  member_id self_;
  hard_state hard_state_;
  bool hard_state_dirty_ = false;
  replicated_log log_;
  shared_snapshot snapshot_;  // the newest; none while blank
  bool snapshot_dirty_ = false;
  bool log_reset_dirty_ = false;  // the log was reset to the snapshot's index
  // The VM has just joined a log. The first snapshot must become durable before
  // the cluster does.
  bool founding_dirty_ = false;
  std::optional<revision> compaction_dirty_;  // the new base of the log
  revision first_unsaved_;  // the first entry not yet in a batch
  revision last_synced_;    // the last durable entry
  std::optional<pending_write> pending_write_;
  std::uint64_t batch_number_ = 0;  // of the newest batch
  bool identity_durable_ = false;   // the disk incarnation and the cluster

  revision commit_;
  revision applied_;
  bool restore_due_ = false;  // restore the snapshot before applying
  std::size_t log_bytes_since_snapshot_ = 0;

  consensus_role role_ = consensus_role::kBlank;
  std::optional<member_id> leader_;
  time_point leader_contact_;  // last message from a leader, or when joined
  time_point election_deadline_;
  // Until then this member may start elections although it isn't a voter.
  time_point candidacy_allowed_until_;
  std::set<member_id> granted_votes_;  // of this election or pre-vote
  snapshot_receiver snapshot_receiver_;

  // Announcements, while blank or possibly not a member.
  time_point join_deadline_;  // of the next announcement
  std::map<vm_name, blank_vm> blank_vms_;
  // Kept after joining, for a later time as a non-member.
  std::set<vm_name> discovered_peers_;
  std::uint64_t last_nonce_ = 0;      // of the last announcement
  std::uint64_t previous_nonce_ = 0;  // of the one before
  // A member reported that a log exists, so this VM must not found one.
  bool existing_log_seen_ = false;

  // Leader only.
  std::map<member_id, follower_progress> progress_;
  std::uint64_t round_ = 0;                // the newest confirmation round
  std::uint64_t quorum_round_ = 0;         // the newest that a quorum confirmed
  std::deque<confirmation_round> rounds_;  // from quorum_round_ on
  // When it became the leader, or when its process last resumed after a pause.
  time_point uninterrupted_since_;
  // When quorum_round_ started, or when it became the leader.
  time_point quorum_contact_;
  bool round_requested_ = false;  // TakeActions() starts a round
  time_point heartbeat_deadline_;
  std::size_t uncommitted_bytes_ = 0;  // of entries not applied yet
  std::deque<pending_proposal> pending_proposals_;  // sorted by index
  std::vector<pending_read> pending_reads_;
  // Announced VMs that are not in the configuration yet.
  std::map<vm_name, member_id> waiting_vms_;

  // Reads through another leader, and the confirmation after a start.
  std::vector<forwarded_read> forwarded_reads_;
  // Starts at a random number, so that a reply to a request from before a
  // restart doesn't match a request of this run.
  std::uint64_t next_request_id_;
  time_point start_confirmation_deadline_;  // of the next request
  bool start_confirmed_ = false;

  // Output since the last TakeActions().
  std::vector<consensus_message> immediate_messages_;
  // Sent when all changes up to now are durable, that is after the next batch.
  std::vector<consensus_message> messages_for_next_batch_;
  // Sent when `pending_write_` has finished.
  std::vector<consensus_message> messages_behind_write_;
  std::vector<consensus_action> outcomes_;  // outcomes and events
  bool mismatch_reported_ = false;          // kClusterMismatch, once in a run
};

}  // namespace tamaracklatch
