// Reading of fields that may be absent or of another type.
#pragma once

#include <charconv>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "tamaracklatch/core/event.h"

namespace tamaracklatch {

inline std::string TextAt(const nlohmann::json& line, const char* key) {
  const auto found = line.find(key);
  return found != line.end() && found->is_string() ? found->get<std::string>()
                                                   : std::string();
}

inline std::uint64_t NumberAt(const nlohmann::json& line, const char* key) {
  const auto found = line.find(key);
  return found != line.end() && found->is_number_unsigned()
             ? found->get<std::uint64_t>()
             : 0;
}

// Reads a number of hexadecimal digits.
inline std::optional<std::uint64_t> ParseHex(const std::string& digits) {
  constexpr int kHexBase = 16;
  std::uint64_t number = 0;
  const char* end = digits.data() + digits.size();
  const auto [stop, error] =
      std::from_chars(digits.data(), end, number, kHexBase);
  if (digits.empty() || error != std::errc() || stop != end)
    return std::nullopt;
  return number;
}

inline std::vector<event_input> InputsAt(const nlohmann::json& line) {
  std::vector<event_input> inputs;
  const auto found = line.find("inputs");
  if (found == line.end() || !found->is_object()) return inputs;
  for (const auto& [name, value] : found->items()) {
    if (value.is_boolean()) {
      inputs.push_back({name, value.get<bool>()});
    } else if (value.is_number_integer()) {
      inputs.push_back({name, value.get<std::int64_t>()});
    } else if (value.is_number()) {
      inputs.push_back({name, value.get<double>()});
    } else if (value.is_string()) {
      inputs.push_back({name, value.get<std::string>()});
    }
  }
  return inputs;
}

// Lines do not say the protocol; their flow hash covers it.
inline flow_key MakeKey(const endpoint& caller, const endpoint& address) {
  return {caller.address, address.address, caller.port, address.port,
          ip_protocol::kTcp};
}

// The event's own fields, as the log and the time line both write them.
inline event EventAt(const nlohmann::json& line) {
  event what;
  what.id = static_cast<event_id>(NumberAt(line, "number"));
  what.at = {NumberAt(line, "revision")};
  what.service = TextAt(line, "service");
  what.flow = ParseHex(TextAt(line, "flow"));
  what.request = TextAt(line, "request");
  what.submission = TextAt(line, "submission");
  what.peer = TextAt(line, "peer");
  what.code = static_cast<result_code>(NumberAt(line, "code") & UINT16_MAX);
  what.detail = TextAt(line, "detail");
  what.route = TextAt(line, "route");
  what.version = NumberAt(line, "version");
  what.inputs = InputsAt(line);
  const auto caller = ParseEndpoint(TextAt(line, "caller"), nullptr);
  const auto address = ParseEndpoint(TextAt(line, "address"), nullptr);
  if (caller && address) what.key = MakeKey(*caller, *address);
  return what;
}

}  // namespace tamaracklatch
