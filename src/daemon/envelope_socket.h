// The UDP socket on which a daemon exchanges envelopes with others, and the key
// that authenticates them.
#pragma once

#include <array>
#include <asio.hpp>
#include <functional>
#include <string>

#include "daemon/metrics.h"
#include "tamaracklatch/core/endpoint.h"
#include "tamaracklatch/flow/envelope.h"
#include "tamaracklatch/transport/link_codec.h"

namespace tamaracklatch {

// The key of envelopes, derived from the key of links.
envelope_key DeriveEnvelopeKey(const link_key& key);

// Opens a UDP socket at an endpoint, shared with other processes of this VM
// where `shared` is true and the system allows it. On failure returns false and
// says why.
bool OpenUdp(asio::ip::udp::socket* socket, const endpoint& where, bool shared,
             failure* last_failure);

class envelope_socket {
 public:
  using handler = std::function<void(const envelope&)>;

  envelope_socket(asio::io_context* loop, const link_key& key, metrics* counts,
                  handler on_envelope);

  // Starts to receive. On failure returns false and says why.
  bool Start(const endpoint& where, failure* last_failure);

  // Encodes and sends; a full send buffer drops the envelope, as a network may,
  // and counts it.
  void Send(const endpoint& to, const envelope& what);

  const envelope_key& key() const { return key_; }

 private:
  void Receive();

  asio::ip::udp::socket socket_;
  envelope_key key_;
  metrics* counts_;
  handler on_envelope_;
  std::array<char, 65536> buffer_{};
  asio::ip::udp::endpoint from_;
  std::string encoded_;
};

}  // namespace tamaracklatch
