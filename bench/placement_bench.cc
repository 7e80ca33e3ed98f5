// Buckets moved, imbalance over targets, and flows broken by each way of
// keeping a flow with its target.
#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <numeric>

#include "packet_bus.h"
#include "report.h"
#include "tamaracklatch/core/hash.h"
#include "tamaracklatch/core/random.h"
#include "tamaracklatch/placement/service_placement.h"

namespace tamaracklatch::bench {
namespace {

constexpr std::uint64_t kSeed = 20261204;
constexpr std::uint32_t kSamples = 1U << 18U;
constexpr std::uint32_t kFlowsPerTarget = 1000;

std::vector<placed_target> SomeTargets(std::size_t count) {
  std::vector<placed_target> targets(count);
  for (std::size_t at = 0; at < count; ++at) {
    targets[at].id = {static_cast<std::uint32_t>(at), 1};
    targets[at].weight = 4;
    targets[at].takes_new_flows = true;
  }
  return targets;
}

target_id FirstOf(const service_placement& placement, std::uint64_t hash) {
  const std::uint16_t first =
      placement.CandidatesOf(placement.BucketOf(hash)).first;
  return placement.targets()[first].id;
}

// Share of the flows whose first candidate differs.
double Moved(const service_placement& before, const service_placement& after) {
  std::uint32_t moved = 0;
  for (std::uint32_t sample = 0; sample < kSamples; ++sample) {
    const std::uint64_t hash = HashPair(sample, kSeed);
    if (FirstOf(before, hash) != FirstOf(after, hash)) ++moved;
  }
  return static_cast<double>(moved) / kSamples;
}

void MeasureMoved(report& figures) {
  for (const std::size_t count : {7U, 8U, 100U, 1000U}) {
    const service_placement before({1}, SomeTargets(count));
    const service_placement joined({2}, SomeTargets(count + 1));
    std::vector<placed_target> rest = SomeTargets(count);
    rest.erase(rest.begin() + static_cast<std::ptrdiff_t>(count / 2));
    const service_placement left({2}, rest);
    const double least_join = 1.0 / static_cast<double>(count + 1);
    const double least_leave = 1.0 / static_cast<double>(count);
    const char* note = count == 8 ? " (the buckets double)" : "";
    figures.Add({"placement", fmt::format("moved, 1 joins {}{}", count, note),
                 Moved(before, joined) / least_join, "x minimum", ""});
    figures.Add({"placement", fmt::format("moved, 1 of {} leaves", count),
                 Moved(before, left) / least_leave, "x minimum", ""});
  }
  const service_placement large({1}, SomeTargets(1000));
  const double seconds = SecondsOf([&large]() { large.CandidatesOf(0); });
  figures.Add({"placement", "computing all buckets of 1000 targets",
               seconds * 1e3, "ms", ""});
  figures.Add({"placement", "memory of a placement of 1000 targets",
               static_cast<double>(large.MemoryBytes()) / 1000, "bytes/target",
               ""});
}

// ---- imbalance ----

void AddImbalance(const std::string& name, std::vector<double> loads,
                  const std::string& goal, report& figures) {
  std::sort(loads.begin(), loads.end());
  const double mean = std::accumulate(loads.begin(), loads.end(), 0.0) /
                      static_cast<double>(loads.size());
  const auto rank = static_cast<std::size_t>(
      std::ceil(0.99 * static_cast<double>(loads.size())));
  figures.Add({"placement", "imbalance, " + name, loads.back() / mean,
               "max/mean", goal});
  figures.Add({"placement", "imbalance, " + name, loads[rank - 1] / mean,
               "p99/mean", ""});
}

// What targets report of their loads: late, and a third of them half.
class misreported_loads {
 public:
  explicit misreported_loads(std::size_t targets)
      : reported_(targets), every_(targets * 20) {}

