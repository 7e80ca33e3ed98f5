// Settings of a member of the replicated log.
#pragma once

#include <cstddef>
#include <vector>

#include "tamaracklatch/core/ids.h"
#include "tamaracklatch/core/time.h"

namespace tamaracklatch {

// Given to consensus_node at its construction and constant afterwards.
struct consensus_settings {
  vm_name name;  // of this VM

  // The VMs that found the log together, including this one. The log is founded
  // only when they and all peers have announced themselves as blank. Empty:
  // this VM only joins an existing log.
  std::vector<vm_name> founders;
  // VMs to which this one announces itself while it isn't a member, in
  // addition to the founders.
  std::vector<vm_name> peers;

  // Between two heartbeats of a leader; less than election_timeout.
  duration heartbeat_interval = std::chrono::milliseconds(100);
  // A follower starts an election after one to two of these without a message
  // from a leader, and grants no vote until one of them has passed.
  duration election_timeout = std::chrono::milliseconds(700);
  // Between two announcements of a VM that is not a member.
  duration join_interval = std::chrono::milliseconds(500);

  // The number of voters that the leader maintains automatically: it admits VMs
  // that announce themselves and replaces unresponsive voters. 0: only
  // operators change voters.
  std::size_t desired_voters = 0;
  // A voter that sent no reply for longer than this may be replaced. At least
  // four heartbeat intervals.
  duration voter_reply_timeout = std::chrono::milliseconds(1500);
  // A learner that sent no reply for longer than this is removed. It is
  // admitted again when it announces itself.
  duration learner_reply_timeout = std::chrono::seconds(30);

  // If a storage write takes this long, a leader steps down, and the member
  // starts no election until the write has finished.
  duration storage_write_timeout = std::chrono::milliseconds(1000);

  // Entries of one message; a single entry may be larger.
  std::size_t max_append_bytes = 128 * 1024;
  // Unacknowledged messages with entries to one follower.
  std::size_t max_in_flight_messages = 16;
  // Beyond this a leader rejects commands with kLogBusy.
  std::size_t max_uncommitted_bytes = 8192 * 1024;
  // Snapshot data in one message.
  std::size_t snapshot_chunk_bytes = 64 * 1024;
  // Unacknowledged snapshot data sent to one follower.
  std::size_t max_in_flight_snapshot_bytes = 256 * 1024;
  // Larger snapshots from a leader are rejected.
  std::size_t max_snapshot_bytes = 64 * 1024 * 1024;
  // A snapshot is taken after this many bytes of applied log entries, or after
  // as many as the last snapshot has, whichever is more.
  std::size_t snapshot_log_bytes = 2048 * 1024;
  // Entries before a snapshot's index that stay in the log, up to whichever
  // bound is reached first, so that followers slightly behind need no snapshot.
  std::size_t retained_entries = 4096;
  std::size_t retained_bytes = 2048 * 1024;
  // A learner at most this many entries behind the end of the leader's log may
  // become a voter.
  std::size_t promotion_lag_entries = 64;
};

}  // namespace tamaracklatch
