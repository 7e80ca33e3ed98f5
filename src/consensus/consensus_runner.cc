// Carries out the actions of a consensus_node, in their order.
#include "tamaracklatch/consensus/consensus_runner.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace tamaracklatch {
namespace {

// Between two tries of a batch that the disk refused.
constexpr std::chrono::milliseconds kRetryInterval{200};

}  // namespace

std::unique_ptr<consensus_runner> consensus_runner::Start(
    const consensus_settings& settings, log_storage* storage,
    replicated_state_machine* machine, consensus_listener* listener,
    random_source random, time_point now, failure* last_failure,
    batch_writer* writer) {
  assert(storage != nullptr && machine != nullptr && listener != nullptr);
  auto stored = storage->Load(last_failure);
  if (!stored) return nullptr;
  return std::unique_ptr<consensus_runner>(
      new consensus_runner(settings, std::move(*stored), storage, machine,
                           listener, random, now, writer));
}

consensus_runner::consensus_runner(const consensus_settings& settings,
                                   stored_state stored, log_storage* storage,
                                   replicated_state_machine* machine,
                                   consensus_listener* listener,
                                   random_source random, time_point now,
                                   batch_writer* writer)
    : node_(settings, std::move(stored), random, now),
      storage_(storage),
      machine_(machine),
      listener_(listener),
      writer_(writer) {}

void consensus_runner::Handle(const consensus_input& input, time_point now) {
  node_.Handle(input, now);
}

void consensus_runner::Flush(time_point now) {
  while (true) {
    const std::vector<consensus_action> actions = node_.TakeActions(now);
    if (actions.empty() && !MayWrite(now)) return;
    for (const consensus_action& action : actions) {
      const bool go_on =
          std::visit([&](const auto& typed) { return Do(typed, now); }, action);
      if (!go_on) {
        AnswerDropped(actions, &action);
        break;
      }
    }
    WriteBatches(now);
  }
}

time_point consensus_runner::NextDeadline() const {
  const time_point next = node_.NextDeadline();
  return retry_ ? std::min(next, *retry_) : next;
}

bool consensus_runner::MayWrite(time_point now) const {
  return !unwritten_.empty() && !writing_ && (!retry_ || now >= *retry_);
}

void consensus_runner::WriteBatches(time_point now) {
  while (MayWrite(now)) {
    writing_ = true;
    retry_.reset();
    if (writer_ != nullptr) return writer_->Write(unwritten_.front().batch);
    failure reason;
    const bool written = storage_->Persist(unwritten_.front().batch, &reason);
    OnWritten(written ? std::nullopt : std::make_optional(reason), now);
  }
}

void consensus_runner::OnWritten(const std::optional<failure>& refused,
                                 time_point now) {
  assert(writing_);
  writing_ = false;
  if (refused) {
    retry_ = now + kRetryInterval;
    return node_.Handle(batch_write_failed{*refused}, now);
  }
  const std::uint64_t number = unwritten_.front().number;
  unwritten_.pop_front();
  node_.Handle(batch_persisted{number}, now);
}

void consensus_runner::AnswerDropped(
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

bool consensus_runner::Do(const send_message& action, time_point /*now*/) {
  listener_->OnSend(action.message);
  return true;
}

bool consensus_runner::Do(const persist_batch& action, time_point /*now*/) {
  unwritten_.push_back(action);
  return true;
}

bool consensus_runner::Do(const restore_state_machine& action, time_point now) {
  failure reason;
  if (machine_->Restore(action.snapshot->data, &reason)) return true;
  node_.Handle(snapshot_restore_failed{reason}, now);
  return false;
}

bool consensus_runner::Do(const apply_entries& action, time_point /*now*/) {
  for (const log_entry& entry : action.entries) {
    machine_->Apply(entry.index, entry.payload);
  }
  return true;
}

bool consensus_runner::Do(const take_snapshot& action, time_point now) {
  node_.Handle(snapshot_taken{action.index, machine_->Snapshot()}, now);
  return true;
}

bool consensus_runner::Do(const proposal_outcome& action, time_point /*now*/) {
  listener_->OnProposalOutcome(action);
  return true;
}

bool consensus_runner::Do(const read_outcome& action, time_point /*now*/) {
  listener_->OnReadOutcome(action);
  return true;
}

bool consensus_runner::Do(const report_event& action, time_point /*now*/) {
  listener_->OnEvent(action.reported_event);
  return true;
}

}  // namespace tamaracklatch
