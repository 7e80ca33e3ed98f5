// The bounded queue between the event loop, which must not wait, and the thread
// that writes the time line.
#pragma once

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <vector>

#include "tamaracklatch/timeline/timeline_entry.h"

namespace tamaracklatch {

// Thread-safe. The lock is held for one move of an entry or one exchange of two
// vectors, never over an allocation or a write.
// Invariant: at most `capacity` entries wait.
class timeline_queue {
 public:
  explicit timeline_queue(std::size_t capacity);

  // Adds an entry. False where the queue is full: the entry is dropped.
  bool Push(timeline_entry&& entry);

  // Takes all entries that wait; `batch` must be empty and gives its storage
  // back to the queue.
  void TakeAll(std::vector<timeline_entry>* batch);

  std::size_t capacity() const { return capacity_; }

 private:
  const std::size_t capacity_;
  std::mutex mutex_;
  std::vector<timeline_entry> waiting_;
};

}  // namespace tamaracklatch
