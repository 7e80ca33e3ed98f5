// Turns replacements into proposals, and the log's progress into answers.
#include "tamaracklatch/control/document_set_handler.h"

#include <fmt/format.h>

#include <algorithm>
#include <cassert>

namespace tamaracklatch {
namespace {

set_answer Refusal(std::uint64_t request, std::uint64_t version,
                   result_code code, std::string reason) {
  set_answer answer;
  answer.request = request;
  answer.version = version;
  answer.code = code;
  answer.failures.push_back({code, std::move(reason)});
  return answer;
}

set_read_answer ReadFailure(std::uint64_t request, result_code code) {
  set_read_answer answer;
  answer.request = request;
  answer.code = code;
  return answer;
}

}  // namespace

document_set_handler::document_set_handler(
    const document_set_handler_settings& settings, const control_state* state,
    std::uint64_t seed)
    : settings_(settings), state_(state), random_(seed) {
  assert(state != nullptr);
}

std::uint64_t document_set_handler::NewTag() {
  std::uint64_t tag = random_();
  while (tag == 0 || proposals_.count(tag) != 0 || reads_.count(tag) != 0)
    tag = random_();
  return tag;
}

std::uint64_t document_set_handler::HeldVersion() const {
  const auto held = state_->held_set();
  return held ? held->version : 0;
}

bool document_set_handler::IsHeld(std::uint64_t version) const {
  return state_->held_set() != nullptr && version <= HeldVersion();
}

set_answer document_set_handler::Acknowledge(std::uint64_t request,
                                             std::uint64_t version) const {
  set_answer answer;
  answer.request = request;
  answer.version = version;
  answer.held_version = HeldVersion();
  answer.code = answer.held_version > version ? result_code::kSetSuperseded
                                              : result_code::kOk;
  return answer;
}

document_set_handler::actions document_set_handler::Replace(
    std::uint64_t request, const set_replacement& replacement,
    const log_leadership& leadership, time_point now) {
  const std::uint64_t version = replacement.set.version;
  set_answer invalid;
  invalid.request = request;
  invalid.version = version;
  invalid.code = result_code::kSetInvalid;
  if (replacement.source_text.size() > kMaxSetSourceBytes) {
    invalid.failures.push_back(
        {result_code::kSetInvalid,
         fmt::format("{} bytes, at most {} are allowed",
                     replacement.source_text.size(), kMaxSetSourceBytes)});
    return {std::move(invalid)};
  }
  if (!CheckDocumentSet(replacement.set, &invalid.failures))
    return {std::move(invalid)};
  if (IsHeld(version)) return {Acknowledge(request, version)};
  if (!leadership.is_leader) {
    set_answer answer = Refusal(
        request, version, result_code::kNotLeader,
        leadership.leader.empty() ? "no leader is known; send the request again"
                                  : leadership.leader + " is the leader");
    answer.leader = leadership.leader;
    return {std::move(answer)};
  }
  if (waiting_ >= settings_.max_waiting) {
    return {
        Refusal(request, version, result_code::kTooManyWaiting,
                fmt::format("{} requests are waiting; send the request again",
                            waiting_))};
  }
  ++waiting_;
  const waiting_replacement waiting{request, version, now + settings_.timeout};
  control_command command;
  command.body = replace_document_set{
      EncodeDocumentSet(ToLogForm(replacement.set)), replacement.source_text,
      replacement.submitter, version};
  std::string untagged = Encode(command);
  for (auto& [tag, pending] : proposals_) {
    if (pending.command != untagged) continue;
    pending.replacements.push_back(waiting);
    return {};
  }
  command.tag = NewTag();
  proposals_[command.tag] = {std::move(untagged), {waiting}};
  return {propose_command{command.tag, Encode(command)}};
}

document_set_handler::actions document_set_handler::Read(std::uint64_t request,
                                                         time_point now) {
  if (reads_.size() >= settings_.max_reads)
    return {ReadFailure(request, result_code::kTooManyWaiting)};
  const std::uint64_t tag = NewTag();
  reads_[tag] = {request, now + settings_.timeout};
  return {query_read_index{tag}};
}

document_set_handler::actions document_set_handler::OnProposalRefused(
    std::uint64_t tag, const failure& refusal) {
  const auto found = proposals_.find(tag);
  if (found == proposals_.end()) return {};
  actions answers;
  for (const waiting_replacement& replacement : found->second.replacements)
    answers.push_back(Refusal(replacement.request, replacement.version,
                              refusal.code, refusal.reason));
  waiting_ -= found->second.replacements.size();
  proposals_.erase(found);
  return answers;
}

document_set_handler::actions document_set_handler::OnReadIndex(
    std::uint64_t tag, result_code code) {
  const auto found = reads_.find(tag);
  if (found == reads_.end()) return {};
  set_read_answer answer = ReadFailure(found->second.request, code);
  if (code == result_code::kOk) answer.set = state_->held_set();
  reads_.erase(found);
  return {std::move(answer)};
}

document_set_handler::actions document_set_handler::AcknowledgeHeld() {
  actions answers;
  for (auto at = proposals_.begin(); at != proposals_.end();) {
    // All requests of a proposal have the same version.
    const auto& replacements = at->second.replacements;
    if (!IsHeld(replacements.front().version)) {
      ++at;
      continue;
    }
    for (const waiting_replacement& replacement : replacements)
      answers.push_back(Acknowledge(replacement.request, replacement.version));
    waiting_ -= replacements.size();
    at = proposals_.erase(at);
  }
  return answers;
}

document_set_handler::actions document_set_handler::OnApplied(
    const command_outcome& outcome) {
  if (!outcome.set_version) {
    return OnProposalRefused(outcome.tag, {outcome.code, outcome.detail});
  }
  return AcknowledgeHeld();
}

document_set_handler::actions document_set_handler::OnRestored() {
  return AcknowledgeHeld();
}

document_set_handler::actions document_set_handler::OnLeadershipLost() {
  actions answers;
  for (const auto& [tag, pending] : proposals_) {
    for (const waiting_replacement& replacement : pending.replacements) {
      answers.push_back(Refusal(
          replacement.request, replacement.version,
          result_code::kOutcomeUnknown,
          "leadership was lost before the entry was known to be committed"));
    }
  }
  proposals_.clear();
  waiting_ = 0;
  return answers;
}

document_set_handler::actions document_set_handler::OnTick(time_point now) {
  actions answers;
  for (auto at = proposals_.begin(); at != proposals_.end();) {
    auto& replacements = at->second.replacements;
    const auto expired =
        std::stable_partition(replacements.begin(), replacements.end(),
                              [&](const waiting_replacement& replacement) {
                                return replacement.deadline > now;
                              });
    for (auto replacement = expired; replacement != replacements.end();
         ++replacement) {
      answers.push_back(
          Refusal(replacement->request, replacement->version,
                  result_code::kOutcomeUnknown,
                  "the entry was not known to be committed in time"));
      --waiting_;
    }
    replacements.erase(expired, replacements.end());
    at = replacements.empty() ? proposals_.erase(at) : std::next(at);
  }
  for (auto at = reads_.begin(); at != reads_.end();) {
    if (at->second.deadline > now) {
      ++at;
      continue;
    }
    answers.push_back(
        ReadFailure(at->second.request, result_code::kOutcomeUnknown));
    at = reads_.erase(at);
  }
  return answers;
}

time_point document_set_handler::next_wake() const {
  time_point wake = time_point::max();
  for (const auto& [tag, pending] : proposals_) {
    for (const waiting_replacement& replacement : pending.replacements)
      wake = std::min(wake, replacement.deadline);
  }
  for (const auto& [tag, read] : reads_) wake = std::min(wake, read.deadline);
  return wake;
}

unsigned document_set_handler::HttpStatus(result_code code) {
  switch (code) {
    case result_code::kOk:
    case result_code::kSetSuperseded:
      return 200;
    case result_code::kUnauthorized:
      return 403;
    case result_code::kSetInvalid:
      return 422;
    default:
      return 503;
  }
}

}  // namespace tamaracklatch
