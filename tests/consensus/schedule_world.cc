// The virtual world: a queue of happenings, faults drawn from one seed.
#include "consensus/schedule_world.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstring>
#include <utility>

#include "tamaracklatch/core/hash.h"

namespace tamaracklatch::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kVmsBesideVoters = 2;  // to be added and removed
constexpr duration kFastest = milliseconds(2);
constexpr seconds kEndBound{240};  // for all VMs to agree once all is healed
constexpr seconds kLossCounts{20};
constexpr std::size_t kMostVms = 16;
constexpr duration kFastestSync = std::chrono::microseconds(500);
constexpr duration kSlowestSync = milliseconds(2);
constexpr int kFaultySync = 28;     // times as slow
constexpr seconds kVoteBound{4};    // from a newcomer's start to its vote
constexpr seconds kLeaderBound{3};  // from the kill of all to a leader
constexpr std::uint64_t kLateVotePercent = 50;
constexpr std::uint64_t kReadId = std::uint64_t{1} << 62U;

}  // namespace

// --- The machine ---

void recorded_machine::Apply(revision index, std::string_view command) {
  if (index <= last_) book_->Break("an index was applied twice");
  auto& history = book_->history;
  const std::uint64_t hash = HashText(command);
  state_ = HashPair(HashPair(state_, hash), index.value);
  last_ = index;
  if (index.value < history.size()) {
    const accepted_command& known = history[index.value];
    if (known.command != hash || known.state != state_) {
      book_->Break(
          fmt::format("another command was applied at {}", index.value));
    }
    return;
  }
  history.resize(index.value + 1);
  history[index.value] = {hash, state_};
}

std::string recorded_machine::Snapshot() {
  std::string bytes(16 + padding_, '.');
  std::memcpy(bytes.data(), &last_.value, 8);
  std::memcpy(bytes.data() + 8, &state_, 8);
  return bytes;
}

bool recorded_machine::Restore(std::string_view snapshot,
                               failure* /*last_failure*/) {
  revision last;
  std::memcpy(&last.value, snapshot.data(), 8);
  std::memcpy(&state_, snapshot.data() + 8, 8);
  if (last < last_) book_->Break("a snapshot took the state back");
  last_ = last;
  const bool known =
      last.value == 0 || (last.value < book_->history.size() &&
                          book_->history[last.value].state == state_);
  if (!known) book_->Break("a snapshot differs from what was applied");
  return true;
}

// --- VMs and happenings ---

// One VM: its disk, and while it is up its runner.
struct schedule_world::vm final : public consensus_listener,
                                  public batch_writer {
  vm(schedule_world* in, std::size_t number, vm_name called)
      : world(in), index(number), name(std::move(called)) {}

  void OnSend(const consensus_message& message) override {
    world->Send(index, message);
  }

  void OnProposalOutcome(const proposal_outcome& outcome) override {
    const auto found = world->proposed_.find(outcome.id);
    if (found == world->proposed_.end()) {
      return world->book_.Break("an answer came twice");
    }
    const std::uint64_t command = found->second;
    world->proposed_.erase(found);
    if (outcome.code != result_code::kOk) return;
    ++world->acknowledged_count_;
    world->acknowledged_now_ = true;
    auto& book = world->book_;
    book.acknowledged = std::max(book.acknowledged, outcome.index);
    if (command == 0) return;  // a voter change
    const auto& history = book.history;
    const bool there = outcome.index.value < history.size() &&
                       history[outcome.index.value].command == command;
    if (!there) book.Break("an acknowledged command was not applied");
  }

  void OnReadOutcome(const read_outcome& outcome) override {
    const auto found = world->asked_.find(outcome.id);
    if (found == world->asked_.end()) {
      return world->book_.Break("a read was answered twice");
    }
    const revision expected = found->second;
    world->asked_.erase(found);
    if (outcome.code != result_code::kOk) return;
    if (outcome.index < expected) {
      world->book_.Break(fmt::format("{} read {} after {} was acknowledged",
                                     name, outcome.index.value,
                                     expected.value));
    }
    if (runner && runner->node().applied() < outcome.index) {
      world->book_.Break("a read was answered before it was applied");
    }
  }

  void Write(const storage_batch& batch) override {
    world->WriteToDisk(index, batch);
  }

  void OnEvent(const event& what) override {
    if (!world->traced_) return;
    world->Trace(fmt::format("{} {} {} {} {}", name, ToString(what.id),
                             ToString(what.code), what.peer, what.detail));
  }

  schedule_world* world;
  std::size_t index;
  vm_name name;
  double rate = 1.0;  // of its clock
  duration offset{};  // of its clock
  std::vector<vm_name> seeds;
  bool founds = false;
  bool gone = false;  // for good
  fake_disk disk;
  const storage_batch* writing = nullptr;  // on its way to the disk
  time_point disk_hangs_until;
  bool disk_slow = false;
  bool disk_full = false;
  bool crashes_in_write = false;  // the next one
  random_source disk_random;
  std::unique_ptr<fake_log_storage> storage;
  std::unique_ptr<recorded_machine> machine;
  std::unique_ptr<consensus_runner> runner;  // none: it is down
  std::uint64_t life = 0;                    // counts starts
  std::optional<time_point> woken;           // the next wake-up in the queue
  bool voted = false;       // for another, by the input at hand
  bool stood = false;       // for election, by the input at hand
  time_point paused_until;  // it is up, but its process does not run
  duration suspended{};     // its clock stands still for so long in that pause
  // What a VM that is down had.
  member_id last_self;
  voter_configuration last_configuration;
  revision last_configuration_index;
  revision last_commit;
};

