// Drawing of the page: a table with one column a process and one row an entry.
#include "tamaracklatch/timeline/timeline_html.h"

#include <fmt/format.h>

#include <algorithm>
#include <set>

namespace tamaracklatch {
namespace {

constexpr unsigned kEventsPerBlock = 100;  // numbers of one slice

constexpr const char* kHead = R"(<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>Time line</title>
<style>
body { font: 13px sans-serif; margin: 1em; }
table { border-collapse: collapse; }
th { position: sticky; top: 0; background: #fff; text-align: left; }
th, td { border-left: 1px solid #ccc; padding: 1px 6px; vertical-align: top; }
td.time { white-space: nowrap; color: #555; }
.e { border-left: 4px solid #888; padding-left: 4px; }
.b10 { border-color: #666; } .b11 { border-color: #a60; }
.b20 { border-color: #909; } .b21 { border-color: #06c; }
.b22 { border-color: #0a6; } .b23 { border-color: #c60; }
.b24 { border-color: #093; } .b25 { border-color: #c06; }
.refused { background: #fee; }
small { color: #555; }
</style></head><body>
)";

std::string Escaped(std::string_view text) {
  std::string result;
  for (const char c : text) {
    switch (c) {
      case '&':
        result += "&amp;";
        break;
      case '<':
        result += "&lt;";
        break;
      case '>':
        result += "&gt;";
        break;
      case '"':
        result += "&quot;";
        break;
      default:
        result += c;
    }
  }
  return result;
}

// The lanes, ordered by zone and then by process.
std::vector<timeline_source> Lanes(const std::vector<timeline_entry>& entries) {
  std::vector<timeline_source> lanes;
  std::set<std::string> known;
  for (const timeline_entry& entry : entries) {
    if (known.insert(entry.source.process).second)
      lanes.push_back(entry.source);
  }
  std::sort(lanes.begin(), lanes.end(),
            [](const timeline_source& left, const timeline_source& right) {
              return left.zone != right.zone ? left.zone < right.zone
                                             : left.process < right.process;
            });
  return lanes;
}

std::string Notes(const event& what) {
  std::string text = fmt::format("revision {}", what.at.value);
  const auto add = [&](const char* name, const std::string& value) {
    if (!value.empty()) text += fmt::format(", {} {}", name, value);
  };
  add("service", what.service);
  if (what.flow) add("flow", fmt::format("{:016x}", *what.flow));
  add("request", what.request);
  add("submission", what.submission);
  add("peer", what.peer);
  if (what.code != result_code::kOk) {
    add("code", fmt::format("{} ({})", ToString(what.code),
                            static_cast<unsigned>(what.code)));
  }
  if (!what.detail.empty()) text += ": " + what.detail;
  return text;
}

std::string Cell(const event& what) {
  const auto number = static_cast<unsigned>(what.id);
  return fmt::format("<div class=\"e b{}{}\">{} {}<br><small>{}</small></div>",
                     number / kEventsPerBlock,
                     what.code == result_code::kOk ? "" : " refused", number,
                     ToString(what.id), Escaped(Notes(what)));
}

std::string Row(const timeline_entry& entry,
                const std::vector<timeline_source>& lanes) {
  std::string row = fmt::format("<tr><td class=\"time\">{}</td>",
                                FormatWallTime(entry.stamp.Wall()));
  for (const timeline_source& lane : lanes) {
    const bool own = lane.process == entry.source.process;
    row += own ? "<td>" + Cell(entry.what) + "</td>" : "<td></td>";
  }
  return row + "</tr>\n";
}

}  // namespace

std::string TimelinePage(const std::vector<timeline_entry>& entries) {
  const std::size_t drawn = std::min(entries.size(), kMaxPageEntries);
  const std::vector<timeline_source> lanes = Lanes(entries);
  std::string page = kHead;
  page += fmt::format("<p>{} events of {} processes", drawn, lanes.size());
  if (drawn < entries.size())
    page += fmt::format("; {} later ones are left out", entries.size() - drawn);
  page += ".</p>\n<table><thead><tr><th>time (UTC)</th>";
  for (const timeline_source& lane : lanes) {
    page += fmt::format("<th>{}<br><small>{}, {}</small></th>",
                        Escaped(lane.process), Escaped(lane.zone),
                        Escaped(lane.vm));
  }
  page += "</tr></thead><tbody>\n";
  for (std::size_t i = 0; i < drawn; ++i) page += Row(entries[i], lanes);
  return page + "</tbody></table></body></html>\n";
}

}  // namespace tamaracklatch