  void OnOpened(const std::vector<double>& loads) {
    if (++opened_ % every_ != 0) return;
    for (std::size_t at = 0; at < loads.size(); ++at)
      reported_[at] = at % 3 == 0 ? loads[at] / 2 : loads[at];
  }
  double Of(std::size_t target) const { return reported_[target]; }

 private:
  std::vector<double> reported_;
  std::size_t every_;
  std::size_t opened_ = 0;
};

void MeasureByPlacement(std::size_t count, bool two, report& figures) {
  const service_placement placement({1}, SomeTargets(count));
  std::vector<double> loads(count);
  misreported_loads reports(count);
  for (std::uint32_t flow = 0; flow < count * kFlowsPerTarget; ++flow) {
    const std::uint64_t hash =
        HashFlow(packet_bus::KeyOf(flow, ip_protocol::kTcp));
    const bucket_candidates candidates =
        placement.CandidatesOf(placement.BucketOf(hash));
    std::size_t chosen = candidates.first;
    if (two && reports.Of(candidates.second) < reports.Of(chosen))
      chosen = candidates.second;
    loads[chosen] += 1;
    reports.OnOpened(loads);
  }
  const char* name =
      two ? "two candidates by misreported load" : "first candidate alone";
  AddImbalance(fmt::format("{}, {} targets", name, count), loads, "", figures);
}

void MeasureHunting(std::size_t count, ip_protocol protocol, bool ends,
                    report& figures) {
  packet_bus bus(2, count);
  random_source random(kSeed);
  const flow_opening opens = protocol == ip_protocol::kTcp
                                 ? flow_opening::kYes
                                 : flow_opening::kUnknown;
  const auto total = static_cast<std::uint32_t>(count * kFlowsPerTarget);
  struct open_flow {
    flow_key key;
    target_id owner;
  };
  std::vector<open_flow> flows;
  std::uint32_t next = 0;
  const std::uint64_t hops_before = bus.hops();
  const auto open = [&]() {
    const flow_key key = packet_bus::KeyOf(next++, protocol);
    const std::optional<target_id> owner = bus.Send(key, opens, next % 2);
    if (owner) flows.push_back({key, *owner});
  };
  while (flows.size() < total) open();
  // Then as many flows again end at random and are replaced.
  for (std::uint32_t step = 0; ends && step < total; ++step) {
    std::swap(flows[random() % flows.size()], flows.back());
    bus.End(flows.back().key, flows.back().owner);
    flows.pop_back();
    open();
  }
  const double hops = static_cast<double>(bus.hops() - hops_before) / next;
  std::vector<double> loads;
  for (const target_id target : bus.Targets(true))
    loads.push_back(static_cast<double>(bus.OwnerOf(target).flow_count()));
  const std::string name =
      fmt::format("hunting, {}, {} targets{}",
                  protocol == ip_protocol::kTcp ? "SYN" : "datagrams", count,
                  ends ? ", flows end" : "");
  AddImbalance(name, loads, "<= 1.10", figures);
  figures.Add({"placement", "target daemons visited, " + name, hops,
               "per opening", ""});
}

void MeasureImbalance(report& figures) {
  for (const std::size_t count : {7U, 100U}) {
    MeasureByPlacement(count, false, figures);
    MeasureByPlacement(count, true, figures);
    MeasureHunting(count, ip_protocol::kTcp, false, figures);
    MeasureHunting(count, ip_protocol::kTcp, true, figures);
    MeasureHunting(count, ip_protocol::kUdp, true, figures);
  }
}

// ---- broken flows ----

constexpr std::size_t kRouters = 4;
constexpr std::size_t kFirstTargets = 20;
constexpr std::uint32_t kLongFlows = 10000;
constexpr std::size_t kChanges = 40;

// One flow as the three ways see it.
struct tracked_flow {
  flow_key key;
  target_id owner;             // where chaining opened it
  target_id hashed_owner;      // where plain hashing opened it
  target_id cached[kRouters];  // sequence 0: not cached
  bool broken_by_hash = false;
  bool broken_by_cache = false;
  bool broken_by_chain = false;
  std::uint32_t undelivered = 0;  // packets that no target took
};

// Sends a packet of the flow through the router, in each way.
void SendAllWays(std::size_t router, packet_bus* bus, tracked_flow* flow) {
  const placed_service* service = bus->RouterAt(router).table().Find({1});
  const target_id hashed = FirstOf(*service->current, HashFlow(flow->key));
  if (hashed != flow->hashed_owner) flow->broken_by_hash = true;
  target_id& cached = flow->cached[router];
  if (cached.sequence == 0) cached = hashed;
  if (cached != flow->hashed_owner) flow->broken_by_cache = true;
  const std::optional<target_id> reached =
      bus->Send(flow->key, flow_opening::kNo, router);
  if (!reached) ++flow->undelivered;
  if (reached && *reached != flow->owner) flow->broken_by_chain = true;
}

void PlannedChange(random_source* random, packet_bus* bus,
                   std::vector<tracked_flow>* flows) {
  const std::vector<target_id> serving = bus->Targets(true);
  const target_id some = serving[(*random)() % serving.size()];
  switch ((*random)() % 4) {
    case 0:
      bus->Join();
      return;
    case 1:
      bus->Drain(some);
      return;
    case 2:
      bus->SetCapacity(some, 1 + (*random)() % 4);
      return;
    default: {
      const std::size_t router = (*random)() % kRouters;
      bus->RestartRouter(router);
      for (tracked_flow& flow : *flows) flow.cached[router] = {};
    }
  }
}

void MeasureBroken(report& figures) {
  packet_bus bus(kRouters, kFirstTargets);
  random_source random(kSeed);
  std::vector<tracked_flow> flows(kLongFlows);
  std::uint32_t number = 0;
  for (tracked_flow& flow : flows) {
    flow.key = packet_bus::KeyOf(number, ip_protocol::kTcp);
    const std::size_t router = number++ % kRouters;
    flow.owner = *bus.Send(flow.key, flow_opening::kYes, router);
    const placed_service* service = bus.RouterAt(router).table().Find({1});
    flow.hashed_owner = FirstOf(*service->current, HashFlow(flow.key));
    flow.cached[router] = flow.hashed_owner;
  }
  for (std::size_t change = 0; change < kChanges; ++change) {
    PlannedChange(&random, &bus, &flows);
    // Each router is at a revision of its own.
    for (std::size_t router = 0; router < kRouters; ++router)
      bus.Update(router, random() % 3);
    for (tracked_flow& flow : flows)
      SendAllWays(random() % kRouters, &bus, &flow);
    bus.Advance(std::chrono::seconds(5));
  }
  std::uint32_t hash = 0;
  std::uint32_t cache = 0;
  std::uint32_t chain = 0;
  for (const tracked_flow& flow : flows) {
    hash += flow.broken_by_hash ? 1 : 0;
    cache += flow.broken_by_cache ? 1 : 0;
    chain += flow.broken_by_chain ? 1 : 0;
  }
  const std::string history =
      fmt::format(" of {} in {} planned changes", kLongFlows, kChanges);
  figures.Add({"placement", "broken by plain consistent hashing" + history,
               static_cast<double>(hash), "flows", ""});
  figures.Add({"placement", "broken with flow caches" + history,
               static_cast<double>(cache), "flows", ""});
  figures.Add({"placement", "broken with chaining" + history,
               static_cast<double>(chain), "flows", "0"});
  std::uint32_t undelivered = 0;
  for (const tracked_flow& flow : flows) undelivered += flow.undelivered;
  figures.Add({"placement", "packets not delivered with chaining",
               static_cast<double>(undelivered), "packets", "0"});
  figures.Add({"placement", "resets with chaining",
               static_cast<double>(bus.resets()), "flows", "0"});
}

void Run(report& figures) {
  MeasureMoved(figures);
  MeasureImbalance(figures);
  MeasureBroken(figures);
}

const registration kRegistration("placement", Run);

}  // namespace
}  // namespace tamaracklatch::bench
