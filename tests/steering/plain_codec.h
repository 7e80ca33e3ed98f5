// A packet format for tests: the struct `head` (flags, token, flow key,
// sequence numbers, copy) as it is in memory, followed by the data. The key is
// the caller's in both directions.
#pragma once

#include <cstddef>
#include <cstring>
#include <string>

#include "tamaracklatch/steering/segment.h"

namespace tamaracklatch::test {

class plain_codec : public segment_codec {
 public:
  static constexpr std::uint8_t kSyn = 1;
  static constexpr std::uint8_t kAck = 2;
  static constexpr std::uint8_t kFin = 4;
  static constexpr std::uint8_t kRst = 8;
  static constexpr std::uint8_t kReturned = 16;
  static constexpr std::uint8_t kSystem =
      32;  // a reset built by a balancer or a target daemon

  struct head {
    std::uint8_t flags = 0;
    std::uint32_t token = 0;
    flow_key key;  // the source is the caller
    std::uint32_t sequence = 0;
    std::uint32_t acknowledged = 0;
    std::uint32_t copy = 0;
  };

  static std::string Write(const head& from, const std::string& data = "") {
    std::string bytes(sizeof(head), '\0');
    std::memcpy(bytes.data(), &from, sizeof(head));
    return bytes + data;
  }

  static head Read(std::string_view bytes) {
    head result;
    std::memcpy(&result, bytes.data(), sizeof(head));
    return result;
  }

  static segment Make(std::string_view bytes, bool from_target) {
    return *plain_codec().Decode(bytes, from_target, nullptr);
  }

  std::optional<segment> Decode(std::string_view bytes, bool from_target,
                                failure* last_failure) const override {
    if (bytes.size() < sizeof(head)) {
      SetFailure(last_failure, result_code::kSegmentMalformed, "too short");
      return std::nullopt;
    }
    const head from = Read(bytes);
    segment result;
    result.key = from.key;
    result.tcp.sequence = from.sequence;
    result.tcp.acknowledged = from.acknowledged;
    result.tcp.payload_bytes =
        static_cast<std::uint32_t>(bytes.size() - sizeof(head));
    result.tcp.syn = (from.flags & kSyn) != 0;
    result.tcp.ack = (from.flags & kAck) != 0;
    result.tcp.fin = (from.flags & kFin) != 0;
    result.tcp.rst = (from.flags & kRst) != 0;
    result.from_target = from_target;
    result.copy = from.copy;
    result.returned = (from.flags & kReturned) != 0;
    result.token = result.returned ? from.token : 0;
    result.bytes = bytes;
    return result;
  }

  void MarkDelivery(std::string* bytes, std::uint32_t token) const override {
    std::memcpy(bytes->data() + offsetof(head, token), &token, sizeof(token));
    (*bytes)[offsetof(head, flags)] &= static_cast<char>(~kReturned);
  }

  std::string BuildReset(const segment& refused) const override {
    head reset;
    reset.flags = kRst | kSystem;
    reset.key = refused.key;
    return Write(reset);
  }
};

}  // namespace tamaracklatch::test
