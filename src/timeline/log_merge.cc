// Reading of log lines, and their order.
#include "tamaracklatch/timeline/log_merge.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

#include "core/json_text.h"
#include "tamaracklatch/timeline/timeline_entry.h"
#include "timeline/json_fields.h"

namespace tamaracklatch {
namespace {

std::optional<log_entry> Malformed(const char* why, failure* last_failure) {
  SetFailure(last_failure, result_code::kTimelineLineMalformed, why);
  return std::nullopt;
}

// Reads one line; a longer one than `kMaxLogLine` is cut and its rest passed
// over.
bool ReadLine(std::istream& lines, std::string* line) {
  line->clear();
  std::streambuf* buffer = lines.rdbuf();
  int next = buffer->sbumpc();
  if (next == std::char_traits<char>::eof()) return false;
  while (next != std::char_traits<char>::eof() && next != '\n') {
    if (line->size() <= kMaxLogLine) line->push_back(static_cast<char>(next));
    next = buffer->sbumpc();
  }
  return true;
}

bool IsBetween(event_id id, event_id first, event_id last) {
  return id >= first && id <= last;
}

bool IsOfFlow(event_id id) {
  return IsBetween(id, event_id::kFlowOpened, event_id::kFlowForgotten);
}

// Whether an event may explain what became of a flow or a document set.
bool IsOfInterest(event_id id) {
  return IsOfFlow(id) ||
         IsBetween(id, event_id::kProcessStarted, event_id::kProcessResumed) ||
         IsBetween(id, event_id::kLeaderElected, event_id::kVotingStopped) ||
         IsBetween(id, event_id::kSetAccepted, event_id::kZoneOrderRefused) ||
         id == event_id::kRulesApplied ||
         IsBetween(id, event_id::kNodeJoined, event_id::kViewConfirmed);
}

// What follows a word in the detail, up to a space or comma.
std::string_view WordAfter(std::string_view detail, std::string_view word) {
  const std::size_t at = detail.find(word);
  if (at == std::string_view::npos) return {};
  const std::string_view rest = detail.substr(at + word.size());
  return rest.substr(0, rest.find_first_of(" ,"));
}

void FillFromDetail(event* what) {
  if (!what->key) {
    const auto caller =
        ParseEndpoint(WordAfter(what->detail, "caller "), nullptr);
    const auto address =
        ParseEndpoint(WordAfter(what->detail, "address "), nullptr);
    if (caller) what->key = MakeKey(*caller, address.value_or(endpoint{}));
  }
  if (what->version == 0) {
    std::string_view digits = WordAfter(what->detail, "version ");
    if (digits.empty()) digits = WordAfter(what->detail, "set ");
    std::from_chars(digits.data(), digits.data() + digits.size(),
                    what->version);
  }
}

}  // namespace

std::optional<log_entry> ParseLogLine(std::string_view line,
                                      failure* last_failure) {
  if (line.size() > kMaxLogLine)
    return Malformed("the line is too long", last_failure);
  const std::size_t begin = line.find('{');
  if (begin == std::string_view::npos)
    return Malformed("not a JSON object", last_failure);
  const auto parsed = ParseJsonObject(line.substr(begin));
  if (!parsed) return Malformed("not a JSON object", last_failure);
  const nlohmann::json& json = *parsed;
  const auto wall = ParseWallTime(TextAt(json, "time"), nullptr);
  const std::uint64_t number = NumberAt(json, "number");
  log_entry entry;
  entry.process = TextAt(json, "process");
  if (!wall || entry.process.empty() || number == 0 || number > UINT16_MAX)
    return Malformed("time, process or number is missing", last_failure);
  entry.wall = *wall;
  entry.zone = TextAt(json, "zone");
  entry.node = TextAt(json, "node");
  entry.what = EventAt(json);
  FillFromDetail(&entry.what);
  return entry;
}

bool flow_selector::MayBe(const event& what) const {
  if (!caller && !flow) return false;
  if (caller && what.key) {
    return caller->address == what.key->source &&
           caller->port == what.key->source_port;
  }
  if (flow) return what.flow == flow;
  return what.flow.has_value();
}

log_merge::log_merge(flow_selector wanted) : wanted_(wanted) {}

void log_merge::Read(std::istream& lines) {
  std::string line;
  while (ReadLine(lines, &line)) {
    if (line.empty()) continue;
    auto entry = ParseLogLine(line, nullptr);
    if (entry) {
      Take(std::move(*entry));
    } else {
      ++malformed_;
    }
  }
}

void log_merge::Take(log_entry entry) {
  log_span& span =
      processes_
          .try_emplace(entry.process,
                       log_span{"", entry.zone, entry.wall, entry.wall})
          .first->second;
  if (!entry.node.empty()) span.node = entry.node;
  span.first = std::min(span.first, entry.wall);
  span.last = std::max(span.last, entry.wall);
  const event& what = entry.what;
  if (!IsOfInterest(what.id)) return;
  // A line without a flow may tell of all flows of its process.
  if (IsOfFlow(what.id) && what.flow && !wanted_.MayBe(what)) return;
  entries_.push_back(std::move(entry));
}

std::vector<log_entry> log_merge::Finish() {
  std::stable_sort(entries_.begin(), entries_.end(),
                   [](const log_entry& left, const log_entry& right) {
                     return left.wall < right.wall;
                   });
  return std::move(entries_);
}

std::string log_merge::ProcessOf(const std::string& peer) const {
  for (const auto& [process, span] : processes_) {
    if (process == peer || (!peer.empty() && span.node == peer)) return process;
  }
  return "";
}

}  // namespace tamaracklatch
