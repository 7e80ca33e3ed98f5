// The conditions on which held segments are sent again and dropped.
#include "steering/segment_hold.h"

namespace tamaracklatch {
namespace {

// By then the caller has retransmitted the segment or given up the flow.
constexpr std::chrono::seconds kMaxHoldTime{1};

constexpr int kMaxSends = 2;
constexpr std::chrono::milliseconds kResendInterval{100};

}  // namespace

void segment_hold::Keep(std::uint64_t flow, hold_reason reason,
                        std::string_view bytes, bool opens, time_point now) {
  const auto known = segments_.find(flow);
  if (known == segments_.end() && segments_.size() >= max_segments_) return;
  entry& held = known == segments_.end() ? segments_[flow] : known->second;
  if (known != segments_.end() && opens && held.opens) {
    held.held_since = now;
    return;
  }
  held = {reason, std::string(bytes), opens, now, 0, now};
}

std::vector<std::string> segment_hold::TakeDue(bool has_set, bool is_settled,
                                               time_point confirmed_as_of,
                                               time_point now) {
  std::vector<std::string> due;
  for (auto each = segments_.begin(); each != segments_.end();) {
    each = TakeIfDue(&each->second, has_set, is_settled, confirmed_as_of, now,
                     &due)
               ? segments_.erase(each)
               : std::next(each);
  }
  return due;
}

bool segment_hold::TakeIfDue(entry* held, bool has_set, bool is_settled,
                             time_point confirmed_as_of, time_point now,
                             std::vector<std::string>* due) const {
  if (now - held->held_since > kMaxHoldTime) return true;
  if (held->reason == hold_reason::kNoSet) {
    if (has_set) due->push_back(std::move(held->bytes));
    return has_set;
  }
  if (!is_settled || confirmed_as_of < held->held_since ||
      now < held->next_send)
    return false;
  due->push_back(held->bytes);
  held->next_send = now + kResendInterval;
  return ++held->sends == kMaxSends;
}

}  // namespace tamaracklatch
