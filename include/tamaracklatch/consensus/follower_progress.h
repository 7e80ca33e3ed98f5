// What a leader knows of one follower, and what it has on the way to it.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

#include "tamaracklatch/consensus/consensus_types.h"
#include "tamaracklatch/core/time.h"

namespace tamaracklatch {

// Invariants: match < next; in_flight rises; a snapshot in transfer has
// acknowledged <= sent <= its size.
struct follower_progress {
  revision match;                 // synced there, as the leader has it
  revision next;                  // the next entry to send
  std::uint64_t generation = 0;   // of `next`; replies to an older one don't
                                  // move it back
  std::uint64_t acked_round = 0;  // the newest round that it confirmed
  revision commit_sent;           // the newest commit index told
  time_point since;               // when the leader began to follow it
  std::optional<time_point> last_reply;
  bool heartbeat_due = false;
  std::deque<revision> in_flight;  // last entry of each message on the way

  shared_snapshot snapshot;             // in transfer, or none
  std::uint64_t snapshot_checksum = 0;  // of its data
  std::uint64_t snapshot_sent = 0;
  std::uint64_t snapshot_acknowledged = 0;
  bool snapshot_begun = false;
  bool snapshot_moved = false;  // since the last heartbeat

  // Takes an acknowledgement up to `index`.
  void Accept(revision index);
  // Goes back (or forward) to send the entries after `index` again.
  void RestartAfter(revision index);
  void StartSnapshot(shared_snapshot newest);
  void FinishSnapshot(revision index);
};

}  // namespace tamaracklatch
