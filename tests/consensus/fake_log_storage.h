// A log_storage in memory for simulated crashes, in which only a prefix of a
// batch may have reached the disk.
#pragma once

#include <optional>
#include <string>

#include "tamaracklatch/consensus/log_storage.h"
#include "tamaracklatch/core/random.h"

namespace tamaracklatch::test {

// The contents of one disk, which outlive the storages that use it. A VM that
// loses its disk gets a new fake_disk.
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

  bool Persist(const storage_batch& batch, failure* /*last_failure*/) override {
    Write(batch, batch.entries.size());
    return true;
  }

  // Persists a prefix of the batch of random length, like a crash or a full
  // disk during Persist().
  void PersistPrefix(const storage_batch& batch) {
    const std::uint64_t step_count = (*random_)() % (3 + batch.entries.size());
    storage_batch prefix;
    if (step_count > 0) prefix.hard = batch.hard;
    if (step_count > 1) prefix.snapshot = batch.snapshot;
    if (step_count > 2) prefix.reset_log = batch.reset_log;
    prefix.entries = batch.entries;
    Write(prefix, step_count > 2 ? step_count - 2 : 0);
  }

 private:
  void Write(const storage_batch& batch, std::size_t entry_count) {
    stored_state& durable = disk_->durable;
    if (batch.hard) durable.hard = *batch.hard;
    if (batch.snapshot) durable.snapshot = batch.snapshot;
    if (batch.reset_log) durable.entries.clear();
    for (std::size_t i = 0; i < entry_count; ++i) {
      PlaceEntry(batch.entries[i], &durable.entries);
    }
    if (batch.compact_before) Compact(*batch.compact_before, &durable.entries);
  }

  static void PlaceEntry(const log_entry& entry,
                         std::vector<log_entry>* entries) {
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
};

}  // namespace tamaracklatch::test
