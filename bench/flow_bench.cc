// Decisions a second on one core and bytes a flow, in balancer and target
// daemon, and the cost of the envelope.
#include <fmt/format.h>

#include <algorithm>

#include "packet_bus.h"
#include "report.h"
#include "tamaracklatch/core/random.h"
#include "tamaracklatch/transport/wire.h"

namespace tamaracklatch::bench {
namespace {

constexpr envelope_key kKey{1, 2, 3, 4};
constexpr std::uint64_t kSeed = 20261204;
constexpr std::uint32_t kDecisions = 2000000;
constexpr std::size_t kTargets = 7;
constexpr std::uint32_t kFlowCounts[] = {1000, 100000, 1000000};

// Keys in an order that no cache of the processor foresees.
std::vector<flow_key> Keys(std::uint32_t count, ip_protocol protocol) {
  std::vector<flow_key> keys;
  keys.reserve(count);
  for (std::uint32_t flow = 0; flow < count; ++flow)
    keys.push_back(packet_bus::KeyOf(flow, protocol));
  random_source random(kSeed);
  std::shuffle(keys.begin(), keys.end(), random);
  return keys;
}

void MeasureRouter(std::uint32_t count, report& figures) {
  packet_bus bus(1, kTargets);
  flow_router& router = bus.RouterAt(0);
  const std::vector<flow_key> keys = Keys(count, ip_protocol::kTcp);
  packet what;
  what.opens = flow_opening::kNo;
  routed_packet out;
  const auto route = [&](std::uint32_t decisions) {
    for (std::uint32_t step = 0; step < decisions; ++step) {
      what.key = keys[step % count];
      router.Route(what, bus.now(), &out);
    }
  };
  if (count == kFlowCounts[0]) {
    const double seconds = SecondsOf([&]() { route(kDecisions); });
    figures.Add({"flow", "balancer, no owner cached", kDecisions / seconds,
                 "decisions/s", "> 2e6"});
  }
  envelope hint;
  hint.kind = envelope_kind::kHint;
  hint.service = {1};
  hint.target = bus.Targets(true)[0];
  for (const flow_key& key : keys) {
    hint.key = key;
    router.OnEnvelope(hint, bus.now());
  }
  const double seconds = SecondsOf([&]() { route(kDecisions); });
  const auto cached = static_cast<double>(router.cached_flows());
  figures.Add({"flow", fmt::format("balancer, {} flows cached", count),
               kDecisions / seconds, "decisions/s", "> 2e6"});
  figures.Add({"flow", fmt::format("balancer, {} flows, cache", count),
               static_cast<double>(router.CacheBytes()) / cached, "bytes/flow",
               "<= 64"});
  figures.Add({"flow", fmt::format("balancer, {} flows, kept in cache", count),
               cached / count, "share", ""});
}

void MeasureOwner(std::uint32_t count, report& figures) {
  packet_bus bus(1, 1);
  const target_id self = bus.Targets(true)[0];
  flow_owner& owner = bus.OwnerOf(self);
  const std::vector<flow_key> keys = Keys(count, ip_protocol::kTcp);
  envelope what;
  what.service = {1};
  what.target = self;
  what.started = {1};
  what.origin = {MakeV4(0x0a080000), 7000};
  std::vector<owner_action> actions;
  const auto receive = [&](std::uint32_t decisions, flow_opening opens) {
    what.opens = opens;
    for (std::uint32_t step = 0; step < decisions; ++step) {
      what.key = keys[step % count];
      owner.OnEnvelope(what, bus.now(), &actions);
      actions.clear();
    }
  };
  const double opening =
      SecondsOf([&]() { receive(count, flow_opening::kYes); });
  const double seconds =
      SecondsOf([&]() { receive(kDecisions, flow_opening::kNo); });
  figures.Add({"flow", fmt::format("target daemon, {} flows opened", count),
               count / opening, "decisions/s", ""});
  figures.Add({"flow", fmt::format("target daemon, {} flows, known", count),
               kDecisions / seconds, "decisions/s", "> 2e6"});
  figures.Add({"flow", fmt::format("target daemon, {} flows", count),
               static_cast<double>(owner.MemoryBytes()) / count, "bytes/flow",
               "<= 160"});
}

// The same fields through wire_writer, to compare.
std::size_t WriteAsMessage(const envelope& what) {
  wire_writer writer;
  writer.Array(14 + what.candidate_count * 3U);
  writer.Number(static_cast<std::uint64_t>(what.kind));
  writer.Number(static_cast<std::uint64_t>(what.opens));
  writer.Write(what.service);
  writer.Write(what.target);
  writer.Write(what.started);
  writer.Write(what.at);
  writer.Write(endpoint{what.key.source, what.key.source_port});
  writer.Write(endpoint{what.key.destination, what.key.destination_port});
  writer.Write(what.origin);
  writer.Number(what.hops);
  writer.Number(what.load);
  writer.Number(what.visited);
  writer.Number(what.best);
  for (std::size_t at = 0; at < what.candidate_count; ++at) {
    writer.Write(what.candidates[at].id);
    writer.Write(what.candidates[at].started);
    writer.Write(what.candidates[at].packets);
  }
  writer.Text(what.payload);
  return writer.bytes().size();
}

void MeasureEnvelope(std::size_t payload_size, report& figures) {
  const std::string payload(payload_size, 'x');
  envelope what;
  what.service = {1};
  what.target = {1, 1};
  what.key = packet_bus::KeyOf(1, ip_protocol::kUdp);
  what.payload = payload;
  what.Add({{1, 1}, {1}, {MakeV4(1), 1}});
  what.Add({{2, 1}, {2}, {MakeV4(2), 1}});
  constexpr std::uint32_t kRounds = 500000;
  std::string bytes;
  std::size_t sum = 0;
  const double encode = SecondsOf([&]() {
    for (std::uint32_t round = 0; round < kRounds; ++round)
      EncodeEnvelope(what, kKey, &bytes);
  });
  const double decode = SecondsOf([&]() {
    for (std::uint32_t round = 0; round < kRounds; ++round)
      sum += DecodeEnvelope(bytes, kKey, nullptr)->payload.size();
  });
  const double message = SecondsOf([&]() {
    for (std::uint32_t round = 0; round < kRounds; ++round)
      sum += WriteAsMessage(what);
  });
  const std::string of = fmt::format(", {} bytes of payload", payload_size);
  figures.Add(
      {"flow", "envelope written" + of, kRounds / encode, "envelopes/s", ""});
  figures.Add(
      {"flow", "envelope read" + of, kRounds / decode, "envelopes/s", ""});
  figures.Add({"flow", "as MessagePack, without a code, written" + of,
               sum == 0 ? 0 : kRounds / message, "envelopes/s", ""});
  figures.Add({"flow", "envelope header" + of,
               static_cast<double>(bytes.size() - payload_size), "bytes", ""});
}

void Run(report& figures) {
  for (const std::uint32_t count : kFlowCounts) MeasureRouter(count, figures);
  for (const std::uint32_t count : kFlowCounts) MeasureOwner(count, figures);
  MeasureEnvelope(64, figures);
  MeasureEnvelope(1400, figures);
}

const registration kRegistration("flow", Run);

}  // namespace
}  // namespace tamaracklatch::bench
