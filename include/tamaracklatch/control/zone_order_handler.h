// Handles operators' orders to evacuate a zone, or to end its evacuation, on a
// control VM: turns each order into a proposal and the log's outcome into an
// answer. Every order goes through the log, also one that is in force here
// already: the applied state may be behind the log. An order is acknowledged
// once its entry is applied on this VM, because applied entries are never
// undone. If the outcome can't be known, the answer has a code that allows the
// operator to send the same order again, to any control VM.
//
//   zone_order_handler handler(settings, seed);
//   for (auto& action : handler.Order(id, order, leadership, now)) ...;
//   handler.OnProposalRefused(tag, refusal);  // the log refused it
//   handler.OnApplied(outcome);               // from control_listener
//   handler.OnLeadershipLost();  // and OnTick(now) at next_wake()
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "tamaracklatch/control/control_state.h"
#include "tamaracklatch/control/document_set_handler.h"
#include "tamaracklatch/control/submission_handler.h"
#include "tamaracklatch/core/random.h"
#include "tamaracklatch/core/time.h"

namespace tamaracklatch {

// Settings of zone_order_handler.
struct zone_order_handler_settings {
  // An order without an outcome after this is answered outcome_unknown.
  duration timeout = std::chrono::seconds(5);
  // Orders that wait for an outcome; one more is refused with too_many_waiting.
  std::size_t max_waiting = 64;
};

// The answer to an order.
struct zone_order_answer {
  std::uint64_t request = 0;  // as passed to Order
  result_code code = result_code::kOk;
  std::string reason;                // of a refusal
  std::uint64_t rules_revision = 0;  // with kOk: of the rules that contain it
  std::string leader;                // with kNotLeader: its name, if known
};

// What the caller has to do: send an answer, or use the log.
using zone_order_action = std::variant<zone_order_answer, propose_command>;

// Used by the daemon of every control VM; answers each order exactly once.
class zone_order_handler {
 public:
  using actions = std::vector<zone_order_action>;

  zone_order_handler(const zone_order_handler_settings& settings,
                     std::uint64_t seed);

  // Called when an operator sends an order, with the zone's name in full; the
  // proposed entry has it abbreviated. `request` is a number that the
  // answer carries. An order that is equal to a pending one shares its
  // proposal, unless another order for the zone was proposed since: the shared
  // entry would come before that other order in the log.
  actions Order(std::uint64_t request, const set_zone_evacuation& order,
                const log_leadership& leadership, time_point now);

  // Called when the log refused the proposal, so that nothing changed; or, with
  // kOutcomeUnknown, when the log no longer tracks it and may still accept it.
  actions OnProposalRefused(std::uint64_t tag, const failure& refusal);

  // Called when an entry was applied on this VM.
  actions OnApplied(const command_outcome& outcome);

  // Called when the state was replaced by a snapshot. The snapshot does not
  // tell which entries it contains, so all orders are answered outcome_unknown.
  actions OnRestored();

  // Called when another VM may be leader. The pending proposals may still be
  // accepted, so all their orders are answered outcome_unknown.
  actions OnLeadershipLost();

  // Answers the orders whose timeout has passed.
  actions OnTick(time_point now);

  // When OnTick has to be called next; time_point::max() if nothing waits.
  time_point next_wake() const;

  // The HTTP status for a code. 4xx means that sending the same order again
  // does not help.
  static unsigned HttpStatus(result_code code);

 private:
  // An order that waits for its outcome.
  struct waiting_order {
    std::uint64_t request = 0;
    time_point deadline;
  };

  // A pending proposal and all orders that wait for it.
  struct proposal {
    zone_name zone;
    std::string command;  // encoded with tag 0, to recognize an equal order
    std::vector<waiting_order> orders;
  };

  // A random tag that no proposal has; never 0.
  std::uint64_t NewTag();
  // Removes the proposal and answers its orders; `answer` has all but the
  // request.
  void Finish(std::uint64_t tag, zone_order_answer answer, actions* answers);
  actions FinishAll(const std::string& reason);

  zone_order_handler_settings settings_;
  random_source random_;
  std::map<std::uint64_t, proposal> proposals_;  // by tag
  // The tag of each zone's newest proposal while that is pending. Only this one
  // is shared: older ones may come before an opposite order in the log, even
  // if that order is no longer pending.
  std::map<zone_name, std::uint64_t> newest_;
  std::size_t waiting_ = 0;  // orders in all proposals
};

}  // namespace tamaracklatch
