// A leader's replication state for one other member.
#include "tamaracklatch/consensus/follower_progress.h"

#include <algorithm>
#include <utility>

#include "tamaracklatch/core/hash.h"

namespace tamaracklatch {

void follower_progress::Acknowledge(revision index) {
  match = std::max(match, index);
  next = std::max(next, revision{match.value + 1});
  while (!in_flight.empty() && in_flight.front() <= match) {
    in_flight.pop_front();
  }
}

void follower_progress::ResumeAfter(revision index) {
  next = {std::max(match, index).value + 1};
  in_flight.clear();
  ++generation;
}

void follower_progress::StartSnapshot(shared_snapshot newest) {
  snapshot = std::move(newest);
  snapshot_checksum = HashText(snapshot->data);
  snapshot_sent = 0;
  snapshot_acknowledged = 0;
  snapshot_started = false;
  snapshot_progressed = true;
  in_flight.clear();
  ++generation;
}

void follower_progress::FinishSnapshot(revision index) {
  snapshot.reset();
  Acknowledge(index);
  ResumeAfter(match);
}

}  // namespace tamaracklatch
