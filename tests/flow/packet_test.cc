// Tests of the IP parser: valid packets of both versions are parsed, and each
// malformed packet is refused with its result code.
#include "tamaracklatch/flow/packet.h"

#include <cstddef>
#include <string>

#include "flow/ip_packets.h"
#include "support/property.h"

namespace tamaracklatch {
namespace {

using test::Tcp;
using test::Udp;
using test::V4;
using test::V6;

Test(packet, reads_headers) {
  struct row {
    std::string bytes;
    ip_protocol protocol;
    flow_opening opens;
  };
  const row rows[] = {
      {V4(IPPROTO_TCP, Tcp(TH_SYN, "")), ip_protocol::kTcp, flow_opening::kYes},
      {V4(IPPROTO_TCP, Tcp(TH_ACK, "abc")), ip_protocol::kTcp,
       flow_opening::kNo},
      {V4(IPPROTO_TCP, Tcp(TH_SYN | TH_ACK, "")), ip_protocol::kTcp,
       flow_opening::kNo},
      {V4(IPPROTO_UDP, Udp("abc")), ip_protocol::kUdp, flow_opening::kUnknown},
      {V6(IPPROTO_TCP, Tcp(TH_SYN, "")), ip_protocol::kTcp, flow_opening::kYes},
      {V6(IPPROTO_UDP, Udp("")), ip_protocol::kUdp, flow_opening::kUnknown},
  };
  for (const row& each : rows) {
    const auto parsed = ParseIpPacket(each.bytes, nullptr);
    cr_assert(parsed.has_value());
    cr_assert(parsed->ip_packet.key.protocol == each.protocol);
    cr_assert(parsed->ip_packet.opens == each.opens);
    cr_assert(parsed->ip_packet.key.source_port == 1234);
    cr_assert(parsed->ip_packet.key.destination_port == 80);
    cr_assert(parsed->tcp.has_value() == (each.protocol == ip_protocol::kTcp));
  }
  const auto v4 = ParseIpPacket(rows[1].bytes, nullptr);
  cr_assert(v4->ip_packet.key.source == MakeV4(0x0a700001));
  cr_assert(v4->ip_packet.key.destination == MakeV4(0x0a090001));
  cr_assert(v4->tcp->sequence == 1000);
  cr_assert(v4->tcp->acknowledged == 2000);
  cr_assert(v4->tcp->payload_bytes == 3);
}

Test(packet, refuses_faults_by_number) {
  struct row {
    std::string bytes;
    std::size_t at;  // index of the changed byte
    std::uint8_t value;
    result_code expected;
  };
  const std::string tcp = V4(IPPROTO_TCP, Tcp(TH_SYN, ""));
  const std::string udp = V4(IPPROTO_UDP, Udp("abc"));
  const std::string v6 = V6(IPPROTO_TCP, Tcp(TH_SYN, ""));
  const row rows[] = {
      {tcp, 0, 0x15, result_code::kPacketMalformed},  // version
      {tcp, 0, 0x44, result_code::kPacketMalformed},  // header length
      {tcp, 0, 0x4f,
       result_code::kPacketMalformed},  // header length beyond the packet
      {tcp, 3, 0x01, result_code::kPacketMalformed},    // total length
      {tcp, 2, 0x10, result_code::kPacketTruncated},    // total length
      {tcp, 6, 0x20, result_code::kPacketUnsupported},  // more fragments
      {tcp, 7, 0x01, result_code::kPacketUnsupported},  // fragment offset
      {tcp, 9, IPPROTO_ICMP, result_code::kPacketUnsupported},
      {tcp, 32, 0x10, result_code::kPacketMalformed},  // TCP offset
      {tcp, 32, 0xf0, result_code::kPacketTruncated},  // TCP options
      {tcp, 33, TH_SYN | TH_RST, result_code::kPacketMalformed},
      {udp, 25, 0x07, result_code::kPacketMalformed},  // UDP length
      {udp, 24, 0x10, result_code::kPacketMalformed},  // UDP length
      {v6, 6, IPPROTO_FRAGMENT, result_code::kPacketUnsupported},
      {v6, 4, 0x10, result_code::kPacketTruncated},  // payload length
      {v6, 5, 0x04, result_code::kPacketTruncated},  // payload length
  };
  for (const row& each : rows) {
    std::string bytes = each.bytes;
    bytes[each.at] = static_cast<char>(each.value);
    failure error;
    cr_assert(!ParseIpPacket(bytes, &error));
    cr_assert(error.code == each.expected, "byte %zu: %s", each.at,
              ToString(error).c_str());
  }
}

Test(packet, refuses_every_cut) {
  for (const std::string& valid :
       {V4(IPPROTO_TCP, Tcp(TH_SYN, "abc")), V4(IPPROTO_UDP, Udp("abc")),
        V6(IPPROTO_TCP, Tcp(TH_SYN, "abc")), V6(IPPROTO_UDP, Udp("abc"))}) {
    for (std::size_t size = 0; size < valid.size(); ++size) {
      failure error;
      cr_assert(!ParseIpPacket(valid.substr(0, size), &error));
      cr_assert(error.code == result_code::kPacketTruncated);
    }
  }
}

// The Internet checksum sum of `bytes`; 0xffff for a valid header that includes
// its checksum.
std::uint32_t SumOf(const std::string& bytes) {
  std::uint32_t sum = 0;
  for (std::size_t at = 0; at + 1 < bytes.size(); at += 2) {
    sum +=
        static_cast<std::uint32_t>(static_cast<std::uint8_t>(bytes[at]) << 8U) +
        static_cast<std::uint8_t>(bytes[at + 1]);
  }
  while (sum >> 16U != 0) sum = (sum & 0xffffU) + (sum >> 16U);
  return sum;
}

Test(packet, builds_resets_for_both_ends) {
  for (const std::string& data : {V4(IPPROTO_TCP, Tcp(TH_ACK, "abc")),
                                  V6(IPPROTO_TCP, Tcp(TH_ACK, "abc"))}) {
    const flow_key key = ParseIpPacket(data, nullptr)->ip_packet.key;
    for (const bool towards_caller : {true, false}) {
      const std::string bytes = BuildTcpReset(key, towards_caller, 4321);
      const auto reset = ParseIpPacket(bytes, nullptr);
      cr_assert(reset && reset->tcp && reset->tcp->rst);
      cr_assert(reset->tcp->sequence == 4321);
      const flow_key& reset_key = reset->ip_packet.key;
      cr_assert(reset_key.source ==
                (towards_caller ? key.destination : key.source));
      cr_assert(reset_key.destination_port ==
                (towards_caller ? key.source_port : key.destination_port));
      const bool v4 = key.source.IsV4();
      if (v4) cr_assert(SumOf(bytes.substr(0, 20)) == 0xffff);
      // The pseudo-header of addresses, length and protocol is summed as well.
      const std::string addresses =
          v4 ? bytes.substr(12, 8) : bytes.substr(8, 32);
      const std::string covered = addresses + std::string("\0\x14\0\x06", 4) +
                                  bytes.substr(v4 ? 20 : 40);
      cr_assert(SumOf(covered) == 0xffff);
    }
  }
}

Test(packet, survives_any_bytes) {
  test::CheckProperty(
      "arbitrary bytes do not crash the parser", [](std::string bytes) {
        if (!bytes.empty() && *rc::gen::arbitrary<bool>())
          bytes[0] = *rc::gen::element('\x45', '\x4f', '\x60');
        failure error;
        if (ParseIpPacket(bytes, &error)) return;
        RC_ASSERT(error.code >= result_code::kPacketTruncated);
        RC_ASSERT(error.code <= result_code::kPacketUnsupported);
      });
}

}  // namespace
}  // namespace tamaracklatch
