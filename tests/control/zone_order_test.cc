// Tests of orders to evacuate a zone: which proposals they share, that each
// gets one answer, and what the control state makes of them.
#include <criterion/criterion.h>

#include <string>
#include <vector>

#include "control/document_sets.h"
#include "support/property.h"
#include "tamaracklatch/control/zone_order_handler.h"
#include "tamaracklatch/core/abbreviated_name.h"

namespace tamaracklatch {
namespace {

using std::chrono::seconds;

const log_leadership kLeads{true, ""};
const log_leadership kOtherLeads{false, "control-2"};

std::string OrderCommand(const zone_name& zone, bool evacuated) {
  control_command command;
  command.body = set_zone_evacuation{zone, evacuated, "operator"};
  return Encode(command);
}

// A control VM with a log that commits when the test says so.
class order_desk final : public control_listener {
 public:
  void Order(std::uint64_t request, const zone_name& zone, bool evacuated,
             const log_leadership& leadership = kLeads) {
    Perform(
        handler.Order(request, {zone, evacuated, "operator"}, leadership, now));
  }
  // Commits and applies the first proposals; all of them by default.
  void Commit(std::size_t count = SIZE_MAX) {
    for (; count > 0 && !log.empty(); --count) {
      const std::string command = log.front();
      log.erase(log.begin());
      state.Apply(revision{++entries}, command);
    }
  }
  void OnApplied(const command_outcome& outcome,
                 const revision_changes&) override {
    Perform(handler.OnApplied(outcome));
  }
  void Perform(const zone_order_handler::actions& actions) {
    for (const zone_order_action& action : actions) {
      if (const auto* proposed = std::get_if<propose_command>(&action)) {
        log.push_back(proposed->command);
        tags.push_back(proposed->tag);
      } else {
        answers.push_back(std::get<zone_order_answer>(action));
      }
    }
  }
  // The requests answered with the code since the last call; others fail.
  std::vector<std::uint64_t> Answered(result_code code) {
    std::vector<std::uint64_t> requests;
    for (const zone_order_answer& answer : answers) {
      cr_expect(answer.code == code, "%s", answer.reason.c_str());
      requests.push_back(answer.request);
    }
    answers.clear();
    return requests;
  }

