// A snapshot put together from parts that may be lost, repeated and reordered.
#include "tamaracklatch/consensus/snapshot_receiver.h"

#include <utility>

#include "tamaracklatch/core/hash.h"

namespace tamaracklatch {

bool snapshot_receiver::Continues(const snapshot_chunk& part) const {
  return active_ && part.index == held_.index &&
         part.index_term == held_.term && part.total == total_ &&
         part.checksum == checksum_;
}

snapshot_receiver::part_result snapshot_receiver::Take(
    const snapshot_chunk& part) {
  if (part.total > max_bytes_) return part_result::kRefused;
  if (!Continues(part)) {
    Drop();
    active_ = true;
    total_ = part.total;
    checksum_ = part.checksum;
    held_.index = part.index;
    held_.term = part.index_term;
    held_.configuration = part.configuration;
  }
  if (part.offset > held_.data.size()) return part_result::kGap;
  const std::uint64_t known = held_.data.size() - part.offset;
  if (known < part.bytes.size()) held_.data.append(part.bytes, known);
  return part_result::kTaken;
}

std::optional<log_snapshot> snapshot_receiver::TakeWhole() {
  if (!active_ || held_.data.size() < total_) return std::nullopt;
  const bool agrees =
      held_.data.size() == total_ && HashText(held_.data) == checksum_;
  std::optional<log_snapshot> whole;
  if (agrees) whole = std::move(held_);
  Drop();
  return whole;
}

void snapshot_receiver::Drop() {
  active_ = false;
  held_ = {};
}

}  // namespace tamaracklatch
