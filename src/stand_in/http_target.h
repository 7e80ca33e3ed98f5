// The HTTP part of the stand-in target: a few slots, a cold start, shedding
// with Retry-After, cancellation, deadlines, a load endpoint that lags or lies,
// and faults on demand. It counts how often it ran each idempotency key.
//
//   GET  /work?ms=50&bytes=100   works for 50 ms, answers 100 bytes and the key
//   GET  /load                   {"busy": share of the slots}
//   GET  /counts                 {"runs": …, "keys": …, "doubled": …, …}
//   GET  /keys                   the keys that ran
//   POST /faults?lose=10&shed=5&hang=0&crossed=0   percent of the runs
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

#include "tamaracklatch/core/endpoint.h"
#include "tamaracklatch/core/result_code.h"

namespace asio {
class io_context;
}

namespace tamaracklatch {

struct http_target_settings {
  std::string name;  // of the target, in its answers
  endpoint listen;
  std::uint32_t slots = 4;
  std::uint32_t queue = 4;  // requests that wait inside; more are shed
  std::chrono::milliseconds work{50};  // where a request names none
  std::chrono::seconds cold{0};        // works three times slower at first
  std::chrono::seconds load_lag{0};    // age of what /load tells
  bool load_lies = false;              // /load always says idle
  std::uint64_t seed = 1;              // of the faults
};

class http_target {
 public:
  http_target(asio::io_context* loop, http_target_settings settings);
  ~http_target();
  http_target(const http_target&) = delete;
  http_target& operator=(const http_target&) = delete;

  // Starts to listen. On failure returns false and says why.
  bool Start(failure* last_failure);

  // Sheds all that comes from now on.
  void Drain();
  // Whether nothing runs or waits.
  bool idle() const;

 private:
  struct state;
  std::shared_ptr<state> state_;
};

}  // namespace tamaracklatch
