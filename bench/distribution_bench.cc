// Time to in force, bytes, processor time and memory of the distribution, in
// virtual time with the real messages; the same for gossip and for a two-phase
// change of all tables.
#include <fmt/format.h>
#include <malloc.h>

#include <algorithm>
#include <cmath>
#include <set>
#include <string>
#include <vector>

#include "../tests/support/virtual_network.h"
#include "report.h"
#include "tamaracklatch/control/in_force_tracker.h"
#include "tamaracklatch/distribution/progress_sum.h"

namespace tamaracklatch::bench {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using test::virtual_network;

constexpr std::uint32_t kSources = 3;
constexpr std::uint32_t kServices = 4;
constexpr int kChangesCounted = 20;         // by gossip and in two phases
constexpr std::size_t kDocumentZones = 38;  // makes a document of about 1 KB
// Kept small, since thousands of nodes share one process.
constexpr std::size_t kStandInLogBytes = 32 * 1024;

double SecondsIn(duration span) {
  return std::chrono::duration<double>(span).count();
}

double Quantile(std::vector<double> values, double share) {
  if (values.empty()) return std::nan("");
  std::sort(values.begin(), values.end());
  const auto last = static_cast<double>(values.size() - 1);
  return values[static_cast<std::size_t>(std::ceil(share * last))];
}

// One load and its network.
struct load {
  std::uint32_t nodes = 10;
  std::uint32_t zones = 4;
  double loss = 0.01;
  duration one_way = std::chrono::microseconds(3500);
  double documents_per_second = 0.76;
  double memberships_per_second = 0.3;
  duration span = seconds(60);
};

// What a run showed.
struct outcome {
  std::vector<double> in_force;      // seconds, one for each change
  std::vector<double> acknowledged;  // seconds, until control knows it
  std::uint32_t unfinished = 0;      // changes not in force at the end
  double mean_bytes = 0.0;           // a second and node, both ways
  double max_bytes = 0.0;
  double source_bytes = 0.0;  // of the busiest control VM
  double core_share = 0.0;    // of a node, the harness included
};

// Control VMs, nodes over zones, and the changes that are on their way.
class spreading {
 public:
  explicit spreading(const load& what) : load_(what), network_(Network(what)) {
    network_.on_action = [this](virtual_network::process& one,
                                const relay_action&) { Note(one); };
    for (std::uint32_t i = 0; i < kSources; ++i)
      control_.push_back(test::MakeContact(fmt::format("control-{}", i),
                                           Zone(i), 0x0a010000 + i));
    for (const relay_contact& contact : control_) {
      relay_settings settings = Settings(contact);
      settings.is_source = true;
      settings.log_bytes = relay_settings().log_bytes;
      network_.Add(settings);
    }
    for (std::uint32_t i = 0; i < kServices; ++i) PublishDocument();
    for (std::uint32_t i = 0; i < load_.nodes; ++i) {
      network_.Add(Settings(test::MakeContact(fmt::format("node-{}", i),
                                              Zone(i), 0x0a020000 + i)));
      network_.RunFor(kStagger / load_.nodes);
    }
    network_.RunFor(kSettle);
    changes_.clear();
  }

  outcome Run() {
    ForgetTraffic();
    const double rate =
        load_.documents_per_second + load_.memberships_per_second;
    const auto gap = duration(static_cast<std::int64_t>(1e6 / rate));
    const time_point start = network_.now();
    const double wall = SecondsOf([&]() {
      while (network_.now() - start < load_.span) {
        PublishNext();
        Watch(gap);
      }
    });
    outcome result = Figures(network_.now() - start, wall);
    // Whatever is still on its way gets half a minute.
    for (int i = 0; i < 30 && HasPending(); ++i) Watch(seconds(1));
    for (const change& one : changes_) Add(one, &result);
    return result;
  }

