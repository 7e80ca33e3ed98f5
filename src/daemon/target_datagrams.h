// The datagrams between a target daemon and the target beside it: one connected
// UDP socket a flow, so that an answer tells its flow by the socket on which it
// comes.
#pragma once

#include <array>
#include <asio.hpp>
#include <functional>
#include <memory>
#include <string_view>
#include <unordered_map>

#include "tamaracklatch/core/endpoint.h"

namespace tamaracklatch {

// Hash of flow keys for unordered containers.
struct flow_key_hash {
  std::size_t operator()(const flow_key& key) const noexcept {
    return static_cast<std::size_t>(HashFlow(key));
  }
};

class target_datagrams {
 public:
  using answer_handler =
      std::function<void(const flow_key& key, std::string_view bytes)>;

  target_datagrams(asio::io_context* loop, const endpoint& target,
                   answer_handler on_answer);

  // Sends a datagram of a flow to the target. Returns false where no socket
  // could be opened for the flow.
  bool Deliver(const flow_key& key, std::string_view bytes);

  // Forgets a flow.
  void Close(const flow_key& key);

  std::size_t size() const { return sockets_.size(); }

 private:
  struct flow_socket;

  void Receive(const std::shared_ptr<flow_socket>& flow);

  asio::io_context* loop_;
  endpoint target_;
  answer_handler on_answer_;
  std::unordered_map<flow_key, std::shared_ptr<flow_socket>, flow_key_hash>
      sockets_;
  std::array<char, 65536> buffer_{};
};

}  // namespace tamaracklatch
