// Tests of a single consensus_node, message by message: cases that the random
// schedules of schedule_test.cc found, and the reaction to disk failures.
#include "tamaracklatch/consensus/consensus_node.h"

#include <criterion/criterion.h>

#include <algorithm>

namespace tamaracklatch::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr cluster_id kCluster{5};
const member_id kA{"a", {1}};
const member_id kB{"b", {2}};
const member_id kC{"c", {3}};
const member_id kNewC{"c", {4}};
const member_id kD{"d", {5}};

voter_configuration Configuration(std::vector<member_id> voters,
                                  std::vector<member_id> learners = {}) {
  voter_configuration configuration;
  for (const member_id& id : voters) configuration.voters.push_back({id, {}});
  for (const member_id& id : learners) {
    configuration.learners.push_back({id, {}});
  }
  return configuration;
}

log_entry ConfigurationEntry(std::uint64_t index, std::uint64_t term,
                             const voter_configuration& to) {
  return {{index}, {term}, entry_kind::kConfiguration, EncodeConfiguration(to)};
}

// The stored state of member "a".
stored_state StoredState(const voter_configuration& founding,
                         std::vector<log_entry> entries = {}) {
  stored_state stored;
  stored.hard.disk = kA.disk;
  stored.hard.cluster = kCluster;
  log_snapshot snapshot;
  snapshot.configuration = founding;
  stored.snapshot = std::make_shared<const log_snapshot>(snapshot);
  if (!entries.empty()) stored.hard.term = entries.back().term;
  stored.entries = std::move(entries);
  return stored;
}

// Runs the member "a" in virtual time and records its messages, events and
// outcomes. Writes finish at once unless `writes_complete` is false.
class driven_node {
 public:
  explicit driven_node(stored_state stored, std::vector<vm_name> founders = {},
                       std::size_t desired_voters = 0)
      : node(Settings(std::move(founders), desired_voters), std::move(stored),
             random_source(7), now) {
    CarryOutActions();
  }

  static consensus_settings Settings(std::vector<vm_name> founders,
                                     std::size_t desired_voters) {
    consensus_settings settings;
    settings.name = "a";
    settings.founders = std::move(founders);
    settings.desired_voters = desired_voters;
    return settings;
  }

  void Input(const consensus_input& input) {
    node.Handle(input, now);
    CarryOutActions();
  }

  // Passes a message from `from`. A blank node gets it with no cluster, as from
  // another blank VM.
  void Receive(const member_id& from, consensus_body body) {
    const bool blank = node.role() == consensus_role::kBlank;
    const cluster_id cluster = blank ? cluster_id{} : kCluster;
    Input(message_received{{cluster, from, node.self(), std::move(body)}});
  }

  // Advances the time, and passes timer_due at each deadline.
  void Wait(duration time) {
    const time_point end = now + time;
    while (node.NextDeadline() <= end) {
      now = std::max(now, node.NextDeadline());
      Input(timer_due{});
    }
    now = end;
  }

  // Carries out actions until there are none.
  void CarryOutActions() {
    while (true) {
      const auto actions = node.TakeActions(now);
      if (actions.empty()) return;
      for (const consensus_action& action : actions) {
        if (const auto* send = std::get_if<send_message>(&action)) {
          sent.push_back(send->message);
        } else if (const auto* persist = std::get_if<persist_batch>(&action)) {
          batch = persist->number;
          if (writes_complete)
            node.Handle(batch_persisted{persist->number}, now);
        } else if (const auto* report = std::get_if<report_event>(&action)) {
          events.push_back(report->reported_event);
        } else if (const auto* answer =
                       std::get_if<proposal_outcome>(&action)) {
          outcomes.push_back(*answer);
        } else if (const auto* read = std::get_if<read_outcome>(&action)) {
          reads.push_back(*read);
        }
      }
    }
  }

