// Handles an operator's requests for the document set on a control VM: turns a
// request to replace the set into a proposal and the log's outcome into an
// answer, and serves linearizable reads. A replacement is acknowledged once a
// set with its version or a higher one is applied on this VM, because applied
// entries are never undone. If the outcome can't be known, the answer has a
// code that allows the client to send the same request again, to any control
// VM. Only an invalid set is refused permanently.
//
//   document_set_handler handler(settings, &state, seed);
//   for (auto& action : handler.Replace(id, replacement, leadership, now)) ...;
//   // The log refused propose_command, or query_read_index has an outcome:
//   handler.OnProposalRefused(tag, refusal);
//   handler.OnReadIndex(tag, code);
//   handler.OnApplied(outcome);  // from control_listener
//   handler.OnLeadershipLost();  // and OnTick(now) at next_wake()
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "tamaracklatch/control/control_state.h"
#include "tamaracklatch/control/document_set.h"
#include "tamaracklatch/control/submission_handler.h"
#include "tamaracklatch/core/random.h"
#include "tamaracklatch/core/time.h"

namespace tamaracklatch {

// Settings of document_set_handler.
struct document_set_handler_settings {
  // A request without an outcome after this is answered outcome_unknown.
  duration timeout = std::chrono::seconds(5);
  // Replacements and reads that wait for an outcome; one more is refused with
  // too_many_waiting.
  std::size_t max_waiting = 64;
  std::size_t max_reads = 256;
};

// An operator's request to replace the document set.
struct set_replacement {
  document_set set;         // as parsed from the text
  std::string source_text;  // as the operator sent it, byte for byte
  std::string submitter;    // the token's holder; kept with the set
};

// The leader of the log, as far as this control VM knows.
struct log_leadership {
  bool is_leader = false;
  std::string leader;  // another VM's name; empty where none is known
};

// The answer to a replacement.
struct set_answer {
  std::uint64_t request = 0;  // as passed to Replace
  result_code code = result_code::kOk;
  std::uint64_t version = 0;       // of the request's set
  std::uint64_t held_version = 0;  // with kOk and kSetSuperseded
  std::string leader;              // with kNotLeader: its name, if known
  std::vector<failure> failures;   // of a refusal: its reason, or each fault
                                   // of the set
};

// The answer to a read.
struct set_read_answer {
  std::uint64_t request = 0;  // as passed to Read
  result_code code = result_code::kOk;
  std::shared_ptr<const accepted_set> set;  // with kOk; null: none accepted
};

// Asks the caller to query the log for the read index: the revision up to which
// this VM must have applied the log to see all that was accepted before. The
// caller reports to OnReadIndex once this VM has applied up to it.
struct query_read_index {
  std::uint64_t tag = 0;
};

// What the caller has to do: send an answer, or use the log.
using set_action = std::variant<set_answer, set_read_answer, propose_command,
                                query_read_index>;

// Used by the daemon of every control VM; answers each request exactly once.
class document_set_handler {
 public:
  using actions = std::vector<set_action>;

  // `state` must outlive the handler.
  document_set_handler(const document_set_handler_settings& settings,
                       const control_state* state, std::uint64_t seed);

  // Called when an operator asks to replace the set. `request` is a number that
  // the answer carries. A request that is equal to a pending one shares its
  // proposal.
  actions Replace(std::uint64_t request, const set_replacement& replacement,
                  const log_leadership& leadership, time_point now);

  // Called when an operator asks for the newest set.
  actions Read(std::uint64_t request, time_point now);

  // Called when the log refused the proposal, so that nothing changed; or, with
  // kOutcomeUnknown, when the log no longer tracks it and may still accept it.
  actions OnProposalRefused(std::uint64_t tag, const failure& refusal);

  // Called with the outcome of query_read_index.
  actions OnReadIndex(std::uint64_t tag, result_code code);

  // Called when an entry was applied on this VM.
  actions OnApplied(const command_outcome& outcome);

  // Called when the state was replaced by a snapshot.
  actions OnRestored();

  // Called when another VM may be leader. The pending proposals may still be
  // accepted, so all their requests are answered outcome_unknown.
  actions OnLeadershipLost();

  // Answers the requests whose timeout has passed.
  actions OnTick(time_point now);

  // When OnTick has to be called next; time_point::max() if nothing waits.
  time_point next_wake() const;

  // The HTTP status for a code. 4xx means that the same request can never be
  // accepted.
  static unsigned HttpStatus(result_code code);

 private:
  // A replacement that waits for its outcome.
  struct waiting_replacement {
    std::uint64_t request = 0;
    std::uint64_t version = 0;
    time_point deadline;
  };

  // A pending proposal and all replacements that wait for it.
  struct proposal {
    std::string command;  // encoded with tag 0, to recognize a resent request
    std::vector<waiting_replacement> replacements;
  };

  // A read that waits for its read index.
  struct waiting_read {
    std::uint64_t request = 0;
    time_point deadline;
  };

  // A random tag that no proposal and no read has; never 0.
  std::uint64_t NewTag();
  // Version of the set that is held; 0 if there is none.
  std::uint64_t HeldVersion() const;
  // Whether a set with this version or a higher one is held.
  bool IsHeld(std::uint64_t version) const;
  set_answer Acknowledge(std::uint64_t request, std::uint64_t version) const;
  // Answers the requests whose version, or a higher one, is held by now.
  actions AcknowledgeHeld();

  document_set_handler_settings settings_;
  const control_state* state_;
  random_source random_;
  std::map<std::uint64_t, proposal> proposals_;  // by tag
  std::map<std::uint64_t, waiting_read> reads_;  // by tag
  std::size_t waiting_ = 0;  // replacements in all proposals
};

}  // namespace tamaracklatch
