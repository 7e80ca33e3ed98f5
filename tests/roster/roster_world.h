// Members and hubs of one installation in virtual time, under faults drawn from
// a seed: loss, repetition, delay, cuts, stops, restarts, drains, addresses
// used again and wall clocks that differ. What members say is checked against
// the truth at each step.
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

struct world_settings {
  std::uint64_t seed = 1;
  std::size_t controls = 3;
  std::size_t others = 6;  // balancers and targets
  bool faults = true;
  bool trace = false;
};

class roster_world {
 public:
  explicit roster_world(const world_settings& settings);

  // Random faults for `span`.
  void RunFaults(duration span);
  // All faults end; processes that are gone stay gone.
  void Calm();
  void RunFor(duration span);

  // What every member must know after some quiet time; empty if it does.
  std::string CheckQuiet() const;
  // The first broken promise so far; empty if none.
  const std::string& broken() const { return broken_; }
  const std::vector<std::string>& timeline() const { return timeline_; }

  // One start of one process, kept after its end.
  struct process {
    endpoint where;
    std::size_t place = 0;  // which address; the first ones are of control VMs
    node_role role = node_role::kTarget;
    std::string service;
    duration clock{0};  // its monotonic clock less the world's
    bool runs = true;
    bool is_stopped = false;         // frozen
    time_point lived;                // when it last ran, while it does not
    std::optional<time_point> ends;  // a graceful stop
    std::unique_ptr<roster_member> member;
    std::unique_ptr<roster_hub> hub;
    std::deque<std::pair<endpoint, std::string>> inbox;  // while it is stopped
    std::uint64_t applied = 0;  // by the log, at a control VM
    time_point wake = time_point::max();

    // For the checks.
    std::map<endpoint, roster_entry> seen;
    std::set<std::pair<endpoint, std::uint64_t>> gone;  // with generation
    std::uint64_t set_version = 0;
    std::optional<time_point> confirmed;
  };

  process* At(std::size_t place) { return places_[place]; }
  time_point now() const { return now_; }
  std::uint64_t datagrams() const { return datagrams_; }
  std::uint64_t bytes() const { return bytes_; }
  void Cut(std::size_t from, std::size_t to, bool cut);
  void Freeze(std::size_t place);
  void Thaw(std::size_t place);
  void Kill(std::size_t place);
  // A new start; `skew` of the wall clock.
  void Start(std::size_t place, const std::string& service, duration skew);
  void Leave(std::size_t place);
  void Publish(std::size_t names);
  void SetRecord(std::size_t place, target_condition condition,
                 std::uint32_t load);
  std::uint64_t accepted() const { return accepted_.back().second; }

 private:
  struct item {
    time_point at;
    std::uint64_t order = 0;
    process* to = nullptr;
    endpoint from;
    std::shared_ptr<const std::string> bytes;  // null: a wake-up
    friend bool operator<(const item& left, const item& right) {
      return left.at != right.at ? left.at > right.at
                                 : left.order > right.order;
    }
  };

  std::uint64_t Draw(std::uint64_t below) { return random_() % below; }
  bool Happens(double share) {
    return static_cast<double>(random_() >> 11U) * 0x1.0p-53 < share;
  }
  duration UpTo(duration most) {
    return duration(static_cast<std::int64_t>(
        Draw(static_cast<std::uint64_t>(most.count()) + 1)));
  }
  time_point Local(const process& one) const { return now_ + one.clock; }
  void Say(const std::string& line);
  void Break(const process& one, const std::string& what);
  void RandomFault();
  void RunLog();
  void Tick(process* one);
  void Deliver(process* one, const endpoint& from, const std::string& bytes);
  void Perform(process* one, const roster_member::actions& actions);
  void Send(process* from, const roster_send& sent);
  void Schedule(process* one);
  void CheckEntry(process* one, const roster_entry& entry);
  void CheckState(process* one);
  std::uint64_t AcceptedAt(time_point when) const;

  world_settings settings_;
  random_source random_;
  time_point now_ = time_point(std::chrono::hours(1));
  time_point next_log_;
  std::uint64_t order_ = 0;
  std::vector<std::unique_ptr<process>> processes_;
  std::vector<process*> places_;  // the last start at each address
  std::map<std::pair<endpoint, std::uint64_t>, process*> starts_;
  std::set<std::pair<std::size_t, std::size_t>> cuts_;
  std::priority_queue<item> queue_;
  std::vector<std::pair<time_point, std::uint64_t>> accepted_;
  std::map<std::uint64_t, std::string> sets_;
  double loss_ = 0.0;
  double repeat_ = 0.0;
  double late_ = 0.0;
  std::uint64_t datagrams_ = 0;
  std::uint64_t bytes_ = 0;
  std::string broken_;
  std::vector<std::string> timeline_;
};

}  // namespace tamaracklatch::test
