// Tests file_log_storage on random series of batches that append and replace
// entries, compact the log and install snapshots, with crashes within a batch.
#include <criterion/criterion.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <filesystem>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "support/property.h"
#include "tamaracklatch/consensus/file_log_storage.h"
#include "tamaracklatch/core/random.h"

namespace tamaracklatch::test {
namespace {

namespace fs = std::filesystem;

// Small enough that a series fills many segments.
constexpr std::size_t kSegmentBytes = 400;

// Random batches for one folder, which it loads again and again, and the
// contents that the folder must have.
class file_log_model {
 public:
  explicit file_log_model(std::uint64_t seed) : random_{seed} {
    std::string pattern =
        (fs::temp_directory_path() / "tamaracklatch-crash-XXXXXX").string();
    cr_assert(mkdtemp(pattern.data()) != nullptr);
    root_ = pattern;
    Load();
    storage_batch founding;
    founding.hard = hard_state{{77}, {5}, {1}, std::nullopt};
    Persist(founding);
  }
  ~file_log_model() {
    storage_.reset();
    fs::remove_all(root_);
  }
  file_log_model(const file_log_model&) = delete;
  file_log_model& operator=(const file_log_model&) = delete;

  void Step() {
    switch (random_() % 8) {
      case 0:
        Load();
        return;
      case 1:
        PersistOrCrash(CompactingBatch());
        return;
      case 2:
        // Rarely: an installed snapshot ends what the others lead to.
        PersistOrCrash(random_() % 4 == 0 ? InstallingBatch()
                                          : ReplacingBatch());
        return;
      case 3:
      case 4:
        PersistOrCrash(ReplacingBatch());
        return;
      default:
        PersistOrCrash(AppendingBatch());
        return;
    }
  }

 private:
  fs::path data() const { return root_ / "data"; }

  std::uint64_t LastIndex() const {
    return entries_.empty() ? snapshot_index_ : entries_.back().index.value;
  }

  log_entry NewEntry(std::uint64_t index) {
    return {{index},
            {term_},
            entry_kind::kCommand,
            std::string(random_() % 120, 'c')};
  }

  storage_batch BatchFrom(std::uint64_t first_index) {
    storage_batch batch;
    const std::uint64_t count = 1 + random_() % 4;
    for (std::uint64_t i = 0; i < count; ++i)
      batch.entries.push_back(NewEntry(first_index + i));
    return batch;
  }

  storage_batch AppendingBatch() { return BatchFrom(LastIndex() + 1); }

  // Replaces up to six entries that no snapshot covers, as a new leader does.
  storage_batch ReplacingBatch() {
    ++term_;
    const std::uint64_t uncovered =
        std::min<std::uint64_t>(LastIndex() - snapshot_index_, 6);
    const std::uint64_t replaced =
        uncovered == 0 ? 0 : 1 + random_() % uncovered;
    return BatchFrom(LastIndex() + 1 - replaced);
  }

  // A snapshot of a prefix of the log, and compaction behind it.
  storage_batch CompactingBatch() {
    storage_batch batch;
    if (entries_.empty()) return AppendingBatch();
    const std::uint64_t covered =
        random_() % (LastIndex() - snapshot_index_ + 1);
    const std::uint64_t index = snapshot_index_ + covered;
    const auto at = std::find_if(
        entries_.begin(), entries_.end(),
        [&](const log_entry& each) { return each.index.value == index; });
    if (at == entries_.end()) return AppendingBatch();
    batch.snapshot = std::make_shared<log_snapshot>(
        log_snapshot{at->index, at->term, {}, "state"});
    const std::uint64_t kept = random_() % 4;
    batch.compact_before = revision{index - std::min(kept, index - 1)};
    return batch;
  }

  storage_batch InstallingBatch() {
    ++term_;
    const std::uint64_t index = LastIndex() + 1 + random_() % 4;
    storage_batch batch = BatchFrom(index + 1);
    batch.snapshot = std::make_shared<log_snapshot>(
        log_snapshot{{index}, {term_}, {}, "state"});
    batch.reset_log = true;
    return batch;
  }

  void Persist(const storage_batch& batch) {
    failure error;
    RC_ASSERT(storage_->Persist(batch, &error));
    if (batch.snapshot) snapshot_index_ = batch.snapshot->index.value;
    if (batch.reset_log) {
      entries_.clear();
      compacted_before_ = 0;
    }
    for (const log_entry& entry : batch.entries) {
      while (!entries_.empty() && entries_.back().index >= entry.index)
        entries_.pop_back();
      entries_.push_back(entry);
    }
    if (batch.compact_before) {
      compacted_before_ =
          std::max(compacted_before_, batch.compact_before->value);
    }
  }

