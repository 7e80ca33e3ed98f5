// Turns replacements into proposals, and the log's progress into answers.
#include "tamaracklatch/control/set_gate.h"

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

set_gate::set_gate(const set_gate_settings& settings,
                   const control_state* state, std::uint64_t seed)
    : settings_(settings), state_(state), random_(seed) {
  assert(state != nullptr);
}

std::uint64_t set_gate::NewTag() {
  std::uint64_t tag = random_();
  while (tag == 0 || proposals_.count(tag) != 0 || reads_.count(tag) != 0)
    tag = random_();
  return tag;
}

std::uint64_t set_gate::HeldVersion() const {
  const auto held = state_->held_set();
  return held ? held->version : 0;
}

bool set_gate::IsHeld(std::uint64_t version) const {
  return state_->held_set() != nullptr && version <= HeldVersion();
}

set_answer set_gate::Acknowledge(std::uint64_t request,
                                 std::uint64_t version) const {
  set_answer answer;
  answer.request = request;
  answer.version = version;
  answer.held_version = HeldVersion();
  answer.code = answer.held_version > version ? result_code::kSetSuperseded
                                              : result_code::kOk;
  return answer;
}

set_gate::actions set_gate::Order(std::uint64_t request, const set_order& order,
                                  const log_standing& standing,
                                  time_point now) {
  const std::uint64_t version = order.set.version;
  set_answer invalid;
  invalid.request = request;
  invalid.version = version;
  invalid.code = result_code::kSetInvalid;
  if (order.source_text.size() > kMaxSetSourceBytes) {
    invalid.failures.push_back(
        {result_code::kSetInvalid,
         fmt::format("{} bytes, the limit is {}", order.source_text.size(),
                     kMaxSetSourceBytes)});
    return {std::move(invalid)};
  }
  if (!CheckDocumentSet(order.set, &invalid.failures))
    return {std::move(invalid)};
  if (IsHeld(version)) return {Acknowledge(request, version)};
  if (!standing.is_leader) {
    set_answer answer = Refusal(
        request, version, result_code::kNotLeader,
        standing.leader.empty() ? "no leader is known; send the request again"
                                : standing.leader + " is the leader");
    answer.leader = standing.leader;
    return {std::move(answer)};
  }
  if (waiting_ >= settings_.max_waiting) {
    return {
        Refusal(request, version, result_code::kTooManyWaiting,
                fmt::format("{} requests are waiting; send the request again",
                            waiting_))};
  }
  ++waiting_;
  const waiting_order waiting{request, version, now + settings_.timeout};
  control_command command;
  command.body =
      replace_document_set{EncodeDocumentSet(order.set), order.source_text,
                           order.submitter, version};
  std::string untagged = Encode(command);
  for (auto& [tag, pending] : proposals_) {
    if (pending.command != untagged) continue;
    pending.orders.push_back(waiting);
    return {};
  }
  command.tag = NewTag();
  proposals_[command.tag] = {std::move(untagged), {waiting}};
  return {propose_command{command.tag, Encode(command)}};
}

set_gate::actions set_gate::Read(std::uint64_t request, time_point now) {
  if (reads_.size() >= settings_.max_reads)
    return {ReadFailure(request, result_code::kTooManyWaiting)};
  const std::uint64_t tag = NewTag();
  reads_[tag] = {request, now + settings_.timeout};
  return {ask_read_index{tag}};
}

set_gate::actions set_gate::OnProposalRefused(std::uint64_t tag,
                                              const failure& refusal) {
  const auto found = proposals_.find(tag);
  if (found == proposals_.end()) return {};
  actions answers;
  for (const waiting_order& order : found->second.orders)
    answers.push_back(
        Refusal(order.request, order.version, refusal.code, refusal.reason));
  waiting_ -= found->second.orders.size();
  proposals_.erase(found);
  return answers;
}

set_gate::actions set_gate::OnReadIndex(std::uint64_t tag, result_code code) {
  const auto found = reads_.find(tag);
  if (found == reads_.end()) return {};
  set_read_answer answer = ReadFailure(found->second.request, code);
  if (code == result_code::kOk) answer.set = state_->held_set();
  reads_.erase(found);
  return {std::move(answer)};
}

set_gate::actions set_gate::AcknowledgeHeld() {
  actions answers;
  for (auto at = proposals_.begin(); at != proposals_.end();) {
    // All requests of a proposal have the same version.
    const auto& orders = at->second.orders;
    if (!IsHeld(orders.front().version)) {
      ++at;
      continue;
    }
    for (const waiting_order& order : orders)
      answers.push_back(Acknowledge(order.request, order.version));
    waiting_ -= orders.size();
    at = proposals_.erase(at);
  }
  return answers;
}

set_gate::actions set_gate::OnApplied(const command_outcome& outcome) {
  if (!outcome.set_version) {
    return OnProposalRefused(outcome.tag, {outcome.code, outcome.detail});
  }
  return AcknowledgeHeld();
}

set_gate::actions set_gate::OnRestored() { return AcknowledgeHeld(); }

set_gate::actions set_gate::OnLeadershipLost() {
  actions answers;
  for (const auto& [tag, pending] : proposals_) {
    for (const waiting_order& order : pending.orders) {
      answers.push_back(Refusal(
          order.request, order.version, result_code::kOutcomeUnknown,
          "leadership was lost before the entry was known to be committed"));
    }
  }
  proposals_.clear();
  waiting_ = 0;
  return answers;
}

set_gate::actions set_gate::OnTick(time_point now) {
  actions answers;
  for (auto at = proposals_.begin(); at != proposals_.end();) {
    auto& orders = at->second.orders;
    const auto expired = std::stable_partition(
        orders.begin(), orders.end(),
        [&](const waiting_order& order) { return order.deadline > now; });
    for (auto order = expired; order != orders.end(); ++order) {
      answers.push_back(
          Refusal(order->request, order->version, result_code::kOutcomeUnknown,
                  "the entry was not known to be committed in time"));
      --waiting_;
    }
    orders.erase(expired, orders.end());
    at = orders.empty() ? proposals_.erase(at) : std::next(at);
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

time_point set_gate::next_wake() const {
  time_point wake = time_point::max();
  for (const auto& [tag, pending] : proposals_) {
    for (const waiting_order& order : pending.orders)
      wake = std::min(wake, order.deadline);
  }
  for (const auto& [tag, read] : reads_) wake = std::min(wake, read.deadline);
  return wake;
}

unsigned set_gate::HttpStatus(result_code code) {
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
