// Tests of the distribution of revisions: every node reaches the last revision
// despite lost messages, and no node returns to an older one.
#include "tamaracklatch/distribution/relay_node.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "support/property.h"
#include "support/virtual_network.h"
#include "tamaracklatch/distribution/progress_sum.h"
#include "tamaracklatch/membership/absence_detector.h"

namespace tamaracklatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const std::vector<std::string> kZones{"zone-a", "zone-b", "zone-c"};

// A simulated cluster: three control VMs, and nodes spread over three zones.
class distribution_fixture {
 public:
  explicit distribution_fixture(const test::network_settings& network)
      : net(network) {
    for (std::uint32_t i = 0; i < 3; ++i) {
      control_.push_back(test::MakeContact("control-" + std::to_string(i),
                                           kZones[i], 0x0a010000 + i));
    }
    for (std::uint32_t i = 0; i < 3; ++i) {
      relay_settings settings = Base(control_[i]);
      settings.is_source = true;
      net.Add(settings);
    }
  }

  relay_settings Base(const relay_contact& contact) const {
    relay_settings settings;
    settings.self = {contact.name, incarnation{1}};
    settings.zone = contact.zone;
    settings.where = contact.where;
    settings.control = control_;
    return settings;
  }

  void AddNodes(std::uint32_t count) {
    for (std::uint32_t i = 0; i < count; ++i) {
      relay_settings settings =
          Base(test::MakeContact("node-" + std::to_string(nodes.size()),
                                 kZones[i % 3], 0x0a020000 + i));
      settings.max_relays = 2;
      nodes.push_back(settings.self.name);
      net.Add(settings);
    }
  }

  void AddTargetDaemon(const std::string& name, const std::string& service) {
    relay_settings settings = Base(test::MakeContact(name, "zone-a", 0));
    settings.where.port = 0;
    settings.service = service;
    net.Add(settings);
  }

  // Publishes the next revision, which puts either a document or a target.
  void Change() {
    const std::uint64_t number = ++changes_;
    revision_changes step;
    step.at = revision{number};
    if (number % 4 == 1) {
      const std::uint64_t service = 1 + 4 * ((number / 4) % 3);
      step.changes.emplace_back(service_put{
          {service_id{service},
           test::MakeDocument("service-" + std::to_string(service), number,
                              0x0a030000 + static_cast<std::uint32_t>(service),
                              2)}});
    } else {
      step.changes.emplace_back(target_put{test::MakeTarget(
          static_cast<std::uint32_t>(number % 50), service_id{1}, "zone-a")});
    }
    expected_view.Apply(step);
    net.Publish(step);
  }

  bool AllAtNewest() {
    for (auto& [name, one] : net.all()) {
      if (one->node && one->node->known() != net.newest()) return false;
    }
    return true;
  }

  // Returns each node's state, logged when a schedule fails.
  std::string Describe() {
    std::string text;
    for (auto& [name, one] : net.all()) {
      if (!one->node) continue;
      const auto& parent = one->node->parent();
      text += name + " at " + std::to_string(one->node->known().value) +
              " of " + std::to_string(net.newest().value) + ", parent " +
              (parent ? parent->name : "none") + ", age " +
              std::to_string(one->node->Age(net.now()).count() / 1000) +
              " ms, children";
      for (const auto& [child, state] : one->node->children().all())
        text += " " + child;
      text += one->node->may_serve() ? "\n" : ", does not serve\n";
    }
    return text;
  }

  test::virtual_network net;
  std::vector<std::string> nodes;
  cluster_view expected_view;

 private:
  std::vector<relay_contact> control_;
  std::uint64_t changes_ = 0;
};

Test(distribution, every_node_ends_at_the_last_revision) {
  test::network_settings network;
  network.loss = 0.05;
  distribution_fixture cluster(network);
  cluster.AddNodes(30);
  cluster.net.RunFor(seconds(5));
  for (int i = 0; i < 20; ++i) {
    cluster.Change();
    cluster.net.RunFor(milliseconds(300));
  }
  cluster.net.RunFor(seconds(10));
  cr_assert(cluster.AllAtNewest());
  for (const std::string& name : cluster.nodes) {
    const relay_node& node = *cluster.net.At(name).node;
    cr_expect(node.may_serve(), "%s", name.c_str());
    cr_expect(node.view().targets.size() ==
              cluster.expected_view.targets.size());
    cr_expect(node.view().services.size() ==
              cluster.expected_view.services.size());
  }
}