struct schedule_world::happening {
  enum class kind {
    kMessage,
    kWake,
    kDisk,
    kStart,
    kCrash,
    kResume,
    kTold,
    kClient,
    kFault,
    kUncut
  };
  kind what = kind::kWake;
  std::size_t to = 0;
  std::size_t from = 0;
  std::uint64_t life = 0;
  time_point when;
  std::uint64_t order = 0;
  std::shared_ptr<consensus_message> message;
};

bool schedule_world::later::operator()(const happening& left,
                                       const happening& right) const {
  return left.when != right.when ? left.when > right.when
                                 : left.order > right.order;
}

schedule_world::~schedule_world() = default;

schedule_world::schedule_world(std::uint64_t seed, std::size_t voters,
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
  padding_ = Draw(400);
  slowest_ = DrawBetween(milliseconds(5), settings_.election_timeout / 6);
  loss_percent_ = Draw(4) == 0 ? Draw(30) : Draw(3);
  repeat_percent_ = Draw(10);
  if (kind_ == schedule_kind::kStorm) {
    slowest_ = DrawBetween(slowest_, settings_.election_timeout);
    late_percent_ = Draw(30);
  }
  if (kind_ == schedule_kind::kStale) {
    slowest_ = DrawBetween(milliseconds(4), milliseconds(30));
    loss_percent_ = 0;
  }
  end_of_faults_ = now_ + DrawBetween(seconds(20), seconds(60));
  heals_ = Chance(60);
  if (heals_) {
    settings_.desired_voters = voters;
    settings_.voter_reply_timeout =
        DrawBetween(settings_.election_timeout,
                    3 * settings_.election_timeout) +
        settings_.heartbeat_interval;
    settings_.learner_reply_timeout = DrawBetween(seconds(5), seconds(30));
  }
  std::vector<vm_name> all;
  for (std::size_t i = 0; i < voters + kVmsBesideVoters; ++i) {
    all.emplace_back(1, static_cast<char>('a' + i));
    if (i < voters) settings_.founders.push_back(all.back());
  }
  for (std::size_t i = 0; i < all.size(); ++i) {
    AddVm(heals_ ? settings_.founders : all, i < voters || !heals_);
  }
}

std::size_t schedule_world::AddVm(std::vector<vm_name> seeds, bool founds) {
  const std::size_t i = vms_.size();
  vms_.push_back(
      std::make_unique<vm>(this, i, vm_name(1, static_cast<char>('a' + i))));
  vm& one = *vms_.back();
  one.seeds = std::move(seeds);
  one.founds = founds;
  // Two clocks differ in rate.
  one.rate = 1.0 + (static_cast<double>(Draw(81)) - 40.0) / 1000.0;
  one.offset = duration(Draw(1000000));
  one.disk_random.seed(random_());
  return i;
}

std::uint64_t schedule_world::Draw(std::uint64_t below) {
  return random_() % below;
}

duration schedule_world::DrawBetween(duration low, duration high) {
  return low + duration(Draw(static_cast<std::uint64_t>(
                   std::max<duration::rep>((high - low).count(), 1))));
}

void schedule_world::Trace(const std::string& text) {
  if (!traced_) return;
  const double at = static_cast<double>(now_.time_since_epoch().count()) / 1e6;
  timeline_.push_back(fmt::format("{:10.4f} {}", at, text));
}

void schedule_world::Push(time_point when, happening what) {
  what.when = when;
  what.order = sequence_++;
  queue_.push(std::move(what));
}

time_point schedule_world::LocalTime(const vm& one) const {
  const double since = static_cast<double>(now_.time_since_epoch().count());
  return time_point(one.offset +
                    duration(static_cast<duration::rep>(since * one.rate)));
}

time_point schedule_world::WorldTime(const vm& one, time_point local) const {
  const double since =
      static_cast<double>((local.time_since_epoch() - one.offset).count());
  return time_point(duration(static_cast<duration::rep>(since / one.rate) + 2));
}

// --- Messages ---

// A member votes for one candidate in a term, over all of its lives.
void schedule_world::CheckVote(const member_id& voter, log_term term,
                               const member_id& candidate) {
  const auto [found, fresh] =
      book_.votes.emplace(std::make_pair(voter, term.value), candidate);
  if (found->second == candidate) return;
  book_.Break(fmt::format("{} voted twice in term {}", voter.name, term.value));
}

