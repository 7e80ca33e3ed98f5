// The simulation: a queue of events in virtual time, and faults drawn from one
// seed.
#include "consensus/schedule_simulation.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstring>
#include <utility>

#include "tamaracklatch/core/hash.h"

namespace tamaracklatch::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kExtraVms = 2;  // beside the first voters
constexpr duration kMinDelay = milliseconds(2);
// From the end of all faults until all voters must agree.
constexpr seconds kConvergenceBound{240};
// How long a disk loss counts as recent: its replacement has time to vote.
constexpr seconds kDiskLossWindow{20};
constexpr std::size_t kMaxVms = 16;
constexpr duration kMinSyncTime = std::chrono::microseconds(500);
constexpr duration kMaxSyncTime = milliseconds(2);
constexpr int kSlowDiskFactor = 28;  // multiplies the time of its writes
// From a new VM's start until it must be a voter.
constexpr seconds kReplacementVoteBound{4};
constexpr seconds kElectionBound{3};  // from the crash of all VMs to a leader
constexpr std::uint64_t kDelayedVotePercent = 50;
// Read ids and proposal ids share a counter; the high bit tells them apart.
constexpr std::uint64_t kFirstReadId = std::uint64_t{1} << 62U;

}  // namespace

// --- The state machine ---

void checking_state_machine::Apply(revision index, std::string_view command) {
  if (index <= last_applied_) invariants_->Report("an index was applied twice");
  auto& history = invariants_->history;
  const std::uint64_t hash = HashText(command);
  state_ = HashPair(HashPair(state_, hash), index.value);
  last_applied_ = index;
  if (index.value < history.size()) {
    const applied_prefix& first = history[index.value];
    if (first.command != hash || first.state != state_) {
      invariants_->Report(
          fmt::format("a different command was applied at {}", index.value));
    }
    return;
  }
  history.resize(index.value + 1);
  history[index.value] = {hash, state_};
}

std::string checking_state_machine::Snapshot() {
  std::string bytes(16 + padding_bytes_, '.');
  std::memcpy(bytes.data(), &last_applied_.value, 8);
  std::memcpy(bytes.data() + 8, &state_, 8);
  return bytes;
}

bool checking_state_machine::Restore(std::string_view snapshot,
                                     failure* /*last_failure*/) {
  revision last;
  std::memcpy(&last.value, snapshot.data(), 8);
  std::memcpy(&state_, snapshot.data() + 8, 8);
  if (last < last_applied_)
    invariants_->Report("a snapshot restored an older state");
  last_applied_ = last;
  const bool known =
      last.value == 0 || (last.value < invariants_->history.size() &&
                          invariants_->history[last.value].state == state_);
  if (!known)
    invariants_->Report("a snapshot differs from the applied commands");
  return true;
}

// --- VMs and events ---

// One VM: its clock, its disk and, while its process runs, its runner.
struct schedule_simulation::simulated_vm final : public consensus_listener,
                                                 public batch_writer {
  simulated_vm(schedule_simulation* owner, std::size_t position,
               vm_name assigned_name)
      : simulation(owner), index(position), name(std::move(assigned_name)) {}

  void OnSend(const consensus_message& message) override {
    simulation->Send(index, message);
  }

  void OnProposalOutcome(const proposal_outcome& outcome) override {
    const auto found = simulation->pending_proposals_.find(outcome.id);
    if (found == simulation->pending_proposals_.end()) {
      return simulation->invariants_.Report("a proposal was answered twice");
    }
    const std::uint64_t command = found->second;
    simulation->pending_proposals_.erase(found);
    if (outcome.code != result_code::kOk) return;
    ++simulation->acknowledged_count_;
    simulation->input_acknowledged_ = true;
    auto& invariants = simulation->invariants_;
    invariants.acknowledged = std::max(invariants.acknowledged, outcome.index);
    if (command == 0) return;  // a voter change
    const auto& history = invariants.history;
    const bool applied = outcome.index.value < history.size() &&
                         history[outcome.index.value].command == command;
    if (!applied) invariants.Report("an acknowledged command was not applied");
  }

  void OnReadOutcome(const read_outcome& outcome) override {
    const auto found = simulation->pending_reads_.find(outcome.id);
    if (found == simulation->pending_reads_.end()) {
      return simulation->invariants_.Report("a read was answered twice");
    }
    const revision expected = found->second;
    simulation->pending_reads_.erase(found);
    if (outcome.code != result_code::kOk) return;
    if (outcome.index < expected) {
      simulation->invariants_.Report(
          fmt::format("{} read at {} after {} was acknowledged", name,
                      outcome.index.value, expected.value));
    }
    if (runner && runner->node().applied() < outcome.index) {
      simulation->invariants_.Report(
          "a read was answered before it was applied");
    }
  }

  void Write(const storage_batch& batch) override {
    simulation->WriteToDisk(index, batch);
  }

  void OnEvent(const event& reported) override {
    if (!simulation->traced_) return;
    simulation->Trace(fmt::format("{} {} {} {} {}", name, ToString(reported.id),
                                  ToString(reported.code), reported.peer,
                                  reported.detail));
  }

  schedule_simulation* simulation;
  std::size_t index;
  vm_name name;
  double clock_rate = 1.0;  // against virtual time
  duration clock_offset{};  // against virtual time
  std::vector<vm_name> seeds;
  bool is_founder = false;
  bool permanently_down = false;
  fake_disk disk;
  const storage_batch* pending_write = nullptr;  // in progress; null: none
  time_point disk_stalled_until;                 // no write finishes before
  bool disk_slow = false;
  bool disk_full = false;           // only a prefix of each batch is written
  bool crash_during_write = false;  // crash in the next write
  random_source disk_random;
  std::unique_ptr<fake_log_storage> storage;
  std::unique_ptr<checking_state_machine> state_machine;
  std::unique_ptr<consensus_runner> runner;   // null: it is down
  std::uint64_t start_count = 0;              // of its process
  std::optional<time_point> scheduled_timer;  // the earliest in the queue
  bool granted_vote = false;      // to another, in the current input
  bool started_election = false;  // in the current input
  time_point paused_until;        // until then its process does not run
  duration suspended{};  // length of the pause, if its clock stops in it
  // The node's state at the last crash, valid while the VM is down.
  member_id last_self;
  voter_configuration last_configuration;
  revision last_configuration_index;
  revision last_commit;
};

