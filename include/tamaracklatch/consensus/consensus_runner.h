// Runs a consensus_node: carries out its actions against a storage, a state
// machine and a transport.
#pragma once

#include <memory>

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

// The objects passed in must outlive the runner.
class consensus_runner {
 public:
  // Loads the storage. Returns nothing, with the storage's code, if it can't be
  // read.
  static std::unique_ptr<consensus_runner> Start(
      const consensus_settings& settings, log_storage* storage,
      replicated_state_machine* machine, consensus_listener* listener,
      random_source random, time_point now, failure* last_failure);

  // Takes an input. Its effects come with the next Flush(): several inputs
  // before one Flush() share one sync.
  void Handle(const consensus_input& input, time_point now);

  // Carries out all actions.
  void Flush(time_point now);

  // When timer_due must be handled, at the latest.
  time_point NextDeadline() const { return node_.NextDeadline(); }

  const consensus_node& node() const { return node_; }

 private:
  consensus_runner(const consensus_settings& settings, stored_state stored,
                   log_storage* storage, replicated_state_machine* machine,
                   consensus_listener* listener, random_source random,
                   time_point now);

  // Answers what stood after an action that failed.
  void AnswerDropped(const std::vector<consensus_action>& actions,
                     const consensus_action* failed);

  // Each returns false when the actions after it must be dropped.
  bool Do(const send_message& action, time_point now);
  bool Do(const persist_batch& action, time_point now);
  bool Do(const restore_machine& action, time_point now);
  bool Do(const apply_entries& action, time_point now);
  bool Do(const take_snapshot& action, time_point now);
  bool Do(const proposal_outcome& action, time_point now);
  bool Do(const read_outcome& action, time_point now);
  bool Do(const report_event& action, time_point now);

  consensus_node node_;
  log_storage* storage_;
  replicated_state_machine* machine_;
  consensus_listener* listener_;
};

}  // namespace tamaracklatch
