// The flows of one target daemon, with the truth about each. Entries live in
// blocks that never move; an index finds them by key, and a wheel of slots says
// which to look at next, so that nothing ever scans the whole.
#pragma once

#include <array>
#include <cstdint>
#include <memory>
#include <vector>

#include "tamaracklatch/core/endpoint.h"

namespace tamaracklatch {

// Time inside the table, in units of kFlowTick; 0 means "never".
using flow_tick = std::uint32_t;

// Number of an entry.
using flow_slot = std::uint32_t;
inline constexpr flow_slot kNoFlow = 0xffffffff;

// One established flow.
struct flow_entry {
  flow_key key;
  endpoint origin;                  // the balancer of its latest packet
  std::uint64_t hash = 0;           // HashFlow(key)
  flow_tick used = 0;               // its latest packet or answer
  flow_tick target_waiting = 0;     // oldest unanswered work for the target
  flow_tick caller_waiting = 0;     // oldest unacknowledged work for the caller
  std::uint32_t next_sequence = 0;  // past the caller's latest TCP data
  std::uint32_t acknowledged = 0;   // by the caller, of the target's TCP data
  bool live = false;
  bool answered = false;  // the target has answered at least once
  bool relayed = false;   // a TCP connection that the daemon relays
  bool tcp_seen = false;  // next_sequence and acknowledged are set
  bool finished = false;  // the caller has sent FIN
  // The wheel's list; an entry is in the list of `due`'s slot, or, free, in the
  // list of free entries by `next`.
  flow_tick due = 0;
  flow_slot next = kNoFlow;
  flow_slot previous = kNoFlow;
};

// A table of flows with a wheel.
class flow_table {
 public:
  // `now` is the wheel's start.
  explicit flow_table(flow_tick now);

  // The flow with this key, or kNoFlow.
  flow_slot Find(const flow_key& key, std::uint64_t hash) const;

  // Adds a flow that is not there; the caller fills the rest of the entry.
  flow_slot Add(const flow_key& key, std::uint64_t hash, flow_tick due);

  void Remove(flow_slot slot);

  flow_entry& At(flow_slot slot) {
    return (*blocks_[slot / kBlock])[slot % kBlock];
  }
  const flow_entry& At(flow_slot slot) const {
    return (*blocks_[slot / kBlock])[slot % kBlock];
  }

  // Sets when the flow is looked at again.
  void Schedule(flow_slot slot, flow_tick due);

  // Moves the wheel to `now` and gives the flows that are due; each must be
  // removed or scheduled again. A flow due past the wheel's length comes
  // early.
  void TakeDue(flow_tick now, std::vector<flow_slot>* due);

  std::size_t size() const { return size_; }

  // Entries made so far, live or free; slots are below it.
  flow_slot slots() const { return used_slots_; }

  std::size_t MemoryBytes() const;

 private:
  static constexpr std::size_t kBlock = 512;        // entries
  static constexpr std::size_t kWheelSlots = 1024;  // ticks

  using block = std::array<flow_entry, kBlock>;

  // One cell of the index; a slot of kNoFlow marks it empty.
  struct cell {
    std::uint32_t tag = 0;  // high half of the hash
    flow_slot slot = kNoFlow;
  };

  std::size_t CellOf(std::uint32_t tag) const {
    return tag & (index_.size() - 1);
  }
  void Link(flow_slot slot);
  void Unlink(flow_slot slot);
  void Grow();
  void PutCell(cell next);

  std::vector<std::unique_ptr<block>> blocks_;
  std::vector<cell> index_;  // open addressing; the size is a power of two
  std::vector<flow_slot> wheel_;
  flow_tick now_;
  flow_slot used_slots_ = 0;
  flow_slot free_ = kNoFlow;
  std::size_t size_ = 0;
};

}  // namespace tamaracklatch