void schedule_world::Send(std::size_t from, const consensus_message& message) {
  const auto* asked = std::get_if<vote_request>(&message.body);
  const auto* given = std::get_if<vote_reply>(&message.body);
  const bool stands = asked != nullptr && !asked->pre_vote;
  if (stands) {
    vms_[from]->stood = true;
    CheckVote(message.from, asked->term, message.from);
  }
  if (given != nullptr && given->granted && !given->pre_vote) {
    vms_[from]->voted = true;
    CheckVote(message.from, given->term, message.to);
  }
  const std::size_t to = static_cast<std::size_t>(message.to.name[0] - 'a');
  if (to >= vms_.size() || cut_.count({from, to}) != 0 ||
      Chance(loss_percent_)) {
    return;
  }
  const int copies = Chance(repeat_percent_) ? 2 : 1;
  auto shared = std::make_shared<consensus_message>(message);
  for (int i = 0; i < copies; ++i) {
    happening what;
    what.what = happening::kind::kMessage;
    what.to = to;
    what.from = from;
    what.message = shared;
    // Each message has a delay of its own, so that they overtake each other.
    const bool hunted = stands && kind_ == schedule_kind::kStorm;
    const bool late =
        !healed_ && Chance(hunted ? kLateVotePercent : late_percent_);
    const duration slowest = late ? 4 * settings_.election_timeout : slowest_;
    Push(now_ + DrawBetween(kFastest, slowest), std::move(what));
  }
}

void schedule_world::Deliver(const happening& what) {
  if (cut_.count({what.from, what.to}) != 0) return;
  Input(what.to, message_received{*what.message});
}

void schedule_world::Input(std::size_t index, const consensus_input& input) {
  vm& one = *vms_[index];
  if (!one.runner) return;
  one.runner->Handle(input, LocalTime(one));
  Settle(index);
}

// Carries out what an input caused and looks at the promises.
void schedule_world::Settle(std::size_t index) {
  vm& one = *vms_[index];
  one.runner->Flush(LocalTime(one));
  CheckPromises(index);
  if (one.runner->node().role() == consensus_role::kStopped) {
    return Crash(index);
  }
  LoseAnotherAfterRepair(index);
  if (one.runner) CrashAfterVote(index);
  if (one.runner) Wake(index);
  if (acknowledged_now_) AskOldLeaders();
}

void schedule_world::WriteToDisk(std::size_t index,
                                 const storage_batch& batch) {
  vm& one = *vms_[index];
  one.writing = &batch;
  duration takes = DrawBetween(kFastestSync, kSlowestSync);
  if (one.disk_slow) takes *= kFaultySync;
  takes += std::max(one.disk_hangs_until - now_, duration{});
  happening what;
  what.to = index;
  what.life = one.life;
  if (one.crashes_in_write) {
    one.crashes_in_write = false;
    what.what = happening::kind::kCrash;
    Push(now_ + DrawBetween({}, takes), what);
  }
  what.what = happening::kind::kDisk;
  Push(now_ + takes, std::move(what));
}

void schedule_world::FinishWrite(std::size_t index) {
  vm& one = *vms_[index];
  const storage_batch& batch = *std::exchange(one.writing, nullptr);
  if (one.disk_full) {
    one.storage->PersistPart(batch);
    one.runner->OnWritten(failure{result_code::kDiskFull, "no room"},
                          LocalTime(one));
  } else {
    one.storage->Persist(batch, nullptr);
    one.runner->OnWritten(std::nullopt, LocalTime(one));
  }
  Settle(index);
}

// A crash between a vote and all that comes after it.
void schedule_world::CrashAfterVote(std::size_t index) {
  vm& one = *vms_[index];
  const bool voted = one.voted;
  const bool stood = one.stood;
  one.voted = one.stood = false;
  if (healed_ || kind_ != schedule_kind::kStorm) return;
  if (voted && Chance(30)) Crash(index);
  if (stood && Chance(30)) Pause(index);
}

void schedule_world::Pause(std::size_t index) {
  vm& one = *vms_[index];
  if (!one.runner || now_ < one.paused_until) return;
  const duration lasts =
      DrawBetween(milliseconds(100), 4 * settings_.election_timeout);
  one.paused_until = now_ + lasts;
  if (Chance(50)) one.suspended = lasts;
  Trace(fmt::format("{} is {}", one.name,
                    one.suspended > duration{} ? "suspended" : "paused"));
  happening what;
  what.what = happening::kind::kResume;
  what.to = index;
  Push(one.paused_until, std::move(what));
}

// The clock of a suspended VM stood still.
void schedule_world::Resume(std::size_t index) {
  vm& one = *vms_[index];
  const double stood = static_cast<double>(one.suspended.count()) * one.rate;
  // Never back, by rounding either.
  one.offset -= duration(static_cast<duration::rep>(stood) - 2);
  one.suspended = {};
  one.woken.reset();
  if (one.runner) Wake(index);
}

bool schedule_world::IsUp(std::size_t index) const {
  const vm& one = *vms_[index];
  return one.runner != nullptr && one.suspended == duration{};
}