  control_state state{this};
  zone_order_handler handler{{}, 1};
  std::vector<std::string> log;  // proposed, not committed
  std::vector<std::uint64_t> tags;
  std::vector<zone_order_answer> answers;
  time_point now;
  std::uint64_t entries = 0;
};

using requests = std::vector<std::uint64_t>;

// Guards against an acknowledgment before the commit, and against one of a
// repeated order by an entry that an opposite order follows in the log.
Test(control, equal_orders_share_unless_the_opposite_is_between) {
  order_desk desk;
  desk.Order(1, "z1", true);
  desk.Order(2, "z1", true);
  desk.Order(3, "z2", true);
  desk.Order(4, "z1", true);  // another zone's order does not matter
  cr_expect_eq(desk.log.size(), 2U);
  desk.Order(5, "z1", false);
  desk.Order(6, "z1", true);
  cr_expect_eq(desk.log.size(), 4U);
  cr_expect(desk.answers.empty());
  desk.Commit(1);
  cr_expect(desk.Answered(result_code::kOk) == requests({1, 2, 4}));
  desk.Commit();
  cr_expect(desk.Answered(result_code::kOk) == requests({3, 5, 6}));
  cr_expect(desk.state.rules().IsEvacuated("z1"));
  cr_expect_eq(desk.state.rules().revision, 4U);
  // A repeated order goes through the log and changes no revision.
  desk.Order(7, "z1", true);
  cr_expect(desk.answers.empty());
  desk.Commit();
  cr_expect_eq(desk.answers.front().rules_revision, 4U);
  cr_expect(desk.Answered(result_code::kOk) == requests({7}));
  // The opposite order is no longer pending, but still in the log.
  desk.Order(8, "z1", true);
  desk.Order(9, "z1", false);
  desk.Perform(desk.handler.OnProposalRefused(
      desk.tags.back(), {result_code::kOutcomeUnknown, "x"}));
  cr_expect(desk.Answered(result_code::kOutcomeUnknown) == requests({9}));
  desk.Order(10, "z1", true);
  cr_expect_eq(desk.log.size(), 3U);
  desk.Commit();
  cr_expect(desk.Answered(result_code::kOk) == requests({8, 10}));
  cr_expect(desk.state.rules().IsEvacuated("z1"));
}

// Guards against a lost or a second answer when the leader is lost between
// proposal and commit, times out or is replaced by a snapshot.
Test(control, an_order_without_a_known_outcome_is_answered_once) {
  order_desk desk;
  desk.Order(1, "z", true);
  desk.Perform(desk.handler.OnLeadershipLost());
  cr_expect(desk.Answered(result_code::kOutcomeUnknown) == requests({1}));
  desk.Commit();  // the new leader had the entry
  cr_expect(desk.answers.empty());
  cr_expect(desk.state.rules().IsEvacuated("z"));
  desk.Order(2, "z", false);
  desk.now += seconds(2);
  desk.Order(3, "z", false);
  cr_expect(desk.handler.next_wake() == desk.now + seconds(3));
  desk.now += seconds(3);
  desk.Perform(desk.handler.OnTick(desk.now));
  cr_expect(desk.Answered(result_code::kOutcomeUnknown) == requests({2}));
  desk.Commit();
  cr_expect(desk.Answered(result_code::kOk) == requests({3}));
  desk.Order(4, "z", true);
  desk.Perform(desk.handler.OnRestored());
  cr_expect(desk.Answered(result_code::kOutcomeUnknown) == requests({4}));
  cr_expect(desk.handler.next_wake() == time_point::max());
  desk.Order(5, "z", true, kOtherLeads);
  cr_expect_eq(desk.answers.front().leader, "control-2");
  cr_expect(desk.Answered(result_code::kNotLeader) == requests({5}));
  desk.Order(6, "", true);
  cr_expect(desk.Answered(result_code::kZoneOrderMalformed) == requests({6}));
  for (std::uint64_t i = 0; i < 64; ++i) desk.Order(100 + i, "z", true);
  desk.Order(8, "z", true);
  cr_expect(desk.Answered(result_code::kTooManyWaiting) == requests({8}));
}

// Guards against a refused order for a zone with a long name, which a control
// VM of an earlier release must apply as well: it takes only entries with up to
// kMaxOrderedZoneBytes.
Test(control, zones_with_names_of_any_length_are_evacuated) {
  order_desk desk;
  for (const std::size_t size : {128U, 129U, 256U, 400U}) {
    const zone_name zone(size, 'z');
    const zone_name other = std::string(size - 1, 'z') + "y";
    desk.Order(size, zone, true);
    const auto command = DecodeCommand(desk.log.back());
    cr_assert(command.has_value());
    const auto& body = std::get<set_zone_evacuation>(command->body);
    cr_expect(body.zone == AbbreviateName(zone));
    cr_expect(body.zone.size() <= kMaxOrderedZoneBytes);
    desk.Commit();
    cr_expect(desk.Answered(result_code::kOk) == requests({size}));
    cr_expect(desk.state.rules().IsEvacuated(AbbreviateName(zone)));
    cr_expect(!desk.state.rules().IsEvacuated(AbbreviateName(other)));
    desk.Order(size, zone, false);
    desk.Commit();
    cr_expect(desk.Answered(result_code::kOk) == requests({size}));
    cr_expect(!desk.state.rules().IsEvacuated(AbbreviateName(zone)));
  }
}

// Guards against an acknowledged order that an earlier one overrides, and
// against requests with no answer or two, over changes of the leader that lose
// some of the entries that are not committed.
Test(control, the_last_acknowledged_order_is_in_force) {
  test::CheckProperty("orders that race over changes of leader", []() {
    std::vector<order_desk> vms(3);
    std::vector<std::string> committed;
    std::size_t leader = 0;
    std::uint64_t sent = 0;
    const auto commit = [&](std::size_t count) {
      auto& log = vms[leader].log;
      for (; count > 0 && !log.empty(); --count) {
        committed.push_back(log.front());
        log.erase(log.begin());
      }
    };
    const auto apply = [&](order_desk* vm, std::size_t count) {
      for (; count > 0 && vm->entries < committed.size(); --count) {
        const std::string command = committed[vm->entries++];
        vm->state.Apply(revision{vm->entries}, command);
      }
    };
    const int steps = *rc::gen::inRange(0, 60);
    for (int step = 0; step < steps; ++step) {
      const auto count = *rc::gen::inRange<std::size_t>(0, 4);
      const int kind = *rc::gen::inRange(0, 8);
      if (kind < 4) {
        vms[leader].Order(++sent, "z", kind < 2);
      } else if (kind == 4) {
        commit(count);
      } else if (kind < 7) {
        apply(&vms[*rc::gen::inRange<std::size_t>(0, vms.size())], count);
      } else {
        commit(count);  // what the next leader has of the log
        vms[leader].log.clear();
        vms[leader].Perform(vms[leader].handler.OnLeadershipLost());
        leader = *rc::gen::inRange<std::size_t>(0, vms.size());
      }
    }
    const bool evacuated = *rc::gen::arbitrary<bool>();
    vms[leader].Order(++sent, "z", evacuated);
    commit(SIZE_MAX);
    std::vector<int> answers(sent + 1);
    for (order_desk& vm : vms) {
      apply(&vm, SIZE_MAX);
      RC_ASSERT(vm.state.rules().IsEvacuated("z") == evacuated);
      RC_ASSERT(vm.state.Snapshot() == vms[0].state.Snapshot());
      for (const zone_order_answer& answer : vm.answers) {
        ++answers[answer.request];
        if (answer.request == sent) RC_ASSERT(answer.code == result_code::kOk);
      }
    }
    for (std::uint64_t i = 1; i <= sent; ++i) RC_ASSERT(answers[i] == 1);
  });
}

// --- The control state ---

// Guards against rules that no datagram can carry, and against an evacuation
// that cannot be ended because the rules are full.
Test(control, rules_that_are_too_large_are_refused) {
  order_desk desk;
  std::uint64_t request = 0;
  while (desk.answers.empty() || desk.answers.back().code == result_code::kOk) {
    ++request;
    desk.Order(request, std::string(100, 'z') + std::to_string(request), true);
    desk.Commit();
  }
  cr_expect(desk.answers.back().code == result_code::kRulesTooLarge);
  const placement_rules full = desk.state.rules();
  cr_expect_eq(full.evacuated_zones.size(), request - 1);
  document_set set = test::MakeSet(3);
  set.services.push_back(std::string(100, 's'));
  set.cold_limits = {{set.services.back(), 2.0}};
  desk.state.Apply(revision{100}, Encode(test::ReplaceCommand(set, "text")));
  cr_expect(desk.state.held_set() == nullptr);
  cr_expect_eq(desk.state.rules().revision, full.revision);
  desk.state.Apply(revision{1ULL << 40U},
                   OrderCommand(full.evacuated_zones[0], false));
  cr_expect_eq(desk.state.rules().evacuated_zones.size(), request - 2);
}

// Guards against rules that are lost or changed by a snapshot or by an entry
// that does not concern them.
Test(control, rules_follow_the_log_and_survive_snapshots) {
  control_state state;
  failure error;
  const std::string fresh = state.Snapshot();
  document_set set = test::MakeSet(5);
  state.Apply(revision{1}, Encode(test::ReplaceCommand(set, "text")));
  cr_expect_eq(state.rules().revision, 0U);
  state.Apply(revision{2}, OrderCommand("b", true));
  state.Apply(revision{3}, OrderCommand("a", true));
  set.version = 6;
  set.cold_limits = {{"cards", 0.5}};
  state.Apply(revision{4}, Encode(test::ReplaceCommand(set, "text")));
  set.version = 7;
  state.Apply(revision{5}, Encode(test::ReplaceCommand(set, "text")));
  state.Apply(revision{6}, OrderCommand("", true));
  state.Apply(revision{7}, OrderCommand("c", false));
  const std::vector<zone_name> zones{"a", "b"};
  control_state restored;
  cr_assert(restored.Restore(state.Snapshot(), &error));
  for (const control_state* each : {&state, &restored}) {
    cr_expect_eq(each->rules().revision, 4U);
    cr_expect(each->rules().evacuated_zones == zones);
    cr_expect(each->rules().ColdLimitOf("cards") == 0.5);
  }
  cr_expect(restored.Snapshot() == state.Snapshot());
  // Restored from before the first order, there are no rules again.
  cr_assert(restored.Restore(fresh, &error));
  cr_expect_eq(restored.rules().revision, 0U);
  cr_expect(restored.rules().evacuated_zones.empty());
  cr_expect(
      !restored.Restore(fresh.substr(0, fresh.size() - 1) + "\x07", &error));
}

}  // namespace
}  // namespace tamaracklatch
