// Receiving and sending of datagrams by Asio.
#include "daemon/udp_port.h"

#include <sys/socket.h>

#include <utility>

#include "transport/link.h"

namespace tamaracklatch {
namespace {

constexpr int kReceiveBufferBytes = 4 * 1024 * 1024;
constexpr int kMaxPacketsPerWakeup =
    64;  // before other work of the loop gets its turn

}  // namespace

udp_port::udp_port(asio::io_context* loop, handler on_datagram)
    : socket_(*loop), on_datagram_(std::move(on_datagram)) {}

bool udp_port::Start(const endpoint& where, port_sharing sharing,
                     failure* last_failure) {
  if (!Open(where, sharing, last_failure)) return false;
  Receive();
  return true;
}

bool udp_port::Open(const endpoint& where, port_sharing sharing,
                    failure* last_failure) {
  const auto udp = ToUdp(where);
  asio::error_code error;
  asio::error_code ignored;
  socket_.open(udp.protocol(), error);
  if (!error) {
    socket_.set_option(
        asio::socket_base::receive_buffer_size(kReceiveBufferBytes), ignored);
    const int on = 1;
    if (sharing == port_sharing::kShared) {
      setsockopt(socket_.native_handle(), SOL_SOCKET, SO_REUSEPORT, &on,
                 sizeof(on));
    }
    socket_.bind(udp, error);
  }
  if (!error) socket_.non_blocking(true, error);
  if (!error) return true;
  SetFailure(last_failure, result_code::kBindFailed,
             ToString(where) + "/udp: " + error.message());
  socket_.close(ignored);
  return false;
}

bool udp_port::Send(const endpoint& to, std::string_view bytes) {
  asio::error_code error;
  socket_.send_to(asio::buffer(bytes.data(), bytes.size()), ToUdp(to), 0,
                  error);
  return !error;
}

void udp_port::Receive() {
  socket_.async_wait(
      asio::ip::udp::socket::wait_read, [this](asio::error_code error) {
        if (error) return;
        for (int i = 0; i < kMaxPacketsPerWakeup && ReceiveOne(); ++i) {
        }
        Receive();
      });
}

bool udp_port::ReceiveOne() {
  asio::ip::udp::endpoint from;
  asio::error_code empty;
  const std::size_t size =
      socket_.receive_from(asio::buffer(buffer_), from, 0, empty);
  if (empty) return false;
  on_datagram_(FromUdp(from), {buffer_.data(), size});
  return true;
}

}  // namespace tamaracklatch
