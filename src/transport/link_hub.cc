// Keeping links by name.
#include "transport/link_hub.h"

#include <algorithm>

namespace tamaracklatch {
namespace {

constexpr std::size_t kMaxWaitingFrames =
    64;  // for one link that is being opened

}  // namespace

link_hub::link_hub(asio::io_context* loop, const link_settings& settings,
                   link_clock* clock, event_listener* events)
    : loop_(loop), settings_(settings), clock_(clock), events_(events) {}

link_hub::~link_hub() = default;

bool link_hub::Listen(const endpoint& where, failure* last_failure) {
  acceptor_ = std::make_unique<link_acceptor>(loop_, settings_, this, clock_);
  return acceptor_->Listen(where, last_failure);
}

void link_hub::SetHandler(frame_kind kind, frame_handler handler) {
  handlers_[kind] = std::move(handler);
}

void link_hub::SetDownHandler(std::function<void(const std::string&)> handler) {
  down_handler_ = std::move(handler);
}

void link_hub::Send(const std::string& peer, const endpoint& where,
                    frame_kind kind, std::string body) {
  const auto found = links_.find(peer);
  if (found != links_.end()) {
    found->second.back()->Send(kind, body);
    return;
  }
  if (where.port == 0) return;
  if (opening_.find(peer) == opening_.end()) Open(peer, where);
  auto& waiting = opening_[peer].waiting;
  if (waiting.size() < kMaxWaitingFrames)
    waiting.push_back({kind, std::move(body)});
}

const link_identity* link_hub::Find(const std::string& peer) const {
  const auto found = links_.find(peer);
  return found == links_.end() ? nullptr : &found->second.back()->peer();
}

void link_hub::Open(const std::string& peer, const endpoint& where) {
  opening_link& opening = opening_[peer];
  opening.socket = std::make_unique<asio::ip::tcp::socket>(*loop_);
  opening.socket->async_connect(
      ToTcp(where),
      [this, peer](asio::error_code error) { OnConnected(peer, error); });
  // A peer that is dark or cut off answers nothing.
  opening.limit =
      std::make_unique<asio::steady_timer>(*loop_, settings_.connect_limit);
  opening.limit->async_wait([this, peer](asio::error_code error) {
    if (!error) OnConnected(peer, asio::error::timed_out);
  });
}

void link_hub::OnConnected(const std::string& peer, asio::error_code error) {
  if (error == asio::error::operation_aborted) return;
  const auto found = opening_.find(peer);
  if (found == opening_.end() || !found->second.socket) return;
  if (error) {
    opening_.erase(found);
    if (down_handler_) down_handler_(peer);
    return;
  }
  opening_link& opening = found->second;
  opening.connected =
      std::make_shared<link>(std::move(*opening.socket), link_side::kConnecting,
                             settings_, this, clock_);
  opening.socket.reset();
  opening.limit.reset();
  opened_here_[opening.connected.get()] = peer;
  opening.connected->Start();
}

std::string link_hub::NameOf(const std::shared_ptr<link>& which) const {
  const auto found = opened_here_.find(which.get());
  return found == opened_here_.end() ? which->peer().name : found->second;
}

void link_hub::OnLinkUp(const std::shared_ptr<link>& which) {
  const std::string peer = NameOf(which);
  links_[peer].push_back(which);
  Tell(event_id::kLinkUp, peer, {});
  const auto opening = opening_.find(peer);
  if (opening == opening_.end() || opening->second.connected != which) return;
  const std::vector<waiting_frame> waiting = std::move(opening->second.waiting);
  opening_.erase(opening);
  for (const waiting_frame& frame : waiting)
    which->Send(frame.kind, frame.body);
}

void link_hub::OnLinkFrame(const std::shared_ptr<link>& which,
                           const link_frame& frame) {
  const auto handler = handlers_.find(frame.kind);
  if (handler != handlers_.end()) handler->second(NameOf(which), frame.body);
}

void link_hub::OnLinkDown(const std::shared_ptr<link>& which,
                          const failure& why) {
  const std::string peer = NameOf(which);
  const auto opening = opening_.find(peer);
  if (opening != opening_.end() && opening->second.connected == which)
    opening_.erase(opening);
  opened_here_.erase(which.get());
  const bool refused = why.code == result_code::kLinkUnauthenticated ||
                       why.code == result_code::kFrameTooLarge ||
                       why.code == result_code::kFrameMalformed ||
                       why.code == result_code::kLinkVersion;
  Tell(refused ? event_id::kLinkRefused : event_id::kLinkDown, peer, why);
  const auto found = links_.find(peer);
  if (found != links_.end()) {
    auto& links = found->second;
    links.erase(std::remove(links.begin(), links.end(), which), links.end());
    if (!links.empty()) return;
    links_.erase(found);
  }
  if (down_handler_) down_handler_(peer);
}

void link_hub::Tell(event_id id, const std::string& peer, const failure& why) {
  event what;
  what.id = id;
  what.peer = peer;
  what.code = why.code;
  what.detail = why.reason;
  events_->OnEvent(what);
}

}  // namespace tamaracklatch
