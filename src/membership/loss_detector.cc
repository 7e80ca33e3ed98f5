// Batching of membership changes and confirmation of losses.
#include "tamaracklatch/membership/loss_detector.h"

#include <algorithm>

#include "tamaracklatch/membership/target_lookup.h"

namespace tamaracklatch {
namespace {

// A loss that the view does not show this long after its proposal is proposed
// again.
constexpr duration kProposalTimeout = std::chrono::seconds(5);
// How long a refusal is returned to relays that report the target.
constexpr duration kRefusalRetention = std::chrono::seconds(10);
// When holders_ has more entries than twice the members plus this number, those
// that are not members are removed. The slack keeps that scan rare.
constexpr std::size_t kHolderSlack = 4096;

std::size_t TargetsIn(const cluster_view& view, const zone_name& zone) {
  std::size_t count = 0;
  for (const auto& [id, target] : view.targets) {
    if (target.zone == zone) ++count;
  }
  return count;
}

}  // namespace

loss_detector::loss_detector(const loss_settings& settings)
    : settings_(settings) {}

std::vector<target_key> loss_detector::OnReport(const membership_report& report,
                                                const cluster_view& view,
                                                time_point now) {
  for (const target_announcement& target : report.alive) {
    suspected_losses_.erase(target.key);
    holders_[target.key] = report.relay;
    if (pending_.joins.size() < settings_.max_batch)
      pending_.joins.push_back(target);
  }
  std::vector<target_key> held_elsewhere;
  const target_lookup members(view, report.silent);
  for (const target_key& key : report.silent) {
    const target_record* known = members.Find(key);
    if (known == nullptr) continue;
    const auto holder = holders_.find(key);
    if (holder != holders_.end() && holder->second != report.relay) {
      held_elsewhere.push_back(key);
      continue;
    }
    suspected_loss& suspected = suspected_losses_[key];
    if (suspected.reporters.empty()) {
      suspected.zone = known->zone;
      suspected.since = now;
    }
    suspected.reporters.insert(report.relay);
  }
  TrimHolders(view);
  if (!pending_.empty() || !suspected_losses_.empty())
    next_ = std::min(next_, now + settings_.batch_interval);
  return held_elsewhere;
}

void loss_detector::TrimHolders(const cluster_view& view) {
  if (holders_.size() <= 2 * view.targets.size() + kHolderSlack) return;
  std::vector<target_key> keys;
  for (const auto& [key, relay] : holders_) keys.push_back(key);
  const target_lookup members(view, keys);
  for (const target_key& key : keys) {
    if (members.Find(key) == nullptr) holders_.erase(key);
  }
}

void loss_detector::OnRefused(const std::vector<refused_target>& refused,
                              time_point now) {
  for (auto entry = refusals_.begin(); entry != refusals_.end();) {
    entry =
        entry->second.until <= now ? refusals_.erase(entry) : std::next(entry);
  }
  for (const refused_target& target : refused)
    refusals_[target.key] = {target, now + kRefusalRetention};
}

std::vector<refused_target> loss_detector::RefusalsFor(
    const membership_report& report, time_point now) {
  std::vector<refused_target> refusals;
  for (const target_announcement& target : report.alive) {
    const auto found = refusals_.find(target.key);
    if (found == refusals_.end() || found->second.until <= now) continue;
    // A superseded target that announces a higher generation than the refusal
    // names has already acted on it, so it is not refused again.
    const refused_target& refused = found->second.target;
    const bool is_answered = refused.code == result_code::kTargetSuperseded &&
                             target.generation > refused.newest_generation;
    if (!is_answered) refusals.push_back(refused);
  }
  return refusals;
}

void loss_detector::Drain(const target_key& key, time_point now) {
  pending_.drains.push_back(key);
  next_ = std::min(next_, now);
}

std::size_t loss_detector::CountReportedOnlyBy(const std::string& relay,
                                               const zone_name& zone) const {
  return static_cast<std::size_t>(std::count_if(
      single_reporter_losses_.begin(), single_reporter_losses_.end(),
      [&](const single_reporter_loss& loss) {
        return loss.relay == relay && loss.zone == zone;
      }));
}

std::size_t loss_detector::CountSingleReporterLosses(
    const zone_name& zone) const {
  return static_cast<std::size_t>(std::count_if(
      single_reporter_losses_.begin(), single_reporter_losses_.end(),
      [&](const single_reporter_loss& loss) { return loss.zone == zone; }));
}

bool loss_detector::MayRemove(const suspected_loss& suspected,
                              const cluster_view& view, time_point now) {
  if (now - suspected.since < settings_.move_grace) return false;
  if (suspected.reporters.size() > 1) return true;
  if (now - suspected.since >= settings_.confirmation_timeout) return true;
  const std::string& relay = *suspected.reporters.begin();
  // Targets whose loss was proposed within the window on the reports of one
  // relay still count, so that the bound does not decrease with each loss.
  const std::size_t targets = TargetsIn(view, suspected.zone) +
                              CountSingleReporterLosses(suspected.zone);
  const auto share = static_cast<std::size_t>(settings_.single_reporter_share *
                                              static_cast<double>(targets));
  const std::size_t bound = std::max<std::size_t>(1, share);
  if (CountReportedOnlyBy(relay, suspected.zone) >= bound) return false;
  single_reporter_losses_.push_back({relay, suspected.zone, now});
  return true;
}

std::vector<target_key> loss_detector::SuspectedKeys() const {
  std::vector<target_key> keys;
  for (const auto& [key, suspected] : suspected_losses_) keys.push_back(key);
  return keys;
}

void loss_detector::AddUnconfirmed(
    const suspected_loss& suspected,
    std::vector<report_unconfirmed_losses>* unconfirmed) {
  const std::string& relay = *suspected.reporters.begin();
  for (report_unconfirmed_losses& entry : *unconfirmed) {
    if (entry.relay != relay || entry.zone != suspected.zone) continue;
    ++entry.targets;
    return;
  }
  unconfirmed->push_back({relay, suspected.zone, 1});
}

std::vector<loss_action> loss_detector::OnTick(const cluster_view& view,
                                               time_point now) {
  if (now < next_) return {};
  while (!single_reporter_losses_.empty() &&
         now - single_reporter_losses_.front().at > settings_.window)
    single_reporter_losses_.pop_front();

  const target_lookup members(view, SuspectedKeys());
  std::vector<report_unconfirmed_losses> unconfirmed;
  for (auto entry = suspected_losses_.begin();
       entry != suspected_losses_.end();) {
    suspected_loss& suspected = entry->second;
    if (members.Find(entry->first) == nullptr) {
      entry = suspected_losses_.erase(entry);
      continue;
    }
    const bool waits_for_log = suspected.proposed_at &&
                               now - *suspected.proposed_at < kProposalTimeout;
    const bool has_capacity = pending_.losses.size() < settings_.max_batch;
    if (waits_for_log || !has_capacity) {
      ++entry;
      continue;
    }
    if (suspected.proposed_at || MayRemove(suspected, view, now)) {
      pending_.losses.push_back(entry->first);
      suspected.proposed_at = now;
    } else if (!suspected.unconfirmed &&
               now - suspected.since >= settings_.move_grace) {
      suspected.unconfirmed = true;
      AddUnconfirmed(suspected, &unconfirmed);
    }
    ++entry;
  }

  std::vector<loss_action> actions(unconfirmed.begin(), unconfirmed.end());
  if (!pending_.empty()) {
    actions.push_back(propose_membership{std::move(pending_)});
    pending_ = {};
  }
  next_ = suspected_losses_.empty() ? time_point::max()
                                    : now + settings_.batch_interval;
  return actions;
}

void loss_detector::Reset() {
  pending_ = {};
  suspected_losses_.clear();
  holders_.clear();
  refusals_.clear();
  single_reporter_losses_.clear();
  next_ = time_point::max();
}

}  // namespace tamaracklatch
