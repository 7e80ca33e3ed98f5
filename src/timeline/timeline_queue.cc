// The queue: entries collect in a vector that the writer exchanges for an empty
// one.
#include "tamaracklatch/timeline/timeline_queue.h"

#include <cassert>
#include <utility>

namespace tamaracklatch {

timeline_queue::timeline_queue(std::size_t capacity) : capacity_(capacity) {
  assert(capacity > 0);
  waiting_.reserve(capacity);
}

bool timeline_queue::Push(timeline_entry&& entry) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (waiting_.size() == capacity_) return false;
  waiting_.push_back(std::move(entry));
  return true;
}

void timeline_queue::TakeAll(std::vector<timeline_entry>* batch) {
  assert(batch->empty());
  batch->reserve(capacity_);
  const std::lock_guard<std::mutex> lock(mutex_);
  std::swap(*batch, waiting_);
}

}  // namespace tamaracklatch
