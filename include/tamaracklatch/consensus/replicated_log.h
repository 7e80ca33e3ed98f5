// The log of one member in memory: entries after a base, and the configurations
// in them.
#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

#include "tamaracklatch/consensus/consensus_types.h"

namespace tamaracklatch {

// Invariants: entries have indexes base+1, base+2, … without a gap and terms
// that never fall; configurations_ is never empty and sorted by index.
class replicated_log {
 public:
  replicated_log();

  // Starts again after `base`, an entry of `term`, without entries.
  void Reset(revision base, log_term term, voter_configuration configuration);

  // Appends the entry that follows the last one. A configuration's payload
  // must be well-formed.
  void Append(log_entry entry);

  // Drops all entries from `index` on.
  void TruncateFrom(revision index);

  // Drops entries up to `index`, which must be within the log.
  void CompactThrough(revision index);

  revision base() const { return base_; }
  revision last_index() const { return {base_.value + entries_.size()}; }
  log_term last_term() const;

  // The term of an entry from base() to last_index(), else nothing.
  std::optional<log_term> TermAt(revision index) const;

  // An entry after base(), up to last_index().
  const log_entry& At(revision index) const;

  // Copies entries from `first` on, at least one if there is one, up to `count`
  // and about `max_bytes`.
  std::vector<log_entry> Slice(revision first, std::size_t count,
                               std::size_t max_bytes) const;

  // The last entry before a tail that ends with `index` and has at most `count`
  // entries and `max_bytes`; at least base().
  revision BeforeTail(revision index, std::size_t count,
                      std::size_t max_bytes) const;

  // The first entry of the run of equal terms that holds `index`, or base()+1.
  revision FirstOfTerm(revision index) const;

  // The newest configuration, committed or not, and its index.
  const voter_configuration& configuration() const;
  revision configuration_index() const;
  // The configuration in force at `index`.
  const voter_configuration& ConfigurationAt(revision index) const;

  // Whether `id` votes in the configuration in force at `index` or any newer.
  bool IsVoterSince(revision index, const member_id& id) const;

  std::size_t bytes() const { return bytes_; }

 private:
  struct placed_configuration {
    revision index;
    voter_configuration configuration;
  };

  revision base_;
  log_term base_term_;
  std::deque<log_entry> entries_;
  std::vector<placed_configuration> configurations_;
  std::size_t bytes_ = 0;  // of all payloads
};

// Bytes that an entry counts for in bounds.
std::size_t EntryBytes(const log_entry& entry);

}  // namespace tamaracklatch
