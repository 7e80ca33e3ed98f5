// The logs of several processes in one order, as far as they concern one flow
// or the document sets.
#pragma once

#include <cstdint>
#include <istream>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "tamaracklatch/core/endpoint.h"
#include "tamaracklatch/core/event.h"
#include "tamaracklatch/core/ids.h"
#include "tamaracklatch/core/result_code.h"
#include "tamaracklatch/core/time.h"

namespace tamaracklatch {

// One line of a log.
struct log_entry {
  wall_time wall;
  std::string process;
  zone_name zone;
  std::string node;  // its endpoint, as peers name it; may be empty
  event what;
};

// Longest line that is read, in bytes.
inline constexpr std::size_t kMaxLogLine = 64 * 1024;

// Reads a line of the log or of a time line. What stands before the first '{',
// as some collectors add, is passed over. The flow's key and the set's version
// are taken from the detail where the line has no fields for them.
std::optional<log_entry> ParseLogLine(std::string_view line,
                                      failure* last_failure);

// Which flow is asked for.
struct flow_selector {
  std::optional<endpoint> caller;
  std::optional<std::uint64_t> flow;  // hash, as lines show it

  // Whether a line may be of it: lines that name no caller may.
  bool MayBe(const event& what) const;
};

// What one log covers.
struct log_span {
  std::string node;
  std::string zone;
  wall_time first;
  wall_time last;
};

// Collects lines file by file, then orders them.
class log_merge {
 public:
  explicit log_merge(flow_selector wanted);

  void Read(std::istream& lines);

  // In order of the wall clocks; lines of one millisecond as they were read.
  std::vector<log_entry> Finish();

  // All processes that a line was read of, by name.
  const std::map<std::string, log_span>& processes() const {
    return processes_;
  }
  // The process that others call by this endpoint or name; empty: none.
  std::string ProcessOf(const std::string& peer) const;

  std::uint64_t malformed() const { return malformed_; }  // lines

 private:
  void Take(log_entry entry);

  flow_selector wanted_;
  std::map<std::string, log_span> processes_;
  std::vector<log_entry> entries_;
  std::uint64_t malformed_ = 0;
};

}  // namespace tamaracklatch
