// The health and load of targets as one process measures them itself, and the
// choice of a target for a request. What a target reports only breaks ties.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "tamaracklatch/core/ids.h"
#include "tamaracklatch/core/random.h"
#include "tamaracklatch/core/time.h"

namespace tamaracklatch {

struct health_settings {
  duration ramp_time = std::chrono::seconds(10);  // of a cold target
  double ramp_start = 0.1;  // of its weight at the beginning of the ramp
  // Share of the targets that may be ejected at once.
  double most_ejected = 1.0 / 3.0;
  std::uint32_t fewest_tries = 10;  // in the window, before a judgement
  duration window = std::chrono::seconds(5);
  double failing_share = 0.5;  // of its tries, above which a target is ejected
  double above_peers = 2.0;    // and this many times the share over its peers
  duration first_ejection = std::chrono::seconds(5);
  duration longest_ejection = std::chrono::minutes(5);
  // How often a fresh report decides between two equal targets, above a half.
  double report_influence = 0.1;
  duration report_life = std::chrono::seconds(2);
};

// How a try at a target ended.
enum class try_result : std::uint8_t {
  kAnswered,
  kFailed,     // unreachable, broken or a server's error
  kRefused,    // for want of room: says nothing about health
  kAbandoned,  // the caller left
};

// A target was ejected or restored.
struct health_change {
  target_id target;
  bool ejected = false;
};

// Invariants: the ejected targets are at most `most_ejected` of all; the state
// is a few numbers a target.
class target_health {
 public:
  explicit target_health(health_settings settings);

  // A target may be chosen from now on. A cold one gets its share of the work
  // step by step.
  void Join(target_id target, std::uint32_t capacity, bool cold,
            time_point now);
  void Leave(target_id target);

  // A try begins or ends. One that ends after its target left says nothing.
  void OnBegin(target_id target);
  void OnEnd(target_id target, try_result result, time_point now);

  // The target reports the share of its slots that is busy, measured then.
  void OnReport(target_id target, double busy, time_point measured);

  // The better of two targets drawn by weight: the one with fewer of this
  // process' own tries for its weight. None where no target can be chosen.
  // `without` is left out.
  std::optional<target_id> Choose(std::optional<target_id> without,
                                  time_point now, random_source* random) const;

  // Ejects and restores.
  std::vector<health_change> Tick(time_point now);

  // Zero while the target is ejected or unknown.
  double WeightOf(target_id target, time_point now) const;
  std::uint32_t OpenTries(target_id target) const;

 private:
  // Tries that ended, in two halves of the window.
  struct try_counts {
    double answered = 0.0;
    double failed = 0.0;

    double Sum() const { return answered + failed; }
    double FailedShare() const { return Sum() == 0.0 ? 0.0 : failed / Sum(); }
  };
  struct target_state {
    std::uint32_t capacity = 1;
    std::optional<time_point> ramp_begin;
    std::uint32_t open = 0;
    try_counts older;
    try_counts newer;
    std::optional<time_point> ejected_until;
    duration ejection{0};  // the last one's length
    double busy = 0.0;
    std::optional<time_point> measured;

    try_counts Counts() const;
  };

  double Weight(const target_state& target, time_point now) const;
  bool IsOutlier(const target_state& target) const;
  std::size_t Ejected() const;
  // Whether the left target is the better one.
  bool IsBetter(const target_state& left, const target_state& right,
                time_point now, random_source* random) const;

  health_settings settings_;
  std::map<target_id, target_state> targets_;
  time_point half_began_{};
};

}  // namespace tamaracklatch