// Checks after every action that no node's revision falls during one start or
// is above the log's, and that no node serves an older revision after a
// restart.
class revision_checker {
 public:
  explicit revision_checker(distribution_fixture* cluster) : cluster_(cluster) {
    cluster->net.on_action = [this](test::virtual_network::process& one,
                                    const relay_action& action) {
      if (!one.node || one.settings.is_source) return;
      CheckNode(one, action);
    };
  }

  // Highest revision that each node has served, over all its starts.
  std::map<std::string, revision> served;
  std::string violation;

 private:
  void CheckNode(const test::virtual_network::process& one,
                 const relay_action& action) {
    const std::string& name = one.settings.self.name;
    const revision known = one.node->known();
    const node_identity identity{name, one.settings.self.started};
    if (known < applied_[identity])
      violation = name + " fell to an older revision in one start";
    applied_[identity] = known;
    if (known > cluster_->net.newest())
      violation = name + " is ahead of the log";
    if (std::holds_alternative<serving_allowed>(action) && known < served[name])
      violation = name + " serves an older revision after a restart";
    if (one.node->may_serve()) served[name] = std::max(served[name], known);
  }

  distribution_fixture* cluster_;
  std::map<node_identity, revision> applied_;
};

// Checks that the sums at the sources count no node at a revision above the one
// that it has applied.
void CheckAcknowledgments(distribution_fixture* cluster,
                          const std::map<node_identity, revision>& applied) {
  for (const char* name : {"control-0", "control-1", "control-2"}) {
    const relay_node& source = *cluster->net.At(name).node;
    for (const progress& entry : source.Progress()) {
      const auto applied_count = std::count_if(
          applied.begin(), applied.end(),
          [&](const auto& node) { return node.second >= entry.at; });
      RC_ASSERT(entry.nodes <= static_cast<std::size_t>(applied_count));
    }
  }
}

// Runs one random schedule of lost, repeated and delayed messages, restarts and
// cut-off relays, then a period without restarts and cuts, though still with
// loss, after which every node must be at the last revision.
void RunSchedule() {
  test::network_settings network;
  network.seed = *rc::gen::arbitrary<std::uint64_t>();
  network.loss = *rc::gen::element(0.0, 0.02, 0.1, 0.3);
  network.repeat = *rc::gen::element(0.0, 0.05);
  network.late = *rc::gen::element(0.0, 0.05, 0.2);
  distribution_fixture cluster(network);
  revision_checker checker(&cluster);
  std::set<std::string> cut;
  cluster.net.is_cut = [&cut](const auto& from, const auto& to) {
    return cut.count(from.settings.self.name) != 0 ||
           cut.count(to.settings.self.name) != 0;
  };
  cluster.AddNodes(*rc::gen::inRange<std::uint32_t>(3, 14));
  cluster.AddTargetDaemon("target-a", "service-1");
  cluster.net.RunFor(seconds(2));

  const int steps = *rc::gen::inRange(5, 25);
  for (int i = 0; i < steps; ++i) {
    const std::string& node =
        cluster.nodes[*rc::gen::inRange<std::size_t>(0, cluster.nodes.size())];
    switch (*rc::gen::inRange(0, 6)) {
      case 0:
      case 1:
        cluster.Change();
        break;
      case 2:
        for (int j = 0; j < 30; ++j) cluster.Change();
        break;
      case 3:
        cluster.net.Stop(node);
        cluster.net.Start(node);
        break;
      case 4:
        cut.insert(node);
        break;
      case 5:
        cut.clear();
        break;
    }
    cluster.net.RunFor(milliseconds(*rc::gen::element(10, 300, 3000, 15000)));
    RC_ASSERT(checker.violation.empty());
  }
  cut.clear();
  // At 30% loss a node may try many parents; at lower loss the nodes reach the
  // last revision within seconds.
  cluster.net.RunFor(seconds(network.loss > 0.2 ? 240 : 120));
  RC_ASSERT(checker.violation.empty());
  RC_ASSERT(cluster.net.late_wakes() == 0U);
  RC_LOG() << cluster.Describe();
  RC_ASSERT(cluster.AllAtNewest());
  for (const std::string& name : cluster.nodes) {
    const relay_node& node = *cluster.net.At(name).node;
    RC_ASSERT(node.may_serve());
    RC_ASSERT(node.view().targets.size() ==
              cluster.expected_view.targets.size());
  }
  const cluster_view& filtered = cluster.net.At("target-a").node->view();
  RC_ASSERT(filtered.services.size() <= 1U);
}

Test(distribution, any_schedule_ends_at_the_last_revision) {
  test::CheckProperty("any schedule", RunSchedule);
}

