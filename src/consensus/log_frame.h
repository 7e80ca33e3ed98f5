// Frames of the log's files: each holds one batch of entries with length,
// sequence and checksums.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "tamaracklatch/consensus/consensus_types.h"

namespace tamaracklatch {

// One batch of the log.
struct log_frame {
  std::uint64_t sequence = 0;
  bool reset = false;  // all earlier entries are void
  std::vector<log_entry> entries;
};

// What stands at a place of a file.
enum class frame_state : std::uint8_t {
  kWhole,
  kTorn,    // cut off by a crash while it was written
  kBroken,  // was once whole, or was never a frame
};

struct frame_reading {
  frame_state state = frame_state::kBroken;
  log_frame frame;        // kWhole only
  std::size_t bytes = 0;  // kWhole only: its length in the file
  std::string reason;     // kBroken only
};

// `disk` seeds the checksums.
std::string EncodeFrame(const log_frame& frame, disk_incarnation disk);

// Reads the frame at `offset` of a whole file, which must have `sequence`.
// A file only grows by frames that are synced one by one. So a frame is torn
// only if the file ends in it, or one of its sectors never reached the disk and
// reads as zeros, and no later frame follows.
frame_reading ReadFrame(std::string_view file, std::size_t offset,
                        std::uint64_t sequence, disk_incarnation disk);

}  // namespace tamaracklatch