  // Returns the newest message of this type sent to the VM name of `to`.
  template <typename Body>
  std::optional<Body> Last(const member_id& to) const {
    for (auto it = sent.rbegin(); it != sent.rend(); ++it) {
      const auto* body = std::get_if<Body>(&it->body);
      if (body != nullptr && it->to.name == to.name) return *body;
    }
    return std::nullopt;
  }

  // Lets the node win an election with the votes of `voters`.
  void WinElection(const std::vector<member_id>& voters) {
    Wait(seconds(2));
    const log_term requested{node.term().value + 1};
    for (const member_id& id : voters) {
      Receive(id, vote_reply{requested, true, true});
    }
    for (const member_id& id : voters) {
      Receive(id, vote_reply{requested, false, true});
    }
    cr_assert(node.role() == consensus_role::kLeader);
  }

  // Acknowledges the whole log and the newest round on behalf of the follower.
  void Acknowledge(const member_id& id) {
    const auto request = Last<append_request>(id);
    cr_assert(request.has_value());
    Receive(id, append_reply{node.term(), true, node.log().last_index(),
                             request->round, request->generation});
  }

  // Advances the time while these members reply every 50 ms. Appends each new
  // configuration to `steps`.
  void WaitWithReplies(const std::vector<member_id>& members, duration time,
                       std::vector<voter_configuration>* steps = nullptr) {
    const time_point end = now + time;
    revision seen = node.log().configuration_index();
    while (now < end) {
      Wait(milliseconds(50));
      for (const member_id& id : members) {
        if (Last<append_request>(id)) Acknowledge(id);
        if (steps == nullptr || node.log().configuration_index() == seen) {
          continue;
        }
        seen = node.log().configuration_index();
        steps->push_back(node.log().configuration());
      }
    }
  }

  bool HasEvent(event_id id, result_code code) const {
    return std::any_of(events.begin(), events.end(),
                       [&](const event& reported) {
                         return reported.id == id && reported.code == code;
                       });
  }

  time_point now;
  bool writes_complete = true;  // whether writes finish at once
  std::uint64_t batch = 0;      // number of the newest batch
  consensus_node node;
  std::vector<consensus_message> sent;
  std::vector<event> events;
  std::vector<proposal_outcome> outcomes;
  std::vector<read_outcome> reads;
};

Test(consensus_node, a_reply_to_a_request_before_a_restart_confirms_nothing) {
  driven_node a(StoredState(Configuration({kA, kB, kC})));
  a.Receive(kB, append_request{{1}, {0}, {0}, {0}, 1, 0, {}});
  for (std::uint64_t id = 0; id < 100; ++id) {
    a.Receive(kB, read_reply{id, true, {0}});
  }
  cr_assert(!a.node.start_confirmed());
  const auto requested = a.Last<read_request>(kB);
  cr_assert(requested.has_value());
  a.Receive(kB, read_reply{requested->id, true, {0}});
  cr_assert(a.node.start_confirmed());
}

// Only this voter has the entry that removes it, so the other voters may be
// unable to win an election. It must start one although it is being removed.
Test(consensus_node, a_voter_that_alone_has_its_removal_starts_an_election) {
  driven_node a(
      StoredState(Configuration({kA, kB, kC}),
                  {ConfigurationEntry(1, 1, Configuration({kB, kC}))}));
  a.Wait(seconds(3));
  cr_assert(a.Last<vote_request>(kB).has_value());
}

// No voter can win if only a learner has the newest entry. The vote request of
// a candidate with an older log makes the learner start an election.
Test(consensus_node, a_learner_with_a_newer_log_starts_an_election) {
  driven_node a(StoredState(Configuration({kB, kC}, {kA}),
                            {{{1}, {3}, entry_kind::kCommand, "newer"}}));
  a.Wait(seconds(3));
  cr_assert(!a.Last<vote_request>(kB).has_value());
  a.Receive(kB, vote_request{{5}, true, {1}, {2}});
  cr_assert(!a.Last<vote_reply>(kB)->granted);
  a.Wait(seconds(2));
  cr_assert(a.Last<vote_request>(kB).has_value());
}

