// Property tests of document sets on a simulated log: three control VMs; two
// operators whose requests race, are resent and lose their answers; and changes
// of leader that may lose the entries not committed yet.
#include "tamaracklatch/control/document_set_handler.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "control/document_sets.h"
#include "support/property.h"

namespace tamaracklatch {
namespace {

using std::chrono::seconds;

constexpr int kVms = 3;
constexpr int kSteps = 300;  // of one simulation

// A random number from 0 to end - 1.
std::uint32_t RandomBelow(std::uint32_t end) {
  return *rc::gen::inRange<std::uint32_t>(0, end);
}

// Runs the control VMs, the operators and the log, in steps that are chosen at
// random, and checks every answer when it is given.
class set_simulation {
 public:
  set_simulation() {
    for (int i = 0; i < kVms; ++i) {
      vms_.push_back(std::make_unique<vm>());
      vms_.back()->handler = std::make_unique<document_set_handler>(
          document_set_handler_settings{}, &vms_.back()->state, i + 1);
    }
  }

  void Step() {
    switch (RandomBelow(12)) {
      case 0:
      case 1:
        return Send(RandomBelow(kVms));
      case 2:
        return Resend(RandomBelow(kVms));
      case 3:
      case 4:
        return Read(RandomBelow(kVms));
      case 5:
      case 6:
        return Commit();
      case 7:
      case 8:
        return Apply(leader_);
      case 9:
        return Apply(RandomBelow(kVms));
      case 10:
        return AnswerReads(RandomBelow(kVms));
      default:
        return InjectFault();
    }
  }

  // Applies the whole log on every VM and checks the final state.
  void Finish() {
    Commit();
    for (int i = 0; i < kVms; ++i) {
      while (vms_[i]->applied < committed_.size()) Apply(i);
      AnswerReads(i);
      now_ += seconds(10);
      Perform(i, vms_[i]->handler->OnTick(now_));
      RC_ASSERT(vms_[i]->handler->next_wake() == time_point::max());
    }
    RC_ASSERT(pending_.empty());
    std::optional<std::uint64_t> highest;
    for (const auto& [version, source] : accepted_)
      highest = std::max(highest.value_or(0), version);
    for (const auto& each : vms_) {
      const auto held = each->state.held_set();
      RC_ASSERT(highest.has_value() == (held != nullptr));
      if (!held) continue;
      RC_ASSERT(held->version == *highest);
      RC_ASSERT(held->source_text == accepted_.at(*highest));
      RC_ASSERT(held->version >= acknowledged_);
    }
    // A valid request that was sent before is never refused permanently when it
    // is resent; Handle checks the status.
    for (const set_replacement& replacement : sent_) {
      for (int i = 0; i < kVms; ++i) SendTo(i, replacement);
    }
  }

 private:
  class outcome_recorder : public control_listener {
   public:
    void OnApplied(const command_outcome& outcome,
                   const revision_changes& /*changes*/) override {
      last = outcome;
    }
    command_outcome last;
  };

  struct vm {
    outcome_recorder recorder;
    control_state state{&recorder};
    std::unique_ptr<document_set_handler> handler;
    std::size_t applied = 0;  // entries of committed_
  };

  // A pending query for the read index.
  struct log_read {
    int vm;
    std::uint64_t tag;
    std::size_t index;  // size of committed_ when it was sent
  };

  // A request without an answer.
  struct pending_request {
    std::uint64_t version = 0;   // of a replacement's set
    std::uint64_t at_least = 0;  // of a read: acknowledged before it was sent
    bool is_valid = true;
  };

  log_leadership Standing(int i) const {
    if (i == leader_) return {true, ""};
    return {false, RandomBelow(3) == 0 ? "" : std::to_string(leader_)};
  }

  void Send(int i) {
    document_set set = test::MakeSet(1 + RandomBelow(12), 1, RandomBelow(3));
    if (RandomBelow(8) == 0) set.routes.push_back(set.routes.front());
    sent_.push_back(
        {set, test::SourceOf(set), "op-" + std::to_string(RandomBelow(2))});
    SendTo(i, sent_.back());
  }

  void Resend(int i) {
    if (sent_.empty()) return;
    const std::size_t which =
        RandomBelow(static_cast<std::uint32_t>(sent_.size()));
    SendTo(i, set_replacement(sent_[which]));
  }

  void SendTo(int i, const set_replacement& replacement) {
    std::vector<failure> faults;
    const bool is_valid = CheckDocumentSet(replacement.set, &faults);
    pending_[++requests_] = {replacement.set.version, 0, is_valid};
    Perform(i, vms_[i]->handler->Replace(requests_, replacement, Standing(i),
                                         now_));
    if (!is_valid) RC_ASSERT(pending_.count(requests_) == 0);
  }

