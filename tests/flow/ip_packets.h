// Valid IPv4 packets from 10.112.0.1:1234 to 10.9.0.1:80, and IPv6 packets with
// the same ports. Checksums are left 0.
#pragma once

#include <netinet/in.h>
#include <netinet/ip.h>
#include <netinet/ip6.h>
#include <netinet/tcp.h>
#include <netinet/udp.h>

#include <cstdint>
#include <string>

namespace tamaracklatch::test {

template <typename Header>
std::string Bytes(const Header& header) {
  return std::string(reinterpret_cast<const char*>(&header), sizeof(header));
}

inline std::string Tcp(std::uint8_t flags, const std::string& payload,
                       std::uint32_t sequence = 1000) {
  tcphdr header{};
  header.source = htons(1234);
  header.dest = htons(80);
  header.seq = htonl(sequence);
  header.ack_seq = htonl(2000);
  header.doff = sizeof(header) / 4;
  header.th_flags = flags;
  return Bytes(header) + payload;
}

inline std::string Udp(const std::string& payload) {
  udphdr header{};
  header.source = htons(1234);
  header.dest = htons(80);
  header.len =
      htons(static_cast<std::uint16_t>(sizeof(header) + payload.size()));
  return Bytes(header) + payload;
}

inline std::string V4(std::uint8_t protocol, const std::string& inside) {
  iphdr header{};
  header.version = 4;
  header.ihl = 5;
  header.protocol = protocol;
  header.tot_len =
      htons(static_cast<std::uint16_t>(sizeof(header) + inside.size()));
  header.saddr = htonl(0x0a700001);
  header.daddr = htonl(0x0a090001);
  return Bytes(header) + inside;
}

inline std::string V6(std::uint8_t protocol, const std::string& inside) {
  ip6_hdr header{};
  header.ip6_vfc = 0x60;
  header.ip6_nxt = protocol;
  header.ip6_plen = htons(static_cast<std::uint16_t>(inside.size()));
  header.ip6_src.s6_addr[0] = 0xfd;
  header.ip6_dst.s6_addr[0] = 0xfd;
  header.ip6_dst.s6_addr[15] = 1;
  return Bytes(header) + inside;
}

}  // namespace tamaracklatch::test
