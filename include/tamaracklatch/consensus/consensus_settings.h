// Settings of a member of the replicated log.
#pragma once

#include <cstddef>
#include <vector>

#include "tamaracklatch/core/ids.h"
#include "tamaracklatch/core/time.h"

namespace tamaracklatch {

struct consensus_settings {
  vm_name name;

  // The VMs that found the log together, this one included. Founding needs them
  // and all peers to be there and blank. Empty: only ever join an existing log.
  std::vector<vm_name> founders;
  // Names to which a blank VM announces itself; founders are always among
  // them.
  std::vector<vm_name> peers;

  duration heartbeat_interval = std::chrono::milliseconds(100);
  // A follower waits from one to two of these before it stands for election,
  // and votes for nobody within one of them after a leader's message.
  duration election_timeout = std::chrono::milliseconds(1000);
  // Share of the election timeout by which the leader's lease is shorter: the
  // clocks of two VMs may differ in rate by less than this.
  double lease_drift_margin = 0.1;
  // Between two announcements of a blank VM.
  duration join_interval = std::chrono::milliseconds(500);

  // How many voters the leader keeps by itself: it admits VMs that announce
  // themselves and replaces voters that are silent. 0: operators change voters.
  std::size_t voter_goal = 0;
  // A voter that did not answer for this long may be replaced.
  duration voter_silence = std::chrono::milliseconds(1500);
  // A learner that did not answer for this long is forgotten. It is admitted
  // again when it announces itself.
  duration learner_silence = std::chrono::seconds(30);

  std::size_t max_append_bytes = 128 * 1024;        // of one message's entries
  std::size_t max_in_flight_messages = 16;          // to one follower
  std::size_t max_uncommitted_bytes = 8192 * 1024;  // on the leader
  std::size_t snapshot_chunk_bytes = 64 * 1024;     // of one part
  std::size_t max_in_flight_snapshot = 256 * 1024;  // bytes to one follower
  std::size_t max_snapshot_bytes = 64 * 1024 * 1024;  // accepted from a leader
  // A snapshot is taken after this many bytes of log, or as many as the last
  // snapshot has.
  std::size_t snapshot_log_bytes = 4096 * 1024;
  // Entries kept behind a snapshot for followers that lag a little, and how
  // many bytes they may have.
  std::size_t kept_entries = 4096;
  std::size_t kept_bytes = 4096 * 1024;
  // A learner this near to the end of the log becomes a voter.
  std::size_t promotion_gap = 64;  // entries
};

}  // namespace tamaracklatch