void schedule_world::CrashAll() {
  Trace("all crash");
  for (std::size_t i = 0; i < vms_.size(); ++i) Crash(i);
}

void schedule_world::HarmDisk(std::size_t index) {
  vm& one = *vms_[index];
  switch (Draw(3)) {
    case 0:
      one.disk_full = !one.disk_full;
      return Trace(one.name + (one.disk_full ? " has no room" : " has room"));
    case 1:
      one.disk_slow = !one.disk_slow;
      return Trace(one.name + (one.disk_slow ? " is slow" : " is fast"));
    default:
      one.disk_hangs_until = now_ + DrawBetween(milliseconds(200), seconds(8));
      return Trace(one.name + " has a disk that hangs");
  }
}

// A VM is gone for good, and another one comes, whose seeds may name VMs that
// are gone.
std::size_t schedule_world::Exchange(std::size_t index) {
  LoseDisk(index);
  vms_[index]->gone = true;
  std::vector<vm_name> seeds;
  while (seeds.size() < 3) seeds.push_back(vms_[PickVm()]->name);
  const std::size_t added = AddVm(std::move(seeds), false);
  Trace(fmt::format("{} is gone, {} comes", vms_[index]->name,
                    vms_[added]->name));
  happening what;
  what.what = happening::kind::kStart;
  what.to = added;
  Push(now_ + DrawBetween(milliseconds(10), seconds(3)), what);
  what.what = happening::kind::kTold;
  Push(now_ + DrawBetween(seconds(1), seconds(6)), what);
  return added;
}

// What a VM hears from others than the seeds.
void schedule_world::TellOfAll(std::size_t index) {
  peers_discovered known;
  for (const auto& one : vms_) {
    if (!one->gone) known.names.push_back(one->name);
  }
  if (IsUp(index)) Input(index, known);
}

// Whoever still believes that it leads is asked for what was just accepted.
void schedule_world::AskOldLeaders() {
  acknowledged_now_ = false;
  for (std::size_t i = 0; i < vms_.size(); ++i) {
    const auto& runner = vms_[i]->runner;
    if (!runner || runner->node().role() != consensus_role::kLeader) continue;
    if (Leader() == i) continue;
    Read(i);
    if (IsUp(i)) Settle(i);
  }
}

void schedule_world::Wake(std::size_t index) {
  vm& one = *vms_[index];
  const time_point local = one.runner->NextDeadline();
  const time_point when = std::max(WorldTime(one, local), now_);
  const bool pending = one.woken && *one.woken <= when;
  if (pending) return;
  one.woken = when;
  happening what;
  what.what = happening::kind::kWake;
  what.to = index;
  what.life = one.life;
  Push(when, std::move(what));
}

// Whether the member's disk holds nearly all before `index`. A disk that is
// lost by now may have.
bool schedule_world::HadCaughtUp(const member_id& id, revision index) const {
  if (!IsAlive(id)) return true;
  const auto at = static_cast<std::size_t>(id.name[0] - 'a');
  const stored_state& held = vms_[at]->disk.durable;
  revision last = held.snapshot ? held.snapshot->index : revision{};
  if (!held.entries.empty()) last = std::max(last, held.entries.back().index);
  return last.value + settings_.promotion_lag_entries + 1 >= index.value;
}

// A leader lets vote only who has caught up, and takes nobody out before the
// one who takes the place has.
void schedule_world::CheckChange(const consensus_node& node) {
  const replicated_log& log = node.log();
  const revision at = log.configuration_index();
  const bool own = at > log.base() && log.TermAt(at) == node.term();
  if (!heals_ || !own || !changes_.insert(at).second) return;
  const voter_configuration& next = log.configuration();
  const voter_configuration& before = log.ConfigurationAt({at.value - 1});
  for (const cluster_member& voter : next.voters) {
    if (before.IsVoter(voter.id) || HadCaughtUp(voter.id, at)) continue;
    book_.Break(voter.id.name + " was let vote before it caught up");
  }
  for (const cluster_member& voter : before.voters) {
    if (next.IsVoter(voter.id) || next.voters.size() >= voters_) continue;
    const bool replaced = std::any_of(
        next.learners.begin(), next.learners.end(), [&](const auto& learner) {
          return learner.id.name == voter.id.name &&
                 HadCaughtUp(learner.id, at);
        });
    if (replaced) continue;
    book_.Break(voter.id.name + " was taken out before another caught up");
  }
}

// A tick does what is due: the next one lies ahead.
void schedule_world::CheckWake(std::size_t index) {
  const vm& one = *vms_[index];
  if (!one.runner) return;
  const bool ahead = one.runner->NextDeadline() > LocalTime(one);
  if (!ahead)
    book_.Break(
        fmt::format("{} has a wake-up that lies behind by {}", one.name,
                    (LocalTime(one) - one.runner->NextDeadline()).count()));
}

