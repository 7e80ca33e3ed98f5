// A small HTTP/1.1 server on an event loop, by RESTinio, for metrics and the
// operators' API. Bodies are bounded.
#pragma once

#include <asio.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "tamaracklatch/core/endpoint.h"

namespace tamaracklatch {

// One header field.
struct http_field {
  std::string name;
  std::string value;
};

// A request with its whole body.
struct http_request {
  std::string method;
  std::string path;   // without the query
  std::string query;  // after the '?'
  std::vector<http_field> fields;
  std::string body;

  // The value of a field by its name in any case; empty where absent.
  std::string Field(const std::string& name) const;
};

struct http_response {
  unsigned status = 200;
  std::string content_type = "application/json";
  std::vector<http_field> fields;
  std::string body;
};

// Answers one request, now or later, once, on the event loop.
using http_reply = std::function<void(http_response)>;
using http_handler = std::function<void(const http_request&, http_reply)>;

// The server. Runs on the loop from Start() until it is destroyed.
class http_server {
 public:
  http_server(asio::io_context* loop, http_handler handler);
  ~http_server();

  // Starts to listen. On failure returns false and says why.
  bool Start(const endpoint& where, failure* last_failure);

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace tamaracklatch
