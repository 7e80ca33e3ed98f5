// IP addresses, address ranges and endpoints, as plain values without a socket
// library.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "tamaracklatch/core/result_code.h"

namespace tamaracklatch {

// An IPv6 address, or an IPv4 address mapped into IPv6 (::ffff:a.b.c.d), in
// network byte order.
struct ip_address {
  std::array<std::uint8_t, 16> bytes{};

  bool IsV4() const;

  friend bool operator==(const ip_address& left, const ip_address& right) {
    return left.bytes == right.bytes;
  }
  friend bool operator!=(const ip_address& left, const ip_address& right) {
    return left.bytes != right.bytes;
  }
  friend bool operator<(const ip_address& left, const ip_address& right) {
    return left.bytes < right.bytes;
  }
};

// Builds a mapped IPv4 address from a number in host byte order.
ip_address MakeV4(std::uint32_t address);

// Reads "10.1.2.3" or "fd00::1". On failure returns nothing and says why in
// `last_failure`.
std::optional<ip_address> ParseIpAddress(std::string_view text,
                                         failure* last_failure);

// Writes the address in its usual form.
std::string ToString(const ip_address& address);

// An address and a port.
struct endpoint {
  ip_address address;
  std::uint16_t port = 0;

  friend bool operator==(const endpoint& left, const endpoint& right) {
    return left.address == right.address && left.port == right.port;
  }
  friend bool operator!=(const endpoint& left, const endpoint& right) {
    return !(left == right);
  }
  friend bool operator<(const endpoint& left, const endpoint& right) {
    return left.address != right.address ? left.address < right.address
                                         : left.port < right.port;
  }
};

// Reads "10.1.2.3:80" or "[fd00::1]:80".
std::optional<endpoint> ParseEndpoint(std::string_view text,
                                      failure* last_failure);

// Writes the endpoint in the form that ParseEndpoint reads.
std::string ToString(const endpoint& where);

// A CIDR range: all addresses whose first `prefix_bits` bits are those of
// `base`.
struct ip_range {
  ip_address base;
  std::uint8_t prefix_bits =
      0;  // counted in the 128-bit form, so an IPv4 /8 has 104

  bool Contains(const ip_address& address) const;

  friend bool operator==(const ip_range& left, const ip_range& right) {
    return left.base == right.base && left.prefix_bits == right.prefix_bits;
  }
};

// Reads "10.0.0.0/8" or "fd00::/16". Bits past the prefix must be zero.
std::optional<ip_range> ParseIpRange(std::string_view text,
                                     failure* last_failure);

// Writes the range in the form that ParseIpRange reads.
std::string ToString(const ip_range& range);

// Protocol of a service's address.
enum class ip_protocol : std::uint8_t { kTcp = 6, kUdp = 17 };

// What makes two packets belong to one flow.
struct flow_key {
  ip_address source;       // the caller
  ip_address destination;  // the service's address
  std::uint16_t source_port = 0;
  std::uint16_t destination_port = 0;
  ip_protocol protocol = ip_protocol::kUdp;

  friend bool operator==(const flow_key& left, const flow_key& right) {
    return left.source == right.source &&
           left.destination == right.destination &&
           left.source_port == right.source_port &&
           left.destination_port == right.destination_port &&
           left.protocol == right.protocol;
  }
};

// A 64-bit hash of the key, the same on every node.
std::uint64_t HashFlow(const flow_key& key);

}  // namespace tamaracklatch
