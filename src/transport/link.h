// A link over TCP: moves bytes between an Asio socket and a link_codec, sends
// heartbeats and closes a silent link.
#pragma once

#include <asio.hpp>
#include <chrono>
#include <memory>
#include <string>

#include "tamaracklatch/core/endpoint.h"
#include "tamaracklatch/transport/link_codec.h"

namespace tamaracklatch {

class link;

// Hears what happens on links. Called from the event loop; may call Send and
// Close of any link.
class link_listener {
 public:
  virtual ~link_listener() = default;
  virtual void OnLinkUp(const std::shared_ptr<link>& which) = 0;
  virtual void OnLinkFrame(const std::shared_ptr<link>& which,
                           const link_frame& frame) = 0;
  virtual void OnLinkDown(const std::shared_ptr<link>& which,
                          const failure& why) = 0;
};

// Reads and advances the process's hybrid logical clock for the frames of all
// links.
class link_clock {
 public:
  virtual ~link_clock() = default;
  virtual std::uint64_t Stamp() = 0;
  virtual void Observe(std::uint64_t stamp) = 0;
};

// What a link needs to know of its process.
struct link_settings {
  link_key key{};
  link_identity self;
  std::chrono::milliseconds heartbeat_interval{
      1000};  // a frame is sent at least this often
  std::chrono::milliseconds silence_limit{
      5000};  // a link without frames for this long is closed
  std::chrono::milliseconds connect_limit{
      3000};  // a connection that does not open within this is given up
  std::size_t max_queued_bytes = 16 * 1024 * 1024;  // Send refuses past this
};

// One link. Owned by the event loop's handlers and by whoever keeps the
// pointer. Invariant: OnLinkDown is called exactly once, after which no frame
// comes.
class link : public std::enable_shared_from_this<link> {
 public:
  // `listener` and `clock` must outlive the link.
  link(asio::ip::tcp::socket socket, link_side side,
       const link_settings& settings, link_listener* listener,
       link_clock* clock);

  // Starts the handshake.
  void Start();

  // Queues a frame. Returns false where the link is not established, is closed,
  // or has too much queued.
  bool Send(frame_kind kind, std::string_view body);

  // Ends the link; the listener hears of it.
  void Close(const failure& why);

  const link_identity& peer() const { return peer_; }
  bool established() const { return codec_.established() && !closed_; }

 private:
  void Read();
  void Write();
  void Handle(const link_event& what);
  void ScheduleHeartbeat();

  asio::ip::tcp::socket socket_;
  asio::steady_timer timer_;
  link_settings settings_;
  link_codec codec_;
  link_listener* listener_;
  link_clock* clock_;
  link_identity peer_;
  std::array<char, 64 * 1024> buffer_{};
  std::string queued_;   // waits for the write in progress
  std::string writing_;  // being written
  bool closed_ = false;
  std::chrono::steady_clock::time_point last_received_;
};

// Converts between the library's and Asio's endpoints.
asio::ip::tcp::endpoint ToTcp(const endpoint& where);
asio::ip::udp::endpoint ToUdp(const endpoint& where);
endpoint FromTcp(const asio::ip::tcp::endpoint& where);
endpoint FromUdp(const asio::ip::udp::endpoint& where);

// Accepts links at an endpoint until it is destroyed.
class link_acceptor {
 public:
  link_acceptor(asio::io_context* loop, const link_settings& settings,
                link_listener* listener, link_clock* clock);

  // Starts to listen. On failure returns false and says why.
  bool Listen(const endpoint& where, failure* last_failure);

 private:
  void Accept();

  asio::io_context* loop_;
  asio::ip::tcp::acceptor acceptor_;
  link_settings settings_;
  link_listener* listener_;
  link_clock* clock_;
};

}  // namespace tamaracklatch
