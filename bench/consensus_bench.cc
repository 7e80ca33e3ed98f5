// The replicated log: commands a second, bytes and syncs a command, and the
// time from a command to its acceptance in virtual time.
#include <fmt/format.h>

#include <algorithm>
#include <cassert>
#include <cstdlib>
#include <filesystem>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <vector>

#include "report.h"
#include "tamaracklatch/consensus/consensus_runner.h"
#include "tamaracklatch/consensus/file_log_storage.h"

namespace tamaracklatch::bench {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kMembers = 3;
constexpr std::size_t kCommandBytes = 1024;              // a service document
constexpr duration kRetransmission = milliseconds(200);  // of TCP, doubled at
                                                         // each further loss

// Keeps nothing: for figures without a disk.
class no_storage final : public log_storage {
 public:
  std::optional<stored_state> Load(failure* /*last_failure*/) override {
    return stored_state{};
  }
  bool Persist(const storage_batch& /*batch*/,
               failure* /*last_failure*/) override {
    ++batches;
    return true;
  }
  std::uint64_t batches = 0;
};

class no_machine final : public replicated_state_machine {
 public:
  void Apply(revision /*index*/, std::string_view /*command*/) override {}
  std::string Snapshot() override { return std::string(1, 's'); }
  bool Restore(std::string_view /*snapshot*/,
               failure* /*last_failure*/) override {
    return true;
  }
};

// A line between two members as TCP gives it: in order, a lost segment comes
// late and holds up what follows.
struct line_settings {
  duration one_way{};
  double loss = 0.0;
};

// Members in virtual time, all on one queue.
class virtual_members {
 public:
  virtual_members(const line_settings& line, std::uint64_t seed,
                  std::vector<std::unique_ptr<log_storage>> storages)
      : line_(line), random_(seed), storages_(std::move(storages)) {
    consensus_settings settings;
    for (std::size_t i = 0; i < kMembers; ++i) {
      settings.founders.emplace_back(1, static_cast<char>('a' + i));
    }
    for (std::size_t i = 0; i < kMembers; ++i) {
      members_.push_back(std::make_unique<member>(this, i));
      settings.name = settings.founders[i];
      members_[i]->runner = consensus_runner::Start(
          settings, storages_[i].get(), &members_[i]->machine,
          members_[i].get(), random_source(random_()), now_, nullptr);
      assert(members_[i]->runner);
      Settle(i);
    }
    while (!Leader()) Step();
    RunFor(seconds(5));
  }

  std::optional<std::size_t> Leader() const {
    for (std::size_t i = 0; i < kMembers; ++i) {
      const auto& node = members_[i]->runner->node();
      const bool leads =
          node.role() == consensus_role::kLeader && node.start_confirmed();
      if (leads) return i;
    }
    return std::nullopt;
  }

  // Proposes `count` commands together to the leader.
  void Propose(std::uint64_t count, const std::string& command) {
    const auto leader = Leader();
    if (!leader) return;
    for (std::uint64_t i = 0; i < count; ++i) {
      const std::uint64_t id = next_id_++;
      started_[id] = now_;
      members_[*leader]->runner->Handle(command_proposed{id, command}, now_);
    }
    Settle(*leader);
  }

  void RunFor(duration time) {
    const time_point end = now_ + time;
    while (!queue_.empty() && queue_.top().when <= end) Step();
    now_ = std::max(now_, end);
  }

  // Runs until all commands are answered.
  void RunUntilAnswered() {
    while (!started_.empty()) Step();
  }

  std::vector<duration> accepted;     // time from proposal to answer
  std::uint64_t outcome_unknown = 0;  // answers that name no outcome
  std::uint64_t messages = 0;
  std::uint64_t bytes = 0;  // of all messages, encoded
  bool count_bytes = false;

 private:
  struct member final : public consensus_listener {
    member(virtual_members* in, std::size_t number) : all(in), index(number) {}
    void OnSend(const consensus_message& message) override {
      all->Send(index, message);
    }
    void OnProposalOutcome(const proposal_outcome& outcome) override {
      const auto found = all->started_.find(outcome.id);
      assert(found != all->started_.end());
      if (outcome.code == result_code::kOk) {
        all->accepted.push_back(all->now_ - found->second);
      } else {
        ++all->outcome_unknown;
      }
      all->started_.erase(found);
    }
    void OnReadOutcome(const read_outcome& /*outcome*/) override {}
    void OnEvent(const event& /*what*/) override {}

