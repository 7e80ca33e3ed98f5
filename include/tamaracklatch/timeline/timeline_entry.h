// One line of the time line: an event with its stamp and the process that saw
// it, and its text as one line of JSON.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "tamaracklatch/core/event.h"
#include "tamaracklatch/core/ids.h"
#include "tamaracklatch/core/result_code.h"
#include "tamaracklatch/timeline/hybrid_clock.h"

namespace tamaracklatch {

// The process that an entry comes from.
struct timeline_source {
  std::string process;
  vm_name vm;
  zone_name zone;
};

struct timeline_entry {
  hybrid_stamp stamp;
  timeline_source source;
  event what;
};

// Longest line that is written or read, in bytes.
inline constexpr std::size_t kMaxTimelineLine = 16 * 1024;

// The entry as one line of JSON, without the end of line.
std::string ToJsonLine(const timeline_entry& entry);

// Reads a line that ToJsonLine wrote, also by a later version: keys and event
// numbers that are unknown here are let pass.
std::optional<timeline_entry> ParseJsonLine(std::string_view line,
                                            failure* last_failure);

// "2026-12-04T09:41:00.000123Z", in UTC.
std::string FormatWallTime(wall_time when);

// Reads "2026-12-04T09:41:00Z", with or without a fraction of the second.
std::optional<wall_time> ParseWallTime(std::string_view text,
                                       failure* last_failure);

}  // namespace tamaracklatch
