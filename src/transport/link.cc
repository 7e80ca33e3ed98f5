// Links over TCP by Asio.
#include "transport/link.h"

#include <sodium.h>

#include <utility>

namespace tamaracklatch {
namespace {

link_nonce DrawNonce() {
  link_nonce nonce{};
  randombytes_buf(nonce.data(), nonce.size());
  return nonce;
}

asio::ip::address ToAsio(const ip_address& address) {
  const asio::ip::address_v6 mapped(address.bytes);
  if (!address.IsV4()) return mapped;
  return asio::ip::make_address_v4(asio::ip::v4_mapped, mapped);
}

ip_address FromAsio(const asio::ip::address& address) {
  ip_address result;
  result.bytes = address.is_v4() ? asio::ip::make_address_v6(
                                       asio::ip::v4_mapped, address.to_v4())
                                       .to_bytes()
                                 : address.to_v6().to_bytes();
  return result;
}

}  // namespace

asio::ip::tcp::endpoint ToTcp(const endpoint& where) {
  return {ToAsio(where.address), where.port};
}
asio::ip::udp::endpoint ToUdp(const endpoint& where) {
  return {ToAsio(where.address), where.port};
}
endpoint FromTcp(const asio::ip::tcp::endpoint& where) {
  return {FromAsio(where.address()), where.port()};
}
endpoint FromUdp(const asio::ip::udp::endpoint& where) {
  return {FromAsio(where.address()), where.port()};
}

link::link(asio::ip::tcp::socket socket, link_side side,
           const link_settings& settings, link_listener* listener,
           link_clock* clock)
    : socket_(std::move(socket)),
      timer_(socket_.get_executor()),
      settings_(settings),
      codec_(side, settings.key, settings.self, DrawNonce()),
      listener_(listener),
      clock_(clock) {}

void link::Start() {
  last_received_ = std::chrono::steady_clock::now();
  asio::error_code ignored;
  socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
  Write();
  Read();
  ScheduleHeartbeat();
}

bool link::Send(frame_kind kind, std::string_view body) {
  if (!established() ||
      queued_.size() + body.size() > settings_.max_queued_bytes)
    return false;
  codec_.Send(kind, clock_->Stamp(), body);
  Write();
  return true;
}

void link::Close(const failure& why) {
  if (closed_) return;
  closed_ = true;
  asio::error_code ignored;
  socket_.close(ignored);
  timer_.cancel();
  listener_->OnLinkDown(shared_from_this(), why);
}

void link::Read() {
  socket_.async_read_some(
      asio::buffer(buffer_),
      [self = shared_from_this()](asio::error_code error, std::size_t size) {
        if (self->closed_) return;
        if (error)
          return self->Close({result_code::kLinkClosed, error.message()});
        self->last_received_ = std::chrono::steady_clock::now();
        for (const link_event& what :
             self->codec_.Receive({self->buffer_.data(), size})) {
          if (self->closed_) return;
          self->Handle(what);
        }
        if (self->closed_) return;
        self->Write();
        self->Read();
      });
}

void link::Handle(const link_event& what) {
  if (const auto* up = std::get_if<link_established>(&what)) {
    peer_ = up->peer;
    listener_->OnLinkUp(shared_from_this());
  } else if (const auto* frame = std::get_if<link_frame>(&what)) {
    clock_->Observe(frame->stamp);
    if (frame->kind != frame_kind::kHeartbeat)
      listener_->OnLinkFrame(shared_from_this(), *frame);
  } else {
    Close(std::get<link_broken>(what).why);
  }
}

void link::Write() {
  queued_ += codec_.TakeOutput();
  if (closed_ || queued_.empty() || !writing_.empty()) return;
  writing_.swap(queued_);
  asio::async_write(
      socket_, asio::buffer(writing_),
      [self = shared_from_this()](asio::error_code error, std::size_t) {
        self->writing_.clear();
        if (self->closed_) return;
        if (error)
          return self->Close({result_code::kLinkClosed, error.message()});
        self->Write();
      });
}

void link::ScheduleHeartbeat() {
  timer_.expires_after(settings_.heartbeat_interval);
  timer_.async_wait([self = shared_from_this()](asio::error_code error) {
    if (error || self->closed_) return;
    if (std::chrono::steady_clock::now() - self->last_received_ >
        self->settings_.silence_limit) {
      return self->Close({result_code::kLinkClosed, "the peer is silent"});
    }
    self->Send(frame_kind::kHeartbeat, {});
    self->ScheduleHeartbeat();
  });
}

link_acceptor::link_acceptor(asio::io_context* loop,
                             const link_settings& settings,
                             link_listener* listener, link_clock* clock)
    : loop_(loop),
      acceptor_(*loop),
      settings_(settings),
      listener_(listener),
      clock_(clock) {}

bool link_acceptor::Listen(const endpoint& where, failure* last_failure) {
  try {
    const auto tcp = ToTcp(where);
    acceptor_.open(tcp.protocol());
    acceptor_.set_option(asio::ip::tcp::acceptor::reuse_address(true));
    acceptor_.bind(tcp);
    acceptor_.listen();
  } catch (const asio::system_error& error) {
    SetFailure(last_failure, result_code::kBindFailed,
               ToString(where) + ": " + error.code().message());
    return false;
  }
  Accept();
  return true;
}

void link_acceptor::Accept() {
  acceptor_.async_accept(
      *loop_, [this](asio::error_code error, asio::ip::tcp::socket socket) {
        if (error == asio::error::operation_aborted) return;
        if (!error) {
          std::make_shared<link>(std::move(socket), link_side::kAccepting,
                                 settings_, listener_, clock_)
              ->Start();
        }
        Accept();
      });
}

}  // namespace tamaracklatch
