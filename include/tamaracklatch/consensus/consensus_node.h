// One member of the replicated log, without I/O: inputs and `now` go in,
// actions come out.
//
// Elections have a pre-vote and need a quorum of synced votes. A leader that
// hears from no quorum steps down. Reads are served after a round of
// confirmations that began after they were asked. Only entries of
// the leader's own term are committed by counting. Voters change one at a time,
// after a newcomer has caught up as a learner.
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
  kBlank,  // belongs to no log yet
  kFollower,
  kPreCandidate,
  kCandidate,
  kLeader,
  kStopped,  // its state could not be restored; it does nothing any more
};

// The role's name: "leader".
const char* ToString(consensus_role role);

// What an operator sees of a member.
struct consensus_status {
  member_id self;
  cluster_id cluster;
  consensus_role role = consensus_role::kBlank;
  log_term term;
  std::optional<member_id> leader;
  revision commit;
  revision applied;
  revision last_index;
  bool confirmed =
      false;  // has applied all that was accepted before it started
  voter_configuration configuration;
  std::vector<member_id> waiting;  // blank VMs that no voter change named yet
};

// Invariants: applied <= commit <= last index, and all three rise within one
// life; a vote, a term and an entry are answered for only after they are
// durable.
class consensus_node {
 public:
  // `stored` is what the storage holds; a blank one draws a disk incarnation
  // from `random`, which must be seeded from true randomness.
  consensus_node(consensus_settings settings, stored_state stored,
                 random_source random, time_point now);

  // Takes one input. `now` never goes back.
  void Handle(const consensus_input& input, time_point now);

  // What is to be done for all inputs since the last call, in this order.
  std::vector<consensus_action> TakeActions(time_point now);

  // When timer_due must come, at the latest.
  time_point NextDeadline() const;

  consensus_status Status() const;
  consensus_role role() const { return role_; }
  log_term term() const { return hard_.term; }
  const std::optional<member_id>& leader() const { return leader_; }
  const member_id& self() const { return self_; }
  revision commit() const { return commit_; }
  revision applied() const { return applied_; }
  bool confirmed() const { return confirmed_; }
  const replicated_log& log() const { return log_; }

 private:
  struct confirmation_round {
    std::uint64_t number = 0;
    time_point started;
  };
  struct pending_proposal {
    revision index;
    std::uint64_t id = 0;
  };
  // A blank VM that announced itself to this blank one.
  struct blank_peer {
    member_id id;
    std::uint64_t nonce = 0;   // of its last announcement
    std::uint64_t echoed = 0;  // the announcement of this VM that it had heard
    bool fresh = false;        // that was one of the last two
  };
  // The batch that the storage works on.
  struct write_under_way {
    std::uint64_t number = 0;
    time_point since;
    bool holds_identity = false;  // it writes term, vote or cluster
    bool refused = false;
    revision last_index;  // of the log as far as it agrees with the batch
  };
  // A read that this leader must confirm, for itself or for a follower.
  struct pending_read {
    std::uint64_t id = 0;
    std::optional<member_id> asker;
    std::uint64_t round = 0;
  };
  // A read asked here while another VM leads.
  struct forwarded_read {
    std::optional<std::uint64_t> id;  // none: the confirmation after a start
    std::uint64_t wire_id = 0;
    time_point deadline;
    std::optional<revision> index;  // once the leader has told
  };

  // Inputs.
  void On(const timer_due& input);
  void On(const message_received& input);
  void On(const command_proposed& input);
  void On(const read_asked& input);
  void On(const voter_change_asked& input);
  void On(const peers_learned& input);
  void On(const snapshot_taken& input);
  void On(const batch_persisted& input);
  void On(const storage_refused& input);
  void On(const storage_failed& input);

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
  std::set<vm_name> AnnouncedTo() const;
  void LearnPeers(const std::vector<vm_name>& names);
  log_exists MembersKnown() const;
  time_point AnnounceDeadline() const;
  void FoundIfAllAreBlank();
  void JoinCluster(cluster_id cluster, const voter_configuration& founding);
  void AdmitBlank(const member_id& blank);
  void Invite(const member_id& blank);

  // Elections.
  bool WithinLeaderPromise() const;
  bool IsUpToDate(const vote_request& body) const;
  bool MayStand() const;
  void StartPreVote();
  void StartElection();
  void AskForVotes(log_term term, bool pre);
  void CountVotes();
  void BecomeLeader();
  void BecomeFollower(log_term term);
  void FollowLeader(log_term term, const member_id& leader);
  void StepDown(const std::string& why);
  void ResetElectionDeadline();
  void RetryElectionSoon();
  void StandSoonAfterStart();

  void LoadLog(const stored_state& stored);
  void FailPending();

  // Replication, on the follower.
  std::optional<revision> RefusalHint(const append_request& body) const;
  void TakeEntries(const append_request& body);
  void InstallSnapshot(log_snapshot snapshot);

  // Replication, on the leader.
  void AppendOwn(entry_kind kind, std::string payload);
  void StartRound();
  void HearFrom(follower_progress* progress, std::uint64_t round);
  void AdvanceCommit();
  void AdvanceQuorumRound();
  bool CommittedInOwnTerm() const;
  void AnswerReads();
  void SendTo(const member_id& id, follower_progress* progress);
  void SendEntries(const member_id& id, follower_progress* progress);
  void SendSnapshot(const member_id& id, follower_progress* progress);
  void SendAppend(const member_id& id, follower_progress* progress,
                  std::vector<log_entry> entries);

