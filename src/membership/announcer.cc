// Announcing and renewing of a target's lease.
#include "tamaracklatch/membership/announcer.h"

#include <algorithm>
#include <cassert>

namespace tamaracklatch {

announcer::announcer(const announcer_settings& settings, std::uint64_t seed,
                     time_point now)
    : settings_(settings), random_(seed), next_(now) {
  assert(!settings.target.key.vm.empty());
  assert(settings.target.key.started.value != 0);
}

duration announcer::Jittered(duration nominal) {
  // Between three and five quarters.
  const auto quarter = nominal.count() / 4;
  const auto range = static_cast<std::uint64_t>(2 * quarter + 1);
  return duration(3 * quarter + static_cast<std::int64_t>(random_() % range));
}

void announcer::SetRelays(const std::vector<relay_contact>& relays,
                          time_point now) {
  const std::string used = relays_.empty() ? "" : relays_[current_].name;
  const std::string preferred = relays_.empty() ? "" : relays_[0].name;
  relays_ = relays;
  current_ = 0;
  if (relays_.empty()) return;
  const auto same = std::find_if(
      relays_.begin(), relays_.end(),
      [&](const relay_contact& relay) { return relay.name == used; });
  if (same != relays_.end() && relays_[0].name == preferred) {
    current_ = static_cast<std::size_t>(same - relays_.begin());
    return;
  }
  unanswered_ = 0;
  next_ = now;
}

std::vector<announcer::send> announcer::OnTick(time_point now) {
  if (relays_.empty() || now < next_) return {};
  if (unanswered_ >= settings_.max_tries) {
    current_ = (current_ + 1) % relays_.size();
    unanswered_ = 0;
  }
  ++unanswered_;
  ++number_;
  sent_ = now;
  next_ = now + Jittered(settings_.retry_interval);
  return {{relays_[current_], {settings_.target, number_}}};
}

time_point announcer::next_wake() const {
  return relays_.empty() ? time_point::max() : next_;
}

void announcer::OnAnswer(const std::string& relay, const lease_answer& answer,
                         time_point now) {
  if (relays_.empty() || relays_[current_].name != relay) return;
  if (answer.number != number_) return;
  unanswered_ = 0;
  next_ = now + Jittered(settings_.renew_interval);
  refusal_ = {answer.code, answer.detail};
  if (answer.code == result_code::kOk) {
    const time_point end = sent_ + answer.lease;
    lease_end_ = lease_end_ ? std::max(*lease_end_, end) : end;
    return;
  }
  if (answer.code == result_code::kTargetSuperseded &&
      answer.newest_generation >= settings_.target.generation) {
    // Only a process that lives can answer: this start is the newer one.
    settings_.target.generation = answer.newest_generation + 1;
  }
  if (answer.code == result_code::kLeaseTableFull)
    current_ = (current_ + 1) % relays_.size();
}

void announcer::Drain(time_point now) {
  if (settings_.target.draining) return;
  settings_.target.draining = true;
  next_ = now;
}

}  // namespace tamaracklatch
