// A packet from one of the packet ports, and the parser of IP packets that the
// fabric sends inside UDP (GUE variant 1: the payload is the IP packet).
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "tamaracklatch/core/endpoint.h"
#include "tamaracklatch/core/result_code.h"
#include "tamaracklatch/flow/envelope.h"

namespace tamaracklatch {

// What a TCP segment from the caller says about progress.
struct tcp_segment {
  std::uint32_t sequence = 0;
  std::uint32_t acknowledged = 0;
  std::uint32_t payload_bytes = 0;
  bool syn = false;
  bool fin = false;
  bool rst = false;
  bool ack = false;
};

// A packet towards a service. `bytes` refers to the port's buffer.
struct packet {
  flow_key key;
  flow_opening opens = flow_opening::kUnknown;
  std::string_view bytes;
};

// An IP packet with its headers read.
struct parsed_packet {
  packet what;                     // `bytes` is the whole IP packet
  std::optional<tcp_segment> tcp;  // set for TCP
};

// Reads an IPv4 or IPv6 packet with TCP or UDP inside. Fragments are refused:
// all but the first carry no ports. On failure returns nothing; the code is
// kPacketTruncated, kPacketMalformed or kPacketUnsupported.
std::optional<parsed_packet> ParseIpPacket(std::string_view bytes,
                                           failure* last_failure);

// An IP packet with a TCP reset for one end of the flow, checksums included.
// `sequence` is what that end expects next.
std::string BuildTcpReset(const flow_key& key, bool towards_caller,
                          std::uint32_t sequence);

}  // namespace tamaracklatch
