// Inputs and actions of a consensus_node. consensus_runner feeds it the inputs
// and carries out the actions.
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

// The time that consensus_node::NextDeadline() returned has been reached.
struct timer_due {};

// A message addressed to this VM has arrived.
struct message_received {
  consensus_message message;
};

// Requests replication of a command, at most kMaxCommandBytes long. Answered by
// exactly one proposal_outcome with this id.
struct command_proposed {
  std::uint64_t id = 0;
  std::string command;
};

// Requests the revision that this VM must have applied before it may serve a
// linearizable read. Answered by one read_outcome with this id, after that
// revision has been applied here.
struct read_requested {
  std::uint64_t id = 0;
};

// Adds the blank VM of this name, which must have announced itself to this
// leader, or removes a member. Answered by one proposal_outcome with this id.
struct voter_change_requested {
  enum class change_kind : std::uint8_t { kAdd, kRemove };
  std::uint64_t id = 0;
  change_kind kind = change_kind::kAdd;
  vm_name name;
};

// Additional VMs to which this VM announces itself while it is not a member.
// They are added to consensus_settings::peers.
struct peers_discovered {
  std::vector<vm_name> names;
};

// The reply to take_snapshot: the state after the entry at `index`.
struct snapshot_taken {
  revision index;
  std::string data;
};

// The batch of the persist_batch action with this number is durable.
struct batch_persisted {
  std::uint64_t number = 0;
};

// The storage failed to write the batch in progress; the runner retries the
// same batch. A leader steps down.
struct batch_write_failed {
  failure reason;
};

// The state machine could not restore a snapshot. The node stops permanently.
struct snapshot_restore_failed {
  failure reason;
};

using consensus_input =
    std::variant<timer_due, message_received, command_proposed, read_requested,
                 voter_change_requested, peers_discovered, snapshot_taken,
                 batch_persisted, batch_write_failed, snapshot_restore_failed>;

// Sends the message to `message.to`. Delivery isn't guaranteed.
struct send_message {
  consensus_message message;
};

// Makes the batch durable after all earlier batches. Answered by
// batch_persisted, or by a batch_write_failed for each failed attempt. The
// actions that follow need not wait for it: the node withholds those that
// depend on it.
struct persist_batch {
  std::uint64_t number = 0;
  storage_batch batch;
};

// Replaces the state machine's state by the snapshot.
struct restore_state_machine {
  shared_snapshot snapshot;
};

// Committed commands for the state machine to apply, in log order.
struct apply_entries {
  std::vector<log_entry> entries;  // only of kind kCommand
};

// Requests a snapshot of the state machine's current state, which is that after
// the entry at `index`. Answered by snapshot_taken.
struct take_snapshot {
  revision index;
};

// The result of a command or a voter change. kOk: committed at `index` and
// applied here. kOutcomeUnknown: it may still be committed later, so a retry
// must be idempotent. Any other code: it will never be committed.
struct proposal_outcome {
  std::uint64_t id = 0;
  result_code code = result_code::kOk;
  revision index;
};

// The result of a read request. kOk: this VM has applied at least `index`,
// which covers all entries committed before the read was requested. kNotLeader:
// the caller should retry. kStorageStopped: the node has stopped.
struct read_outcome {
  std::uint64_t id = 0;
  result_code code = result_code::kOk;
  revision index;
};

// Passes an event to the event log.
struct report_event {
  event reported_event;
};

using consensus_action =
    std::variant<send_message, persist_batch, restore_state_machine,
                 apply_entries, take_snapshot, proposal_outcome, read_outcome,
                 report_event>;

}  // namespace tamaracklatch
