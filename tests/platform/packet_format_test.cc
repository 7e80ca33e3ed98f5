// Tests of the packet header.
#include "packet_format.h"

#include <string>
#include <vector>

#include "support/property.h"

namespace tamaracklatch {
namespace {

// A header with one distinct byte in each place but the length and the flags.
std::string MakePacket(std::uint8_t flags, std::size_t payload) {
  std::string bytes;
  for (std::size_t i = 0; i < kPacketHeaderBytes; ++i)
    bytes.push_back(static_cast<char>(i + 1));
  bytes[16] = static_cast<char>(payload & 0xffU);
  bytes[17] = static_cast<char>(payload >> 8U);
  bytes[30] = static_cast<char>(flags);
  return bytes + std::string(payload, 'x');
}

struct flags_row {
  std::uint8_t flags;
  bool from_target;
  bool opens;
  bool returned;
  bool swapped;  // the sender is the target
};

const std::vector<flags_row> kFlags{
    {2, false, true, false, false},   {3, true, false, false, true},
    {1, false, false, false, false},  {34, true, true, true, false},
    {33, true, false, true, false},   {9, true, false, false, true},
    {32, false, false, false, false},
};

Test(packet_format, reads_ends_and_flags) {
  const packet_format codec;
  for (const flags_row& row : kFlags) {
    const std::string bytes = MakePacket(row.flags, 5);
    const auto what = codec.Decode(bytes, row.from_target, nullptr);
    cr_assert(what.has_value());
    cr_expect(what->opens() == row.opens);
    cr_expect(what->returned == row.returned);
    cr_expect(what->from_target == row.swapped);
    cr_expect_eq(what->tcp.payload_bytes, 5);
    const ip_address destination = MakeV4(0x16151413);
    const ip_address source = MakeV4(0x1e1d1c1b);
    cr_expect(what->key.source == (row.swapped ? destination : source));
    cr_expect(what->key.destination == (row.swapped ? source : destination));
    cr_expect_eq(what->key.source_port, row.swapped ? 0x1817 : 0x1a19);
    cr_expect_eq(what->token, 0x08070605U);
    cr_expect_eq(what->tcp.sequence, 0x0c0b0a09U);
    cr_expect_eq(what->tcp.acknowledged, 0x100f0e0dU);
    cr_expect_eq(what->copy, row.opens ? 0x100f0e0dU : 0U);
  }
}

Test(packet_format, refuses_what_the_length_does_not_fit) {
  const packet_format codec;
  failure why;
  for (std::size_t size = 0; size < kPacketHeaderBytes + 5; ++size) {
    const std::string bytes = MakePacket(1, 5).substr(0, size);
    cr_expect(!codec.Decode(bytes, false, &why));
    cr_expect(why.code == result_code::kSegmentMalformed);
  }
}

Test(packet_format, a_delivery_differs_by_its_mark_only) {
  test::CheckProperty(
      "only the token and the returned mark differ",
      [](std::uint32_t token, std::uint8_t flags, std::uint8_t payload) {
        const std::string before = MakePacket(flags, payload);
        std::string after = before;
        const packet_format codec;
        codec.MarkDelivery(&after, token);
        const auto read = codec.Decode(after, true, nullptr);
        RC_ASSERT(read.has_value());
        RC_ASSERT(read->token == token);
        RC_ASSERT(!read->returned);
        for (std::size_t i = 0; i < before.size(); ++i) {
          const bool marked = (i >= 4 && i < 8) || i == 30;
          RC_ASSERT(marked || before[i] == after[i]);
        }
        RC_ASSERT(((before[30] ^ after[30]) & ~32) == 0);
      });
}

Test(packet_format, a_reset_goes_back_to_the_caller) {
  const packet_format codec;
  for (const std::uint8_t flags : {1, 2}) {
    const std::string bytes = MakePacket(flags, 0);
    const auto refused = codec.Decode(bytes, false, nullptr);
    const std::string reset = codec.BuildReset(*refused);
    const auto read = codec.Decode(reset, true, nullptr);
    cr_assert(read.has_value());
    cr_expect(read->tcp.rst);
    cr_expect(read->key == refused->key);
    cr_expect_eq(read->tcp.payload_bytes, 0);
    cr_expect_eq(read->tcp.sequence,
                 flags == 1 ? refused->tcp.acknowledged : 0);
    cr_expect_eq(reset.substr(0, 8), std::string(8, '\0'));
  }
}

Test(packet_format, reads_arbitrary_bytes) {
  test::CheckProperty("never fails badly", [](const std::string& bytes) {
    const auto what = packet_format().Decode(bytes, true, nullptr);
    RC_ASSERT(!what || what->bytes.size() >= kPacketHeaderBytes);
  });
}

}  // namespace
}  // namespace tamaracklatch
