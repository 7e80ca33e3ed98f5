// Processor time that a balancer spends on control: taking changes into its
// view and placements, and serving the nodes below it, as slopes.
#include <algorithm>
#include <cstdlib>
#include <string>
#include <vector>

#include "baseline.h"
#include "report.h"
#include "tamaracklatch/control/view_codec.h"
#include "tamaracklatch/distribution/relay_node.h"
#include "tamaracklatch/placement/placement_table.h"

namespace tamaracklatch::bench {
namespace {

constexpr const char* kSection = "node";
constexpr std::uint32_t kServices = 50;
constexpr std::uint32_t kTargetsPerService = 20;
constexpr std::size_t kRepeats = 3;  // the smallest of these counts
const std::vector<std::uint32_t> kSizes{500, 1000, 2000};

service_document Document(std::uint32_t number, std::uint64_t version) {
  service_document document;
  document.service = "booking-desk-" + std::to_string(number);
  document.version = version;
  document.addresses = {{{MakeV4(0x0a000000U + number), 5000},
                         ip_protocol::kUdp,
                         port_kind::kUdpDatagram}};
  document.eligible.zones = {"kl-1", "kl-2", "kl-3", "kl-4"};
  for (const char* name : {"hold", "stock", "report", "browse"}) {
    request_class kind;
    kind.name = name;
    kind.guaranteed_share = 0.125;
    document.classes.push_back(kind);
  }
  return document;
}

target_record Target(std::uint32_t number, std::uint32_t capacity) {
  const ip_address own = MakeV4(0x0b000000U + number);
  target_record target;
  target.id = {number, 1};
  target.service = {number % kServices + 1};
  target.started = {number + 1};
  target.vm = "booking-desk-vm-" + std::to_string(number);
  target.zone = "kl-1";
  target.packets = {own, 7300};
  target.relay = {own, 7302};
  target.requests = {own, 7303};
  target.capacity = capacity;
  return target;
}

cluster_view FullView() {
  cluster_view view;
  revision at{1};
  for (std::uint32_t i = 0; i < kServices; ++i, ++at.value)
    view.Apply({at, {service_put{{{i + 1}, Document(i, 1)}}}});
  for (std::uint32_t i = 0; i < kServices * kTargetsPerService; ++i, ++at.value)
    view.Apply({at, {target_put{Target(i, 4)}}});
  return view;
}

view_change TargetChange(std::uint32_t i) {
  return target_put{Target(i % (kServices * kTargetsPerService), 5 + i % 3)};
}

view_change DocumentChange(std::uint32_t i) {
  return service_put{{{i % kServices + 1}, Document(i % kServices, i + 2)}};
}

// Decoding, view, placement, and the first bucket asked for, of each change.
double ApplySeconds(view_change (*change)(std::uint32_t), std::uint32_t count) {
  cluster_view view = FullView();
  placement_table table;
  table.Reset(view, time_point());
  std::vector<std::string> encoded;
  encoded.reserve(count);
  for (std::uint32_t i = 0; i < count; ++i)
    encoded.push_back(EncodeChange(change(i)));
  return SecondsOf([&] {
    for (std::uint32_t i = 0; i < count; ++i) {
      const auto decoded = DecodeChange(encoded[i]);
      if (!decoded) std::abort();
      const revision_changes step{{view.at.value + 1}, {*decoded}};
      view.Apply(step);
      table.Apply(step, time_point(std::chrono::milliseconds(i)));
      table.Find({i % kServices + 1})->current->CandidatesOf(0);
    }
  });
}

double ApplySlope(view_change (*change)(std::uint32_t)) {
  std::vector<sample> samples;
  samples.reserve(kSizes.size());
  for (const std::uint32_t count : kSizes) {
    double best = ApplySeconds(change, count);
    for (std::size_t i = 1; i < kRepeats; ++i)
      best = std::min(best, ApplySeconds(change, count));
    samples.push_back({static_cast<double>(count), best});
  }
  return Slope(samples);
}

// Reading a frame and writing the same again, as for each child.
double DeltaSlope(view_change (*change)(std::uint32_t)) {
  std::vector<sample> samples;
  samples.reserve(kSizes.size());
  delta message;
  message.revisions = {{{7}, {{{1}, EncodeChange(change(1))}}}};
  const std::string bytes = Encode(relay_message(message));
  for (const std::uint32_t count : kSizes) {
    const double seconds = SecondsOf([&] {
      for (std::uint32_t i = 0; i < count; ++i) {
        const auto read = DecodeRelayMessage(bytes);
        if (!read || Encode(*read).size() != bytes.size()) std::abort();
      }
    });
    samples.push_back({static_cast<double>(count), seconds});
  }
  return Slope(samples);
}

void Run(report& figures) {
  const auto add = [&](const char* name, double seconds) {
    figures.Add(
        {kSection, name, seconds / BaselineSeconds(), "baselines/change", ""});
  };
  add("slope: take in a target's change", ApplySlope(&TargetChange));
  add("slope: take in a document's change", ApplySlope(&DocumentChange));
  add("slope: read and write a delta of a target", DeltaSlope(&TargetChange));
  add("slope: read and write a delta of a document",
      DeltaSlope(&DocumentChange));
}

const registration kRegistration(kSection, &Run);

}  // namespace
}  // namespace tamaracklatch::bench
