// Opening of files, one after the other.
#include "timeline/input_files.h"

#include <fmt/format.h>

#include <fstream>

#include "tamaracklatch/core/result_code.h"

namespace tamaracklatch {

bool ReadInputFiles(const std::vector<std::string>& files,
                    const std::function<void(std::istream&)>& read,
                    std::ostream& errors) {
  for (const std::string& path : files) {
    std::ifstream file(path);
    if (file.is_open()) read(file);
    if (file.is_open() && !file.bad()) continue;
    errors << ToString(failure{result_code::kTimelineFileUnreadable,
                               fmt::format("\"{}\" can't be read", path)})
           << '\n';
    return false;
  }
  return true;
}

void SayMalformed(std::uint64_t lines, std::ostream& errors) {
  if (lines == 0) return;
  errors << fmt::format("{} lines that are torn or no entries were skipped\n",
                        lines);
}

}  // namespace tamaracklatch
