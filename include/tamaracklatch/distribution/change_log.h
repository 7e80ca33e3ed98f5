// A bounded log of the newest changes of a relay_node, encoded as they are sent
// to its children. The oldest changes are dropped when the log is full; a child
// that needs dropped changes receives a snapshot.
#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

#include "tamaracklatch/control/cluster_view.h"
#include "tamaracklatch/distribution/relay_messages.h"

namespace tamaracklatch {

// The log of one node. Revisions rise strictly from entry to entry.
class change_log {
 public:
  // Keeps at most `max_bytes` bytes (an estimate that includes the overhead of
  // the containers), but always the newest revision.
  explicit change_log(std::size_t max_bytes);

  // Removes all entries; the next change must be above `at`.
  void Reset(revision at);

  // Adds the changes of one revision, which must be above newest(). When the
  // log is full, the oldest revisions are dropped and floor() rises.
  void Append(encoded_revision entry);

  // Raises newest() to `to` without changes: there are none between them.
  void Advance(revision to);

  // The log holds all changes above this revision.
  revision floor() const { return floor_; }
  // The revision up to which the log is complete.
  revision newest() const { return newest_; }
  // Estimated size of the entries in bytes.
  std::size_t bytes() const { return bytes_; }

  // The result of Read.
  struct slice {
    std::vector<encoded_revision> revisions;
    revision to;  // `revisions` is complete up to this one
  };

  // Returns the changes above `after`, which must not be below floor(); if
  // `service` is given, only the changes of that service. Stops before the
  // revision that would exceed `max_bytes`, but returns at least one revision
  // if there is any.
  slice Read(revision after, std::optional<service_id> service,
             std::size_t max_bytes) const;

 private:
  std::size_t max_bytes_;
  std::size_t bytes_ = 0;
  revision floor_;
  revision newest_;
  std::deque<encoded_revision> entries_;  // in ascending order of revisions
};

}  // namespace tamaracklatch
