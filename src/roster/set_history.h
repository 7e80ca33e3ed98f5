// The newest document set at a hub, and what led to it from earlier ones.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <string_view>

#include "roster/roster_messages.h"

namespace tamaracklatch {

// Invariants: each step leads to the version from which the next one leads, the
// last one to the newest set; all steps are together no larger than that set.
class set_history {
 public:
  // A set as EncodeDocumentSet wrote it, above the version held.
  void Add(std::uint64_t version, std::string bytes);

  const set_head& head() const { return head_; }
  std::string_view bytes() const { return bytes_; }

  // What leads from a set that a member holds to the newest, as JoinSetDeltas
  // wrote it; empty where that is not known, or the whole set is smaller.
  std::string DeltaFrom(std::uint64_t version, std::uint64_t hash) const;

 private:
  struct step {
    std::uint64_t version = 0;  // of the set from which it leads
    std::uint64_t hash = 0;     // of that set
    std::string delta;
  };

  set_head head_;
  std::string bytes_;
  std::deque<step> steps_;      // oldest first
  std::size_t step_bytes_ = 0;  // of their deltas
};

}  // namespace tamaracklatch