  // One change in two phases: nobody uses it before all have prepared. Returns
  // the seconds until all have committed; NaN when that never happened.
  double RunTwoPhase() {
    const time_point start = network_.now();
    PublishDocument();
    if (!WaitUntilAcknowledged()) return std::nan("");
    PublishTarget();  // the commit
    while (changes_.back().applied < load_.nodes) {
      if (network_.now() - start > seconds(30)) return std::nan("");
      network_.RunFor(kWatchInterval);
    }
    return SecondsIn(*changes_.back().in_force - start);
  }

  virtual_network& network() { return network_; }
  void ForgetTraffic() {
    for (auto& [name, one] : network_.all()) {
      one->sent = {};
      one->received = {};
    }
  }

 private:
  // One published change.
  struct change {
    revision at;
    time_point published;
    std::uint32_t applied = 0;  // nodes
    std::optional<time_point> in_force;
    std::optional<time_point> acknowledged;
  };

  static constexpr duration kStagger = seconds(20);
  static constexpr duration kSettle = seconds(20);
  static constexpr duration kWatchInterval = milliseconds(20);

  static test::network_settings Network(const load& what) {
    test::network_settings settings;
    settings.one_way = what.one_way;
    settings.jitter = what.one_way / 4;
    settings.loss = what.loss;
    settings.seed = 20261204;
    return settings;
  }

  std::string Zone(std::uint32_t number) const {
    return fmt::format("zone-{}", number % load_.zones);
  }

  relay_settings Settings(const relay_contact& contact) const {
    relay_settings settings;
    settings.self = {contact.name, incarnation{1}};
    settings.zone = contact.zone;
    settings.where = contact.where;
    settings.control = control_;
    settings.log_bytes = kStandInLogBytes;
    return settings;
  }

  void PublishNext() {
    const double total =
        load_.documents_per_second + load_.memberships_per_second;
    documents_due_ += load_.documents_per_second / total;
    if (documents_due_ >= 1.0) {
      documents_due_ -= 1.0;
      PublishDocument();
    } else {
      PublishTarget();
    }
  }

  void PublishDocument() {
    const std::uint64_t service = 1 + published_ % kServices;
    Publish(service_put{
        {service_id{service},
         test::MakeDocument(fmt::format("service-{}", service), published_ + 1,
                            0x0a030000 + static_cast<std::uint32_t>(service),
                            kDocumentZones)}});
  }

  void PublishTarget() {
    Publish(target_put{test::MakeTarget(
        static_cast<std::uint32_t>(published_ % 40), service_id{1}, Zone(0))});
  }

  void Publish(view_change what) {
    const revision at{++published_};
    changes_.push_back({at, network_.now(), 0, std::nullopt, std::nullopt});
    network_.Publish({at, {std::move(what)}});
  }

  void Note(const virtual_network::process& one) {
    if (one.settings.is_source || !one.node) return;
    revision& before = known_[one.settings.self.name];
    const revision now = one.node->known();
    for (auto entry = changes_.rbegin(); entry != changes_.rend(); ++entry) {
      if (entry->at <= before) break;
      if (entry->at > now) continue;
      ++entry->applied;
      if (entry->applied == load_.nodes) entry->in_force = network_.now();
    }
    before = std::max(before, now);
  }

  // Whether control knows that all nodes have applied `at`.
  bool IsAcknowledged(revision at) {
    std::vector<progress> sum;
    std::uint64_t identities = 0;
    std::uint32_t nodes = 0;
    for (const relay_contact& contact : control_) {
      const relay_node& source = *network_.At(contact.name).node;
      AddProgress(source.Progress(), &sum);
      const auto names = source.Names();
      identities += SumOfNames(names);
      nodes += static_cast<std::uint32_t>(names.size());
    }
    const progress applied = AppliedAtLeast(sum, at);
    return nodes == load_.nodes && applied.nodes == nodes &&
           applied.identities == identities;
  }

