// Tests of the submission and membership rules: at most one content is accepted
// for each version, a resend gets the same outcome, and equal logs give equal
// snapshot bytes.
#include "tamaracklatch/control/control_state.h"

#include <map>
#include <string>
#include <vector>

#include "support/property.h"
#include "support/virtual_network.h"

namespace tamaracklatch {
namespace {

std::string Submission(const std::string& service, std::uint64_t version,
                       std::uint32_t address, std::size_t content = 0) {
  control_command command;
  command.tag = version;
  command.body = submit_document{
      CanonicalText(test::MakeDocument(service, version, address, content)),
      "operator"};
  return Encode(command);
}

// Keeps every outcome and applies every change to its own view.
class outcome_recorder : public control_listener {
 public:
  void OnApplied(const command_outcome& outcome,
                 const revision_changes& changes) override {
    outcomes.push_back(outcome);
    if (!changes.changes.empty()) view.Apply(changes);
  }

  std::vector<command_outcome> outcomes;
  cluster_view view;
};

// A submission and its expected outcome.
struct submission_row {
  const char* name;
  const char* service;
  std::uint64_t version;
  std::uint32_t address;
  std::size_t content;
  result_code code;
  std::uint64_t accepted;  // revision; 0 if refused
};

// Applied in order, at the revisions 1, 2, …
const std::vector<submission_row> kSubmissions{
    {"first must be version 1", "desk", 2, 1, 0, result_code::kVersionGap, 0},
    {"first", "desk", 1, 1, 0, result_code::kOk, 2},
    {"resend", "desk", 1, 1, 0, result_code::kOk, 2},
    {"other content", "desk", 1, 1, 1, result_code::kVersionConflict, 0},
    {"gap", "desk", 3, 1, 0, result_code::kVersionGap, 0},
    {"next", "desk", 2, 1, 1, result_code::kOk, 6},
    {"resend of an older version", "desk", 1, 1, 0, result_code::kOk, 2},
    {"older, other content", "desk", 1, 1, 3, result_code::kVersionStale, 0},
    {"address of another service", "cards", 1, 1, 0, result_code::kAddressTaken,
     0},
    {"address that no service owns", "cards", 1, 2, 0, result_code::kOk, 10},
    {"previous address released", "desk", 3, 3, 0, result_code::kOk, 11},
    {"released address", "cards", 2, 1, 0, result_code::kOk, 12},
};

Test(control, submission_rules) {
  outcome_recorder recorder;
  control_state state(&recorder);
  std::uint64_t at = 0;
  for (const submission_row& row : kSubmissions) {
    state.Apply(revision{++at},
                Submission(row.service, row.version, row.address, row.content));
    const command_outcome& outcome = recorder.outcomes.back();
    cr_expect(outcome.code == row.code, "%s: %s", row.name,
              outcome.detail.c_str());
    cr_expect(outcome.accepted.value == row.accepted, "%s: %lu", row.name,
              outcome.accepted.value);
  }
  const auto winner = test::MakeDocument("desk", 1, 1, 0);
  cr_expect(recorder.outcomes[3].winner_hash == DocumentHash(winner));
  cr_expect(state.view().FindService("desk")->id.value == 2);
  cr_expect(state.History("desk").size() == 3);
}

Test(control, malformed_entries_change_nothing) {
  outcome_recorder recorder;
  control_state state(&recorder);
  state.Apply(revision{1}, "not a command");
  cr_expect(recorder.outcomes[0].code == result_code::kCommandMalformed);
  cr_expect(state.view().at.value == 0);
  failure error;
  cr_expect(!state.Restore("not a snapshot", &error));
  cr_expect(error.code == result_code::kSnapshotMalformed);
}

target_announcement Announce(std::uint32_t vm, std::uint64_t started,
                             const zone_name& zone = "zone-a") {
  target_announcement target;
  target.key = {"vm-" + std::to_string(vm), "desk", incarnation{started}};
  target.generation = started;
  target.zone = zone;
  target.packets = {MakeV4(0x0a000000 + vm), 7000};
  target.capacity = 4;
  return target;
}

std::string Membership(const membership_batch& batch) {
  control_command command;
  command.body = batch;
  return Encode(command);
}

Test(control, membership_rules) {
  outcome_recorder recorder;
  control_state state(&recorder);
  service_document document = test::MakeDocument("desk", 1, 1);
  document.eligible.zones = {"zone-a"};
  control_command submit;
  submit.body = submit_document{CanonicalText(document), "operator"};
  state.Apply(revision{1}, Encode(submit));

  // Three joins, one of them from a zone that is not eligible.
  state.Apply(
      revision{2},
      Membership({{Announce(1, 10), Announce(2, 10), Announce(3, 10, "zone-b")},
                  {},
                  {}}));
  cr_assert(recorder.outcomes.back().refused.size() == 1);
  cr_expect(recorder.outcomes.back().refused[0].code ==
            result_code::kTargetNotEligible);
  cr_expect(state.view().targets.size() == 2);

  // A late announcement of the same start does not end a drain.
  state.Apply(revision{3}, Membership({{}, {Announce(1, 10).key}, {}}));
  state.Apply(revision{4}, Membership({{Announce(1, 10)}, {}, {}}));
  cr_expect(state.view().targets.at({0, 1}).state == target_state::kDraining);

  // A newer start replaces the target. The older start is then refused, with
  // the newest generation.
  state.Apply(revision{5}, Membership({{Announce(1, 20)}, {}, {}}));
  cr_expect(state.view().targets.count({0, 1}) == 0);
  cr_expect(state.view().targets.at({0, 2}).started.value == 20);
  state.Apply(revision{6}, Membership({{Announce(1, 10)}, {}, {}}));
  cr_expect(recorder.outcomes.back().refused[0].code ==
            result_code::kTargetSuperseded);
  cr_expect(recorder.outcomes.back().refused[0].newest_generation == 20);

  // The loss of an older start changes nothing.
  state.Apply(revision{7}, Membership({{}, {}, {Announce(1, 10).key}}));
  cr_expect(state.view().targets.size() == 2);
  state.Apply(revision{8}, Membership({{}, {}, {Announce(1, 20).key}}));
  cr_expect(state.view().targets.size() == 1);

  // The zone is removed from the document, then added again.
  document.version = 2;
  document.eligible.zones = {"zone-b"};
  submit.body = submit_document{CanonicalText(document), "operator"};
  state.Apply(revision{9}, Encode(submit));
  cr_expect(state.view().targets.at({1, 1}).state == target_state::kDraining);
  document.version = 3;
  document.eligible.zones = {"zone-a"};
  submit.body = submit_document{CanonicalText(document), "operator"};
  state.Apply(revision{10}, Encode(submit));
  cr_expect(state.view().targets.at({1, 1}).state == target_state::kServing);
}

// A random command from few services, versions, addresses and VMs, so that
// conflicts and resends are frequent.
std::string RandomCommand() {
  const auto random_below = [](std::uint32_t end) {
    return *rc::gen::inRange<std::uint32_t>(0, end);
  };
  if (random_below(3) != 0) {
    return Submission("service-" + std::to_string(random_below(3)),
                      1 + random_below(6), 1 + random_below(4),
                      random_below(2));
  }
  if (random_below(4) == 0) {
    control_command known;
    known.body = known_nodes_batch{{"node-" + std::to_string(random_below(4))},
                                   {"node-" + std::to_string(random_below(4))}};
    return Encode(known);
  }
  membership_batch batch;
  for (std::uint32_t i = random_below(4); i > 0; --i) {
    auto target = Announce(random_below(5), 1 + random_below(4));
    target.key.service = "service-" + std::to_string(random_below(3));
    target.draining = random_below(4) == 0;
    batch.joins.push_back(target);
    if (random_below(3) == 0) batch.drains.push_back(target.key);
    if (random_below(3) == 0) batch.losses.push_back(target.key);
  }
  return Membership(batch);
}

Test(control, one_accepted_content_per_version_and_equal_bytes) {
  test::CheckProperty("one accepted content per version, equal bytes", []() {
    outcome_recorder recorder;
    control_state state(&recorder);
    outcome_recorder restored_recorder;
    control_state restored(&restored_recorder);
    std::map<std::string, revision> winners;    // by service@version
    std::map<revision, std::string> documents;  // by accepted revision
    std::map<revision, service_id> ids;
    const int entries = *rc::gen::inRange(1, 60);
    const int cut = *rc::gen::inRange(0, entries);
    for (int i = 1; i <= entries; ++i) {
      const std::string command = RandomCommand();
      const revision at{static_cast<std::uint64_t>(i)};
      state.Apply(at, command);
      if (i > cut) restored.Apply(at, command);
      if (i == cut) {
        failure error;
        RC_ASSERT(restored.Restore(state.Snapshot(), &error));
        restored_recorder.view = state.view();
      }
      const command_outcome& outcome = recorder.outcomes.back();
      if (outcome.accepted.value == 0) continue;
      // Every accepted submission of a version has the same revision and
      // content.
      const auto decoded = DecodeCommand(command);
      const auto& body = std::get<submit_document>(decoded->body);
      const std::string name =
          outcome.service + "@" + std::to_string(outcome.version);
      const auto winner = winners.emplace(name, outcome.accepted).first;
      RC_ASSERT(winner->second == outcome.accepted);
      const auto document =
          documents.emplace(outcome.accepted, body.canonical_text).first;
      RC_ASSERT(document->second == body.canonical_text);
    }
    RC_ASSERT(state.Snapshot() == restored.Snapshot());
    // The view built from the changes alone is the same.
    RC_ASSERT(recorder.view.services.size() == state.view().services.size());
    RC_ASSERT(recorder.view.targets.size() == state.view().targets.size());
    RC_ASSERT(restored_recorder.view.targets.size() ==
              state.view().targets.size());
    // No packet endpoint is used twice, and every target's service exists.
    std::map<endpoint, target_id> packets;
    for (const auto& [id, target] : state.view().targets) {
      RC_ASSERT(packets.emplace(target.packets, id).second);
      RC_ASSERT(state.view().services.count(target.service) == 1);
    }
  });
}

}  // namespace
}  // namespace tamaracklatch
