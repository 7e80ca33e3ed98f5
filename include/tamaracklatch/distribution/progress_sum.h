// Aggregation of acknowledgments: for each revision, how many nodes have
// applied it, and a sum of hashes that identifies which ones.
#pragma once

#include <cstddef>
#include <vector>

#include "tamaracklatch/distribution/relay_messages.h"

namespace tamaracklatch {

// Maximum number of revisions that one sum distinguishes.
inline constexpr std::size_t kMaxProgressEntries = 6;

// Adds the entries of `more` to `sum`, which is in descending order of
// revisions.
void AddProgress(const std::vector<progress>& more, std::vector<progress>* sum);

// Merges entries until kMaxProgressEntries are left. A merged node is counted
// at a revision below the one it has applied, never above.
void BoundProgress(std::vector<progress>* sum);

// Returns the number and hash sum of the nodes that have applied `at` or a
// later revision.
progress AppliedAtLeast(const std::vector<progress>& sum, revision at);

}  // namespace tamaracklatch
