// Parsing of JSON that other processes wrote, within bounds that keep one bad
// text from exhausting the memory or the stack of the process that reads it.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string_view>

namespace tamaracklatch {

// Arrays and objects inside each other, at most. A document has fewer than ten.
inline constexpr int kMaxJsonDepth = 32;

// The largest whole number that every reader of JSON represents exactly.
inline constexpr std::uint64_t kMaxJsonNumber = std::uint64_t{1} << 53U;

enum class json_comments : std::uint8_t { kRefused, kIgnored };

// Returns nothing if the text is not JSON or is nested more than kMaxJsonDepth.
// Sets `position`, unless it is null, to the byte at which the text is wrong,
// or to 0 if it is nested too deeply.
std::optional<nlohmann::json> ParseJson(
    std::string_view text, json_comments comments = json_comments::kRefused,
    std::size_t* position = nullptr);

// As ParseJson; returns nothing also if the text is not an object.
std::optional<nlohmann::json> ParseJsonObject(std::string_view text);

// The whole number under the key; nothing if it is absent, of another type,
// negative or above kMaxJsonNumber.
std::optional<std::uint64_t> WholeNumberAt(const nlohmann::json& object,
                                           const char* key);

}  // namespace tamaracklatch
