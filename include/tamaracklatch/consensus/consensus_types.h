// Value types of the replicated log: members, configurations, entries,
// snapshots and the durable state of a VM.
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

// Identifies the contents of one VM's data folder. Drawn at random when a VM
// starts with an empty folder; 0 means none.
using disk_incarnation = strong_number<struct disk_incarnation_tag>;

// Identifies one replicated log. Drawn at random when the log is founded; 0
// means none.
using cluster_id = strong_number<struct cluster_id_tag>;

// Identifies a member. A VM that lost its disk gets a new `disk` and is thus a
// new member: it has lost its old votes and entries and must not vote in place
// of the old member.
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

// A member of a configuration. `added` is the index of the entry that added it,
// 0 for a founder; it tells which of two members with the same VM name is
// newer.
struct cluster_member {
  member_id id;
  revision added;

  friend bool operator==(const cluster_member& left,
                         const cluster_member& right) {
    return left.id == right.id && left.added == right.added;
  }
};

// The members of the log: voters elect leaders and commit entries, learners
// only receive entries.
//
// Invariants: both lists are sorted by id; no id is in both.
struct voter_configuration {
  std::vector<cluster_member> voters;
  std::vector<cluster_member> learners;

  // Whether this very member, of the same disk, is a voter or a learner.
  bool IsVoter(const member_id& id) const;
  bool IsLearner(const member_id& id) const;
  // Whether a voter or a learner has this VM name.
  bool HasName(const vm_name& name) const;
  // The number of voters that form a majority; at least 1.
  std::size_t Quorum() const { return voters.size() / 2 + 1; }

  // Each returns a copy in which one member is changed: adds a learner, which
  // must not be a member; makes a learner, which must exist, a voter; removes a
  // member, if there is one of this id.
  voter_configuration WithLearner(const member_id& id, revision added) const;
  voter_configuration WithVoter(const member_id& id) const;
  voter_configuration Without(const member_id& id) const;

  friend bool operator==(const voter_configuration& left,
                         const voter_configuration& right) {
    return left.voters == right.voters && left.learners == right.learners;
  }
};

// Encode and decode a configuration, which is the payload of a log entry of
// kind kConfiguration. Malformed bytes decode to no value.
std::string EncodeConfiguration(const voter_configuration& configuration);
std::optional<voter_configuration> DecodeConfiguration(std::string_view bytes);

// The kind of a log entry. Its numbers are encoded on the wire and on disk.
enum class entry_kind : std::uint8_t {
  kNoOp = 0,           // the first entry of a new leader's term
  kCommand = 1,        // applied to the replicated state machine
  kConfiguration = 2,  // an encoded voter_configuration
};

// One entry of the log.
struct log_entry {
  revision index;  // 1 for the first
  log_term term;
  entry_kind kind = entry_kind::kNoOp;
  std::string payload;

  friend bool operator==(const log_entry& left, const log_entry& right) {
    return left.index == right.index && left.term == right.term &&
           left.kind == right.kind && left.payload == right.payload;
  }
};

// The state after all entries up to and including `index`. Index 0 is the state
// at the founding of the log: the founding configuration and empty data.
struct log_snapshot {
  revision index;
  log_term term;                      // of the entry at `index`
  voter_configuration configuration;  // in force at `index`
  std::string data;                   // encoded by the state machine
};

// Snapshots are shared by the node, the storage and transfers, without copies.
using shared_snapshot = std::shared_ptr<const log_snapshot>;

// The state that must be durable before a vote or an acknowledgement that
// depends on it is sent.
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
