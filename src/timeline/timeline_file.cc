// Appending and rotating of the time line's file.
#include "tamaracklatch/timeline/timeline_file.h"

#include <fmt/format.h>

#include <cassert>

namespace tamaracklatch {
namespace {

// Whether the last byte of the file is something else than an end of line, as
// after a crash in the middle of a line.
bool EndsTorn(std::FILE* file, long size) {
  if (size == 0) return false;
  std::fseek(file, size - 1, SEEK_SET);
  const bool torn = std::fgetc(file) != '\n';
  std::fseek(file, 0, SEEK_END);
  return torn;
}

}  // namespace

timeline_file::timeline_file(timeline_file_settings settings)
    : settings_(std::move(settings)) {
  assert(!settings_.path.empty() && settings_.max_bytes > 0);
}

bool timeline_file::Open() {
  file_.reset(std::fopen(settings_.path.c_str(), "a+b"));
  if (!file_) return false;
  std::fseek(file_.get(), 0, SEEK_END);
  const long size = std::ftell(file_.get());
  bytes_ = size > 0 ? static_cast<std::uint64_t>(size) : 0;
  // A line of its own for what comes next.
  if (EndsTorn(file_.get(), size)) std::fputc('\n', file_.get());
  return true;
}

void timeline_file::Rotate() {
  file_.reset();
  const auto numbered = [&](unsigned number) {
    return number == 0 ? settings_.path
                       : fmt::format("{}.{}", settings_.path, number);
  };
  if (settings_.kept_files == 0) std::remove(settings_.path.c_str());
  for (unsigned i = settings_.kept_files; i > 0; --i)
    std::rename(numbered(i - 1).c_str(), numbered(i).c_str());
}

bool timeline_file::WriteLine(const std::string& line) {
  if (!file_ && !Open()) return false;
  if (bytes_ > 0 && bytes_ + line.size() > settings_.max_bytes) {
    Rotate();
    if (!Open()) return false;
  }
  const std::size_t done =
      std::fwrite(line.data(), 1, line.size(), file_.get());
  bytes_ += done;
  return done == line.size();
}

void timeline_file::Append(const std::vector<timeline_entry>& entries) {
  for (const timeline_entry& entry : entries) {
    if (WriteLine(ToJsonLine(entry) + '\n')) {
      ++written_;
    } else {
      ++lost_;
    }
  }
  // A failed flush leaves the number of lines lost unknown; the file is opened
  // anew for the next ones.
  if (file_ && std::fflush(file_.get()) != 0) file_.reset();
}

}  // namespace tamaracklatch
