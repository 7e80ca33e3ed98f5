// What routers and owners count, for /metrics and tests.
#pragma once

#include <array>
#include <cassert>
#include <cstddef>
#include <cstdint>

#include "tamaracklatch/core/result_code.h"

namespace tamaracklatch {

// Refusals and drops by their result code of the block 800 to 863.
class refusal_counters {
 public:
  static constexpr std::uint16_t kFirst = 800;
  static constexpr std::size_t kCodes = 64;

  void Add(result_code code) { ++counts_[IndexOf(code)]; }
  std::uint64_t Of(result_code code) const { return counts_[IndexOf(code)]; }

  // Calls `tell` with each code that was counted, and its count.
  template <typename Tell>
  void ForEach(Tell tell) const {
    for (std::size_t at = 0; at < counts_.size(); ++at) {
      if (counts_[at] != 0)
        tell(static_cast<result_code>(kFirst + at), counts_[at]);
    }
  }

 private:
  static std::size_t IndexOf(result_code code) {
    const auto number = static_cast<std::uint16_t>(code);
    assert(number >= kFirst && number < kFirst + kCodes);
    return number - kFirst;
  }

  std::array<std::uint64_t, kCodes> counts_{};
};

// Counted by a target daemon.
struct flow_counters {
  std::uint64_t delivered = 0;  // packets handed to the target
  std::uint64_t opened = 0;     // flows
  std::uint64_t forwarded = 0;  // packets passed to another target daemon
  std::uint64_t held = 0;       // packets that waited for a view
  std::uint64_t hints = 0;
  std::uint64_t reports = 0;  // sent, one a peer
  refusal_counters refused;   // packets dropped and flows closed, by reason
};

// Counted by a balancer.
struct router_counters {
  std::uint64_t routed = 0;
  std::uint64_t cached = 0;  // of these, by a remembered owner
  std::uint64_t hints = 0;
  refusal_counters refused;
};

}  // namespace tamaracklatch
