// One thread that writes batches to a log storage, so that a disk that hangs
// does not hold up the event loop.
#pragma once

#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <thread>

#include "tamaracklatch/consensus/consensus_runner.h"
#include "tamaracklatch/consensus/log_storage.h"

namespace tamaracklatch {

// Called on the thread with what became of a batch.
using storage_reply =
    std::function<void(const std::optional<failure>& refused)>;

// Invariant: while a batch is under way, only the thread uses the storage.
class storage_thread : public batch_writer {
 public:
  // `storage` must be loaded before the first batch, and outlive the thread.
  storage_thread(log_storage* storage, storage_reply reply);
  // Waits for the batch under way.
  ~storage_thread() override;
  storage_thread(const storage_thread&) = delete;
  storage_thread& operator=(const storage_thread&) = delete;

  void Write(const storage_batch& batch) override;

  // How long the last batch took to be written and synced. For use in the
  // reply.
  duration took() const { return took_; }

 private:
  void Run();

  log_storage* storage_;
  storage_reply reply_;
  std::mutex mutex_;
  std::condition_variable changed_;
  const storage_batch* batch_ = nullptr;  // waits for the thread
  bool stopping_ = false;
  duration took_{0};  // only the thread uses it
  std::thread thread_;
};

}  // namespace tamaracklatch
