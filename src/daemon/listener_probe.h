// Determines whether a process listens at a TCP endpoint of this VM. It sends
// no bytes, and closes a connection at once.
#pragma once

#include <asio.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <string_view>

#include "tamaracklatch/core/endpoint.h"

namespace tamaracklatch {

enum class probe_result : std::uint8_t {
  kListening,   // the connection was accepted
  kNoListener,  // it was refused
  kUnknown,     // neither in time, or another failure
};

std::string_view ToString(probe_result result);

class listener_probe {
 public:
  using handler = std::function<void(probe_result)>;

  explicit listener_probe(asio::io_context* loop);

  // Connects to `where` and calls `on_result` once from the event loop, after
  // `limit` at the latest. One probe at a time; the object must outlive it.
  void Start(const endpoint& where, std::chrono::milliseconds limit,
             handler on_result);
  bool IsRunning() const { return static_cast<bool>(on_result_); }

 private:
  void Finish(std::uint64_t number, probe_result result);

  asio::ip::tcp::socket socket_;
  asio::steady_timer timer_;
  handler on_result_;         // empty: no probe is in progress
  std::uint64_t number_ = 0;  // of the last probe; outdates earlier handlers
};

}  // namespace tamaracklatch
