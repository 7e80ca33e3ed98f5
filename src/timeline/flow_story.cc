// The story of one flow: its lines, what happened around it, what is missing
// and what follows.
#include <fmt/format.h>

#include <algorithm>
#include <set>

#include "tamaracklatch/timeline/explain.h"
#include "timeline/story_text.h"

namespace tamaracklatch {
namespace {

constexpr duration kAround = std::chrono::seconds(2);
// A change of the set just before the placement may explain it.
constexpr duration kSetBefore = std::chrono::seconds(30);
// Processes that start within this of each other were hit by one fault.
constexpr duration kTogether = std::chrono::seconds(1);

bool IsFlowEvent(const event& what) {
  return what.id >= event_id::kFlowOpened &&
         what.id <= event_id::kFlowForgotten;
}

// Whether the peer of the event got the segment from its process.
bool HandsOn(event_id id) {
  return id == event_id::kOpeningPlaced || id == event_id::kOpeningPassed ||
         id == event_id::kSearchStarted;
}

// Events of a process that bear on every flow that it holds.
bool IsOfProcess(const event& what) {
  switch (what.id) {
    case event_id::kProcessStarted:
    case event_id::kProcessStopping:
    case event_id::kProcessStopped:
    case event_id::kProcessResumed:
    case event_id::kSetApplied:
    case event_id::kReadinessChanged:
    case event_id::kTargetChanged:
      return true;
    default:
      return IsFlowEvent(what) && !what.flow;
  }
}

bool IsOfPeer(event_id id) {
  return id == event_id::kNodeSilent || id == event_id::kNodeGone;
}

class flow_story {
 public:
  flow_story(const std::vector<log_entry>& entries, std::uint64_t flow,
             const log_merge& logs)
      : entries_(entries), flow_(flow), logs_(logs) {
    for (const log_entry& entry : entries) {
      if (entry.what.flow == flow) own_.push_back(&entry);
    }
    for (const log_entry* entry : own_) {
      processes_.insert(entry->process);
      if (!HandsOn(entry->what.id)) continue;
      peers_.insert(entry->what.peer);
      const std::string process = logs.ProcessOf(entry->what.peer);
      if (!process.empty()) processes_.insert(process);
    }
  }

  std::string Tell() const {
    std::string text = Heading() + "\n";
    for (const log_entry& entry : entries_) {
      if (entry.what.flow == flow_) {
        text += TellEntry(entry, start(), ' ') + "\n";
      } else if (IsAround(entry)) {
        text += TellEntry(entry, start(), '|') + "\n";
      }
    }
    text += TellPart("missing:", Missing());
    text += TellPart("so:", Conclusions());
    return text;
  }

 private:
  wall_time start() const { return own_.front()->wall; }
  wall_time end() const { return own_.back()->wall; }

  std::string Heading() const {
    std::string text = fmt::format("flow {:016x}", flow_);
    for (const log_entry* entry : own_) {
      if (!entry->what.key) continue;
      const flow_key& key = *entry->what.key;
      text += " of " + ToString(endpoint{key.source, key.source_port});
      if (key.destination_port != 0) {
        text +=
            " to " + ToString(endpoint{key.destination, key.destination_port});
      }
      break;
    }
    return text + ", from " + TellTime(start());
  }

  bool IsAround(const log_entry& entry) const {
    if (entry.wall < start() - kAround || entry.wall > end() + kAround)
      return false;
    if (processes_.count(entry.process) == 0) return false;
    if (IsOfPeer(entry.what.id)) return peers_.count(entry.what.peer) > 0;
    return IsOfProcess(entry.what);
  }

  bool Says(const std::string& process, event_id id) const {
    return std::any_of(own_.begin(), own_.end(), [&](const log_entry* entry) {
      return entry->process == process && entry->what.id == id;
    });
  }

  const log_entry* First(event_id id) const {
    for (const log_entry* entry : own_) {
      if (entry->what.id == id) return entry;
    }
    return nullptr;
  }

  // Why nothing is there of a process that should have written a line.
  std::string WhyMissing(const std::string& process) const {
    const log_span& span = logs_.processes().at(process);
    if (span.first > end()) {
      return fmt::format("its log begins later, at {}", TellTime(span.first));
    }
    if (span.last < start()) {
      return fmt::format("its log ends before, at {}", TellTime(span.last));
    }
    const std::string dropped = TellLeftOut(entries_, process, start(), end());
    if (!dropped.empty()) return "it left out lines: " + dropped;
    return "nothing arrived there, or its target has yet to answer";
  }

