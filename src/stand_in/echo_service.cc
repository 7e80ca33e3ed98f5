// Sockets of the echo service: one loop for datagrams, one session a
// connection, each with one write in flight so that a slow reader is not
// buffered for.
#include "stand_in/echo_service.h"

#include <array>
#include <asio.hpp>
#include <cassert>
#include <string>
#include <utility>

namespace tamaracklatch {
namespace {

constexpr std::size_t kMaxDatagram = 64 * 1024;  // bytes
constexpr std::size_t kMaxLine = 64 * 1024;      // bytes

asio::ip::address ToAsio(const ip_address& address) {
  if (!address.IsV4()) return asio::ip::address_v6(address.bytes);
  asio::ip::address_v4::bytes_type last{};
  for (std::size_t i = 0; i < last.size(); ++i) {
    last[i] = address.bytes[12 + i];
  }
  return asio::ip::address_v4(last);
}

// One connection: reads a line, answers it, reads the next.
class echo_session : public std::enable_shared_from_this<echo_session> {
 public:
  echo_session(asio::ip::tcp::socket socket, std::string prefix)
      : socket_(std::move(socket)), prefix_(std::move(prefix)) {}

  void ReadLine() {
    asio::async_read_until(socket_, asio::dynamic_buffer(input_, kMaxLine),
                           '\n',
                           [self = shared_from_this()](
                               const std::error_code& error, std::size_t size) {
                             if (!error) self->Answer(size);
                           });
  }

 private:
  void Answer(std::size_t size) {
    output_ = prefix_ + input_.substr(0, size);
    input_.erase(0, size);
    asio::async_write(
        socket_, asio::buffer(output_),
        [self = shared_from_this()](const std::error_code& error, std::size_t) {
          if (!error) self->ReadLine();
        });
  }

  asio::ip::tcp::socket socket_;
  std::string prefix_;
  std::string input_;
  std::string output_;
};

}  // namespace

struct echo_service::state {
  state(asio::io_context* event_loop, echo_settings chosen)
      : loop(*event_loop),
        settings(std::move(chosen)),
        prefix(settings.name + ":" + settings.service + ":"),
        udp(loop),
        acceptor(loop) {}

  void ReadDatagram() {
    udp.async_receive_from(
        asio::buffer(datagram), sender,
        [this](const std::error_code& error, std::size_t size) {
          if (error == asio::error::operation_aborted) return;
          if (!error) AnswerDatagram(size);
          ReadDatagram();
        });
  }

  void AnswerDatagram(std::size_t size) {
    const std::string answer = prefix + std::string(datagram.data(), size);
    std::error_code ignored;
    udp.send_to(asio::buffer(answer), sender, 0, ignored);
  }

  void Accept() {
    acceptor.async_accept([this](const std::error_code& error,
                                 asio::ip::tcp::socket socket) {
      if (error == asio::error::operation_aborted) return;
      if (!error) {
        std::make_shared<echo_session>(std::move(socket), prefix)->ReadLine();
      }
      Accept();
    });
  }

  asio::io_context& loop;
  echo_settings settings;
  std::string prefix;
  asio::ip::udp::socket udp;
  asio::ip::tcp::acceptor acceptor;
  asio::ip::udp::endpoint sender;
  std::array<char, kMaxDatagram> datagram{};
};

echo_service::echo_service(asio::io_context* loop, echo_settings settings)
    : state_(std::make_unique<state>(loop, std::move(settings))) {}

echo_service::~echo_service() = default;

bool echo_service::Start(failure* last_failure) {
  try {
    if (const auto& where = state_->settings.udp) {
      const asio::ip::udp::endpoint local(ToAsio(where->address), where->port);
      state_->udp = asio::ip::udp::socket(state_->loop, local);
      state_->ReadDatagram();
    }
    if (const auto& where = state_->settings.tcp) {
      const asio::ip::tcp::endpoint local(ToAsio(where->address), where->port);
      state_->acceptor = asio::ip::tcp::acceptor(state_->loop, local);
      state_->Accept();
    }
  } catch (const std::system_error& error) {
    SetFailure(last_failure, result_code::kBindFailed, error.what());
    return false;
  }
  return true;
}

void echo_service::Drain() {
  std::error_code ignored;
  state_->acceptor.close(ignored);
}

}  // namespace tamaracklatch