  void Read(int i) {
    pending_[++requests_] = {0, acknowledged_, true};
    Perform(i, vms_[i]->handler->Read(requests_, now_));
  }

  // Commits all that the leader proposed.
  void Commit() {
    for (const std::string& command : proposed_) {
      committed_.push_back(command);
      const auto decoded = DecodeCommand(command);
      const auto& body = std::get<replace_document_set>(decoded->body);
      const bool is_higher =
          accepted_.empty() || body.version > accepted_.rbegin()->first;
      if (is_higher) accepted_[body.version] = body.source_text;
    }
    proposed_.clear();
  }

  void Apply(int i) {
    vm& at = *vms_[i];
    if (at.applied == committed_.size()) return;
    at.state.Apply(revision{at.applied + 1}, committed_[at.applied]);
    ++at.applied;
    Perform(i, at.handler->OnApplied(at.recorder.last));
  }

  void AnswerReads(int i) {
    std::vector<log_read> waiting;
    for (const log_read& read : reads_) {
      if (read.vm != i) {
        waiting.push_back(read);
        continue;
      }
      if (RandomBelow(4) == 0) {
        Perform(i, vms_[i]->handler->OnReadIndex(read.tag,
                                                 result_code::kNotLeader));
        continue;
      }
      while (vms_[i]->applied < read.index) Apply(i);
      Perform(i, vms_[i]->handler->OnReadIndex(read.tag, result_code::kOk));
    }
    reads_ = std::move(waiting);
  }

  void InjectFault() {
    switch (RandomBelow(4)) {
      case 0: {  // a snapshot from another VM
        const int from = static_cast<int>(RandomBelow(kVms));
        const int to = static_cast<int>(RandomBelow(kVms));
        if (vms_[to]->applied >= vms_[from]->applied) return;
        failure error;
        RC_ASSERT(
            vms_[to]->state.Restore(vms_[from]->state.Snapshot(), &error));
        vms_[to]->applied = vms_[from]->applied;
        return Perform(to, vms_[to]->handler->OnRestored());
      }
      case 1:  // the leader makes no progress for some seconds
        now_ += seconds(1 + RandomBelow(6));
        return Perform(leader_, vms_[leader_]->handler->OnTick(now_));
      default: {
        // The proposals of the old leader are lost or stay in the log.
        if (RandomBelow(2) == 0) proposed_.clear();
        const int before = leader_;
        leader_ = static_cast<int>(RandomBelow(kVms));
        if (leader_ != before)
          Perform(before, vms_[before]->handler->OnLeadershipLost());
      }
    }
  }

  void Perform(int i, const document_set_handler::actions& actions) {
    for (const set_action& action : actions)
      std::visit([&](const auto& each) { Handle(i, each); }, action);
  }

  pending_request Close(std::uint64_t request) {
    RC_ASSERT(pending_.count(request) == 1);
    const pending_request found = pending_[request];
    pending_.erase(request);
    return found;
  }

  void Handle(int i, const set_answer& answer) {
    const pending_request request = Close(answer.request);
    const unsigned status = document_set_handler::HttpStatus(answer.code);
    RC_ASSERT((status == 422) == !request.is_valid);
    RC_ASSERT(status == 200 || status == 422 || status == 503);
    if (status != 200) return;
    // This VM holds a set with the request's version or a higher one.
    const auto held = vms_[i]->state.held_set();
    RC_ASSERT(held != nullptr);
    RC_ASSERT(held->version >= request.version);
    RC_ASSERT(answer.held_version == held->version);
    RC_ASSERT(accepted_.rbegin()->first >= request.version);
    RC_ASSERT((answer.code == result_code::kOk) ==
              (held->version == request.version));
    acknowledged_ = std::max(acknowledged_, request.version);
  }

  void Handle(int /*i*/, const set_read_answer& answer) {
    const pending_request request = Close(answer.request);
    if (answer.code != result_code::kOk) {
      RC_ASSERT(document_set_handler::HttpStatus(answer.code) == 503U);
      return;
    }
    const std::uint64_t version = answer.set ? answer.set->version : 0;
    RC_ASSERT(version >= request.at_least);
    if (answer.set) RC_ASSERT(answer.set->source_text == accepted_.at(version));
  }

  void Handle(int i, const propose_command& action) {
    RC_ASSERT(i == leader_);
    const auto decoded = DecodeCommand(action.command);
    RC_ASSERT(decoded.has_value());
    if (RandomBelow(6) == 0) {
      return Perform(i, vms_[i]->handler->OnProposalRefused(
                            action.tag, {result_code::kLogBusy, "busy"}));
    }
    proposed_.push_back(action.command);
  }

