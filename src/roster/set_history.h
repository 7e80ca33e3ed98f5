// The newest document set at a hub, and the deltas to it from earlier ones.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <string_view>

#include "roster/roster_messages.h"

namespace tamaracklatch {

// Serves whole sets and deltas to members; used by roster_hub. Invariants: each
// delta leads to the version that the next one starts from, the last one to the
// newest set; together they are no larger than that set.
class set_history {
 public:
  // Adds a set as EncodeDocumentSet wrote it; its version must be higher than
  // the one held. `is_next`: no set was accepted between the two. Drops the
  // oldest deltas where a limit is exceeded.
  void Add(std::uint64_t version, std::string bytes, bool is_next);

  const set_head& head() const { return head_; }
  std::string_view bytes() const { return bytes_; }

  // The delta from the set with this version and hash to the newest one, as
  // JoinSetDeltas wrote it; empty if it is not known, or if the whole set is no
  // larger.
  std::string DeltaFrom(std::uint64_t version, std::uint64_t hash) const;

  // The version after which the delta from `base`, or the whole set if that is
  // 0, shows all sets that were accepted; 0: not known.
  std::uint64_t CompleteSince(std::uint64_t base) const;

 private:
  struct step {
    std::uint64_t version = 0;  // of the set that the delta starts from
    std::uint64_t hash = 0;     // of that set
    bool is_next = false;       // no set was accepted between the two
    std::string delta;
  };

  set_head head_;
  std::string bytes_;
  std::uint64_t previous_ = 0;  // the set accepted before it; 0: not known
  std::deque<step> steps_;      // oldest first
  std::size_t step_bytes_ = 0;  // size of all their deltas
};

}  // namespace tamaracklatch
