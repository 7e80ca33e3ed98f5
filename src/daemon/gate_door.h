// The door between operators' requests and the replicated log: carries out what
// a gate decides, brings it what becomes of its proposals and reads, and gives
// each request its one answer. A request whose outcome the log no longer knows
// is answered at once; sending it again is safe.
//
//   gate_door<document_set_handler> door(
//       document_set_handler(settings, &state, seed));
//   door.SetLog(&log);
//   const std::uint64_t request = door.NextRequest();
//   door.Await<set_answer>(request, reply, door.gate().Replace(request, ...));
//   door.OnApplied(outcome);     // from control_listener
//   door.Tick(is_leader, now);   // several times a second
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <utility>
#include <variant>

#include "daemon/command_log.h"
#include "tamaracklatch/control/document_set_handler.h"
#include "tamaracklatch/control/submission_handler.h"

namespace tamaracklatch {

// `Gate` is document_set_handler, submission_handler or zone_order_handler.
template <typename Gate>
class gate_door {
 public:
  using actions = typename Gate::actions;
  using action = typename actions::value_type;

  explicit gate_door(Gate gate) : gate_(std::move(gate)) {}
  gate_door(const gate_door&) = delete;
  gate_door& operator=(const gate_door&) = delete;

  // Call before anything else; `log` must outlive the door.
  void SetLog(command_log* log) { log_ = log; }

  Gate& gate() { return gate_; }

  // The number of a new request, for the gate.
  std::uint64_t NextRequest() { return next_request_++; }

  // Carries out what the gate said to the request. `reply` is called once with
  // its answer, now or later.
  template <typename Answer>
  void Await(std::uint64_t request, std::function<void(const Answer&)> reply,
             const actions& said) {
    replies_[request] = [reply = std::move(reply)](const action& given) {
      reply(std::get<Answer>(given));
    };
    Perform(said);
  }

  // Hears of each applied entry.
  void OnApplied(const command_outcome& outcome) {
    Perform(gate_.OnApplied(outcome));
  }

  // The state was replaced by a snapshot. Not for submission_handler.
  void OnRestored() { Perform(gate_.OnRestored()); }

  // Answers what waits too long, and all that waits once this VM leads no more.
  void Tick(bool is_leader, time_point now) {
    if (led_ && !is_leader) Perform(gate_.OnLeadershipLost());
    led_ = is_leader;
    Perform(gate_.OnTick(now));
  }

 private:
  void Perform(const actions& said) {
    for (const action& each : said)
      std::visit([&](const auto& typed) { Do(typed, each); }, each);
  }

  // A command that the log took is answered by OnApplied.
  void Do(const propose_command& what, const action&) {
    log_->Propose(
        what.command, [this, tag = what.tag](result_code code, revision) {
          if (code == result_code::kOk) return;
          const char* const reason =
              code == result_code::kOutcomeUnknown
                  ? "the log lost sight of it; sending the same again is safe"
                  : "the log did not take it; sending the same again is safe";
          Perform(gate_.OnProposalRefused(tag, {code, reason}));
        });
  }

  void Do(const query_read_index& what, const action&) {
    log_->Read([this, tag = what.tag](result_code code, revision) {
      Perform(gate_.OnReadIndex(tag, code));
    });
  }

  template <typename Answer>
  void Do(const Answer& what, const action& given) {
    const auto found = replies_.find(what.request);
    if (found == replies_.end()) return;
    const auto reply = std::move(found->second);
    replies_.erase(found);
    reply(given);
  }

  Gate gate_;
  command_log* log_ = nullptr;
  std::map<std::uint64_t, std::function<void(const action&)>>
      replies_;  // by the request's number
  std::uint64_t next_request_ = 1;
  bool led_ = false;  // at the last tick
};

}  // namespace tamaracklatch
