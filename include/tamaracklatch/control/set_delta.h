// What turns one document set into a later one: the services and routes that
// the earlier one lacks, and runs of those that it has, in the later one's
// order.
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

// Both sets keep the invariants; equal pairs give equal bytes.
std::string EncodeSetDelta(const document_set& base, const document_set& next);

// Several deltas, each from the set to which the one before it leads, as one
// message.
std::string JoinSetDeltas(const std::vector<std::string_view>& deltas);

// The set to which joined deltas lead, as EncodeDocumentSet writes it; nothing
// where they can't be read or don't fit. A wrong base may fit by chance: the
// caller compares the hash of the result.
std::optional<std::string> ApplySetDeltas(const document_set& base,
                                          std::string_view joined);

}  // namespace tamaracklatch
