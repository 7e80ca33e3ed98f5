// The log in files: writing, syncing, and the checks of a start.
#include "tamaracklatch/consensus/file_log_storage.h"

#include <dirent.h>
#include <fcntl.h>
#include <fmt/format.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cassert>
#include <cerrno>
#include <charconv>
#include <cstring>
#include <utility>

#include "consensus/configuration_wire.h"
#include "consensus/log_frame.h"
#include "tamaracklatch/core/hash.h"
#include "tamaracklatch/transport/wire.h"

namespace tamaracklatch {
namespace {

constexpr char kHardStateName[] = "hard-state";
constexpr char kSnapshotPrefix[] = "snapshot-";
constexpr char kSegmentPrefix[] = "log-";
constexpr char kTemporarySuffix[] = ".tmp";
constexpr std::size_t kChecksumBytes = 8;
constexpr std::size_t kMaxSnapshotFileBytes = 256 * 1024 * 1024;
constexpr wire_limits kSnapshotLimits{kMaxSnapshotFileBytes, 65536,
                                      kMaxSnapshotFileBytes, 8};

// A descriptor that closes itself.
class file_handle {
 public:
  explicit file_handle(int descriptor) : descriptor_(descriptor) {}
  ~file_handle() {
    if (descriptor_ >= 0) close(descriptor_);
  }
  file_handle(const file_handle&) = delete;
  file_handle& operator=(const file_handle&) = delete;
  int get() const { return descriptor_; }
  bool ok() const { return descriptor_ >= 0; }

