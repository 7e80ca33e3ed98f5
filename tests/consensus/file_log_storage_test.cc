// The file storage: what it gives back after a clean end, a torn write, and
// damage.
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

// A folder of its own, removed at the end.
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

constexpr std::size_t kSmallSegment = 600;  // bytes, so that several come up

log_entry Command(std::uint64_t index, std::uint64_t term,
                  const std::string& text) {
  return {{index}, {term}, entry_kind::kCommand, text};
}

storage_batch Entries(std::vector<log_entry> entries) {
  storage_batch batch;
  batch.entries = std::move(entries);
  return batch;
}

storage_batch Hard(std::uint64_t term) {
  storage_batch batch;
  batch.hard = hard_state{{77}, {5}, {term}, member_id{"a", {77}}};
  return batch;
}

std::unique_ptr<file_log_storage> Open(const std::string& folder,
                                       std::size_t segment = 1 << 20U) {
  return std::make_unique<file_log_storage>(file_log_settings{folder, segment});
}

std::optional<stored_state> Reopen(const std::string& folder, failure* why) {
  return Open(folder)->Load(why);
}

// A log of `count` entries, each a batch of its own.
std::vector<log_entry> WriteLog(const std::string& folder, std::uint64_t count,
                                std::size_t segment = 1 << 20U) {
  std::vector<log_entry> written;
  auto storage = Open(folder, segment);
  failure why;
  cr_assert(storage->Load(&why).has_value(), "%s", why.reason.c_str());
  cr_assert(storage->Persist(Hard(1), &why));
  for (std::uint64_t i = 1; i <= count; ++i) {
    written.push_back(Command(i, 1, "command " + std::to_string(i * i)));
    cr_assert(storage->Persist(Entries({written.back()}), &why));
  }
  return written;
}

