// Merging and bounding of summed acknowledgments.
#include "tamaracklatch/distribution/progress_sum.h"

#include <algorithm>

namespace tamaracklatch {
namespace {

void Merge(const progress& from, progress* into) {
  into->nodes += from.nodes;
  into->identities += from.identities;
}

}  // namespace

void AddProgress(const std::vector<progress>& more,
                 std::vector<progress>* sum) {
  for (const progress& entry : more) {
    const auto place = std::find_if(
        sum->begin(), sum->end(),
        [&](const progress& known) { return known.at <= entry.at; });
    if (place != sum->end() && place->at == entry.at) {
      Merge(entry, &*place);
    } else {
      sum->insert(place, entry);
    }
  }
}

void BoundProgress(std::vector<progress>* sum) {
  while (sum->size() > kMaxProgressEntries) {
    // Merges the entry with the fewest nodes into the next lower revision, so
    // that as few nodes as possible are counted too low.
    auto moved = sum->begin();
    for (auto entry = sum->begin(); entry + 1 != sum->end(); ++entry) {
      if (entry->nodes <= moved->nodes) moved = entry;
    }
    Merge(*moved, &*(moved + 1));
    sum->erase(moved);
  }
}

progress AppliedAtLeast(const std::vector<progress>& sum, revision at) {
  progress found;
  found.at = at;
  for (const progress& entry : sum) {
    if (entry.at >= at) Merge(entry, &found);
  }
  return found;
}

}  // namespace tamaracklatch
