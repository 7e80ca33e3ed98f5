// Simulates a few VMs in virtual time under one random schedule of faults, and
// checks the invariants of the replicated log.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "consensus/fake_log_storage.h"
#include "tamaracklatch/consensus/consensus_runner.h"

namespace tamaracklatch::test {

// The faults that a schedule concentrates on.
enum class schedule_kind : std::uint8_t {
  kMixed,         // no preference
  kElections,     // delayed messages, crashes right after a vote
  kStaleLeaders,  // cut single links and quick restarts, which leave leaders
                  // that don't know of a newer one
  kVoterChanges,  // voters added and removed
};

// What the first VM to apply an index applied; all others must agree with it.
struct applied_prefix {
  std::uint64_t command = 0;  // hash of the command; 0: none applied
  std::uint64_t state = 0;    // hash of all commands up to the index
};

// Observations on all VMs, against which the invariants are checked.
struct invariant_record {
  std::vector<applied_prefix> history;                             // by index
  std::map<std::uint64_t, member_id> leaders;                      // by term
  std::map<std::pair<member_id, std::uint64_t>, member_id> votes;  // in a term
  std::map<vm_name, revision> served;  // newest applied while confirmed
  revision acknowledged;               // newest index of a committed proposal
  std::string violation;               // the first one; empty: none

  void Report(const std::string& description) {
    if (violation.empty()) violation = description;
  }
};

// A state machine whose state is the hash of all its commands. Checks
// each command and each snapshot against those of the other VMs.
class checking_state_machine final : public replicated_state_machine {
 public:
  checking_state_machine(invariant_record* invariants,
                         std::size_t padding_bytes)
      : invariants_(invariants), padding_bytes_(padding_bytes) {}
  void Apply(revision index, std::string_view command) override;
  std::string Snapshot() override;
  bool Restore(std::string_view snapshot, failure* last_failure) override;
  revision last() const { return last_applied_; }

 private:
  invariant_record* invariants_;
  std::size_t padding_bytes_;  // makes a snapshot need several chunks
  revision last_applied_;      // index of the last command
  std::uint64_t state_ = 0;
};

// One run of the simulation. The same seed and number of voters always give the
// same run. VMs are named "a", "b", … in the order of their indexes.
class schedule_simulation {
 public:
  schedule_simulation(std::uint64_t seed, std::size_t voters, bool traced);
  ~schedule_simulation();

  // Runs the schedule, then stops all faults and checks that the VMs agree.
  // Returns the first violation, or an empty text.
  std::string Run();

  // Uses the default settings and no random faults. Replaces a voter that is
  // permanently down by a new VM, which must become a voter in time, then
  // crashes all VMs at once, after which one must become leader in time.
  // Returns the first violation, or an empty text.
  std::string RunReplacement();

  // The trace lines of the run; empty unless traced.
  const std::vector<std::string>& timeline() const { return timeline_; }
  // Accepted proposals, commands and voter changes.
  std::uint64_t acknowledged() const { return acknowledged_count_; }
  std::uint64_t disks_lost() const { return disks_lost_; }

 private:
  struct simulated_vm;
  struct scheduled_event;
  struct runs_later {
    bool operator()(const scheduled_event& left,
                    const scheduled_event& right) const;
  };

  // A random number below `below`, from the seed.
  std::uint64_t Draw(std::uint64_t below);
  duration DrawBetween(duration low, duration high);
  bool Chance(std::uint64_t percent) { return Draw(100) < percent; }
  void Trace(const std::string& text);
  void TraceStatus(const simulated_vm& vm);

  void Push(time_point when, scheduled_event next);
  void Process(const scheduled_event& next);
  void Deliver(const scheduled_event& next);
  void Send(std::size_t from, const consensus_message& message);
  void CheckVote(const member_id& voter, log_term term,
                 const member_id& candidate);
  // Queues timer_due for the runner's next deadline.
  void ScheduleTimer(std::size_t index);
  // Handles an input at once, if the VM has a runner.
  void HandleInput(std::size_t index, const consensus_input& input);
  void FlushAndCheck(std::size_t index);
  void WriteToDisk(std::size_t index, const storage_batch& batch);
  void FinishWrite(std::size_t index);
  void CheckInvariants(std::size_t index);
  void CheckNextDeadline(std::size_t index);
  void CheckVoterChange(const consensus_node& node);
  bool HasCaughtUp(const member_id& id, revision index) const;
  // Convert between virtual time and the VM's own clock.
  time_point LocalTime(const simulated_vm& vm) const;
  time_point SimulationTime(const simulated_vm& vm, time_point local) const;

  void Start(std::size_t index);
  void Crash(std::size_t index);
  void CrashAfterVote(std::size_t index);
  void Pause(std::size_t index);
  void Resume(std::size_t index);
  void CrashAll();
  void InjectDiskFault(std::size_t index);
  std::size_t AddVm(std::vector<vm_name> seeds, bool is_founder);
  std::size_t ReplaceVm(std::size_t index);
  void DiscoverPeers(std::size_t index);
  void RunUntil(time_point when);
  // Whether the VM has a runner and is not suspended.
  bool IsUp(std::size_t index) const;
  void LoseDisk(std::size_t index);
  bool CanLoseDisk(std::size_t index) const;
  // Whether the VM of this name still has the disk of this member.
  bool IsDiskPresent(const member_id& id) const;
  std::size_t DrawVm() { return Draw(vms_.size()); }
  // The VM that leads in the newest term, if any does.
  std::optional<std::size_t> Leader() const;

  void ClientStep();
  void Propose(std::size_t index);
  void Read(std::size_t index);
  void ReadFromOldLeaders();
  void FaultStep();
  void CutLinks();
  void ChangeVoters();
  void LoseDiskAfterRepair(std::size_t index);
  void StopFaults();
  void CheckEnd();

  schedule_kind kind_ = schedule_kind::kMixed;
  random_source random_;
  bool traced_;
  std::size_t voters_;
  // The leader replaces voters by itself; false: an operator changes voters.
  bool automatic_repair_ = false;
  consensus_settings settings_;
  std::size_t padding_bytes_ = 0;
  time_point now_;  // virtual time
  time_point end_of_faults_;
  bool faults_stopped_ = false;
  std::uint64_t sequence_ = 0;  // of queued events; orders those of one time
  std::priority_queue<scheduled_event, std::vector<scheduled_event>, runs_later>
      queue_;
  std::vector<std::unique_ptr<simulated_vm>> vms_;
  std::set<std::pair<std::size_t, std::size_t>> cut_links_;  // from, to
  std::uint64_t loss_percent_ = 0;
  std::uint64_t duplicate_percent_ = 0;
  std::uint64_t delayed_percent_ = 0;  // messages delayed beyond max_delay_
  duration max_delay_{};
  invariant_record invariants_;
  // Proposal id to the hash of its command; 0: a voter change.
  std::map<std::uint64_t, std::uint64_t> pending_proposals_;
  // Read id to the index that its outcome must reach.
  std::map<std::uint64_t, revision> pending_reads_;
  std::uint64_t next_id_ = 1;
  std::uint64_t acknowledged_count_ = 0;
  std::set<revision> checked_voter_changes_;  // indexes of configurations
  std::uint64_t disks_lost_ = 0;
  std::vector<time_point> disk_loss_times_;
  bool awaiting_repair_ = false;     // set by a disk loss
  bool input_acknowledged_ = false;  // a proposal was reported committed since
                                     // ReadFromOldLeaders() last ran
  std::vector<std::string> timeline_;
};

}  // namespace tamaracklatch::test
