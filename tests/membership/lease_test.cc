// Tests of leases: announcements become members, silent targets leave, and what
// one relay alone has lost is doubted.
#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "support/property.h"
#include "support/virtual_network.h"
#include "tamaracklatch/control/control_state.h"
#include "tamaracklatch/distribution/progress_sum.h"
#include "tamaracklatch/membership/absence_judge.h"
#include "tamaracklatch/membership/announcer.h"
#include "tamaracklatch/membership/lease_table.h"
#include "tamaracklatch/membership/loss_judge.h"

namespace tamaracklatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Two relays of a zone, a leader and targets, in steps of 50 ms; messages take
// one step, and some are lost.
class membership_fixture : public control_listener {
 public:
  explicit membership_fixture(std::uint32_t targets, double loss = 0.0)
      : state(this), loss_(loss) {
    control_command submit;
    submit.body = submit_document{
        CanonicalText(test::MakeDocument("desk", 1, 1)), "operator"};
    state.Apply(revision{++entries_}, Encode(submit));
    for (std::uint32_t i = 0; i < 2; ++i) {
      relays_.emplace_back(lease_settings());
      RestartRelay(i);
    }
    for (std::uint32_t i = 0; i < targets; ++i) StartTarget(i, 1);
  }

  void StartTarget(std::uint32_t index, std::uint64_t generation) {
    announcer_settings settings;
    settings.target.key = {"vm-" + std::to_string(index), "desk",
                           incarnation{++starts_}};
    settings.target.generation = generation;
    settings.target.zone = "zone-a";
    settings.target.packets = {MakeV4(0x0a000000 + index), 7000};
    targets[index] = std::make_unique<announcer>(settings, starts_, now_);
    std::vector<relay_contact> contacts;
    for (std::uint32_t i = 0; i < 2; ++i)
      contacts.push_back(test::MakeContact(
          "relay-" + std::to_string((index + i) % 2), "zone-a", 1 + i));
    targets[index]->SetRelays(contacts, now_);
  }

  // What the relay held is lost.
  void RestartRelay(std::uint32_t index) {
    lease_settings settings;
    settings.relay = "relay-" + std::to_string(index);
    settings.zone = "zone-a";
    relays_.at(index) = lease_table(settings);
  }

  void RunFor(duration span) {
    for (const time_point end = now_ + span; now_ < end; now_ += kStep) Step();
  }

  void OnApplied(const command_outcome& outcome,
                 const revision_changes&) override {
    if (!outcome.refused.empty()) ++refusals;
    judge.OnRefused(outcome.refused, now_);
  }

  std::size_t members() const { return state.view().targets.size(); }

  std::map<std::uint32_t, std::unique_ptr<announcer>> targets;
  std::vector<bool> relay_is_cut = {false, false};  // from the targets
  control_state state;
  loss_judge judge{loss_settings()};
  std::size_t doubted = 0;
  std::size_t refusals = 0;
  std::size_t late_wakes = 0;  // after a tick the next one did not lie ahead

 private:
  static constexpr duration kStep = milliseconds(50);

  bool IsLost() {
    return static_cast<double>(random_() >> 11U) * 0x1.0p-53 < loss_;
  }

  void Step() {
    for (auto& [index, target] : targets) {
      const auto due = target->OnTick(now_);
      if (target->next_wake() <= now_) ++late_wakes;
      for (const announcer::send& sent : due) {
        const std::size_t relay = sent.relay.name == "relay-0" ? 0 : 1;
        if (relay_is_cut[relay] || IsLost()) continue;
        const auto renewal = DecodeLeaseRenewal(Encode(sent.message));
        cr_assert(renewal.has_value());
        const auto answer =
            relays_[relay].OnRenewal(*renewal, state.view(), now_);
        if (IsLost()) continue;
        target->OnAnswer(sent.relay.name, *DecodeLeaseAnswer(Encode(answer)),
                         now_);
      }
    }
    for (lease_table& relay : relays_) Report(&relay);
    Judge(judge.OnTick(state.view(), now_));
    if (judge.next_wake() <= now_) ++late_wakes;
    // A target that lives is below some relay, whichever it renews with.
    node_presence heard;
    heard.zones = {"zone-a"};
    heard.all_voters = true;
    for (const auto& [index, target] : targets) {
      const node_identity node{"target-" + std::to_string(index),
                               target->target().key.started};
      heard.nodes.push_back(node);
      AddProgress({{revision{1}, 1, HashIdentity(node)}}, &heard.sum);
    }
    Judge(absences_.OnLook(heard, state.view(), now_));
  }

