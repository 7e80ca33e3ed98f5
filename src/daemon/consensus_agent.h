// The consensus slice in a control VM: runs a consensus_runner over the
// process's links and the files of its data folder.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "daemon/command_log.h"
#include "daemon/process_frame.h"
#include "daemon/storage_thread.h"
#include "tamaracklatch/consensus/consensus_runner.h"
#include "tamaracklatch/consensus/file_log_storage.h"
#include "transport/link_hub.h"

namespace tamaracklatch {

struct consensus_agent_settings {
  consensus_settings consensus;
  std::string data_folder;
  // Where the links of the VM of this name listen; nothing: it can't be reached
  // but over a link of its own.
  std::function<std::optional<endpoint>(const vm_name&)> resolve;
};

class consensus_agent : public command_log, public consensus_listener {
 public:
  // All of them must outlive the agent.
  consensus_agent(process_frame* frame, link_hub* hub,
                  consensus_agent_settings settings,
                  replicated_state_machine* machine);

  // Loads the log and starts. On failure returns false and says why.
  bool Start(failure* last_failure);

  void Propose(std::string command, consensus_reply reply) override;
  void Read(consensus_reply reply) override;

  // Adds or removes a voter.
  void ChangeVoter(voter_change_requested::change_kind kind,
                   const vm_name& name, consensus_reply reply);

  // Further VMs to which this one announces itself while it is no member.
  void LearnPeers(std::vector<vm_name> names);

  // Role, leader, voters.
  consensus_status Status() const { return runner_->node().Status(); }

  const consensus_node& node() const { return runner_->node(); }

  void OnSend(const consensus_message& message) override;
  void OnProposalOutcome(const proposal_outcome& outcome) override;
  void OnReadOutcome(const read_outcome& outcome) override;
  void OnEvent(const event& what) override;

 private:
  void Handle(const consensus_input& input);
  void OnWritten(const std::optional<failure>& refused, duration took);
  void FlushSoon();
  void Schedule();
  void Answer(std::uint64_t id, result_code code, revision index);
  void Export() const;

  process_frame* frame_;
  link_hub* hub_;
  consensus_agent_settings settings_;
  replicated_state_machine* machine_;
  file_log_storage storage_;
  std::unique_ptr<consensus_runner> runner_;
  asio::steady_timer timer_;
  storage_thread writer_;  // ends before the runner and the storage
  std::map<std::uint64_t, consensus_reply>
      waiting_;  // by the id of the proposal or read
  std::uint64_t next_id_ = 1;
  span_histogram synced_;     // batches
  span_histogram committed_;  // proposals that the log took
  bool flush_posted_ = false;
};

}  // namespace tamaracklatch
