// A disk in memory that loses what was not synced.
#pragma once

#include <optional>
#include <string>

#include "tamaracklatch/consensus/log_storage.h"
#include "tamaracklatch/core/random.h"

namespace tamaracklatch::test {

// What the next Persist() does.
enum class disk_fault { kNone, kCrash, kFull };

// Survives the VM's restarts; a lost disk is a new one of these.
struct fake_disk {
  stored_state durable;
};

class fake_log_storage final : public log_storage {
 public:
  fake_log_storage(fake_disk* disk, random_source* random)
      : disk_(disk), random_(random) {}

  std::optional<stored_state> Load(failure* /*last_failure*/) override {
    return disk_->durable;
  }

  // With a fault, a random part of the batch, from its beginning, reaches the
  // disk.
  bool Persist(const storage_batch& batch, failure* last_failure) override {
    if (fault_ == disk_fault::kNone) {
      Write(batch, batch.entries.size());
      return true;
    }
    const std::uint64_t steps = (*random_)() % (3 + batch.entries.size());
    storage_batch part;
    if (steps > 0) part.hard = batch.hard;
    if (steps > 1) part.snapshot = batch.snapshot;
    if (steps > 2) part.reset_log = batch.reset_log;
    part.entries = batch.entries;
    Write(part, steps > 2 ? steps - 2 : 0);
    crashed_ = fault_ == disk_fault::kCrash;
    fault_ = disk_fault::kNone;
    SetFailure(last_failure, result_code::kDiskFull, "no room");
    return false;
  }

  void SetFault(disk_fault fault) { fault_ = fault; }
  bool crashed() const { return crashed_; }

 private:
  void Write(const storage_batch& batch, std::size_t entry_count) {
    stored_state& durable = disk_->durable;
    if (batch.hard) durable.hard = *batch.hard;
    if (batch.snapshot) durable.snapshot = batch.snapshot;
    if (batch.reset_log) durable.entries.clear();
    for (std::size_t i = 0; i < entry_count; ++i) {
      Place(batch.entries[i], &durable.entries);
    }
    if (batch.compact_before) Compact(*batch.compact_before, &durable.entries);
  }

  static void Place(const log_entry& entry, std::vector<log_entry>* entries) {
    if (!entries->empty()) {
      entries->resize(entry.index.value - entries->front().index.value);
    }
    entries->push_back(entry);
  }

  static void Compact(revision before, std::vector<log_entry>* entries) {
    auto kept = entries->begin();
    while (kept != entries->end() && kept->index < before) ++kept;
    entries->erase(entries->begin(), kept);
  }

  fake_disk* disk_;
  random_source* random_;
  disk_fault fault_ = disk_fault::kNone;
  bool crashed_ = false;
};

}  // namespace tamaracklatch::test
