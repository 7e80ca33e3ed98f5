// A leader's replication state for one other member.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

#include "tamaracklatch/consensus/consensus_types.h"
#include "tamaracklatch/core/time.h"

namespace tamaracklatch {

// Kept by the leader for each other voter and learner.
// Invariants: match < next; in_flight is ascending; during a snapshot transfer
// snapshot_acknowledged <= snapshot_sent <= the size of its data.
struct follower_progress {
  revision match;                // last entry known to be durable there
  revision next;                 // next entry to send
  std::uint64_t generation = 0;  // changes when sending restarts; a reply to an
                                 // older one does not move `next` back
  std::uint64_t acknowledged_round = 0;  // newest confirmation round
                                         // that it replied to
  revision commit_sent;                  // newest commit index sent
  time_point tracked_since;              // when the leader began replicating
  std::optional<time_point> last_reply;  // nothing: none yet
  bool heartbeat_due = false;
  std::deque<revision> in_flight;  // last entry of each unacknowledged message

  shared_snapshot snapshot;                 // in transfer; null: none
  std::uint64_t snapshot_checksum = 0;      // of its data
  std::uint64_t snapshot_sent = 0;          // bytes
  std::uint64_t snapshot_acknowledged = 0;  // bytes
  bool snapshot_started = false;            // sending has begun
  bool snapshot_progressed = false;         // acknowledged more since the last
                                            // heartbeat

  // Called for an acknowledgement of the entries up to `index`. Never moves
  // `match` or `next` back.
  void Acknowledge(revision index);
  // Sends the entries after `index` next, or those after `match` if it is
  // newer, and invalidates replies to what was sent before.
  void ResumeAfter(revision index);
  // Starts the transfer of a snapshot. No entries are sent until it ends.
  void StartSnapshot(shared_snapshot newest);
  // Called when the follower has installed a snapshot up to `index`; the
  // entries after it are sent next.
  void FinishSnapshot(revision index);
};

}  // namespace tamaracklatch
