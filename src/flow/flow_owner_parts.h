// Constants and time conversions shared by the sources of flow_owner.
#pragma once

#include <chrono>
#include <cstdint>

#include "flow/flow_table.h"
#include "tamaracklatch/flow/flow_owner.h"

namespace tamaracklatch {

// Unit of flow_tick.
inline constexpr std::chrono::milliseconds kFlowTick = kTickInterval;

// Idle limit of a TCP flow whose caller has sent FIN.
inline constexpr std::chrono::seconds kFinIdleLimit{60};

// After a change of its bucket, an opening packet visits the earlier owners for
// this long, as balancers with an older view may have opened the flow there.
inline constexpr std::chrono::seconds kSettleTime{10};

// Lifetime and number of the entries for forwarded opening packets.
inline constexpr std::chrono::seconds kForwardedOpeningLifetime{2};
inline constexpr std::size_t kForwardedOpeningEntries = 256;  // a power of two
inline constexpr std::size_t kForwardedOpeningWays = 4;

inline constexpr std::uint32_t kBitsPerWord = 64;

// An unanswered pull_view may be repeated after this.
inline constexpr std::chrono::milliseconds kPullRetryInterval{100};

// Flow table slots that one Tick checks, and closes if live, after the drain
// limit.
inline constexpr std::uint32_t kDrainSweepSlots = 4096;

// Load of one flow on a target of weight 1.
inline constexpr std::uint64_t kLoadUnit = 65536;

// A new observation enters the moving average peer_load_ with weight 1/2^this.
inline constexpr std::uint32_t kPeerLoadShift = 3;

// Time added to the report interval for each target of the service, so that the
// traffic of reports grows more slowly.
inline constexpr std::chrono::milliseconds kReportSpacingPerTarget{50};

// The tick of a point in time; never 0, which means "never".
inline flow_tick TickOf(time_point now) {
  return static_cast<flow_tick>(now.time_since_epoch() / kFlowTick) + 1;
}

// The duration in whole ticks, rounded down.
inline flow_tick TicksOf(duration time) {
  return static_cast<flow_tick>(time / kFlowTick);
}

}  // namespace tamaracklatch
