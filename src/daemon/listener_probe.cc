// One connection attempt by Asio, with a time limit.
#include "daemon/listener_probe.h"

#include <cassert>
#include <utility>

#include "transport/link.h"

namespace tamaracklatch {
namespace {

probe_result ResultOf(const asio::error_code& error) {
  if (!error) return probe_result::kListening;
  return error == asio::error::connection_refused ? probe_result::kNoListener
                                                  : probe_result::kUnknown;
}

}  // namespace

std::string_view ToString(probe_result result) {
  switch (result) {
    case probe_result::kListening:
      return "listening";
    case probe_result::kNoListener:
      return "no listener";
    case probe_result::kUnknown:
      break;
  }
  return "unknown";
}

listener_probe::listener_probe(asio::io_context* loop)
    : socket_(*loop), timer_(*loop) {}

void listener_probe::Start(const endpoint& where,
                           std::chrono::milliseconds limit, handler on_result) {
  assert(!on_result_);
  on_result_ = std::move(on_result);
  const std::uint64_t number = ++number_;
  timer_.expires_after(limit);
  timer_.async_wait([this, number](asio::error_code error) {
    if (!error) Finish(number, probe_result::kUnknown);
  });
  socket_.async_connect(ToTcp(where), [this, number](asio::error_code error) {
    Finish(number, ResultOf(error));
  });
}

void listener_probe::Finish(std::uint64_t number, probe_result result) {
  if (number != number_ || !on_result_) return;
  asio::error_code ignored;
  timer_.cancel();
  socket_.close(ignored);
  std::exchange(on_result_, nullptr)(result);
}

}  // namespace tamaracklatch
