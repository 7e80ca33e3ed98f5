// Weights, ejections and the choice of a target.
#include "tamaracklatch/membership/target_health.h"

#include <algorithm>
#include <cassert>

namespace tamaracklatch {

target_health::target_health(health_settings settings) : settings_(settings) {
  assert(settings.ramp_start > 0.0 && settings.ramp_start <= 1.0);
  assert(settings.most_ejected >= 0.0 && settings.most_ejected < 1.0);
}

target_health::try_counts target_health::target_state::Counts() const {
  return {older.answered + newer.answered, older.failed + newer.failed};
}

void target_health::Join(target_id target, std::uint32_t capacity, bool cold,
                         time_point now) {
  target_state& state = targets_[target];
  state = target_state();
  state.capacity = capacity;
  if (cold) state.ramp_begin = now;
}

void target_health::Leave(target_id target) { targets_.erase(target); }

void target_health::OnBegin(target_id target) {
  const auto found = targets_.find(target);
  if (found != targets_.end()) ++found->second.open;
}

void target_health::OnEnd(target_id target, try_result result,
                          time_point /*now*/) {
  const auto found = targets_.find(target);
  if (found == targets_.end()) return;
  target_state& state = found->second;
  if (state.open > 0) --state.open;
  if (result == try_result::kAnswered) state.newer.answered += 1.0;
  if (result == try_result::kFailed) state.newer.failed += 1.0;
}

void target_health::OnReport(target_id target, double busy,
                             time_point measured) {
  const auto found = targets_.find(target);
  if (found == targets_.end()) return;
  if (found->second.measured && *found->second.measured > measured) return;
  found->second.busy = std::clamp(busy, 0.0, 1.0);
  found->second.measured = measured;
}

double target_health::Weight(const target_state& target, time_point now) const {
  if (target.ejected_until) return 0.0;
  const double full = target.capacity;
  if (!target.ramp_begin) return full;
  const duration warm = now - *target.ramp_begin;
  if (warm >= settings_.ramp_time) return full;
  const double part =
      std::max(0.0, std::chrono::duration<double>(warm) / settings_.ramp_time);
  return full * std::max(settings_.ramp_start, part);
}

bool target_health::IsBetter(const target_state& left,
                             const target_state& right, time_point now,
                             random_source* random) const {
  const double left_load = (left.open + 1) / Weight(left, now);
  const double right_load = (right.open + 1) / Weight(right, now);
  if (left_load != right_load) return left_load < right_load;
  const auto fresh = [&](const target_state& target) {
    return target.measured && now - *target.measured <= settings_.report_life;
  };
  double chance = 0.5;
  // A report that turns moves only part of the ties, so no herd follows it.
  if (fresh(left) && fresh(right) && left.busy != right.busy) {
    chance += left.busy < right.busy ? settings_.report_influence
                                     : -settings_.report_influence;
  }
  return std::uniform_real_distribution<double>(0.0, 1.0)(*random) < chance;
}

std::optional<target_id> target_health::Choose(std::optional<target_id> without,
                                               time_point now,
                                               random_source* random) const {
  std::vector<target_id> ids;
  std::vector<double> weights;
  for (const auto& [id, state] : targets_) {
    const double weight = Weight(state, now);
    if (id == without || weight <= 0.0) continue;
    ids.push_back(id);
    weights.push_back(weight);
  }
  if (ids.empty()) return std::nullopt;
  std::discrete_distribution<std::size_t> draw(weights.begin(), weights.end());
  const std::size_t first = draw(*random);
  if (ids.size() == 1) return ids[first];
  weights[first] = 0.0;
  std::discrete_distribution<std::size_t> other(weights.begin(), weights.end());
  const std::size_t second = other(*random);
  const bool left =
      IsBetter(targets_.at(ids[first]), targets_.at(ids[second]), now, random);
  return left ? ids[first] : ids[second];
}

std::size_t target_health::Ejected() const {
  return static_cast<std::size_t>(
      std::count_if(targets_.begin(), targets_.end(), [](const auto& entry) {
        return entry.second.ejected_until.has_value();
      }));
}

bool target_health::IsOutlier(const target_state& target) const {
  const try_counts own = target.Counts();
  if (own.Sum() < settings_.fewest_tries) return false;
  if (own.FailedShare() < settings_.failing_share) return false;
  // All of its peers together, so that a common cause ejects nobody.
  try_counts peers;
  for (const auto& [id, other] : targets_) {
    if (&other == &target || other.ejected_until) continue;
    peers.answered += other.Counts().answered;
    peers.failed += other.Counts().failed;
  }
  return own.FailedShare() > settings_.above_peers * peers.FailedShare();
}

std::vector<health_change> target_health::Tick(time_point now) {
  std::vector<health_change> changes;
  for (auto& [id, state] : targets_) {
    // Long enough without a fault, the next ejection is short again.
    const bool proven = state.ramp_begin && !state.ejected_until &&
                        now - *state.ramp_begin >= settings_.ramp_time * 4;
    if (proven) state.ejection = duration(0);
  }
  // What was ejected comes back cold, and is judged anew.
  for (auto& [id, state] : targets_) {
    if (!state.ejected_until || *state.ejected_until > now) continue;
    state.ejected_until.reset();
    state.ramp_begin = now;
    state.older = {};
    state.newer = {};
    changes.push_back({id, false});
  }
  const auto most = static_cast<std::size_t>(
      settings_.most_ejected * static_cast<double>(targets_.size()));
  for (auto& [id, state] : targets_) {
    if (state.ejected_until || Ejected() >= most || !IsOutlier(state)) continue;
    state.ejection =
        state.ejection == duration(0)
            ? settings_.first_ejection
            : std::min(state.ejection * 2, settings_.longest_ejection);
    state.ejected_until = now + state.ejection;
    changes.push_back({id, true});
  }
  if (now - half_began_ >= settings_.window / 2) {
    half_began_ = now;
    for (auto& [id, state] : targets_) {
      state.older = state.newer;
      state.newer = {};
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
  return found == targets_.end() ? 0 : found->second.open;
}

}  // namespace tamaracklatch
