// The file that a process writes its time line to: lines appended, rotated by
// size, the oldest removed.
#pragma once

#include <cstdint>
#include <cstdio>
#include <memory>
#include <string>
#include <vector>

#include "tamaracklatch/timeline/timeline_entry.h"

namespace tamaracklatch {

struct timeline_file_settings {
  std::string path;
  std::uint64_t max_bytes = 64ULL << 20U;  // of one file
  unsigned kept_files = 2;  // rotated ones: PATH.1 the newest, then PATH.2
};

// Not thread-safe. A line that can't be written is counted, never an error for
// the process.
class timeline_file {
 public:
  explicit timeline_file(timeline_file_settings settings);

  // Appends the entries and hands them to the operating system.
  void Append(const std::vector<timeline_entry>& entries);

  std::uint64_t written() const { return written_; }  // lines
  std::uint64_t lost() const { return lost_; }        // lines

 private:
  struct closer {
    void operator()(std::FILE* file) const { std::fclose(file); }
  };

  bool Open();
  void Rotate();
  bool WriteLine(const std::string& line);

  timeline_file_settings settings_;
  std::unique_ptr<std::FILE, closer> file_;
  std::uint64_t bytes_ = 0;  // in the current file
  std::uint64_t written_ = 0;
  std::uint64_t lost_ = 0;
};

}  // namespace tamaracklatch