struct schedule_simulation::scheduled_event {
  enum class kind {
    kMessage,
    kTimer,
    kWriteFinished,
    kStart,
    kCrash,
    kResume,
    kPeersDiscovered,
    kClient,
    kFault,
    kLinksRestored
  };
  kind type = kind::kTimer;
  std::size_t to = 0;
  std::size_t from = 0;
  std::uint64_t start_count = 0;  // of `to` when queued; timers, writes and
                                  // crashes of an earlier start are ignored
  time_point when;
  std::uint64_t order = 0;  // among events of one time
  std::shared_ptr<consensus_message> message;
};

bool schedule_simulation::runs_later::operator()(
    const scheduled_event& left, const scheduled_event& right) const {
  return left.when != right.when ? left.when > right.when
                                 : left.order > right.order;
}

schedule_simulation::~schedule_simulation() = default;

schedule_simulation::schedule_simulation(std::uint64_t seed, std::size_t voters,
                                         bool traced)
    : random_(seed), traced_(traced), voters_(voters) {
  kind_ = static_cast<schedule_kind>(Draw(4));
  settings_.election_timeout = DrawBetween(milliseconds(800), seconds(3));
  settings_.heartbeat_interval =
      settings_.election_timeout / static_cast<int>(3 + Draw(3));
  settings_.join_interval = settings_.election_timeout;
  settings_.max_append_bytes = 100 + Draw(400);
  settings_.max_in_flight_messages = 1 + Draw(4);
  settings_.snapshot_log_bytes = 300 + Draw(3000);
  settings_.retained_entries = Draw(12);
  settings_.retained_bytes = Draw(2) == 0 ? Draw(3000) : 1000 * 1000;
  settings_.promotion_lag_entries = Draw(4);
  settings_.snapshot_chunk_bytes = 20 + Draw(100);
  settings_.max_in_flight_snapshot_bytes = 20 + Draw(200);
  padding_bytes_ = Draw(400);
  max_delay_ = DrawBetween(milliseconds(5), settings_.election_timeout / 6);
  loss_percent_ = Draw(4) == 0 ? Draw(30) : Draw(3);
  duplicate_percent_ = Draw(10);
  if (kind_ == schedule_kind::kElections) {
    max_delay_ = DrawBetween(max_delay_, settings_.election_timeout);
    delayed_percent_ = Draw(30);
  }
  if (kind_ == schedule_kind::kStaleLeaders) {
    max_delay_ = DrawBetween(milliseconds(4), milliseconds(30));
    loss_percent_ = 0;
  }
  end_of_faults_ = now_ + DrawBetween(seconds(20), seconds(60));
  automatic_repair_ = Chance(60);
  if (automatic_repair_) {
    settings_.desired_voters = voters;
    settings_.voter_reply_timeout =
        DrawBetween(settings_.election_timeout,
                    3 * settings_.election_timeout) +
        settings_.heartbeat_interval;
    settings_.learner_reply_timeout = DrawBetween(seconds(5), seconds(30));
  }
  std::vector<vm_name> all;
  for (std::size_t i = 0; i < voters + kExtraVms; ++i) {
    all.emplace_back(1, static_cast<char>('a' + i));
    if (i < voters) settings_.founders.push_back(all.back());
  }
  for (std::size_t i = 0; i < all.size(); ++i) {
    AddVm(automatic_repair_ ? settings_.founders : all,
          i < voters || !automatic_repair_);
  }
}

std::size_t schedule_simulation::AddVm(std::vector<vm_name> seeds,
                                       bool is_founder) {
  const std::size_t i = vms_.size();
  vms_.push_back(std::make_unique<simulated_vm>(
      this, i, vm_name(1, static_cast<char>('a' + i))));
  simulated_vm& vm = *vms_.back();
  vm.seeds = std::move(seeds);
  vm.is_founder = is_founder;
  // Each clock has its own rate, within 4% of virtual time.
  vm.clock_rate = 1.0 + (static_cast<double>(Draw(81)) - 40.0) / 1000.0;
  vm.clock_offset = duration(Draw(1000000));
  vm.disk_random.seed(random_());
  return i;
}

std::uint64_t schedule_simulation::Draw(std::uint64_t below) {
  return random_() % below;
}

duration schedule_simulation::DrawBetween(duration low, duration high) {
  return low + duration(Draw(static_cast<std::uint64_t>(
                   std::max<duration::rep>((high - low).count(), 1))));
}

void schedule_simulation::Trace(const std::string& text) {
  if (!traced_) return;
  const double at = static_cast<double>(now_.time_since_epoch().count()) / 1e6;
  timeline_.push_back(fmt::format("{:10.4f} {}", at, text));
}

void schedule_simulation::Push(time_point when, scheduled_event next) {
  next.when = when;
  next.order = sequence_++;
  queue_.push(std::move(next));
}

time_point schedule_simulation::LocalTime(const simulated_vm& vm) const {
  const double since = static_cast<double>(now_.time_since_epoch().count());
  return time_point(vm.clock_offset + duration(static_cast<duration::rep>(
                                          since * vm.clock_rate)));
}

