// The command `tamaracklatch timeline`: merges files and prints them or draws
// a page.
#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace tamaracklatch {

// The command line, read but not checked. Empty texts are not set.
struct timeline_command {
  std::vector<std::string> files;
  std::string service;
  std::string flow;  // 16 hexadecimal digits, as entries show it
  std::string request;
  std::string submission;  // "SERVICE@VERSION"
  std::string since;       // "2026-01-31T23:59:59Z"
  std::string html;        // path of the page to write
};

// Exit code: 0 done, 1 a file could not be read or written, 2 wrong use.
int RunTimeline(const timeline_command& command, std::ostream& out,
                std::ostream& errors);

}  // namespace tamaracklatch
