// Tests what file_log_storage loads after a clean end, a torn write and damage
// to its files, and its failed writes.
#include "tamaracklatch/consensus/file_log_storage.h"

#include <criterion/criterion.h>
#include <sys/resource.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <memory>
#include <sstream>

#include "support/property.h"

namespace tamaracklatch::test {
namespace {

namespace fs = std::filesystem;

// A new empty folder, removed with its contents by the destructor.
class temporary_folder {
 public:
  temporary_folder() {
    std::string pattern =
        (fs::temp_directory_path() / "tamaracklatch-log-XXXXXX").string();
    cr_assert(mkdtemp(pattern.data()) != nullptr);
    path_ = pattern;
  }
  ~temporary_folder() { fs::remove_all(path_); }
  temporary_folder(const temporary_folder&) = delete;
  temporary_folder& operator=(const temporary_folder&) = delete;

  std::string data() const { return (path_ / "data").string(); }
  fs::path path() const { return path_; }

 private:
  fs::path path_;
};

// Small enough that 40 entries fill several segments.
constexpr std::size_t kSmallSegmentBytes = 600;

log_entry CommandEntry(std::uint64_t index, std::uint64_t term,
                       const std::string& text) {
  return {{index}, {term}, entry_kind::kCommand, text};
}

storage_batch EntriesBatch(std::vector<log_entry> entries) {
  storage_batch batch;
  batch.entries = std::move(entries);
  return batch;
}

storage_batch HardStateBatch(std::uint64_t term) {
  storage_batch batch;
  batch.hard = hard_state{{77}, {5}, {term}, member_id{"a", {77}}};
  return batch;
}

std::unique_ptr<file_log_storage> Open(const std::string& folder,
                                       std::size_t segment = 1 << 20U) {
  return std::make_unique<file_log_storage>(file_log_settings{folder, segment});
}

std::optional<stored_state> Reopen(const std::string& folder, failure* error) {
  return Open(folder)->Load(error);
}

// Writes a log of `count` entries, one batch for each.
std::vector<log_entry> WriteLog(const std::string& folder, std::uint64_t count,
                                std::size_t segment = 1 << 20U) {
  std::vector<log_entry> written;
  auto storage = Open(folder, segment);
  failure error;
  cr_assert(storage->Load(&error).has_value(), "%s", error.reason.c_str());
  cr_assert(storage->Persist(HardStateBatch(1), &error));
  for (std::uint64_t i = 1; i <= count; ++i) {
    written.push_back(CommandEntry(i, 1, "command " + std::to_string(i * i)));
    cr_assert(storage->Persist(EntriesBatch({written.back()}), &error));
  }
  return written;
}

std::string ReadFile(const fs::path& path) {
  std::ifstream file(path, std::ios::binary);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

void WriteFile(const fs::path& path, const std::string& bytes) {
  std::ofstream(path, std::ios::binary | std::ios::trunc) << bytes;
}

std::vector<fs::path> Segments(const std::string& folder) {
  std::vector<fs::path> paths;
  for (const auto& entry : fs::directory_iterator(folder)) {
    if (entry.path().filename().string().rfind("log-", 0) == 0) {
      paths.push_back(entry.path());
    }
  }
  std::sort(paths.begin(), paths.end());
  return paths;
}

bool IsPrefix(const std::vector<log_entry>& part,
              const std::vector<log_entry>& whole) {
  return part.size() <= whole.size() &&
         std::equal(part.begin(), part.end(), whole.begin());
}

Test(file_log_storage, a_blank_folder_is_blank) {
  const temporary_folder folder;
  failure error;
  const auto state = Reopen(folder.data(), &error);
  cr_assert(state.has_value());
  cr_assert_eq(state->hard.disk.value, 0u);
  cr_assert(state->entries.empty() && !state->snapshot);
}

Test(file_log_storage, gives_back_what_was_persisted) {
  const temporary_folder folder;
  const auto written = WriteLog(folder.data(), 40, kSmallSegmentBytes);
  cr_assert_gt(Segments(folder.data()).size(), 3u);
  failure error;
  const auto state = Reopen(folder.data(), &error);
  cr_assert(state.has_value(), "%s", error.reason.c_str());
  cr_assert(state->entries == written);
  cr_assert(state->hard == *HardStateBatch(1).hard);
  cr_assert_eq(state->truncated_bytes, 0u);
}

Test(file_log_storage, later_entries_replace_earlier_ones) {
  const temporary_folder folder;
  WriteLog(folder.data(), 10, kSmallSegmentBytes);
  failure error;
  {
    auto storage = Open(folder.data(), kSmallSegmentBytes);
    cr_assert(storage->Load(&error).has_value());
    cr_assert(
        storage->Persist(EntriesBatch({CommandEntry(4, 2, "other")}), &error));
  }
  const auto state = Reopen(folder.data(), &error);
  cr_assert(state.has_value());
  cr_assert_eq(state->entries.size(), 4u);
  cr_assert_eq(state->entries.back().payload, "other");
}

Test(file_log_storage, snapshot_and_compaction_leave_no_gap) {
  const temporary_folder folder;
  WriteLog(folder.data(), 40, kSmallSegmentBytes);
  const std::size_t before = Segments(folder.data()).size();
  failure error;
  {
    auto storage = Open(folder.data(), kSmallSegmentBytes);
    cr_assert(storage->Load(&error).has_value());
    storage_batch batch;
    batch.snapshot = std::make_shared<log_snapshot>(
        log_snapshot{{30}, {1}, {}, std::string(1000, 's')});
    batch.compact_before = revision{30};
    cr_assert(storage->Persist(batch, &error), "%s", error.reason.c_str());
  }
  cr_assert_lt(Segments(folder.data()).size(), before);
  const auto state = Reopen(folder.data(), &error);
  cr_assert(state.has_value(), "%s", error.reason.c_str());
  cr_assert_eq(state->snapshot->index.value, 30u);
  cr_assert_leq(state->entries.front().index.value, 30u);
  cr_assert_eq(state->entries.back().index.value, 40u);
}

// The first segment that is left begins with entries that a later frame
// replaced from an earlier index on, whose first version was in a removed
// segment. This stopped every further start with kLogBroken.
Test(file_log_storage, loads_a_log_that_begins_with_replaced_entries) {
  const temporary_folder folder;
  WriteLog(folder.data(), 10, kSmallSegmentBytes);
  failure error;
  {
    auto storage = Open(folder.data(), kSmallSegmentBytes);
    cr_assert(storage->Load(&error).has_value());
    // Two entries of a deposed leader. The first fills its segment.
    const std::string filling(kSmallSegmentBytes, 'x');
    const auto deposed = {CommandEntry(11, 1, filling),
                          CommandEntry(12, 1, "deposed")};
    for (const log_entry& entry : deposed)
      cr_assert(storage->Persist(EntriesBatch({entry}), &error));
    for (std::uint64_t i = 11; i <= 16; ++i) {
      cr_assert(storage->Persist(EntriesBatch({CommandEntry(i, 2, "replaced")}),
                                 &error));
    }
    storage_batch batch;
    batch.snapshot =
        std::make_shared<log_snapshot>(log_snapshot{{13}, {2}, {}, "state"});
    batch.compact_before = revision{12};
    cr_assert(storage->Persist(batch, &error), "%s", error.reason.c_str());
  }
  const auto state = Reopen(folder.data(), &error);
  cr_assert(state.has_value(), "%s", error.reason.c_str());
  cr_assert_eq(state->entries.front().index.value, 11u);
  cr_assert_eq(state->entries.back().index.value, 16u);
  for (const log_entry& entry : state->entries)
    cr_assert_eq(entry.term.value, 2u);
}

Test(file_log_storage, an_installed_snapshot_starts_the_log_again) {
  const temporary_folder folder;
  WriteLog(folder.data(), 10);
  failure error;
  {
    auto storage = Open(folder.data());
    cr_assert(storage->Load(&error).has_value());
    storage_batch batch;
    batch.snapshot =
        std::make_shared<log_snapshot>(log_snapshot{{50}, {3}, {}, "state"});
    batch.reset_log = true;
    batch.entries = {CommandEntry(51, 3, "next")};
    cr_assert(storage->Persist(batch, &error));
  }
  const auto state = Reopen(folder.data(), &error);
  cr_assert(state.has_value(), "%s", error.reason.c_str());
  cr_assert_eq(state->entries.size(), 1u);
  cr_assert_eq(state->entries.front().index.value, 51u);
}

Test(file_log_storage, a_tail_torn_at_any_byte_is_repaired) {
  const temporary_folder folder;
  const auto written = WriteLog(folder.data(), 6);
  const fs::path segment = Segments(folder.data()).front();
  const std::string bytes = ReadFile(segment);
  for (std::size_t size = 0; size < bytes.size(); ++size) {
    WriteFile(segment, bytes.substr(0, size));
    failure error;
    auto state = Reopen(folder.data(), &error);
    cr_assert(state.has_value(), "cut at %zu: %s", size, error.reason.c_str());
    cr_assert(IsPrefix(state->entries, written), "cut at %zu", size);
    const std::uint64_t left = ReadFile(segment).size();
    cr_assert_eq(left + state->truncated_bytes, size);
    // Writing continues after the repair, and no part of the torn frame is
    // loaded again.
    {
      auto storage = Open(folder.data());
      state = storage->Load(&error);
      cr_assert(state.has_value() && state->truncated_bytes == 0);
      const std::uint64_t next = state->entries.size() + 1;
      cr_assert(storage->Persist(EntriesBatch({CommandEntry(next, 2, "after")}),
                                 &error));
    }
    const auto again = Reopen(folder.data(), &error);
    cr_assert(again.has_value() && again->entries.back().payload == "after");
  }
}

Test(file_log_storage, a_tail_whose_sectors_are_zeros_is_repaired) {
  const temporary_folder folder;
  const auto written = WriteLog(folder.data(), 3);
  const fs::path segment = Segments(folder.data()).front();
  const std::string whole = ReadFile(segment);
  failure error;
  {
    auto storage = Open(folder.data());
    cr_assert(storage->Load(&error).has_value());
    const std::string text(3000, 'x');
    cr_assert(
        storage->Persist(EntriesBatch({CommandEntry(4, 1, text)}), &error));
  }
  const std::string longer = ReadFile(segment);
  // A crash may keep any one sector of the last frame from reaching the disk.
  constexpr std::size_t kSectorBytes = 512;
  for (std::size_t at = 0; at < longer.size(); at += kSectorBytes) {
    std::string bytes = longer;
    const std::size_t begin = std::max(at, whole.size());
    const std::size_t end = std::min(at + kSectorBytes, longer.size());
    if (begin >= end) continue;
    std::fill(bytes.begin() + static_cast<std::ptrdiff_t>(begin),
              bytes.begin() + static_cast<std::ptrdiff_t>(end), '\0');
    WriteFile(segment, bytes);
    const auto state = Reopen(folder.data(), &error);
    cr_assert(state.has_value(), "sector at %zu: %s", at, error.reason.c_str());
    cr_assert(state->entries == written);
  }
}

Test(file_log_storage, any_flipped_bit_stops_the_start) {
  const temporary_folder folder;
  WriteLog(folder.data(), 4);
  for (const auto& entry : fs::directory_iterator(folder.data())) {
    const std::string bytes = ReadFile(entry.path());
    for (std::size_t bit = 0; bit < bytes.size() * 8; ++bit) {
      std::string damaged = bytes;
      damaged[bit / 8] = static_cast<char>(
          static_cast<unsigned char>(damaged[bit / 8]) ^ (1U << (bit % 8)));
      WriteFile(entry.path(), damaged);
      failure error;
      const auto state = Reopen(folder.data(), &error);
      cr_assert(!state.has_value(), "%s, bit %zu", entry.path().c_str(), bit);
      cr_assert(error.code == result_code::kLogBroken);
    }
    WriteFile(entry.path(), bytes);
  }
}

Test(file_log_storage, a_broken_frame_in_the_middle_stops_the_start) {
  const temporary_folder folder;
  WriteLog(folder.data(), 40, kSmallSegmentBytes);
  const auto segments = Segments(folder.data());
  // Zeros are not a torn tail if an intact frame follows them.
  const fs::path& last = segments.back();
  const std::string bytes = ReadFile(last);
  const std::size_t frame = bytes.size() / 4;
  std::string damaged = bytes;
  std::fill(damaged.begin(),
            damaged.begin() + static_cast<std::ptrdiff_t>(frame), '\0');
  WriteFile(last, damaged);
  failure error;
  cr_assert(!Reopen(folder.data(), &error).has_value());
  cr_assert(error.code == result_code::kLogBroken);
  WriteFile(last, bytes);

  // A segment that is not the last one and lost its last byte.
  const fs::path& middle = segments[1];
  const std::string middle_bytes = ReadFile(middle);
  WriteFile(middle, middle_bytes.substr(0, middle_bytes.size() - 1));
  cr_assert(!Reopen(folder.data(), &error).has_value());
  cr_assert(error.code == result_code::kLogBroken);
  WriteFile(middle, middle_bytes);
  cr_assert(Reopen(folder.data(), &error).has_value());
}

Test(file_log_storage, a_missing_file_stops_the_start) {
  const temporary_folder folder;
  WriteLog(folder.data(), 40, kSmallSegmentBytes);
  std::vector<fs::path> files;
  for (const auto& entry : fs::directory_iterator(folder.data())) {
    files.push_back(entry.path());
  }
  for (const fs::path& path : files) {
    const std::string bytes = ReadFile(path);
    fs::remove(path);
    failure error;
    cr_assert(!Reopen(folder.data(), &error).has_value(), "%s", path.c_str());
    cr_assert(error.code == result_code::kLogBroken);
    WriteFile(path, bytes);
  }
}

Test(file_log_storage, a_broken_snapshot_stops_the_start) {
  const temporary_folder folder;
  failure error;
  {
    auto storage = Open(folder.data());
    cr_assert(storage->Load(&error).has_value());
    cr_assert(storage->Persist(HardStateBatch(1), &error));
    storage_batch batch;
    batch.snapshot =
        std::make_shared<log_snapshot>(log_snapshot{{50}, {1}, {}, "state"});
    batch.reset_log = true;
    cr_assert(storage->Persist(batch, &error));
  }
  for (const auto& entry : fs::directory_iterator(folder.data())) {
    if (entry.path().filename().string().rfind("snapshot-", 0) != 0) continue;
    std::string bytes = ReadFile(entry.path());
    bytes.back() = static_cast<char>(bytes.back() ^ 1);
    WriteFile(entry.path(), bytes);
  }
  cr_assert(!Reopen(folder.data(), &error).has_value());
  cr_assert(error.code == result_code::kSnapshotBroken);
}

// A process that was killed may have written frames that it never synced. The
// caller relies on what Load() returns, so Load() must sync it first.
Test(file_log_storage, what_a_start_reads_is_synced_first) {
  const temporary_folder folder;
  WriteLog(folder.data(), 3);
  auto storage = Open(folder.data());
  failure error;
  cr_assert(storage->Load(&error).has_value());
  cr_assert_geq(storage->counts().file_syncs, 1u);
  cr_assert_geq(storage->counts().folder_syncs, 1u);
}

// RLIMIT_FSIZE simulates a full disk. A batch that failed at any size limit
// must be written in full once there is space.
Test(file_log_storage, a_failed_batch_is_written_once_there_is_space) {
  std::signal(SIGXFSZ, SIG_IGN);
  for (rlim_t limit_bytes = 1; limit_bytes < 600; limit_bytes += 7) {
    const temporary_folder folder;
    auto written = WriteLog(folder.data(), 2);
    auto storage = Open(folder.data());
    failure error;
    cr_assert(storage->Load(&error).has_value());
    storage_batch batch = HardStateBatch(2);
    batch.entries = {CommandEntry(3, 2, std::string(400, 'x'))};
    rlimit before{};
    cr_assert_eq(getrlimit(RLIMIT_FSIZE, &before), 0);
    rlimit limited = before;
    limited.rlim_cur = limit_bytes;
    cr_assert_eq(setrlimit(RLIMIT_FSIZE, &limited), 0);
    const bool written_at_first = storage->Persist(batch, &error);
    const bool written_at_retry =
        written_at_first || storage->Persist(batch, &error);
    cr_assert_eq(setrlimit(RLIMIT_FSIZE, &before), 0);
    cr_assert(written_at_first == written_at_retry);
    cr_assert(written_at_first || error.code == result_code::kDiskFull);
    cr_assert(written_at_first || storage->Persist(batch, &error));
    written.push_back(batch.entries[0]);
    written.push_back(CommandEntry(4, 2, "after"));
    cr_assert(storage->Persist(EntriesBatch({written.back()}), &error));
    storage.reset();
    const auto state = Reopen(folder.data(), &error);
    cr_assert(state.has_value(), "%s", error.reason.c_str());
    cr_assert(state->entries == written && state->hard == *batch.hard);
    cr_assert_eq(state->truncated_bytes, 0u);
  }
}

Test(file_log_storage, a_folder_serves_one_process_at_a_time) {
  const temporary_folder folder;
  failure error;
  auto storage = Open(folder.data());
  cr_assert(storage->Load(&error).has_value());
  cr_assert(!Reopen(folder.data(), &error).has_value());
  cr_assert(error.code == result_code::kStorageUnreadable);
}

// After any sequence of appended batches and reopenings, the files hold the
// same entries as a list in memory.
Test(file_log_storage, agrees_with_a_list_in_memory) {
  CheckProperty("files agree with a list", [] {
    const temporary_folder folder;
    std::vector<log_entry> expected;
    auto storage = Open(folder.data(), kSmallSegmentBytes);
    failure error;
    RC_ASSERT(storage->Load(&error).has_value());
    RC_ASSERT(storage->Persist(HardStateBatch(1), &error));
    const auto steps = *rc::gen::container<std::vector<std::uint32_t>>(
        rc::gen::inRange<std::uint32_t>(0, 1000));
    std::uint64_t term = 1;
    for (const std::uint32_t step : steps) {
      if (step % 10 == 0) {
        storage = Open(folder.data(), kSmallSegmentBytes);
        const auto state = storage->Load(&error);
        RC_ASSERT(state.has_value());
        RC_ASSERT(state->entries == expected);
        continue;
      }
      // One step in ten replaces the two newest entries, in a new term.
      const std::size_t back = step % 10 == 1 ? 2 : 0;
      if (back > 0) ++term;
      expected.resize(expected.size() - std::min(back, expected.size()));
      std::vector<log_entry> batch;
      for (std::uint32_t i = 0; i < 1 + step % 4; ++i) {
        batch.push_back(CommandEntry(expected.size() + 1, term,
                                     std::string(step % 90, 'c')));
        expected.push_back(batch.back());
      }
      RC_ASSERT(storage->Persist(EntriesBatch(batch), &error));
    }
  });
}

}  // namespace
}  // namespace tamaracklatch::test
