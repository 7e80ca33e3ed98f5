// Tests of the in-force tracker, beside the golden session in
// submission_handler_test.
#include "tamaracklatch/control/in_force_tracker.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "support/property.h"
#include "tamaracklatch/distribution/progress_sum.h"

namespace tamaracklatch {
namespace {

using std::chrono::seconds;

std::vector<progress> AllAt(revision at, const node_identity& node) {
  return {{at, 1, HashIdentity(node)}};
}

// A resend of an accepted document has the revision of its first submission,
// while a newer revision is tracked already. This once ended the process of
// every control VM.
Test(in_force, a_resend_changes_nothing) {
  in_force_tracker tracker({});
  const node_identity node{"balancer-1", incarnation{1}};
  tracker.OnAccepted(revision{2});
  tracker.OnAccepted(revision{6});
  tracker.OnAccepted(revision{2});
  tracker.OnAccepted(revision{6});
  const auto reached =
      tracker.Update(AllAt(revision{6}, node), {node}, {}, time_point());
  cr_assert(reached.size() == 2);
  cr_expect(reached[0] == revision{2} && reached[1] == revision{6});
  cr_expect(tracker.Status(revision{6}).everywhere_since.has_value());
}

// Simulates nodes that report to a leader. The recorded names persist when the
// leader changes; the tracker's nodes do not. One step is a second.
class leaders_fixture {
 public:
  struct node_state {
    revision applied;
    bool is_reported = true;
    bool is_target = false;
  };

  void Add(const std::string& name, bool is_target = false) {
    nodes[name] = {newest, true, is_target};
    if (!is_target) return;
    target_record target;
    target.id = {static_cast<std::uint32_t>(nodes.size()), 1};
    target.service = service_id{1};
    target.vm = "vm-" + name;
    target.started = StartOf(name);
    view.targets[target.id] = target;
    view.at = Next();
  }

  static incarnation StartOf(const std::string& name) {
    return incarnation{std::hash<std::string>()(name)};
  }

  void RemoveTargets() {
    view.targets.clear();
    view.at = Next();
  }

  void Accept() {
    newest = Next();
    tracker.OnAccepted(newest);
  }

  void ChangeLeader() { tracker.Reset(); }

  void RunFor(seconds length) {
    for (const time_point end = now + length; now < end; now += seconds(1))
      Step();
  }

  std::vector<std::string> NodesBehind() const {
    std::vector<std::string> names;
    for (const auto& [name, node] : nodes) {
      if (node.applied < newest) names.push_back(name);
    }
    return names;
  }

  bool IsEverywhere() const {
    return tracker.Status(newest).everywhere_since.has_value();
  }

  in_force_tracker tracker{in_force_settings()};
  cluster_view view;
  known_nodes known;
  std::map<std::string, node_state> nodes;
  std::vector<std::string> left;
  revision newest{1};
  time_point now = time_point(std::chrono::hours(2));
  // Times that a revision came into force while a node was behind.
  std::size_t premature_results = 0;
  std::size_t records = 0;  // log entries of known nodes

 private:
  void Step() {
    std::vector<progress> sum;
    std::vector<node_identity> names;
    for (const auto& [name, node] : nodes) {
      if (!node.is_reported) continue;
      names.push_back({name, StartOf(name)});
      AddProgress({{node.applied, 1, HashIdentity(names.back())}}, &sum);
    }
    tracker.SetExpectedNodes(known, view, now);
    const bool was_everywhere = IsEverywhere();
    tracker.Update(sum, names, left, now);
    if (!was_everywhere && IsEverywhere() && !NodesBehind().empty())
      ++premature_results;
    const known_nodes_batch batch = tracker.NextRecordBatch(known, now);
    if (batch.empty()) return;
    known.Apply(Next(), batch);
    ++records;
  }

  revision Next() { return revision{++entries_}; }