time_point schedule_simulation::SimulationTime(const simulated_vm& vm,
                                               time_point local) const {
  const double since =
      static_cast<double>((local.time_since_epoch() - vm.clock_offset).count());
  return time_point(
      duration(static_cast<duration::rep>(since / vm.clock_rate) + 2));
}

// --- Messages ---

// A member votes for at most one candidate in a term, across its restarts.
void schedule_simulation::CheckVote(const member_id& voter, log_term term,
                                    const member_id& candidate) {
  const auto [found, inserted] =
      invariants_.votes.emplace(std::make_pair(voter, term.value), candidate);
  if (found->second == candidate) return;
  invariants_.Report(
      fmt::format("{} voted twice in term {}", voter.name, term.value));
}

void schedule_simulation::Send(std::size_t from,
                               const consensus_message& message) {
  const auto* request = std::get_if<vote_request>(&message.body);
  const auto* reply = std::get_if<vote_reply>(&message.body);
  const bool starts_election = request != nullptr && !request->pre_vote;
  if (starts_election) {
    vms_[from]->started_election = true;
    CheckVote(message.from, request->term, message.from);
  }
  if (reply != nullptr && reply->granted && !reply->pre_vote) {
    vms_[from]->granted_vote = true;
    CheckVote(message.from, reply->term, message.to);
  }
  const std::size_t to = static_cast<std::size_t>(message.to.name[0] - 'a');
  if (to >= vms_.size() || cut_links_.count({from, to}) != 0 ||
      Chance(loss_percent_)) {
    return;
  }
  const int copies = Chance(duplicate_percent_) ? 2 : 1;
  auto shared = std::make_shared<consensus_message>(message);
  for (int i = 0; i < copies; ++i) {
    scheduled_event next;
    next.type = scheduled_event::kind::kMessage;
    next.to = to;
    next.from = from;
    next.message = shared;
    // Each copy has its own delay, so that messages are reordered.
    const bool delays_votes =
        starts_election && kind_ == schedule_kind::kElections;
    const bool is_delayed =
        !faults_stopped_ &&
        Chance(delays_votes ? kDelayedVotePercent : delayed_percent_);
    const duration max_delay =
        is_delayed ? 4 * settings_.election_timeout : max_delay_;
    Push(now_ + DrawBetween(kMinDelay, max_delay), std::move(next));
  }
}

void schedule_simulation::Deliver(const scheduled_event& next) {
  if (cut_links_.count({next.from, next.to}) != 0) return;
  HandleInput(next.to, message_received{*next.message});
}

void schedule_simulation::HandleInput(std::size_t index,
                                      const consensus_input& input) {
  simulated_vm& vm = *vms_[index];
  if (!vm.runner) return;
  vm.runner->Handle(input, LocalTime(vm));
  FlushAndCheck(index);
}

// Executes the effects of an input, checks the invariants and may inject a
// fault.
void schedule_simulation::FlushAndCheck(std::size_t index) {
  simulated_vm& vm = *vms_[index];
  vm.runner->Flush(LocalTime(vm));
  CheckInvariants(index);
  if (vm.runner->node().role() == consensus_role::kStopped) {
    return Crash(index);
  }
  LoseDiskAfterRepair(index);
  if (vm.runner) CrashAfterVote(index);
  if (vm.runner) ScheduleTimer(index);
  if (input_acknowledged_) ReadFromOldLeaders();
}

void schedule_simulation::WriteToDisk(std::size_t index,
                                      const storage_batch& batch) {
  simulated_vm& vm = *vms_[index];
  vm.pending_write = &batch;
  duration write_time = DrawBetween(kMinSyncTime, kMaxSyncTime);
  if (vm.disk_slow) write_time *= kSlowDiskFactor;
  write_time += std::max(vm.disk_stalled_until - now_, duration{});
  scheduled_event next;
  next.to = index;
  next.start_count = vm.start_count;
  if (vm.crash_during_write) {
    vm.crash_during_write = false;
    next.type = scheduled_event::kind::kCrash;
    Push(now_ + DrawBetween({}, write_time), next);
  }
  next.type = scheduled_event::kind::kWriteFinished;
  Push(now_ + write_time, std::move(next));
}

void schedule_simulation::FinishWrite(std::size_t index) {
  simulated_vm& vm = *vms_[index];
  const storage_batch& batch = *std::exchange(vm.pending_write, nullptr);
  if (vm.disk_full) {
    vm.storage->PersistPrefix(batch);
    vm.runner->OnWritten(failure{result_code::kDiskFull, "disk full"},
                         LocalTime(vm));
  } else {
    vm.storage->Persist(batch, nullptr);
    vm.runner->OnWritten(std::nullopt, LocalTime(vm));
  }
  FlushAndCheck(index);
}

// A VM may crash right after it granted a vote, or pause right after it started
// an election.
void schedule_simulation::CrashAfterVote(std::size_t index) {
  simulated_vm& vm = *vms_[index];
  const bool granted_vote = vm.granted_vote;
  const bool started_election = vm.started_election;
  vm.granted_vote = vm.started_election = false;
  if (faults_stopped_ || kind_ != schedule_kind::kElections) return;
  if (granted_vote && Chance(30)) Crash(index);
  if (started_election && Chance(30)) Pause(index);
}

void schedule_simulation::Pause(std::size_t index) {
  simulated_vm& vm = *vms_[index];
  if (!vm.runner || now_ < vm.paused_until) return;
  const duration outage =
      DrawBetween(milliseconds(100), 4 * settings_.election_timeout);
  vm.paused_until = now_ + outage;
  if (Chance(50)) vm.suspended = outage;
  Trace(fmt::format("{} is {}", vm.name,
                    vm.suspended > duration{} ? "suspended" : "paused"));
  scheduled_event next;
  next.type = scheduled_event::kind::kResume;
  next.to = index;
  Push(vm.paused_until, std::move(next));
}

