// Merging of several processes' time lines into one causal order, with filters.
#pragma once

#include <cstdint>
#include <istream>
#include <optional>
#include <string>
#include <vector>

#include "tamaracklatch/core/time.h"
#include "tamaracklatch/timeline/timeline_entry.h"

namespace tamaracklatch {

// Which entries are wanted. An empty part lets every entry pass; all that are
// set must match.
struct timeline_filter {
  std::string service;
  std::optional<std::uint64_t> flow;  // takes in the drain of its target
  std::string request;
  std::string submission;  // "SERVICE@VERSION"; takes in how it spread
  std::optional<wall_time> since;
};

// Collects entries file by file, then orders them.
class timeline_merge {
 public:
  explicit timeline_merge(timeline_filter filter);

  // Reads one file's lines. Lines that are torn or no entries are skipped and
  // counted.
  void Read(std::istream& lines);

  // The wanted entries in causal order: an event that could have caused another
  // comes before it. Entries of equal stamps are ordered by process.
  std::vector<timeline_entry> Finish();

  std::uint64_t malformed() const { return malformed_; }  // lines

 private:
  bool Wanted(const timeline_entry& entry) const;

  timeline_filter filter_;
  std::vector<timeline_entry> entries_;
  std::uint64_t malformed_ = 0;
};

// One entry as a line for a person.
std::string FormatEntry(const timeline_entry& entry);

}  // namespace tamaracklatch
