// Answers of other target daemons to questions about idempotency keys. They
// come from another process, so any bytes must be readable without harm.
#pragma once

#include <optional>
#include <string_view>

#include "tamaracklatch/core/ids.h"
#include "tamaracklatch/request/request_owner.h"

namespace tamaracklatch {

// The revision up to which the peer has given up buckets; nothing if the answer
// names none, as a refusal does.
std::optional<revision> ReadAcknowledgedRevision(std::string_view body);

// What the peer knows of the key; nothing if the answer doesn't tell.
std::optional<key_knowledge> ReadKeyKnowledge(std::string_view body);

}  // namespace tamaracklatch