Test(distribution, acknowledgments_claim_no_node_too_many) {
  test::CheckProperty("acknowledgments", []() {
    test::network_settings network;
    network.seed = *rc::gen::arbitrary<std::uint64_t>();
    network.loss = *rc::gen::element(0.0, 0.1);
    network.late = *rc::gen::element(0.0, 0.2);
    distribution_fixture cluster(network);
    cluster.AddNodes(12);
    cluster.net.RunFor(seconds(2));
    for (int i = 0; i < 40; ++i) {
      cluster.Change();
      if (*rc::gen::inRange(0, 8) == 0) {
        const std::string& node =
            cluster
                .nodes[*rc::gen::inRange<std::size_t>(0, cluster.nodes.size())];
        cluster.net.Stop(node);
        cluster.net.Start(node);
      }
      cluster.net.RunFor(milliseconds(*rc::gen::element(5, 40, 200)));
      std::map<node_identity, revision> applied;
      for (const std::string& name : cluster.nodes) {
        const auto& one = cluster.net.At(name);
        applied[one.settings.self] = one.node->known();
      }
      // After a restart the sums may still count the node's earlier start, so
      // they are checked only until the first restart.
      std::uint32_t starts = 0;
      for (const std::string& name : cluster.nodes)
        starts += static_cast<std::uint32_t>(cluster.net.At(name).starts - 1);
      if (starts == 0) CheckAcknowledgments(&cluster, applied);
    }
    cluster.net.RunFor(seconds(90));
    // In the end the sums count exactly the nodes that applied the last
    // revision.
    std::vector<progress> sum;
    std::vector<node_identity> names;
    for (const char* name : {"control-0", "control-1", "control-2"}) {
      const relay_node& source = *cluster.net.At(name).node;
      AddProgress(source.Progress(), &sum);
      for (const node_identity& node : source.Names()) names.push_back(node);
    }
    const progress last = AppliedAtLeast(sum, cluster.net.newest());
    RC_ASSERT(last.nodes == cluster.nodes.size());
    RC_ASSERT(last.identities == SumOfNames(names));
    RC_ASSERT(names.size() == cluster.nodes.size());
  });
}

// Returns the longest time for which any node but `cut` was in no control VM's
// list of names, while `cut` is connected to its children only.
duration LongestUnreported(distribution_fixture* cluster,
                           const std::string& cut) {
  std::set<std::string> children;
  for (const auto& [name, child] : cluster->net.At(cut).node->children().all())
    children.insert(name);
  cluster->net.is_cut = [cut, children](const auto& from, const auto& to) {
    const std::string& sender = from.settings.self.name;
    const std::string& receiver = to.settings.self.name;
    return (sender == cut && children.count(receiver) == 0) ||
           (receiver == cut && children.count(sender) == 0);
  };
  std::map<std::string, time_point> last_reported;
  for (const auto& [name, one] : cluster->net.all()) {
    if (!one->settings.is_source && name != cut)
      last_reported[name] = cluster->net.now();
  }
  duration longest{0};
  for (int i = 0; i < 900; ++i) {
    cluster->net.RunFor(milliseconds(100));
    for (const char* name : {"control-0", "control-1", "control-2"}) {
      for (const node_identity& node : cluster->net.At(name).node->Names())
        last_reported[node.name] = cluster->net.now();
    }
    for (const auto& [name, reported_at] : last_reported) {
      if (name != cut)
        longest = std::max(longest, cluster->net.now() - reported_at);
    }
  }
  return longest;
}

// Guards against the removal of members that run: the leader removes a member
// whose process is unreported for longer than
// absence_settings::absence_timeout.
Test(distribution,
     nodes_below_a_relay_that_is_cut_off_are_not_missed_for_long) {
  test::CheckProperty("shorter than the absence timeout", []() {
    test::network_settings network;
    network.seed = *rc::gen::arbitrary<std::uint64_t>();
    network.loss = *rc::gen::element(0.0, 0.01);
    distribution_fixture cluster(network);
    cluster.AddNodes(15);
    for (int i = 0; i < 9; ++i)
      cluster.AddTargetDaemon("target-" + std::to_string(i), "service-1");
    cluster.Change();
    cluster.net.RunFor(seconds(30));
    const auto index = *rc::gen::inRange<std::size_t>(0, cluster.nodes.size());
    const duration longest = LongestUnreported(&cluster, cluster.nodes[index]);
    RC_ASSERT(longest < absence_settings().absence_timeout);
  });
}