// The clock of a suspended VM did not advance meanwhile.
void schedule_simulation::Resume(std::size_t index) {
  simulated_vm& vm = *vms_[index];
  const double suspended_for =
      static_cast<double>(vm.suspended.count()) * vm.clock_rate;
  // Rounding must not make the clock go back.
  vm.clock_offset -= duration(static_cast<duration::rep>(suspended_for) - 2);
  vm.suspended = {};
  vm.scheduled_timer.reset();
  if (vm.runner) ScheduleTimer(index);
}

bool schedule_simulation::IsUp(std::size_t index) const {
  const simulated_vm& vm = *vms_[index];
  return vm.runner != nullptr && vm.suspended == duration{};
}

void schedule_simulation::CrashAll() {
  Trace("all VMs crash");
  for (std::size_t i = 0; i < vms_.size(); ++i) Crash(i);
}

void schedule_simulation::InjectDiskFault(std::size_t index) {
  simulated_vm& vm = *vms_[index];
  switch (Draw(3)) {
    case 0:
      vm.disk_full = !vm.disk_full;
      return Trace(vm.name +
                   (vm.disk_full ? " has a full disk" : " has disk space"));
    case 1:
      vm.disk_slow = !vm.disk_slow;
      return Trace(vm.name +
                   (vm.disk_slow ? " has a slow disk" : " has a fast disk"));
    default:
      vm.disk_stalled_until = now_ + DrawBetween(milliseconds(200), seconds(8));
      return Trace(vm.name + " has a stalled disk");
  }
}

// Takes a VM down permanently and adds a new one. The new VM's seeds are random
// and may all be permanently down; it learns the other VMs' names later.
std::size_t schedule_simulation::ReplaceVm(std::size_t index) {
  LoseDisk(index);
  vms_[index]->permanently_down = true;
  std::vector<vm_name> seeds;
  while (seeds.size() < 3) seeds.push_back(vms_[DrawVm()]->name);
  const std::size_t added = AddVm(std::move(seeds), false);
  Trace(fmt::format("{} is gone, {} is added", vms_[index]->name,
                    vms_[added]->name));
  scheduled_event next;
  next.type = scheduled_event::kind::kStart;
  next.to = added;
  Push(now_ + DrawBetween(milliseconds(10), seconds(3)), next);
  next.type = scheduled_event::kind::kPeersDiscovered;
  Push(now_ + DrawBetween(seconds(1), seconds(6)), next);
  return added;
}

// Makes the VM learn the names of all VMs, as it would from other sources than
// its seeds.
void schedule_simulation::DiscoverPeers(std::size_t index) {
  peers_discovered known;
  for (const auto& vm : vms_) {
    if (!vm->permanently_down) known.names.push_back(vm->name);
  }
  if (IsUp(index)) HandleInput(index, known);
}

// Reads from each leader of an older term, right after a proposal was
// committed: none of them may answer with an index before it.
void schedule_simulation::ReadFromOldLeaders() {
  input_acknowledged_ = false;
  for (std::size_t i = 0; i < vms_.size(); ++i) {
    const auto& runner = vms_[i]->runner;
    if (!runner || runner->node().role() != consensus_role::kLeader) continue;
    if (Leader() == i) continue;
    Read(i);
    if (IsUp(i)) FlushAndCheck(i);
  }
}

void schedule_simulation::ScheduleTimer(std::size_t index) {
  simulated_vm& vm = *vms_[index];
  const time_point local = vm.runner->NextDeadline();
  const time_point when = std::max(SimulationTime(vm, local), now_);
  const bool pending = vm.scheduled_timer && *vm.scheduled_timer <= when;
  if (pending) return;
  vm.scheduled_timer = when;
  scheduled_event next;
  next.type = scheduled_event::kind::kTimer;
  next.to = index;
  next.start_count = vm.start_count;
  Push(when, std::move(next));
}

// Whether the member's disk holds all entries before `index` but for the
// promotion gap. True for a disk lost meanwhile, whose contents are unknown.
bool schedule_simulation::HasCaughtUp(const member_id& id,
                                      revision index) const {
  if (!IsDiskPresent(id)) return true;
  const auto at = static_cast<std::size_t>(id.name[0] - 'a');
  const stored_state& held = vms_[at]->disk.durable;
  revision last = held.snapshot ? held.snapshot->index : revision{};
  if (!held.entries.empty()) last = std::max(last, held.entries.back().index);
  return last.value + settings_.promotion_lag_entries + 1 >= index.value;
}

// With automatic repair, a leader may make a member a voter only after it has
// caught up. It may remove a voter with fewer than the desired number remaining
// only if the same VM, with a new disk, is a learner that has caught up.
void schedule_simulation::CheckVoterChange(const consensus_node& node) {
  const replicated_log& log = node.log();
  const revision at = log.configuration_index();
  const bool in_own_term = at > log.base() && log.TermAt(at) == node.term();
  if (!automatic_repair_ || !in_own_term ||
      !checked_voter_changes_.insert(at).second)
    return;
  const voter_configuration& next = log.configuration();
  const voter_configuration& before = log.ConfigurationAt({at.value - 1});
  for (const cluster_member& voter : next.voters) {
    if (before.IsVoter(voter.id) || HasCaughtUp(voter.id, at)) continue;
    invariants_.Report(voter.id.name + " became a voter before it caught up");
  }
  for (const cluster_member& voter : before.voters) {
    if (next.IsVoter(voter.id) || next.voters.size() >= voters_) continue;
    const bool replaced = std::any_of(
        next.learners.begin(), next.learners.end(), [&](const auto& learner) {
          return learner.id.name == voter.id.name &&
                 HasCaughtUp(learner.id, at);
        });
    if (replaced) continue;
    invariants_.Report(voter.id.name +
                       " was removed before its replacement caught up");
  }
}

