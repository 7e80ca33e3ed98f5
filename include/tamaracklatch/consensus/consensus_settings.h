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
  // VMs to which this one announces itself while it is blank, in addition to
  // the founders.
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
  std::size_t voter_goal = 0;
  // A voter that sent no reply for longer than this may be replaced. At least
  // four heartbeat intervals.
  duration voter_silence = std::chrono::milliseconds(1500);
  // A learner that sent no reply for longer than this is removed. It is
  // admitted again when it announces itself.
  duration learner_silence = std::chrono::seconds(30);

  // If a storage write takes this long, a leader steps down, and the member
  // starts no election until the write has finished.
  duration storage_patience = std::chrono::milliseconds(1000);

  std::size_t max_append_bytes = 128 * 1024;  // entries of one message
  std::size_t max_in_flight_messages = 16;    // to one follower
  // Beyond this a leader rejects commands with kLogBusy.
  std::size_t max_uncommitted_bytes = 8192 * 1024;
  std::size_t snapshot_chunk_bytes = 64 * 1024;     // of one message
  std::size_t max_in_flight_snapshot = 256 * 1024;  // bytes to one follower
  std::size_t max_snapshot_bytes =
      64 * 1024 * 1024;  // larger ones are rejected
  // A snapshot is taken after this many bytes of applied log entries, or after
  // as many as the last snapshot has, whichever is more.
  std::size_t snapshot_log_bytes = 2048 * 1024;
  // Entries before a snapshot's index that stay in the log, up to either bound,
  // so that followers slightly behind need no snapshot.
  std::size_t kept_entries = 4096;
  std::size_t kept_bytes = 2048 * 1024;
  // A learner at most this many entries behind the end of the leader's log may
  // become a voter.
  std::size_t promotion_gap = 64;
};

}  // namespace tamaracklatch