void schedule_world::CheckPromises(std::size_t index) {
  vm& one = *vms_[index];
  const consensus_node& node = one.runner->node();
  if (node.role() == consensus_role::kLeader) {
    const auto [found, fresh] =
        book_.leaders.emplace(node.term().value, node.self());
    if (found->second != node.self()) {
      book_.Break(fmt::format("two leaders in term {}", node.term().value));
    }
    if (fresh && traced_) Trace(fmt::format("{} leads", one.name));
    CheckChange(node);
    const bool storm = kind_ == schedule_kind::kStorm && !healed_;
    if (fresh && storm && Chance(40)) Pause(index);
  }
  if (!node.start_confirmed()) return;
  revision& served = book_.served[one.name];
  if (node.applied() < served) {
    book_.Break(fmt::format("{} serves {} after {}", one.name,
                            node.applied().value, served.value));
  }
  served = node.applied();
}

// --- VMs ---

void schedule_world::Start(std::size_t index) {
  vm& one = *vms_[index];
  if (one.runner || one.gone) return;
  Trace(one.name + " starts");
  consensus_settings settings = settings_;
  settings.name = one.name;
  settings.peers = one.seeds;
  if (!one.founds) settings.founders.clear();
  one.storage = std::make_unique<fake_log_storage>(&one.disk, &one.disk_random);
  one.machine = std::make_unique<recorded_machine>(&book_, padding_);
  one.runner = consensus_runner::Start(
      settings, one.storage.get(), one.machine.get(), &one,
      random_source(random_()), LocalTime(one), nullptr, &one);
  ++one.life;
  one.woken.reset();
  Settle(index);
}

void schedule_world::Crash(std::size_t index) {
  vm& one = *vms_[index];
  if (!one.runner) return;
  Trace(one.name + " crashes");
  const consensus_node& node = one.runner->node();
  one.last_self = node.self();
  one.last_configuration = node.log().configuration();
  one.last_configuration_index = node.log().configuration_index();
  one.last_commit = node.commit();
  if (one.writing != nullptr) one.storage->PersistPart(*one.writing);
  one.writing = nullptr;
  one.suspended = {};
  one.runner.reset();
  happening what;
  what.what = happening::kind::kStart;
  what.to = index;
  const bool quick =
      kind_ == schedule_kind::kStorm || kind_ == schedule_kind::kStale;
  duration longest = Chance(20) ? seconds(30) : seconds(3);
  if (quick && !Chance(10)) longest = milliseconds(100);
  Push(now_ + DrawBetween(milliseconds(10), longest), std::move(what));
}

bool schedule_world::IsAlive(const member_id& id) const {
  return std::any_of(vms_.begin(), vms_.end(), [&](const auto& one) {
    return one->name == id.name && one->disk.durable.hard.disk == id.disk;
  });
}

// A disk may be lost while, in every configuration that may count, a quorum of
// the voters keeps its disks.
bool schedule_world::MayLoseDisk(std::size_t index) const {
  struct view {
    const voter_configuration* configuration;
    revision at;
  };
  std::vector<view> views;
  revision settled;  // index of the newest committed configuration
  for (const auto& one : vms_) {
    if (one->runner) {
      const consensus_node& node = one->runner->node();
      const replicated_log& log = node.log();
      views.push_back({&log.configuration(), log.configuration_index()});
      if (log.configuration_index() <= node.commit()) {
        settled = std::max(settled, log.configuration_index());
      }
    } else {
      views.push_back(
          {&one->last_configuration, one->last_configuration_index});
      if (one->last_configuration_index <= one->last_commit) {
        settled = std::max(settled, one->last_configuration_index);
      }
    }
  }
  // Where the leader heals, no more disks are lost at a time than a goal of
  // voters tolerates; a loss counts until its successor had time to vote.
  const std::size_t tolerated = (voters_ - 1) / 2;
  const auto recent = static_cast<std::size_t>(std::count_if(
      losses_.begin(), losses_.end(),
      [&](time_point when) { return now_ - when < kLossCounts; }));
  if (heals_ && recent >= tolerated) return false;
  for (const view& one : views) {
    std::size_t missing = 0;
    for (const cluster_member& voter : one.configuration->voters) {
      if (!IsAlive(voter.id)) ++missing;
    }
    if (heals_ && one.at >= settled && missing >= tolerated) return false;
  }
  const vm& lost = *vms_[index];
  const member_id lost_id{lost.name, lost.disk.durable.hard.disk};
  std::size_t founding_views = 0;
  for (const view& one : views) {
    if (one.at < settled || one.configuration->voters.empty()) continue;
    ++founding_views;
    // A learner may become a voter in the next moment.
    voter_configuration soon = *one.configuration;
    for (const cluster_member& learner : one.configuration->learners) {
      for (const cluster_member& voter : one.configuration->voters) {
        if (voter.id.name == learner.id.name) soon = soon.Without(voter.id);
      }
      soon = soon.WithVoter(learner.id);
    }
    const std::array<const voter_configuration*, 2> both{one.configuration,
                                                         &soon};
    for (const voter_configuration* counted : both) {
      std::size_t left = 0;
      for (const cluster_member& voter : counted->voters) {
        // The founding may still be on its way to the disk.
        const auto at = static_cast<std::size_t>(voter.id.name[0] - 'a');
        const bool joined = vms_[at]->disk.durable.hard.cluster.value != 0;
        if (voter.id != lost_id && joined && IsAlive(voter.id)) ++left;
      }
      if (left < counted->Quorum()) return false;
    }
  }
  return founding_views > 0;
}