// Handling timer_due must do all that is due: the next deadline is in the
// future. Otherwise the timer would fire again at once.
void schedule_simulation::CheckNextDeadline(std::size_t index) {
  const simulated_vm& vm = *vms_[index];
  if (!vm.runner) return;
  const bool ahead = vm.runner->NextDeadline() > LocalTime(vm);
  if (!ahead)
    invariants_.Report(
        fmt::format("{} has a deadline that passed {} us ago", vm.name,
                    (LocalTime(vm) - vm.runner->NextDeadline()).count()));
}

void schedule_simulation::CheckInvariants(std::size_t index) {
  simulated_vm& vm = *vms_[index];
  const consensus_node& node = vm.runner->node();
  if (node.role() == consensus_role::kLeader) {
    const auto [found, inserted] =
        invariants_.leaders.emplace(node.term().value, node.self());
    if (found->second != node.self()) {
      invariants_.Report(
          fmt::format("two leaders in term {}", node.term().value));
    }
    if (inserted && traced_) Trace(fmt::format("{} leads", vm.name));
    CheckVoterChange(node);
    const bool elections =
        kind_ == schedule_kind::kElections && !faults_stopped_;
    if (inserted && elections && Chance(40)) Pause(index);
  }
  if (!node.start_confirmed()) return;
  revision& served = invariants_.served[vm.name];
  if (node.applied() < served) {
    invariants_.Report(fmt::format("{} serves {} after it served {}", vm.name,
                                   node.applied().value, served.value));
  }
  served = node.applied();
}

// --- VMs ---

void schedule_simulation::Start(std::size_t index) {
  simulated_vm& vm = *vms_[index];
  if (vm.runner || vm.permanently_down) return;
  Trace(vm.name + " starts");
  consensus_settings settings = settings_;
  settings.name = vm.name;
  settings.peers = vm.seeds;
  if (!vm.is_founder) settings.founders.clear();
  vm.storage = std::make_unique<fake_log_storage>(&vm.disk, &vm.disk_random);
  vm.state_machine =
      std::make_unique<checking_state_machine>(&invariants_, padding_bytes_);
  vm.runner = consensus_runner::Start(
      settings, vm.storage.get(), vm.state_machine.get(), &vm,
      random_source(random_()), LocalTime(vm), nullptr, &vm);
  ++vm.start_count;
  vm.scheduled_timer.reset();
  FlushAndCheck(index);
}

void schedule_simulation::Crash(std::size_t index) {
  simulated_vm& vm = *vms_[index];
  if (!vm.runner) return;
  Trace(vm.name + " crashes");
  const consensus_node& node = vm.runner->node();
  vm.last_self = node.self();
  vm.last_configuration = node.log().configuration();
  vm.last_configuration_index = node.log().configuration_index();
  vm.last_commit = node.commit();
  if (vm.pending_write != nullptr) vm.storage->PersistPrefix(*vm.pending_write);
  vm.pending_write = nullptr;
  vm.suspended = {};
  vm.runner.reset();
  scheduled_event next;
  next.type = scheduled_event::kind::kStart;
  next.to = index;
  const bool restarts_quickly = kind_ == schedule_kind::kElections ||
                                kind_ == schedule_kind::kStaleLeaders;
  duration longest = Chance(20) ? seconds(30) : seconds(3);
  if (restarts_quickly && !Chance(10)) longest = milliseconds(100);
  Push(now_ + DrawBetween(milliseconds(10), longest), std::move(next));
}

bool schedule_simulation::IsDiskPresent(const member_id& id) const {
  return std::any_of(vms_.begin(), vms_.end(), [&](const auto& vm) {
    return vm->name == id.name && vm->disk.durable.hard.disk == id.disk;
  });
}

// A disk may be lost if a quorum of voters keeps its disks in each
// configuration that may be in force: those that any VM knows, from the newest
// committed one on.
bool schedule_simulation::CanLoseDisk(std::size_t index) const {
  struct view {
    const voter_configuration* configuration;
    revision at;
  };
  std::vector<view> views;
  revision newest_committed;  // index of the newest committed configuration
  for (const auto& vm : vms_) {
    if (vm->runner) {
      const consensus_node& node = vm->runner->node();
      const replicated_log& log = node.log();
      views.push_back({&log.configuration(), log.configuration_index()});
      if (log.configuration_index() <= node.commit()) {
        newest_committed =
            std::max(newest_committed, log.configuration_index());
      }
    } else {
      views.push_back({&vm->last_configuration, vm->last_configuration_index});
      if (vm->last_configuration_index <= vm->last_commit) {
        newest_committed =
            std::max(newest_committed, vm->last_configuration_index);
      }
    }
  }
  // With automatic repair, no more disks are lost at a time than the desired
  // number of voters tolerates. A loss counts until its replacement had time to
  // vote.
  const std::size_t tolerated = (voters_ - 1) / 2;
  const auto recent = static_cast<std::size_t>(std::count_if(
      disk_loss_times_.begin(), disk_loss_times_.end(),
      [&](time_point when) { return now_ - when < kDiskLossWindow; }));
  if (automatic_repair_ && recent >= tolerated) return false;
  for (const view& known : views) {
    std::size_t absent_disks = 0;
    for (const cluster_member& voter : known.configuration->voters) {
      if (!IsDiskPresent(voter.id)) ++absent_disks;
    }
    if (automatic_repair_ && known.at >= newest_committed &&
        absent_disks >= tolerated)
      return false;
  }
  const simulated_vm& lost = *vms_[index];
  const member_id lost_id{lost.name, lost.disk.durable.hard.disk};
  std::size_t relevant_views = 0;
  for (const view& known : views) {
    if (known.at < newest_committed || known.configuration->voters.empty())
      continue;
    ++relevant_views;
    // Each learner may become a voter at any time.
    voter_configuration after_promotions = *known.configuration;
    for (const cluster_member& learner : known.configuration->learners) {
      for (const cluster_member& voter : known.configuration->voters) {
        if (voter.id.name == learner.id.name)
          after_promotions = after_promotions.Without(voter.id);
      }
      after_promotions = after_promotions.WithVoter(learner.id);
    }
    const std::array<const voter_configuration*, 2> both{known.configuration,
                                                         &after_promotions};
    for (const voter_configuration* counted : both) {
      std::size_t remaining = 0;
      for (const cluster_member& voter : counted->voters) {
        // The write that founds the cluster may still be in progress.
        const auto at = static_cast<std::size_t>(voter.id.name[0] - 'a');
        const bool joined = vms_[at]->disk.durable.hard.cluster.value != 0;
        if (voter.id != lost_id && joined && IsDiskPresent(voter.id))
          ++remaining;
      }
      if (remaining < counted->Quorum()) return false;
    }
  }
  return relevant_views > 0;
}

