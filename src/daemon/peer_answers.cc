// Bounded reading of the answers.
#include "daemon/peer_answers.h"

#include "core/json_text.h"

namespace tamaracklatch {
namespace {

std::optional<std::uint64_t> NumberIn(std::string_view body, const char* key) {
  const auto answer = ParseJsonObject(body);
  return answer ? WholeNumberAt(*answer, key) : std::nullopt;
}

}  // namespace

std::optional<revision> ReadAcknowledgedRevision(std::string_view body) {
  const auto at = NumberIn(body, "at");
  return at ? std::make_optional(revision{*at}) : std::nullopt;
}

std::optional<key_knowledge> ReadKeyKnowledge(std::string_view body) {
  constexpr auto kLast = static_cast<std::uint64_t>(key_knowledge::kPerhaps);
  const auto knowledge = NumberIn(body, "knowledge");
  if (!knowledge || *knowledge > kLast) return std::nullopt;
  return static_cast<key_knowledge>(*knowledge);
}

}  // namespace tamaracklatch
