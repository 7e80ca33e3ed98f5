// The log in files: loading and checking, writing and syncing.
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

// Closes its descriptor when it goes out of scope.
class scoped_descriptor {
 public:
  explicit scoped_descriptor(int descriptor) : descriptor_(descriptor) {}
  ~scoped_descriptor() {
    if (descriptor_ >= 0) close(descriptor_);
  }
  scoped_descriptor(const scoped_descriptor&) = delete;
  scoped_descriptor& operator=(const scoped_descriptor&) = delete;
  int get() const { return descriptor_; }
  bool ok() const { return descriptor_ >= 0; }

 private:
  int descriptor_;
};

// Reports a failed system call on `path`; `error` is its errno. Returns false.
bool Fail(failure* last_failure, result_code code, const std::string& path,
          int error) {
  SetFailure(last_failure, code, fmt::format("{}: {}", path, strerror(error)));
  return false;
}

// Reports a failed write or sync: kDiskFull for lack of space or quota or at
// the file size limit, else kSyncFailed. Returns false.
bool FailWrite(failure* last_failure, const std::string& path, int error) {
  const bool full = error == ENOSPC || error == EDQUOT || error == EFBIG;
  return Fail(last_failure,
              full ? result_code::kDiskFull : result_code::kSyncFailed, path,
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
  const scoped_descriptor file(open(path.c_str(), O_RDONLY | O_CLOEXEC));
  struct stat status {};
  if (!file.ok() || fstat(file.get(), &status) != 0) return false;
  bytes->resize(static_cast<std::size_t>(status.st_size));
  std::size_t bytes_read = 0;
  while (bytes_read < bytes->size()) {
    const ssize_t count = read(file.get(), bytes->data() + bytes_read,
                               bytes->size() - bytes_read);
    if (count < 0 && errno == EINTR) continue;
    if (count < 0) return false;
    if (count == 0) break;
    bytes_read += static_cast<std::size_t>(count);
  }
  bytes->resize(bytes_read);
  return true;
}

// A missing file counts as removed: an earlier attempt of the same batch
// removed it and failed afterwards.
bool RemoveIfPresent(const std::string& path) {
  return unlink(path.c_str()) == 0 || errno == ENOENT;
}

std::string NumberedName(const char* prefix, std::uint64_t number) {
  return fmt::format("{}{:020}", prefix, number);
}

// The number in a file's name, or nothing if the name is not `prefix` and a
// number.
std::optional<std::uint64_t> ParseNumberedName(const std::string& name,
                                               std::string_view prefix) {
  if (name.compare(0, prefix.size(), prefix) != 0) return std::nullopt;
  const char* begin = name.data() + prefix.size();
  const char* end = name.data() + name.size();
  std::uint64_t number = 0;
  const auto [stop, error] = std::from_chars(begin, end, number);
  if (error != std::errc() || stop != end || begin == end) return std::nullopt;
  return number;
}

std::vector<std::string> ListFileNames(const std::string& folder) {
  std::vector<std::string> names;
  DIR* entries = opendir(folder.c_str());
  if (entries == nullptr) return names;
  // readdir() is safe here: no other thread uses the stream.
  for (const dirent* entry = readdir(entries); entry != nullptr;  // NOLINT
       entry = readdir(entries)) {                                // NOLINT
    names.emplace_back(entry->d_name);
  }
  closedir(entries);
  return names;
}

std::vector<std::uint64_t> ListFileNumbers(const std::string& folder,
                                           std::string_view prefix) {
  std::vector<std::uint64_t> numbers;
  for (const std::string& name : ListFileNames(folder)) {
    const auto number = ParseNumberedName(name, prefix);
    if (number) numbers.push_back(*number);
  }
  std::sort(numbers.begin(), numbers.end());
  return numbers;
}

// The layout of the hard-state and snapshot files: a checksum (8 bytes, little
// endian), then the payload.
std::string PrependChecksum(std::string_view payload) {
  const std::uint64_t checksum = HashText(payload);
  std::string bytes;
  for (std::size_t i = 0; i < kChecksumBytes; ++i) {
    bytes.push_back(static_cast<char>((checksum >> (8 * i)) & 0xffU));
  }
  bytes.append(payload);
  return bytes;
}

// The payload of such a file, or nothing if its checksum does not match.
std::optional<std::string_view> VerifiedPayload(std::string_view bytes) {
  if (bytes.size() < kChecksumBytes) return std::nullopt;
  const std::string_view payload = bytes.substr(kChecksumBytes);
  if (PrependChecksum(payload).compare(0, kChecksumBytes, bytes, 0,
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
  return PrependChecksum(writer.bytes());
}

bool DecodeHardState(std::string_view bytes, hard_state* hard,
                     std::uint64_t* newest_segment) {
  const auto payload = VerifiedPayload(bytes);
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
  return PrependChecksum(writer.bytes());
}

bool DecodeSnapshot(std::string_view bytes, log_snapshot* snapshot) {
  const auto payload = VerifiedPayload(bytes);
  if (!payload) return false;
  wire_reader reader(*payload, kSnapshotLimits);
  reader.Array();
  reader.Read(&snapshot->index);
  reader.Read(&snapshot->term);
  if (!ReadConfiguration(&reader, &snapshot->configuration)) return false;
  snapshot->data = reader.Text();
  return reader.ok();
}

bool FailCorrupt(failure* last_failure, const std::string& reason) {
  SetFailure(last_failure, result_code::kLogBroken, reason);
  return false;
}

}  // namespace

// The entries of the frames read so far.
struct file_log_storage::replayed_log {
  std::vector<log_entry> entries;
  // Whether earlier frames were in a segment that was removed, and no reset
  // came since. Then `entries` may begin with a replaced entry, whose
  // replacement may begin at a lower index.
  bool begins_after_removed = false;

  // Applies the next frame: an entry replaces the one of its index and removes
  // all after it. Fails if an index leaves a gap or precedes the beginning.
  bool Apply(log_frame frame, failure* last_failure);
};

bool file_log_storage::replayed_log::Apply(log_frame frame,
                                           failure* last_failure) {
  if (frame.reset) {
    entries.clear();
    begins_after_removed = false;
  }
  for (log_entry& entry : frame.entries) {
    if (!entries.empty()) {
      const std::uint64_t first = entries.front().index.value;
      const std::uint64_t next = first + entries.size();
      const std::uint64_t lowest = begins_after_removed ? 1 : first;
      if (entry.index.value < lowest || entry.index.value > next) {
        return FailCorrupt(
            last_failure,
            fmt::format("frame {}: entry {} does not follow entry {}",
                        frame.sequence, entry.index.value, next - 1));
      }
      entries.resize(std::max(entry.index.value, first) - first);
    }
    entries.push_back(std::move(entry));
  }
  return true;
}

file_log_storage::file_log_storage(file_log_settings settings)
    : settings_(std::move(settings)) {
  assert(!settings_.folder.empty() && settings_.segment_bytes > 0);
}

file_log_storage::~file_log_storage() {
  if (segment_descriptor_ >= 0) close(segment_descriptor_);
  if (folder_descriptor_ >= 0) close(folder_descriptor_);
}

std::string file_log_storage::PathOf(const std::string& name) const {
  return settings_.folder + "/" + name;
}

// --- Loading ---

std::optional<stored_state> file_log_storage::Load(failure* last_failure) {
  assert(folder_descriptor_ < 0);
  stored_state state;
  const bool success =
      LockFolder(last_failure) && LoadHardState(&state, last_failure) &&
      LoadSnapshot(&state, last_failure) &&
      LoadSegments(&state, last_failure) &&
      RemoveTemporaryFiles(last_failure) && SyncFolder(last_failure);
  if (!success) return std::nullopt;
  loaded_ = true;
  return state;
}

bool file_log_storage::LockFolder(failure* last_failure) {
  const std::string& path = settings_.folder;
  if (mkdir(path.c_str(), 0700) != 0 && errno != EEXIST) {
    return Fail(last_failure, result_code::kStorageUnreadable, path, errno);
  }
  folder_descriptor_ = open(path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (folder_descriptor_ < 0 ||
      flock(folder_descriptor_, LOCK_EX | LOCK_NB) != 0) {
    return Fail(last_failure, result_code::kStorageUnreadable, path, errno);
  }
  // The folder's entry in its parent must survive a loss of power too. If this
  // process has no permission to open the parent, it can't have created the
  // folder, and there is nothing to sync.
  const scoped_descriptor parent(
      open((path + "/..").c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
  const bool parent_inaccessible =
      !parent.ok() && (errno == EACCES || errno == EPERM);
  if (parent_inaccessible) return true;
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
    const bool blank =
        ListFileNumbers(settings_.folder, kSegmentPrefix).empty() &&
        ListFileNumbers(settings_.folder, kSnapshotPrefix).empty();
    if (blank) return true;
    return FailCorrupt(
        last_failure,
        path + " is missing, but the folder holds a log or a snapshot");
  }
  if (!DecodeHardState(bytes, &state->hard, &newest_segment_)) {
    return FailCorrupt(last_failure,
                       path + ": checksum mismatch or malformed contents");
  }
  hard_state_ = state->hard;
  return true;
}

bool file_log_storage::LoadSnapshot(stored_state* state,
                                    failure* last_failure) {
  const auto indexes = ListFileNumbers(settings_.folder, kSnapshotPrefix);
  if (indexes.empty()) return true;
  // Older ones remain if a crash came before their removal.
  const std::string path =
      PathOf(NumberedName(kSnapshotPrefix, indexes.back()));
  std::string bytes;
  if (!ReadAll(path, &bytes)) {
    return Fail(last_failure, result_code::kStorageUnreadable, path, errno);
  }
  auto snapshot = std::make_shared<log_snapshot>();
  const bool valid = DecodeSnapshot(bytes, snapshot.get()) &&
                     snapshot->index.value == indexes.back();
  if (!valid) {
    SetFailure(last_failure, result_code::kSnapshotBroken,
               path + ": checksum mismatch or malformed contents");
    return false;
  }
  state->snapshot = std::move(snapshot);
  return true;
}

bool file_log_storage::LoadSegments(stored_state* state,
                                    failure* last_failure) {
  const auto sequences = ListFileNumbers(settings_.folder, kSegmentPrefix);
  const std::uint64_t last = sequences.empty() ? 0 : sequences.back();
  if (last < newest_segment_) {
    return FailCorrupt(
        last_failure,
        PathOf(NumberedName(kSegmentPrefix, newest_segment_)) + " is missing");
  }
  replayed_log log;
  if (!sequences.empty()) {
    next_sequence_ = sequences.front();
    log.begins_after_removed = next_sequence_ > 1;
  }
  for (const std::uint64_t sequence : sequences) {
    if (sequence != next_sequence_) {
      return FailCorrupt(
          last_failure,
          PathOf(NumberedName(kSegmentPrefix, next_sequence_)) + " is missing");
    }
    if (!LoadSegment(sequence, sequence == last, &log, state, last_failure)) {
      return false;
    }
  }
  // No entry may be missing between the snapshot and the log.
  const std::uint64_t expected_first =
      state->snapshot ? state->snapshot->index.value + 1 : 1;
  state->entries = std::move(log.entries);
  const auto& entries = state->entries;
  if (!entries.empty() && entries.front().index.value > expected_first) {
    return FailCorrupt(
        last_failure,
        fmt::format("the log begins at entry {}, expected at most {}",
                    entries.front().index.value, expected_first));
  }
  if (sequences.empty()) return true;
  const std::string path = PathOf(NumberedName(kSegmentPrefix, last));
  segment_descriptor_ = open(path.c_str(), O_WRONLY | O_APPEND | O_CLOEXEC);
  if (segment_descriptor_ < 0) {
    return Fail(last_failure, result_code::kStorageUnreadable, path, errno);
  }
  // A process that was killed may have written frames that it never synced; the
  // caller relies on what Load() returns.
  if (fsync(segment_descriptor_) != 0)
    return FailWrite(last_failure, path, errno);
  ++counts_.file_syncs;
  return true;
}

bool file_log_storage::LoadSegment(std::uint64_t first_sequence, bool last,
                                   replayed_log* log, stored_state* state,
                                   failure* last_failure) {
  const std::string path = PathOf(NumberedName(kSegmentPrefix, first_sequence));
  std::string bytes;
  if (!ReadAll(path, &bytes)) {
    return Fail(last_failure, result_code::kStorageUnreadable, path, errno);
  }
  segment loaded;
  loaded.first_sequence = first_sequence;
  std::size_t offset = 0;
  while (offset < bytes.size()) {
    frame_read_result result =
        ReadFrame(bytes, offset, next_sequence_, hard_state_.disk);
    if (result.state == frame_state::kTorn && last) {
      state->truncated_bytes = bytes.size() - offset;
      if (!TruncateTail(path, offset, last_failure)) return false;
      break;
    }
    if (result.state != frame_state::kIntact) {
      const std::string reason =
          result.reason.empty()
              ? "the frame is incomplete, but is not the log's last one"
              : result.reason;
      return FailCorrupt(last_failure, fmt::format("{}: frame at byte {}: {}",
                                                   path, offset, reason));
    }
    if (result.frame.reset) {
      for (segment& older : segments_) older.highest_index = {};
    }
    for (const log_entry& entry : result.frame.entries) {
      loaded.highest_index = std::max(loaded.highest_index, entry.index);
    }
    if (!log->Apply(std::move(result.frame), last_failure)) return false;
    offset += result.bytes;
    ++next_sequence_;
  }
  loaded.bytes = offset;
  segments_.push_back(loaded);
  return true;
}

// A crash during WriteWholeFile() leaves a temporary file.
bool file_log_storage::RemoveTemporaryFiles(failure* last_failure) {
  const std::string_view suffix = kTemporarySuffix;
  for (const std::string& name : ListFileNames(settings_.folder)) {
    const bool temporary =
        name.size() > suffix.size() &&
        name.compare(name.size() - suffix.size(), suffix.size(), suffix) == 0;
    if (!temporary) continue;
    if (!RemoveIfPresent(PathOf(name))) {
      return FailWrite(last_failure, PathOf(name), errno);
    }
  }
  return true;
}

bool file_log_storage::TruncateTail(const std::string& path,
                                    std::uint64_t intact_bytes,
                                    failure* last_failure) {
  const scoped_descriptor file(open(path.c_str(), O_WRONLY | O_CLOEXEC));
  const bool truncated =
      file.ok() &&
      ftruncate(file.get(), static_cast<off_t>(intact_bytes)) == 0 &&
      fsync(file.get()) == 0;
  return truncated || FailWrite(last_failure, path, errno);
}

// --- Writing ---

bool file_log_storage::Persist(const storage_batch& batch,
                               failure* last_failure) {
  assert(loaded_);
  if (batch.hard) {
    hard_state_ = *batch.hard;
    if (!WriteHardState(last_failure)) return false;
  }
  assert(hard_state_.disk.value != 0);
  if (batch.snapshot) {
    const std::string name =
        NumberedName(kSnapshotPrefix, batch.snapshot->index.value);
    const std::string bytes = EncodeSnapshot(*batch.snapshot);
    if (!WriteWholeFile(name, bytes, last_failure)) return false;
  }
  const bool has_log_changes = batch.reset_log || !batch.entries.empty();
  if (has_log_changes && !AppendFrame(batch, last_failure)) return false;
  if (batch.snapshot &&
      !RemoveOldSnapshots(batch.snapshot->index, last_failure)) {
    return false;
  }
  if (batch.compact_before &&
      !RemoveSegments(*batch.compact_before, last_failure)) {
    return false;
  }
  return true;
}

bool file_log_storage::WriteHardState(failure* last_failure) {
  return WriteWholeFile(kHardStateName,
                        EncodeHardState(hard_state_, newest_segment_),
                        last_failure);
}

bool file_log_storage::WriteWholeFile(const std::string& name,
                                      const std::string& bytes,
                                      failure* last_failure) {
  const std::string path = PathOf(name);
  const std::string temporary = path + kTemporarySuffix;
  {
    const scoped_descriptor file(open(
        temporary.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600));
    const bool written =
        file.ok() && WriteAll(file.get(), bytes) && fsync(file.get()) == 0;
    if (!written) {
      FailWrite(last_failure, temporary, errno);
      unlink(temporary.c_str());  // frees its space if the disk is full
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
  if (fsync(folder_descriptor_) != 0) {
    return FailWrite(last_failure, settings_.folder, errno);
  }
  ++counts_.folder_syncs;
  return true;
}

bool file_log_storage::OpenSegment(failure* last_failure) {
  const std::string path = PathOf(NumberedName(kSegmentPrefix, next_sequence_));
  // An existing file of this name is from an attempt that failed, and holds no
  // frame.
  const int opened = open(
      path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_APPEND | O_CLOEXEC, 0600);
  if (opened < 0) return FailWrite(last_failure, path, errno);
  if (fsync(opened) != 0) {
    FailWrite(last_failure, path, errno);
    close(opened);
    return false;
  }
  ++counts_.file_syncs;
  const std::uint64_t previous = std::exchange(newest_segment_, next_sequence_);
  // Also syncs the folder. From now on Load() fails if the segment is missing.
  if (!WriteHardState(last_failure)) {
    newest_segment_ = previous;
    close(opened);
    return false;
  }
  if (segment_descriptor_ >= 0) close(segment_descriptor_);
  segment_descriptor_ = opened;
  segments_.push_back({next_sequence_, {}, 0});
  return true;
}

bool file_log_storage::AppendFrame(const storage_batch& batch,
                                   failure* last_failure) {
  const bool full =
      segments_.empty() || segments_.back().bytes >= settings_.segment_bytes;
  if (full && !OpenSegment(last_failure)) return false;
  const std::string bytes = EncodeFrame(
      {next_sequence_, batch.reset_log, batch.entries}, hard_state_.disk);
  // After a failed attempt the frame is written again from its beginning,
  // because what a failed sync left of it on the disk is unknown.
  const auto intact_bytes = static_cast<off_t>(segments_.back().bytes);
  const bool tail_truncated =
      !tail_torn_ || ftruncate(segment_descriptor_, intact_bytes) == 0;
  tail_torn_ = true;
  if (!tail_truncated || !WriteAll(segment_descriptor_, bytes) ||
      fdatasync(segment_descriptor_) != 0) {
    return FailWrite(last_failure, settings_.folder, errno);
  }
  tail_torn_ = false;
  ++counts_.file_syncs;
  counts_.bytes_written += bytes.size();
  ++next_sequence_;
  segment& current = segments_.back();
  current.bytes += bytes.size();
  if (batch.reset_log) {
    for (segment& older : segments_) older.highest_index = {};
  }
  for (const log_entry& entry : batch.entries) {
    current.highest_index = std::max(current.highest_index, entry.index);
  }
  return true;
}

bool file_log_storage::RemoveSegments(revision before, failure* last_failure) {
  // Oldest first, each removal durable before the next, so that a crash leaves
  // no gap between the segments.
  while (segments_.size() > 1 && segments_.front().highest_index < before) {
    const std::string path =
        PathOf(NumberedName(kSegmentPrefix, segments_.front().first_sequence));
    if (!RemoveIfPresent(path)) return FailWrite(last_failure, path, errno);
    if (!SyncFolder(last_failure)) return false;
    segments_.pop_front();
  }
  return true;
}

bool file_log_storage::RemoveOldSnapshots(revision newest,
                                          failure* last_failure) {
  for (const std::uint64_t index :
       ListFileNumbers(settings_.folder, kSnapshotPrefix)) {
    if (index >= newest.value) continue;
    const std::string path = PathOf(NumberedName(kSnapshotPrefix, index));
    if (!RemoveIfPresent(path)) return FailWrite(last_failure, path, errno);
  }
  return true;
}

}  // namespace tamaracklatch