    virtual_members* all;
    std::size_t index;
    no_machine machine;
    std::unique_ptr<consensus_runner> runner;
    std::optional<time_point> woken;
  };

  struct happening {
    time_point when;
    std::uint64_t order = 0;
    std::size_t to = 0;
    std::shared_ptr<consensus_message> message;  // none: a timer
    bool operator<(const happening& other) const {
      return when != other.when ? when > other.when : order > other.order;
    }
  };

  void Send(std::size_t from, const consensus_message& message) {
    const auto to = static_cast<std::size_t>(message.to.name[0] - 'a');
    ++messages;
    if (count_bytes) bytes += EncodeConsensusMessage(message).size();
    duration delay = line_.one_way;
    duration wait = kRetransmission;
    std::uniform_real_distribution<double> chance(0.0, 1.0);
    while (chance(random_) < line_.loss) {
      delay += wait;
      wait *= 2;
    }
    time_point& last = last_arrival_[{from, to}];
    last = std::max(last, now_ + delay);
    queue_.push(
        {last, order_++, to, std::make_shared<consensus_message>(message)});
  }

  void Settle(std::size_t index) {
    member& one = *members_[index];
    one.runner->Flush(now_);
    const time_point next = std::max(one.runner->NextDeadline(), now_);
    if (one.woken && *one.woken <= next) return;
    one.woken = next;
    queue_.push({next, order_++, index, nullptr});
  }

  void Step() {
    const happening what = queue_.top();
    queue_.pop();
    now_ = std::max(now_, what.when);
    member& one = *members_[what.to];
    if (what.message) {
      one.runner->Handle(message_received{*what.message}, now_);
    } else {
      if (one.woken == what.when) one.woken.reset();
      one.runner->Handle(timer_due{}, now_);
    }
    Settle(what.to);
  }

