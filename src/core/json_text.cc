// Bounded parsing by the parser's callback, which sees each value before it is
// built.
#include "core/json_text.h"

#include <utility>

namespace tamaracklatch {

using nlohmann::json;

std::optional<json> ParseJson(std::string_view text, json_comments comments,
                              std::size_t* position) {
  if (position != nullptr) *position = 0;
  bool is_too_deep = false;
  // Once the text is too deep, every later value is discarded unbuilt.
  const auto keep = [&](int depth, json::parse_event_t event, const json&) {
    const bool opens = event == json::parse_event_t::object_start ||
                       event == json::parse_event_t::array_start;
    is_too_deep = is_too_deep || (opens && depth >= kMaxJsonDepth);
    return !is_too_deep;
  };
  try {
    json parsed =
        json::parse(text, keep, true, comments == json_comments::kIgnored);
    if (!is_too_deep) return parsed;
  } catch (const json::parse_error& error) {
    if (position != nullptr) *position = error.byte;
  } catch (const json::out_of_range&) {
    // A number that no type can hold.
  }
  return std::nullopt;
}

std::optional<json> ParseJsonObject(std::string_view text) {
  auto parsed = ParseJson(text);
  if (!parsed || !parsed->is_object()) return std::nullopt;
  return parsed;
}

std::optional<std::uint64_t> WholeNumberAt(const json& object,
                                           const char* key) {
  const auto found = object.find(key);
  if (found == object.end() || !found->is_number_unsigned())
    return std::nullopt;
  const auto number = found->get<std::uint64_t>();
  if (number > kMaxJsonNumber) return std::nullopt;
  return number;
}

}  // namespace tamaracklatch