  // Persists the batch; one time in four as a process that is killed within,
  // which then starts again.
  void PersistOrCrash(const storage_batch& batch) {
    if (random_() % 4 != 0) {
      Persist(batch);
      return;
    }
    const fs::path before = root_ / "before";
    fs::copy(data(), before, fs::copy_options::recursive);
    const auto entries_before = entries_;
    const std::uint64_t compacted_before = compacted_before_;
    Persist(batch);
    storage_.reset();
    if (!batch.entries.empty() && TearNewestFrame(before)) {
      // The snapshot was written before the frame.
      entries_ = entries_before;
      compacted_before_ = compacted_before;
      if (batch.reset_log) RestoreSnapshots(before);
    } else if (batch.compact_before) {
      RestoreNewestRemoved(before);
    }
    fs::remove_all(before);
    Load();
  }

  // Cuts off the newest frame at a random byte; false if it stays whole. What
  // the batch did after the frame is undone by the caller.
  bool TearNewestFrame(const fs::path& before) {
    const fs::path newest = Segments(data()).back();
    const fs::path same = before / newest.filename();
    const std::uint64_t old_bytes = fs::exists(same) ? fs::file_size(same) : 0;
    const std::uint64_t new_bytes = fs::file_size(newest);
    const std::uint64_t kept = random_() % (new_bytes - old_bytes + 1);
    if (old_bytes + kept == new_bytes) return false;
    fs::resize_file(newest, old_bytes + kept);
    return true;
  }

  // Segments are removed oldest first: a crash leaves the newest ones.
  void RestoreNewestRemoved(const fs::path& before) {
    std::vector<fs::path> removed;
    for (const fs::path& each : Segments(before)) {
      if (!fs::exists(data() / each.filename())) removed.push_back(each);
    }
    if (removed.empty()) return;
    const std::size_t kept = random_() % (removed.size() + 1);
    for (std::size_t i = removed.size() - kept; i < removed.size(); ++i)
      fs::copy(removed[i], data() / removed[i].filename());
  }

  void RestoreSnapshots(const fs::path& before) {
    for (const auto& each : fs::directory_iterator(before)) {
      const fs::path name = each.path().filename();
      if (name.string().rfind("snapshot-", 0) == 0 &&
          !fs::exists(data() / name)) {
        fs::copy(each.path(), data() / name);
      }
    }
  }

  static std::vector<fs::path> Segments(const fs::path& folder) {
    std::vector<fs::path> paths;
    for (const auto& entry : fs::directory_iterator(folder)) {
      if (entry.path().filename().string().rfind("log-", 0) == 0)
        paths.push_back(entry.path());
    }
    std::sort(paths.begin(), paths.end());
    return paths;
  }

  // Starts on the folder and checks that it holds the model's log, but for
  // entries that compaction allows to be missing.
  void Load() {
    storage_.reset();
    storage_ = std::make_unique<file_log_storage>(
        file_log_settings{data().string(), kSegmentBytes});
    failure error;
    const auto state = storage_->Load(&error);
    if (!state) RC_FAIL(error.reason);
    const std::uint64_t loaded_snapshot =
        state->snapshot ? state->snapshot->index.value : 0;
    RC_ASSERT(loaded_snapshot == snapshot_index_);
    const auto& loaded = state->entries;
    RC_ASSERT(loaded.size() <= entries_.size());
    RC_ASSERT(std::equal(loaded.rbegin(), loaded.rend(), entries_.rbegin()));
    if (loaded.empty()) {
      RC_ASSERT(entries_.empty());
      return;
    }
    RC_ASSERT(loaded.size() == entries_.size() ||
              loaded.front().index.value <= compacted_before_);
    // As a member does after a crash between a snapshot and its reset.
    if (LastIndex() < snapshot_index_) {
      storage_batch batch;
      batch.snapshot = state->snapshot;
      batch.reset_log = true;
      Persist(batch);
    }
  }

  random_source random_;
  fs::path root_;
  std::unique_ptr<file_log_storage> storage_;
  std::vector<log_entry> entries_;  // all, also those that were compacted
  std::uint64_t snapshot_index_ = 0;
  std::uint64_t compacted_before_ = 0;
  std::uint64_t term_ = 1;
};

// A voter must start again whatever entries were replaced, and wherever the
// ends of segments were and a crash came.
Test(file_log_crash, every_folder_loads_what_was_persisted) {
  CheckProperty("files agree with the batches across crashes", [] {
    file_log_model model(*rc::gen::arbitrary<std::uint64_t>());
    for (int step = 0; step < 150; ++step) model.Step();
  });
}

}  // namespace
}  // namespace tamaracklatch::test
