// Segments that a balancer holds while its view is incomplete and routes again
// when the view is complete, which is earlier than the caller's next
// retransmission.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "tamaracklatch/core/time.h"

namespace tamaracklatch {

// Invariant: at most one segment per flow, the last one added; of the copies of
// an opening the first one added, since targets accept an earlier copy in more
// cases than a later one.
class segment_hold {
 public:
  // Why a segment is held.
  enum class hold_reason : std::uint8_t {
    kNoSet,      // no document set was received yet
    kUnsettled,  // a search can't be confirmed yet
  };

  // While `max_segments` are held, segments of other flows are not added.
  explicit segment_hold(std::size_t max_segments)
      : max_segments_(max_segments) {}

  // Holds a copy of the segment, which `opens` the flow or not, and replaces an
  // earlier one of the flow. Does nothing if there is no room.
  void Keep(std::uint64_t flow, hold_reason reason, std::string_view bytes,
            bool opens, time_point now);

  // Drops the flow's segment; called when the owner has become known.
  void Remove(std::uint64_t flow) { segments_.erase(flow); }

  // Returns the segments to route now, by ascending flow hash, and drops
  // expired ones. Segments held as kUnsettled are due once the view is settled
  // and was confirmed as of a time after their arrival. They are returned a
  // second time after a short interval, since the views of target daemons
  // settle at other times.
  std::vector<std::string> TakeDue(bool has_set, bool is_settled,
                                   time_point confirmed_as_of, time_point now);

  std::size_t size() const { return segments_.size(); }

 private:
  struct entry {
    hold_reason reason = hold_reason::kNoSet;
    std::string bytes;
    bool opens = false;
    time_point held_since;  // the last Keep
    int sends = 0;          // times that it was returned by TakeDue
    time_point next_send;   // earliest time of the next one
  };

  // Appends the segment to `due` if it is to be sent now. True if the entry is
  // to be removed.
  bool TakeIfDue(entry* held, bool has_set, bool is_settled,
                 time_point confirmed_as_of, time_point now,
                 std::vector<std::string>* due) const;

  std::size_t max_segments_;
  std::map<std::uint64_t, entry> segments_;  // by flow
};

}  // namespace tamaracklatch