  std::uint64_t entries_ = 1;
};

// A new leader once reported a revision in force everywhere while one of two
// balancers, which had not reported to it yet, was still behind.
Test(in_force, a_new_leader_waits_for_nodes_that_have_not_reported) {
  leaders_fixture system;
  system.Add("balancer-0");
  system.Add("balancer-1");
  system.Add("desk-0", true);
  system.RunFor(seconds(20));
  cr_expect(system.known.names() ==
            std::set<std::string>({"balancer-0", "balancer-1"}));
  cr_expect(system.records == 1);

  system.ChangeLeader();
  system.Accept();
  for (auto& [name, node] : system.nodes) node.is_reported = false;
  for (const char* name : {"balancer-0", "desk-0", "balancer-1"}) {
    system.RunFor(seconds(5));
    cr_expect(!system.IsEverywhere(), "before %s", name);
    const auto unreported = system.tracker.Status(system.newest).unreported;
    cr_expect(unreported.size() ==
              static_cast<std::size_t>(std::count_if(
                  system.nodes.begin(), system.nodes.end(),
                  [](const auto& one) { return !one.second.is_reported; })));
    system.nodes[name] = {system.newest, true, false};
  }
  system.RunFor(seconds(1));
  cr_expect(system.IsEverywhere());
  cr_expect(system.premature_results == 0);
}

Test(in_force, a_node_that_left_is_expected_by_no_later_leader) {
  leaders_fixture system;
  system.Add("balancer-0");
  system.Add("balancer-1");
  system.RunFor(seconds(20));
  system.nodes.erase("balancer-1");
  system.left = {"balancer-1"};
  system.RunFor(seconds(10));
  system.ChangeLeader();
  system.Accept();
  system.nodes["balancer-0"].applied = system.newest;
  system.RunFor(seconds(2));
  cr_expect(system.IsEverywhere());
}

// A relay still reports a target for some seconds after its removal. The node
// was then once counted as missing for an hour.
Test(in_force, a_target_that_is_no_member_any_more_is_not_expected) {
  leaders_fixture system;
  system.Add("balancer-0");
  system.Add("desk-0", true);
  system.RunFor(seconds(20));
  system.ChangeLeader();
  system.RemoveTargets();
  system.Accept();
  system.nodes["balancer-0"].applied = system.newest;
  system.RunFor(seconds(5));
  cr_expect(!system.IsEverywhere());
  system.nodes.erase("desk-0");
  system.RunFor(seconds(12));
  cr_expect(system.IsEverywhere());
}

Test(in_force, a_node_that_is_not_reported_expires) {
  leaders_fixture system;
  system.Add("balancer-0");
  system.Add("balancer-1");
  system.RunFor(seconds(20));
  system.nodes.erase("balancer-1");
  system.ChangeLeader();
  system.Accept();
  system.nodes["balancer-0"].applied = system.newest;
  system.RunFor(seconds(3590));
  cr_expect(!system.IsEverywhere());
  system.RunFor(seconds(30));
  cr_expect(system.IsEverywhere());
  cr_expect(system.known.names() == std::set<std::string>({"balancer-0"}));
}

Test(in_force, nothing_is_everywhere_while_a_living_node_is_behind) {
  test::CheckProperty("never in force early over changes of leader", [] {
    leaders_fixture system;
    const auto count = *rc::gen::inRange(1, 8);
    for (int i = 0; i < count; ++i)
      system.Add("node-" + std::to_string(i), *rc::gen::arbitrary<bool>());
    system.RunFor(seconds(20));
    const auto steps = *rc::gen::inRange(1, 40);
    for (int i = 0; i < steps; ++i) {
      auto& node = system.nodes.at("node-" +
                                   std::to_string(*rc::gen::inRange(0, count)));
      switch (*rc::gen::inRange(0, 5)) {
        case 0:
          system.Accept();
          break;
        case 1:
          system.ChangeLeader();
          break;
        case 2:
          node.is_reported = !node.is_reported;
          break;
        case 3:
          node.applied = system.newest;
          break;
        case 4:  // all control VMs restart: the nodes return one by one
          system.ChangeLeader();
          for (auto& [name, one] : system.nodes) one.is_reported = false;
          break;
      }
      system.RunFor(seconds(*rc::gen::inRange(0, 20)));
    }
    RC_ASSERT(system.premature_results == 0U);
    for (auto& [name, node] : system.nodes)
      node = {system.newest, true, node.is_target};
    system.Accept();
    for (auto& [name, node] : system.nodes) node.applied = system.newest;
    system.RunFor(seconds(2));
    RC_ASSERT(system.IsEverywhere());
  });
}

}  // namespace
}  // namespace tamaracklatch
