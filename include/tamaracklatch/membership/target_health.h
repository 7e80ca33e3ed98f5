// Health and load of targets as measured locally by one process, and the choice
// of a target for a request. Load reported by a target only breaks ties.
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
  // A cold target reaches its full weight after this time.
  duration ramp_time = std::chrono::seconds(10);
  double ramp_start = 0.1;  // share of its full weight at the start of the ramp
  // Share of the targets that may be ejected at the same time, rounded down.
  double max_ejected_share = 1.0 / 3.0;
  std::uint32_t min_tries = 10;  // in the window, before it may be ejected
  duration window = std::chrono::seconds(5);  // in which tries are counted
  // A target is an outlier if at least this share of its tries failed and the
  // share exceeds peer_failure_ratio times that of its peers.
  double ejection_failed_share = 0.5;
  double peer_failure_ratio = 2.0;
  // The first ejection lasts min_ejection, each further one twice as long as
  // the one before, up to max_ejection.
  duration min_ejection = std::chrono::seconds(5);
  duration max_ejection = std::chrono::minutes(5);
  // Added to the probability of one half with which the less busy of two
  // equally loaded targets is chosen. Applies only if both have a report no
  // older than report_lifetime.
  double report_influence = 0.1;
  duration report_lifetime = std::chrono::seconds(2);
};

// How a try of a request at a target ended.
enum class try_result : std::uint8_t {
  kAnswered,
  kFailed,     // unreachable, broken or a server's error
  kRefused,    // no free capacity; does not count for health
  kAbandoned,  // the caller left; does not count for health
};

// A target was ejected or restored.
struct health_change {
  target_id target;
  bool ejected = false;
};

// Used by a target daemon that passes requests on to its peers. Invariants: no
// ejection raises the number of ejected targets above `max_ejected_share` of
// all; the state of each target has a constant size.
class target_health {
 public:
  explicit target_health(health_settings settings);

  // A target may be chosen from now on. The weight of a cold one rises to its
  // capacity over ramp_time.
  void Join(target_id target, std::uint32_t capacity, bool cold,
            time_point now);
  void Leave(target_id target);

  // A try begins or ends. Ignored for a target that has left.
  void OnBegin(target_id target);
  void OnEnd(target_id target, try_result result, time_point now);

  // The target reports which share of its slots is busy, 0 to 1. Ignored if it
  // was measured before the last report.
  void OnReport(target_id target, double busy_share, time_point measured_at);

  // Draws two targets by weight and returns the one with fewer open tries of
  // this process for its weight. Returns nothing if no target can be chosen.
  // `excluded` is not chosen.
  std::optional<target_id> Choose(std::optional<target_id> excluded,
                                  time_point now, random_source* random) const;

  // Called periodically: restores targets whose ejection is over and ejects
  // outliers. Returns the changes.
  std::vector<health_change> Tick(time_point now);

  // Zero while the target is ejected or unknown.
  double WeightOf(target_id target, time_point now) const;
  std::uint32_t OpenTries(target_id target) const;

 private:
  // Tries that ended in one half of the window, which moves on by halves.
  struct try_counts {
    double answered = 0.0;
    double failed = 0.0;

    double Total() const { return answered + failed; }
    double FailedShare() const {
      return Total() == 0.0 ? 0.0 : failed / Total();
    }
  };
  struct target_state {
    std::uint32_t capacity = 1;
    std::optional<time_point> ramp_start_time;  // none: joined warm
    std::uint32_t open_tries = 0;               // begun and not ended
    try_counts older_half;
    try_counts newer_half;
    std::optional<time_point> ejected_until;
    // Length of the last ejection; zero if the next one is to be a first one.
    duration ejection{0};
    double busy_share = 0.0;
    std::optional<time_point> measured_at;

    try_counts Counts() const;
  };

  double Weight(const target_state& target, time_point now) const;
  // Whether its failed share warrants an ejection.
  bool IsOutlier(const target_state& target) const;
  std::size_t CountEjected() const;
  // Whether the left target is the better one.
  bool IsBetter(const target_state& left, const target_state& right,
                time_point now, random_source* random) const;

  health_settings settings_;
  std::map<target_id, target_state> targets_;
  time_point half_window_start_{};
};

}  // namespace tamaracklatch
