// Durable storage of a member's log. All that Load() returned and all that
// Persist() returned true for survives a loss of power.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "tamaracklatch/consensus/consensus_types.h"
#include "tamaracklatch/core/result_code.h"

namespace tamaracklatch {

// The contents of the storage at start. A blank disk has hard.disk 0, no
// snapshot and no entries.
struct stored_state {
  hard_state hard;
  shared_snapshot snapshot;        // null: none
  std::vector<log_entry> entries;  // consecutive; the first is at most the one
                                   // after the snapshot, and may be older
  std::uint64_t truncated_bytes = 0;  // of a torn tail, removed by Load()
};

// Changes to persist in one call, in this order.
struct storage_batch {
  std::optional<hard_state> hard;
  shared_snapshot snapshot;  // replaces the older one; null: no change
  bool reset_log = false;    // removes all entries; set only with `snapshot`
  // Each replaces the entry of its index and removes all after it.
  std::vector<log_entry> entries;
  std::optional<revision> compact_before;  // entries before it may be removed;
                                           // the entry at it must stay
};

// Used by consensus_runner. Implemented by file_log_storage.
class log_storage {
 public:
  virtual ~log_storage() = default;

  // Reads the stored state. Called once, before the first Persist().
  virtual std::optional<stored_state> Load(failure* last_failure) = 0;

  // Writes and syncs the batch. After a failure the storage holds a prefix of
  // the batch, and the same batch must be persisted again before any other.
  virtual bool Persist(const storage_batch& batch, failure* last_failure) = 0;
};

}  // namespace tamaracklatch
