// A fleet of target daemons and their targets in virtual time, for the
// benchmarks of the request plane. It counts what the targets really ran.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <vector>

#include "tamaracklatch/membership/target_health.h"
#include "tamaracklatch/request/request_server.h"

namespace tamaracklatch::bench {

// How the first target of a request is chosen.
struct pick_random {};          // as a flow's bucket does
struct pick_least_reported {};  // the one that reports the fewest busy slots
using pick_policy = std::variant<pick_random, pick_least_reported>;

struct fleet_settings {
  std::size_t targets = 7;
  std::uint32_t slots = 4;
  std::uint32_t true_slots = 4;
  std::vector<request_class> classes;
  admission_policy policy;
  bool limits = true;     // false: neither limits nor refusals nor fair turns
  bool hand_over = true;  // a daemon without room passes to another, once
  pick_policy pick;
  duration report_lag{0};
  bool lying = false;  // the first target reports that it is idle
  duration service_time = std::chrono::milliseconds(100);  // mean, exponential
  int lost_answers = 0;  // percent of the keyed answers that their callers miss
  std::uint64_t seed = 1;
};

// A stream of requests of one class.
struct fleet_load {
  std::string class_name;
  double rate = 0.0;  // requests a second
  std::uint32_t callers = 50;
  std::uint64_t first_caller = 1;
  bool keyed = false;
  std::size_t account = 0;  // where its results are counted
  duration from{0};
  duration until{0};
};

// Results of one account.
struct fleet_account {
  std::uint64_t sent = 0;
  std::uint64_t good = 0;  // answered whole before the deadline
  std::uint64_t refused = 0;
  std::uint64_t runs = 0;
  std::vector<duration> waits;  // from the send to the answer
};

struct fleet_result {
  std::vector<fleet_account> accounts;
  std::uint64_t doubled = 0;        // keys that ran more than once
  std::uint64_t lost = 0;           // sends without any answer at the end
  std::uint64_t false_not_run = 0;  // refused as not run, and ran
  std::vector<double> imbalance;    // busiest over mean, a window each
};

class request_fleet {
 public:
  explicit request_fleet(const fleet_settings& settings);
  ~request_fleet();
  request_fleet(const request_fleet&) = delete;
  request_fleet& operator=(const request_fleet&) = delete;

  fleet_result Run(const std::vector<fleet_load>& loads, duration length);

 private:
  // What a caller wants done.
  struct intent {
    std::size_t load = 0;
    caller_id caller;
    std::optional<idempotency_key> key;
    time_point sent;
    time_point deadline;
    std::size_t target = 0;
    std::optional<std::size_t> passed_by;
    std::uint32_t runs = 0;
    bool answered = false;
    bool not_run = false;
    bool resent = false;
  };
  // A try at a target: with more than the true slots it waits inside.
  struct target_run {
    attempt_id attempt;
    std::size_t intent = 0;
  };
  struct target_state {
    std::unique_ptr<request_server> server;
    std::unique_ptr<target_health> others;  // as this daemon measures them
    std::map<attempt_id, std::size_t> working;
    std::deque<target_run> inside;
    time_point since;          // of the last change of `working`
    double window_busy = 0.0;  // slot-seconds in this window
    std::deque<std::pair<time_point, double>> reports;
    std::optional<time_point> tick;  // of its next timer event
  };
  enum class event_kind : std::uint8_t {
    kLoad,     // the next request of a load
    kArrive,   // an intent at a target, after a hop
    kRunEnds,  // a target ends an attempt
    kTimer,    // of a server
    kReport,   // of all targets
    kWindow,   // of the imbalance
  };
  struct fleet_event {
    time_point at;
    std::uint64_t order = 0;
    event_kind kind = event_kind::kLoad;
    std::size_t index = 0;
    std::size_t target = 0;
    attempt_id attempt;
    bool passed = false;

    friend bool operator<(const fleet_event& left, const fleet_event& right) {
      if (left.at != right.at) return left.at > right.at;
      return left.order > right.order;
    }
  };

  void Push(fleet_event what, duration delay);
  void OnLoad(std::size_t load);
  void OnArrive(const fleet_event& what);
  void OnRunEnds(const fleet_event& what);
  void OnReport();
  void OnWindow();
  std::size_t Pick();
  double Reported(std::size_t target) const;
  void Account(target_state* target);
  void Begin(std::size_t target, const target_run& run);
  void Apply(std::size_t target, const request_actions& actions);
  void Carry(std::size_t target, const start_attempt& action);
  void Carry(std::size_t target, const cancel_attempt& action);
  void Carry(std::size_t target, const pass_request& action);
  void Carry(std::size_t target, const answer_refusal& action);
  void Carry(std::size_t target, const answer_whole& action);
  template <typename Action>
  void Carry(std::size_t, const Action&) {}
  void Answered(std::size_t index, bool whole);

  fleet_settings settings_;
  random_source random_;
  time_point now_{};
  time_point end_{};
  std::uint64_t last_order_ = 0;
  std::uint64_t last_request_ = 0;
  std::priority_queue<fleet_event> events_;
  std::vector<target_state> targets_;
  std::vector<fleet_load> loads_;
  std::vector<intent> intents_;
  std::map<request_id, std::size_t> open_;
  fleet_result result_;
};

}  // namespace tamaracklatch::bench
