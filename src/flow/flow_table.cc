// Blocks, hash index and timing wheel of the flow table.
#include "flow/flow_table.h"

#include <algorithm>
#include <cassert>

namespace tamaracklatch {
namespace {

constexpr std::size_t kInitialCells = 64;
constexpr std::size_t kMaxFillPercent = 80;  // a fuller index is doubled

std::uint32_t TagOf(std::uint64_t hash) {
  return static_cast<std::uint32_t>(hash >> 32U);
}

}  // namespace

flow_table::flow_table(flow_tick now)
    : index_(kInitialCells), wheel_(kWheelSlots, kNoFlow), now_(now) {}

flow_slot flow_table::Find(const flow_key& key, std::uint64_t hash) const {
  const std::uint32_t tag = TagOf(hash);
  for (std::size_t at = CellOf(tag);; at = (at + 1) & (index_.size() - 1)) {
    const cell& each = index_[at];
    if (each.slot == kNoFlow) return kNoFlow;
    if (each.tag == tag && At(each.slot).key == key) return each.slot;
  }
}

flow_slot flow_table::Add(const flow_key& key, std::uint64_t hash,
                          flow_tick due) {
  if ((size_ + 1) * 100 > index_.size() * kMaxFillPercent) Grow();
  flow_slot slot = free_list_;
  if (slot == kNoFlow) {
    slot = slot_count_++;
    if (slot / kBlockEntries == blocks_.size())
      blocks_.push_back(std::make_unique<block>());
  } else {
    free_list_ = At(slot).next;
  }
  flow_entry& entry = At(slot);
  entry = flow_entry();
  entry.key = key;
  entry.hash = hash;
  entry.live = true;
  entry.due = due;
  Link(slot);
  InsertCell({TagOf(hash), slot});
  ++size_;
  return slot;
}

void flow_table::Remove(flow_slot slot) {
  flow_entry& entry = At(slot);
  assert(entry.live);
  Unlink(slot);
  const std::size_t mask = index_.size() - 1;
  std::size_t hole = CellOf(TagOf(entry.hash));
  while (index_[hole].slot != slot) hole = (hole + 1) & mask;

  // Shifts later cells of the probe sequence back into the gap, so that linear
  // probing still finds them.
  for (std::size_t at = (hole + 1) & mask; index_[at].slot != kNoFlow;
       at = (at + 1) & mask) {
    const std::size_t home = CellOf(index_[at].tag);
    if (((at - home) & mask) < ((at - hole) & mask)) continue;
    index_[hole] = index_[at];
    hole = at;
  }
  index_[hole] = cell();

  entry.live = false;
  entry.next = free_list_;
  free_list_ = slot;
  --size_;
}

void flow_table::Schedule(flow_slot slot, flow_tick due) {
  Unlink(slot);
  At(slot).due = due;
  Link(slot);
}

void flow_table::TakeDue(flow_tick now, std::vector<flow_slot>* due) {
  const flow_tick behind = now - now_;
  const flow_tick steps =
      std::min<flow_tick>(behind, static_cast<flow_tick>(kWheelSlots));
  for (flow_tick step = 1; step <= steps; ++step) {
    const std::size_t list = (now_ + step) % kWheelSlots;
    for (flow_slot at = wheel_[list]; at != kNoFlow; at = At(at).next)
      due->push_back(at);
  }
  now_ = now;
}

void flow_table::Link(flow_slot slot) {
  flow_entry& entry = At(slot);
  // A tick in the past would be reached only after a whole turn of the wheel,
  // and one beyond a turn would share the slot of an earlier tick; both are
  // clamped.
  const flow_tick ahead = entry.due > now_ ? entry.due - now_ : 1;
  entry.due = now_ + std::min<flow_tick>(
                         ahead, static_cast<flow_tick>(kWheelSlots - 1));
  flow_slot& head = wheel_[entry.due % kWheelSlots];
  entry.previous = kNoFlow;
  entry.next = head;
  if (head != kNoFlow) At(head).previous = slot;
  head = slot;
}

void flow_table::Unlink(flow_slot slot) {
  const flow_entry& entry = At(slot);
  if (entry.next != kNoFlow) At(entry.next).previous = entry.previous;
  if (entry.previous != kNoFlow) {
    At(entry.previous).next = entry.next;
  } else {
    wheel_[entry.due % kWheelSlots] = entry.next;
  }
}

void flow_table::Grow() {
  std::vector<cell> old_index(index_.size() * 2);
  old_index.swap(index_);
  for (const cell& each : old_index) {
    if (each.slot != kNoFlow) InsertCell(each);
  }
}

void flow_table::InsertCell(cell next) {
  std::size_t at = CellOf(next.tag);
  while (index_[at].slot != kNoFlow) at = (at + 1) & (index_.size() - 1);
  index_[at] = next;
}

std::size_t flow_table::MemoryBytes() const {
  return sizeof(*this) + blocks_.size() * sizeof(block) +
         index_.capacity() * sizeof(cell) +
         wheel_.capacity() * sizeof(flow_slot);
}

}  // namespace tamaracklatch
