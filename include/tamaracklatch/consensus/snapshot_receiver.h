// Assembles a snapshot from its chunks.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

#include "tamaracklatch/consensus/consensus_message.h"

namespace tamaracklatch {

// Used by a follower for the snapshot that its leader sends. Chunks may be
// lost, repeated and reordered; only chunks that extend the received prefix are
// kept.
// Invariant: holds at most one partial snapshot, of at most `max_bytes`.
class snapshot_receiver {
 public:
  explicit snapshot_receiver(std::size_t max_bytes) : max_bytes_(max_bytes) {}

  enum class chunk_result : std::uint8_t { kAccepted, kGap, kTooLarge };

  // Adds a chunk. A chunk of another snapshot first discards the partial one. A
  // repeated chunk is accepted without effect. kGap: an earlier chunk is
  // missing, and this one is not kept. kTooLarge: the snapshot exceeds
  // `max_bytes`.
  chunk_result AddChunk(const snapshot_chunk& chunk);

  // The size in bytes of the received prefix of the snapshot's data.
  std::uint64_t received() const { return partial_.data.size(); }

  // Returns the snapshot once all its bytes are there and the checksum matches;
  // the receiver is then empty. On a checksum mismatch it discards all bytes
  // and returns nothing, so that the transfer starts again.
  std::optional<log_snapshot> TakeIfComplete();

  // Discards the partial snapshot, if there is one.
  void Discard();

 private:
  bool BelongsToPartial(const snapshot_chunk& chunk) const;

  std::size_t max_bytes_;
  bool active_ = false;            // a snapshot is partially received
  std::uint64_t total_bytes_ = 0;  // of the complete snapshot's data
  std::uint64_t checksum_ = 0;     // of the complete snapshot's data
  log_snapshot partial_;           // its data is the received prefix
};

}  // namespace tamaracklatch
