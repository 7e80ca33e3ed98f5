// Handles submissions of service documents on the leader: turns the text that a
// service team sends into a proposal and the log's outcome into an answer. If
// the outcome can't be known, the answer is outcome_unknown; it is always safe
// to send the same document again.
//
//   submission_handler handler(settings, &tokens, seed);
//   for (auto& action : handler.Submit(id, service, text, token, now)) ...;
//   handler.OnProposalRefused(tag, refusal);  // if the log refused it
//   handler.OnApplied(outcome);               // from control_listener
//   handler.OnLeadershipLost();               // and OnTick(now) at next_wake()
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "tamaracklatch/control/access_tokens.h"
#include "tamaracklatch/control/control_state.h"
#include "tamaracklatch/core/random.h"
#include "tamaracklatch/core/time.h"

namespace tamaracklatch {

// Settings of submission_handler.
struct submission_settings {
  // A submission without an outcome after this is answered outcome_unknown.
  duration timeout = std::chrono::seconds(5);
  // Submissions that wait for an outcome; one more is refused with
  // too_many_waiting.
  std::size_t max_waiting = 1024;
};

// The answer to a submission.
struct submission_answer {
  std::uint64_t request = 0;  // as passed to Submit
  result_code code = result_code::kOk;
  std::string service;
  std::uint64_t version = 0;      // of the document
  revision accepted;              // with kOk: at which it was accepted
  std::uint64_t winner_hash = 0;  // as in command_outcome
  std::vector<failure> failures;  // of a refusal: its reason, or each fault of
                                  // the document
};

// Asks the caller to propose the command to the log. Its outcome comes back
// through OnApplied, or OnProposalRefused.
struct propose_command {
  std::uint64_t tag = 0;
  std::string command;
};

// What the caller has to do: send an answer, or propose a command.
using submission_action = std::variant<submission_answer, propose_command>;

// Used by the control API on the leader; answers each submission exactly once.
class submission_handler {
 public:
  using actions = std::vector<submission_action>;

  // `tokens` must outlive the handler.
  submission_handler(const submission_settings& settings,
                     const access_tokens* tokens, std::uint64_t seed);

  // Called when a submission arrives. `request` is a number that the answer
  // carries. `service` is the name in the request's path; the document must
  // name the same service.
  actions Submit(std::uint64_t request, std::string_view service,
                 std::string_view text, std::string_view token, time_point now);

  // Called when the log refused the proposal, so that nothing changed; or, with
  // kOutcomeUnknown, when the log no longer tracks it and may still accept it.
  actions OnProposalRefused(std::uint64_t tag, const failure& refusal);

  // Called when an entry was applied on this VM.
  actions OnApplied(const command_outcome& outcome);

  // Called when another VM may be leader. The pending proposals may still be
  // accepted, so all submissions are answered outcome_unknown.
  actions OnLeadershipLost();

  // Answers the submissions whose timeout has passed.
  actions OnTick(time_point now);

  // When OnTick has to be called next; time_point::max() if nothing waits.
  time_point next_wake() const;

  // The HTTP status for a code.
  static int HttpStatus(result_code code);

 private:
  // A submission that waits for its outcome.
  struct waiting_submission {
    std::uint64_t request = 0;
    std::string service;
    std::uint64_t version = 0;
    time_point deadline;
  };

  submission_answer UnknownOutcome(const waiting_submission& entry,
                                   const char* reason) const;

  submission_settings settings_;
  const access_tokens* tokens_;
  random_source random_;
  std::map<std::uint64_t, waiting_submission> waiting_;  // by tag
};

}  // namespace tamaracklatch