Test(distribution, a_node_far_behind_gets_a_snapshot_in_parts) {
  test::network_settings network;
  network.loss = 0.1;
  distribution_fixture cluster(network);
  for (int i = 0; i < 3; ++i) {
    auto& source = cluster.net.At("control-" + std::to_string(i));
    source.settings.log_bytes = 4096;
    source.settings.part_bytes = 512;
    cluster.net.Start(source.settings.self.name);
  }
  for (int i = 0; i < 200; ++i) cluster.Change();
  cluster.AddNodes(6);
  for (int i = 0; i < 40; ++i) {
    cluster.Change();
    cluster.net.RunFor(milliseconds(100));
  }
  cluster.net.RunFor(seconds(60));
  cr_assert(cluster.AllAtNewest());
  for (const std::string& name : cluster.nodes) {
    const relay_node& node = *cluster.net.At(name).node;
    cr_expect(node.view().targets.size() ==
              cluster.expected_view.targets.size());
  }
}

Test(distribution, with_control_lost_a_majority_of_peers_confirms) {
  distribution_fixture cluster({});
  cluster.AddNodes(6);
  cluster.Change();
  cluster.net.RunFor(seconds(5));
  for (int i = 0; i < 3; ++i) cluster.net.Stop("control-" + std::to_string(i));
  auto& restarted = cluster.net.At("node-0");
  for (std::uint32_t i = 1; i < 6; ++i) {
    const auto& peer = cluster.net.At("node-" + std::to_string(i)).settings;
    restarted.settings.peers.push_back(
        {peer.self.name, peer.zone, peer.where, 0});
  }
  cluster.net.Start("node-0");
  const relay_contact who = restarted.settings.peers[2];
  cluster.net.RunFor(seconds(2));
  cr_expect(!restarted.node->may_serve());
  cluster.net.RunFor(seconds(30));
  cr_expect(restarted.node->may_serve());
  cr_expect(restarted.node->known().value == 1);
}

Test(distribution, nodes_that_are_not_sure_confirm_nothing) {
  distribution_fixture cluster({});
  cluster.AddNodes(6);
  cluster.Change();
  cluster.net.RunFor(seconds(5));
  for (int i = 0; i < 3; ++i) cluster.net.Stop("control-" + std::to_string(i));
  for (const std::string& name : cluster.nodes) {
    auto& settings = cluster.net.At(name).settings;
    for (const std::string& peer : cluster.nodes) {
      const auto& other = cluster.net.At(peer).settings;
      settings.peers.push_back({peer, other.zone, other.where, 0});
    }
    cluster.net.Stop(name);
  }
  for (const std::string& name : cluster.nodes) cluster.net.Start(name);
  cluster.net.RunFor(seconds(60));
  for (const std::string& name : cluster.nodes)
    cr_expect(!cluster.net.At(name).node->may_serve(), "%s", name.c_str());
}

Test(distribution, bounded_sums_never_count_a_node_too_high) {
  test::CheckProperty("bounded sums", []() {
    const auto revisions = *rc::gen::container<std::vector<std::uint64_t>>(
        rc::gen::inRange<std::uint64_t>(1, 40));
    std::vector<progress> sum;
    for (std::size_t i = 0; i < revisions.size(); ++i)
      AddProgress({{revision{revisions[i]}, 1, i + 1}}, &sum);
    BoundProgress(&sum);
    RC_ASSERT(sum.size() <= kMaxProgressEntries);
    RC_ASSERT(AppliedAtLeast(sum, revision{1}).nodes == revisions.size());
    for (std::uint64_t at = 1; at <= 40; ++at) {
      const auto applied_count =
          std::count_if(revisions.begin(), revisions.end(),
                        [&](std::uint64_t one) { return one >= at; });
      RC_ASSERT(AppliedAtLeast(sum, revision{at}).nodes <=
                static_cast<std::size_t>(applied_count));
    }
  });
}

Test(distribution, a_quiet_tree_keeps_its_parents) {
  test::network_settings network;
  network.loss = 0.02;
  distribution_fixture cluster(network);
  cluster.AddNodes(150);
  cluster.net.RunFor(seconds(60));
  int moves = 0;
  cluster.net.on_action = [&moves](const auto&, const relay_action& action) {
    const auto* report = std::get_if<relay_event>(&action);
    if (report != nullptr && report->reported.id == event_id::kParentChanged)
      ++moves;
  };
  cluster.net.RunFor(seconds(300));
  cr_expect(moves == 0, "%d moves", moves);
}

Test(distribution, arbitrary_bytes_are_no_message) {
  test::CheckProperty("arbitrary bytes", [](const std::string& bytes) {
    const auto message = DecodeRelayMessage(bytes);
    if (message) RC_ASSERT(DecodeRelayMessage(Encode(*message)).has_value());
  });
}

}  // namespace
}  // namespace tamaracklatch