  void Judge(const std::vector<loss_action>& losses) {
    for (const loss_action& action : losses) {
      if (const auto* proposal = std::get_if<propose_membership>(&action)) {
        control_command command;
        command.body = proposal->batch;
        state.Apply(revision{++entries_}, Encode(command));
      } else {
        // Those that nobody hears are doubted without a relay.
        const auto& doubt = std::get<doubt_losses>(action);
        if (!doubt.relay.empty()) doubted += doubt.targets;
      }
    }
  }

  void Report(lease_table* relay) {
    const auto report = relay->OnTick(state.view(), now_);
    if (relay->next_wake() <= now_) ++late_wakes;
    if (!report || IsLost()) return;
    const auto received = DecodeMembershipReport(Encode(*report));
    cr_assert(received.has_value());
    membership_answer answer;
    answer.number = received->number;
    answer.term = 1;
    answer.refused = judge.RefusalsFor(*received, now_);
    answer.held_elsewhere = judge.OnReport(*received, state.view(), now_);
    if (IsLost()) return;
    relay->OnReportAnswer(*DecodeMembershipAnswer(Encode(answer)), now_);
  }

  double loss_;
  absence_judge absences_{absence_settings()};
  random_source random_{20261204};
  time_point now_ = time_point(std::chrono::hours(1));
  std::uint64_t entries_ = 0;
  std::uint64_t starts_ = 0;
  std::vector<lease_table> relays_;
};

Test(membership, announced_targets_join_and_hold_leases) {
  membership_fixture zone(10, 0.05);
  zone.RunFor(seconds(10));
  cr_expect(zone.members() == 10);
  const revision settled = zone.state.applied();
  zone.RunFor(seconds(60));
  // Renewals make no log entries.
  cr_expect(zone.state.applied() == settled);
  cr_expect(zone.late_wakes == 0);
}

Test(membership, a_silent_target_leaves_and_a_drain_is_told_at_once) {
  membership_fixture zone(10);
  zone.RunFor(seconds(5));
  zone.targets.at(0)->Drain(time_point(std::chrono::hours(1)));
  zone.targets.erase(1);
  zone.RunFor(seconds(1));
  const auto& members = zone.state.view().targets;
  cr_expect(std::count_if(members.begin(), members.end(), [](const auto& one) {
              return one.second.state == target_state::kDraining;
            }) == 1);
  zone.RunFor(seconds(20));
  cr_expect(zone.members() == 9);
}

Test(membership, a_restart_supersedes_even_with_a_clock_that_went_back) {
  membership_fixture zone(3);
  zone.StartTarget(0, 1000);
  zone.RunFor(seconds(5));
  zone.StartTarget(0, 10);
  // Long before the earlier start's lease has run out.
  zone.RunFor(seconds(8));
  cr_expect(zone.refusals > 0);
  const auto& members = zone.state.view().targets;
  cr_expect(std::any_of(members.begin(), members.end(), [&](const auto& one) {
    return one.second.started == zone.targets.at(0)->target().key.started;
  }));
  zone.RunFor(seconds(15));
  cr_expect(zone.members() == 3);
}

Test(membership, a_relay_that_is_cut_off_takes_no_target_out) {
  membership_fixture zone(20);
  zone.RunFor(seconds(5));
  const revision settled = zone.state.applied();
  zone.relay_is_cut[0] = true;
  zone.RunFor(seconds(60));
  cr_expect(zone.members() == 20);
  // Not even for a moment: that would close flows.
  for (const auto& [id, target] : zone.state.view().targets)
    cr_expect(id.sequence == 1 && target.state == target_state::kServing);
  cr_expect(zone.state.applied().value <= settled.value + 20);
}

Test(membership, a_mass_loss_seen_by_one_relay_is_doubted) {
  membership_fixture zone(20);
  zone.RunFor(seconds(5));
  // Half of the targets fall silent; all of them renewed with one relay.
  for (std::uint32_t i = 0; i < 20; i += 2) zone.targets.erase(i);
  zone.RunFor(seconds(20));
  cr_expect(zone.members() == 15, "%zu members", zone.members());
  cr_expect(zone.doubted == 5, "%zu doubted", zone.doubted);
  zone.RunFor(seconds(60));
  cr_expect(zone.members() == 10, "%zu members", zone.members());
  cr_expect(zone.late_wakes == 0);
}

// No other relay has held the lease, so nobody reports the target silent.
Test(membership, a_target_that_ends_together_with_its_relay_leaves) {
  membership_fixture zone(10);
  zone.RunFor(seconds(100));  // past the time in which leases are reported
  zone.RestartRelay(0);
  zone.targets.erase(0);
  zone.RunFor(seconds(25));
  cr_expect(zone.members() == 9, "%zu members", zone.members());
  for (const auto& [id, target] : zone.state.view().targets)
    cr_expect(id.sequence == 1);
  cr_expect(zone.late_wakes == 0);
}

}  // namespace
}  // namespace tamaracklatch
