// A log_storage in one folder of files:
//
//   hard-state         term, vote, disk incarnation, cluster, newest segment
//   snapshot-INDEX     the newest snapshot
//   log-SEQUENCE       a segment: frames from this sequence number on; each
//                      frame is one batch of entries, written and synced before
//                      the next one begins
//
// So only the last frame of the last segment can be torn. Any other frame that
// is not intact, and a last frame that is complete but corrupt, makes Load()
// fail.
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
  std::string folder;  // created if it is missing
  // A segment of at least this size gets no further frames: the next one goes
  // into a new segment.
  std::size_t segment_bytes = 2 * 1024 * 1024;
};

// Totals since the storage was created, for benchmarks and metrics.
struct file_log_counts {
  std::uint64_t file_syncs = 0;
  std::uint64_t folder_syncs = 0;
  std::uint64_t bytes_written = 0;
};

// Used from one thread. One process at a time uses a folder: a file lock makes
// Load() fail in a second one.
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
    revision highest_index;            // of all entries in it; 0: none needed
    std::uint64_t bytes = 0;           // of its intact frames
  };

  struct replayed_log;

  std::string PathOf(const std::string& name) const;
  // Creates the folder if it is missing, and locks it.
  bool LockFolder(failure* last_failure);
  bool LoadHardState(stored_state* state, failure* last_failure);
  bool LoadSnapshot(stored_state* state, failure* last_failure);
  bool LoadSegments(stored_state* state, failure* last_failure);
  // `last`: it is the newest segment, whose tail may be torn.
  bool LoadSegment(std::uint64_t first_sequence, bool last, replayed_log* log,
                   stored_state* state, failure* last_failure);
  bool RemoveTemporaryFiles(failure* last_failure);
  bool TruncateTail(const std::string& path, std::uint64_t intact_bytes,
                    failure* last_failure);

  bool WriteHardState(failure* last_failure);
  // Replaces a file atomically: writes and syncs a temporary file and renames
  // it.
  bool WriteWholeFile(const std::string& name, const std::string& bytes,
                      failure* last_failure);
  bool AppendFrame(const storage_batch& batch, failure* last_failure);
  bool OpenSegment(failure* last_failure);
  // Removes segments that hold only entries before `before`; never the last.
  bool RemoveSegments(revision before, failure* last_failure);
  bool RemoveOldSnapshots(revision newest, failure* last_failure);
  bool SyncFolder(failure* last_failure);

  file_log_settings settings_;
  file_log_counts counts_;
  int folder_descriptor_ = -1;   // -1: not open; also holds the lock
  int segment_descriptor_ = -1;  // of the last segment; -1: none is open
  hard_state hard_state_;  // its `disk` seeds the frame checksums, so that no
                           // command's bytes can pass for a frame
  std::uint64_t newest_segment_ = 0;  // first sequence of the last segment,
                                      // which Load() requires; 0: none
  std::uint64_t next_sequence_ = 1;   // of the next frame
  std::deque<segment> segments_;      // oldest first
  bool tail_torn_ = false;  // the last segment's file may hold more than its
                            // intact frames, after a failed write
  bool loaded_ = false;
};

}  // namespace tamaracklatch