Test(consensus_node,
     a_voter_that_lost_its_disk_is_removed_before_its_successor_votes) {
  driven_node a(StoredState(Configuration({kA, kB, kC})));
  a.WinElection({kB});
  a.Acknowledge(kB);
  a.Input(message_received{{{}, kNewC, {"a", {}}, join_request{1, 0}}});
  a.Acknowledge(kB);
  cr_assert(a.node.log().configuration().IsLearner(kNewC));
  a.Wait(duration(200000));
  a.Acknowledge(kB);
  a.Acknowledge(kNewC);
  a.Wait(duration(200000));
  const voter_configuration& next = a.node.log().configuration();
  cr_assert(!next.IsVoter(kC) && !next.IsVoter(kNewC));
  cr_assert(next.IsLearner(kNewC));
  a.Acknowledge(kB);
  a.Acknowledge(kNewC);
  a.Wait(duration(200000));
  cr_assert(a.node.log().configuration() ==
            a.node.log().configuration().Without(kC));
  cr_assert(a.node.log().configuration().IsVoter(kNewC));
}

Test(consensus_node, no_invitation_before_the_configuration_is_committed) {
  driven_node a(StoredState(Configuration({kA, kB, kC})));
  a.WinElection({kB});
  a.Acknowledge(kB);
  for (int i = 0; i < 3; ++i) {
    a.Input(message_received{{{}, kNewC, {"a", {}}, join_request{1, 0}}});
  }
  cr_assert(a.node.log().configuration().IsLearner(kNewC));
  cr_assert(!a.Last<join_invitation>(kNewC).has_value());
  a.Acknowledge(kB);
  a.Input(message_received{{{}, kNewC, {"a", {}}, join_request{1, 0}}});
  cr_assert(a.Last<join_invitation>(kNewC).has_value());
}

Test(consensus_node, founding_needs_a_fresh_echo_of_every_peer) {
  driven_node a(stored_state{}, {"a", "b"});
  a.Wait(seconds(2));
  const auto first = a.Last<join_request>(kB);
  cr_assert(first.has_value());
  a.Receive(kB, join_request{9, 0});
  a.Wait(seconds(1));
  cr_assert(a.node.role() == consensus_role::kBlank);
  // An echo of an announcement before the last two doesn't count.
  a.Receive(kB, join_request{9, first->nonce});
  a.Wait(seconds(1));
  cr_assert(a.node.role() == consensus_role::kBlank);
  const auto newest = a.Last<join_request>(kB);
  a.Receive(kB, join_request{9, newest->nonce});
  a.Wait(seconds(1));
  cr_assert(a.node.role() != consensus_role::kBlank);
  cr_assert(a.Last<join_invitation>(kB).has_value());
}

Test(consensus_node, a_known_log_forbids_founding) {
  driven_node a(stored_state{}, {"a", "b"});
  a.Input(message_received{{kCluster, kC, a.node.self(), log_exists{}}});
  a.Wait(seconds(1));
  a.Receive(kB, join_request{9, a.Last<join_request>(kB)->nonce});
  a.Wait(seconds(1));
  cr_assert(a.node.role() == consensus_role::kBlank);
}

