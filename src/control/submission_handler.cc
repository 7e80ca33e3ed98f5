// Turns submissions into proposals, and outcomes into answers.
#include "tamaracklatch/control/submission_handler.h"

#include <fmt/format.h>

#include <algorithm>
#include <cassert>

namespace tamaracklatch {
namespace {

submission_answer Refusal(std::uint64_t request, result_code code,
                          std::string reason) {
  submission_answer answer;
  answer.request = request;
  answer.code = code;
  answer.failures.push_back({code, std::move(reason)});
  return answer;
}

}  // namespace

submission_handler::submission_handler(const submission_settings& settings,
                                       const access_tokens* tokens,
                                       std::uint64_t seed)
    : settings_(settings), tokens_(tokens), random_(seed) {
  assert(tokens != nullptr);
}

submission_handler::actions submission_handler::Submit(std::uint64_t request,
                                                       std::string_view service,
                                                       std::string_view text,
                                                       std::string_view token,
                                                       time_point now) {
  const std::string holder = tokens_->Holder(token, service);
  if (holder.empty()) {
    return {Refusal(request, result_code::kUnauthorized,
                    fmt::format("the token does not name \"{}\"", service))};
  }
  std::vector<failure> failures;
  const auto document = ParseDocument(text, &failures);
  if (!document) {
    submission_answer answer;
    answer.request = request;
    answer.service = service;
    answer.code = failures.front().code;
    answer.failures = std::move(failures);
    return {std::move(answer)};
  }
  if (document->service != service) {
    return {
        Refusal(request, result_code::kDocumentOutOfRange,
                fmt::format("service: \"{}\" was sent to the path of \"{}\"",
                            document->service, service))};
  }
  if (waiting_.size() >= settings_.max_waiting) {
    return {
        Refusal(request, result_code::kTooManyWaiting,
                fmt::format("{} submissions are waiting", waiting_.size()))};
  }
  std::uint64_t tag = random_();
  while (tag == 0 || waiting_.count(tag) != 0) tag = random_();
  waiting_[tag] = {request, document->service, document->version,
                   now + settings_.timeout};
  control_command command;
  command.tag = tag;
  command.body = submit_document{CanonicalText(*document), holder};
  return {propose_command{tag, Encode(command)}};
}

submission_handler::actions submission_handler::OnProposalRefused(
    std::uint64_t tag, const failure& refusal) {
  const auto found = waiting_.find(tag);
  if (found == waiting_.end()) return {};
  submission_answer answer =
      Refusal(found->second.request, refusal.code, refusal.reason);
  answer.service = found->second.service;
  answer.version = found->second.version;
  waiting_.erase(found);
  return {std::move(answer)};
}

submission_handler::actions submission_handler::OnApplied(
    const command_outcome& outcome) {
  const auto found = waiting_.find(outcome.tag);
  if (found == waiting_.end()) return {};
  submission_answer answer;
  answer.request = found->second.request;
  answer.code = outcome.code;
  answer.service = outcome.service;
  answer.version = outcome.version;
  answer.accepted = outcome.accepted;
  answer.winner_hash = outcome.winner_hash;
  if (outcome.code != result_code::kOk)
    answer.failures.push_back({outcome.code, outcome.detail});
  waiting_.erase(found);
  return {std::move(answer)};
}

submission_answer submission_handler::UnknownOutcome(
    const waiting_submission& entry, const char* reason) const {
  submission_answer answer =
      Refusal(entry.request, result_code::kOutcomeUnknown, reason);
  answer.service = entry.service;
  answer.version = entry.version;
  return answer;
}

submission_handler::actions submission_handler::OnLeadershipLost() {
  actions answers;
  for (const auto& [tag, entry] : waiting_) {
    answers.push_back(UnknownOutcome(
        entry,
        "leadership was lost before the entry was known to be committed"));
  }
  waiting_.clear();
  return answers;
}

submission_handler::actions submission_handler::OnTick(time_point now) {
  actions answers;
  for (auto entry = waiting_.begin(); entry != waiting_.end();) {
    if (entry->second.deadline > now) {
      ++entry;
      continue;
    }
    answers.push_back(UnknownOutcome(
        entry->second, "the entry was not known to be committed in time"));
    entry = waiting_.erase(entry);
  }
  return answers;
}

time_point submission_handler::next_wake() const {
  time_point wake = time_point::max();
  for (const auto& [tag, entry] : waiting_)
    wake = std::min(wake, entry.deadline);
  return wake;
}

int submission_handler::HttpStatus(result_code code) {
  switch (code) {
    case result_code::kOk:
      return 200;
    case result_code::kUnauthorized:
      return 403;
    case result_code::kServiceUnknown:
      return 404;
    case result_code::kVersionConflict:
    case result_code::kVersionStale:
    case result_code::kVersionGap:
    case result_code::kAddressTaken:
      return 409;
    case result_code::kLogBusy:
    case result_code::kNotLeader:
    case result_code::kStorageStopped:
    case result_code::kTooManyWaiting:
      return 503;
    case result_code::kOutcomeUnknown:
      return 504;
    default:
      return 400;
  }
}

}  // namespace tamaracklatch
