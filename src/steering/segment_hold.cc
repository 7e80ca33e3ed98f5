// When held segments are sent and forgotten.
#include "steering/segment_hold.h"

namespace tamaracklatch {
namespace {

// The caller's own retransmission comes within this, or it has given up.
constexpr std::chrono::seconds kHoldLimit{1};

constexpr int kMaxRepeats = 2;
constexpr std::chrono::milliseconds kRepeatInterval{100};

}  // namespace

void segment_hold::Keep(std::uint64_t flow, reason why, std::string_view bytes,
                        time_point now) {
  const auto known = held_.find(flow);
  if (known == held_.end() && held_.size() >= max_segments_) return;
  entry& held = known == held_.end() ? held_[flow] : known->second;
  held = {why, std::string(bytes), now, 0, now};
}

std::vector<std::string> segment_hold::TakeDue(bool has_set, bool is_settled,
                                               time_point now) {
  std::vector<std::string> due;
  for (auto each = held_.begin(); each != held_.end();) {
    each = Take(&each->second, has_set, is_settled, now, &due)
               ? held_.erase(each)
               : std::next(each);
  }
  return due;
}

bool segment_hold::Take(entry* held, bool has_set, bool is_settled,
                        time_point now, std::vector<std::string>* due) const {
  if (now - held->kept > kHoldLimit) return true;
  if (held->why == reason::kNoSet) {
    if (has_set) due->push_back(std::move(held->bytes));
    return has_set;
  }
  if (!is_settled || now < held->due) return false;
  due->push_back(held->bytes);
  held->due = now + kRepeatInterval;
  return ++held->repeats == kMaxRepeats;
}

}  // namespace tamaracklatch
