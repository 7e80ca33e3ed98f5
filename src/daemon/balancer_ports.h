// The ports on which a balancer takes the packets of the services' addresses:
// UDP sockets and TCP acceptors, opened and closed as the documents say.
#pragma once

#include <asio.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "daemon/process_frame.h"
#include "daemon/udp_port.h"
#include "tamaracklatch/control/cluster_view.h"

namespace tamaracklatch {

// Takes what comes in.
class port_listener {
 public:
  virtual ~port_listener() = default;
  virtual void OnDatagram(const flow_key& key, std::string_view bytes) = 0;
  virtual void OnConnection(const flow_key& key,
                            asio::ip::tcp::socket socket) = 0;
};

// One TCP address of a service.
class connection_port {
 public:
  connection_port(asio::io_context* loop, const endpoint& where,
                  port_listener* listener);
  bool Start(failure* last_failure);

 private:
  void Accept();

  asio::io_context* loop_;
  asio::ip::tcp::acceptor acceptor_;
  endpoint where_;
  port_listener* listener_;
};

// All ports of one balancer.
class balancer_ports {
 public:
  balancer_ports(process_frame* frame, port_listener* listener);

  // Opens the addresses of the view that are not open, and closes the others.
  // An address that can't be opened is told as an event and tried again at the
  // next call.
  void Follow(const cluster_view& view);

  // Stops accepting connections; datagrams go on.
  void CloseConnections();

  // Sends to a caller from the service's UDP address; false where the address
  // is not open here.
  bool SendDatagram(const endpoint& service, const endpoint& caller,
                    std::string_view bytes);

 private:
  void Open(const service_record& service, const service_address& address);

  process_frame* frame_;
  port_listener* listener_;
  std::map<endpoint, std::unique_ptr<udp_port>> datagrams_;
  std::map<endpoint, std::unique_ptr<connection_port>> connections_;
  bool accepts_connections_ = true;
};

}  // namespace tamaracklatch
