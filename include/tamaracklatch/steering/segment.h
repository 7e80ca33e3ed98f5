// A TCP segment of a flow whose answers bypass the balancer (direct server
// return), and the interface that reads and writes a packet format. Segments
// are forwarded unchanged, except for a delivery token that the packet format
// has a field for.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "tamaracklatch/core/endpoint.h"
#include "tamaracklatch/flow/packet.h"

namespace tamaracklatch {

// One decoded segment. `bytes` refers to the receive buffer of the port and is
// valid as long as that buffer.
struct segment {
  // Source is the caller and destination the route's address, also in segments
  // from the target.
  flow_key key;
  tcp_segment tcp;
  bool from_target = false;
  // Of an opening from the caller: which of its copies it is. A caller sends an
  // opening several times; 0 is the first copy.
  std::uint32_t copy = 0;
  // The target returned a delivered segment: it does not hold the flow, or
  // can't accept the opening. `token` is then that of the delivery.
  bool returned = false;
  std::uint32_t token = 0;
  std::string_view bytes;

  // Whether the segment requests a new flow: a SYN without ACK.
  bool opens() const { return tcp.syn && !tcp.ack; }
};

// Reads and writes one packet format. Used by segment owners and by the daemons
// that receive segments.
class segment_codec {
 public:
  virtual ~segment_codec() = default;

  // Reads a segment from a caller or, with `from_target`, from a target. On
  // failure returns nothing and sets `last_failure` to kSegmentMalformed.
  virtual std::optional<segment> Decode(std::string_view bytes,
                                        bool from_target,
                                        failure* last_failure) const = 0;

  // Writes the token of a delivery into the bytes of a segment and clears the
  // mark of a returned segment. Token 0 clears the token. All other bytes
  // remain unchanged.
  virtual void MarkDelivery(std::string* bytes, std::uint32_t token) const = 0;

  // Builds a reset that informs the caller of `refused` that its flow is not
  // open.
  virtual std::string BuildReset(const segment& refused) const = 0;
};

}  // namespace tamaracklatch
