// A segment of a flow whose answers leave the target's VM directly, and the
// codec that a packet format implements. The library never changes what a
// segment carries; it marks deliveries by a token where the format has room.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "tamaracklatch/core/endpoint.h"
#include "tamaracklatch/flow/packet.h"

namespace tamaracklatch {

// One segment. `bytes` refers to the port's buffer.
struct segment {
  flow_key key;  // as the caller's segments have it, in both directions
  tcp_segment tcp;
  bool from_target = false;
  // Of an opening segment from the caller: its copy, 0 for the first.
  std::uint32_t copy = 0;
  // The target handed back a delivered segment: it does not hold the flow, or
  // can't take the opening. `token` is that of the delivery.
  bool returned = false;
  std::uint32_t token = 0;
  std::string_view bytes;

  // Whether it asks for a new flow.
  bool opens() const { return tcp.syn && !tcp.ack; }
};

// Reads and writes one packet format.
class segment_codec {
 public:
  virtual ~segment_codec() = default;

  // Reads a segment from a caller or, with `from_target`, from a target. On
  // failure returns nothing; the code is kSegmentMalformed.
  virtual std::optional<segment> Decode(std::string_view bytes,
                                        bool from_target,
                                        failure* last_failure) const = 0;

  // Writes the token of a delivery into the bytes of a segment, and takes the
  // mark of a returned one away. All else stays as it is.
  virtual void MarkDelivery(std::string* bytes, std::uint32_t token) const = 0;

  // A reset that tells the caller of `refused` that its flow is not open.
  virtual std::string BuildReset(const segment& refused) const = 0;
};

}  // namespace tamaracklatch