  line_settings line_;
  random_source random_;
  time_point now_;
  std::vector<std::unique_ptr<log_storage>> storages_;
  std::vector<std::unique_ptr<member>> members_;
  std::priority_queue<happening> queue_;
  std::map<std::pair<std::size_t, std::size_t>, time_point> last_arrival_;
  std::uint64_t order_ = 0;
  std::uint64_t next_id_ = 1;
  std::map<std::uint64_t, time_point> started_;
};

std::vector<std::unique_ptr<log_storage>> NoStorages() {
  std::vector<std::unique_ptr<log_storage>> storages;
  for (std::size_t i = 0; i < kMembers; ++i) {
    storages.push_back(std::make_unique<no_storage>());
  }
  return storages;
}

double Milliseconds(duration time) {
  return static_cast<double>(time.count()) / 1000.0;
}

// Time to acceptance with the users' delays and losses, one command at a time.
void MeasureTimeToAccept(report& figures) {
  constexpr std::uint64_t kCommands = 20000;
  const std::string command(kCommandBytes, 'c');
  for (const duration one_way : {duration(3500), duration(3000)}) {
    for (const double loss : {0.0, 0.01, 0.1}) {
      virtual_members members({one_way, loss}, 20261204, NoStorages());
      // 0.76 changes a second is the target's rate.
      for (std::uint64_t i = 0; i < kCommands; ++i) {
        members.Propose(1, command);
        members.RunFor(milliseconds(1316));
      }
      members.RunUntilAnswered();
      auto& times = members.accepted;
      std::sort(times.begin(), times.end());
      const std::string name = fmt::format("{} ms one way, {}% loss",
                                           Milliseconds(one_way), loss * 100);
      const auto at = [&](double share) {
        return Milliseconds(times[static_cast<std::size_t>(
            share * static_cast<double>(times.size() - 1))]);
      };
      const std::string goal = loss == 0.0   ? ""
                               : loss < 0.05 ? "< 2000, in force"
                                             : "< 10000, in force";
      figures.Add(
          {"consensus", "to accepted, p50, " + name, at(0.5), "ms", ""});
      figures.Add(
          {"consensus", "to accepted, p99, " + name, at(0.99), "ms", goal});
      figures.Add(
          {"consensus", "to accepted, max, " + name, at(1.0), "ms", ""});
      figures.Add({"consensus", "outcome unknown, " + name,
                   static_cast<double>(members.outcome_unknown),
                   fmt::format("of {}", kCommands), ""});
    }
  }
}

void MeasureRate(report& figures) {
  const std::string command(kCommandBytes, 'c');
  for (const std::uint64_t batch : {1, 16, 64}) {
    const std::uint64_t rounds = 20000 / batch;
    virtual_members members({duration(3000), 0.0}, 1, NoStorages());
    const double took = SecondsOf([&] {
      for (std::uint64_t i = 0; i < rounds; ++i) {
        members.Propose(batch, command);
        members.RunUntilAnswered();
      }
    });
    figures.Add({"consensus",
                 fmt::format("commands of 1 KB, 3 members in one thread, "
                             "{} together",
                             batch),
                 static_cast<double>(rounds * batch) / took, "commands/s", ""});
  }
}

void MeasureBytes(report& figures) {
  const std::string command(kCommandBytes, 'c');
  for (const std::uint64_t batch : {1, 16, 64}) {
    const std::uint64_t rounds = 3200 / batch;
    virtual_members members({duration(3000), 0.0}, 1, NoStorages());
    members.count_bytes = true;
    members.bytes = members.messages = 0;
    for (std::uint64_t i = 0; i < rounds; ++i) {
      members.Propose(batch, command);
      members.RunUntilAnswered();
    }
    const auto commands = static_cast<double>(rounds * batch);
    figures.Add({"consensus", fmt::format("messages, {} together", batch),
                 static_cast<double>(members.messages) / commands,
                 "messages/command", ""});
    figures.Add({"consensus",
                 fmt::format("bytes on the links, 1 KB, {} together", batch),
                 static_cast<double>(members.bytes) / commands, "bytes/command",
                 ""});
  }
}

void MeasureIdle(report& figures) {
  virtual_members members({duration(3000), 0.0}, 1, NoStorages());
  members.count_bytes = true;
  members.bytes = members.messages = 0;
  members.RunFor(seconds(100));
  figures.Add({"consensus", "heartbeats of 3 idle members, all links",
               static_cast<double>(members.bytes) / 100.0, "bytes/s", ""});
}

// Syncs and bytes on a real disk, one leader of three with files.
void MeasureFiles(report& figures) {
  const std::string command(kCommandBytes, 'c');
  for (const std::uint64_t batch : {1, 16, 64}) {
    std::string pattern =
        (std::filesystem::temp_directory_path() / "tamaracklatch-bench-XXXXXX")
            .string();
    if (mkdtemp(pattern.data()) == nullptr) return;
    std::vector<std::unique_ptr<log_storage>> storages;
    std::vector<const file_log_storage*> files;
    for (std::size_t i = 0; i < kMembers; ++i) {
      auto storage = std::make_unique<file_log_storage>(
          file_log_settings{fmt::format("{}/{}", pattern, i), 8 * 1024 * 1024});
      files.push_back(storage.get());
      storages.push_back(std::move(storage));
    }
    const std::uint64_t rounds = std::max<std::uint64_t>(1600 / batch, 50);
    const auto commands = static_cast<double>(rounds * batch);
    virtual_members members({duration(3000), 0.0}, 1, std::move(storages));
    const file_log_counts before = files[0]->counts();
    const double took = SecondsOf([&] {
      for (std::uint64_t i = 0; i < rounds; ++i) {
        members.Propose(batch, command);
        members.RunUntilAnswered();
      }
    });
    const file_log_counts& after = files[0]->counts();
    const std::string name = fmt::format("{} together", batch);
    figures.Add(
        {"consensus", "syncs of one member, " + name,
         static_cast<double>(after.file_syncs - before.file_syncs) / commands,
         "syncs/command", ""});
    figures.Add(
        {"consensus", "bytes written by one member, 1 KB, " + name,
         static_cast<double>(after.bytes_written - before.bytes_written) /
             commands,
         "bytes/command", ""});
    figures.Add({"consensus", "3 members with files in one thread, " + name,
                 commands / took, "commands/s", ""});
    std::filesystem::remove_all(pattern);
  }
}

void MeasureConsensus(report& figures) {
  MeasureRate(figures);
  MeasureBytes(figures);
  MeasureIdle(figures);
  MeasureFiles(figures);
  MeasureTimeToAccept(figures);
}

const registration kConsensus("consensus", MeasureConsensus);

}  // namespace
}  // namespace tamaracklatch::bench
