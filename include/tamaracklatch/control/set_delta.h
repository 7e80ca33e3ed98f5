// Deltas between document sets. A delta lists the services and routes of the
// later set in order: either the element itself, where the earlier set lacks
// it, or a run of consecutive elements of the earlier set.
//
//   deltas.push_back(EncodeSetDelta(base, next));
//   bytes = ApplySetDeltas(base, JoinSetDeltas(deltas));  // of `next`
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "tamaracklatch/control/document_set.h"

namespace tamaracklatch {

// The delta from `base` to `next`, which must both satisfy the invariants of
// document_set; equal pairs give equal bytes.
std::string EncodeSetDelta(const document_set& base, const document_set& next);

// How a node came from the document set that it held to a later one.
struct set_succession {
  // Sets may have been accepted in between of which the node knows nothing.
  bool may_skip_sets = false;
  // The routes that known sets in between added or changed.
  std::vector<set_route> intermediate_routes;
};

// Joins deltas into one message; each applies to the result of the one before
// it.
std::string JoinSetDeltas(const std::vector<std::string_view>& deltas);

// The set that results from applying joined deltas to `base`, as
// EncodeDocumentSet writes it. Nothing if the deltas are malformed or do not
// apply to `base`. They may apply to a wrong base by chance, so the caller
// compares the hash of the result. Appends to `intermediate`, unless it is
// null, the routes that all deltas but the last add or change.
std::optional<std::string> ApplySetDeltas(
    const document_set& base, std::string_view joined,
    std::vector<set_route>* intermediate = nullptr);

}  // namespace tamaracklatch
