// Batching of membership changes and doubting of mass losses.
#include "tamaracklatch/membership/loss_judge.h"

#include <algorithm>

#include "tamaracklatch/membership/target_lookup.h"

namespace tamaracklatch {
namespace {

// A proposal that the view does not show by then is made again.
constexpr duration kProposalPatience = std::chrono::seconds(5);
// A refusal is told to a relay that still reports the target by then.
constexpr duration kRefusalRetention = std::chrono::seconds(10);
// Holders kept beyond twice the members, before they are looked through.
constexpr std::size_t kHolderSlack = 4096;

std::size_t TargetsIn(const cluster_view& view, const zone_name& zone) {
  std::size_t count = 0;
  for (const auto& [id, target] : view.targets) {
    if (target.zone == zone) ++count;
  }
  return count;
}

}  // namespace

loss_judge::loss_judge(const loss_settings& settings) : settings_(settings) {}

std::vector<target_key> loss_judge::OnReport(const membership_report& report,
                                             const cluster_view& view,
                                             time_point now) {
  for (const target_announcement& target : report.alive) {
    suspicions_.erase(target.key);
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
    suspicion& suspected = suspicions_[key];
    if (suspected.witnesses.empty()) {
      suspected.zone = known->zone;
      suspected.since = now;
    }
    suspected.witnesses.insert(report.relay);
  }
  BoundHolders(view);
  if (!pending_.empty() || !suspicions_.empty())
    next_ = std::min(next_, now + settings_.batch_interval);
  return held_elsewhere;
}

void loss_judge::BoundHolders(const cluster_view& view) {
  if (holders_.size() <= 2 * view.targets.size() + kHolderSlack) return;
  std::vector<target_key> keys;
  for (const auto& [key, relay] : holders_) keys.push_back(key);
  const target_lookup members(view, keys);
  for (const target_key& key : keys) {
    if (members.Find(key) == nullptr) holders_.erase(key);
  }
}

void loss_judge::OnRefused(const std::vector<refused_target>& refused,
                           time_point now) {
  for (auto entry = refusals_.begin(); entry != refusals_.end();) {
    entry =
        entry->second.until <= now ? refusals_.erase(entry) : std::next(entry);
  }
  for (const refused_target& target : refused)
    refusals_[target.key] = {target, now + kRefusalRetention};
}

std::vector<refused_target> loss_judge::RefusalsFor(
    const membership_report& report, time_point now) {
  std::vector<refused_target> told;
  for (const target_announcement& target : report.alive) {
    const auto found = refusals_.find(target.key);
    if (found == refusals_.end() || found->second.until <= now) continue;
    // It has answered the refusal by a newer generation.
    const refused_target& refused = found->second.target;
    const bool is_answered = refused.code == result_code::kTargetSuperseded &&
                             target.generation > refused.newest_generation;
    if (!is_answered) told.push_back(refused);
  }
  return told;
}

void loss_judge::Drain(const target_key& key, time_point now) {
  pending_.drains.push_back(key);
  next_ = std::min(next_, now);
}

std::size_t loss_judge::TakenOnWordOf(const std::string& relay,
                                      const zone_name& zone) const {
  return static_cast<std::size_t>(
      std::count_if(single_losses_.begin(), single_losses_.end(),
                    [&](const single_loss& loss) {
                      return loss.relay == relay && loss.zone == zone;
                    }));
}

std::size_t loss_judge::TakenInZone(const zone_name& zone) const {
  return static_cast<std::size_t>(std::count_if(
      single_losses_.begin(), single_losses_.end(),
      [&](const single_loss& loss) { return loss.zone == zone; }));
}

bool loss_judge::MayTakeOut(const suspicion& suspected,
                            const cluster_view& view, time_point now) {
  if (now - suspected.since < settings_.move_grace) return false;
  if (suspected.witnesses.size() > 1) return true;
  if (now - suspected.since >= settings_.doubt_patience) return true;
  const std::string& relay = *suspected.witnesses.begin();
  // Those lost in the window still count, so that the bound does not shrink.
  const std::size_t targets =
      TargetsIn(view, suspected.zone) + TakenInZone(suspected.zone);
  const auto share = static_cast<std::size_t>(settings_.single_witness_share *
                                              static_cast<double>(targets));
  const std::size_t bound = std::max<std::size_t>(1, share);
  if (TakenOnWordOf(relay, suspected.zone) >= bound) return false;
  single_losses_.push_back({relay, suspected.zone, now});
  return true;
}

std::vector<target_key> loss_judge::SuspectedKeys() const {
  std::vector<target_key> keys;
  for (const auto& [key, suspected] : suspicions_) keys.push_back(key);
  return keys;
}

void loss_judge::Doubt(const suspicion& suspected,
                       std::vector<doubt_losses>* doubted) {
  const std::string& relay = *suspected.witnesses.begin();
  for (doubt_losses& entry : *doubted) {
    if (entry.relay != relay || entry.zone != suspected.zone) continue;
    ++entry.targets;
    return;
  }
  doubted->push_back({relay, suspected.zone, 1});
}

std::vector<loss_action> loss_judge::OnTick(const cluster_view& view,
                                            time_point now) {
  if (now < next_) return {};
  while (!single_losses_.empty() &&
         now - single_losses_.front().at > settings_.window)
    single_losses_.pop_front();

  const target_lookup members(view, SuspectedKeys());
  std::vector<doubt_losses> doubted;
  for (auto entry = suspicions_.begin(); entry != suspicions_.end();) {
    suspicion& suspected = entry->second;
    if (members.Find(entry->first) == nullptr) {
      entry = suspicions_.erase(entry);
      continue;
    }
    const bool waits_for_log =
        suspected.proposed && now - *suspected.proposed < kProposalPatience;
    const bool has_room = pending_.losses.size() < settings_.max_batch;
    if (waits_for_log || !has_room) {
      ++entry;
      continue;
    }
    if (suspected.proposed || MayTakeOut(suspected, view, now)) {
      pending_.losses.push_back(entry->first);
      suspected.proposed = now;
    } else if (!suspected.doubted &&
               now - suspected.since >= settings_.move_grace) {
      suspected.doubted = true;
      Doubt(suspected, &doubted);
    }
    ++entry;
  }

  std::vector<loss_action> actions(doubted.begin(), doubted.end());
  if (!pending_.empty()) {
    actions.push_back(propose_membership{std::move(pending_)});
    pending_ = {};
  }
  next_ =
      suspicions_.empty() ? time_point::max() : now + settings_.batch_interval;
  return actions;
}

void loss_judge::Reset() {
  pending_ = {};
  suspicions_.clear();
  holders_.clear();
  refusals_.clear();
  single_losses_.clear();
  next_ = time_point::max();
}

}  // namespace tamaracklatch
