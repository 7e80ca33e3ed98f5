// The newest changes of a node, kept encoded for its children, in bounded
// memory. Older ones are compacted away; who needs them gets a snapshot.
#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

#include "tamaracklatch/control/cluster_view.h"
#include "tamaracklatch/distribution/relay_messages.h"

namespace tamaracklatch {

class change_log {
 public:
  // Keeps at most about `max_bytes`.
  explicit change_log(std::size_t max_bytes);

  // Forgets all; the next change is one above `at`.
  void Reset(revision at);

  // Adds the changes of a revision above all before.
  void Append(encoded_revision entry);

  // Nothing was changed between the newest and `to`.
  void Advance(revision to);

  // The log answers for those who know at least this revision.
  revision floor() const { return floor_; }
  revision newest() const { return newest_; }
  std::size_t bytes() const { return bytes_; }

  // What a reader gets.
  struct slice {
    std::vector<encoded_revision> revisions;
    revision to;  // complete up to here
  };

  // The changes above `after` (which is not below the floor), those of
  // `service` alone if given, until `max_bytes` are reached; at least one.
  slice Read(revision after, std::optional<service_id> service,
             std::size_t max_bytes) const;

 private:
  std::size_t max_bytes_;
  std::size_t bytes_ = 0;
  revision floor_;
  revision newest_;
  std::deque<encoded_revision> entries_;  // by rising revision
};

}  // namespace tamaracklatch