 private:
  int descriptor_;
};

bool Fail(failure* last_failure, result_code code, const std::string& what,
          int error) {
  SetFailure(last_failure, code, fmt::format("{}: {}", what, strerror(error)));
  return false;
}

// A failed write or sync, told apart by whether the disk is full.
bool FailWrite(failure* last_failure, const std::string& what, int error) {
  const bool full = error == ENOSPC || error == EDQUOT || error == EFBIG;
  return Fail(last_failure,
              full ? result_code::kDiskFull : result_code::kSyncFailed, what,
              error);
}

bool WriteAll(int descriptor, std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t written = write(descriptor, bytes.data(), bytes.size());
    if (written < 0 && errno == EINTR) continue;
    if (written < 0) return false;
    bytes.remove_prefix(static_cast<std::size_t>(written));
  }
  return true;
}

bool ReadAll(const std::string& path, std::string* bytes) {
  const file_handle file(open(path.c_str(), O_RDONLY | O_CLOEXEC));
  struct stat status {};
  if (!file.ok() || fstat(file.get(), &status) != 0) return false;
  bytes->resize(static_cast<std::size_t>(status.st_size));
  std::size_t got = 0;
  while (got < bytes->size()) {
    const ssize_t count =
        read(file.get(), bytes->data() + got, bytes->size() - got);
    if (count < 0 && errno == EINTR) continue;
    if (count < 0) return false;
    if (count == 0) break;
    got += static_cast<std::size_t>(count);
  }
  bytes->resize(got);
  return true;
}

// A file that is gone already was removed by a try that failed later.
bool Remove(const std::string& path) {
  return unlink(path.c_str()) == 0 || errno == ENOENT;
}

std::string NumberedName(const char* prefix, std::uint64_t number) {
  return fmt::format("{}{:020}", prefix, number);
}

// The number of a file with this prefix, if it is one.
std::optional<std::uint64_t> NumberOf(const std::string& name,
                                      std::string_view prefix) {
  if (name.compare(0, prefix.size(), prefix) != 0) return std::nullopt;
  const char* begin = name.data() + prefix.size();
  const char* end = name.data() + name.size();
  std::uint64_t number = 0;
  const auto [stop, error] = std::from_chars(begin, end, number);
  if (error != std::errc() || stop != end || begin == end) return std::nullopt;
  return number;
}

std::vector<std::string> NamesIn(const std::string& folder) {
  std::vector<std::string> names;
  DIR* entries = opendir(folder.c_str());
  if (entries == nullptr) return names;
  // The stream is not shared between threads.
  for (const dirent* entry = readdir(entries); entry != nullptr;  // NOLINT
       entry = readdir(entries)) {                                // NOLINT
    names.emplace_back(entry->d_name);
  }
  closedir(entries);
  return names;
}

std::vector<std::uint64_t> NumbersIn(const std::string& folder,
                                     std::string_view prefix) {
  std::vector<std::uint64_t> numbers;
  for (const std::string& name : NamesIn(folder)) {
    const auto number = NumberOf(name, prefix);
    if (number) numbers.push_back(*number);
  }
  std::sort(numbers.begin(), numbers.end());
  return numbers;
}

// A whole file is its payload behind a checksum.
std::string WithChecksum(std::string_view payload) {
  const std::uint64_t checksum = HashText(payload);
  std::string bytes;
  for (std::size_t i = 0; i < kChecksumBytes; ++i) {
    bytes.push_back(static_cast<char>((checksum >> (8 * i)) & 0xffU));
  }
  bytes.append(payload);
  return bytes;
}

std::optional<std::string_view> CheckedPayload(std::string_view bytes) {
  if (bytes.size() < kChecksumBytes) return std::nullopt;
  const std::string_view payload = bytes.substr(kChecksumBytes);
  if (WithChecksum(payload).compare(0, kChecksumBytes, bytes, 0,
                                    kChecksumBytes) != 0) {
    return std::nullopt;
  }
  return payload;
}

std::string EncodeHardState(const hard_state& hard,
                            std::uint64_t newest_segment) {
  wire_writer writer;
  writer.Array(6);
  writer.Write(hard.disk);
  writer.Write(hard.cluster);
  writer.Write(hard.term);
  writer.Flag(hard.vote.has_value());
  WriteMember(&writer, hard.vote.value_or(member_id{}));
  writer.Number(newest_segment);
  return WithChecksum(writer.bytes());
}

bool DecodeHardState(std::string_view bytes, hard_state* hard,
                     std::uint64_t* newest_segment) {
  const auto payload = CheckedPayload(bytes);
  if (!payload) return false;
  wire_reader reader(*payload);
  reader.Array();
  reader.Read(&hard->disk);
  reader.Read(&hard->cluster);
  reader.Read(&hard->term);
  const bool voted = reader.Flag();
  const member_id vote = ReadMember(&reader);
  if (voted) hard->vote = vote;
  *newest_segment = reader.Number();
  return reader.ok() && hard->disk.value != 0;
}

std::string EncodeSnapshot(const log_snapshot& snapshot) {
  wire_writer writer;
  writer.Array(4);
  writer.Write(snapshot.index);
  writer.Write(snapshot.term);
  WriteConfiguration(&writer, snapshot.configuration);
  writer.Text(snapshot.data);
  return WithChecksum(writer.bytes());
}

bool DecodeSnapshot(std::string_view bytes, log_snapshot* snapshot) {
  const auto payload = CheckedPayload(bytes);
  if (!payload) return false;
  wire_reader reader(*payload, kSnapshotLimits);
  reader.Array();
  reader.Read(&snapshot->index);
  reader.Read(&snapshot->term);
  if (!ReadConfiguration(&reader, &snapshot->configuration)) return false;
  snapshot->data = reader.Text();
  return reader.ok();
}

bool Broken(failure* last_failure, const std::string& reason) {
  SetFailure(last_failure, result_code::kLogBroken, reason);
  return false;
}

// Adds a frame's entries to what was read before.
bool Replay(log_frame frame, std::vector<log_entry>* entries,
            failure* last_failure) {
  if (frame.reset) entries->clear();
  for (log_entry& entry : frame.entries) {
    if (!entries->empty()) {
      const std::uint64_t first = entries->front().index.value;
      const std::uint64_t next = first + entries->size();
      if (entry.index.value < first || entry.index.value > next) {
        return Broken(last_failure,
                      fmt::format("frame {}: entry {} does not follow {}",
                                  frame.sequence, entry.index.value, next - 1));
      }
      entries->resize(entry.index.value - first);
    }
    entries->push_back(std::move(entry));
  }
  return true;
}

}  // namespace

file_log_storage::file_log_storage(file_log_settings settings)
    : settings_(std::move(settings)) {
  assert(!settings_.folder.empty() && settings_.segment_bytes > 0);
}

file_log_storage::~file_log_storage() {
  if (log_ >= 0) close(log_);
  if (folder_ >= 0) close(folder_);
}

