// Parses and builds IP, TCP and UDP headers as declared in <netinet/*.h>.
#include "tamaracklatch/flow/packet.h"

#include <netinet/in.h>
#include <netinet/ip.h>
#include <netinet/ip6.h>
#include <netinet/tcp.h>
#include <netinet/udp.h>

#include <cstring>

namespace tamaracklatch {
namespace {

constexpr std::size_t kWordBytes = 4;  // unit of header lengths
constexpr std::uint8_t kResetHopLimit = 64;
constexpr std::size_t kV4Offset = 12;  // of the IPv4 address in its mapped form

// The transport header and payload of an IP packet.
struct transport_part {
  std::uint8_t protocol = 0;
  std::string_view bytes;
};

std::nullopt_t Refuse(failure* last_failure, result_code code,
                      const char* reason) {
  SetFailure(last_failure, code, reason);
  return std::nullopt;
}

// Copies the header at the start of `bytes`, whose size the caller has checked.
template <typename Header>
Header ReadHeader(std::string_view bytes) {
  Header header;
  std::memcpy(&header, bytes.data(), sizeof(header));
  return header;
}

std::optional<transport_part> ReadV4(std::string_view bytes, flow_key* key,
                                     failure* last_failure) {
  if (bytes.size() < sizeof(iphdr))
    return Refuse(last_failure, result_code::kPacketTruncated,
                  "truncated IPv4 header");
  const auto header = ReadHeader<iphdr>(bytes);
  const std::size_t header_size = header.ihl * kWordBytes;
  const std::size_t total = ntohs(header.tot_len);
  if (header_size < sizeof(iphdr) || total < header_size)
    return Refuse(last_failure, result_code::kPacketMalformed,
                  "inconsistent IPv4 lengths");
  if (total > bytes.size())
    return Refuse(last_failure, result_code::kPacketTruncated,
                  "truncated IPv4 packet");
  if ((ntohs(header.frag_off) & (IP_MF | IP_OFFMASK)) != 0)
    return Refuse(last_failure, result_code::kPacketUnsupported, "fragment");
  key->source = MakeV4(ntohl(header.saddr));
  key->destination = MakeV4(ntohl(header.daddr));
  return transport_part{header.protocol,
                        bytes.substr(header_size, total - header_size)};
}

std::optional<transport_part> ReadV6(std::string_view bytes, flow_key* key,
                                     failure* last_failure) {
  if (bytes.size() < sizeof(ip6_hdr))
    return Refuse(last_failure, result_code::kPacketTruncated,
                  "truncated IPv6 header");
  const auto header = ReadHeader<ip6_hdr>(bytes);
  const std::size_t length = ntohs(header.ip6_plen);
  if (bytes.size() - sizeof(ip6_hdr) < length)
    return Refuse(last_failure, result_code::kPacketTruncated,
                  "truncated IPv6 packet");
  std::memcpy(key->source.bytes.data(), &header.ip6_src,
              key->source.bytes.size());
  std::memcpy(key->destination.bytes.data(), &header.ip6_dst,
              key->destination.bytes.size());
  if (key->source.IsV4() || key->destination.IsV4())
    return Refuse(last_failure, result_code::kPacketMalformed,
                  "IPv4-mapped IPv6 address");
  // Extension headers are refused like unsupported protocols: TCP and UDP need
  // none, and fragments have one.
  return transport_part{header.ip6_nxt, bytes.substr(sizeof(ip6_hdr), length)};
}

std::optional<tcp_segment> ReadTcp(std::string_view bytes, flow_key* key,
                                   failure* last_failure) {
  if (bytes.size() < sizeof(tcphdr))
    return Refuse(last_failure, result_code::kPacketTruncated,
                  "truncated TCP header");
  const auto header = ReadHeader<tcphdr>(bytes);
  const std::size_t header_size = header.doff * kWordBytes;
  if (header_size < sizeof(tcphdr))
    return Refuse(last_failure, result_code::kPacketMalformed,
                  "TCP data offset too small");
  if (header_size > bytes.size())
    return Refuse(last_failure, result_code::kPacketTruncated,
                  "truncated TCP options");
  key->source_port = ntohs(header.source);
  key->destination_port = ntohs(header.dest);
  tcp_segment segment;
  segment.sequence = ntohl(header.seq);
  segment.acknowledged = ntohl(header.ack_seq);
  segment.payload_bytes =
      static_cast<std::uint32_t>(bytes.size() - header_size);
  segment.syn = header.syn != 0;
  segment.fin = header.fin != 0;
  segment.rst = header.rst != 0;
  segment.ack = header.ack != 0;
  if (segment.syn && (segment.fin || segment.rst)) {
    return Refuse(last_failure, result_code::kPacketMalformed,
                  "SYN with FIN or RST");
  }
  return segment;
}

bool ReadUdp(std::string_view bytes, flow_key* key, failure* last_failure) {
  if (bytes.size() < sizeof(udphdr)) {
    SetFailure(last_failure, result_code::kPacketTruncated,
               "truncated UDP header");
    return false;
  }
  const auto header = ReadHeader<udphdr>(bytes);
  const std::size_t length = ntohs(header.len);
  if (length < sizeof(udphdr) || length > bytes.size()) {
    SetFailure(last_failure, result_code::kPacketMalformed,
               "inconsistent UDP length");
    return false;
  }
  key->source_port = ntohs(header.source);
  key->destination_port = ntohs(header.dest);
  return true;
}

// The Internet checksum (RFC 1071) of an even number of bytes.
std::uint16_t Checksum(std::string_view bytes) {
  std::uint32_t sum = 0;
  for (std::size_t at = 0; at + 1 < bytes.size(); at += 2) {
    sum +=
        static_cast<std::uint32_t>(static_cast<std::uint8_t>(bytes[at]) << 8U) |
        static_cast<std::uint8_t>(bytes[at + 1]);
  }
  while (sum >> 16U != 0) sum = (sum & 0xffffU) + (sum >> 16U);
  return static_cast<std::uint16_t>(~sum);
}

template <typename Header>
std::string BytesOf(const Header& header) {
  return std::string(reinterpret_cast<const char*>(&header), sizeof(header));
}

// The pseudo-header that the TCP checksum covers besides the segment.
std::string PseudoHeader(const std::string& addresses) {
  constexpr std::uint16_t kNumbers[] = {sizeof(tcphdr), IPPROTO_TCP};
  std::string pseudo = addresses;
  for (const std::uint16_t number : kNumbers) {
    pseudo.push_back(static_cast<char>(number >> 8U));
    pseudo.push_back(static_cast<char>(number));
  }
  return pseudo;
}

std::string BuildIpHeader(bool v4, const std::string& addresses) {
  if (v4) {
    iphdr header{};
    header.version = 4;
    header.ihl = sizeof(header) / kWordBytes;
    header.tot_len = htons(sizeof(header) + sizeof(tcphdr));
    header.ttl = kResetHopLimit;
    header.protocol = IPPROTO_TCP;
    std::memcpy(&header.saddr, addresses.data(), addresses.size());
    header.check = htons(Checksum(BytesOf(header)));
    return BytesOf(header);
  }
  ip6_hdr header{};
  header.ip6_vfc = 0x60;
  header.ip6_plen = htons(sizeof(tcphdr));
  header.ip6_nxt = IPPROTO_TCP;
  header.ip6_hops = kResetHopLimit;
  std::memcpy(&header.ip6_src, addresses.data(), addresses.size());
  return BytesOf(header);
}

}  // namespace

std::string BuildTcpReset(const flow_key& key, bool towards_caller,
                          std::uint32_t sequence) {
  const ip_address& source = towards_caller ? key.destination : key.source;
  const ip_address& destination = towards_caller ? key.source : key.destination;
  const bool v4 = source.IsV4();
  std::string addresses;
  for (const ip_address* address : {&source, &destination}) {
    addresses.append(address->bytes.begin() + (v4 ? kV4Offset : 0),
                     address->bytes.end());
  }

  tcphdr header{};
  header.source =
      htons(towards_caller ? key.destination_port : key.source_port);
  header.dest = htons(towards_caller ? key.source_port : key.destination_port);
  header.seq = htonl(sequence);
  header.doff = sizeof(header) / kWordBytes;
  header.th_flags = TH_RST;
  header.check = htons(Checksum(PseudoHeader(addresses) + BytesOf(header)));
  return BuildIpHeader(v4, addresses) + BytesOf(header);
}

std::optional<parsed_packet> ParseIpPacket(std::string_view bytes,
                                           failure* last_failure) {
  if (bytes.empty())
    return Refuse(last_failure, result_code::kPacketTruncated, "empty packet");
  parsed_packet parsed;
  flow_key* key = &parsed.ip_packet.key;
  const unsigned version = static_cast<std::uint8_t>(bytes[0]) >> 4U;
  std::optional<transport_part> part;
  if (version == 4) {
    part = ReadV4(bytes, key, last_failure);
  } else if (version == 6) {
    part = ReadV6(bytes, key, last_failure);
  } else {
    return Refuse(last_failure, result_code::kPacketMalformed,
                  "unknown IP version");
  }
  if (!part) return std::nullopt;

  if (part->protocol == IPPROTO_TCP) {
    parsed.tcp = ReadTcp(part->bytes, key, last_failure);
    if (!parsed.tcp) return std::nullopt;
    key->protocol = ip_protocol::kTcp;
    const bool opens = parsed.tcp->syn && !parsed.tcp->ack;
    parsed.ip_packet.opens = opens ? flow_opening::kYes : flow_opening::kNo;
  } else if (part->protocol == IPPROTO_UDP) {
    if (!ReadUdp(part->bytes, key, last_failure)) return std::nullopt;
    key->protocol = ip_protocol::kUdp;
    parsed.ip_packet.opens = flow_opening::kUnknown;
  } else {
    return Refuse(last_failure, result_code::kPacketUnsupported,
                  "transport protocol is neither TCP nor UDP");
  }
  parsed.ip_packet.bytes = bytes;
  return parsed;
}

}  // namespace tamaracklatch
