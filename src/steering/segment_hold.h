// Segments that a balancer sends again when its view has become complete, so
// that a caller need not wait for its own next retransmission.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "tamaracklatch/core/time.h"

namespace tamaracklatch {

// Invariant: at most one segment of a flow, the last.
class segment_hold {
 public:
  // What a segment waits for.
  enum class reason : std::uint8_t {
    kNoSet,      // no document set is known yet
    kUnsettled,  // the search can't be confirmed yet
  };

  explicit segment_hold(std::size_t max_segments)
      : max_segments_(max_segments) {}

  // Keeps a copy. Nothing happens where there is no room.
  void Keep(std::uint64_t flow, reason why, std::string_view bytes,
            time_point now);

  // The flow's owner is known.
  void Remove(std::uint64_t flow) { held_.erase(flow); }

  // The segments that are to be sent now, in the order of their flows. Those
  // that wait for a settled view come a second time a little later, as target
  // daemons settle at another moment.
  std::vector<std::string> TakeDue(bool has_set, bool is_settled,
                                   time_point now);

  std::size_t size() const { return held_.size(); }

 private:
  struct entry {
    reason why = reason::kNoSet;
    std::string bytes;
    time_point kept;
    int repeats = 0;  // already sent so often
    time_point due;   // not before
  };

  // Whether the entry is done with.
  bool Take(entry* held, bool has_set, bool is_settled, time_point now,
            std::vector<std::string>* due) const;

  std::size_t max_segments_;
  std::map<std::uint64_t, entry> held_;  // by flow
};

}  // namespace tamaracklatch
