// The leader's door for submissions: turns an operator's text into a proposal
// and the log's outcome into an answer. Whatever can not be known is answered
// outcome_unknown; sending the same document again is always safe.
//
//   submission_gate gate(settings, &tokens, seed);
//   for (auto& action : gate.Submit(id, text, token, state, now)) ...;
//   // propose: give `command` to the log; if it refuses at once:
//   gate.OnProposalRefused(tag, reason);
//   gate.OnApplied(outcome);          // from control_listener
//   gate.OnLeadershipLost();          // and OnTick(now) at next_wake()
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

struct submission_settings {
  duration timeout = std::chrono::seconds(5);  // then the outcome is unknown
  std::size_t max_waiting = 1024;              // submissions without an outcome
};

// The answer to a submission.
struct submission_answer {
  std::uint64_t request = 0;  // as Submit was given it
  result_code code = result_code::kOk;
  std::string service;
  std::uint64_t version = 0;
  revision accepted;              // with kOk
  std::uint64_t winner_hash = 0;  // with kVersionConflict
  std::vector<failure> failures;  // why not, each fault of the document
};

// Give to the log; its outcome comes back through OnApplied.
struct propose_command {
  std::uint64_t tag = 0;
  std::string command;
};

using submission_action = std::variant<submission_answer, propose_command>;

class submission_gate {
 public:
  using actions = std::vector<submission_action>;

  // `tokens` outlives the gate.
  submission_gate(const submission_settings& settings,
                  const access_tokens* tokens, std::uint64_t seed);

  // `service` is the name in the request's path; the document has to bear it.
  actions Submit(std::uint64_t request, std::string_view service,
                 std::string_view text, std::string_view token, time_point now);

  // The log did not take the proposal: nothing happened; or, with
  // kOutcomeUnknown, lost sight of it: it may still be accepted.
  actions OnProposalRefused(std::uint64_t tag, const failure& why);

  // An entry was applied at this VM.
  actions OnApplied(const command_outcome& outcome);

  // Another VM may lead: entries under way may still be accepted.
  actions OnLeadershipLost();

  actions OnTick(time_point now);
  time_point next_wake() const;

  // The HTTP status that goes with a code.
  static int HttpStatus(result_code code);

 private:
  // A submission without an outcome.
  struct waiting {
    std::uint64_t request = 0;
    std::string service;
    std::uint64_t version = 0;
    time_point deadline;
  };

  submission_answer UnknownOutcome(const waiting& entry,
                                   const char* reason) const;

  submission_settings settings_;
  const access_tokens* tokens_;
  random_source random_;
  std::map<std::uint64_t, waiting> waiting_;  // by tag
};

}  // namespace tamaracklatch
