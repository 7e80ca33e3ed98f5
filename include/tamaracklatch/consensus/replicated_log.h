// The in-memory log of one member.
#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

#include "tamaracklatch/consensus/consensus_types.h"

namespace tamaracklatch {

// The entries after a base, up to which the log is compacted into a snapshot,
// and the voter configurations in force from the base on. Used by
// consensus_node.
// Invariants: entries have the consecutive indexes base+1, base+2, … and terms
// that never decrease; configurations_ is never empty and sorted by index.
class replicated_log {
 public:
  replicated_log();

  // Removes all entries and continues after `base`, an entry of `term`, where
  // `configuration` is in force. Called at start and for an installed snapshot.
  void Reset(revision base, log_term term, voter_configuration configuration);

  // Appends the entry after the last one. The payload of a configuration entry
  // must be well-formed.
  void Append(log_entry entry);

  // Removes the entries from `index` on, which must be after base().
  void TruncateFrom(revision index);

  // Removes the entries up to `index`, which becomes the base; at most
  // last_index().
  void CompactThrough(revision index);

  revision base() const { return base_; }
  revision last_index() const { return {base_.value + entries_.size()}; }
  log_term last_term() const;  // of the entry at last_index()

  // The term of the entry at `index`, or nothing if `index` is before base() or
  // after last_index().
  std::optional<log_term> TermAt(revision index) const;

  // The entry at `index`, which must be after base() and at most last_index().
  const log_entry& At(revision index) const;

  // Copies entries from `first` on: at most `count` entries and `max_bytes`,
  // but always the first one if there is one.
  std::vector<log_entry> Slice(revision first, std::size_t count,
                               std::size_t max_bytes) const;

  // The index before the longest tail that ends with `index` and has at most
  // `count` entries and `max_bytes`; at least base(). Bounds compaction.
  revision IndexBeforeTail(revision index, std::size_t count,
                           std::size_t max_bytes) const;

  // The index of the first entry after base() that has the term of the entry at
  // `index`.
  revision FirstIndexOfTerm(revision index) const;

  // The newest configuration, committed or not, and its index.
  const voter_configuration& configuration() const;
  revision configuration_index() const;
  // The configuration in force at `index`.
  const voter_configuration& ConfigurationAt(revision index) const;

  // Whether `id` is a voter in the configuration in force at `index` or in any
  // newer one.
  bool IsVoterAtOrAfter(revision index, const member_id& id) const;

  // The sum of EntryBytes() of all entries.
  std::size_t bytes() const { return bytes_; }

 private:
  struct indexed_configuration {
    revision index;  // of the entry that holds it, or the base
    voter_configuration configuration;
  };

  revision base_;
  log_term base_term_;
  std::deque<log_entry> entries_;
  std::vector<indexed_configuration> configurations_;
  std::size_t bytes_ = 0;  // of all entries, with their overhead
};

// The size of an entry as counted against byte limits: its payload and a fixed
// overhead.
std::size_t EntryBytes(const log_entry& entry);

}  // namespace tamaracklatch
