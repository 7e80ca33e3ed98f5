// A control VM for the tests of doors: its state, and a log that is told what
// to answer.
#pragma once

#include <string>
#include <utility>
#include <vector>

#include "daemon/command_log.h"
#include "tamaracklatch/control/control_state.h"

namespace tamaracklatch::test {

// Keeps what it is asked until the test answers it.
class fake_log final : public command_log {
 public:
  void Propose(std::string command, consensus_reply reply) override {
    proposals.push_back({std::move(command), std::move(reply)});
  }
  void Read(consensus_reply reply) override {
    reads.push_back(std::move(reply));
  }

  // Tells all who proposed what became of it, and forgets them.
  void Answer(result_code code) {
    for (const proposal& each : std::exchange(proposals, {}))
      each.reply(code, {});
  }

  // Tells all who read whether they may.
  void AnswerReads(result_code code) {
    for (const consensus_reply& each : std::exchange(reads, {})) each(code, {});
  }

  struct proposal {
    std::string command;
    consensus_reply reply;
  };

  std::vector<proposal> proposals;     // not answered yet
  std::vector<consensus_reply> reads;  // not answered yet
};

// `door` hears of applied entries: a gate_door or what has one.
template <typename Door>
class control_desk final : public control_listener {
 public:
  void OnApplied(const command_outcome& outcome,
                 const revision_changes&) override {
    door->OnApplied(outcome);
  }

  // Everything proposed is accepted, applied, and then told to its proposer.
  void Accept() {
    for (const fake_log::proposal& each : log.proposals)
      state.Apply(revision{++entries}, each.command);
    log.Answer(result_code::kOk);
  }

  fake_log log;
  control_state state{this};
  Door* door = nullptr;
  std::uint64_t entries = 0;
};

}  // namespace tamaracklatch::test