void schedule_simulation::LoseDisk(std::size_t index) {
  simulated_vm& vm = *vms_[index];
  Crash(index);
  Trace(vm.name + " loses its disk");
  vm.disk = {};
  vm.last_configuration = {};
  ++disks_lost_;
  disk_loss_times_.push_back(now_);
  awaiting_repair_ = true;
}

// Loses the disk of a second VM at the moment when the repair of a first one is
// committed.
void schedule_simulation::LoseDiskAfterRepair(std::size_t index) {
  if (!awaiting_repair_ || faults_stopped_) return;
  const simulated_vm& vm = *vms_[index];
  const consensus_node& node = vm.runner->node();
  const replicated_log& log = node.log();
  if (node.role() != consensus_role::kLeader ||
      log.configuration_index() > node.commit()) {
    return;
  }
  const auto& voters = log.configuration().voters;
  const bool repaired = std::all_of(
      voters.begin(), voters.end(),
      [&](const cluster_member& voter) { return IsDiskPresent(voter.id); });
  if (!repaired) return;
  awaiting_repair_ = false;
  if (Chance(40)) return;
  const std::size_t second =
      static_cast<std::size_t>(voters[Draw(voters.size())].id.name[0] - 'a');
  if (CanLoseDisk(second)) LoseDisk(second);
}

std::optional<std::size_t> schedule_simulation::Leader() const {
  std::optional<std::size_t> best;
  for (std::size_t i = 0; i < vms_.size(); ++i) {
    const auto& runner = vms_[i]->runner;
    if (!runner || runner->node().role() != consensus_role::kLeader) continue;
    const bool newer =
        !best || runner->node().term() > vms_[*best]->runner->node().term();
    if (newer) best = i;
  }
  return best;
}

// --- Callers ---

void schedule_simulation::Propose(std::size_t index) {
  if (!IsUp(index)) return;
  const std::uint64_t id = next_id_++;
  const std::string command = fmt::format("{}{:{}}", id, "", 1 + Draw(40));
  pending_proposals_[id] = HashText(command);
  simulated_vm& vm = *vms_[index];
  vm.runner->Handle(command_proposed{id, command}, LocalTime(vm));
}

void schedule_simulation::Read(std::size_t index) {
  simulated_vm& vm = *vms_[index];
  if (!IsUp(index)) return;
  const std::uint64_t id = kFirstReadId + next_id_++;
  pending_reads_[id] = invariants_.acknowledged;
  vm.runner->Handle(read_requested{id}, LocalTime(vm));
}

void schedule_simulation::ClientStep() {
  const std::size_t index = Chance(80) ? Leader().value_or(DrawVm()) : DrawVm();
  const std::uint64_t batch = Chance(20) ? 1 + Draw(8) : 1;
  for (std::uint64_t i = 0; i < batch; ++i) Propose(index);
  if (IsUp(index)) FlushAndCheck(index);
  const std::size_t reader = DrawVm();
  Read(reader);
  if (IsUp(reader)) FlushAndCheck(reader);
}

// --- Faults ---

void schedule_simulation::FaultStep() {
  const std::size_t index = Chance(40) ? Leader().value_or(DrawVm()) : DrawVm();
  simulated_vm& vm = *vms_[index];
  if (kind_ == schedule_kind::kVoterChanges && !automatic_repair_ &&
      Chance(60)) {
    return ChangeVoters();
  }
  if (kind_ == schedule_kind::kStaleLeaders && Chance(60)) {
    return Chance(30) ? CutLinks() : Crash(DrawVm());
  }
  if (Chance(3)) return CrashAll();
  if (automatic_repair_ && Chance(20)) {
    const bool can_replace =
        vms_.size() < kMaxVms && !vm.permanently_down && CanLoseDisk(index);
    if (can_replace) ReplaceVm(index);
    return;
  }
  switch (Draw(9)) {
    case 8:
      return Pause(index);
    case 0:
      return Crash(index);
    case 1:
    case 2:
      vm.crash_during_write = true;
      return;
    case 3:
      return InjectDiskFault(index);
    case 4:
      if (CanLoseDisk(index)) LoseDisk(index);
      return;
    case 5:
      return automatic_repair_ ? Crash(index) : ChangeVoters();
    default:
      return CutLinks();
  }
}

