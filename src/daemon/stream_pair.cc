// Copying between two sockets. One read is written whole before the next, so
// that a slow end slows the other.
#include "daemon/stream_pair.h"

#include <linux/sockios.h>
#include <sys/ioctl.h>

#include <utility>

namespace tamaracklatch {
namespace {

// Bytes that the far end has not acknowledged.
std::uint64_t Unacknowledged(asio::ip::tcp::socket* socket) {
  int bytes = 0;
  if (ioctl(socket->native_handle(), SIOCOUTQ, &bytes) != 0) return 0;
  return static_cast<std::uint64_t>(bytes);
}

void ResetSocket(asio::ip::tcp::socket* socket) {
  asio::error_code ignored;
  socket->set_option(asio::socket_base::linger(true, 0), ignored);
  socket->close(ignored);
}

}  // namespace

stream_pair::stream_pair(asio::ip::tcp::socket left,
                         asio::ip::tcp::socket right,
                         std::function<void()> on_end)
    : left_(std::move(left)),
      right_(std::move(right)),
      on_end_(std::move(on_end)) {
  to_right_.from = &left_;
  to_right_.to = &right_;
  to_left_.from = &right_;
  to_left_.to = &left_;
}

void stream_pair::Start(std::string to_right, std::string to_left) {
  asio::error_code ignored;
  left_.set_option(asio::ip::tcp::no_delay(true), ignored);
  right_.set_option(asio::ip::tcp::no_delay(true), ignored);
  first_right_ = std::move(to_right);
  first_left_ = std::move(to_left);
  const auto start = [self = shared_from_this()](direction* way,
                                                 const std::string& first) {
    if (first.empty()) return self->Read(way);
    way->writing = true;
    asio::async_write(*way->to, asio::buffer(first),
                      [self, way](asio::error_code error, std::size_t size) {
                        way->writing = false;
                        way->written += size;
                        if (error) return self->Over(way, true);
                        self->Read(way);
                      });
  };
  start(&to_right_, first_right_);
  start(&to_left_, first_left_);
}

void stream_pair::Read(direction* way) {
  if (ended_) return;
  way->from->async_read_some(asio::buffer(way->buffer),
                             [self = shared_from_this(), way](
                                 asio::error_code error, std::size_t size) {
                               if (self->ended_) return;
                               if (error == asio::error::eof)
                                 return self->Over(way, false);
                               if (error) return self->Over(way, true);
                               self->Write(way, size);
                             });
}

void stream_pair::Write(direction* way, std::size_t size) {
  way->writing = true;
  asio::async_write(*way->to, asio::buffer(way->buffer, size),
                    [self = shared_from_this(), way](asio::error_code error,
                                                     std::size_t written) {
                      way->writing = false;
                      way->written += written;
                      if (self->ended_) return;
                      if (error) return self->Over(way, true);
                      self->Read(way);
                    });
}

void stream_pair::Over(direction* way, bool failed) {
  if (ended_) return;
  if (failed) return Reset();
  way->over = true;
  asio::error_code ignored;
  way->to->shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  if (to_right_.over && to_left_.over) End();
}

void stream_pair::Reset() {
  if (ended_) return;
  ResetSocket(&left_);
  ResetSocket(&right_);
  End();
}

void stream_pair::End() {
  ended_ = true;
  asio::error_code ignored;
  left_.close(ignored);
  right_.close(ignored);
  on_end_();
}

stream_progress stream_pair::Progress(direction* way) {
  const std::uint64_t waiting = Unacknowledged(way->to);
  const std::uint64_t taken = way->written - std::min(way->written, waiting);
  stream_progress result;
  result.outstanding = waiting > 0 || way->writing;
  result.advanced = taken > way->taken_before;
  way->taken_before = taken;
  return result;
}

}  // namespace tamaracklatch
