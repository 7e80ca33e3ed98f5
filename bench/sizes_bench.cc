// Bytes of the messages between processes and of the state that a node keeps:
// figures that no machine's speed changes.
#include <malloc.h>

#include <cstdlib>
#include <functional>
#include <string>
#include <vector>

#include "baseline.h"
#include "report.h"
#include "tamaracklatch/control/control_state.h"
#include "tamaracklatch/control/view_codec.h"
#include "tamaracklatch/distribution/relay_messages.h"
#include "tamaracklatch/flow/envelope.h"
#include "tamaracklatch/flow/flow_owner.h"
#include "tamaracklatch/flow/flow_router.h"
#include "tamaracklatch/membership/announcement.h"
#include "tamaracklatch/placement/placement_table.h"

namespace tamaracklatch::bench {
namespace {

constexpr const char* kSection = "sizes";
constexpr std::uint32_t kTargetsPerService = 20;
const std::vector<std::uint32_t> kSizes{50, 100, 200, 400};
// Powers of two: tables double.
const std::vector<std::uint32_t> kFlowSizes{16384, 32768, 65536, 131072};

std::string Numbered(const char* text, std::uint32_t number) {
  return text + std::to_string(number);
}

// About the size of the documents of today's users, one kilobyte.
service_document Document(std::uint32_t number) {
  service_document document;
  document.service = Numbered("booking-desk-", number);
  document.version = 1;
  const ip_address own = MakeV4(0x0a000000U + number);
  document.addresses = {
      {{own, 5000}, ip_protocol::kUdp, port_kind::kUdpDatagram},
      {{own, 5001}, ip_protocol::kTcp, port_kind::kTcpRelay}};
  document.eligible.zones = {"kl-1", "kl-2", "kl-3", "kl-4"};
  document.shares = {{"kl-1", {}, 2}, {"", {}, 1}};
  for (const char* name : {"hold", "stock", "report", "browse"}) {
    request_class kind;
    kind.name = name;
    kind.guaranteed_share = 0.125;
    document.classes.push_back(kind);
  }
  return document;
}

target_announcement Announcement(std::uint32_t service, std::uint32_t number) {
  const ip_address own = MakeV4(0x0b000000U + number);
  target_announcement result;
  result.key = {Numbered("booking-desk-vm-", number),
                Numbered("booking-desk-", service),
                {0x1234567890abcdefULL + number}};
  result.generation = 1'796'000'000'000'000 + number;
  result.zone = "kl-1";
  result.packets = {own, 7300};
  result.relay = {own, 7302};
  result.requests = {own, 7303};
  result.capacity = 4;
  return result;
}

target_record Record(std::uint32_t number) {
  const target_announcement told = Announcement(1, number);
  target_record result;
  result.id = {number, 1};
  result.service = {number / kTargetsPerService + 1};
  result.started = told.key.started;
  result.vm = told.key.vm;
  result.zone = told.zone;
  result.packets = told.packets;
  result.relay = told.relay;
  result.requests = told.requests;
  result.capacity = told.capacity;
  return result;
}

// Bytes in use of the process's heap.
double HeapBytes() {
  const struct mallinfo2 now = mallinfo2();
  return static_cast<double>(now.uordblks + now.hblkhd);
}

// Slope of the heap that `build` leaves in use over its argument.
template <typename State>
double HeapSlope(const std::function<void(State*, std::uint32_t)>& build) {
  std::vector<sample> samples;
  for (const std::uint32_t count : kSizes) {
    const double before = HeapBytes();
    State state;
    build(&state, count);
    samples.push_back({static_cast<double>(count), HeapBytes() - before});
  }
  return Slope(samples);
}

void AddServices(cluster_view* view, std::uint32_t count) {
  for (std::uint32_t i = 1; i <= count; ++i)
    view->Apply({{i}, {service_put{{{i}, Document(i)}}}});
}

void AddTargets(cluster_view* view, std::uint32_t count) {
  AddServices(view, kSizes.back() / kTargetsPerService + 1);
  for (std::uint32_t i = 0; i < count; ++i)
    view->Apply({{1000 + i}, {target_put{Record(i)}}});
}

// The placements of a balancer, each asked for a bucket.
void Place(placement_table* table, const cluster_view& view) {
  table->Reset(view, time_point());
  for (const auto& entry : table->services())
    entry.second.current->CandidatesOf(0);
}

void PlaceServices(placement_table* table, std::uint32_t count) {
  cluster_view view;
  AddServices(&view, count);
  Place(table, view);
}

void PlaceTargets(placement_table* table, std::uint32_t count) {
  cluster_view view;
  AddTargets(&view, count);
  Place(table, view);
}

flow_key FlowKey(std::uint32_t number) {
  return {MakeV4(0x0c000000U + number), MakeV4(0x0a000001U), 4000, 5000,
          ip_protocol::kUdp};
}

cluster_view OneTarget() {
  cluster_view view;
  view.Apply({{1}, {service_put{{{1}, Document(1)}}}});
  target_record target = Record(0);
  target.service = {1};
  target.id = {0, 1};
  view.Apply({{2}, {target_put{target}}});
  return view;
}

double CacheBytes(std::uint32_t flows) {
  flow_router router({});
  router.Reset(OneTarget(), time_point());
  envelope hint;
  hint.kind = envelope_kind::kHint;
  hint.service = {1};
  hint.target = {0, 1};
  for (std::uint32_t i = 0; i < flows; ++i) {
    hint.key = FlowKey(i);
    router.OnEnvelope(hint, time_point());
  }
  return static_cast<double>(router.CacheBytes());
}

double OwnerBytes(std::uint32_t flows) {
  const target_record target = Record(0);
  flow_owner_settings settings;
  settings.service = {1};
  settings.self = {0, 1};
  settings.started = target.started;
  settings.packets = target.packets;
  flow_owner owner(settings, time_point());
  std::vector<owner_action> actions;
  owner.Reset(OneTarget(), time_point(), &actions);
  envelope what;
  what.opens = flow_opening::kYes;
  what.service = {1};
  what.target = settings.self;
  what.started = settings.started;
  what.at = {2};
  what.Add({settings.self, settings.started, settings.packets});
  for (std::uint32_t i = 0; i < flows; ++i) {
    what.key = FlowKey(i);
    owner.OnEnvelope(what, time_point(), &actions);
    actions.clear();
  }
  if (owner.flow_count() != flows) std::abort();
  return static_cast<double>(owner.MemoryBytes());
}

double FlowSlope(double (*bytes)(std::uint32_t)) {
  std::vector<sample> samples;
  samples.reserve(kFlowSizes.size());
  for (const std::uint32_t flows : kFlowSizes)
    samples.push_back({static_cast<double>(flows), bytes(flows)});
  return Slope(samples);
}

void Submit(control_state* state, std::uint32_t count) {
  for (std::uint32_t i = 1; i <= count; ++i) {
    const submit_document body{CanonicalText(Document(i)), "team"};
    state->Apply({i}, Encode(control_command{i, body}));
  }
}

void Join(control_state* state, std::uint32_t count) {
  Submit(state, kSizes.back() / kTargetsPerService + 1);
  for (std::uint32_t i = 0; i < count; ++i) {
    membership_batch batch;
    batch.joins = {Announcement(i / kTargetsPerService + 1, i)};
    state->Apply({1000 + i}, Encode(control_command{i, batch}));
  }
}

double SnapshotSlope(void (*build)(control_state*, std::uint32_t)) {
  std::vector<sample> samples;
  for (const std::uint32_t count : kSizes) {
    control_state state;
    build(&state, count);
    samples.push_back({static_cast<double>(count),
                       static_cast<double>(state.Snapshot().size())});
  }
  return Slope(samples);
}

// Bytes of a delta message for each revision that it carries.
double DeltaSlope(const view_change& change) {
  std::vector<sample> samples;
  for (const std::uint32_t count : kSizes) {
    delta message;
    for (std::uint32_t i = 1; i <= count; ++i) {
      message.revisions.push_back(
          {{1'000'000 + i}, {{{77}, EncodeChange(change)}}});
    }
    samples.push_back(
        {static_cast<double>(count),
         static_cast<double>(Encode(relay_message(message)).size())});
  }
  return Slope(samples);
}

pull IdlePull() {
  pull message;
  message.node = {"entry-vm-1234", {0x1234567890abcdefULL}};
  message.known = {1'000'000};
  message.below = {{{1'000'000}, 1, 0x1234567890abcdefULL}};
  return message;
}

double EnvelopeBytes(std::uint8_t candidates) {
  envelope what;
  for (std::uint8_t i = 0; i < candidates; ++i)
    what.Add({{i, 1U}, {1}, {MakeV4(i), 7300}});
  std::string bytes;
  EncodeEnvelope(what, {}, &bytes);
  return static_cast<double>(bytes.size());
}

void Run(report& figures) {
  const auto add = [&](const char* name, double value, const char* unit) {
    figures.Add({kSection, name, value, unit, ""});
  };
  add("canonical text of a document",
      static_cast<double>(CanonicalText(Document(1)).size()), "bytes");
  add("slope: delta, by documents changed",
      DeltaSlope(service_put{{{77}, Document(1)}}), "bytes/change");
  add("slope: delta, by targets put", DeltaSlope(target_put{Record(1)}),
      "bytes/change");
  add("slope: delta, by targets removed", DeltaSlope(target_removed{{1, 1}}),
      "bytes/change");
  add("delta without changes",
      static_cast<double>(Encode(relay_message(delta{})).size()), "bytes");
  add("pull without news",
      static_cast<double>(Encode(relay_message(IdlePull())).size()), "bytes");
  add("lease renewal",
      static_cast<double>(
          Encode(lease_renewal{Announcement(1, 1), 1000}).size()),
      "bytes");
  lease_answer answer;
  answer.number = 1000;
  answer.lease = std::chrono::seconds(10);
  add("lease answer", static_cast<double>(Encode(answer).size()), "bytes");
  add("envelope, no candidate", EnvelopeBytes(0), "bytes");
  add("slope: envelope, by candidates",
      (EnvelopeBytes(8) - EnvelopeBytes(2)) / 6.0, "bytes/candidate");
  add("slope: heap of the view, by services",
      HeapSlope<cluster_view>(&AddServices), "bytes/service");
  add("slope: heap of the view, by targets",
      HeapSlope<cluster_view>(&AddTargets), "bytes/target");
  add("slope: heap of the placements, by services",
      HeapSlope<placement_table>(&PlaceServices), "bytes/service");
  add("slope: heap of the placements, by targets",
      HeapSlope<placement_table>(&PlaceTargets), "bytes/target");
  add("slope: flow cache of a balancer", FlowSlope(&CacheBytes), "bytes/flow");
  add("slope: flow table of a target daemon", FlowSlope(&OwnerBytes),
      "bytes/flow");
  add("slope: heap of the control state, by services",
      HeapSlope<control_state>(&Submit), "bytes/service");
  add("slope: heap of the control state, by targets",
      HeapSlope<control_state>(&Join), "bytes/target");
  add("slope: control snapshot, by services", SnapshotSlope(&Submit),
      "bytes/service");
  add("slope: control snapshot, by targets", SnapshotSlope(&Join),
      "bytes/target");
}

const registration kRegistration(kSection, &Run);

}  // namespace
}  // namespace tamaracklatch::bench
