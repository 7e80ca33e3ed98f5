// What goes into and what comes out of a consensus_node.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "tamaracklatch/consensus/consensus_message.h"
#include "tamaracklatch/consensus/consensus_types.h"
#include "tamaracklatch/consensus/log_storage.h"
#include "tamaracklatch/core/event.h"
#include "tamaracklatch/core/result_code.h"

namespace tamaracklatch {

// The deadline that the node named has passed.
struct timer_due {};

// A message for this VM has arrived.
struct message_received {
  consensus_message message;
};

// A command to replicate. Answered by one proposal_outcome with this id.
struct command_proposed {
  std::uint64_t id = 0;
  std::string command;
};

// Asks up to which revision this VM must have applied to answer a linearizable
// read. Answered by one read_outcome with this id, once it has.
struct read_asked {
  std::uint64_t id = 0;
};

// Adds the blank VM of this name, which has announced itself, or removes a
// member. Answered by one proposal_outcome.
struct voter_change_asked {
  enum class change_kind : std::uint8_t { kAdd, kRemove };
  std::uint64_t id = 0;
  change_kind kind = change_kind::kAdd;
  vm_name name;
};

// Further names to which this VM announces itself while it is no member. Kept
// beside those of the settings.
struct peers_learned {
  std::vector<vm_name> names;
};

// The answer to take_snapshot.
struct snapshot_taken {
  revision index;
  std::string data;
};

// The batch of a persist_batch action is durable.
struct batch_persisted {
  revision last_index;
};

// A batch could not be made durable, or a snapshot could not be restored. The
// node stops for good.
struct storage_failed {
  failure reason;
};

using consensus_input =
    std::variant<timer_due, message_received, command_proposed, read_asked,
                 voter_change_asked, peers_learned, snapshot_taken,
                 batch_persisted, storage_failed>;

struct send_message {
  consensus_message message;
};

// To be made durable before any later action; answered by batch_persisted or
// storage_failed. After a failure the later actions must be dropped.
struct persist_batch {
  storage_batch batch;
};

// Replaces the state machine's state.
struct restore_machine {
  shared_snapshot snapshot;
};

// Commands for the state machine, in order.
struct apply_entries {
  std::vector<log_entry> entries;  // of the kind kCommand only
};

// Asks for the state machine's snapshot as it is now, at `index`.
struct take_snapshot {
  revision index;
};

// What became of a command or a voter change. kOk: accepted at `index` and
// applied here. kOutcomeUnknown: it may still be accepted later; sending the
// same again must be safe. Any other code: it will never be accepted.
struct proposal_outcome {
  std::uint64_t id = 0;
  result_code code = result_code::kOk;
  revision index;
};

// kOk: this VM has applied at least `index`, which includes all that was
// accepted before the read was asked. kNotLeader: ask again.
struct read_outcome {
  std::uint64_t id = 0;
  result_code code = result_code::kOk;
  revision index;
};

struct report_event {
  event what;
};

using consensus_action =
    std::variant<send_message, persist_batch, restore_machine, apply_entries,
                 take_snapshot, proposal_outcome, read_outcome, report_event>;

}  // namespace tamaracklatch