void schedule_simulation::CutLinks() {
  const std::size_t index = Chance(50) ? Leader().value_or(DrawVm()) : DrawVm();
  const std::uint64_t shape =
      kind_ == schedule_kind::kStaleLeaders && Chance(70) ? 3 : Draw(4);
  const std::size_t other = DrawVm();
  const std::uint64_t side = 1 + Draw((1U << vms_.size()) - 2);
  for (std::size_t from = 0; from < vms_.size(); ++from) {
    for (std::size_t to = 0; to < vms_.size(); ++to) {
      const bool across = ((side >> from) & 1U) != ((side >> to) & 1U);
      const bool is_cut = shape == 0   ? across
                          : shape == 1 ? from == index  // all it sends is lost
                          : shape == 2 ? to == index  // all sent to it is lost
                                       : from == index && to == other;
      if (is_cut && from != to) cut_links_.insert({from, to});
    }
  }
  Trace(fmt::format("cut, shape {} at {} side {:x}", shape, vms_[index]->name,
                    side));
  scheduled_event next;
  next.type = scheduled_event::kind::kLinksRestored;
  const duration longest = Chance(15) ? seconds(180) : seconds(12);
  const duration outage = DrawBetween(seconds(1), longest);
  end_of_faults_ = std::max(end_of_faults_, now_ + outage);
  Push(now_ + outage, std::move(next));
}

void schedule_simulation::ChangeVoters() {
  const auto leader = Leader();
  if (!leader || !IsUp(*leader)) return;
  simulated_vm& vm = *vms_[*leader];
  const std::uint64_t id = next_id_++;
  pending_proposals_[id] = 0;
  voter_change_requested change;
  change.id = id;
  const simulated_vm& other = *vms_[DrawVm()];
  const auto& configuration = vm.runner->node().log().configuration();
  const bool add = !configuration.HasName(other.name);
  change.kind = add ? voter_change_requested::change_kind::kAdd
                    : voter_change_requested::change_kind::kRemove;
  change.name = other.name;
  // The operator removes a voter only if at least two remain, a majority of
  // them with their disks.
  const auto healthy = static_cast<std::size_t>(std::count_if(
      configuration.voters.begin(), configuration.voters.end(),
      [&](const cluster_member& voter) {
        return voter.id.name != other.name && IsDiskPresent(voter.id);
      }));
  const std::size_t remaining = configuration.voters.size() - 1;
  if (!add && (remaining < 2 || healthy < remaining / 2 + 1)) {
    pending_proposals_.erase(id);
    return;
  }
  Trace(fmt::format("{} is requested to {} {}", vm.name, add ? "add" : "remove",
                    other.name));
  vm.runner->Handle(change, LocalTime(vm));
  FlushAndCheck(*leader);
}

// --- Simulation loop ---

void schedule_simulation::Process(const scheduled_event& next) {
  using kind = scheduled_event::kind;
  const bool for_process = next.type == kind::kMessage ||
                           next.type == kind::kTimer ||
                           next.type == kind::kWriteFinished;
  const time_point paused_until = vms_[next.to]->paused_until;
  const bool suspended = vms_[next.to]->suspended > duration{};
  if (for_process && (now_ < paused_until || suspended)) {
    // Events that wait for the process arrive in random order after the pause.
    return Push(paused_until + DrawBetween({}, milliseconds(1)), next);
  }
  switch (next.type) {
    case kind::kMessage:
      return Deliver(next);
    case kind::kTimer:
      if (vms_[next.to]->start_count != next.start_count) return;
      if (vms_[next.to]->scheduled_timer <= next.when)
        vms_[next.to]->scheduled_timer.reset();
      HandleInput(next.to, timer_due{});
      return CheckNextDeadline(next.to);
    case kind::kWriteFinished:
      if (vms_[next.to]->start_count == next.start_count &&
          vms_[next.to]->runner) {
        FinishWrite(next.to);
      }
      return;
    case kind::kCrash:
      if (vms_[next.to]->start_count == next.start_count && !faults_stopped_)
        Crash(next.to);
      return;
    case kind::kResume:
      if (now_ >= vms_[next.to]->paused_until) Resume(next.to);
      return;
    case kind::kPeersDiscovered:
      return DiscoverPeers(next.to);
    case kind::kStart:
      return Start(next.to);
    case kind::kLinksRestored:
      cut_links_.clear();
      return Trace("all links up");
    case kind::kClient:
      if (!faults_stopped_) {
        ClientStep();
        const bool stale_leaders = kind_ == schedule_kind::kStaleLeaders;
        const duration longest = stale_leaders ? milliseconds(600) : seconds(2);
        Push(now_ + DrawBetween(milliseconds(20), longest), next);
      }
      return;
    case kind::kFault:
      if (!faults_stopped_) {
        FaultStep();
        const bool often = kind_ != schedule_kind::kMixed;
        const duration longest = often ? seconds(3) : seconds(8);
        Push(now_ + DrawBetween(milliseconds(100), longest), next);
      }
      return;
  }
}

void schedule_simulation::StopFaults() {
  faults_stopped_ = true;
  Trace("faults stop");
  cut_links_.clear();
  loss_percent_ = 0;
  // An election succeeds only if messages are fast compared with its timeout.
  max_delay_ = std::min(max_delay_, settings_.election_timeout / 6);
  delayed_percent_ = 0;
  for (std::size_t i = 0; i < vms_.size(); ++i) {
    vms_[i]->disk_full = vms_[i]->disk_slow = false;
    vms_[i]->crash_during_write = false;
    vms_[i]->disk_stalled_until = now_;
    Start(i);
    DiscoverPeers(i);
  }
}

