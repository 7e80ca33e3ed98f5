// Assembles a snapshot from chunks that may be lost, repeated and reordered.
#include "tamaracklatch/consensus/snapshot_receiver.h"

#include <utility>

#include "tamaracklatch/core/hash.h"

namespace tamaracklatch {

bool snapshot_receiver::BelongsToPartial(const snapshot_chunk& chunk) const {
  return active_ && chunk.index == partial_.index &&
         chunk.index_term == partial_.term && chunk.total == total_bytes_ &&
         chunk.checksum == checksum_;
}

snapshot_receiver::chunk_result snapshot_receiver::AddChunk(
    const snapshot_chunk& chunk) {
  if (chunk.total > max_bytes_) return chunk_result::kTooLarge;
  if (!BelongsToPartial(chunk)) {
    Discard();
    active_ = true;
    total_bytes_ = chunk.total;
    checksum_ = chunk.checksum;
    partial_.index = chunk.index;
    partial_.term = chunk.index_term;
    partial_.configuration = chunk.configuration;
  }
  if (chunk.offset > partial_.data.size()) return chunk_result::kGap;
  const std::uint64_t known = partial_.data.size() - chunk.offset;
  if (known < chunk.bytes.size()) partial_.data.append(chunk.bytes, known);
  return chunk_result::kAccepted;
}

std::optional<log_snapshot> snapshot_receiver::TakeIfComplete() {
  if (!active_ || partial_.data.size() < total_bytes_) return std::nullopt;
  const bool matches = partial_.data.size() == total_bytes_ &&
                       HashText(partial_.data) == checksum_;
  std::optional<log_snapshot> complete;
  if (matches) complete = std::move(partial_);
  Discard();
  return complete;
}

void snapshot_receiver::Discard() {
  active_ = false;
  partial_ = {};
}

}  // namespace tamaracklatch
