// A control VM's door for document sets: turns an operator's order into a
// proposal and the log's outcome into an answer, and serves reads that are
// never old. An order is acknowledged once a set with its version or a higher
// one is applied here, for applied entries never go back. Whatever can not be
// known gets a code after which the same order may be sent again, to any
// control VM; only an invalid set is refused for good.
//
//   set_gate gate(settings, &state, seed);
//   for (auto& action : gate.Order(id, order, standing, now)) ...;
//   gate.OnProposalRefused(tag, reason);  // the log refused propose_command
//   gate.OnReadIndex(tag, code);          // what became of ask_read_index
//   gate.OnApplied(outcome);              // from control_listener
//   gate.OnLeadershipLost();              // and OnTick(now) at next_wake()
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
#include "tamaracklatch/control/submission_gate.h"
#include "tamaracklatch/core/random.h"
#include "tamaracklatch/core/time.h"

namespace tamaracklatch {

struct set_gate_settings {
  duration timeout = std::chrono::seconds(5);  // then the outcome is unknown
  std::size_t max_waiting = 64;                // orders without an outcome
  std::size_t max_reads = 256;                 // reads without an answer
};

// What an operator sends: the set as read, and the very text.
struct set_order {
  document_set set;
  std::string source_text;
  std::string submitter;
};

// Who leads the log, as this control VM knows.
struct log_standing {
  bool is_leader = false;
  std::string leader;  // another VM's name; empty where none is known
};

// The answer to an order.
struct set_answer {
  std::uint64_t request = 0;  // as Order was given it
  result_code code = result_code::kOk;
  std::uint64_t version = 0;       // of the order
  std::uint64_t held_version = 0;  // with kOk and kSetSuperseded
  std::string leader;              // with kNotLeader: who leads, if known
  std::vector<failure> failures;   // why not, each fault of the set
};

// The answer to a read.
struct set_read_answer {
  std::uint64_t request = 0;  // as Read was given it
  result_code code = result_code::kOk;
  std::shared_ptr<const accepted_set> set;  // with kOk; null: none so far
};

// Ask the log up to where this VM must have applied to know all that was
// accepted; the outcome comes back, once it has, through OnReadIndex.
struct ask_read_index {
  std::uint64_t tag = 0;
};

using set_action =
    std::variant<set_answer, set_read_answer, propose_command, ask_read_index>;

class set_gate {
 public:
  using actions = std::vector<set_action>;

  // `state` outlives the gate.
  set_gate(const set_gate_settings& settings, const control_state* state,
           std::uint64_t seed);

  // An operator replaces the set.
  actions Order(std::uint64_t request, const set_order& order,
                const log_standing& standing, time_point now);

  // An operator asks for the newest set.
  actions Read(std::uint64_t request, time_point now);

  // The log did not take the proposal: nothing happened; or, with
  // kOutcomeUnknown, lost sight of it: it may still be accepted.
  actions OnProposalRefused(std::uint64_t tag, const failure& why);

  // What the log says to ask_read_index.
  actions OnReadIndex(std::uint64_t tag, result_code code);

  // An entry was applied at this VM.
  actions OnApplied(const command_outcome& outcome);

  // The state was replaced by a snapshot.
  actions OnRestored();

  // Another VM may lead: entries under way may still be accepted.
  actions OnLeadershipLost();

  actions OnTick(time_point now);
  time_point next_wake() const;

  // The HTTP status that goes with a code: 4xx only where the same order can
  // never be taken.
  static unsigned HttpStatus(result_code code);

 private:
  // An order without an outcome.
  struct waiting_order {
    std::uint64_t request = 0;
    std::uint64_t version = 0;
    time_point deadline;
  };

  // A proposal under way and all orders that it answers.
  struct proposal {
    std::string command;  // without its tag, to know a resent order again
    std::vector<waiting_order> orders;
  };

  // A read that waits for the log.
  struct waiting_read {
    std::uint64_t request = 0;
    time_point deadline;
  };

  std::uint64_t DrawTag();
  std::uint64_t HeldVersion() const;
  bool IsHeld(std::uint64_t version) const;
  set_answer Acknowledge(std::uint64_t request, std::uint64_t version) const;
  actions AcknowledgeHeld();

  set_gate_settings settings_;
  const control_state* state_;
  random_source random_;
  std::map<std::uint64_t, proposal> proposals_;  // by tag
  std::map<std::uint64_t, waiting_read> reads_;  // by tag
  std::size_t waiting_ = 0;                      // orders in all proposals
};

}  // namespace tamaracklatch
