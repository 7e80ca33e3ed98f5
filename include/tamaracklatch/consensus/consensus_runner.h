// Runs a consensus_node: executes its actions against a storage, a state
// state machine and a transport.
#pragma once

#include <deque>
#include <memory>
#include <optional>
#include <vector>

#include "tamaracklatch/consensus/consensus_action.h"
#include "tamaracklatch/consensus/consensus_node.h"
#include "tamaracklatch/consensus/consensus_settings.h"
#include "tamaracklatch/consensus/log_storage.h"
#include "tamaracklatch/consensus/replicated_state_machine.h"

namespace tamaracklatch {

// Receives the messages, outcomes and events that a runner produces;
// implemented by the owner of the runner. All calls are made from within
// Flush(). They must not call Flush() again, but may call Handle().
class consensus_listener {
 public:
  virtual ~consensus_listener() = default;
  // Sends to the VM message.to.name, or drops the message.
  virtual void OnSend(const consensus_message& message) = 0;
  // Called once for each proposed command and requested voter change.
  virtual void OnProposalOutcome(const proposal_outcome& outcome) = 0;
  // Called once for each requested read.
  virtual void OnReadOutcome(const read_outcome& outcome) = 0;
  virtual void OnEvent(const event& reported) = 0;
};

// Writes batches outside the runner's thread, so that a stalled disk does not
// block the runner.
class batch_writer {
 public:
  virtual ~batch_writer() = default;
  // Persists one batch, then has the runner's OnWritten() called with the
  // result. The batch stays valid and unchanged until then, and Write() is not
  // called again before.
  virtual void Write(const storage_batch& batch) = 0;
};

// Connects one consensus_node to its storage, state machine and listener,
// which must all outlive the runner. Used from one thread.
class consensus_runner {
 public:
  // Loads the storage and creates the node. If the storage can't be read,
  // returns null and sets `last_failure` to the storage's failure. Without a
  // `writer`, Flush() writes batches to the storage itself.
  static std::unique_ptr<consensus_runner> Start(
      const consensus_settings& settings, log_storage* storage,
      replicated_state_machine* state_machine, consensus_listener* listener,
      random_source random, time_point now, failure* last_failure,
      batch_writer* writer = nullptr);

  // Passes an input to the node. Its effects follow in the next Flush(), so
  // that several inputs before one Flush() share one sync.
  void Handle(const consensus_input& input, time_point now);

  // Executes all actions of the node, including those that follow from
  // executing them, and starts the next write.
  void Flush(time_point now);

  // Called when the writer has finished its batch. `error` is set if the batch
  // could not be written: the runner then writes it again after a delay.
  void OnWritten(const std::optional<failure>& error, time_point now);

  // The time at which timer_due must be handled and Flush() called.
  time_point NextDeadline() const;

  const consensus_node& node() const { return node_; }

 private:
  consensus_runner(const consensus_settings& settings, stored_state stored,
                   log_storage* storage,
                   replicated_state_machine* state_machine,
                   consensus_listener* listener, random_source random,
                   time_point now, batch_writer* writer);

  // Called when `failed` stops the execution of `actions`. Reports outcomes and
  // events of the actions after it, so that each proposal and read still gets
  // its one outcome.
  void ReportDroppedActions(const std::vector<consensus_action>& actions,
                            const consensus_action* failed);
  // Writes pending batches until one is in progress, has failed, or none is
  // left.
  void WriteBatches(time_point now);
  // Whether a batch is pending, none is in progress and no retry delay runs.
  bool CanWrite(time_point now) const;

  // Each returns false if the actions after it must be dropped.
  bool Execute(const send_message& action, time_point now);
  bool Execute(const persist_batch& action, time_point now);
  bool Execute(const restore_state_machine& action, time_point now);
  bool Execute(const apply_entries& action, time_point now);
  bool Execute(const take_snapshot& action, time_point now);
  bool Execute(const proposal_outcome& action, time_point now);
  bool Execute(const read_outcome& action, time_point now);
  bool Execute(const report_event& action, time_point now);

  consensus_node node_;
  log_storage* storage_;
  replicated_state_machine* state_machine_;
  consensus_listener* listener_;
  batch_writer* writer_;  // null: Flush() writes to storage_
  std::deque<persist_batch> pending_batches_;  // in order; the first may be in
                                               // progress
  bool write_in_progress_ = false;             // of pending_batches_.front()
  std::optional<time_point> retry_at_;         // of the first, if its last
                                               // write failed
};

}  // namespace tamaracklatch