  void Watch(duration span) {
    const time_point end = network_.now() + span;
    while (network_.now() < end) {
      network_.RunUntil(std::min(end, network_.now() + kWatchInterval));
      for (change& one : changes_) {
        if (one.acknowledged || !one.in_force) continue;
        if (!IsAcknowledged(one.at)) break;
        one.acknowledged = network_.now();
      }
    }
  }

  bool HasPending() const {
    return std::any_of(changes_.begin(), changes_.end(),
                       [](const change& one) { return !one.acknowledged; });
  }

  bool WaitUntilAcknowledged() {
    const time_point end = network_.now() + seconds(30);
    while (!IsAcknowledged(changes_.back().at)) {
      if (network_.now() >= end) return false;
      network_.RunFor(kWatchInterval);
    }
    return true;
  }

  outcome Figures(duration span, double wall) {
    outcome result;
    double total = 0.0;
    for (const auto& [name, one] : network_.all()) {
      const double bytes =
          static_cast<double>(one->sent.bytes + one->received.bytes) /
          SecondsIn(span);
      if (one->settings.is_source) {
        result.source_bytes = std::max(result.source_bytes, bytes);
        continue;
      }
      total += bytes;
      result.max_bytes = std::max(result.max_bytes, bytes);
    }
    result.mean_bytes = total / load_.nodes;
    result.core_share = wall / SecondsIn(span) / load_.nodes;
    return result;
  }

  static void Add(const change& one, outcome* result) {
    if (!one.in_force) {
      ++result->unfinished;
      return;
    }
    result->in_force.push_back(SecondsIn(*one.in_force - one.published));
    if (one.acknowledged)
      result->acknowledged.push_back(
          SecondsIn(*one.acknowledged - one.published));
  }

