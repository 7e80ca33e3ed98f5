// A UDP socket on the event loop: hands out what arrives, a bounded number of
// datagrams a turn.
#pragma once

#include <array>
#include <asio.hpp>
#include <cstdint>
#include <functional>
#include <string_view>

#include "tamaracklatch/core/endpoint.h"

namespace tamaracklatch {

// Whether other processes of this VM may open the same endpoint; the system
// then spreads the flows over them. Where it can't, the first process has the
// endpoint alone.
enum class port_sharing : std::uint8_t { kAlone, kShared };

class udp_port {
 public:
  using handler =
      std::function<void(const endpoint& from, std::string_view bytes)>;

  udp_port(asio::io_context* loop, handler on_datagram);

  // Opens the endpoint and starts to receive. On failure returns false and says
  // why.
  bool Start(const endpoint& where, port_sharing sharing,
             failure* last_failure);

  // Returns false where the socket did not take the datagram, as with a full
  // send buffer.
  bool Send(const endpoint& to, std::string_view bytes);

 private:
  bool Open(const endpoint& where, port_sharing sharing, failure* last_failure);
  void Receive();
  bool ReceiveOne();

  asio::ip::udp::socket socket_;
  handler on_datagram_;
  std::array<char, 65536> buffer_{};
};

}  // namespace tamaracklatch
