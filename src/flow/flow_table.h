// The authoritative table of one target daemon's flows. Entries are allocated
// in blocks that never move. A hash index finds them by key, and a timing wheel
// gives the flows to check at each tick, so that no tick scans the whole table.
#pragma once

#include <array>
#include <cstdint>
#include <memory>
#include <vector>

#include "tamaracklatch/core/endpoint.h"

namespace tamaracklatch {

// Time inside the table, in units of kFlowTick; 0 means "never".
using flow_tick = std::uint32_t;

// Index of an entry; reused after the entry is removed.
using flow_slot = std::uint32_t;
inline constexpr flow_slot kNoFlow = 0xffffffff;

// One established flow.
struct flow_entry {
  flow_key key;
  endpoint origin;            // the balancer that sent its last packet
  std::uint64_t hash = 0;     // HashFlow(key)
  flow_tick last_active = 0;  // of its latest packet or answer
  // Since when data for this end has made no progress; 0 if none is waiting.
  flow_tick target_waiting_since = 0;
  flow_tick caller_waiting_since = 0;
  std::uint32_t next_sequence = 0;  // the caller's next TCP sequence number
  std::uint32_t acknowledged = 0;   // the caller's acknowledgment number
  bool live = false;                // false: the entry is free
  bool answered = false;            // the target has answered at least once
  bool relayed = false;             // a TCP connection relayed by the daemon
  bool tcp_seen = false;            // next_sequence and acknowledged are valid
  bool fin_seen = false;            // the caller has sent FIN
  // A live entry is in the doubly linked list of the wheel slot of `due`; a
  // free entry is in the free list, linked by `next`.
  flow_tick due = 0;
  flow_slot next = kNoFlow;
  flow_slot previous = kNoFlow;
};

// Flows by key and by the tick of their next check; used by flow_owner.
class flow_table {
 public:
  // `now` is the tick at which the wheel starts.
  explicit flow_table(flow_tick now);

  // The flow with this key, or kNoFlow.
  flow_slot Find(const flow_key& key, std::uint64_t hash) const;

  // Adds a flow whose key is not in the table yet; the caller sets the
  // remaining fields of the entry. TakeDue returns the flow at `due`.
  flow_slot Add(const flow_key& key, std::uint64_t hash, flow_tick due);

  // Removes a live flow; its slot may be reused.
  void Remove(flow_slot slot);

  flow_entry& At(flow_slot slot) {
    return (*blocks_[slot / kBlockEntries])[slot % kBlockEntries];
  }
  const flow_entry& At(flow_slot slot) const {
    return (*blocks_[slot / kBlockEntries])[slot % kBlockEntries];
  }

  // Sets the tick at which TakeDue returns the flow.
  void Schedule(flow_slot slot, flow_tick due);

  // Advances the wheel to `now` and appends the flows that are due to `due`;
  // the caller must remove or reschedule each. A flow due more than kWheelSlots
  // - 1 ticks ahead is returned early.
  void TakeDue(flow_tick now, std::vector<flow_slot>* due);

  // Number of live flows.
  std::size_t size() const { return size_; }

  // Number of entries allocated so far, live or free; every slot is below it.
  flow_slot slot_count() const { return slot_count_; }

  // Memory in bytes.
  std::size_t MemoryBytes() const;

 private:
  static constexpr std::size_t kBlockEntries = 512;
  static constexpr std::size_t kWheelSlots = 1024;  // of one tick each

  using block = std::array<flow_entry, kBlockEntries>;

  // One cell of the index; it is empty if its slot is kNoFlow.
  struct cell {
    std::uint32_t tag = 0;  // high half of the hash
    flow_slot slot = kNoFlow;
  };

  std::size_t CellOf(std::uint32_t tag) const {
    return tag & (index_.size() - 1);
  }
  // Adds the entry to, or removes it from, the wheel list of its due tick.
  void Link(flow_slot slot);
  void Unlink(flow_slot slot);
  void Grow();
  void InsertCell(cell next);

  std::vector<std::unique_ptr<block>> blocks_;
  std::vector<cell> index_;       // open addressing; the size is a power of two
  std::vector<flow_slot> wheel_;  // heads of the lists, by tick modulo the size
  flow_tick now_;                 // of the last TakeDue
  flow_slot slot_count_ = 0;
  flow_slot free_list_ = kNoFlow;  // head of the free list
  std::size_t size_ = 0;           // live entries
};

}  // namespace tamaracklatch
