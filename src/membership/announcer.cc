// Announcement of a target and renewal of its lease.
#include "tamaracklatch/membership/announcer.h"

#include <algorithm>
#include <cassert>

namespace tamaracklatch {

announcer::announcer(const announcer_settings& settings, std::uint64_t seed,
                     time_point now)
    : settings_(settings), random_(seed), next_send_(now) {
  assert(!settings.target.key.vm.empty());
  assert(settings.target.key.started.value != 0);
}

duration announcer::WithJitter(duration nominal) {
  // Uniform between 3/4 and 5/4 of the nominal interval.
  const auto quarter = nominal.count() / 4;
  const auto range = static_cast<std::uint64_t>(2 * quarter + 1);
  return duration(3 * quarter + static_cast<std::int64_t>(random_() % range));
}

void announcer::SetRelays(const std::vector<relay_contact>& relays,
                          time_point now) {
  const std::string previous =
      relays_.empty() ? "" : relays_[current_relay_].name;
  const std::string preferred = relays_.empty() ? "" : relays_[0].name;
  relays_ = relays;
  current_relay_ = 0;
  if (relays_.empty()) return;
  const auto found = std::find_if(
      relays_.begin(), relays_.end(),
      [&](const relay_contact& relay) { return relay.name == previous; });
  if (found != relays_.end() && relays_[0].name == preferred) {
    current_relay_ = static_cast<std::size_t>(found - relays_.begin());
    return;
  }
  unanswered_count_ = 0;
  next_send_ = now;
}

std::vector<announcer::send> announcer::OnTick(time_point now) {
  if (relays_.empty() || now < next_send_) return {};
  if (unanswered_count_ >= settings_.max_tries) {
    current_relay_ = (current_relay_ + 1) % relays_.size();
    unanswered_count_ = 0;
  }
  ++unanswered_count_;
  ++number_;
  sent_at_ = now;
  next_send_ = now + WithJitter(settings_.retry_interval);
  return {{relays_[current_relay_], {settings_.target, number_}}};
}

time_point announcer::next_wake() const {
  return relays_.empty() ? time_point::max() : next_send_;
}

void announcer::OnAnswer(const std::string& relay, const lease_answer& answer,
                         time_point now) {
  if (relays_.empty() || relays_[current_relay_].name != relay) return;
  if (answer.number != number_) return;
  unanswered_count_ = 0;
  next_send_ = now + WithJitter(settings_.renew_interval);
  refusal_ = {answer.code, answer.detail};
  if (answer.code == result_code::kOk) {
    const time_point end = sent_at_ + answer.lease;
    lease_end_ = lease_end_ ? std::max(*lease_end_, end) : end;
    return;
  }
  if (answer.code == result_code::kTargetSuperseded &&
      answer.newest_generation >= settings_.target.generation) {
    // The daemon that receives this answer is running, so this start is the
    // newer one.
    settings_.target.generation = answer.newest_generation + 1;
  }
  if (answer.code == result_code::kLeaseTableFull)
    current_relay_ = (current_relay_ + 1) % relays_.size();
}

void announcer::Drain(time_point now) {
  if (settings_.target.draining) return;
  settings_.target.draining = true;
  next_send_ = now;
}

}  // namespace tamaracklatch
