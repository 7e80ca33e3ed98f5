// Entries of the time line as lines of JSON.
#include "tamaracklatch/timeline/timeline_entry.h"

#include <fmt/format.h>

#include <array>
#include <cstdio>
#include <ctime>
#include <nlohmann/json.hpp>

#include "core/json_text.h"
#include "timeline/json_fields.h"

namespace tamaracklatch {
namespace {

constexpr std::int64_t kMicrosecondsPerSecond = 1'000'000;
constexpr std::size_t kFractionDigits = 6;
constexpr std::size_t kMaxDetail = 8 * 1024;  // bytes of a text in a line

std::string Shortened(const std::string& text) {
  return text.size() <= kMaxDetail ? text : text.substr(0, kMaxDetail);
}

std::optional<timeline_entry> Malformed(const char* why,
                                        failure* last_failure) {
  SetFailure(last_failure, result_code::kTimelineLineMalformed, why);
  return std::nullopt;
}

// Microseconds of ".25": the digits past the sixth are cut off.
std::optional<std::int64_t> ParseFraction(std::string_view text) {
  if (text.empty()) return 0;
  if (text.front() != '.' || text.size() < 2) return std::nullopt;
  std::int64_t result = 0;
  for (std::size_t i = 0; i < kFractionDigits; ++i) {
    const char digit = i + 1 < text.size() ? text[i + 1] : '0';
    if (digit < '0' || digit > '9') return std::nullopt;
    result = result * 10 + (digit - '0');
  }
  return result;
}

}  // namespace

std::string FormatWallTime(wall_time when) {
  const std::int64_t microseconds = when.time_since_epoch().count();
  const std::time_t seconds = microseconds / kMicrosecondsPerSecond;
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  std::array<char, 32> text{};
  const std::size_t size =
      std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
  return fmt::format("{}.{:06}Z", std::string_view(text.data(), size),
                     microseconds % kMicrosecondsPerSecond);
}

std::optional<wall_time> ParseWallTime(std::string_view text,
                                       failure* last_failure) {
  const std::string terminated(text);
  std::tm parts{};
  const char* rest = strptime(terminated.c_str(), "%Y-%m-%dT%H:%M:%S", &parts);
  std::optional<std::int64_t> fraction;
  if (rest != nullptr && !terminated.empty() && terminated.back() == 'Z' &&
      *rest != '\0') {
    const char* end = terminated.c_str() + terminated.size() - 1;
    fraction = ParseFraction(
        std::string_view(rest, static_cast<std::size_t>(end - rest)));
  }
  if (!fraction) {
    SetFailure(last_failure, result_code::kTimelineBadFilter,
               fmt::format("\"{}\" is not a UTC time like "
                           "2026-01-31T23:59:59Z",
                           text));
    return std::nullopt;
  }
  return wall_time(
      duration(timegm(&parts) * kMicrosecondsPerSecond + *fraction));
}

std::string ToJsonLine(const timeline_entry& entry) {
  const event& what = entry.what;
  nlohmann::ordered_json line;
  line["time"] = FormatWallTime(entry.stamp.Wall());
  line["stamp"] = entry.stamp.value;
  line["process"] = entry.source.process;
  line["vm"] = entry.source.vm;
  line["zone"] = entry.source.zone;
  line["number"] = static_cast<unsigned>(what.id);
  line["event"] = ToString(what.id);
  line["revision"] = what.at.value;
  // Parts that do not apply are left out.
  if (!what.service.empty()) line["service"] = Shortened(what.service);
  if (what.version != 0) line["version"] = what.version;
  if (!what.route.empty()) line["route"] = Shortened(what.route);
  if (what.flow) line["flow"] = fmt::format("{:016x}", *what.flow);
  if (what.key) {
    const flow_key& key = *what.key;
    line["caller"] = ToString(endpoint{key.source, key.source_port});
    line["address"] = ToString(endpoint{key.destination, key.destination_port});
  }
  if (!what.request.empty()) line["request"] = Shortened(what.request);
  if (!what.submission.empty()) line["submission"] = Shortened(what.submission);
  if (!what.peer.empty()) line["peer"] = Shortened(what.peer);
  if (what.code != result_code::kOk) {
    line["code"] = static_cast<unsigned>(what.code);
    line["reason"] = ToString(what.code);
  }
  if (!what.detail.empty()) line["detail"] = Shortened(what.detail);
  for (const event_input& input : what.inputs) {
    std::visit([&](const auto& value) { line["inputs"][input.name] = value; },
               input.value);
  }
  return line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::optional<timeline_entry> ParseJsonLine(std::string_view line,
                                            failure* last_failure) {
  if (line.size() > kMaxTimelineLine)
    return Malformed("the line is too long", last_failure);
  const auto parsed = ParseJsonObject(line);
  if (!parsed) return Malformed("not a JSON object", last_failure);
  const nlohmann::json& json = *parsed;
  timeline_entry entry;
  entry.stamp.value = NumberAt(json, "stamp");
  entry.source = {TextAt(json, "process"), TextAt(json, "vm"),
                  TextAt(json, "zone")};
  const std::uint64_t number = NumberAt(json, "number");
  if (entry.stamp.value == 0 || entry.source.process.empty() || number == 0 ||
      number > UINT16_MAX) {
    return Malformed("stamp, process or number is missing", last_failure);
  }
  entry.what = EventAt(json);
  return entry;
}

}  // namespace tamaracklatch
