// The UDP and TCP echo of the stand-in target: each answer names the target and
// its service, so that a demonstration sees who answered.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "tamaracklatch/core/endpoint.h"
#include "tamaracklatch/core/result_code.h"

namespace asio {
class io_context;
}

namespace tamaracklatch {

// Where the echo listens and what it calls itself.
struct echo_settings {
  std::string name;             // of the target
  std::string service;          // of the service that it serves
  std::optional<endpoint> udp;  // answers each datagram
  std::optional<endpoint> tcp;  // answers each line
};

// Answers "NAME:SERVICE:" and the payload for each datagram or line.
class echo_service {
 public:
  echo_service(asio::io_context* loop, echo_settings settings);
  ~echo_service();
  echo_service(const echo_service&) = delete;
  echo_service& operator=(const echo_service&) = delete;

  // Opens the sockets. Returns false when one can't be bound.
  bool Start(failure* last_failure);

  // Takes no new connections; those that stand go on.
  void Drain();

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace tamaracklatch
