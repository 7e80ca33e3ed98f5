// Ways of writing that do not wait, by the kind of the descriptor.
#include "daemon/log_output.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <limits.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cassert>
#include <cerrno>

namespace tamaracklatch {

log_output::log_output(const log_output_settings& settings)
    : settings_(settings) {
  assert(settings.write_bytes <= settings.buffer_bytes);
  struct stat kind {};
  if (fstat(settings.descriptor, &kind) != 0) {
    gone_ = true;
  } else if (S_ISSOCK(kind.st_mode)) {
    target_ = target::kSocket;
  } else if (S_ISFIFO(kind.st_mode) || S_ISCHR(kind.st_mode)) {
    // O_NONBLOCK belongs to the open description, which other processes may
    // share, so a description of its own is opened.
    const std::string path =
        fmt::format("/proc/self/fd/{}", settings.descriptor);
    own_ = open(path.c_str(), O_WRONLY | O_NONBLOCK | O_NOCTTY | O_CLOEXEC);
    target_ = own_ >= 0 ? target::kNonblocking : target::kPolled;
  }
}

log_output::~log_output() {
  Flush();
  if (own_ >= 0) close(own_);
}

bool log_output::Add(std::string_view line) {
  if (gone_ || buffer_.size() + line.size() + 1 > settings_.buffer_bytes)
    return false;
  buffer_ += line;
  buffer_ += '\n';
  if (!stuck_ && buffer_.size() >= settings_.write_bytes) Flush();
  return true;
}

bool log_output::Flush() {
  std::size_t written = 0;
  stuck_ = false;
  while (written < buffer_.size() && !stuck_ && !gone_) {
    const std::int64_t taken = Write(std::string_view(buffer_).substr(written));
    if (taken > 0) {
      written += static_cast<std::size_t>(taken);
    } else if (taken < 0 && errno != EINTR) {
      stuck_ = true;
      gone_ = errno == EPIPE || errno == EBADF || errno == ECONNRESET ||
              errno == ENOTCONN;
    }
  }
  buffer_.erase(0, gone_ ? buffer_.size() : written);
  return buffer_.empty();
}

// One call to the system: how many bytes were taken, or -1 and errno.
std::int64_t log_output::Write(std::string_view bytes) {
  ++writes_;
  switch (target_) {
    case target::kFile:
      return write(settings_.descriptor, bytes.data(), bytes.size());
    case target::kNonblocking:
      return write(own_, bytes.data(), bytes.size());
    case target::kSocket:
      return send(settings_.descriptor, bytes.data(), bytes.size(),
                  MSG_DONTWAIT | MSG_NOSIGNAL);
    case target::kPolled:
      break;
  }
  // A pipe that polls as writable takes this much at once.
  pollfd state{settings_.descriptor, POLLOUT, 0};
  if (poll(&state, 1, 0) != 1 || (state.revents & POLLOUT) == 0) {
    errno = EAGAIN;
    return -1;
  }
  return write(settings_.descriptor, bytes.data(),
               std::min<std::size_t>(bytes.size(), PIPE_BUF));
}

}  // namespace tamaracklatch
