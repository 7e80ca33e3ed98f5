// Executes the actions of a consensus_node in order.
#include "tamaracklatch/consensus/consensus_runner.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace tamaracklatch {
namespace {

// Delay before a batch that could not be written is written again.
constexpr std::chrono::milliseconds kWriteRetryInterval{200};

}  // namespace

std::unique_ptr<consensus_runner> consensus_runner::Start(
    const consensus_settings& settings, log_storage* storage,
    replicated_state_machine* state_machine, consensus_listener* listener,
    random_source random, time_point now, failure* last_failure,
    batch_writer* writer) {
  assert(storage != nullptr && state_machine != nullptr && listener != nullptr);
  auto stored = storage->Load(last_failure);
  if (!stored) return nullptr;
  return std::unique_ptr<consensus_runner>(
      new consensus_runner(settings, std::move(*stored), storage, state_machine,
                           listener, random, now, writer));
}

consensus_runner::consensus_runner(const consensus_settings& settings,
                                   stored_state stored, log_storage* storage,
                                   replicated_state_machine* state_machine,
                                   consensus_listener* listener,
                                   random_source random, time_point now,
                                   batch_writer* writer)
    : node_(settings, std::move(stored), random, now),
      storage_(storage),
      state_machine_(state_machine),
      listener_(listener),
      writer_(writer) {}

void consensus_runner::Handle(const consensus_input& input, time_point now) {
  node_.Handle(input, now);
}

void consensus_runner::Flush(time_point now) {
  while (true) {
    const std::vector<consensus_action> actions = node_.TakeActions(now);
    if (actions.empty() && !CanWrite(now)) return;
    for (const consensus_action& action : actions) {
      const bool succeeded = std::visit(
          [&](const auto& typed) { return Execute(typed, now); }, action);
      if (!succeeded) {
        ReportDroppedActions(actions, &action);
        break;
      }
    }
    WriteBatches(now);
  }
}

time_point consensus_runner::NextDeadline() const {
  const time_point next = node_.NextDeadline();
  return retry_at_ ? std::min(next, *retry_at_) : next;
}

bool consensus_runner::CanWrite(time_point now) const {
  return !pending_batches_.empty() && !write_in_progress_ &&
         (!retry_at_ || now >= *retry_at_);
}

void consensus_runner::WriteBatches(time_point now) {
  while (CanWrite(now)) {
    write_in_progress_ = true;
    retry_at_.reset();
    if (writer_ != nullptr)
      return writer_->Write(pending_batches_.front().batch);
    failure error;
    const bool written =
        storage_->Persist(pending_batches_.front().batch, &error);
    OnWritten(written ? std::nullopt : std::make_optional(error), now);
  }
}

void consensus_runner::OnWritten(const std::optional<failure>& error,
                                 time_point now) {
  assert(write_in_progress_);
  write_in_progress_ = false;
  if (error) {
    retry_at_ = now + kWriteRetryInterval;
    return node_.Handle(batch_write_failed{*error}, now);
  }
  const std::uint64_t number = pending_batches_.front().number;
  pending_batches_.pop_front();
  node_.Handle(batch_persisted{number}, now);
}

void consensus_runner::ReportDroppedActions(
    const std::vector<consensus_action>& actions,
    const consensus_action* failed) {
  const consensus_action* end = actions.data() + actions.size();
  for (const consensus_action* action = failed + 1; action != end; ++action) {
    if (const auto* proposal = std::get_if<proposal_outcome>(action)) {
      listener_->OnProposalOutcome(
          {proposal->id, result_code::kOutcomeUnknown, {}});
    } else if (const auto* read = std::get_if<read_outcome>(action)) {
      listener_->OnReadOutcome({read->id, result_code::kStorageStopped, {}});
    } else if (const auto* report = std::get_if<report_event>(action)) {
      listener_->OnEvent(report->reported_event);
    }
  }
}

bool consensus_runner::Execute(const send_message& action, time_point /*now*/) {
  listener_->OnSend(action.message);
  return true;
}

bool consensus_runner::Execute(const persist_batch& action,
                               time_point /*now*/) {
  pending_batches_.push_back(action);
  return true;
}

bool consensus_runner::Execute(const restore_state_machine& action,
                               time_point now) {
  failure error;
  if (state_machine_->Restore(action.snapshot->data, &error)) return true;
  node_.Handle(snapshot_restore_failed{error}, now);
  return false;
}

bool consensus_runner::Execute(const apply_entries& action,
                               time_point /*now*/) {
  for (const log_entry& entry : action.entries) {
    state_machine_->Apply(entry.index, entry.payload);
  }
  return true;
}

bool consensus_runner::Execute(const take_snapshot& action, time_point now) {
  node_.Handle(snapshot_taken{action.index, state_machine_->Snapshot()}, now);
  return true;
}

bool consensus_runner::Execute(const proposal_outcome& action,
                               time_point /*now*/) {
  listener_->OnProposalOutcome(action);
  return true;
}

bool consensus_runner::Execute(const read_outcome& action, time_point /*now*/) {
  listener_->OnReadOutcome(action);
  return true;
}

bool consensus_runner::Execute(const report_event& action, time_point /*now*/) {
  listener_->OnEvent(action.reported_event);
  return true;
}

}  // namespace tamaracklatch
