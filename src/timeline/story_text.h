// Lines of a story for a person.
#pragma once

#include <string>
#include <vector>

#include "tamaracklatch/timeline/log_merge.h"

namespace tamaracklatch {

// "no_target (831)".
std::string TellCode(result_code code);

// "09:41:00.123", in UTC.
std::string TellTime(wall_time when);

// "+12 ms", since another time.
std::string TellSince(wall_time when, wall_time start);

// The entry as one line. `start` is when the story began; the mark stands
// before lines that are not of the story itself.
std::string TellEntry(const log_entry& entry, wall_time start, char mark);

// Which kinds of lines `process` says it left out from `first` to a little
// after `last`; empty: none. Where there are any, a line that is missing proves
// nothing.
std::string TellLeftOut(const std::vector<log_entry>& entries,
                        const std::string& process, wall_time first,
                        wall_time last);

// A heading and lines below it; nothing where there are none.
std::string TellPart(const std::string& heading,
                     const std::vector<std::string>& lines);

}  // namespace tamaracklatch
