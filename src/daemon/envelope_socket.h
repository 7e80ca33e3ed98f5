// The UDP port on which a daemon exchanges envelopes with others, and the key
// that authenticates them.
#pragma once

#include <asio.hpp>
#include <functional>
#include <string>

#include "daemon/metrics.h"
#include "daemon/udp_port.h"
#include "tamaracklatch/core/endpoint.h"
#include "tamaracklatch/flow/envelope.h"
#include "tamaracklatch/transport/link_codec.h"

namespace tamaracklatch {

// The key of envelopes, derived from the key of links.
envelope_key DeriveEnvelopeKey(const link_key& key);

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
  void OnBytes(std::string_view bytes);

  udp_port port_;
  envelope_key key_;
  metrics* counts_;
  handler on_envelope_;
  std::string encoded_;
};

}  // namespace tamaracklatch
