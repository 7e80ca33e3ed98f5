// The connections that a balancer relays: finds the target daemon that takes
// each, then copies bytes both ways.
#pragma once

#include <asio.hpp>
#include <functional>
#include <memory>
#include <set>

#include "daemon/process_frame.h"
#include "daemon/stream_pair.h"
#include "tamaracklatch/flow/envelope.h"
#include "tamaracklatch/flow/flow_router.h"

namespace tamaracklatch {

// Decides the first target daemon for a connection; nothing where there is
// none.
using relay_router =
    std::function<std::optional<routed_packet>(const flow_key& key)>;

// The stuck_limit of a service's document.
using stuck_limits = std::function<std::chrono::seconds(service_id)>;

class balancer_relay {
 public:
  balancer_relay(process_frame* frame, const envelope_key& key,
                 relay_router route);
  ~balancer_relay();

  // Takes a caller's connection.
  void Accept(const flow_key& key, asio::ip::tcp::socket caller);

  // Closes the connections that made no progress for the limit of their
  // service; call about every second.
  void CloseStuck(const stuck_limits& limit_of);

  // Connections open or being opened.
  std::size_t count() const;

 private:
  class connection;
  struct shared;

  std::shared_ptr<shared> shared_;
};

}  // namespace tamaracklatch