  std::vector<std::string> Missing() const {
    std::vector<std::string> missing;
    std::set<std::string> said;
    for (const log_entry* entry : own_) {
      const event& what = entry->what;
      if (!HandsOn(what.id) || !said.insert(what.peer).second) continue;
      const char* duty =
          what.id == event_id::kOpeningPlaced   ? "the opening was placed at"
          : what.id == event_id::kOpeningPassed ? "the opening was passed on to"
                                                : "was asked for the flow";
      const std::string process = logs_.ProcessOf(what.peer);
      if (process.empty()) {
        missing.push_back(fmt::format("no log of the target daemon {} that {}",
                                      what.peer, duty));
      } else if (!HasLine(process)) {
        missing.push_back(
            fmt::format("no line of the target daemon {} that {}: {}",
                        what.peer, duty, WhyMissing(process)));
      }
    }
    if (First(event_id::kOpeningPlaced) == nullptr) {
      missing.push_back("no line of a balancer that placed the opening");
      for (const auto& [process, span] : logs_.processes()) {
        const std::string dropped =
            TellLeftOut(entries_, process, start() - kAround, end());
        if (dropped.find("opening_placed") != std::string::npos) {
          missing.push_back(
              fmt::format("{} left out lines: {}", process, dropped));
        }
      }
    }
    return missing;
  }

  bool HasLine(const std::string& process) const {
    return std::any_of(own_.begin(), own_.end(), [&](const log_entry* entry) {
      return entry->process == process;
    });
  }

  std::vector<std::string> Conclusions() const {
    std::vector<std::string> lines;
    std::set<std::string> claimed;
    for (const log_entry* entry : own_) {
      if (entry->what.id == event_id::kFlowClaimed)
        claimed.insert(entry->process);
    }
    const log_entry* reset = First(event_id::kSegmentReset);
    if (claimed.size() > 1) {
      lines.push_back(fmt::format("{} targets say that the flow is theirs",
                                  claimed.size()));
    }
    if (!claimed.empty())
      lines.push_back(fmt::format("the flow was open at {}", *claimed.begin()));
    if (reset != nullptr) {
      lines.push_back(
          fmt::format("{} reset {}: {}", reset->process,
                      claimed.empty() ? "the opening" : "the open flow",
                      TellCode(reset->what.code)));
    }
    AddRefusals(&lines);
    AddLosses(claimed, &lines);
    AddVersion(&lines);
    AddLostSearches(&lines);
    if (claimed.empty() && reset == nullptr)
      lines.emplace_back("no line says how the opening ended");
    return lines;
  }

  // Searches that began and never ended: the segment came to somebody who does
  // not write. A flow that is found is hinted, and not searched that often.
  void AddLostSearches(std::vector<std::string>* lines) const {
    constexpr std::size_t kOften = 3;
    std::vector<const log_entry*> begun;
    for (const log_entry* entry : own_) {
      const event_id id = entry->what.id;
      if (id == event_id::kSearchStarted) begun.push_back(entry);
      if (id == event_id::kSearchFailed || id == event_id::kSegmentReset ||
          id == event_id::kFlowClaimed)
        begun.clear();
    }
    if (begun.size() < kOften) return;
    std::set<std::string> silent;
    for (const log_entry& entry : entries_) {
      if (entry.what.id == event_id::kNodeSilent &&
          entry.wall >= begun.front()->wall - kAround && entry.wall <= end())
        silent.insert(entry.what.peer);
    }
    std::string text = fmt::format(
        "{} searches since {} have no end; not heard of at that time:",
        begun.size(), TellTime(begun.front()->wall));
    for (const std::string& peer : silent) text += " " + peer;
    lines->push_back(text + (silent.empty() ? " nobody" : ""));
  }

  // The targets that would not take the opening.
  void AddRefusals(std::vector<std::string>* lines) const {
    for (const log_entry* entry : own_) {
      if (entry->what.id == event_id::kOpeningPassed ||
          entry->what.id == event_id::kClaimDropped) {
        lines->push_back(fmt::format("{} did not take it: {}", entry->process,
                                     TellCode(entry->what.code)));
      }
    }
  }

