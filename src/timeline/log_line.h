// One event as one line of JSON, as the log shows it.
#pragma once

#include <fmt/format.h>

#include <cstddef>
#include <string>
#include <string_view>

#include "tamaracklatch/core/event.h"
#include "tamaracklatch/core/ids.h"
#include "tamaracklatch/core/time.h"

namespace tamaracklatch {

// The process that writes the lines.
struct log_source {
  std::string process;
  zone_name zone;
  std::string node;  // its endpoint, as peers name it; empty where it has none
};

// When an event was seen.
struct log_time {
  time_point steady;
  wall_time wall;
};

// Longest text that a line holds, in bytes; the rest is cut off.
inline constexpr std::size_t kMaxLogText = 1024;
// Most inputs that a line holds.
inline constexpr std::size_t kMaxLogInputs = 16;

// Appends text as a JSON string; bytes that are no UTF-8 become U+FFFD.
void AppendJsonText(std::string_view text, fmt::memory_buffer* line);

// Writes the lines of one process. Keeps what is the same in all of them.
class log_line_writer {
 public:
  explicit log_line_writer(const log_source& source);

  // The line without its end; valid until the next call.
  std::string_view Write(const event& what, std::string_view level,
                         const log_time& when);

 private:
  void AppendTime(wall_time wall);

  std::string source_;  // the fields of the source
  fmt::memory_buffer line_;
  std::int64_t second_ = -1;  // that `second_text_` stands for
  std::string second_text_;   // "2026-12-04T09:41:00"
};

}  // namespace tamaracklatch
