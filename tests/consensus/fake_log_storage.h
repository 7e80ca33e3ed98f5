// A disk in memory that loses what was not synced.
#pragma once

#include <optional>
#include <string>

#include "tamaracklatch/consensus/log_storage.h"
#include "tamaracklatch/core/random.h"

namespace tamaracklatch::test {

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

  bool Persist(const storage_batch& batch, failure* /*last_failure*/) override {
    Write(batch, batch.entries.size());
    return true;
  }

  // A random part of the batch, from its beginning, reaches the disk.
  void PersistPart(const storage_batch& batch) {
    const std::uint64_t steps = (*random_)() % (3 + batch.entries.size());
    storage_batch part;
    if (steps > 0) part.hard = batch.hard;
    if (steps > 1) part.snapshot = batch.snapshot;
    if (steps > 2) part.reset_log = batch.reset_log;
    part.entries = batch.entries;
    Write(part, steps > 2 ? steps - 2 : 0);
  }

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
};

}  // namespace tamaracklatch::test
