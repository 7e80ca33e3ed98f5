// Reading of a document set as an operator writes it.
#pragma once

#include <optional>
#include <string_view>
#include <vector>

#include "tamaracklatch/control/document_set.h"

namespace tamaracklatch {

// Reads JSON with comments and checks everything:
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
// On failure returns nothing; `failures` then holds every fault found, each
// naming the path, the value and the reason.
std::optional<document_set> ParseDocumentSet(std::string_view text,
                                             std::vector<failure>* failures);

// The key by which a file is known to be a document set.
inline constexpr const char* kSetRoutesKey = "routes";

}  // namespace tamaracklatch
