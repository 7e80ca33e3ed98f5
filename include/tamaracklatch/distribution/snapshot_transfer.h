// Transfer of a complete view in bounded parts. The sender keeps no state for
// the receiver: each part continues at the position in the receiver's pull, and
// first brings the records received so far to the sender's revision. So a
// transfer continues after lost messages, and from another sender.
#pragma once

#include <cstddef>
#include <optional>
#include <string>

#include "tamaracklatch/control/cluster_view.h"
#include "tamaracklatch/distribution/change_log.h"
#include "tamaracklatch/distribution/relay_messages.h"

namespace tamaracklatch {

// Returns the part after `from`, of about `max_bytes`; if `service` is given,
// only the records of that service. Restarts the transfer if `log` no longer
// holds the changes since `from.at`.
snapshot_part NextSnapshotPart(const cluster_view& view, const change_log& log,
                               std::optional<service_id> service,
                               const snapshot_position& from,
                               std::size_t max_bytes);

// The receiver's side: assembles the view from the parts.
class snapshot_reader {
 public:
  // What was received so far; sent in the next pull.
  const snapshot_position& position() const { return position_; }

  // Applies a part that continues at position(), and ignores any other. Returns
  // false on a malformed part, after which the transfer starts again.
  bool OnPart(const snapshot_part& part);

  // Whether the last part was applied.
  bool done() const { return done_; }

  // Returns the complete view and resets the reader. Call only if done().
  cluster_view TakeView();

 private:
  void Reset();

  snapshot_position position_;
  cluster_view view_;  // the services and targets up to position_
  bool done_ = false;
};

}  // namespace tamaracklatch
