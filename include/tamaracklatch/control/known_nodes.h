// The names of the nodes that are not targets, replicated in the log of the
// control VMs. A new leader knows from them which nodes have not reported to it
// yet.
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

// A log entry. Added are nodes that are reported and not recorded yet; removed
// are nodes that stopped gracefully, were not reported for too long or became
// targets.
struct known_nodes_batch {
  std::vector<std::string> added;
  std::vector<std::string> removed;

  bool empty() const { return added.empty() && removed.empty(); }
};

// Write and read a batch as part of an encoded command; a fault shows in
// reader->ok().
void Write(wire_writer* writer, const known_nodes_batch& batch);
known_nodes_batch ReadKnownNodesBatch(wire_reader* reader);

// The set of names; part of control_state.
class known_nodes {
 public:
  // Removes and then adds the names of the batch, which is the log entry at
  // revision `at`. Names above kMaxKnownNodes are not added.
  void Apply(revision at, const known_nodes_batch& batch);

  const std::set<std::string>& names() const { return names_; }

  // Revision of the last batch; 0 before the first.
  revision changed() const { return changed_; }

  // Write and read the set as part of a snapshot; a fault shows in
  // reader->ok().
  void Write(wire_writer* writer) const;
  void Read(wire_reader* reader);

 private:
  std::set<std::string> names_;  // at most kMaxKnownNodes
  revision changed_;
};

// Names that may be known at once.
inline constexpr std::size_t kMaxKnownNodes = 1U << 17U;

}  // namespace tamaracklatch
