// Puts a snapshot together from its parts.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

#include "tamaracklatch/consensus/consensus_message.h"

namespace tamaracklatch {

// Invariant: holds at most one partial snapshot, of at most `max_bytes`.
class snapshot_receiver {
 public:
  explicit snapshot_receiver(std::size_t max_bytes) : max_bytes_(max_bytes) {}

  enum class part_result : std::uint8_t { kTaken, kGap, kRefused };

  // Takes a part. A part of another snapshot drops what was held. A repeated
  // part counts as taken.
  part_result Take(const snapshot_chunk& part);

  // Bytes held without a gap.
  std::uint64_t received() const { return held_.data.size(); }

  // The whole snapshot once all parts are there and the checksum agrees; the
  // receiver is empty after it. On a wrong checksum it starts again.
  std::optional<log_snapshot> TakeWhole();

  void Drop();

 private:
  bool Continues(const snapshot_chunk& part) const;

  std::size_t max_bytes_;
  bool active_ = false;
  std::uint64_t total_ = 0;
  std::uint64_t checksum_ = 0;
  log_snapshot held_;
};

}  // namespace tamaracklatch
