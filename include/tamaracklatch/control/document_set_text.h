// Parses a document set from the JSON text that an operator writes.
#pragma once

#include <optional>
#include <string_view>
#include <vector>

#include "tamaracklatch/control/document_set.h"

namespace tamaracklatch {

// Parses JSON with comments and checks the keys, the values and the set's
// invariants:
//
//   {
//     "version": 7,
//     "services": ["desk", "cards"],
//     "routes": [{"name": "desk-1", "where": "198.18.0.1:443",
//                 "shares": [{"service": "desk", "weight": 9},
//                            {"service": "cards"}]}],
//     "idle_timeout": "15s"
//   }
//
// On failure returns nothing; `failures` then has every fault found, each with
// the path, the value and the reason.
std::optional<document_set> ParseDocumentSet(std::string_view text,
                                             std::vector<failure>* failures);

// The key that tells a document set from other documents.
inline constexpr const char* kSetRoutesKey = "routes";

}  // namespace tamaracklatch
