// Packets received on the packet ports, and the parser for the IP packets that
// the fabric encapsulates in UDP (GUE variant 1: the payload is the IP packet).
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "tamaracklatch/core/endpoint.h"
#include "tamaracklatch/core/result_code.h"
#include "tamaracklatch/flow/envelope.h"

namespace tamaracklatch {

// TCP header fields of a segment from the caller, by which flow_owner tracks
// the progress of a flow.
struct tcp_segment {
  std::uint32_t sequence = 0;      // of the first payload byte, or of the SYN
  std::uint32_t acknowledged = 0;  // the acknowledgment number
  std::uint32_t payload_bytes = 0;
  bool syn = false;
  bool fin = false;
  bool rst = false;
  bool ack = false;
};

// A packet towards a service. `bytes` refers to the receive buffer of the port.
struct packet {
  flow_key key;
  flow_opening opens = flow_opening::kUnknown;
  std::string_view bytes;
};

// An IP packet and its parsed headers.
struct parsed_packet {
  packet ip_packet;                // `bytes` is the whole IP packet
  std::optional<tcp_segment> tcp;  // set for TCP
};

// Parses an IPv4 or IPv6 packet that carries TCP or UDP. Fragments are refused,
// because only the first one contains the ports. On failure returns nothing and
// sets `last_failure`, whose code is kPacketTruncated, kPacketMalformed or
// kPacketUnsupported.
std::optional<parsed_packet> ParseIpPacket(std::string_view bytes,
                                           failure* last_failure);

// Builds an IP packet with a TCP reset for one end of the flow, including the
// checksums. `sequence` is the sequence number that this end expects next.
std::string BuildTcpReset(const flow_key& key, bool towards_caller,
                          std::uint32_t sequence);

}  // namespace tamaracklatch