// A member with a full disk neither votes nor leads until the batch is durable.
// Then it may vote again: the storage rewrites the whole batch, so the result
// doesn't depend on what a failed sync left on the disk.
Test(consensus_node, a_failed_write_ends_voting_until_the_batch_is_durable) {
  driven_node a(StoredState(Configuration({kA, kB, kC})));
  a.WinElection({kB});
  a.Acknowledge(kB);
  a.writes_complete = false;
  a.Input(command_proposed{1, "command"});
  a.Input(batch_write_failed{{result_code::kDiskFull, "no room"}});
  cr_assert(a.node.role() == consensus_role::kFollower);
  cr_assert_eq(a.outcomes.size(), 1u);
  cr_assert(a.outcomes[0].code == result_code::kOutcomeUnknown);
  cr_assert(a.HasEvent(event_id::kStorageStalled, result_code::kDiskFull));
  a.sent.clear();
  a.Wait(seconds(10));
  a.Receive(kB, vote_request{{9}, false, {99}, {8}});
  cr_assert(!a.Last<vote_reply>(kB).has_value());
  cr_assert(!a.Last<vote_request>(kB).has_value());
  a.Input(command_proposed{2, "command"});
  cr_assert(a.outcomes.back().code == result_code::kNotLeader);
  a.writes_complete = true;
  a.Input(batch_persisted{a.batch});
  const auto reply = a.Last<vote_reply>(kB);
  cr_assert(reply.has_value() && reply->granted);
  a.Wait(seconds(3));
  cr_assert(a.Last<vote_request>(kB).has_value());
}

Test(consensus_node, a_hanging_write_ends_leadership) {
  driven_node a(StoredState(Configuration({kA, kB, kC})));
  a.WinElection({kB});
  a.Acknowledge(kB);
  a.writes_complete = false;
  a.Input(command_proposed{1, "command"});
  for (int i = 0; i < 20; ++i) {
    a.Wait(milliseconds(100));
    if (a.node.role() == consensus_role::kLeader) a.Acknowledge(kB);
  }
  cr_assert(a.node.role() == consensus_role::kFollower);
  cr_assert(a.HasEvent(event_id::kStorageStalled, result_code::kOk));
  a.sent.clear();
  a.Wait(seconds(10));
  cr_assert(!a.Last<vote_request>(kB).has_value());
}

Test(consensus_node, nothing_is_acknowledged_before_the_batch_is_durable) {
  driven_node a(StoredState(Configuration({kA, kB, kC})));
  a.writes_complete = false;
  const log_entry first{{1}, {1}, entry_kind::kCommand, "one"};
  const log_entry other{{1}, {2}, entry_kind::kCommand, "other"};
  a.Receive(kB, append_request{{1}, {0}, {0}, {0}, 1, 0, {first}});
  a.Receive(kC, append_request{{2}, {0}, {0}, {0}, 1, 0, {other}});
  cr_assert(!a.Last<append_reply>(kB).has_value());
  // The first batch contains the entry that was replaced.
  a.Input(batch_persisted{a.batch});
  cr_assert(a.Last<append_reply>(kB).has_value());
  cr_assert(!a.Last<append_reply>(kC).has_value());
  a.Input(batch_persisted{a.batch});
  cr_assert(a.Last<append_reply>(kC)->match == revision{1});
}

// A read must not rely on a leader lease, because the clock of a suspended VM
// stops. A reply to an earlier round doesn't confirm it.
Test(consensus_node, a_read_waits_for_a_round_that_began_after_it) {
  driven_node a(StoredState(Configuration({kA, kB, kC})));
  a.WinElection({kB});
  a.Acknowledge(kB);
  a.Wait(milliseconds(100));
  const auto earlier = a.Last<append_request>(kB);
  a.Input(read_requested{1});
  cr_assert(a.reads.empty());
  a.Receive(kB, append_reply{a.node.term(), true, a.node.log().last_index(),
                             earlier->round, earlier->generation});
  cr_assert(a.reads.empty());
  a.Acknowledge(kB);
  cr_assert_eq(a.reads.size(), 1u);
  cr_assert(a.reads[0].code == result_code::kOk);
}

// --- Automatic voter replacement ---

