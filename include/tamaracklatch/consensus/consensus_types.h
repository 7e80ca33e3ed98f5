// Values of the replicated log: members, configurations, entries, snapshots and
// what a VM keeps on its disk.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "tamaracklatch/core/ids.h"

namespace tamaracklatch {

// An election period. At most one member leads in a term.
using log_term = strong_number<struct log_term_tag>;

// One life of one disk, drawn at random when the data folder is blank. 0 names
// none.
using disk_incarnation = strong_number<struct disk_incarnation_tag>;

// One replicated log, drawn at random when it is founded. 0 names none.
using cluster_id = strong_number<struct cluster_id_tag>;

// A participant. A VM that lost its disk has another `disk`, so it is another
// member and never votes for its old self.
struct member_id {
  vm_name name;
  disk_incarnation disk;

  friend bool operator==(const member_id& left, const member_id& right) {
    return left.disk == right.disk && left.name == right.name;
  }
  friend bool operator!=(const member_id& left, const member_id& right) {
    return !(left == right);
  }
  friend bool operator<(const member_id& left, const member_id& right) {
    return left.name != right.name ? left.name < right.name
                                   : left.disk < right.disk;
  }
};

// A member and the revision that made it one, which orders two members of one
// name.
struct cluster_member {
  member_id id;
  revision added;

  friend bool operator==(const cluster_member& left,
                         const cluster_member& right) {
    return left.id == right.id && left.added == right.added;
  }
};

// Who votes and who only catches up.
// Invariants: both lists are sorted by id; no id stands in both.
struct voter_configuration {
  std::vector<cluster_member> voters;
  std::vector<cluster_member> learners;

  bool IsVoter(const member_id& id) const;
  bool IsLearner(const member_id& id) const;
  bool HasName(const vm_name& name) const;
  // The number of voters that make a majority; at least 1.
  std::size_t Quorum() const { return voters.size() / 2 + 1; }

  // Each returns the configuration with the one member changed.
  voter_configuration WithLearner(const member_id& id, revision added) const;
  voter_configuration WithVoter(const member_id& id) const;
  voter_configuration Without(const member_id& id) const;

  friend bool operator==(const voter_configuration& left,
                         const voter_configuration& right) {
    return left.voters == right.voters && left.learners == right.learners;
  }
};

// Writes and reads a configuration as the payload of a log entry.
std::string EncodeConfiguration(const voter_configuration& configuration);
std::optional<voter_configuration> DecodeConfiguration(std::string_view bytes);

// What an entry of the log means.
enum class entry_kind : std::uint8_t {
  kNothing = 0,        // a new leader's first entry
  kCommand = 1,        // for the replicated state machine
  kConfiguration = 2,  // an encoded voter_configuration
};

// One entry of the log.
struct log_entry {
  revision index;  // 1 for the first
  log_term term;
  entry_kind kind = entry_kind::kNothing;
  std::string payload;

  friend bool operator==(const log_entry& left, const log_entry& right) {
    return left.index == right.index && left.term == right.term &&
           left.kind == right.kind && left.payload == right.payload;
  }
};

// The state after all entries up to `index`. Index 0 is the founding of the
// log, with empty data.
struct log_snapshot {
  revision index;
  log_term term;  // of the entry at `index`
  voter_configuration configuration;
  std::string data;  // as the replicated state machine wrote it
};

using shared_snapshot = std::shared_ptr<const log_snapshot>;

// What must be on the disk before a vote or an acknowledgement leaves the VM.
struct hard_state {
  disk_incarnation disk;
  cluster_id cluster;  // 0: blank, belongs to no log yet
  log_term term;
  std::optional<member_id> vote;  // given in `term`

  friend bool operator==(const hard_state& left, const hard_state& right) {
    return left.disk == right.disk && left.cluster == right.cluster &&
           left.term == right.term && left.vote == right.vote;
  }
};

}  // namespace tamaracklatch
