// Counters of flow_router and flow_owner, read by /metrics and tests.
#pragma once

#include <array>
#include <cassert>
#include <cstddef>
#include <cstdint>

#include "tamaracklatch/core/result_code.h"

namespace tamaracklatch {

// Counts of refusals and drops by result code. Only the result codes 800 to
// 863, those of the data path, can be counted.
class refusal_counters {
 public:
  static constexpr std::uint16_t kFirstCode = 800;
  static constexpr std::size_t kCodeCount = 64;

  // Counts one refusal or drop; the code must be in the block.
  void Add(result_code code) { ++counts_[IndexOf(code)]; }
  std::uint64_t CountOf(result_code code) const {
    return counts_[IndexOf(code)];
  }

  // Calls `visitor` with each code whose count is not 0, and that count.
  template <typename Visitor>
  void ForEach(Visitor visitor) const {
    for (std::size_t at = 0; at < counts_.size(); ++at) {
      if (counts_[at] != 0)
        visitor(static_cast<result_code>(kFirstCode + at), counts_[at]);
    }
  }

 private:
  static std::size_t IndexOf(result_code code) {
    const auto number = static_cast<std::uint16_t>(code);
    assert(number >= kFirstCode && number < kFirstCode + kCodeCount);
    return number - kFirstCode;
  }

  std::array<std::uint64_t, kCodeCount> counts_{};
};

// Counters of a target daemon's flow_owner, since its start.
struct flow_counters {
  std::uint64_t delivered = 0;  // packets delivered to the target
  std::uint64_t opened = 0;     // flows opened here
  std::uint64_t forwarded = 0;  // packets forwarded to another target daemon
  std::uint64_t held = 0;       // packets held for a newer or confirmed view
  std::uint64_t hints = 0;      // kHint envelopes sent to balancers
  std::uint64_t reports = 0;    // kReport envelopes sent, one per peer
  refusal_counters refused;     // packets dropped and flows closed, by reason
};

// Counters of a balancer's flow_router, since its start.
struct router_counters {
  std::uint64_t routed = 0;  // packets sent towards a target daemon
  std::uint64_t cached = 0;  // routed packets whose owner was cached
  std::uint64_t hints = 0;   // kHint envelopes received
  refusal_counters refused;  // packets and envelopes refused, by reason
};

}  // namespace tamaracklatch
