// One UDP socket a flow.
#include "daemon/target_datagrams.h"

#include "transport/link.h"

namespace tamaracklatch {

struct target_datagrams::flow_socket {
  flow_socket(asio::io_context* loop, const flow_key& of)
      : socket(*loop), key(of) {}

  asio::ip::udp::socket socket;
  flow_key key;
};

target_datagrams::target_datagrams(asio::io_context* loop,
                                   const endpoint& target,
                                   answer_handler on_answer)
    : loop_(loop), target_(target), on_answer_(std::move(on_answer)) {}

bool target_datagrams::Deliver(const flow_key& key, std::string_view bytes) {
  std::shared_ptr<flow_socket>& flow = sockets_[key];
  if (!flow) {
    auto opened = std::make_shared<flow_socket>(loop_, key);
    asio::error_code error;
    opened->socket.connect(ToUdp(target_), error);
    if (!error) opened->socket.non_blocking(true, error);
    if (error) {
      sockets_.erase(key);
      return false;
    }
    flow = std::move(opened);
    Receive(flow);
  }
  asio::error_code ignored;
  flow->socket.send(asio::buffer(bytes.data(), bytes.size()), 0, ignored);
  return true;
}

void target_datagrams::Receive(const std::shared_ptr<flow_socket>& flow) {
  flow->socket.async_wait(
      asio::ip::udp::socket::wait_read, [this, flow](asio::error_code error) {
        if (error) return;
        asio::error_code empty;
        const std::size_t size =
            flow->socket.receive(asio::buffer(buffer_), 0, empty);
        if (!empty) on_answer_(flow->key, {buffer_.data(), size});
        if (flow->socket.is_open()) Receive(flow);
      });
}

void target_datagrams::Close(const flow_key& key) {
  const auto found = sockets_.find(key);
  if (found == sockets_.end()) return;
  asio::error_code ignored;
  found->second->socket.close(ignored);
  sockets_.erase(found);
}

}  // namespace tamaracklatch