void schedule_world::LoseDisk(std::size_t index) {
  vm& one = *vms_[index];
  Crash(index);
  Trace(one.name + " loses its disk");
  one.disk = {};
  one.last_configuration = {};
  ++disks_lost_;
  losses_.push_back(now_);
  repair_watched_ = true;
}

// Loses the disk of a second VM in the moment in which the repair of a first
// one is accepted.
void schedule_world::LoseAnotherAfterRepair(std::size_t index) {
  if (!repair_watched_ || healed_) return;
  const vm& one = *vms_[index];
  const consensus_node& node = one.runner->node();
  const replicated_log& log = node.log();
  if (node.role() != consensus_role::kLeader ||
      log.configuration_index() > node.commit()) {
    return;
  }
  const auto& voters = log.configuration().voters;
  const bool repaired = std::all_of(
      voters.begin(), voters.end(),
      [&](const cluster_member& voter) { return IsAlive(voter.id); });
  if (!repaired) return;
  repair_watched_ = false;
  if (Chance(40)) return;
  const std::size_t second =
      static_cast<std::size_t>(voters[Draw(voters.size())].id.name[0] - 'a');
  if (MayLoseDisk(second)) LoseDisk(second);
}

std::optional<std::size_t> schedule_world::Leader() const {
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

// --- Clients ---

void schedule_world::Propose(std::size_t index) {
  if (!IsUp(index)) return;
  const std::uint64_t id = next_id_++;
  const std::string command = fmt::format("{}{:{}}", id, "", 1 + Draw(40));
  proposed_[id] = HashText(command);
  vm& one = *vms_[index];
  one.runner->Handle(command_proposed{id, command}, LocalTime(one));
}

void schedule_world::Read(std::size_t index) {
  vm& one = *vms_[index];
  if (!IsUp(index)) return;
  const std::uint64_t id = kReadId + next_id_++;
  asked_[id] = book_.acknowledged;
  one.runner->Handle(read_requested{id}, LocalTime(one));
}

void schedule_world::ClientStep() {
  const std::size_t index = Chance(80) ? Leader().value_or(PickVm()) : PickVm();
  const std::uint64_t batch = Chance(20) ? 1 + Draw(8) : 1;
  for (std::uint64_t i = 0; i < batch; ++i) Propose(index);
  if (IsUp(index)) Settle(index);
  const std::size_t reader = PickVm();
  Read(reader);
  if (IsUp(reader)) Settle(reader);
}

// --- Faults ---

void schedule_world::FaultStep() {
  const std::size_t index = Chance(40) ? Leader().value_or(PickVm()) : PickVm();
  vm& one = *vms_[index];
  if (kind_ == schedule_kind::kChurn && !heals_ && Chance(60)) {
    return ChangeVoters();
  }
  if (kind_ == schedule_kind::kStale && Chance(60)) {
    return Chance(30) ? Cut() : Crash(PickVm());
  }
  if (Chance(3)) return CrashAll();
  if (heals_ && Chance(20)) {
    const bool may = vms_.size() < kMostVms && !one.gone && MayLoseDisk(index);
    if (may) Exchange(index);
    return;
  }
  switch (Draw(9)) {
    case 8:
      return Pause(index);
    case 0:
      return Crash(index);
    case 1:
    case 2:
      one.crashes_in_write = true;
      return;
    case 3:
      return HarmDisk(index);
    case 4:
      if (MayLoseDisk(index)) LoseDisk(index);
      return;
    case 5:
      return heals_ ? Crash(index) : ChangeVoters();
    default:
      return Cut();
  }
}

void schedule_world::Cut() {
  const std::size_t index = Chance(50) ? Leader().value_or(PickVm()) : PickVm();
  const std::uint64_t shape =
      kind_ == schedule_kind::kStale && Chance(70) ? 3 : Draw(4);
  const std::size_t other = PickVm();
  const std::uint64_t side = 1 + Draw((1U << vms_.size()) - 2);
  for (std::size_t from = 0; from < vms_.size(); ++from) {
    for (std::size_t to = 0; to < vms_.size(); ++to) {
      const bool across = ((side >> from) & 1U) != ((side >> to) & 1U);
      const bool cut = shape == 0   ? across
                       : shape == 1 ? from == index  // it is not heard
                       : shape == 2 ? to == index    // it hears nobody
                                    : from == index && to == other;
      if (cut && from != to) cut_.insert({from, to});
    }
  }
  Trace(fmt::format("cut, shape {} at {} side {:x}", shape, vms_[index]->name,
                    side));
  happening what;
  what.what = happening::kind::kUncut;
  const duration longest = Chance(15) ? seconds(180) : seconds(12);
  const duration lasts = DrawBetween(seconds(1), longest);
  end_of_faults_ = std::max(end_of_faults_, now_ + lasts);
  Push(now_ + lasts, std::move(what));
}

void schedule_world::ChangeVoters() {
  const auto leader = Leader();
  if (!leader || !IsUp(*leader)) return;
  vm& one = *vms_[*leader];
  const std::uint64_t id = next_id_++;
  proposed_[id] = 0;
  voter_change_requested change;
  change.id = id;
  const vm& other = *vms_[PickVm()];
  const auto& configuration = one.runner->node().log().configuration();
  const bool add = !configuration.HasName(other.name);
  change.kind = add ? voter_change_requested::change_kind::kAdd
                    : voter_change_requested::change_kind::kRemove;
  change.name = other.name;
  // An operator who keeps enough voters that are well.
  const auto well = static_cast<std::size_t>(
      std::count_if(configuration.voters.begin(), configuration.voters.end(),
                    [&](const cluster_member& voter) {
                      return voter.id.name != other.name && IsAlive(voter.id);
                    }));
  const std::size_t left = configuration.voters.size() - 1;
  if (!add && (left < 2 || well < left / 2 + 1)) {
    proposed_.erase(id);
    return;
  }
  Trace(fmt::format("{} asked to {} {}", one.name, add ? "add" : "remove",
                    other.name));
  one.runner->Handle(change, LocalTime(one));
  Settle(*leader);
}

// --- The run ---

void schedule_world::Happen(const happening& what) {
  using kind = happening::kind;
  const bool for_process = what.what == kind::kMessage ||
                           what.what == kind::kWake || what.what == kind::kDisk;
  const time_point paused_until = vms_[what.to]->paused_until;
  const bool suspended = vms_[what.to]->suspended > duration{};
  if (for_process && (now_ < paused_until || suspended)) {
    // What waits for the process comes in any order.
    return Push(paused_until + DrawBetween({}, milliseconds(1)), what);
  }
  switch (what.what) {
    case kind::kMessage:
      return Deliver(what);
    case kind::kWake:
      if (vms_[what.to]->life != what.life) return;
      if (vms_[what.to]->woken <= what.when) vms_[what.to]->woken.reset();
      Input(what.to, timer_due{});
      return CheckWake(what.to);
    case kind::kDisk:
      if (vms_[what.to]->life == what.life && vms_[what.to]->runner) {
        FinishWrite(what.to);
      }
      return;
    case kind::kCrash:
      if (vms_[what.to]->life == what.life && !healed_) Crash(what.to);
      return;
    case kind::kResume:
      if (now_ >= vms_[what.to]->paused_until) Resume(what.to);
      return;
    case kind::kTold:
      return TellOfAll(what.to);
    case kind::kStart:
      return Start(what.to);
    case kind::kUncut:
      cut_.clear();
      return Trace("all links up");
    case kind::kClient:
      if (!healed_) {
        ClientStep();
        const bool stale = kind_ == schedule_kind::kStale;
        const duration longest = stale ? milliseconds(600) : seconds(2);
        Push(now_ + DrawBetween(milliseconds(20), longest), what);
      }
      return;
    case kind::kFault:
      if (!healed_) {
        FaultStep();
        const bool often = kind_ != schedule_kind::kMixed;
        const duration longest = often ? seconds(3) : seconds(8);
        Push(now_ + DrawBetween(milliseconds(100), longest), what);
      }
      return;
  }
}

void schedule_world::Heal() {
  healed_ = true;
  Trace("healed");
  cut_.clear();
  loss_percent_ = 0;
  // An election needs messages that are fast against its timeout.
  slowest_ = std::min(slowest_, settings_.election_timeout / 6);
  late_percent_ = 0;
  for (std::size_t i = 0; i < vms_.size(); ++i) {
    vms_[i]->disk_full = vms_[i]->disk_slow = false;
    vms_[i]->crashes_in_write = false;
    vms_[i]->disk_hangs_until = now_;
    Start(i);
    TellOfAll(i);
  }
}

// Once all is healed, a command is accepted and all members apply it.
void schedule_world::CheckEnd() {
  const time_point bound = now_ + kEndBound;
  std::optional<std::uint64_t> last;
  revision goal;
  while (book_.broken.empty() && now_ < bound && !queue_.empty()) {
    const happening what = queue_.top();
    queue_.pop();
    now_ = std::max(now_, what.when);
    Happen(what);
    const auto leader = Leader();
    if (!leader || !IsUp(*leader)) continue;
    const vm& lead = *vms_[*leader];
    const bool answered = last && proposed_.count(*last) == 0;
    if (answered && goal.value == 0) {
      const bool accepted =
          book_.acknowledged.value > 0 && lead.runner->node().start_confirmed();
      if (accepted) goal = book_.acknowledged;
    }
    const bool ask = !last || (answered && goal.value == 0);
    if (ask && lead.runner->node().start_confirmed()) {
      last = next_id_;
      Propose(*leader);
      Settle(*leader);
      continue;
    }
    if (goal.value == 0) continue;
    const auto& voters = lead.runner->node().log().configuration().voters;
    const bool all = std::all_of(
        voters.begin(), voters.end(), [&](const cluster_member& voter) {
          const vm& one =
              *vms_[static_cast<std::size_t>(voter.id.name[0] - 'a')];
          return one.runner && one.runner->node().self() == voter.id &&
                 one.runner->node().start_confirmed() &&
                 one.runner->node().applied() >= goal;
        });
    const bool enough = !heals_ || voters.size() == voters_;
    if (all && enough) return;
  }
  if (book_.broken.empty()) {
    book_.Break("the healed VMs did not agree within the bound");
  }
}

void schedule_world::TraceStatus(const vm& one) {
  if (!one.runner) return Trace(one.name + " is down");
  const consensus_status status = one.runner->node().Status();
  std::string voters;
  for (const cluster_member& voter : status.configuration.voters) {
    voters +=
        fmt::format(" {}:{:04x}{}", voter.id.name, voter.id.disk.value >> 48U,
                    IsAlive(voter.id) ? "" : "(lost)");
  }
  Trace(fmt::format(
      "{}:{:04x} is {} in term {}, knows leader {}, applied {} of {}, last {}, "
      "confirmed {}, up {}, voters{}",
      one.name, status.self.disk.value >> 48U, ToString(status.role),
      status.term.value, status.leader ? status.leader->name : "none",
      status.applied.value, status.commit.value, status.last_index.value,
      status.start_confirmed, IsUp(one.index), voters));
}

void schedule_world::RunUntil(time_point when) {
  while (book_.broken.empty() && !queue_.empty() && queue_.top().when <= when) {
    const happening what = queue_.top();
    queue_.pop();
    now_ = std::max(now_, what.when);
    Happen(what);
  }
  now_ = std::max(now_, when);
}

std::string schedule_world::RunExchange() {
  heals_ = true;
  kind_ = schedule_kind::kMixed;
  const consensus_settings product;
  const std::vector<vm_name> founders = settings_.founders;
  settings_ = product;
  settings_.founders = founders;
  settings_.desired_voters = voters_;
  slowest_ = milliseconds(8);
  loss_percent_ = repeat_percent_ = late_percent_ = 0;
  for (std::size_t i = 0; i < voters_; ++i) {
    vms_[i]->seeds = founders;
    Start(i);
  }
  RunUntil(now_ + seconds(5));
  const auto first = Leader();
  if (!first) return "no leader stands";
  for (int i = 0; i < 20; ++i) Propose(*first);
  Settle(*first);
  RunUntil(now_ + seconds(1));
  const std::size_t lost = Draw(voters_);
  Crash(lost);
  vms_[lost]->gone = true;
  // The newcomer knows one VM that lives, and two that are gone or unknown.
  const std::size_t seed = (lost + 1 + Draw(voters_ - 1)) % voters_;
  const std::size_t added =
      AddVm({vms_[lost]->name, vms_[seed]->name, "unknown"}, false);
  RunUntil(now_ + DrawBetween({}, seconds(10)));
  Start(added);
  RunUntil(now_ + kVoteBound);
  const auto leader = Leader();
  if (!leader) return "no leader stands after the exchange";
  const consensus_node& node = vms_[*leader]->runner->node();
  const voter_configuration& accepted =
      node.log().ConfigurationAt(node.commit());
  const bool votes = accepted.IsVoter(vms_[added]->runner->node().self());
  if (!votes) return "the newcomer does not vote in time";
  RunUntil(now_ + seconds(2));
  CrashAll();
  for (std::size_t i = 0; i < vms_.size(); ++i) {
    happening start;
    start.what = happening::kind::kStart;
    start.to = i;
    Push(now_ + DrawBetween(milliseconds(10), seconds(1)), std::move(start));
  }
  RunUntil(now_ + kLeaderBound);
  if (!Leader()) return "no leader stands after the kill of all";
  return book_.broken;
}

std::string schedule_world::Run() {
  for (std::size_t i = 0; i < vms_.size(); ++i) Start(i);
  happening client;
  client.what = happening::kind::kClient;
  Push(now_ + seconds(3), client);
  happening fault;
  fault.what = happening::kind::kFault;
  Push(now_ + DrawBetween(milliseconds(100), seconds(5)), fault);
  while (book_.broken.empty() && now_ < end_of_faults_ && !queue_.empty()) {
    const happening what = queue_.top();
    queue_.pop();
    now_ = what.when;
    Happen(what);
  }
  if (book_.broken.empty()) Heal();
  if (book_.broken.empty()) CheckEnd();
  if (!book_.broken.empty()) {
    for (const auto& one : vms_) TraceStatus(*one);
    Trace("BROKEN: " + book_.broken);
  }
  return book_.broken;
}

}  // namespace tamaracklatch::test
