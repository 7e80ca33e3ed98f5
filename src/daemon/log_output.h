// Writes lines to a descriptor without ever waiting for its reader.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace tamaracklatch {

struct log_output_settings {
  int descriptor = 1;                    // standard output; not closed
  std::size_t buffer_bytes = 64 * 1024;  // that may wait for the reader
  std::size_t write_bytes = 4096;        // written at once when so many wait
};

// Not safe for use by several threads.
// Invariants: at most `buffer_bytes` wait; a line is written whole or not at
// all, as long as the reader reads.
class log_output {
 public:
  explicit log_output(const log_output_settings& settings);
  ~log_output();
  log_output(const log_output&) = delete;
  log_output& operator=(const log_output&) = delete;

  // Adds a line; the end of line is added to it. False where it has no room, or
  // the reader is gone.
  bool Add(std::string_view line);

  // Writes as much as the reader takes. Returns whether nothing waits any more.
  bool Flush();

  std::size_t waiting() const { return buffer_.size(); }  // bytes
  std::uint64_t writes() const { return writes_; }        // calls to the system

 private:
  enum class target { kFile, kNonblocking, kSocket, kPolled };

  std::int64_t Write(std::string_view bytes);

  log_output_settings settings_;
  target target_ = target::kFile;
  int own_ = -1;  // descriptor opened here; -1: none
  std::string buffer_;
  bool stuck_ = false;  // the reader took nothing at the last try
  bool gone_ = false;   // nobody will ever read
  std::uint64_t writes_ = 0;
};

}  // namespace tamaracklatch
