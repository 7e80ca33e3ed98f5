// A few VMs in virtual time under one random schedule of faults, and the
// promises that the replicated log must keep under it.
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

// What a schedule is made to hunt for.
enum class schedule_kind : std::uint8_t {
  kMixed,  // all faults alike
  kStorm,  // elections: late messages, crashes right after a vote
  kStale,  // old leaders: single links cut, quick restarts
  kChurn,  // changes of voters
};

// What any VM applied first at an index; all others must agree.
struct accepted_command {
  std::uint64_t command = 0;  // its hash, 0: none known
  std::uint64_t state = 0;    // hash of all commands up to it
};

// The promises over all VMs.
struct promise_book {
  std::vector<accepted_command> history;                           // by index
  std::map<std::uint64_t, member_id> leaders;                      // by term
  std::map<std::pair<member_id, std::uint64_t>, member_id> votes;  // in a term
  std::map<vm_name, revision> served;  // newest applied when confirmed
  revision acknowledged;               // newest
  std::string broken;                  // the first broken promise

  void Break(const std::string& what) {
    if (broken.empty()) broken = what;
  }
};

// A state machine that is the hash of all its commands.
class recorded_machine final : public replicated_state_machine {
 public:
  recorded_machine(promise_book* book, std::size_t padding)
      : book_(book), padding_(padding) {}
  void Apply(revision index, std::string_view command) override;
  std::string Snapshot() override;
  bool Restore(std::string_view snapshot, failure* last_failure) override;
  revision last() const { return last_; }

 private:
  promise_book* book_;
  std::size_t padding_;  // bytes that make a snapshot need several parts
  revision last_;        // of the commands applied
  std::uint64_t state_ = 0;
};

class schedule_world {
 public:
  schedule_world(std::uint64_t seed, std::size_t voters, bool traced);
  ~schedule_world();

  // Runs the schedule. Returns the first broken promise, or nothing.
  std::string Run();

  // With calm VMs whose settings are the product's: a voter is gone for good
  // and another VM comes, which must vote in time; then all are killed at once,
  // and one must lead in time.
  std::string RunExchange();

  // What happened, if traced.
  const std::vector<std::string>& timeline() const { return timeline_; }
  std::uint64_t acknowledged() const { return acknowledged_count_; }
  std::uint64_t disks_lost() const { return disks_lost_; }

 private:
  struct vm;
  struct happening;
  struct later {
    bool operator()(const happening& left, const happening& right) const;
  };

  std::uint64_t Draw(std::uint64_t below);
  duration DrawBetween(duration low, duration high);
  bool Chance(std::uint64_t percent) { return Draw(100) < percent; }
  void Trace(const std::string& text);
  void TraceStatus(const vm& one);

  void Push(time_point when, happening what);
  void Happen(const happening& what);
  void Deliver(const happening& what);
  void Send(std::size_t from, const consensus_message& message);
  void CheckVote(const member_id& voter, log_term term,
                 const member_id& candidate);
  void Wake(std::size_t index);
  void Input(std::size_t index, const consensus_input& input);
  void Settle(std::size_t index);
  void WriteToDisk(std::size_t index, const storage_batch& batch);
  void FinishWrite(std::size_t index);
  void CheckPromises(std::size_t index);
  void CheckWake(std::size_t index);
  void CheckChange(const consensus_node& node);
  bool HadCaughtUp(const member_id& id, revision index) const;
  time_point LocalTime(const vm& one) const;
  time_point WorldTime(const vm& one, time_point local) const;

  void Start(std::size_t index);
  void Crash(std::size_t index);
  void CrashAfterVote(std::size_t index);
  void Pause(std::size_t index);
  void Resume(std::size_t index);
  void CrashAll();
  void HarmDisk(std::size_t index);
  std::size_t AddVm(std::vector<vm_name> seeds, bool founds);
  std::size_t Exchange(std::size_t index);
  void TellOfAll(std::size_t index);
  void RunUntil(time_point when);
  bool IsUp(std::size_t index) const;
  void LoseDisk(std::size_t index);
  bool MayLoseDisk(std::size_t index) const;
  bool IsAlive(const member_id& id) const;
  std::size_t PickVm() { return Draw(vms_.size()); }
  std::optional<std::size_t> Leader() const;

  void ClientStep();
  void Propose(std::size_t index);
  void Read(std::size_t index);
  void AskOldLeaders();
  void FaultStep();
  void Cut();
  void ChangeVoters();
  void LoseAnotherAfterRepair(std::size_t index);
  void Heal();
  void CheckEnd();

  schedule_kind kind_ = schedule_kind::kMixed;
  random_source random_;
  bool traced_;
  std::size_t voters_;
  bool heals_ = false;  // the leader changes voters, not an operator
  consensus_settings settings_;
  std::size_t padding_ = 0;
  time_point now_;
  time_point end_of_faults_;
  bool healed_ = false;
  std::uint64_t sequence_ = 0;
  std::priority_queue<happening, std::vector<happening>, later> queue_;
  std::vector<std::unique_ptr<vm>> vms_;
  std::set<std::pair<std::size_t, std::size_t>> cut_;  // from, to
  std::uint64_t loss_percent_ = 0;
  std::uint64_t repeat_percent_ = 0;
  std::uint64_t late_percent_ = 0;  // messages that take far longer
  duration slowest_{};
  promise_book book_;
  std::map<std::uint64_t, std::uint64_t> proposed_;  // id to command hash
  std::map<std::uint64_t, revision> asked_;  // read id to what it must see
  std::uint64_t next_id_ = 1;
  std::uint64_t acknowledged_count_ = 0;
  std::set<revision> changes_;  // of voters, looked at
  std::uint64_t disks_lost_ = 0;
  std::vector<time_point> losses_;  // of disks
  bool repair_watched_ = false;
  bool acknowledged_now_ = false;  // by the input at hand
  std::vector<std::string> timeline_;
};

}  // namespace tamaracklatch::test