  // Voter changes, on the leader.
  bool MayChangeVoters() const;
  std::size_t ActiveIn(const voter_configuration& configuration) const;
  bool ActiveQuorumIn(const voter_configuration& configuration) const;
  std::optional<voter_configuration> NextStepFor(
      const voter_configuration& configuration, const member_id& learner) const;
  void ProposeConfiguration(const voter_configuration& next);
  void ContinueVoterChanges();
  bool HasCaughtUp(const member_id& learner) const;

  // Voters that heal themselves, on the leader.
  time_point LastHeard(const member_id& id) const;
  bool IsSilent(const member_id& id) const;
  std::optional<voter_configuration> HealingStep(
      const voter_configuration& configuration);
  std::optional<voter_configuration> WithoutLostDisk(
      const voter_configuration& configuration) const;
  std::optional<voter_configuration> WithoutSurplusVoter(
      const voter_configuration& configuration);
  std::optional<voter_configuration> WithNewVoter(
      const voter_configuration& configuration) const;
  std::optional<voter_configuration> WithWaiting(
      const voter_configuration& configuration);
  std::optional<voter_configuration> WithoutSilentLearner(
      const voter_configuration& configuration) const;
  void MatchProgressToConfiguration();

  // Reads on a follower.
  void ForwardRead(std::optional<std::uint64_t> id);
  void ConfirmStart();
  void AnswerForwardedReads();
  void ExpireForwardedReads();

  // Output.
  void SendNow(const member_id& to, consensus_body body);
  void SendDurable(const member_id& to, consensus_body body);
  void Answer(std::uint64_t id, result_code code, revision index);
  void AnswerRead(std::uint64_t id, result_code code, revision index);
  void Report(event_id id, std::string detail,
              result_code code = result_code::kOk, const vm_name& peer = {});
  void TakeMessages(std::vector<consensus_message>* messages,
                    std::vector<consensus_action>* actions);
  void TakeImmediate(std::vector<consensus_action>* actions);
  void TakeDurable(std::vector<consensus_action>* actions);
  void TakeFounding(std::vector<consensus_action>* actions);
  bool TakeBatch(std::vector<consensus_action>* actions);
  void ForgetUnsynced(revision after);
  revision KeptAfter(revision index) const;
  bool StorageStalls() const;
  void TakeCommitted(std::vector<consensus_action>* actions);
  void AfterCommitted(const log_entry& entry);
  void SnapshotIfDue(std::vector<consensus_action>* actions);

  consensus_settings settings_;
  random_source random_;
  time_point now_;

  // Durable state and what of it is not on the disk yet.
  member_id self_;
  hard_state hard_;
  bool hard_dirty_ = false;
  replicated_log log_;
  shared_snapshot snapshot_;  // the newest; none before the founding
  bool snapshot_dirty_ = false;
  bool reset_dirty_ = false;     // the log starts again after the snapshot
  bool founding_dirty_ = false;  // the snapshot must be durable before the
                                 // cluster is
  std::optional<revision> compact_dirty_;
  revision unsaved_;  // the first entry not yet in a batch
  revision synced_;   // the last durable entry
  std::optional<write_under_way> writing_;
  std::uint64_t batch_number_ = 0;  // of the newest batch
  bool identity_durable_ = false;   // disk and cluster

  revision commit_;
  revision applied_;
  bool restore_due_ = false;  // the machine needs the snapshot first
  std::size_t log_bytes_since_snapshot_ = 0;

  consensus_role role_ = consensus_role::kBlank;
  std::optional<member_id> leader_;
  time_point leader_contact_;  // the last message from a leader of our term
  time_point election_deadline_;
  time_point called_until_;  // it may stand though it is no voter
  std::set<member_id> votes_;
  snapshot_receiver receiver_;

  // Blank only.
  time_point join_deadline_;
  std::map<vm_name, blank_peer> blank_peers_;
  std::set<vm_name> learned_peers_;  // kept for later lives as a non-member
  std::uint64_t nonce_ = 0;          // of the last announcement
  std::uint64_t previous_nonce_ = 0;
  bool log_exists_ = false;  // some member said so: it must not found one

  // Leader only.
  std::map<member_id, follower_progress> progress_;
  std::uint64_t round_ = 0;
  std::uint64_t quorum_round_ = 0;         // the newest that a quorum confirmed
  std::deque<confirmation_round> rounds_;  // from quorum_round_ on
  time_point attentive_since_;  // it leads, and its process ran, since then
  time_point quorum_contact_;   // start of that round, or of the leadership
  bool round_wanted_ = false;
  time_point heartbeat_deadline_;
  std::size_t uncommitted_bytes_ = 0;
  std::deque<pending_proposal> proposals_;  // by index
  std::vector<pending_read> reads_;
  std::map<vm_name, member_id> waiting_;

  // Reads through another leader, and the confirmation after a start.
  std::vector<forwarded_read> forwarded_;
  std::uint64_t next_wire_id_;  // begins at random, so that an answer to a past
                                // life is not taken for one to this
  time_point confirm_deadline_;
  bool confirmed_ = false;

  // Output since the last TakeActions().
  std::vector<consensus_message> now_messages_;
  std::vector<consensus_message> durable_messages_;  // wait for the next batch
  std::vector<consensus_message> behind_write_;      // wait for `writing_`
  std::vector<consensus_action> outcomes_;           // answers and events
  bool mismatch_reported_ = false;
};

}  // namespace tamaracklatch
