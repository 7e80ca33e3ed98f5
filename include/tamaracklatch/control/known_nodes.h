// The names of the nodes that are not targets, as the control VMs hold them in
// the log: a new leader knows by them which nodes it has not heard yet.
//
//   known_nodes known;
//   known.Apply(revision{7}, batch);          // from the log, in order
//   for (const std::string& name : known.names()) ...;
#pragma once

#include <cstddef>
#include <set>
#include <string>
#include <vector>

#include "tamaracklatch/core/ids.h"
#include "tamaracklatch/transport/wire.h"

namespace tamaracklatch {

// The log entry: nodes that were heard for the first time, and such as stopped
// gracefully or were silent for too long.
struct known_nodes_batch {
  std::vector<std::string> added;
  std::vector<std::string> removed;

  bool empty() const { return added.empty() && removed.empty(); }
};

void Write(wire_writer* writer, const known_nodes_batch& batch);
known_nodes_batch ReadKnownNodesBatch(wire_reader* reader);

class known_nodes {
 public:
  void Apply(revision at, const known_nodes_batch& batch);

  const std::set<std::string>& names() const { return names_; }

  // The entry that changed the names last.
  revision changed() const { return changed_; }

  void Write(wire_writer* writer) const;
  void Read(wire_reader* reader);

 private:
  std::set<std::string> names_;  // at most kMaxKnownNodes
  revision changed_;
};

inline constexpr std::size_t kMaxKnownNodes = 1U << 17U;

}  // namespace tamaracklatch
