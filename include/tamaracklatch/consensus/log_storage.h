// Where a member keeps its log. Whatever Load() gave or Persist() returned true
// for survives the loss of power.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "tamaracklatch/consensus/consensus_types.h"
#include "tamaracklatch/core/result_code.h"

namespace tamaracklatch {

// What a start finds. A blank disk has hard.disk 0, no snapshot, no entries.
struct stored_state {
  hard_state hard;
  shared_snapshot snapshot;
  std::vector<log_entry> entries;    // without a gap, after the snapshot or
                                     // reaching back behind it
  std::uint64_t repaired_bytes = 0;  // of a torn tail, cut off
};

// Changes that become durable together, in this order.
struct storage_batch {
  std::optional<hard_state> hard;
  shared_snapshot snapshot;  // replaces the older one
  bool reset_log = false;    // drops all entries; goes with `snapshot`
  // Each replaces the entry of its index and drops all after it.
  std::vector<log_entry> entries;
  std::optional<revision> compact_before;  // older entries are not needed;
                                           // the one at it still is
};

class log_storage {
 public:
  virtual ~log_storage() = default;

  // Reads what is there, called once before the first Persist().
  virtual std::optional<stored_state> Load(failure* last_failure) = 0;

  // Writes and syncs the batch. After a failure the storage holds a beginning
  // of it, and the same batch must be persisted again before any other.
  virtual bool Persist(const storage_batch& batch, failure* last_failure) = 0;
};

}  // namespace tamaracklatch
