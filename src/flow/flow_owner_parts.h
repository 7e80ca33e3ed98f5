// What the sources of flow_owner share: units of time and the marks on an
// envelope's list of candidates.
#pragma once

#include <chrono>
#include <cstdint>

#include "flow/flow_table.h"
#include "tamaracklatch/flow/flow_owner.h"

namespace tamaracklatch {

// Unit of flow_tick.
inline constexpr std::chrono::milliseconds kFlowTick = kTickEvery;

// A TCP flow whose caller has sent FIN is forgotten after this without packets.
inline constexpr std::chrono::seconds kFinishedLimit{60};

// How long after a change an opening packet still asks the earlier owners.
inline constexpr std::chrono::seconds kSettleTime{10};

// How long an opening packet that was passed on is remembered.
inline constexpr std::chrono::seconds kPassedFor{2};
inline constexpr std::size_t kPassedEntries = 256;  // a power of two
inline constexpr std::size_t kPassedWays = 4;

inline constexpr std::uint32_t kBitsPerWord = 64;

// A pull that was not answered is asked for again after this.
inline constexpr std::chrono::milliseconds kPullEvery{100};

// Flows closed in one Tick when the drain limit ends.
inline constexpr std::uint32_t kSweepStep = 4096;

// Load of one flow on a target of weight 1.
inline constexpr std::uint64_t kLoadUnit = 65536;

// Weight of a new observation in peer_load_, as a shift.
inline constexpr std::uint32_t kLoadShift = 3;

// Time added to the report interval for each peer.
inline constexpr std::chrono::milliseconds kReportSpacing{50};

inline flow_tick TickOf(time_point now) {
  return static_cast<flow_tick>(now.time_since_epoch() / kFlowTick) + 1;
}

inline flow_tick TicksOf(duration time) {
  return static_cast<flow_tick>(time / kFlowTick);
}

}  // namespace tamaracklatch
