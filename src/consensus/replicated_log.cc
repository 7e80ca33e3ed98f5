// The in-memory log of one member.
#include "tamaracklatch/consensus/replicated_log.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace tamaracklatch {
namespace {

constexpr std::size_t kEntryOverheadBytes = 32;  // index, term, kind, framing

}  // namespace

std::size_t EntryBytes(const log_entry& entry) {
  return entry.payload.size() + kEntryOverheadBytes;
}

replicated_log::replicated_log() { configurations_.push_back({}); }

void replicated_log::Reset(revision base, log_term term,
                           voter_configuration configuration) {
  base_ = base;
  base_term_ = term;
  entries_.clear();
  bytes_ = 0;
  configurations_.clear();
  configurations_.push_back({base, std::move(configuration)});
}

void replicated_log::Append(log_entry entry) {
  assert(entry.index.value == last_index().value + 1);
  assert(entry.term >= last_term());
  if (entry.kind == entry_kind::kConfiguration) {
    auto configuration = DecodeConfiguration(entry.payload);
    assert(configuration);
    configurations_.push_back({entry.index, std::move(*configuration)});
  }
  bytes_ += EntryBytes(entry);
  entries_.push_back(std::move(entry));
}

void replicated_log::TruncateFrom(revision index) {
  assert(index > base_);
  while (last_index() >= index) {
    bytes_ -= EntryBytes(entries_.back());
    entries_.pop_back();
  }
  while (configurations_.size() > 1 && configurations_.back().index >= index) {
    configurations_.pop_back();
  }
}

void replicated_log::CompactThrough(revision index) {
  assert(index <= last_index());
  while (base_ < index) {
    base_ = entries_.front().index;
    base_term_ = entries_.front().term;
    bytes_ -= EntryBytes(entries_.front());
    entries_.pop_front();
  }
  while (configurations_.size() > 1 && configurations_[1].index <= base_) {
    configurations_.erase(configurations_.begin());
  }
}

log_term replicated_log::last_term() const {
  return entries_.empty() ? base_term_ : entries_.back().term;
}

std::optional<log_term> replicated_log::TermAt(revision index) const {
  if (index < base_ || index > last_index()) return std::nullopt;
  return index == base_ ? base_term_ : At(index).term;
}

const log_entry& replicated_log::At(revision index) const {
  assert(index > base_ && index <= last_index());
  return entries_[index.value - base_.value - 1];
}

std::vector<log_entry> replicated_log::Slice(revision first, std::size_t count,
                                             std::size_t max_bytes) const {
  std::vector<log_entry> result;
  std::size_t taken = 0;
  for (std::uint64_t i = first.value; i <= last_index().value; ++i) {
    const log_entry& entry = At({i});
    const std::size_t bytes = EntryBytes(entry);
    const bool full = result.size() >= count || taken + bytes > max_bytes;
    if (full && !result.empty()) break;
    taken += bytes;
    result.push_back(entry);
  }
  return result;
}

revision replicated_log::IndexBeforeTail(revision index, std::size_t count,
                                         std::size_t max_bytes) const {
  std::size_t kept = 0;
  revision before = index;
  while (before > base_ && index.value - before.value < count) {
    kept += EntryBytes(At(before));
    if (kept > max_bytes) break;
    --before.value;
  }
  return before;
}

revision replicated_log::FirstIndexOfTerm(revision index) const {
  const log_term term = At(index).term;
  const auto first = std::partition_point(
      entries_.begin(), entries_.end(),
      [&](const log_entry& entry) { return entry.term < term; });
  return first->index;
}

const voter_configuration& replicated_log::configuration() const {
  return configurations_.back().configuration;
}

revision replicated_log::configuration_index() const {
  return configurations_.back().index;
}

bool replicated_log::IsVoterAtOrAfter(revision index,
                                      const member_id& id) const {
  const bool newer = std::any_of(configurations_.begin(), configurations_.end(),
                                 [&](const indexed_configuration& indexed) {
                                   return indexed.index > index &&
                                          indexed.configuration.IsVoter(id);
                                 });
  return newer || ConfigurationAt(index).IsVoter(id);
}

const voter_configuration& replicated_log::ConfigurationAt(
    revision index) const {
  const auto after =
      std::find_if(configurations_.begin() + 1, configurations_.end(),
                   [&](const indexed_configuration& indexed) {
                     return indexed.index > index;
                   });
  return std::prev(after)->configuration;
}

}  // namespace tamaracklatch
