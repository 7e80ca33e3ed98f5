// A whole view in bounded parts. The giver keeps nothing for the taker: each
// part continues at the position that the taker names, after the changes that
// bring the received part to the giver's revision. So a transfer goes on after
// losses, and from another giver.
#pragma once

#include <cstddef>
#include <optional>
#include <string>

#include "tamaracklatch/control/cluster_view.h"
#include "tamaracklatch/distribution/change_log.h"
#include "tamaracklatch/distribution/relay_messages.h"

namespace tamaracklatch {

// The part after `from`, of `service` alone if given, of about `max_bytes`.
snapshot_part NextSnapshotPart(const cluster_view& view, const change_log& log,
                               std::optional<service_id> service,
                               const snapshot_position& from,
                               std::size_t max_bytes);

// The taker's side.
class snapshot_reader {
 public:
  const snapshot_position& position() const { return position_; }

  // Takes a part in, if it continues here. Returns false on a malformed part,
  // after which the transfer starts anew.
  bool OnPart(const snapshot_part& part);

  // After the last part: the view, complete at its revision.
  bool done() const { return done_; }
  cluster_view TakeView();

 private:
  void Reset();

  snapshot_position position_;
  cluster_view view_;  // the services and targets up to position_
  bool done_ = false;
};

}  // namespace tamaracklatch