  load load_;
  virtual_network network_;
  std::vector<relay_contact> control_;
  std::vector<change> changes_;
  std::map<std::string, revision> known_;  // by node
  std::uint64_t published_ = 0;
  double documents_due_ = 0.0;
};

std::string TimeGoal(double loss) {
  return loss <= 0.01 ? "p99 < 2 s" : "p99 < 10 s";
}

void AddTimes(report& figures, const std::string& name, const load& what,
              const outcome& result) {
  const std::string goal = TimeGoal(what.loss);
  const auto add = [&](const char* part, double value, const char* unit,
                       const std::string& aim) {
    figures.Add({"distribution", name + part, value, unit, aim});
  };
  add(", in force p50", Quantile(result.in_force, 0.5), "s", "");
  add(", in force p99", Quantile(result.in_force, 0.99), "s", goal);
  add(", known to control p99", Quantile(result.acknowledged, 0.99), "s", "");
  if (result.unfinished != 0)
    add(", changes not in force", result.unfinished, "changes", "0");
}

void AddCosts(report& figures, const std::string& name, const outcome& result) {
  const auto add = [&](const char* part, double value, const char* unit,
                       const char* aim) {
    figures.Add({"distribution", name + part, value, unit, aim});
  };
  add(", mean", result.mean_bytes, "bytes/s/node", "< 8192");
  add(", busiest node", result.max_bytes, "bytes/s", "< 8192");
  add(", busiest control VM", result.source_bytes, "bytes/s", "");
  add(", processor time", 100.0 * result.core_share, "% of a core/node",
      "< 1.6");
}

// The users' zones, with a few balancers and all target VMs.
void MeasureUsers(report& figures) {
  struct user {
    const char* name;
    std::uint32_t zones;
    std::uint32_t nodes;
    duration one_way;
  };
  const std::vector<user> users{
      {"4 zones 3.5 ms", 4, 15, std::chrono::microseconds(3500)},
      {"3 zones 3 ms", 3, 13, std::chrono::microseconds(3000)}};
  for (const user& one : users) {
    for (const double loss : {0.01, 0.1}) {
      load what;
      what.nodes = one.nodes;
      what.zones = one.zones;
      what.one_way = one.one_way;
      what.loss = loss;
      what.span = seconds(600);
      const std::string name =
          fmt::format("{}, {} nodes, loss {}%", one.name, one.nodes,
                      static_cast<int>(loss * 100));
      AddTimes(figures, name, what, spreading(what).Run());
    }
  }
}

void MeasureSizes(report& figures) {
  for (const std::uint32_t nodes : {10U, 100U, 1000U, 11000U}) {
    for (const double loss : {0.01, 0.1}) {
      load what;
      what.nodes = nodes;
      what.zones = 9;
      what.loss = loss;
      what.span = seconds(nodes > 1000 ? 20 : 60);
      const std::string name = fmt::format("{} nodes, loss {}%", nodes,
                                           static_cast<int>(loss * 100));
      const outcome result = spreading(what).Run();
      AddTimes(figures, name, what, result);
      if (loss < 0.05) AddCosts(figures, name, result);
    }
  }
}

void MeasureRates(report& figures) {
  for (const double rate : {0.1, 0.3, 1.0}) {
    load what;
    what.nodes = 300;
    what.zones = 9;
    what.documents_per_second = rate;
    what.memberships_per_second = 0.0;
    what.span = seconds(120);
    AddCosts(figures, fmt::format("300 nodes, {} documents/s", rate),
             spreading(what).Run());
  }
}

// Cost of changing all tables in two phases over the same tree.
void MeasureTwoPhase(report& figures) {
  load what;
  what.nodes = 1000;
  what.zones = 9;
  spreading run(what);
  run.ForgetTraffic();
  std::vector<double> times;
  times.reserve(kChangesCounted);
  for (int i = 0; i < kChangesCounted; ++i) times.push_back(run.RunTwoPhase());
  std::uint64_t bytes = 0;
  for (const auto& [name, one] : run.network().all())
    bytes += one->sent.bytes + one->received.bytes;
  figures.Add({"distribution", "two-phase, 1000 nodes, loss 1%, in force p50",
               Quantile(times, 0.5), "s", ""});
  figures.Add({"distribution", "two-phase, 1000 nodes, loss 1%, in force p99",
               Quantile(times, 0.99), "s", ""});
  figures.Add({"distribution", "two-phase, 1000 nodes, bytes a change",
               static_cast<double>(bytes) / kChangesCounted / what.nodes,
               "bytes/node/change", ""});
  run.network().is_cut = [](const auto& from, const auto& to) {
    return from.settings.self.name == "node-7" ||
           to.settings.self.name == "node-7";
  };
  const bool committed = !std::isnan(run.RunTwoPhase());
  figures.Add({"distribution", "two-phase, one of 1000 nodes cut off for 30 s",
               committed ? 1.0 : 0.0, "changes committed", ""});
}

// Gossip: each node asks a node at random once a round, with the same pull and
// delta messages, and gives it what it lacks.
void MeasureGossip(report& figures) {
  constexpr std::uint32_t kNodes = 1000;
  constexpr double kRound = 0.3;  // seconds
  constexpr double kLoss = 0.01;
  random_source random(20261204);
  const std::string document = CanonicalText(
      test::MakeDocument("service-1", 1, 0x0a030001, kDocumentZones));
  pull ask;
  ask.node = {"node-1234", incarnation{1}};
  const std::size_t ask_bytes = Encode(ask).size() + test::kHeaderBytes;
  delta nothing;
  const std::size_t nothing_bytes = Encode(nothing).size() + test::kHeaderBytes;
  delta news;
  news.revisions.push_back({revision{1}, {{service_id{1}, document}}});
  const std::size_t news_bytes = Encode(news).size() + test::kHeaderBytes;
  std::vector<double> times;
  times.reserve(kChangesCounted);
  double bytes = 0.0;
  double rounds = 0.0;
  const auto lost = [&]() { return random() % 1000 < kLoss * 1000; };
  for (int i = 0; i < kChangesCounted; ++i) {
    std::vector<bool> has(kNodes, false);
    for (std::uint32_t j = 0; j < kSources; ++j) has[random() % kNodes] = true;
    int round = 0;
    while (std::count(has.begin(), has.end(), true) < kNodes) {
      ++round;
      const std::vector<bool> before = has;
      for (std::uint32_t j = 0; j < kNodes; ++j) {
        const std::size_t peer = random() % kNodes;
        bytes += 2.0 * static_cast<double>(ask_bytes);
        if (lost()) continue;
        const bool differs = before[j] != before[peer];
        bytes +=
            2.0 * static_cast<double>(differs ? news_bytes : nothing_bytes);
        if (!differs || lost()) continue;
        has[j] = true;
        has[peer] = true;
      }
    }
    times.push_back(round * kRound);
    rounds += round;
  }
  // Rounds go on also when there is nothing new.
  const double idle =
      2.0 * static_cast<double>(ask_bytes + nothing_bytes) / kRound;
  figures.Add({"distribution", "gossip, 1000 nodes, loss 1%, in force p50",
               Quantile(times, 0.5), "s", ""});
  figures.Add({"distribution", "gossip, 1000 nodes, loss 1%, in force p99",
               Quantile(times, 0.99), "s", ""});
  figures.Add({"distribution", "gossip, 1000 nodes, while spreading",
               bytes / kNodes / (rounds * kRound), "bytes/s/node", ""});
  figures.Add(
      {"distribution", "gossip, 1000 nodes, idle", idle, "bytes/s/node", ""});
}

// The view of the target size.
cluster_view FullView() {
  constexpr std::uint32_t kFullServices = 6100;
  constexpr std::uint32_t kFullTargets = 120000;
  cluster_view view;
  for (std::uint32_t i = 1; i <= kFullServices; ++i) {
    view.services[service_id{i}] = {
        service_id{i},
        test::MakeDocument(fmt::format("service-{}", i), 1, i, 10)};
  }
  for (std::uint32_t i = 0; i < kFullTargets; ++i) {
    const target_record target =
        test::MakeTarget(i, service_id{1 + i % kFullServices}, "zone-1");
    view.targets[target.id] = target;
  }
  view.at = revision{1000000};
  return view;
}

std::size_t HeapBytes() { return mallinfo2().uordblks; }

// A node that comes back `behind` changes late.
void MeasureRecovery(report& figures, std::uint64_t behind,
                     const cluster_view& full) {
  test::network_settings network;
  network.loss = 0.01;
  virtual_network net(network);
  relay_settings source;
  const relay_contact control = test::MakeContact("control", "zone-1", 1);
  source.self.name = control.name;
  source.zone = control.zone;
  source.where = control.where;
  source.is_source = true;
  net.Add(source);
  net.ResetSource("control", full);
  relay_settings settings;
  const relay_contact contact = test::MakeContact("node", "zone-1", 2);
  settings.self.name = contact.name;
  settings.zone = contact.zone;
  settings.where = contact.where;
  settings.control = {control};

  const std::size_t heap = HeapBytes();
  net.Add(settings);
  net.RunFor(seconds(120));
  const bool loaded = net.At("node").node->known() == full.at;
  const std::size_t node_heap = HeapBytes() - heap;

  // Cut off while the changes are made, so that it has to catch up.
  bool cut = true;
  net.is_cut = [&cut](const auto&, const auto&) { return cut; };
  revision at = full.at;
  for (std::uint64_t i = 0; i < behind; ++i) {
    at.value += 1;
    const auto index = static_cast<std::uint32_t>(i % 1000);
    net.Publish({at,
                 {target_put{test::MakeTarget(index, service_id{1 + index},
                                              "zone-1")}}});
  }
  net.RunFor(seconds(1));
  auto& node = net.At("node");
  node.received = {};
  node.sent = {};
  cut = false;
  const time_point start = net.now();
  std::optional<time_point> done;
  const std::size_t heap_before = HeapBytes();
  std::size_t peak = heap_before;
  const double wall = SecondsOf([&]() {
    while (!done && net.now() - start < seconds(120)) {
      net.RunFor(milliseconds(5));
      peak = std::max(peak, HeapBytes());
      if (node.node->known() == at) done = net.now();
    }
  });
  const std::string name = fmt::format("node {} changes behind", behind);
  figures.Add({"distribution", name + ", time",
               done ? SecondsIn(*done - start) : std::nan(""), "s", ""});
  figures.Add({"distribution", name + ", received",
               static_cast<double>(node.received.bytes), "bytes", ""});
  figures.Add({"distribution", name + ", processor time of both ends",
               1000.0 * wall, "ms", ""});
  figures.Add({"distribution", name + ", peak heap of the node",
               static_cast<double>(node_heap + peak - heap_before) / 1e6, "MB",
               "< 64"});
  if (behind == 10) {
    figures.Add({"distribution",
                 "heap of a node with 6100 services and 120000 targets",
                 loaded ? static_cast<double>(node_heap) / 1e6 : std::nan(""),
                 "MB", "< 64"});
  }
}

// A relay of the target size with the target daemons of its share.
void MeasureLeaves(report& figures, const cluster_view& full) {
  constexpr std::uint32_t kLeaves = 11;
  constexpr int kSteps = 60;
  virtual_network net({});
  relay_settings source;
  const relay_contact control = test::MakeContact("control", "zone-1", 1);
  source.self.name = control.name;
  source.zone = control.zone;
  source.where = control.where;
  source.is_source = true;
  net.Add(source);
  net.ResetSource("control", full);
  for (std::uint32_t i = 0; i <= kLeaves; ++i) {
    relay_settings settings;
    const relay_contact contact = test::MakeContact(
        i == 0 ? "relay" : fmt::format("target-daemon-{}", i), "zone-1", 1 + i);
    settings.self.name = contact.name;
    settings.zone = contact.zone;
    settings.control = {control};
    if (i == 0) settings.where = contact.where;
    if (i != 0) settings.service = fmt::format("service-{}", 6000 + i);
    net.Add(settings);
    net.RunFor(seconds(20));
  }
  auto& relay = net.At("relay");
  relay.sent = {};
  relay.received = {};
  revision at = full.at;
  const double wall = SecondsOf([&]() {
    for (std::uint32_t i = 0; i < kSteps; ++i) {
      at.value += 1;
      net.Publish(
          {at, {target_put{test::MakeTarget(i, service_id{1 + i}, "zone-1")}}});
      net.RunFor(seconds(1));
    }
  });
  const std::string name = "relay of the full view with 11 target daemons";
  figures.Add({"distribution", name + ", children",
               static_cast<double>(relay.node->children().all().size()),
               "children", ""});
  figures.Add({"distribution", name + ", processor time of all 13 processes",
               100.0 * wall / kSteps, "% of a core", "< 1.6"});
  figures.Add(
      {"distribution", name + ", 1 membership change/s",
       static_cast<double>(relay.sent.bytes + relay.received.bytes) / kSteps,
       "bytes/s", "< 8192"});
}

void MeasureDistribution(report& figures) {
  MeasureUsers(figures);
  MeasureRates(figures);
  MeasureTwoPhase(figures);
  MeasureGossip(figures);
  const cluster_view full = FullView();
  MeasureLeaves(figures, full);
  for (const std::uint64_t behind : {10U, 300U, 100000U})
    MeasureRecovery(figures, behind, full);
  MeasureSizes(figures);
}

const registration kDistribution("distribution", MeasureDistribution);

}  // namespace
}  // namespace tamaracklatch::bench
