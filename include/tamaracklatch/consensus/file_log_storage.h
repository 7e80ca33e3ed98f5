// A log_storage in one folder of files:
//
//   hard-state         term, vote, disk incarnation, cluster
//   snapshot-INDEX     the newest snapshot
//   log-SEQUENCE       frames; each is one batch of entries, written and synced
//                      before the next begins
//
// So only the last frame can be torn. A broken frame before it, or a whole but
// wrong last one, stops the start.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "tamaracklatch/consensus/log_storage.h"

namespace tamaracklatch {

struct file_log_settings {
  std::string folder;                           // created if it is missing
  std::size_t segment_bytes = 2 * 1024 * 1024;  // a new file after this many
};

// Counts for benchmarks and metrics.
struct file_log_counts {
  std::uint64_t file_syncs = 0;
  std::uint64_t folder_syncs = 0;
  std::uint64_t bytes_written = 0;
};

// Used from one thread. One process at a time uses a folder: a second one is
// refused by a file lock.
class file_log_storage final : public log_storage {
 public:
  explicit file_log_storage(file_log_settings settings);
  ~file_log_storage() override;
  file_log_storage(const file_log_storage&) = delete;
  file_log_storage& operator=(const file_log_storage&) = delete;

  std::optional<stored_state> Load(failure* last_failure) override;
  bool Persist(const storage_batch& batch, failure* last_failure) override;

  const file_log_counts& counts() const { return counts_; }

 private:
  struct segment {
    std::uint64_t first_sequence = 0;  // of its first frame
    revision highest;                  // of all entries in it
    std::uint64_t bytes = 0;
  };

  std::string PathOf(const std::string& name) const;
  bool LockFolder(failure* last_failure);
  bool LoadHardState(stored_state* state, failure* last_failure);
  bool LoadSnapshot(stored_state* state, failure* last_failure);
  bool LoadSegments(stored_state* state, failure* last_failure);
  bool LoadSegment(std::uint64_t first_sequence, bool last, stored_state* state,
                   failure* last_failure);
  bool RemoveTemporary(failure* last_failure);
  bool RepairTail(const std::string& path, std::uint64_t good_bytes,
                  failure* last_failure);

  bool WriteHardState(failure* last_failure);
  bool WriteWholeFile(const std::string& name, const std::string& bytes,
                      failure* last_failure);
  bool AppendFrame(const storage_batch& batch, failure* last_failure);
  bool OpenSegment(failure* last_failure);
  bool DropSegments(revision before, failure* last_failure);
  bool RemoveOldSnapshots(revision newest, failure* last_failure);
  bool SyncFolder(failure* last_failure);

  file_log_settings settings_;
  file_log_counts counts_;
  int folder_ = -1;  // descriptor, also holds the lock
  int log_ = -1;     // descriptor of the last segment
  hard_state hard_;  // its disk seeds the checksums, so that no command can
                     // hold a frame's likeness
  std::uint64_t newest_segment_ = 0;  // must be there at a start
  std::uint64_t next_sequence_ = 1;
  std::deque<segment> segments_;  // oldest first
  bool torn_ = false;  // the last segment holds more than its good bytes
  bool loaded_ = false;
};

}  // namespace tamaracklatch
