// Leases of a zone's targets and the reports about them.
#include "tamaracklatch/membership/lease_table.h"

#include <fmt/format.h>

#include <algorithm>

#include "tamaracklatch/membership/target_lookup.h"

namespace tamaracklatch {
namespace {

// How long a refusal by the control VMs is repeated to the target before it is
// reported again.
constexpr duration kRefusalRetention = std::chrono::seconds(5);
// How long a silent target is reported that stays in the view and does not
// renew its lease.
constexpr duration kSilentRetention = std::chrono::minutes(10);

// Whether the view's record matches the announcement.
bool MatchesView(const target_announcement& target,
                 const target_record* record) {
  if (record == nullptr) return false;
  const bool drains = record->state == target_state::kDraining;
  return record->packets == target.packets && record->relay == target.relay &&
         record->requests == target.requests &&
         record->capacity == target.capacity && (drains || !target.draining);
}

bool IsSameAnnouncement(const target_announcement& left,
                        const target_announcement& right) {
  return left.generation == right.generation && left.zone == right.zone &&
         left.packets == right.packets && left.relay == right.relay &&
         left.requests == right.requests && left.capacity == right.capacity &&
         left.draining == right.draining;
}

}  // namespace

lease_table::lease_table(const lease_settings& settings)
    : settings_(settings) {}

void lease_table::ScheduleReport(time_point at) {
  next_report_ = std::min(next_report_, at);
}

std::string lease_table::RejectionReason(const target_announcement& target,
                                         const cluster_view& view,
                                         result_code* code) const {
  const service_record* service = view.FindService(target.key.service);
  if (service == nullptr) {
    *code = result_code::kTargetServiceUnknown;
    return fmt::format("service \"{}\" does not exist at revision {}",
                       target.key.service, view.at.value);
  }
  if (!IsEligible(service->document, target.zone, target.packets.address)) {
    *code = result_code::kTargetNotEligible;
    return fmt::format("\"{}\" version {} allows no target at {} in zone {}",
                       target.key.service, service->document.version,
                       ToString(target.packets.address), target.zone);
  }
  *code = result_code::kOk;
  return "";
}

lease_answer lease_table::OnRenewal(const lease_renewal& renewal,
                                    const cluster_view& view, time_point now) {
  const target_announcement& target = renewal.target;
  lease_answer answer;
  answer.number = renewal.number;
  answer.detail = RejectionReason(target, view, &answer.code);
  if (answer.code != result_code::kOk) return answer;
  const auto known = leases_.find(target.key);
  if (known == leases_.end() && leases_.size() >= settings_.max_leases) {
    answer.code = result_code::kLeaseTableFull;
    return answer;
  }

  const bool is_new = known == leases_.end();
  lease_state& lease = is_new ? leases_[target.key] : known->second;
  const bool changed = is_new || !IsSameAnnouncement(lease.target, target);
  // A delayed renewal from before the drain does not withdraw it.
  const bool stale = !is_new && lease.target.draining && !target.draining;
  if (is_new) lease.acquired_at = now;
  if (changed && !stale) {
    lease.target = target;
    lease.received = false;
    lease.refusal = result_code::kOk;
    ScheduleReport(now + settings_.report_delay);
  }
  if (lease.refusal != result_code::kOk && now < lease.refused_until) {
    answer.code = lease.refusal;
    answer.newest_generation = lease.newest_generation;
    return answer;
  }
  if (lease.refusal != result_code::kOk) {
    lease.refusal = result_code::kOk;
    lease.received = false;
    ScheduleReport(now + settings_.report_delay);
  }
  lease.expires = now + settings_.lease;
  silent_.erase(target.key);
  answer.lease = settings_.lease;
  return answer;
}

void lease_table::ExpireLeases(time_point now) {
  for (auto lease = leases_.begin(); lease != leases_.end();) {
    if (lease->second.expires > now) {
      ++lease;
      continue;
    }
    const bool refused = lease->second.refusal != result_code::kOk;
    if (!refused) silent_[lease->first] = now;
    lease = leases_.erase(lease);
    ScheduleReport(now);
  }
}

bool lease_table::NeedsReport(const lease_state& lease,
                              const target_record* record,
                              time_point now) const {
  if (lease.refusal != result_code::kOk) return false;
  const bool is_rereported = now - lease.acquired_at < settings_.rereport_age;
  return (!lease.received && is_rereported) ||
         !MatchesView(lease.target, record);
}

std::vector<target_key> lease_table::KnownKeys() const {
  std::vector<target_key> keys;
  for (const auto& [key, lease] : leases_) keys.push_back(key);
  for (const auto& [key, expired] : silent_) keys.push_back(key);
  return keys;
}

std::optional<membership_report> lease_table::OnTick(const cluster_view& view,
                                                     time_point now) {
  ExpireLeases(now);
  if (now < next_report_) return std::nullopt;
  const target_lookup members(view, KnownKeys());
  membership_report report;
  report.relay = settings_.relay;
  report.zone = settings_.zone;
  report.leases_held = static_cast<std::uint32_t>(leases_.size());
  for (const auto& [key, lease] : leases_) {
    if (report.alive.size() >= settings_.max_batch) break;
    if (NeedsReport(lease, members.Find(key), now))
      report.alive.push_back(lease.target);
  }
  for (auto silent = silent_.begin(); silent != silent_.end();) {
    const bool is_expired = members.Find(silent->first) == nullptr ||
                            now - silent->second > kSilentRetention;
    if (is_expired) {
      silent = silent_.erase(silent);
      continue;
    }
    if (report.silent.size() < settings_.max_batch)
      report.silent.push_back(silent->first);
    ++silent;
  }
  // Checked again later: a target with a lease may disappear from the view.
  next_report_ = now + settings_.report_interval;
  if (report.alive.empty() && report.silent.empty()) return std::nullopt;
  report.number = ++number_;
  reported_.clear();
  for (const target_announcement& target : report.alive)
    reported_.push_back(target.key);
  return report;
}

time_point lease_table::next_wake() const {
  time_point wake = next_report_;
  for (const auto& [key, lease] : leases_) wake = std::min(wake, lease.expires);
  return wake;
}

void lease_table::OnReportAnswer(const membership_answer& answer,
                                 time_point now) {
  for (const refused_target& refused : answer.refused) {
    const auto found = leases_.find(refused.key);
    if (found == leases_.end()) continue;
    found->second.refusal = refused.code;
    found->second.newest_generation = refused.newest_generation;
    found->second.refused_until = now + kRefusalRetention;
  }
  for (const target_key& key : answer.held_elsewhere) silent_.erase(key);
  if (answer.term > term_) {
    // A new leader has none of the reports to its predecessor.
    term_ = answer.term;
    for (auto& [key, lease] : leases_) lease.received = false;
    ScheduleReport(now + settings_.report_delay);
  }
  if (answer.number != number_) return;
  for (const target_key& key : reported_) {
    const auto found = leases_.find(key);
    if (found != leases_.end()) found->second.received = true;
  }
}

}  // namespace tamaracklatch
