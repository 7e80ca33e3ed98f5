// Requests the parts of a document set and assembles them.
#include "roster/set_fetcher.h"

#include <algorithm>

#include "tamaracklatch/control/set_delta.h"
#include "tamaracklatch/core/hash.h"

namespace tamaracklatch {
namespace {

constexpr std::size_t kMaxInFlight = 16;  // requests
constexpr duration kRetryInterval = std::chrono::milliseconds(150);
// Unanswered requests for a part until the next hub is used.
constexpr std::uint32_t kTriesPerHub = 2;
// From a set that was rejected, or is not yet in use, until it is requested
// again.
constexpr duration kRejectedDelay = std::chrono::seconds(2);

}  // namespace

std::size_t set_fetcher::part_count() const {
  if (size_ == 0) return 1;
  return (size_ + kMaxSetPart - 1) / kMaxSetPart;
}

void set_fetcher::Clear() {
  head_ = set_head();
  wants_delta_ = false;
  size_ = 0;
  hubs_.clear();
  hub_ = 0;
  bytes_ = std::string();
  received_.clear();
  missing_ = 0;
  next_part_ = 0;
  in_flight_.clear();
}

// Discards all received parts; requests begin at `now`.
void set_fetcher::Restart(time_point now) {
  bytes_ = std::string();
  size_ = wants_delta_ ? 0 : head_.size;
  received_.assign(part_count(), false);
  missing_ = part_count();
  next_part_ = 0;
  in_flight_.clear();
  not_before_ = now;
}

set_fetcher::sends set_fetcher::SetSources(
    const std::vector<set_source>& sources, std::uint64_t held_version,
    time_point now) {
  set_head best;
  for (const set_source& source : sources) {
    if (source.head.version > held_version &&
        source.head.version > best.version && source.head.size > 0)
      best = source.head;
  }
  if (best.version == 0) {
    Clear();
    return {};
  }
  // If hubs hold different bytes of the same version, the transfer that has
  // begun is continued.
  const bool is_same_set =
      best.version == head_.version &&
      std::any_of(sources.begin(), sources.end(),
                  [&](const set_source& each) { return each.head == head_; });
  const endpoint previous_hub = hubs_.empty() ? endpoint() : hubs_[hub_];
  if (!is_same_set) {
    Clear();
    head_ = best;
    wants_delta_ =
        completed_.version != 0 && completed_.version == held_version;
  }
  hubs_.clear();
  for (const set_source& source : sources)
    if (source.head == head_) hubs_.push_back(source.hub);
  const auto found = std::find(hubs_.begin(), hubs_.end(), previous_hub);
  hub_ = found == hubs_.end() ? 0
                              : static_cast<std::size_t>(found - hubs_.begin());
  sends out;
  if (!is_same_set) {
    Restart(now);
    RequestNextParts(now, &out);
  }
  return out;
}

void set_fetcher::SendRequest(const request& requested, sends* out) const {
  set_fetch message;
  message.version = head_.version;
  message.offset = requested.part * kMaxSetPart;
  if (wants_delta_) {
    message.base = completed_.version;
    message.base_hash = completed_.hash;
  }
  out->push_back({hubs_[hub_], Encode(message)});
}

void set_fetcher::RequestNextParts(time_point now, sends* out) {
  if (now < not_before_) return;
  while (in_flight_.size() < kMaxInFlight && next_part_ < part_count()) {
    if (!received_[next_part_]) {
      in_flight_.push_back({next_part_, now, 1});
      SendRequest(in_flight_.back(), out);
    }
    ++next_part_;
  }
}

set_fetcher::sends set_fetcher::OnTick(time_point now) {
  sends out;
  if (head_.version == 0) return out;
  const bool change_hub = std::any_of(
      in_flight_.begin(), in_flight_.end(), [&](const request& each) {
        return each.sent + kRetryInterval <= now && each.tries >= kTriesPerHub;
      });
  if (change_hub) {
    hub_ = (hub_ + 1) % hubs_.size();
    for (request& each : in_flight_) each.tries = 0;
    // Hubs that held different intermediate sets have different deltas, so
    // parts from the previous hub may not fit.
    if (wants_delta_) Restart(now);
  }
  for (request& each : in_flight_) {
    if (each.sent + kRetryInterval > now) continue;
    each.sent = now;
    ++each.tries;
    SendRequest(each, &out);
  }
  RequestNextParts(now, &out);
  return out;
}

time_point set_fetcher::next_wake() const {
  if (head_.version == 0) return time_point::max();
  time_point wake = in_flight_.empty() ? not_before_ : time_point::max();
  for (const request& each : in_flight_)
    wake = std::min(wake, each.sent + kRetryInterval);
  return wake;
}

// Whether a part belongs to the transfer. A hub without the delta replies with
// parts of the whole set, which are accepted as long as no part of the delta
// has arrived.
bool set_fetcher::IsExpected(const set_part& part) const {
  if (head_.version == 0 || part.version != head_.version ||
      part.offset % kMaxSetPart != 0 || part.offset >= part.size)
    return false;
  const bool is_delta = part.base != 0;
  if (is_delta && (!wants_delta_ || part.base != completed_.version))
    return false;
  const bool is_first = size_ == 0;
  if (is_first ? !is_delta && part.size != head_.size
               : is_delta != wants_delta_ || part.size != size_)
    return false;
  return part.bytes.size() ==
         std::min<std::size_t>(kMaxSetPart, part.size - part.offset);
}

bool set_fetcher::MatchesHead(const std::string& bytes) const {
  return bytes.size() == head_.size &&
         HashBytes(bytes.data(), bytes.size()) == head_.hash;
}

set_fetcher::sends set_fetcher::OnPart(const set_part& part,
                                       const document_set& held, time_point now,
                                       std::optional<fetched_bytes>* complete) {
  sends out;
  if (!IsExpected(part)) return out;
  if (size_ == 0) {
    wants_delta_ = part.base != 0;
    size_ = part.size;
    received_.assign(part_count(), false);
    missing_ = part_count();
  }
  const std::size_t index = part.offset / kMaxSetPart;
  if (received_[index]) return out;
  // Parts of one set may come from hubs that know unequally much.
  const bool is_first = missing_ == received_.size();
  if (is_first) {
    complete_since_ = part.complete_since;
  } else if (complete_since_ == 0 || part.complete_since == 0) {
    complete_since_ = 0;
  } else {
    complete_since_ = std::max(complete_since_, part.complete_since);
  }
  bytes_.resize(size_);
  bytes_.replace(part.offset, part.bytes.size(), part.bytes);
  received_[index] = true;
  --missing_;
  in_flight_.erase(
      std::remove_if(in_flight_.begin(), in_flight_.end(),
                     [&](const request& each) { return each.part == index; }),
      in_flight_.end());
  if (missing_ > 0) {
    RequestNextParts(now, &out);
    return out;
  }
  set_succession succession;
  succession.may_skip_sets =
      complete_since_ == 0 || complete_since_ > held.version;
  if (wants_delta_) {
    std::optional<std::string> whole =
        ApplySetDeltas(held, bytes_, &succession.intermediate_routes);
    if (!whole || !MatchesHead(*whole)) {
      wants_delta_ = false;
      Restart(now);
      RequestNextParts(now, &out);
      return out;
    }
    *complete = {std::move(*whole), std::move(succession)};
  } else if (MatchesHead(bytes_)) {
    *complete = {std::move(bytes_), std::move(succession)};
  } else {
    Reject(now);
    return out;
  }
  completed_ = head_;
  // If the caller can use the set, it calls SetSources(), which ends this
  // transfer.
  Restart(now + kRejectedDelay);
  return out;
}

void set_fetcher::Reject(time_point now) {
  if (head_.version == 0) return;
  hub_ = (hub_ + 1) % hubs_.size();
  wants_delta_ = false;
  if (completed_ == head_) completed_ = set_head();
  Restart(now + kRejectedDelay);
}

}  // namespace tamaracklatch
