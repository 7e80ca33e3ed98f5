// One HTTP/1.1 exchange with a target or another daemon on the event loop. The
// answer comes in pieces; one that breaks off is told as failed.
#pragma once

#include <asio.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "daemon/http_server.h"
#include "tamaracklatch/core/endpoint.h"

namespace tamaracklatch {

// The head of an answer.
struct upstream_head {
  unsigned status = 0;
  std::vector<http_field> fields;
  std::optional<std::size_t> length;  // of the body, where it is told
};

// What to do with the answer. Each is called on the event loop; after Cancel()
// none is.
struct upstream_handlers {
  std::function<void(const upstream_head&)> on_began;
  std::function<void(std::string)> on_bytes;
  std::function<void()> on_ended;
  // `sent` tells whether the peer may have got the request.
  std::function<void(bool sent)> on_failed;
};

class upstream_exchange {
 public:
  // Sends the request at once. `target` is its path and query.
  upstream_exchange(asio::io_context* loop, const endpoint& where,
                    const http_request& request, const std::string& target,
                    upstream_handlers handlers);
  ~upstream_exchange();
  upstream_exchange(const upstream_exchange&) = delete;
  upstream_exchange& operator=(const upstream_exchange&) = delete;

  // Stops and goes on reading.
  void Pause();
  void Resume();
  // Closes the connection.
  void Cancel();

 private:
  class connection;
  std::shared_ptr<connection> connection_;
};

}  // namespace tamaracklatch
