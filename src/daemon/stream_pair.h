// Carries bytes between two TCP sockets in both directions with bounded
// buffers, and tells the progress of each direction. Half-closed connections
// stay open in the other direction.
#pragma once

#include <array>
#include <asio.hpp>
#include <cstdint>
#include <functional>
#include <memory>

#include "tamaracklatch/core/time.h"

namespace tamaracklatch {

// One direction of the pair. Invariant: `written` - what the kernel still holds
// = bytes that the far end has taken.
struct stream_progress {
  bool outstanding = false;  // bytes wait for the far end
  bool advanced = false;     // the far end took some since the last question
};

class stream_pair : public std::enable_shared_from_this<stream_pair> {
 public:
  // `on_end` is called once, when both directions are over or either failed.
  stream_pair(asio::ip::tcp::socket left, asio::ip::tcp::socket right,
              std::function<void()> on_end);

  // Starts both directions. `to_right` and `to_left` are sent before anything
  // else.
  void Start(std::string to_right, std::string to_left);

  // Ends both sides at once, by a reset, so that each end learns of it.
  void Reset();

  stream_progress ProgressToRight() { return Progress(&to_right_); }
  stream_progress ProgressToLeft() { return Progress(&to_left_); }

 private:
  struct direction {
    asio::ip::tcp::socket* from;
    asio::ip::tcp::socket* to;
    std::array<char, 32 * 1024> buffer{};
    std::uint64_t written = 0;       // bytes given to the kernel
    std::uint64_t taken_before = 0;  // by the far end, at the last question
    bool writing = false;
    bool over = false;
  };

  void Read(direction* way);
  void Write(direction* way, std::size_t size);
  void Over(direction* way, bool failed);
  void End();
  static stream_progress Progress(direction* way);

  asio::ip::tcp::socket left_;
  asio::ip::tcp::socket right_;
  std::function<void()> on_end_;
  std::string first_right_;
  std::string first_left_;
  direction to_right_;
  direction to_left_;
  bool ended_ = false;
};

}  // namespace tamaracklatch
