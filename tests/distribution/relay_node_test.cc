// Tests of the distribution of revisions: every node ends at the last one,
// whatever is lost on the way, and none ever goes back.
#include "tamaracklatch/distribution/relay_node.h"

#include <set>
#include <string>
#include <vector>

#include "support/property.h"
#include "support/virtual_network.h"
#include "tamaracklatch/distribution/progress_sum.h"

namespace tamaracklatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const std::vector<std::string> kZones{"zone-a", "zone-b", "zone-c"};

// Three control VMs and some nodes over three zones.
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

  // Publishes the next revision: a document or a target.
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
    truth.Apply(step);
    net.Publish(step);
  }

  bool AllAtNewest() {
    for (auto& [name, one] : net.all()) {
      if (one->node && one->node->known() != net.newest()) return false;
    }
    return true;
  }

  test::virtual_network net;
  std::vector<std::string> nodes;
  cluster_view truth;

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
    cr_expect(node.view().targets.size() == cluster.truth.targets.size());
    cr_expect(node.view().services.size() == cluster.truth.services.size());
  }
}

}  // namespace
}  // namespace tamaracklatch
