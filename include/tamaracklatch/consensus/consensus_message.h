// Messages between the members of a replicated log, and their encoding. A blank
// VM is one that belongs to no log yet.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "tamaracklatch/consensus/consensus_types.h"
#include "tamaracklatch/core/ids.h"
#include "tamaracklatch/core/result_code.h"

namespace tamaracklatch {

// Requests a vote in `term`. With `pre_vote`, requests only whether the
// receiver would grant one; no vote is recorded and no term changes.
struct vote_request {
  log_term term;
  bool pre_vote = false;
  revision last_index;  // of the candidate's log
  log_term last_term;   // of the entry at `last_index`
};

// Answers a vote_request of either kind. A voter doesn't reply while it has
// recent contact with a leader, unless the requested term is an old one.
struct vote_reply {
  log_term term;  // the requested term if granted, else the voter's
  bool pre_vote = false;
  bool granted = false;
};

// Replicates the entries after `previous_index`. Without entries it is a
// heartbeat, which also announces the commit index.
struct append_request {
  log_term term;
  revision previous_index;
  log_term previous_term;
  revision commit;  // the leader's commit index
  // The leader's newest confirmation round; echoed in the reply.
  std::uint64_t round = 0;
  // Incremented when the leader moves its send position for this follower;
  // echoed in the reply.
  std::uint64_t generation = 0;
  std::vector<log_entry> entries;
};

// Answers an append_request, after its entries are durable at the follower.
struct append_reply {
  log_term term;
  bool accepted = false;
  // Accepted: the follower's synced log equals the leader's up to this entry.
  // Rejected: the leader should continue after this entry.
  revision match;
  std::uint64_t round = 0;
  std::uint64_t generation = 0;
};

// One part of a snapshot's data, from the leader to a follower whose next
// entries are compacted.
struct snapshot_chunk {
  log_term term;
  std::uint64_t round = 0;
  std::uint64_t generation = 0;
  revision index;                     // the last entry that it covers
  log_term index_term;                // of the entry at `index`
  voter_configuration configuration;  // in force at `index`
  std::uint64_t total = 0;            // bytes of the whole data
  std::uint64_t checksum = 0;         // of the whole data
  std::uint64_t offset = 0;           // of this part, in bytes
  std::string bytes;
};

// Answers a snapshot_chunk.
struct snapshot_reply {
  log_term term;
  std::uint64_t round = 0;
  std::uint64_t generation = 0;
  revision index;
  std::uint64_t received = 0;  // contiguous bytes from the start
  bool gap = false;            // the part starts beyond `received`
  bool installed = false;      // the durable state covers `index`
};

// Announces a VM that is not a member, usually a blank one. `echo` is the nonce
// of the last announcement that the sender received from the receiver; it
// proves that this announcement was sent after that one.
struct join_request {
  std::uint64_t nonce = 0;
  std::uint64_t echo = 0;  // 0: none received
};

// Invites a blank VM to the log that the message's `cluster` names. `founding`
// is the log's first configuration, or empty if the sender has compacted the
// start of its log.
struct join_invitation {
  voter_configuration founding;
};

// Notifies a VM that is not a member that a log exists. The VM must not found
// another one, and may announce itself to the listed members.
struct log_exists {
  std::vector<vm_name> members;  // at most 2 * kMaxMembers
};

// Requests from the leader the revision that a follower must have applied to
// serve a linearizable read.
struct read_request {
  std::uint64_t id = 0;
};

// Answers a read_request, after a confirmation round or once the sender can't
// confirm that it is the leader.
struct read_reply {
  std::uint64_t id = 0;  // of the read_request
  bool known = false;    // false: the sender isn't the leader, or stepped down
  revision index;        // the revision to wait for, if `known`
};

// The encoding identifies a body by its position in this list.
using consensus_body =
    std::variant<vote_request, vote_reply, append_request, append_reply,
                 snapshot_chunk, snapshot_reply, join_request, join_invitation,
                 log_exists, read_request, read_reply>;

// A message with its sender and its receiver. `to.disk` 0 addresses any disk
// incarnation of the VM `to.name`; only a join_request uses it.
struct consensus_message {
  cluster_id cluster;  // 0 if sent by a blank VM
  member_id from;
  member_id to;
  consensus_body body;
};

// Bounds of a message. The sender's batches stay within them and the decoder
// rejects messages beyond them.
constexpr std::size_t kMaxConsensusMessageBytes = 1024 * 1024;
// A command contains a document set both encoded and as its operator wrote it,
// and isn't split across messages.
constexpr std::size_t kMaxCommandBytes = 896 * 1024;
// Voters and learners of a configuration together.
constexpr std::size_t kMaxMembers = 32;
constexpr std::size_t kMaxEntriesPerMessage = 4096;

// Returns the bytes that DecodeConsensusMessage() reads.
std::string EncodeConsensusMessage(const consensus_message& message);

// Decodes a received message. Returns no value, and sets kFrameMalformed, if
// the bytes are not a well-formed message within the bounds above.
std::optional<consensus_message> DecodeConsensusMessage(std::string_view bytes,
                                                        failure* last_failure);

}  // namespace tamaracklatch
