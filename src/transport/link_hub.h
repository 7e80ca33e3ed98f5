// All links of one process by the peer's name: accepts them, opens them when
// there is something to send, and hands the frames of each slice to whoever
// takes them.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "tamaracklatch/core/event.h"
#include "transport/link.h"

namespace tamaracklatch {

// Takes the frames of one kind. `peer` is the name to send answers to.
using frame_handler =
    std::function<void(const std::string& peer, const std::string& body)>;

// Invariant: a link in `links_` is established; one in `opening_` is not yet.
class link_hub : public link_listener {
 public:
  // `clock` and `events` must outlive the hub.
  link_hub(asio::io_context* loop, const link_settings& settings,
           link_clock* clock, event_listener* events);
  ~link_hub() override;

  // Accepts links at an endpoint. On failure returns false and says why.
  bool Listen(const endpoint& where, failure* last_failure);

  // Sets who takes the frames of a kind, and who hears that no link to a peer
  // is left.
  void SetHandler(frame_kind kind, frame_handler handler);
  void SetDownHandler(std::function<void(const std::string& peer)> handler);

  // Sends a frame to the peer of that name. Without a link to it, one is opened
  // to `where`, and the frame waits; where its port is 0, the frame is dropped.
  // Frames are lost when a link fails: the slices repeat what matters.
  void Send(const std::string& peer, const endpoint& where, frame_kind kind,
            std::string body);

  // Identity of a peer with a link, as it told; null without one.
  const link_identity* Find(const std::string& peer) const;

  void OnLinkUp(const std::shared_ptr<link>& which) override;
  void OnLinkFrame(const std::shared_ptr<link>& which,
                   const link_frame& frame) override;
  void OnLinkDown(const std::shared_ptr<link>& which,
                  const failure& why) override;

 private:
  struct waiting_frame {
    frame_kind kind;
    std::string body;
  };

  // A connection that is being opened, and what waits for it.
  struct opening_link {
    std::unique_ptr<asio::ip::tcp::socket> socket;  // until it is connected
    std::unique_ptr<asio::steady_timer> limit;      // until it is connected
    std::shared_ptr<link> connected;                // while the handshake runs
    std::vector<waiting_frame> waiting;
  };

  void Open(const std::string& peer, const endpoint& where);
  void OnConnected(const std::string& peer, asio::error_code error);
  std::string NameOf(const std::shared_ptr<link>& which) const;
  void Tell(event_id id, const std::string& peer, const failure& why);

  asio::io_context* loop_;
  link_settings settings_;
  link_clock* clock_;
  event_listener* events_;
  std::unique_ptr<link_acceptor> acceptor_;
  std::map<frame_kind, frame_handler> handlers_;
  std::function<void(const std::string&)> down_handler_;
  std::map<std::string, opening_link> opening_;  // by the name that Send used
  std::map<std::string, std::vector<std::shared_ptr<link>>>
      links_;  // newest last
  std::map<link*, std::string>
      opened_here_;  // links that this side opened: their names here
};

}  // namespace tamaracklatch
