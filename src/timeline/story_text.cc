// Wording of events.
#include "timeline/story_text.h"

#include <fmt/format.h>

#include <array>
#include <map>
#include <variant>

#include "tamaracklatch/timeline/timeline_entry.h"

namespace tamaracklatch {
namespace {

constexpr duration kNoticeLate = std::chrono::seconds(3);

struct wording {
  event_id id;
  const char* text;  // {} stands for the peer
};

constexpr std::array<wording, 8> kWordings{{
    {event_id::kOpeningPlaced, "placed the opening at {}"},
    {event_id::kOpeningPassed, "passed the opening on to {}"},
    {event_id::kFlowClaimed, "the caller took this target's answer"},
    {event_id::kClaimDropped, "the opening taken here came to nothing"},
    {event_id::kSearchStarted, "does not know the flow; asked {}"},
    {event_id::kSearchFailed, "no target asked holds the flow"},
    {event_id::kSegmentReset, "sent the caller a reset"},
    {event_id::kFlowForgotten, "dropped the flow's record"},
}};

std::string Word(const event& what) {
  for (const wording& each : kWordings) {
    if (each.id == what.id) return fmt::format(each.text, what.peer);
  }
  std::string text(ToString(what.id));
  if (!what.peer.empty()) text += " " + what.peer;
  return text;
}

std::string TellValue(const event_input& input) {
  return std::visit([](const auto& value) { return fmt::format("{}", value); },
                    input.value);
}

}  // namespace

std::string TellCode(result_code code) {
  return fmt::format("{} ({})", ToString(code), static_cast<unsigned>(code));
}

std::string TellTime(wall_time when) {
  constexpr std::size_t kDate = 11;   // "2026-12-04T"
  constexpr std::size_t kClock = 12;  // "09:41:00.123"
  return FormatWallTime(when).substr(kDate, kClock);
}

std::string TellSince(wall_time when, wall_time start) {
  return fmt::format("{:+} ms", (when - start) / std::chrono::milliseconds(1));
}

std::string TellEntry(const log_entry& entry, wall_time start, char mark) {
  const event& what = entry.what;
  std::string text =
      fmt::format("{} {} {:>10}  {} ({}): {} {}", mark, TellTime(entry.wall),
                  TellSince(entry.wall, start), entry.process, entry.zone,
                  static_cast<unsigned>(what.id), Word(what));
  if (what.code != result_code::kOk) text += ": " + TellCode(what.code);
  if (!what.service.empty()) text += " service=" + what.service;
  if (!what.route.empty()) text += " route=" + what.route;
  if (what.version != 0) text += fmt::format(" version={}", what.version);
  for (const event_input& input : what.inputs)
    text += fmt::format(" {}={}", input.name, TellValue(input));
  if (!what.detail.empty()) text += fmt::format(" \"{}\"", what.detail);
  return text;
}

std::string TellLeftOut(const std::vector<log_entry>& entries,
                        const std::string& process, wall_time first,
                        wall_time last) {
  std::string text;
  for (const log_entry& entry : entries) {
    if (entry.process != process || entry.wall < first ||
        entry.wall > last + kNoticeLate ||
        entry.what.id != event_id::kLogLinesDropped) {
      continue;
    }
    text += (text.empty() ? "" : ", ") + entry.what.detail;
  }
  return text;
}

std::string TellPart(const std::string& heading,
                     const std::vector<std::string>& lines) {
  if (lines.empty()) return "";
  std::string text = heading + "\n";
  for (const std::string& line : lines) text += "  " + line + "\n";
  return text;
}

}  // namespace tamaracklatch