  void Handle(int i, const query_read_index& action) {
    reads_.push_back({i, action.tag, committed_.size()});
  }

  std::vector<std::unique_ptr<vm>> vms_;
  int leader_ = 0;
  std::vector<std::string> proposed_;   // by the leader, not committed
  std::vector<std::string> committed_;  // the log
  std::vector<log_read> reads_;
  std::vector<set_replacement> sent_;
  std::map<std::uint64_t, pending_request> pending_;
  // The expected result: the source text of each version that was the highest
  // when it was committed.
  std::map<std::uint64_t, std::string> accepted_;
  std::uint64_t acknowledged_ = 0;  // highest version acknowledged
  std::uint64_t requests_ = 0;      // number of the last request
  time_point now_;
};

Test(control, sets_stay_as_acknowledged) {
  test::CheckProperty("acknowledged sets are kept", []() {
    set_simulation simulation;
    for (int i = 0; i < kSteps; ++i) simulation.Step();
    simulation.Finish();
  });
}

// --- Examples ---

const log_leadership kLeader{true, ""};  // this VM is the leader

set_replacement ReplacementOf(std::uint64_t version,
                              std::uint32_t content = 0) {
  const document_set set = test::MakeSet(version, 1, content);
  return {set, test::SourceOf(set), "operator"};
}

// The action, if it is the only one and of this type; else null.
template <typename Action>
const Action* Only(const document_set_handler::actions& actions) {
  return actions.size() == 1 ? std::get_if<Action>(&actions[0]) : nullptr;
}

Test(control, resent_requests_share_the_pending_proposal) {
  control_state state;
  document_set_handler handler({}, &state, 1);
  const auto first = handler.Replace(1, ReplacementOf(5), kLeader, {});
  const auto* proposal = Only<propose_command>(first);
  cr_assert(proposal != nullptr);
  cr_expect(handler.Replace(2, ReplacementOf(5), kLeader, {}).empty());
  cr_expect(Only<propose_command>(
      handler.Replace(3, ReplacementOf(5, 1), kLeader, {})));
  cr_expect(
      Only<propose_command>(handler.Replace(4, ReplacementOf(9), kLeader, {})));
  state.Apply(revision{1}, proposal->command);
  command_outcome outcome;
  outcome.tag = proposal->tag;
  outcome.set_version = 5;
  // All requests with version 5 are answered, whatever their content.
  cr_expect(handler.OnApplied(outcome).size() == 3);
  cr_expect(handler.OnLeadershipLost().size() == 1);
}

Test(control, requests_over_the_limit_may_be_resent) {
  control_state state;
  document_set_handler handler({}, &state, 1);
  for (std::uint64_t i = 1; i <= 64; ++i)
    cr_expect(Only<propose_command>(
        handler.Replace(i, ReplacementOf(i), kLeader, {})));
  const auto refused = handler.Replace(65, ReplacementOf(65), kLeader, {});
  cr_assert(Only<set_answer>(refused) != nullptr);
  const result_code code = Only<set_answer>(refused)->code;
  cr_expect(code == result_code::kTooManyWaiting);
  cr_expect(document_set_handler::HttpStatus(code) == 503);
  cr_expect(handler.next_wake() == time_point(seconds(5)));
  cr_expect(handler.OnTick(time_point(seconds(5))).size() == 64);
  cr_expect(Only<propose_command>(
      handler.Replace(66, ReplacementOf(66), kLeader, {})));
}

Test(control, a_follower_names_the_leader) {
  control_state state;
  document_set_handler handler({}, &state, 1);
  const auto sent =
      handler.Replace(1, ReplacementOf(1), {false, "control-2"}, {});
  cr_assert(Only<set_answer>(sent) != nullptr);
  cr_expect(Only<set_answer>(sent)->code == result_code::kNotLeader);
  cr_expect(Only<set_answer>(sent)->leader == "control-2");
  // A version that this VM has applied is acknowledged without a leader.
  state.Apply(revision{1}, Encode(test::ReplaceCommand(test::MakeSet(3), "x")));
  const auto resent = handler.Replace(2, ReplacementOf(1), {false, ""}, {});
  cr_expect(Only<set_answer>(resent)->code == result_code::kSetSuperseded);
  cr_expect(Only<set_answer>(resent)->held_version == 3);
  // Any VM refuses an invalid set, even below the held version.
  set_replacement invalid = ReplacementOf(2);
  invalid.set.routes[0].shares.clear();
  const auto refused = handler.Replace(3, invalid, {false, ""}, {});
  cr_expect(Only<set_answer>(refused)->code == result_code::kSetInvalid);
  cr_expect(document_set_handler::HttpStatus(result_code::kSetInvalid) == 422);
}

}  // namespace
}  // namespace tamaracklatch
