// Reading of the filters and files, and the output.
#include "tamaracklatch/timeline/timeline_command.h"

#include <fmt/format.h>

#include <charconv>
#include <fstream>
#include <optional>

#include "tamaracklatch/timeline/timeline_html.h"
#include "tamaracklatch/timeline/timeline_merge.h"
#include "timeline/input_files.h"

namespace tamaracklatch {
namespace {

constexpr int kDone = 0;
constexpr int kFailed = 1;
constexpr int kWrongUse = 2;
constexpr int kHexBase = 16;

std::optional<std::uint64_t> ParseFlow(const std::string& text,
                                       failure* last_failure) {
  std::uint64_t flow = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, flow, kHexBase);
  if (error == std::errc() && stop == end) return flow;
  SetFailure(last_failure, result_code::kTimelineBadFilter,
             fmt::format("flow: \"{}\" is not a hexadecimal number", text));
  return std::nullopt;
}

std::optional<timeline_filter> ReadFilter(const timeline_command& command,
                                          failure* last_failure) {
  timeline_filter filter;
  filter.service = command.service;
  filter.request = command.request;
  filter.submission = command.submission;
  if (!command.submission.empty() &&
      command.submission.find('@') == std::string::npos) {
    SetFailure(last_failure, result_code::kTimelineBadFilter,
               fmt::format("submission: \"{}\" is not SERVICE@VERSION",
                           command.submission));
    return std::nullopt;
  }
  if (!command.flow.empty()) {
    filter.flow = ParseFlow(command.flow, last_failure);
    if (!filter.flow) return std::nullopt;
  }
  if (!command.since.empty()) {
    filter.since = ParseWallTime(command.since, last_failure);
    if (!filter.since) return std::nullopt;
  }
  return filter;
}

bool WritePage(const std::string& path,
               const std::vector<timeline_entry>& entries,
               std::ostream& errors) {
  std::ofstream file(path);
  file << TimelinePage(entries);
  file.flush();
  if (file.good()) return true;
  errors << fmt::format("\"{}\" can't be written\n", path);
  return false;
}

}  // namespace

int RunTimeline(const timeline_command& command, std::ostream& out,
                std::ostream& errors) {
  failure why;
  if (command.files.empty()) {
    SetFailure(&why, result_code::kUsage, "timeline needs at least one FILE");
    errors << ToString(why) << '\n';
    return kWrongUse;
  }
  const auto filter = ReadFilter(command, &why);
  if (!filter) {
    errors << ToString(why) << '\n';
    return kWrongUse;
  }
  timeline_merge merge(*filter);
  const auto read = [&](std::istream& file) { merge.Read(file); };
  if (!ReadInputFiles(command.files, read, errors)) return kFailed;
  const std::vector<timeline_entry> entries = merge.Finish();
  SayMalformed(merge.malformed(), errors);
  if (!command.html.empty())
    return WritePage(command.html, entries, errors) ? kDone : kFailed;
  for (const timeline_entry& entry : entries) out << FormatEntry(entry) << '\n';
  return kDone;
}

}  // namespace tamaracklatch
