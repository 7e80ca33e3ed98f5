// Simulates the members and hubs of one installation in virtual time, under
// faults drawn from a seed: loss, duplication and delay of datagrams, cut
// connections, suspended and restarted processes, drains, reused addresses and
// wall clocks that differ. Each action of a member is checked against the state
// of the simulation.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "tamaracklatch/core/random.h"
#include "tamaracklatch/roster/roster_hub.h"
#include "tamaracklatch/roster/roster_member.h"

namespace tamaracklatch::test {

// Settings of a roster_simulation.
struct roster_simulation_settings {
  std::uint64_t seed = 1;
  std::size_t controls = 3;
  std::size_t other_nodes = 6;  // number of balancers and targets
  bool faults = true;
  bool trace = false;  // fills trace_lines()
};

// Used by the schedules and by the tests of single faults.
class roster_simulation {
 public:
  explicit roster_simulation(const roster_simulation_settings& settings);

  // Injects random faults for `length`; returns early after a violation.
  void RunFaults(duration length);
  // Ends all faults: connects all nodes, resumes suspended processes and starts
  // ended control VMs. Other ended processes stay ended.
  void EndFaults();
  // Advances the virtual time.
  void RunFor(duration length);

  // Checks what every member must know after some time without faults. Returns
  // the first difference; empty if there is none.
  std::string CheckConverged() const;
  // The first violated invariant so far; empty if none.
  const std::string& violation() const { return violation_; }
  const std::vector<std::string>& trace_lines() const { return trace_lines_; }

  // One start of one process; kept after it ended.
  struct process {
    endpoint where;
    std::size_t index = 0;  // of its address; control VMs come first
    node_role role = node_role::kTarget;
    std::string service;
    // Its monotonic clock less that of the simulation.
    duration clock_offset{0};
    bool runs = true;
    bool is_suspended = false;
    time_point last_ran;                // set while it is ended or suspended
    std::optional<time_point> ends_at;  // of a graceful stop
    std::unique_ptr<roster_member> member;
    std::unique_ptr<roster_hub> hub;
    // Datagrams that arrived while it was suspended, with their senders.
    std::deque<std::pair<endpoint, std::string>> inbox;
    std::uint64_t applied_version = 0;  // by the log of a control VM
    std::uint64_t applied_rules = 0;    // revision; the same
    std::uint64_t routes_version = 0;   // of the set received last
    std::vector<set_route> routes;      // the same
    time_point wake_at = time_point::max();

    // What its member reported so far, for the checks.
    std::map<endpoint, roster_entry> entries_seen;
    // Endpoint and generation of the starts that were gone.
    std::set<std::pair<endpoint, std::uint64_t>> gone_starts;
    std::uint64_t set_version = 0;
    std::uint64_t rules_revision = 0;
    std::optional<time_point> confirmed;
    // The newest revision of rules that a start of a hub reported to it, and
    // when it last did so by an update that its member cannot ignore.
    struct rules_report {
      std::uint64_t instance = 0;
      std::uint64_t revision = 0;
      time_point at;
    };
    std::map<endpoint, rules_report> rules_reports;
  };

  // The last start at an address.
  process* NodeAt(std::size_t index) { return nodes_[index]; }
  time_point now() const { return now_; }
  // Number and total size in bytes of the datagrams sent so far.
  std::uint64_t datagrams() const { return datagrams_; }
  std::uint64_t bytes() const { return bytes_; }
  // Cuts or restores one direction between two nodes.
  void Cut(std::size_t from, std::size_t to, bool cut);
  // A suspended process does not run; up to 300 datagrams for it are queued.
  void Suspend(std::size_t index);
  void Resume(std::size_t index);
  // Ends a process without notice.
  void Kill(std::size_t index);
  // Starts a process whose wall clock is ahead by `skew`.
  void Start(std::size_t index, const std::string& service, duration skew);
  // Begins a graceful stop.
  void Leave(std::size_t index);
  // The log accepts a new document set with this number of services.
  void Publish(std::size_t names);
  // The log accepts new placement rules.
  void PublishRules();
  // From now on, messages with rules are lost, or not any more.
  void LoseRules(bool lost) { loses_rules_ = lost; }
  void SetRecord(std::size_t index, target_condition condition,
                 std::uint32_t load);
  // Version of the last set that the log accepted.
  std::uint64_t accepted() const { return accepted_.back().second; }
  // The last rules that the log accepted.
  const placement_rules& accepted_rules() const {
    return accepted_rules_.back().second;
  }

 private:
  struct queued_event {
    time_point at;
    time_point sent;
    std::uint64_t order = 0;
    process* to = nullptr;
    endpoint from;
    std::shared_ptr<const std::string> bytes;  // null: a timer
    friend bool operator<(const queued_event& left, const queued_event& right) {
      return left.at != right.at ? left.at > right.at
                                 : left.order > right.order;
    }
  };

  std::uint64_t RandomBelow(std::uint64_t below) { return random_() % below; }
  bool Chance(double probability) {
    return static_cast<double>(random_() >> 11U) * 0x1.0p-53 < probability;
  }
  duration RandomUpTo(duration maximum) {
    return duration(static_cast<std::int64_t>(
        RandomBelow(static_cast<std::uint64_t>(maximum.count()) + 1)));
  }
  time_point LocalTime(const process& node) const {
    return now_ + node.clock_offset;
  }
  void Trace(const std::string& line);
  void ReportViolation(const process& node, const std::string& message);
  void RandomFault();
  void RunLog();
  void Tick(process* node);
  void Deliver(process* node, const endpoint& from, const std::string& bytes);
  void Perform(process* node, const roster_member::actions& actions);
  void Send(process* from, const roster_send& sent);
  void Schedule(process* node);
  void CheckEntry(process* node, const roster_entry& entry);
  void CheckRules(process* node, const placement_rules& rules);
  void CheckSet(process* node, const document_set& set);
  void CheckSuccession(process* node, const set_received& received);
  void RecordRulesReport(process* node, const endpoint& from,
                         const std::string& bytes, duration delay);
  void CheckState(process* node);
  void ApplyLog(process* node);
  std::uint64_t RulesAt(time_point when) const;
  std::uint64_t AcceptedAt(time_point when) const;

  roster_simulation_settings settings_;
  random_source random_;
  time_point now_ = time_point(std::chrono::hours(1));
  time_point next_log_;
  std::uint64_t order_ = 0;
  std::vector<std::unique_ptr<process>> processes_;
  std::vector<process*> nodes_;  // the last start at each address
  std::map<std::pair<endpoint, std::uint64_t>, process*> starts_;
  std::set<std::pair<std::size_t, std::size_t>> cuts_;
  std::priority_queue<queued_event> queue_;
  std::vector<std::pair<time_point, std::uint64_t>> accepted_;  // versions
  std::vector<std::pair<time_point, placement_rules>> accepted_rules_;
  bool loses_rules_ = false;
  std::map<std::uint64_t, std::string> sets_;
  double loss_probability_ = 0.0;
  double repeat_probability_ = 0.0;
  double long_delay_probability_ = 0.0;
  std::uint64_t datagrams_ = 0;
  std::uint64_t bytes_ = 0;
  std::string violation_;
  std::vector<std::string> trace_lines_;
};

}  // namespace tamaracklatch::test
