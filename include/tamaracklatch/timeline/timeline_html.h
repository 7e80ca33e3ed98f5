// A merged time line as one self-contained page with a lane for each process.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "tamaracklatch/timeline/timeline_entry.h"

namespace tamaracklatch {

// Most entries that a page draws; it says how many it left out.
inline constexpr std::size_t kMaxPageEntries = 20000;

// The page for entries in the order given. It loads nothing from elsewhere and
// runs no script.
std::string TimelinePage(const std::vector<timeline_entry>& entries);

}  // namespace tamaracklatch
