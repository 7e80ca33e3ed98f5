// Running a consensus_runner on the event loop. Inputs that arrive together
// share one flush, and so one sync.
#include "daemon/consensus_agent.h"

#include <algorithm>
#include <utility>

namespace tamaracklatch {

consensus_agent::consensus_agent(process_frame* frame, link_hub* hub,
                                 consensus_agent_settings settings,
                                 replicated_state_machine* machine)
    : frame_(frame),
      hub_(hub),
      settings_(std::move(settings)),
      machine_(machine),
      storage_({settings_.data_folder}),
      timer_(frame->loop()),
      writer_(&storage_, [this](const std::optional<failure>& refused) {
        asio::post(frame_->loop(), [this, refused, took = writer_.took()] {
          OnWritten(refused, took);
        });
      }) {}

bool consensus_agent::Start(failure* last_failure) {
  runner_ = consensus_runner::Start(settings_.consensus, &storage_, machine_,
                                    this, frame_->random(), frame_->Now(),
                                    last_failure, &writer_);
  if (!runner_) return false;
  hub_->SetHandler(frame_kind::kConsensus, [this](const std::string&,
                                                  const std::string& body) {
    failure why;
    auto message = DecodeConsensusMessage(body, &why);
    if (message) return Handle(message_received{std::move(*message)});
    frame_->counts().Count("tamaracklatch_malformed_messages_total",
                           "Messages that could not be read.");
  });
  frame_->OnScrape([this] { Export(); });
  FlushSoon();
  return true;
}

void consensus_agent::Export() const {
  metrics& counts = frame_->counts();
  counts.SetHistogram("tamaracklatch_sync_seconds",
                      "Writing and syncing a batch of the log.", synced_);
  counts.SetHistogram("tamaracklatch_commit_seconds",
                      "From a proposal here until a quorum holds it.",
                      committed_);
  counts.Set("tamaracklatch_leader", "1 at the control VM that leads.",
             node().role() == consensus_role::kLeader ? 1.0 : 0.0);
}

void consensus_agent::Propose(std::string command, consensus_reply reply) {
  const std::uint64_t id = next_id_++;
  waiting_[id] = [this, asked = frame_->Now(), reply = std::move(reply)](
                     result_code code, revision index) {
    if (code == result_code::kOk) committed_.Add(frame_->Now() - asked);
    reply(code, index);
  };
  Handle(command_proposed{id, std::move(command)});
}

void consensus_agent::Read(consensus_reply reply) {
  const std::uint64_t id = next_id_++;
  waiting_[id] = std::move(reply);
  Handle(read_requested{id});
}

void consensus_agent::ChangeVoter(voter_change_requested::change_kind kind,
                                  const vm_name& name, consensus_reply reply) {
  const std::uint64_t id = next_id_++;
  waiting_[id] = std::move(reply);
  Handle(voter_change_requested{id, kind, name});
}

void consensus_agent::LearnPeers(std::vector<vm_name> names) {
  Handle(peers_discovered{std::move(names)});
}

void consensus_agent::Handle(const consensus_input& input) {
  runner_->Handle(input, frame_->Now());
  FlushSoon();
}

void consensus_agent::OnWritten(const std::optional<failure>& refused,
                                duration took) {
  synced_.Add(took);
  runner_->OnWritten(refused, frame_->Now());
  FlushSoon();
}

void consensus_agent::FlushSoon() {
  if (flush_posted_) return;
  flush_posted_ = true;
  asio::post(frame_->loop(), [this] {
    flush_posted_ = false;
    runner_->Flush(frame_->Now());
    Schedule();
  });
}

void consensus_agent::Schedule() {
  timer_.expires_after(
      std::max(runner_->NextDeadline() - frame_->Now(), duration::zero()));
  timer_.async_wait([this](asio::error_code error) {
    if (!error) Handle(timer_due{});
  });
}

void consensus_agent::OnSend(const consensus_message& message) {
  const endpoint where =
      settings_.resolve(message.to.name).value_or(endpoint());
  hub_->Send(message.to.name, where, frame_kind::kConsensus,
             EncodeConsensusMessage(message));
}

void consensus_agent::OnProposalOutcome(const proposal_outcome& outcome) {
  Answer(outcome.id, outcome.code, outcome.index);
}

void consensus_agent::OnReadOutcome(const read_outcome& outcome) {
  Answer(outcome.id, outcome.code, outcome.index);
}

void consensus_agent::OnEvent(const event& what) {
  frame_->events().OnEvent(what);
}

void consensus_agent::Answer(std::uint64_t id, result_code code,
                             revision index) {
  const auto found = waiting_.find(id);
  if (found == waiting_.end()) return;
  const consensus_reply reply = std::move(found->second);
  waiting_.erase(found);
  reply(code, index);
}

}  // namespace tamaracklatch
