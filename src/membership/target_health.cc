// Weighting, outlier ejection and choice of targets.
#include "tamaracklatch/membership/target_health.h"

#include <algorithm>
#include <cassert>

namespace tamaracklatch {

target_health::target_health(health_settings settings) : settings_(settings) {
  assert(settings.ramp_start > 0.0 && settings.ramp_start <= 1.0);
  assert(settings.max_ejected_share >= 0.0 && settings.max_ejected_share < 1.0);
}

target_health::try_counts target_health::target_state::Counts() const {
  return {older_half.answered + newer_half.answered,
          older_half.failed + newer_half.failed};
}

void target_health::Join(target_id target, std::uint32_t capacity, bool cold,
                         time_point now) {
  target_state& state = targets_[target];
  state = target_state();
  state.capacity = capacity;
  if (cold) state.ramp_start_time = now;
}

void target_health::Leave(target_id target) { targets_.erase(target); }

void target_health::OnBegin(target_id target) {
  const auto found = targets_.find(target);
  if (found != targets_.end()) ++found->second.open_tries;
}

void target_health::OnEnd(target_id target, try_result result,
                          time_point /*now*/) {
  const auto found = targets_.find(target);
  if (found == targets_.end()) return;
  target_state& state = found->second;
  if (state.open_tries > 0) --state.open_tries;
  if (result == try_result::kAnswered) state.newer_half.answered += 1.0;
  if (result == try_result::kFailed) state.newer_half.failed += 1.0;
}

void target_health::OnReport(target_id target, double busy_share,
                             time_point measured_at) {
  const auto found = targets_.find(target);
  if (found == targets_.end()) return;
  if (found->second.measured_at && *found->second.measured_at > measured_at)
    return;
  found->second.busy_share = std::clamp(busy_share, 0.0, 1.0);
  found->second.measured_at = measured_at;
}

double target_health::Weight(const target_state& target, time_point now) const {
  if (target.ejected_until) return 0.0;
  const double full = target.capacity;
  if (!target.ramp_start_time) return full;
  const duration elapsed = now - *target.ramp_start_time;
  if (elapsed >= settings_.ramp_time) return full;
  const double ramp_share = std::max(
      0.0, std::chrono::duration<double>(elapsed) / settings_.ramp_time);
  return full * std::max(settings_.ramp_start, ramp_share);
}

bool target_health::IsBetter(const target_state& left,
                             const target_state& right, time_point now,
                             random_source* random) const {
  const double left_load = (left.open_tries + 1) / Weight(left, now);
  const double right_load = (right.open_tries + 1) / Weight(right, now);
  if (left_load != right_load) return left_load < right_load;
  const auto is_fresh = [&](const target_state& target) {
    return target.measured_at &&
           now - *target.measured_at <= settings_.report_lifetime;
  };
  double chance = 0.5;
  // Reports decide only part of the ties, so that a change of reports does not
  // send all requests to the same target.
  if (is_fresh(left) && is_fresh(right) &&
      left.busy_share != right.busy_share) {
    chance += left.busy_share < right.busy_share ? settings_.report_influence
                                                 : -settings_.report_influence;
  }
  return std::uniform_real_distribution<double>(0.0, 1.0)(*random) < chance;
}

std::optional<target_id> target_health::Choose(
    std::optional<target_id> excluded, time_point now,
    random_source* random) const {
  std::vector<target_id> ids;
  std::vector<double> weights;
  for (const auto& [id, state] : targets_) {
    const double weight = Weight(state, now);
    if (id == excluded || weight <= 0.0) continue;
    ids.push_back(id);
    weights.push_back(weight);
  }
  if (ids.empty()) return std::nullopt;
  std::discrete_distribution<std::size_t> first_draw(weights.begin(),
                                                     weights.end());
  const std::size_t first = first_draw(*random);
  if (ids.size() == 1) return ids[first];
  weights[first] = 0.0;
  std::discrete_distribution<std::size_t> second_draw(weights.begin(),
                                                      weights.end());
  const std::size_t second = second_draw(*random);
  const bool left =
      IsBetter(targets_.at(ids[first]), targets_.at(ids[second]), now, random);
  return left ? ids[first] : ids[second];
}

std::size_t target_health::CountEjected() const {
  return static_cast<std::size_t>(
      std::count_if(targets_.begin(), targets_.end(), [](const auto& entry) {
        return entry.second.ejected_until.has_value();
      }));
}

bool target_health::IsOutlier(const target_state& target) const {
  const try_counts own = target.Counts();
  if (own.Total() < settings_.min_tries) return false;
  if (own.FailedShare() < settings_.ejection_failed_share) return false;
  // Compared with all peers together, so that a failure common to all targets
  // ejects none.
  try_counts peers;
  for (const auto& [id, peer] : targets_) {
    if (&peer == &target || peer.ejected_until) continue;
    peers.answered += peer.Counts().answered;
    peers.failed += peer.Counts().failed;
  }
  return own.FailedShare() > settings_.peer_failure_ratio * peers.FailedShare();
}

std::vector<health_change> target_health::Tick(time_point now) {
  std::vector<health_change> changes;
  for (auto& [id, state] : targets_) {
    // If a target was not ejected for four ramp times after its return, its
    // next ejection is short again.
    const bool is_reliable =
        state.ramp_start_time && !state.ejected_until &&
        now - *state.ramp_start_time >= settings_.ramp_time * 4;
    if (is_reliable) state.ejection = duration(0);
  }
  // An ejected target returns cold and with its counts reset.
  for (auto& [id, state] : targets_) {
    if (!state.ejected_until || *state.ejected_until > now) continue;
    state.ejected_until.reset();
    state.ramp_start_time = now;
    state.older_half = {};
    state.newer_half = {};
    changes.push_back({id, false});
  }
  const auto max_ejected = static_cast<std::size_t>(
      settings_.max_ejected_share * static_cast<double>(targets_.size()));
  for (auto& [id, state] : targets_) {
    if (state.ejected_until || CountEjected() >= max_ejected ||
        !IsOutlier(state))
      continue;
    state.ejection = state.ejection == duration(0)
                         ? settings_.min_ejection
                         : std::min(state.ejection * 2, settings_.max_ejection);
    state.ejected_until = now + state.ejection;
    changes.push_back({id, true});
  }
  if (now - half_window_start_ >= settings_.window / 2) {
    half_window_start_ = now;
    for (auto& [id, state] : targets_) {
      state.older_half = state.newer_half;
      state.newer_half = {};
    }
  }
  return changes;
}

double target_health::WeightOf(target_id target, time_point now) const {
  const auto found = targets_.find(target);
  return found == targets_.end() ? 0.0 : Weight(found->second, now);
}

std::uint32_t target_health::OpenTries(target_id target) const {
  const auto found = targets_.find(target);
  return found == targets_.end() ? 0 : found->second.open_tries;
}

}  // namespace tamaracklatch
