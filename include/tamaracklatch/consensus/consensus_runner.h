// Runs a consensus_node: carries out its actions against a storage, a state
// machine and a transport.
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

// Receives what the runner does not do itself. Calls come from within Flush();
// they must not call the runner's Flush() again, but may call Handle().
class consensus_listener {
 public:
  virtual ~consensus_listener() = default;
  // Sends to the VM message.to.name, or drops the message.
  virtual void OnSend(const consensus_message& message) = 0;
  virtual void OnProposalOutcome(const proposal_outcome& outcome) = 0;
  virtual void OnReadOutcome(const read_outcome& outcome) = 0;
  virtual void OnEvent(const event& what) = 0;
};

// Writes batches for a runner elsewhere, so that a disk that hangs stops
// nobody.
class batch_writer {
 public:
  virtual ~batch_writer() = default;
  // Persists one batch, which stays as it is until the runner's OnWritten() is
  // called with the result. Not called again before.
  virtual void Write(const storage_batch& batch) = 0;
};

// The objects passed in must outlive the runner.
class consensus_runner {
 public:
  // Loads the storage. Returns nothing, with the storage's code, if it can't be
  // read. Without a `writer` batches are written to the storage by Flush().
  static std::unique_ptr<consensus_runner> Start(
      const consensus_settings& settings, log_storage* storage,
      replicated_state_machine* machine, consensus_listener* listener,
      random_source random, time_point now, failure* last_failure,
      batch_writer* writer = nullptr);

  // Takes an input. Its effects come with the next Flush(): several inputs
  // before one Flush() share one sync.
  void Handle(const consensus_input& input, time_point now);

  // Carries out all actions.
  void Flush(time_point now);

  // The writer is done with its batch; a failure says why it could not be
  // written.
  void OnWritten(const std::optional<failure>& refused, time_point now);

  // When timer_due must be handled, at the latest.
  time_point NextDeadline() const;

  const consensus_node& node() const { return node_; }

 private:
  consensus_runner(const consensus_settings& settings, stored_state stored,
                   log_storage* storage, replicated_state_machine* machine,
                   consensus_listener* listener, random_source random,
                   time_point now, batch_writer* writer);

  // Answers what stood after an action that failed.
  void AnswerDropped(const std::vector<consensus_action>& actions,
                     const consensus_action* failed);
  // Writes what waits, unless a batch is under way or must wait for its retry.
  void WriteBatches(time_point now);
  bool MayWrite(time_point now) const;

  // Each returns false when the actions after it must be dropped.
  bool Do(const send_message& action, time_point now);
  bool Do(const persist_batch& action, time_point now);
  bool Do(const restore_state_machine& action, time_point now);
  bool Do(const apply_entries& action, time_point now);
  bool Do(const take_snapshot& action, time_point now);
  bool Do(const proposal_outcome& action, time_point now);
  bool Do(const read_outcome& action, time_point now);
  bool Do(const report_event& action, time_point now);

  consensus_node node_;
  log_storage* storage_;
  replicated_state_machine* machine_;
  consensus_listener* listener_;
  batch_writer* writer_;                 // null: written at once
  std::deque<persist_batch> unwritten_;  // the first may be under way
  bool writing_ = false;
  std::optional<time_point> retry_;  // of the first, which was refused
};

}  // namespace tamaracklatch