Test(consensus_healing,
     a_new_voter_is_added_before_the_unresponsive_one_is_removed) {
  driven_node a(StoredState(Configuration({kA, kB, kC})), {}, 3);
  a.WinElection({kB});
  a.Acknowledge(kB);
  a.Input(message_received{{{}, kD, {"a", {}}, join_request{1, 0}}});
  cr_assert(a.node.log().configuration().IsLearner(kD));
  a.WaitWithReplies({kB, kC, kD}, seconds(5));
  // All voters respond: the new member stays a learner, as a spare.
  cr_assert(a.node.log().configuration().IsLearner(kD));
  std::vector<voter_configuration> steps;
  a.WaitWithReplies({kB, kD}, seconds(5), &steps);
  cr_assert_geq(steps.size(), 2u);
  cr_assert(steps[0].IsVoter(kD) && steps[0].IsVoter(kC));
  cr_assert(steps[1].IsVoter(kD) && !steps[1].IsVoter(kC));
  // The replaced voter stays a learner, so that it receives the change when it
  // is back, and isn't promoted while the other voters respond.
  cr_assert(steps[1].IsLearner(kC));
  a.WaitWithReplies({kB, kC, kD}, seconds(5));
  cr_assert(a.node.log().configuration().IsLearner(kC));
}

Test(consensus_healing, three_founders_grow_to_a_goal_of_five) {
  const member_id e{"e", {6}};
  driven_node a(StoredState(Configuration({kA, kB, kC})), {}, 5);
  a.WinElection({kB});
  a.Acknowledge(kB);
  for (const member_id& id : {kD, e}) {
    a.Input(message_received{{{}, id, {"a", {}}, join_request{1, 0}}});
    a.WaitWithReplies({kB, kC, kD, e}, seconds(1));
  }
  cr_assert_eq(a.node.log().configuration().voters.size(), 5u);
  cr_assert(a.node.log().configuration().learners.empty());
}

Test(consensus_healing, a_learner_that_did_not_catch_up_replaces_no_voter) {
  driven_node a(StoredState(Configuration({kA, kB, kC})), {}, 3);
  a.WinElection({kB});
  a.Acknowledge(kB);
  a.Input(message_received{{{}, kD, {"a", {}}, join_request{1, 0}}});
  a.WaitWithReplies({kB}, seconds(10));
  cr_assert(a.node.log().configuration().IsVoter(kC));
  cr_assert(!a.node.log().configuration().IsVoter(kD));
}

// The old disk of "c" is lost and "b" doesn't reply, so no change can commit.
Test(consensus_healing, a_wiped_voter_changes_nothing_without_a_quorum) {
  driven_node a(StoredState(Configuration({kA, kB, kC})), {}, 3);
  a.WinElection({kB});
  a.Acknowledge(kB);
  const revision commit = a.node.commit();
  a.Input(message_received{{{}, kNewC, {"a", {}}, join_request{1, 0}}});
  a.Wait(milliseconds(200));
  a.Acknowledge(kNewC);
  a.Wait(seconds(10));
  cr_assert(a.node.commit() == commit);
  cr_assert(!a.Last<join_invitation>(kNewC).has_value());
}

Test(consensus_healing, a_paused_leader_calls_no_member_unresponsive) {
  driven_node a(StoredState(Configuration({kA, kB, kC}, {kD})), {}, 3);
  a.WinElection({kB});
  a.WaitWithReplies({kB, kC, kD}, seconds(1));
  a.now += milliseconds(1350);
  a.WaitWithReplies({kB, kC, kD}, seconds(1));
  cr_assert(a.node.log().configuration().IsLearner(kD));
}

Test(consensus_healing, a_voter_without_a_leader_announces_itself) {
  driven_node a(StoredState(Configuration({kA, kB, kC})), {}, 3);
  a.Input(peers_discovered{{"d"}});
  a.Wait(seconds(3));
  cr_assert(a.Last<join_request>(kB).has_value());
  cr_assert(a.Last<join_request>(kD).has_value());
}

Test(consensus_healing, a_blank_vm_learns_the_members) {
  driven_node a(stored_state{});
  a.Input(message_received{{kCluster, kC, a.node.self(), log_exists{{"d"}}}});
  a.Wait(milliseconds(1));
  cr_assert(a.Last<join_request>(kD).has_value());
}

}  // namespace
}  // namespace tamaracklatch::test
