// The writing thread.
#include "daemon/storage_thread.h"

#include <cassert>
#include <chrono>
#include <utility>

namespace tamaracklatch {

storage_thread::storage_thread(log_storage* storage, storage_reply reply)
    : storage_(storage), reply_(std::move(reply)), thread_([this] { Run(); }) {}

storage_thread::~storage_thread() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    stopping_ = true;
  }
  changed_.notify_one();
  thread_.join();
}

void storage_thread::Write(const storage_batch& batch) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    assert(batch_ == nullptr);
    batch_ = &batch;
  }
  changed_.notify_one();
}

void storage_thread::Run() {
  std::unique_lock<std::mutex> lock(mutex_);
  while (true) {
    changed_.wait(lock, [this] { return stopping_ || batch_ != nullptr; });
    if (stopping_) return;
    const storage_batch* batch = std::exchange(batch_, nullptr);
    lock.unlock();
    failure reason;
    const auto begun = std::chrono::steady_clock::now();
    const bool written = storage_->Persist(*batch, &reason);
    took_ = std::chrono::duration_cast<duration>(
        std::chrono::steady_clock::now() - begun);
    reply_(written ? std::nullopt : std::make_optional(reason));
    lock.lock();
  }
}

}  // namespace tamaracklatch
