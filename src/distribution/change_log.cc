// Implementation of the bounded log of encoded changes.
#include "tamaracklatch/distribution/change_log.h"

#include <algorithm>
#include <cassert>

namespace tamaracklatch {
namespace {

// Estimated bytes of memory for a change or a revision beside its encoded
// bytes: strings, vectors and their headers.
constexpr std::size_t kEntryOverhead = 64;

std::size_t SizeOf(const encoded_revision& entry) {
  std::size_t size = kEntryOverhead;
  for (const encoded_change& change : entry.changes)
    size += kEntryOverhead + change.bytes.size();
  return size;
}

encoded_revision FilterByService(const encoded_revision& entry,
                                 std::optional<service_id> service) {
  if (!service) return entry;
  encoded_revision filtered;
  filtered.at = entry.at;
  for (const encoded_change& change : entry.changes) {
    if (change.service == *service) filtered.changes.push_back(change);
  }
  return filtered;
}

}  // namespace

change_log::change_log(std::size_t max_bytes) : max_bytes_(max_bytes) {}

void change_log::Reset(revision at) {
  entries_.clear();
  bytes_ = 0;
  floor_ = at;
  newest_ = at;
}

void change_log::Append(encoded_revision entry) {
  assert(entry.at > newest_);
  newest_ = entry.at;
  bytes_ += SizeOf(entry);
  entries_.push_back(std::move(entry));
  while (bytes_ > max_bytes_ && entries_.size() > 1) {
    bytes_ -= SizeOf(entries_.front());
    floor_ = entries_.front().at;
    entries_.pop_front();
  }
}

void change_log::Advance(revision to) { newest_ = std::max(newest_, to); }

change_log::slice change_log::Read(revision after,
                                   std::optional<service_id> service,
                                   std::size_t max_bytes) const {
  assert(after >= floor_);
  slice found;
  found.to = newest_;
  std::size_t size = 0;
  auto entry = std::upper_bound(
      entries_.begin(), entries_.end(), after,
      [](revision at, const encoded_revision& one) { return at < one.at; });
  for (; entry != entries_.end(); ++entry) {
    encoded_revision filtered = FilterByService(*entry, service);
    if (filtered.changes.empty()) continue;
    const std::size_t more = SizeOf(filtered);
    if (!found.revisions.empty() && size + more > max_bytes) {
      found.to = found.revisions.back().at;
      return found;
    }
    size += more;
    found.revisions.push_back(std::move(filtered));
  }
  return found;
}

}  // namespace tamaracklatch
