// Tests of leases: announced targets become members, silent targets are
// removed, and many losses reported by a single relay need confirmation.
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
#include "tamaracklatch/membership/absence_detector.h"
#include "tamaracklatch/membership/announcer.h"
#include "tamaracklatch/membership/lease_table.h"
#include "tamaracklatch/membership/loss_detector.h"

namespace tamaracklatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Two relays of a zone, a leader and targets. Time advances in steps of 50 ms;
// messages are delivered within a step, and a share of them is lost.
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

  // Restarts the relay with an empty lease table.
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
    detector.OnRefused(outcome.refused, now_);
  }

  std::size_t members() const { return state.view().targets.size(); }

  std::map<std::uint32_t, std::unique_ptr<announcer>> targets;
  std::vector<bool> relay_is_cut = {false, false};  // from the targets
  control_state state;
  loss_detector detector{loss_settings()};
  std::size_t unconfirmed_losses = 0;
  std::size_t refusals = 0;
  std::size_t overdue_wakes = 0;  // next_wake() not after a tick

 private:
  static constexpr duration kStep = milliseconds(50);

  bool IsLost() {
    return static_cast<double>(random_() >> 11U) * 0x1.0p-53 < loss_;
  }

  void Step() {
    for (auto& [index, target] : targets) {
      const auto due = target->OnTick(now_);
      if (target->next_wake() <= now_) ++overdue_wakes;
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
    for (lease_table& relay : relays_) SendReport(&relay);
    ApplyActions(detector.OnTick(state.view(), now_));
    if (detector.next_wake() <= now_) ++overdue_wakes;
    // A running target is connected to some relay, whichever holds its lease.
    node_presence presence;
    presence.zones = {"zone-a"};
    presence.all_voters_present = true;
    for (const auto& [index, target] : targets) {
      const node_identity node{"target-" + std::to_string(index),
                               target->target().key.started};
      presence.nodes.push_back(node);
      AddProgress({{revision{1}, 1, HashIdentity(node)}},
                  &presence.acknowledgments);
    }
    ApplyActions(absence_detector_.Evaluate(presence, state.view(), now_));
  }

  void ApplyActions(const std::vector<loss_action>& losses) {
    for (const loss_action& action : losses) {
      if (const auto* proposal = std::get_if<propose_membership>(&action)) {
        control_command command;
        command.body = proposal->batch;
        state.Apply(revision{++entries_}, Encode(command));
      } else {
        // Those reported by the absence detector name no relay.
        const auto& reported = std::get<report_unconfirmed_losses>(action);
        if (!reported.relay.empty()) unconfirmed_losses += reported.targets;
      }
    }
  }

  void SendReport(lease_table* relay) {
    const auto report = relay->OnTick(state.view(), now_);
    if (relay->next_wake() <= now_) ++overdue_wakes;
    if (!report || IsLost()) return;
    const auto received = DecodeMembershipReport(Encode(*report));
    cr_assert(received.has_value());
    membership_answer answer;
    answer.number = received->number;
    answer.term = 1;
    answer.refused = detector.RefusalsFor(*received, now_);
    answer.held_elsewhere = detector.OnReport(*received, state.view(), now_);
    if (IsLost()) return;
    relay->OnReportAnswer(*DecodeMembershipAnswer(Encode(answer)), now_);
  }

  double loss_;
  absence_detector absence_detector_{absence_settings()};
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
  const revision settled_revision = zone.state.applied();
  zone.RunFor(seconds(60));
  // Renewals are not logged.
  cr_expect(zone.state.applied() == settled_revision);
  cr_expect(zone.overdue_wakes == 0);
}

Test(membership, a_silent_target_leaves_and_a_drain_is_reported_at_once) {
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

Test(membership, a_restart_supersedes_even_with_a_clock_set_back) {
  membership_fixture zone(3);
  zone.StartTarget(0, 1000);
  zone.RunFor(seconds(5));
  zone.StartTarget(0, 10);
  // Before the lease of the earlier start expires.
  zone.RunFor(seconds(8));
  cr_expect(zone.refusals > 0);
  const auto& members = zone.state.view().targets;
  cr_expect(std::any_of(members.begin(), members.end(), [&](const auto& one) {
    return one.second.started == zone.targets.at(0)->target().key.started;
  }));
  zone.RunFor(seconds(15));
  cr_expect(zone.members() == 3);
}

Test(membership, a_relay_that_is_cut_off_removes_no_target) {
  membership_fixture zone(20);
  zone.RunFor(seconds(5));
  const revision settled_revision = zone.state.applied();
  zone.relay_is_cut[0] = true;
  zone.RunFor(seconds(60));
  cr_expect(zone.members() == 20);
  // Not even temporarily: a removal would close the target's flows.
  for (const auto& [id, target] : zone.state.view().targets)
    cr_expect(id.sequence == 1 && target.state == target_state::kServing);
  cr_expect(zone.state.applied().value <= settled_revision.value + 20);
}

Test(membership, a_mass_loss_seen_by_one_relay_is_not_confirmed) {
  membership_fixture zone(20);
  zone.RunFor(seconds(5));
  // Half of the targets stop; all of them renewed with the same relay.
  for (std::uint32_t i = 0; i < 20; i += 2) zone.targets.erase(i);
  zone.RunFor(seconds(20));
  cr_expect(zone.members() == 15, "%zu members", zone.members());
  cr_expect(zone.unconfirmed_losses == 5, "%zu unconfirmed",
            zone.unconfirmed_losses);
  zone.RunFor(seconds(60));
  cr_expect(zone.members() == 10, "%zu members", zone.members());
  cr_expect(zone.overdue_wakes == 0);
}

// The restarted relay has lost the lease and no other relay held it, so no
// relay reports the target silent.
Test(membership, a_target_that_ends_together_with_its_relay_leaves) {
  membership_fixture zone(10);
  zone.RunFor(seconds(100));  // beyond lease_settings::rereport_age
  zone.RestartRelay(0);
  zone.targets.erase(0);
  zone.RunFor(seconds(25));
  cr_expect(zone.members() == 9, "%zu members", zone.members());
  for (const auto& [id, target] : zone.state.view().targets)
    cr_expect(id.sequence == 1);
  cr_expect(zone.overdue_wakes == 0);
}

}  // namespace
}  // namespace tamaracklatch