std::string Slurp(const fs::path& path) {
  std::ifstream file(path, std::ios::binary);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

void Spill(const fs::path& path, const std::string& bytes) {
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
  failure why;
  const auto state = Reopen(folder.data(), &why);
  cr_assert(state.has_value());
  cr_assert_eq(state->hard.disk.value, 0u);
  cr_assert(state->entries.empty() && !state->snapshot);
}

Test(file_log_storage, gives_back_what_was_persisted) {
  const temporary_folder folder;
  const auto written = WriteLog(folder.data(), 40, kSmallSegment);
  cr_assert_gt(Segments(folder.data()).size(), 3u);
  failure why;
  const auto state = Reopen(folder.data(), &why);
  cr_assert(state.has_value(), "%s", why.reason.c_str());
  cr_assert(state->entries == written);
  cr_assert(state->hard == *Hard(1).hard);
  cr_assert_eq(state->repaired_bytes, 0u);
}

Test(file_log_storage, later_entries_replace_earlier_ones) {
  const temporary_folder folder;
  WriteLog(folder.data(), 10, kSmallSegment);
  failure why;
  {
    auto storage = Open(folder.data(), kSmallSegment);
    cr_assert(storage->Load(&why).has_value());
    cr_assert(storage->Persist(Entries({Command(4, 2, "other")}), &why));
  }
  const auto state = Reopen(folder.data(), &why);
  cr_assert(state.has_value());
  cr_assert_eq(state->entries.size(), 4u);
  cr_assert_eq(state->entries.back().payload, "other");
}

Test(file_log_storage, snapshot_and_compaction_leave_no_gap) {
  const temporary_folder folder;
  WriteLog(folder.data(), 40, kSmallSegment);
  const std::size_t before = Segments(folder.data()).size();
  failure why;
  {
    auto storage = Open(folder.data(), kSmallSegment);
    cr_assert(storage->Load(&why).has_value());
    storage_batch batch;
    batch.snapshot = std::make_shared<log_snapshot>(
        log_snapshot{{30}, {1}, {}, std::string(1000, 's')});
    batch.compact_before = revision{30};
    cr_assert(storage->Persist(batch, &why), "%s", why.reason.c_str());
  }
  cr_assert_lt(Segments(folder.data()).size(), before);
  const auto state = Reopen(folder.data(), &why);
  cr_assert(state.has_value(), "%s", why.reason.c_str());
  cr_assert_eq(state->snapshot->index.value, 30u);
  cr_assert_leq(state->entries.front().index.value, 30u);
  cr_assert_eq(state->entries.back().index.value, 40u);
}

Test(file_log_storage, an_installed_snapshot_starts_the_log_again) {
  const temporary_folder folder;
  WriteLog(folder.data(), 10);
  failure why;
  {
    auto storage = Open(folder.data());
    cr_assert(storage->Load(&why).has_value());
    storage_batch batch;
    batch.snapshot =
        std::make_shared<log_snapshot>(log_snapshot{{50}, {3}, {}, "state"});
    batch.reset_log = true;
    batch.entries = {Command(51, 3, "next")};
    cr_assert(storage->Persist(batch, &why));
  }
  const auto state = Reopen(folder.data(), &why);
  cr_assert(state.has_value(), "%s", why.reason.c_str());
  cr_assert_eq(state->entries.size(), 1u);
  cr_assert_eq(state->entries.front().index.value, 51u);
}

Test(file_log_storage, a_tail_torn_at_any_byte_is_repaired) {
  const temporary_folder folder;
  const auto written = WriteLog(folder.data(), 6);
  const fs::path segment = Segments(folder.data()).front();
  const std::string bytes = Slurp(segment);
  for (std::size_t size = 0; size < bytes.size(); ++size) {
    Spill(segment, bytes.substr(0, size));
    failure why;
    auto state = Reopen(folder.data(), &why);
    cr_assert(state.has_value(), "cut at %zu: %s", size, why.reason.c_str());
    cr_assert(IsPrefix(state->entries, written), "cut at %zu", size);
    const std::uint64_t left = Slurp(segment).size();
    cr_assert_eq(left + state->repaired_bytes, size);
    // It goes on after the repair, and nothing of the torn frame comes back.
    {
      auto storage = Open(folder.data());
      state = storage->Load(&why);
      cr_assert(state.has_value() && state->repaired_bytes == 0);
      const std::uint64_t next = state->entries.size() + 1;
      cr_assert(storage->Persist(Entries({Command(next, 2, "after")}), &why));
    }
    const auto again = Reopen(folder.data(), &why);
    cr_assert(again.has_value() && again->entries.back().payload == "after");
  }
}

Test(file_log_storage, a_tail_whose_sectors_are_zeros_is_repaired) {
  const temporary_folder folder;
  const auto written = WriteLog(folder.data(), 3);
  const fs::path segment = Segments(folder.data()).front();
  const std::string whole = Slurp(segment);
  failure why;
  {
    auto storage = Open(folder.data());
    cr_assert(storage->Load(&why).has_value());
    const std::string text(3000, 'x');
    cr_assert(storage->Persist(Entries({Command(4, 1, text)}), &why));
  }
  const std::string longer = Slurp(segment);
  // Any one sector of the last frame may not have reached the disk.
  constexpr std::size_t kSector = 512;
  for (std::size_t at = 0; at < longer.size(); at += kSector) {
    std::string bytes = longer;
    const std::size_t begin = std::max(at, whole.size());
    const std::size_t end = std::min(at + kSector, longer.size());
    if (begin >= end) continue;
    std::fill(bytes.begin() + static_cast<std::ptrdiff_t>(begin),
              bytes.begin() + static_cast<std::ptrdiff_t>(end), '\0');
    Spill(segment, bytes);
    const auto state = Reopen(folder.data(), &why);
    cr_assert(state.has_value(), "sector at %zu: %s", at, why.reason.c_str());
    cr_assert(state->entries == written);
  }
}

Test(file_log_storage, any_flipped_bit_stops_the_start) {
  const temporary_folder folder;
  WriteLog(folder.data(), 4);
  for (const auto& entry : fs::directory_iterator(folder.data())) {
    const std::string bytes = Slurp(entry.path());
    for (std::size_t bit = 0; bit < bytes.size() * 8; ++bit) {
      std::string damaged = bytes;
      damaged[bit / 8] = static_cast<char>(
          static_cast<unsigned char>(damaged[bit / 8]) ^ (1U << (bit % 8)));
      Spill(entry.path(), damaged);
      failure why;
      const auto state = Reopen(folder.data(), &why);
      cr_assert(!state.has_value(), "%s, bit %zu", entry.path().c_str(), bit);
      cr_assert(why.code == result_code::kLogBroken);
    }
    Spill(entry.path(), bytes);
  }
}

Test(file_log_storage, a_broken_frame_in_the_middle_stops_the_start) {
  const temporary_folder folder;
  WriteLog(folder.data(), 40, kSmallSegment);
  const auto segments = Segments(folder.data());
  // Zeros over any stretch that is followed by a whole frame.
  const fs::path& last = segments.back();
  const std::string bytes = Slurp(last);
  const std::size_t frame = bytes.size() / 4;
  std::string damaged = bytes;
  std::fill(damaged.begin(),
            damaged.begin() + static_cast<std::ptrdiff_t>(frame), '\0');
  Spill(last, damaged);
  failure why;
  cr_assert(!Reopen(folder.data(), &why).has_value());
  cr_assert(why.code == result_code::kLogBroken);
  Spill(last, bytes);

  // A file that is not the last one and lost its end.
  const fs::path& middle = segments[1];
  const std::string middle_bytes = Slurp(middle);
  Spill(middle, middle_bytes.substr(0, middle_bytes.size() - 1));
  cr_assert(!Reopen(folder.data(), &why).has_value());
  cr_assert(why.code == result_code::kLogBroken);
  Spill(middle, middle_bytes);
  cr_assert(Reopen(folder.data(), &why).has_value());
}

Test(file_log_storage, a_missing_file_stops_the_start) {
  const temporary_folder folder;
  WriteLog(folder.data(), 40, kSmallSegment);
  std::vector<fs::path> files;
  for (const auto& entry : fs::directory_iterator(folder.data())) {
    files.push_back(entry.path());
  }
  for (const fs::path& path : files) {
    const std::string bytes = Slurp(path);
    fs::remove(path);
    failure why;
    cr_assert(!Reopen(folder.data(), &why).has_value(), "%s", path.c_str());
    cr_assert(why.code == result_code::kLogBroken);
    Spill(path, bytes);
  }
}

Test(file_log_storage, a_broken_snapshot_stops_the_start) {
  const temporary_folder folder;
  failure why;
  {
    auto storage = Open(folder.data());
    cr_assert(storage->Load(&why).has_value());
    cr_assert(storage->Persist(Hard(1), &why));
    storage_batch batch;
    batch.snapshot =
        std::make_shared<log_snapshot>(log_snapshot{{50}, {1}, {}, "state"});
    batch.reset_log = true;
    cr_assert(storage->Persist(batch, &why));
  }
  for (const auto& entry : fs::directory_iterator(folder.data())) {
    if (entry.path().filename().string().rfind("snapshot-", 0) != 0) continue;
    std::string bytes = Slurp(entry.path());
    bytes.back() = static_cast<char>(bytes.back() ^ 1);
    Spill(entry.path(), bytes);
  }
  cr_assert(!Reopen(folder.data(), &why).has_value());
  cr_assert(why.code == result_code::kSnapshotBroken);
}

// A process that was killed may have written what it never synced; whoever
// reads it counts on it.
Test(file_log_storage, what_a_start_reads_is_synced_first) {
  const temporary_folder folder;
  WriteLog(folder.data(), 3);
  auto storage = Open(folder.data());
  failure why;
  cr_assert(storage->Load(&why).has_value());
  cr_assert_geq(storage->counts().file_syncs, 1u);
  cr_assert_geq(storage->counts().folder_syncs, 1u);
}

// The limit of file size stands in for a disk without room.
Test(file_log_storage, a_refused_batch_is_taken_once_there_is_room) {
  std::signal(SIGXFSZ, SIG_IGN);
  for (rlim_t room = 1; room < 600; room += 7) {
    const temporary_folder folder;
    auto written = WriteLog(folder.data(), 2);
    auto storage = Open(folder.data());
    failure why;
    cr_assert(storage->Load(&why).has_value());
    storage_batch batch = Hard(2);
    batch.entries = {Command(3, 2, std::string(400, 'x'))};
    rlimit before{};
    cr_assert_eq(getrlimit(RLIMIT_FSIZE, &before), 0);
    rlimit small = before;
    small.rlim_cur = room;
    cr_assert_eq(setrlimit(RLIMIT_FSIZE, &small), 0);
    const bool fits = storage->Persist(batch, &why);
    const bool fits_again = fits || storage->Persist(batch, &why);
    cr_assert_eq(setrlimit(RLIMIT_FSIZE, &before), 0);
    cr_assert(fits == fits_again);
    cr_assert(fits || why.code == result_code::kDiskFull);
    cr_assert(fits || storage->Persist(batch, &why));
    written.push_back(batch.entries[0]);
    written.push_back(Command(4, 2, "after"));
    cr_assert(storage->Persist(Entries({written.back()}), &why));
    storage.reset();
    const auto state = Reopen(folder.data(), &why);
    cr_assert(state.has_value(), "%s", why.reason.c_str());
    cr_assert(state->entries == written && state->hard == *batch.hard);
    cr_assert_eq(state->repaired_bytes, 0u);
  }
}

Test(file_log_storage, a_folder_serves_one_process_at_a_time) {
  const temporary_folder folder;
  failure why;
  auto storage = Open(folder.data());
  cr_assert(storage->Load(&why).has_value());
  cr_assert(!Reopen(folder.data(), &why).has_value());
  cr_assert(why.code == result_code::kStorageUnreadable);
}

// Any run of batches and reopenings gives what a list in memory gives.
Test(file_log_storage, agrees_with_a_list_in_memory) {
  CheckProperty("files agree with a list", [] {
    const temporary_folder folder;
    std::vector<log_entry> expected;
    auto storage = Open(folder.data(), kSmallSegment);
    failure why;
    RC_ASSERT(storage->Load(&why).has_value());
    RC_ASSERT(storage->Persist(Hard(1), &why));
    const auto steps = *rc::gen::container<std::vector<std::uint32_t>>(
        rc::gen::inRange<std::uint32_t>(0, 1000));
    std::uint64_t term = 1;
    for (const std::uint32_t step : steps) {
      if (step % 10 == 0) {
        storage = Open(folder.data(), kSmallSegment);
        const auto state = storage->Load(&why);
        RC_ASSERT(state.has_value());
        RC_ASSERT(state->entries == expected);
        continue;
      }
      // A batch that may replace the newest entries.
      const std::size_t back = step % 10 == 1 ? 2 : 0;
      if (back > 0) ++term;
      expected.resize(expected.size() - std::min(back, expected.size()));
      std::vector<log_entry> batch;
      for (std::uint32_t i = 0; i < 1 + step % 4; ++i) {
        batch.push_back(
            Command(expected.size() + 1, term, std::string(step % 90, 'c')));
        expected.push_back(batch.back());
      }
      RC_ASSERT(storage->Persist(Entries(batch), &why));
    }
  });
}

}  // namespace
}  // namespace tamaracklatch::test
