// Merging by stamp. A hybrid logical clock's stamps rise along every chain of
// causes, so that their order is a causal one.
#include "tamaracklatch/timeline/timeline_merge.h"

#include <fmt/format.h>

#include <algorithm>
#include <set>

namespace tamaracklatch {
namespace {

// Events that tell how a revision spread; they name no submission.
bool TellsSpread(const event& what) {
  return what.id == event_id::kRevisionApplied ||
         what.id == event_id::kInForceEverywhere;
}

// Events of a target's membership; their peer is its VM.
bool TellsMembership(const event& what) {
  return what.id == event_id::kTargetJoined ||
         what.id == event_id::kTargetDraining ||
         what.id == event_id::kTargetLeft;
}

// Keeps the entries of a flow and, from its first on, those of the membership
// of the targets that it was at.
std::vector<timeline_entry> KeepFlow(const std::vector<timeline_entry>& entries,
                                     std::uint64_t flow) {
  std::vector<timeline_entry> kept;
  std::set<vm_name> vms;
  for (const timeline_entry& entry : entries) {
    const event& what = entry.what;
    const bool is_own = what.flow == flow;
    if (is_own) vms.insert(entry.source.vm);
    const bool concerns =
        TellsMembership(what) && vms.find(what.peer) != vms.end();
    if (is_own || concerns) kept.push_back(entry);
  }
  return kept;
}

// Keeps the entries of a submission and, of each process, the first one of each
// kind that tells of its revision or a later one.
std::vector<timeline_entry> KeepSubmission(
    const std::vector<timeline_entry>& entries, const std::string& submission) {
  std::vector<timeline_entry> kept;
  std::optional<revision> accepted;
  std::set<std::pair<std::string, event_id>> seen;
  for (const timeline_entry& entry : entries) {
    const event& what = entry.what;
    if (what.submission == submission) {
      kept.push_back(entry);
      if (what.id == event_id::kSubmissionAccepted && !accepted)
        accepted = what.at;
      continue;
    }
    if (!accepted || !TellsSpread(what) || what.at < *accepted) continue;
    if (seen.emplace(entry.source.process, what.id).second)
      kept.push_back(entry);
  }
  return kept;
}

bool ComesBefore(const timeline_entry& left, const timeline_entry& right) {
  if (left.stamp != right.stamp) return left.stamp < right.stamp;
  return left.source.process < right.source.process;
}

// Reads one line of at most `kMaxTimelineLine` bytes; a longer one is cut and
// its rest passed over, so that no line grows the memory.
bool ReadLine(std::istream& lines, std::string* line) {
  line->clear();
  std::streambuf* buffer = lines.rdbuf();
  int next = buffer->sbumpc();
  if (next == std::char_traits<char>::eof()) return false;
  while (next != std::char_traits<char>::eof() && next != '\n') {
    if (line->size() <= kMaxTimelineLine)
      line->push_back(static_cast<char>(next));
    next = buffer->sbumpc();
  }
  return true;
}

}  // namespace

timeline_merge::timeline_merge(timeline_filter filter)
    : filter_(std::move(filter)) {}

bool timeline_merge::Wanted(const timeline_entry& entry) const {
  const event& what = entry.what;
  if (filter_.since && entry.stamp.Wall() < *filter_.since) return false;
  if (!filter_.service.empty() && what.service != filter_.service) return false;
  if (filter_.flow && what.flow != filter_.flow && !TellsMembership(what))
    return false;
  if (!filter_.request.empty() && what.request != filter_.request) return false;
  if (!filter_.submission.empty())
    return what.submission == filter_.submission || TellsSpread(what);
  return true;
}

void timeline_merge::Read(std::istream& lines) {
  std::string line;
  while (ReadLine(lines, &line)) {
    if (line.empty()) continue;
    auto entry = ParseJsonLine(line, nullptr);
    if (!entry) {
      ++malformed_;
    } else if (Wanted(*entry)) {
      entries_.push_back(std::move(*entry));
    }
  }
}

std::vector<timeline_entry> timeline_merge::Finish() {
  std::stable_sort(entries_.begin(), entries_.end(), &ComesBefore);
  if (filter_.flow) entries_ = KeepFlow(entries_, *filter_.flow);
  if (!filter_.submission.empty())
    entries_ = KeepSubmission(entries_, filter_.submission);
  return std::move(entries_);
}

std::string FormatEntry(const timeline_entry& entry) {
  const event& what = entry.what;
  std::string text = fmt::format(
      "{} {:<16} {:<8} {} {} revision={}", FormatWallTime(entry.stamp.Wall()),
      entry.source.process, entry.source.zone, static_cast<unsigned>(what.id),
      ToString(what.id), what.at.value);
  const auto add = [&](const char* name, const std::string& value) {
    if (!value.empty()) text += fmt::format(" {}={}", name, value);
  };
  add("service", what.service);
  if (what.flow) add("flow", fmt::format("{:016x}", *what.flow));
  add("request", what.request);
  add("submission", what.submission);
  add("peer", what.peer);
  if (what.code != result_code::kOk) {
    add("code", fmt::format("{}({})", ToString(what.code),
                            static_cast<unsigned>(what.code)));
  }
  if (!what.detail.empty()) text += fmt::format(" \"{}\"", what.detail);
  return text;
}

}  // namespace tamaracklatch