std::string file_log_storage::PathOf(const std::string& name) const {
  return settings_.folder + "/" + name;
}

// --- Start ---

std::optional<stored_state> file_log_storage::Load(failure* last_failure) {
  assert(folder_ < 0);
  stored_state state;
  const bool read = LockFolder(last_failure) &&
                    LoadHardState(&state, last_failure) &&
                    LoadSnapshot(&state, last_failure) &&
                    LoadSegments(&state, last_failure) &&
                    RemoveTemporary(last_failure) && SyncFolder(last_failure);
  if (!read) return std::nullopt;
  loaded_ = true;
  return state;
}

bool file_log_storage::LockFolder(failure* last_failure) {
  const std::string& path = settings_.folder;
  if (mkdir(path.c_str(), 0700) != 0 && errno != EEXIST) {
    return Fail(last_failure, result_code::kStorageUnreadable, path, errno);
  }
  folder_ = open(path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (folder_ < 0 || flock(folder_, LOCK_EX | LOCK_NB) != 0) {
    return Fail(last_failure, result_code::kStorageUnreadable, path, errno);
  }
  // The folder itself must survive too. One whose parent this process may not
  // even open was not made by it.
  const file_handle parent(
      open((path + "/..").c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
  const bool foreign = !parent.ok() && (errno == EACCES || errno == EPERM);
  if (foreign) return true;
  if (!parent.ok() || fsync(parent.get()) != 0) {
    return FailWrite(last_failure, path + "/..", errno);
  }
  return true;
}

bool file_log_storage::LoadHardState(stored_state* state,
                                     failure* last_failure) {
  const std::string path = PathOf(kHardStateName);
  std::string bytes;
  if (!ReadAll(path, &bytes)) {
    if (errno != ENOENT) {
      return Fail(last_failure, result_code::kStorageUnreadable, path, errno);
    }
    const bool blank = NumbersIn(settings_.folder, kSegmentPrefix).empty() &&
                       NumbersIn(settings_.folder, kSnapshotPrefix).empty();
    if (blank) return true;
    return Broken(last_failure, path + " is missing beside a log");
  }
  if (!DecodeHardState(bytes, &state->hard, &newest_segment_)) {
    return Broken(last_failure, path + " fails its checksum");
  }
  hard_ = state->hard;
  return true;
}

bool file_log_storage::LoadSnapshot(stored_state* state,
                                    failure* last_failure) {
  const auto indexes = NumbersIn(settings_.folder, kSnapshotPrefix);
  if (indexes.empty()) return true;
  // Older ones are left over from a crash before their removal.
  const std::string path =
      PathOf(NumberedName(kSnapshotPrefix, indexes.back()));
  std::string bytes;
  if (!ReadAll(path, &bytes)) {
    return Fail(last_failure, result_code::kStorageUnreadable, path, errno);
  }
  auto snapshot = std::make_shared<log_snapshot>();
  const bool whole = DecodeSnapshot(bytes, snapshot.get()) &&
                     snapshot->index.value == indexes.back();
  if (!whole) {
    SetFailure(last_failure, result_code::kSnapshotBroken,
               path + " fails its checksum");
    return false;
  }
  state->snapshot = std::move(snapshot);
  return true;
}

bool file_log_storage::LoadSegments(stored_state* state,
                                    failure* last_failure) {
  const auto sequences = NumbersIn(settings_.folder, kSegmentPrefix);
  const std::uint64_t last = sequences.empty() ? 0 : sequences.back();
  if (last < newest_segment_) {
    return Broken(
        last_failure,
        PathOf(NumberedName(kSegmentPrefix, newest_segment_)) + " is missing");
  }
  if (!sequences.empty()) next_sequence_ = sequences.front();
  for (const std::uint64_t sequence : sequences) {
    if (sequence != next_sequence_) {
      return Broken(
          last_failure,
          PathOf(NumberedName(kSegmentPrefix, next_sequence_)) + " is missing");
    }
    if (!LoadSegment(sequence, sequence == last, state, last_failure)) {
      return false;
    }
  }
  // The log must lead on from the snapshot.
  const std::uint64_t after =
      state->snapshot ? state->snapshot->index.value + 1 : 1;
  const auto& entries = state->entries;
  if (!entries.empty() && entries.front().index.value > after) {
    return Broken(last_failure,
                  fmt::format("the log begins at {}, after a gap from {}",
                              entries.front().index.value, after));
  }
  if (sequences.empty()) return true;
  const std::string path = PathOf(NumberedName(kSegmentPrefix, last));
  log_ = open(path.c_str(), O_WRONLY | O_APPEND | O_CLOEXEC);
  if (log_ < 0) {
    return Fail(last_failure, result_code::kStorageUnreadable, path, errno);
  }
  // A process that was killed may have written what it never synced.
  if (fsync(log_) != 0) return FailWrite(last_failure, path, errno);
  ++counts_.file_syncs;
  return true;
}

bool file_log_storage::LoadSegment(std::uint64_t first_sequence, bool last,
                                   stored_state* state, failure* last_failure) {
  const std::string path = PathOf(NumberedName(kSegmentPrefix, first_sequence));
  std::string bytes;
  if (!ReadAll(path, &bytes)) {
    return Fail(last_failure, result_code::kStorageUnreadable, path, errno);
  }
  segment loaded;
  loaded.first_sequence = first_sequence;
  std::size_t offset = 0;
  while (offset < bytes.size()) {
    frame_reading reading =
        ReadFrame(bytes, offset, next_sequence_, hard_.disk);
    if (reading.state == frame_state::kTorn && last) {
      state->repaired_bytes = bytes.size() - offset;
      if (!RepairTail(path, offset, last_failure)) return false;
      break;
    }
    if (reading.state != frame_state::kWhole) {
      const std::string reason = reading.reason.empty()
                                     ? "it is cut off before the log's end"
                                     : reading.reason;
      return Broken(last_failure, fmt::format("{}: the frame at byte {}: {}",
                                              path, offset, reason));
    }
    if (reading.frame.reset) {
      for (segment& older : segments_) older.highest = {};
    }
    for (const log_entry& entry : reading.frame.entries) {
      loaded.highest = std::max(loaded.highest, entry.index);
    }
    if (!Replay(std::move(reading.frame), &state->entries, last_failure)) {
      return false;
    }
    offset += reading.bytes;
    ++next_sequence_;
  }
  loaded.bytes = offset;
  segments_.push_back(loaded);
  return true;
}

// A write that was cut off leaves its temporary file.
bool file_log_storage::RemoveTemporary(failure* last_failure) {
  const std::string_view suffix = kTemporarySuffix;
  for (const std::string& name : NamesIn(settings_.folder)) {
    const bool temporary =
        name.size() > suffix.size() &&
        name.compare(name.size() - suffix.size(), suffix.size(), suffix) == 0;
    if (!temporary) continue;
    if (!Remove(PathOf(name))) {
      return FailWrite(last_failure, PathOf(name), errno);
    }
  }
  return true;
}

bool file_log_storage::RepairTail(const std::string& path,
                                  std::uint64_t good_bytes,
                                  failure* last_failure) {
  const file_handle file(open(path.c_str(), O_WRONLY | O_CLOEXEC));
  const bool cut = file.ok() &&
                   ftruncate(file.get(), static_cast<off_t>(good_bytes)) == 0 &&
                   fsync(file.get()) == 0;
  return cut || FailWrite(last_failure, path, errno);
}

// --- Writing ---

bool file_log_storage::Persist(const storage_batch& batch,
                               failure* last_failure) {
  assert(loaded_);
  if (batch.hard) {
    hard_ = *batch.hard;
    if (!WriteHardState(last_failure)) return false;
  }
  assert(hard_.disk.value != 0);
  if (batch.snapshot) {
    const std::string name =
        NumberedName(kSnapshotPrefix, batch.snapshot->index.value);
    const std::string bytes = EncodeSnapshot(*batch.snapshot);
    if (!WriteWholeFile(name, bytes, last_failure)) return false;
  }
  const bool frame_due = batch.reset_log || !batch.entries.empty();
  if (frame_due && !AppendFrame(batch, last_failure)) return false;
  if (batch.snapshot &&
      !RemoveOldSnapshots(batch.snapshot->index, last_failure)) {
    return false;
  }
  if (batch.compact_before &&
      !DropSegments(*batch.compact_before, last_failure)) {
    return false;
  }
  return true;
}

bool file_log_storage::WriteHardState(failure* last_failure) {
  return WriteWholeFile(kHardStateName, EncodeHardState(hard_, newest_segment_),
                        last_failure);
}

bool file_log_storage::WriteWholeFile(const std::string& name,
                                      const std::string& bytes,
                                      failure* last_failure) {
  const std::string path = PathOf(name);
  const std::string temporary = path + kTemporarySuffix;
  {
    const file_handle file(open(
        temporary.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600));
    const bool written =
        file.ok() && WriteAll(file.get(), bytes) && fsync(file.get()) == 0;
    if (!written) {
      FailWrite(last_failure, temporary, errno);
      unlink(temporary.c_str());  // it may be what fills the disk
      return false;
    }
  }
  ++counts_.file_syncs;
  counts_.bytes_written += bytes.size();
  if (rename(temporary.c_str(), path.c_str()) != 0) {
    return FailWrite(last_failure, path, errno);
  }
  return SyncFolder(last_failure);
}

bool file_log_storage::SyncFolder(failure* last_failure) {
  if (fsync(folder_) != 0) {
    return FailWrite(last_failure, settings_.folder, errno);
  }
  ++counts_.folder_syncs;
  return true;
}

bool file_log_storage::OpenSegment(failure* last_failure) {
  const std::string path = PathOf(NumberedName(kSegmentPrefix, next_sequence_));
  // One of this name is left by a try that failed, and holds nothing.
  const int opened = open(
      path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_APPEND | O_CLOEXEC, 0600);
  if (opened < 0) return FailWrite(last_failure, path, errno);
  if (fsync(opened) != 0) {
    FailWrite(last_failure, path, errno);
    close(opened);
    return false;
  }
  ++counts_.file_syncs;
  const std::uint64_t before = std::exchange(newest_segment_, next_sequence_);
  // Also syncs the folder. From now on a start misses the segment.
  if (!WriteHardState(last_failure)) {
    newest_segment_ = before;
    close(opened);
    return false;
  }
  if (log_ >= 0) close(log_);
  log_ = opened;
  segments_.push_back({next_sequence_, {}, 0});
  return true;
}

bool file_log_storage::AppendFrame(const storage_batch& batch,
                                   failure* last_failure) {
  const bool full =
      segments_.empty() || segments_.back().bytes >= settings_.segment_bytes;
  if (full && !OpenSegment(last_failure)) return false;
  const std::string bytes =
      EncodeFrame({next_sequence_, batch.reset_log, batch.entries}, hard_.disk);
  // After a failed try the frame is written again from its beginning: what a
  // failed sync left of it counts for nothing.
  const auto good = static_cast<off_t>(segments_.back().bytes);
  const bool repaired = !torn_ || ftruncate(log_, good) == 0;
  torn_ = true;
  if (!repaired || !WriteAll(log_, bytes) || fdatasync(log_) != 0) {
    return FailWrite(last_failure, settings_.folder, errno);
  }
  torn_ = false;
  ++counts_.file_syncs;
  counts_.bytes_written += bytes.size();
  ++next_sequence_;
  segment& current = segments_.back();
  current.bytes += bytes.size();
  if (batch.reset_log) {
    for (segment& older : segments_) older.highest = {};
  }
  for (const log_entry& entry : batch.entries) {
    current.highest = std::max(current.highest, entry.index);
  }
  return true;
}

bool file_log_storage::DropSegments(revision before, failure* last_failure) {
  // Oldest first, each removal durable before the next, so that what stays has
  // no gap.
  while (segments_.size() > 1 && segments_.front().highest < before) {
    const std::string path =
        PathOf(NumberedName(kSegmentPrefix, segments_.front().first_sequence));
    if (!Remove(path)) return FailWrite(last_failure, path, errno);
    if (!SyncFolder(last_failure)) return false;
    segments_.pop_front();
  }
  return true;
}

bool file_log_storage::RemoveOldSnapshots(revision newest,
                                          failure* last_failure) {
  for (const std::uint64_t index :
       NumbersIn(settings_.folder, kSnapshotPrefix)) {
    if (index >= newest.value) continue;
    const std::string path = PathOf(NumberedName(kSnapshotPrefix, index));
    if (!Remove(path)) return FailWrite(last_failure, path, errno);
  }
  return true;
}

}  // namespace tamaracklatch
