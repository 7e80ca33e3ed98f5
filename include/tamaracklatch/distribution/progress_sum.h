// Summed acknowledgments: how many nodes, and by a sum of hashes which ones,
// have applied which revision.
#pragma once

#include <cstddef>
#include <vector>

#include "tamaracklatch/distribution/relay_messages.h"

namespace tamaracklatch {

// Revisions told apart in one sum.
inline constexpr std::size_t kMaxProgressEntries = 6;

// Adds the entries of `more` to `sum`, kept by falling revision.
void AddProgress(const std::vector<progress>& more, std::vector<progress>* sum);

// Cuts to kMaxProgressEntries. Nodes are only ever counted at a revision below
// theirs, never above.
void BoundProgress(std::vector<progress>* sum);

// The nodes that have applied at least `at`.
progress AppliedAtLeast(const std::vector<progress>& sum, revision at);

}  // namespace tamaracklatch