  // What became of the process that held the flow.
  void AddLosses(const std::set<std::string>& claimed,
                 std::vector<std::string>* lines) const {
    for (const log_entry& entry : entries_) {
      const event& what = entry.what;
      const std::string process =
          IsOfPeer(what.id) ? logs_.ProcessOf(what.peer) : entry.process;
      if (claimed.count(process) == 0 || !IsAround(entry)) continue;
      const bool is_loss = IsOfPeer(what.id) ||
                           what.id == event_id::kProcessStopped ||
                           what.id == event_id::kProcessStarted ||
                           (IsFlowEvent(what) && !what.flow);
      if (!is_loss || entry.wall < start()) continue;
      if (what.id == event_id::kProcessStarted) {
        lines->push_back(TellStart(entry));
        continue;
      }
      lines->push_back(fmt::format("{} by {} at {}: {}", ToString(what.id),
                                   entry.process, TellTime(entry.wall),
                                   what.detail));
    }
  }

  // Whether the process had stopped before it started again, and whether it was
  // alone in that.
  std::string TellStart(const log_entry& started) const {
    bool has_stopped = false;
    std::set<std::string> others;
    for (const log_entry& entry : entries_) {
      const bool is_own = entry.process == started.process;
      if (is_own && entry.wall < started.wall) {
        if (entry.what.id == event_id::kProcessStarted) has_stopped = false;
        if (entry.what.id == event_id::kProcessStopped) has_stopped = true;
      }
      const duration apart = entry.wall > started.wall
                                 ? entry.wall - started.wall
                                 : started.wall - entry.wall;
      if (!is_own && entry.what.id == event_id::kProcessStarted &&
          apart <= kTogether)
        others.insert(entry.process);
    }
    return fmt::format(
        "{} started again at {}, {}; {} other processes started within {} ms",
        started.process, TellTime(started.wall),
        has_stopped ? "after a stop"
                    : "without having stopped: killed, or its VM lost power",
        others.size(), kTogether / std::chrono::milliseconds(1));
  }

  // Whether the opening was placed by a version that others had replaced.
  void AddVersion(std::vector<std::string>* lines) const {
    const log_entry* placed = First(event_id::kOpeningPlaced);
    if (placed == nullptr || placed->what.version == 0) return;
    const std::uint64_t version = placed->what.version;
    lines->push_back(
        fmt::format("{} placed it by version {}", placed->process, version));
    for (const log_entry& entry : entries_) {
      const event& what = entry.what;
      if (what.version <= version) continue;
      if (what.id == event_id::kSetAccepted && entry.wall <= placed->wall &&
          placed->wall - entry.wall <= kSetBefore) {
        lines->push_back(fmt::format(
            "version {} had been accepted by {} {} before", what.version,
            entry.process, TellSince(placed->wall, entry.wall)));
      }
      if (what.id == event_id::kSetApplied &&
          entry.process == placed->process && entry.wall >= placed->wall) {
        lines->push_back(fmt::format("{} applied version {} {} after",
                                     entry.process, what.version,
                                     TellSince(entry.wall, placed->wall)));
        return;
      }
    }
  }

  const std::vector<log_entry>& entries_;
  const std::uint64_t flow_;
  const log_merge& logs_;
  std::vector<const log_entry*> own_;
  std::set<std::string> processes_;  // that saw it or should have
  std::set<std::string> peers_;      // that it was handed on to
};

}  // namespace

std::string TellFlow(const std::vector<log_entry>& entries,
                     const flow_selector& wanted, const log_merge& logs) {
  std::vector<std::uint64_t> flows;  // in order of their first line
  for (const log_entry& entry : entries) {
    const event& what = entry.what;
    if (!IsFlowEvent(what) || !what.flow) continue;
    const bool is_named =
        wanted.flow ? what.flow == wanted.flow : what.key && wanted.MayBe(what);
    if (is_named &&
        std::find(flows.begin(), flows.end(), *what.flow) == flows.end()) {
      flows.push_back(*what.flow);
    }
  }
  std::string text;
  for (const std::uint64_t flow : flows)
    text += flow_story(entries, flow, logs).Tell();
  return text;
}

}  // namespace tamaracklatch
