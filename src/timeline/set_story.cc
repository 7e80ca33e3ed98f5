// The story of one document set: who accepted it, where it came into force, and
// where nothing says so.
#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <set>

#include "tamaracklatch/timeline/explain.h"
#include "timeline/story_text.h"

namespace tamaracklatch {
namespace {

constexpr duration kAround = std::chrono::seconds(2);

bool IsOfSets(event_id id) {
  return (id >= event_id::kSetAccepted && id <= event_id::kSetApplied) ||
         id == event_id::kViewConfirmed;
}

// Events that may keep a set from spreading.
bool MayDelay(event_id id) {
  switch (id) {
    case event_id::kProcessStarted:
    case event_id::kProcessStopping:
    case event_id::kProcessStopped:
    case event_id::kProcessResumed:
    case event_id::kLeaderElected:
    case event_id::kLeaderSteppedDown:
    case event_id::kVotingStopped:
    case event_id::kHubLost:
    case event_id::kHubRegained:
    case event_id::kReadinessChanged:
      return true;
    default:
      return false;
  }
}

class set_story {
 public:
  set_story(const std::vector<log_entry>& entries, std::uint64_t version,
            const log_merge& logs)
      : entries_(entries), version_(version), logs_(logs) {
    std::set<std::string> heard;  // processes, since their log begins
    std::set<std::string> later;  // that were new after the story began
    for (const log_entry& entry : entries) {
      const event& what = entry.what;
      const bool is_new = heard.insert(entry.process).second &&
                          what.id == event_id::kProcessStarted;
      if (is_new && !own_.empty()) later.insert(entry.process);
      if (!IsOfSets(what.id) || later.count(entry.process) > 0) continue;
      if (what.id == event_id::kSetApplied) {
        applies_.insert(entry.process);
        if (what.version >= version) applied_.emplace(entry.process, &entry);
      }
      if (what.version == version) own_.push_back(&entry);
      if (what.version == version && what.id == event_id::kSetAccepted &&
          accepted_ == nullptr) {
        accepted_ = &entry;
      }
    }
    // A later one that was applied instead belongs to the story.
    for (const auto& [process, entry] : applied_) {
      if (entry->what.version > version) own_.push_back(entry);
    }
    std::stable_sort(own_.begin(), own_.end(),
                     [](const log_entry* left, const log_entry* right) {
                       return left < right;
                     });
  }

  std::string Tell() const {
    if (own_.empty()) return "";
    std::string text =
        fmt::format("document set {}, from {}\n", version_, TellTime(start()));
    for (const log_entry& entry : entries_) {
      if (std::find(own_.begin(), own_.end(), &entry) != own_.end()) {
        text += TellEntry(entry, start(), ' ') + "\n";
      } else if (MayDelay(entry.what.id) && entry.wall >= start() - kAround &&
                 entry.wall <= end() + kAround) {
        text += TellEntry(entry, start(), '|') + "\n";
      }
    }
    text += TellPart("missing:", Missing());
    text += TellPart("so:", Conclusions());
    return text;
  }

 private:
  wall_time start() const { return own_.front()->wall; }
  // What comes after the last process applied it has no part in its way.
  wall_time end() const {
    const log_entry* last = LastApplied();
    return last == nullptr ? own_.back()->wall : last->wall;
  }

  const log_entry* LastApplied() const {
    const log_entry* last = nullptr;
    for (const auto& [process, entry] : applied_) {
      if (last == nullptr || entry->wall > last->wall) last = entry;
    }
    return last;
  }

  std::vector<std::string> Missing() const {
    std::vector<std::string> missing;
    if (accepted_ == nullptr)
      missing.emplace_back("no line of a control VM that it was accepted");
    for (const auto& [process, span] : logs_.processes()) {
      // Of a process that never applied any, none is expected.
      if (applied_.count(process) > 0 || applies_.count(process) == 0) continue;
      std::string why;
      if (span.last < start()) {
        why = fmt::format("its log ends before, at {}", TellTime(span.last));
      } else {
        why = TellLeftOut(entries_, process, start(), end());
        if (!why.empty()) why = "it left out lines: " + why;
      }
      missing.push_back(fmt::format(
          "no line of {} that it applied version {} or a later one{}{}",
          process, version_, why.empty() ? "" : ": ", why));
    }
    return missing;
  }

  std::vector<std::string> Conclusions() const {
    std::vector<std::string> lines;
    const log_entry* last = LastApplied();
    if (last == nullptr) {
      lines.emplace_back("no process says that it is in force");
      return lines;
    }
    std::string text =
        fmt::format("in force at {} of {} processes that apply sets",
                    applied_.size(), applies_.size());
    if (accepted_ != nullptr) {
      text +=
          fmt::format(", last at {}, {} after it was accepted", last->process,
                      TellSince(last->wall, accepted_->wall));
    }
    lines.push_back(text);
    return lines;
  }

  const std::vector<log_entry>& entries_;
  const std::uint64_t version_;
  const log_merge& logs_;
  std::vector<const log_entry*> own_;  // in order
  const log_entry* accepted_ = nullptr;
  // Of each process, its first line of this version or a later one.
  std::map<std::string, const log_entry*> applied_;
  std::set<std::string> applies_;  // processes that apply sets at all
};

}  // namespace

std::string TellSet(const std::vector<log_entry>& entries,
                    std::uint64_t version, const log_merge& logs) {
  return set_story(entries, version, logs).Tell();
}

}  // namespace tamaracklatch
