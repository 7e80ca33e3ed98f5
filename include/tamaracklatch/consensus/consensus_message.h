// Messages between the members of a replicated log, and their bytes.
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

// Asks for a vote in `term`, or whether one would be given (`pre`).
struct vote_request {
  log_term term;
  bool pre = false;
  revision last_index;
  log_term last_term;
};

struct vote_reply {
  log_term term;  // the asked one if granted, else the voter's own
  bool pre = false;
  bool granted = false;
};

// Entries after `previous_index`; without entries, a heartbeat.
struct append_request {
  log_term term;
  revision previous_index;
  log_term previous_term;
  revision commit;
  std::uint64_t round = 0;       // of leadership confirmation
  std::uint64_t generation = 0;  // of the leader's position for this follower
  std::vector<log_entry> entries;
};

struct append_reply {
  log_term term;
  bool accepted = false;
  revision match;  // accepted: synced up to here as the leader has it;
                   // refused: the leader should go on after this entry
  std::uint64_t round = 0;
  std::uint64_t generation = 0;
};

// A part of a snapshot's data.
struct snapshot_chunk {
  log_term term;
  std::uint64_t round = 0;
  std::uint64_t generation = 0;
  revision index;
  log_term index_term;
  voter_configuration configuration;
  std::uint64_t total = 0;     // bytes of the whole data
  std::uint64_t checksum = 0;  // of the whole data
  std::uint64_t offset = 0;    // of this part
  std::string bytes;
};

struct snapshot_reply {
  log_term term;
  std::uint64_t round = 0;
  std::uint64_t generation = 0;
  revision index;
  std::uint64_t received = 0;  // bytes held without a gap
  bool gap = false;            // the part did not continue what is held
  bool installed = false;      // synced and restored
};

// A blank VM tells that it is there and belongs to no log. `echo` is the nonce
// of the receiver's last announcement, which proves that this one is newer.
struct join_request {
  std::uint64_t nonce = 0;
  std::uint64_t echo = 0;  // 0: none heard
};

// Tells a blank member to which log it belongs. The configuration is that of
// the founding, or empty.
struct join_invitation {
  voter_configuration founding;
};

// Tells a VM that is no member that a log exists, so that it must not found
// another one, and whom it may ask to be admitted.
struct log_exists {
  std::vector<vm_name> members;  // at most 2 * kMaxMembers
};

// Asks the leader up to which revision a read must wait.
struct read_request {
  std::uint64_t id = 0;
};

struct read_reply {
  std::uint64_t id = 0;
  bool known = false;
  revision index;
};

using consensus_body =
    std::variant<vote_request, vote_reply, append_request, append_reply,
                 snapshot_chunk, snapshot_reply, join_request, join_invitation,
                 log_exists, read_request, read_reply>;

// A message with its addresses. `to.disk` 0 is any disk of that name, for a
// join_request only.
struct consensus_message {
  cluster_id cluster;  // 0 from a blank VM
  member_id from;
  member_id to;
  consensus_body body;
};

// Bounds of a message, for the sender's batches and the receiver's decoder.
constexpr std::size_t kMaxConsensusMessageBytes = 1024 * 1024;
// A command holds a document set, encoded and as its operator wrote it, and
// travels whole in one message.
constexpr std::size_t kMaxCommandBytes = 896 * 1024;
constexpr std::size_t kMaxMembers = 32;
constexpr std::size_t kMaxEntriesPerMessage = 4096;

std::string EncodeConsensusMessage(const consensus_message& message);

// Returns nothing, with kFrameMalformed, for bytes that are not a message
// within the bounds.
std::optional<consensus_message> DecodeConsensusMessage(std::string_view bytes,
                                                        failure* last_failure);

}  // namespace tamaracklatch
