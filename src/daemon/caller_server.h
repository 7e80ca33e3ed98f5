// The HTTP/1.1 server of the request plane, by RESTinio: answers later, whole
// or as a stream, and tells when a caller leaves.
#pragma once

#include <asio.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "daemon/http_server.h"
#include "tamaracklatch/core/endpoint.h"

namespace tamaracklatch {

// One request that waits for its answer. Answer it once: Whole(), or Begin(),
// any number of Bytes() and End() or Abort(). Dropped without an answer, its
// connection is closed after the longest time of a request.
class caller_exchange {
 public:
  virtual ~caller_exchange() = default;
  virtual void Whole(unsigned status, const std::vector<http_field>& fields,
                     std::string body) = 0;
  // `length` is that of the body, where it is known: then a broken answer is
  // told by closing the connection.
  virtual void Begin(unsigned status, const std::vector<http_field>& fields,
                     std::optional<std::size_t> length) = 0;
  // `on_sent` is called when the bytes have left this process.
  virtual void Bytes(std::string bytes, std::function<void()> on_sent) = 0;
  virtual void End() = 0;
  virtual void Abort() = 0;
};

struct caller_request {
  http_request what;
  std::string target;  // path and query, as they came
  std::string peer;    // address of the caller's side of the connection
  std::shared_ptr<caller_exchange> exchange;
};

class caller_server {
 public:
  using request_handler = std::function<void(caller_request)>;
  // A connection ended; exchanges on it can't be answered any more.
  using left_handler = std::function<void(const caller_exchange*)>;

  caller_server(asio::io_context* loop, request_handler on_request,
                left_handler on_left);
  ~caller_server();

  // Starts to listen. On failure returns false and says why.
  bool Start(const endpoint& where, failure* last_failure);

  // Takes no new connections; those that stand go on.
  void StopListening();

 private:
  struct state;
  std::shared_ptr<state> state_;
};

}  // namespace tamaracklatch
