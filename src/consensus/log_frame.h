// Frames of the log's segment files: each holds one batch of entries with its
// length, sequence number and checksums.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "tamaracklatch/consensus/consensus_types.h"

namespace tamaracklatch {

// One batch of entries, as file_log_storage appends it to a segment.
struct log_frame {
  std::uint64_t sequence = 0;  // counts all frames of the log from 1
  bool reset = false;          // all earlier entries are removed
  std::vector<log_entry> entries;
};

// The condition of the frame at an offset of a file.
enum class frame_state : std::uint8_t {
  kIntact,
  kTorn,     // only partly written, because of a crash
  kCorrupt,  // damaged after it was written, or never a frame
};

struct frame_read_result {
  frame_state state = frame_state::kCorrupt;
  log_frame frame;        // kIntact only
  std::size_t bytes = 0;  // kIntact only: its length in the file
  std::string reason;     // kCorrupt only
};

// `disk` seeds the checksums, so that bytes from another disk or from within a
// command are not taken for a frame.
std::string EncodeFrame(const log_frame& frame, disk_incarnation disk);

// Reads the frame at `offset` of `file`, the contents of a whole segment. The
// frame must have `sequence`.
// Each frame is synced before the next is appended. So a frame counts as torn
// only if no later frame follows and either the file ends within the frame, or
// one of its sectors reads as zeros because it never reached the disk.
frame_read_result ReadFrame(std::string_view file, std::size_t offset,
                            std::uint64_t sequence, disk_incarnation disk);

}  // namespace tamaracklatch
