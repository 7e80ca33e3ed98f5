// Sockets of the services' addresses.
#include "daemon/balancer_ports.h"

#include <sys/socket.h>

#include <set>

#include "transport/link.h"

namespace tamaracklatch {
namespace {

constexpr int kAcceptBacklog = 1024;  // connections

flow_key KeyOf(const endpoint& caller, const endpoint& service,
               ip_protocol protocol) {
  return {caller.address, service.address, caller.port, service.port, protocol};
}

}  // namespace

connection_port::connection_port(asio::io_context* loop, const endpoint& where,
                                 port_listener* listener)
    : loop_(loop), acceptor_(*loop), where_(where), listener_(listener) {}

bool connection_port::Start(failure* last_failure) {
  const auto tcp = ToTcp(where_);
  asio::error_code error;
  acceptor_.open(tcp.protocol(), error);
  if (!error) {
    const int on = 1;
    // Without this option, one process serves the address alone.
    setsockopt(acceptor_.native_handle(), SOL_SOCKET, SO_REUSEPORT, &on,
               sizeof(on));
    acceptor_.set_option(asio::ip::tcp::acceptor::reuse_address(true), error);
    acceptor_.bind(tcp, error);
  }
  if (!error) acceptor_.listen(kAcceptBacklog, error);
  if (error) {
    SetFailure(last_failure, result_code::kBindFailed,
               ToString(where_) + "/tcp: " + error.message());
    return false;
  }
  Accept();
  return true;
}

void connection_port::Accept() {
  acceptor_.async_accept(*loop_, [this](asio::error_code error,
                                        asio::ip::tcp::socket socket) {
    if (error == asio::error::operation_aborted) return;
    asio::error_code gone;
    const auto caller =
        error ? asio::ip::tcp::endpoint() : socket.remote_endpoint(gone);
    if (!error && !gone) {
      listener_->OnConnection(KeyOf(FromTcp(caller), where_, ip_protocol::kTcp),
                              std::move(socket));
    }
    Accept();
  });
}

balancer_ports::balancer_ports(process_frame* frame, port_listener* listener)
    : frame_(frame), listener_(listener) {}

void balancer_ports::Follow(const cluster_view& view) {
  std::set<endpoint> wanted_datagrams;
  std::set<endpoint> wanted_connections;
  for (const auto& [id, service] : view.services) {
    for (const service_address& address : service.document.addresses) {
      if (address.kind == port_kind::kUdpDatagram)
        wanted_datagrams.insert(address.where);
      if (address.kind == port_kind::kTcpRelay && accepts_connections_)
        wanted_connections.insert(address.where);
      Open(service, address);
    }
  }
  for (auto at = datagrams_.begin(); at != datagrams_.end();) {
    at = wanted_datagrams.count(at->first) == 0 ? datagrams_.erase(at)
                                                : std::next(at);
  }
  for (auto at = connections_.begin(); at != connections_.end();) {
    at = wanted_connections.count(at->first) == 0 ? connections_.erase(at)
                                                  : std::next(at);
  }
}

void balancer_ports::Open(const service_record& service,
                          const service_address& address) {
  failure why;
  if (address.kind == port_kind::kUdpDatagram &&
      datagrams_.count(address.where) == 0) {
    auto port = std::make_unique<udp_port>(
        &frame_->loop(), [this, where = address.where](const endpoint& caller,
                                                       std::string_view bytes) {
          listener_->OnDatagram(KeyOf(caller, where, ip_protocol::kUdp), bytes);
        });
    if (port->Start(address.where, port_sharing::kShared, &why))
      datagrams_[address.where] = std::move(port);
  }
  if (address.kind == port_kind::kTcpRelay && accepts_connections_ &&
      connections_.count(address.where) == 0) {
    auto port = std::make_unique<connection_port>(&frame_->loop(),
                                                  address.where, listener_);
    if (port->Start(&why)) connections_[address.where] = std::move(port);
  }
  if (why.code == result_code::kOk) return;
  event what;
  what.id = event_id::kAddressNotOpened;
  what.service = service.document.service;
  what.code = why.code;
  what.detail = why.reason;
  frame_->events().OnEvent(what);
}

void balancer_ports::CloseConnections() {
  accepts_connections_ = false;
  connections_.clear();
}

bool balancer_ports::SendDatagram(const endpoint& service,
                                  const endpoint& caller,
                                  std::string_view bytes) {
  const auto found = datagrams_.find(service);
  if (found == datagrams_.end()) return false;
  found->second->Send(caller, bytes);
  return true;
}

}  // namespace tamaracklatch