// After the end of all faults, a command must be committed and all voters must
// apply it within the bound. With automatic repair there must also be the
// desired number of voters.
void schedule_simulation::CheckEnd() {
  const time_point bound = now_ + kConvergenceBound;
  std::optional<std::uint64_t> last;
  revision expected_index;
  while (invariants_.violation.empty() && now_ < bound && !queue_.empty()) {
    const scheduled_event next = queue_.top();
    queue_.pop();
    now_ = std::max(now_, next.when);
    Process(next);
    const auto leader = Leader();
    if (!leader || !IsUp(*leader)) continue;
    const simulated_vm& leader_vm = *vms_[*leader];
    const bool completed = last && pending_proposals_.count(*last) == 0;
    if (completed && expected_index.value == 0) {
      const bool committed = invariants_.acknowledged.value > 0 &&
                             leader_vm.runner->node().start_confirmed();
      if (committed) expected_index = invariants_.acknowledged;
    }
    const bool propose = !last || (completed && expected_index.value == 0);
    if (propose && leader_vm.runner->node().start_confirmed()) {
      last = next_id_;
      Propose(*leader);
      FlushAndCheck(*leader);
      continue;
    }
    if (expected_index.value == 0) continue;
    const auto& voters = leader_vm.runner->node().log().configuration().voters;
    const bool all = std::all_of(
        voters.begin(), voters.end(), [&](const cluster_member& voter) {
          const simulated_vm& vm =
              *vms_[static_cast<std::size_t>(voter.id.name[0] - 'a')];
          return vm.runner && vm.runner->node().self() == voter.id &&
                 vm.runner->node().start_confirmed() &&
                 vm.runner->node().applied() >= expected_index;
        });
    const bool enough = !automatic_repair_ || voters.size() == voters_;
    if (all && enough) return;
  }
  if (invariants_.violation.empty()) {
    invariants_.Report(
        "the VMs did not agree within the bound after the faults stopped");
  }
}

void schedule_simulation::TraceStatus(const simulated_vm& vm) {
  if (!vm.runner) return Trace(vm.name + " is down");
  const consensus_status status = vm.runner->node().Status();
  std::string voters;
  for (const cluster_member& voter : status.configuration.voters) {
    voters +=
        fmt::format(" {}:{:04x}{}", voter.id.name, voter.id.disk.value >> 48U,
                    IsDiskPresent(voter.id) ? "" : "(lost)");
  }
  Trace(fmt::format(
      "{}:{:04x} is {} in term {}, knows leader {}, applied {} of {}, last {}, "
      "confirmed {}, up {}, voters{}",
      vm.name, status.self.disk.value >> 48U, ToString(status.role),
      status.term.value, status.leader ? status.leader->name : "none",
      status.applied.value, status.commit.value, status.last_index.value,
      status.start_confirmed, IsUp(vm.index), voters));
}

void schedule_simulation::RunUntil(time_point when) {
  while (invariants_.violation.empty() && !queue_.empty() &&
         queue_.top().when <= when) {
    const scheduled_event next = queue_.top();
    queue_.pop();
    now_ = std::max(now_, next.when);
    Process(next);
  }
  now_ = std::max(now_, when);
}

std::string schedule_simulation::RunReplacement() {
  automatic_repair_ = true;
  kind_ = schedule_kind::kMixed;
  const consensus_settings defaults;
  const std::vector<vm_name> founders = settings_.founders;
  settings_ = defaults;
  settings_.founders = founders;
  settings_.desired_voters = voters_;
  max_delay_ = milliseconds(8);
  loss_percent_ = duplicate_percent_ = delayed_percent_ = 0;
  for (std::size_t i = 0; i < voters_; ++i) {
    vms_[i]->seeds = founders;
    Start(i);
  }
  RunUntil(now_ + seconds(5));
  const auto first = Leader();
  if (!first) return "no leader after the first start";
  for (int i = 0; i < 20; ++i) Propose(*first);
  FlushAndCheck(*first);
  RunUntil(now_ + seconds(1));
  const std::size_t lost = Draw(voters_);
  Crash(lost);
  vms_[lost]->permanently_down = true;
  // The new VM's seeds name one VM that is up, one that is permanently down and
  // one that never existed.
  const std::size_t seed = (lost + 1 + Draw(voters_ - 1)) % voters_;
  const std::size_t added =
      AddVm({vms_[lost]->name, vms_[seed]->name, "unknown"}, false);
  RunUntil(now_ + DrawBetween({}, seconds(10)));
  Start(added);
  RunUntil(now_ + kReplacementVoteBound);
  const auto leader = Leader();
  if (!leader) return "no leader after the replacement";
  const consensus_node& node = vms_[*leader]->runner->node();
  const voter_configuration& committed =
      node.log().ConfigurationAt(node.commit());
  const bool votes = committed.IsVoter(vms_[added]->runner->node().self());
  if (!votes) return "the new VM did not become a voter in time";
  RunUntil(now_ + seconds(2));
  CrashAll();
  for (std::size_t i = 0; i < vms_.size(); ++i) {
    scheduled_event start;
    start.type = scheduled_event::kind::kStart;
    start.to = i;
    Push(now_ + DrawBetween(milliseconds(10), seconds(1)), std::move(start));
  }
  RunUntil(now_ + kElectionBound);
  if (!Leader()) return "no leader after all VMs crashed";
  return invariants_.violation;
}

std::string schedule_simulation::Run() {
  for (std::size_t i = 0; i < vms_.size(); ++i) Start(i);
  scheduled_event client;
  client.type = scheduled_event::kind::kClient;
  Push(now_ + seconds(3), client);
  scheduled_event fault;
  fault.type = scheduled_event::kind::kFault;
  Push(now_ + DrawBetween(milliseconds(100), seconds(5)), fault);
  while (invariants_.violation.empty() && now_ < end_of_faults_ &&
         !queue_.empty()) {
    const scheduled_event next = queue_.top();
    queue_.pop();
    now_ = next.when;
    Process(next);
  }
  if (invariants_.violation.empty()) StopFaults();
  if (invariants_.violation.empty()) CheckEnd();
  if (!invariants_.violation.empty()) {
    for (const auto& vm : vms_) TraceStatus(*vm);
    Trace("INVARIANT VIOLATED: " + invariants_.violation);
  }
  return invariants_.violation;
}

}  // namespace tamaracklatch::test
