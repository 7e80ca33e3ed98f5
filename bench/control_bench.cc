// Processor time of the control state's commands at the target size, and of its
// snapshots and of the in-force tracker.
#include <fmt/format.h>

#include <string>

#include "../tests/support/virtual_network.h"
#include "report.h"
#include "tamaracklatch/control/control_state.h"
#include "tamaracklatch/control/in_force_tracker.h"

namespace tamaracklatch::bench {
namespace {

constexpr std::uint32_t kServices = 6100;
constexpr std::uint32_t kTargets = 120000;
constexpr std::uint32_t kNodes = 11000;
constexpr std::size_t kDocumentZones = 38;  // makes a document of about 1 KB
constexpr double kChangesPerSecond = 0.76;

std::string Submission(std::uint32_t service, std::uint64_t version) {
  control_command command;
  command.body = submit_document{
      CanonicalText(test::MakeDocument(fmt::format("service-{}", service),
                                       version, 1 + service, kDocumentZones)),
      "operator"};
  return Encode(command);
}

target_announcement Announcement(std::uint32_t index, std::uint64_t start) {
  target_announcement target;
  target.key = {fmt::format("target-{}", index),
                fmt::format("service-{}", index % kServices),
                incarnation{start * kTargets + index + 1}};
  target.generation = start;
  target.zone = "availability-zone-1";
  target.packets = {MakeV4(0x0a000000 + index), 7000};
  target.relay = {MakeV4(0x0a000000 + index), 7001};
  target.requests = {MakeV4(0x0a000000 + index), 7002};
  target.capacity = 4;
  return target;
}

std::string Join(std::uint32_t first, std::uint32_t count,
                 std::uint64_t start) {
  membership_batch batch;
  batch.joins.reserve(count);
  for (std::uint32_t i = 0; i < count; ++i)
    batch.joins.push_back(Announcement(first + i, start));
  control_command command;
  command.body = batch;
  return Encode(command);
}

void MeasureCommands(report& figures, control_state* state) {
  constexpr int kRounds = 200;
  constexpr std::uint32_t kBatch = 100;
  std::uint64_t at = state->applied().value;
  double seconds = SecondsOf([&]() {
    for (std::uint32_t i = 0; i < kRounds; ++i)
      state->Apply(revision{++at}, Submission(i, 2));
  });
  const double submission = seconds / kRounds;
  figures.Add({"control", "accepted document of 1 KB, full state",
               1e6 * submission, "us", ""});
  seconds = SecondsOf([&]() {
    for (std::uint32_t i = 0; i < kRounds; ++i)
      state->Apply(revision{++at}, Submission(i, 2));
  });
  figures.Add({"control", "resent document of 1 KB, full state",
               1e6 * seconds / kRounds, "us", ""});
  seconds = SecondsOf([&]() {
    for (std::uint32_t i = 0; i < kRounds; ++i)
      state->Apply(revision{++at}, Join(i * kBatch, kBatch, 2));
  });
  figures.Add({"control", "restarted target in a batch of 100, full state",
               1e6 * seconds / kRounds / kBatch, "us", ""});
  figures.Add({"control", "documents at 0.76 a second",
               100.0 * submission * kChangesPerSecond, "% of a core", "< 1.6"});
}

void MeasureSnapshots(report& figures, control_state* state) {
  std::string bytes;
  double seconds = SecondsOf([&]() { bytes = state->Snapshot(); });
  figures.Add({"control", "snapshot of the full state",
               static_cast<double>(bytes.size()) / 1e6, "MB", ""});
  figures.Add({"control", "writing it", 1e3 * seconds, "ms", ""});
  control_state restored;
  failure why;
  bool read = false;
  seconds = SecondsOf([&]() { read = restored.Restore(bytes, &why); });
  const bool same = read && restored.Snapshot() == bytes;
  figures.Add({"control", "restoring it", 1e3 * seconds, "ms", ""});
  figures.Add(
      {"control", "equal bytes after it", same ? 1.0 : 0.0, "yes = 1", "1"});
}

void MeasureTracker(report& figures) {
  std::vector<node_identity> names;
  progress all{revision{1}, 0, 0};
  for (std::uint32_t i = 0; i < kNodes; ++i) {
    names.push_back({fmt::format("node-{}", i), incarnation{i + 1}});
    ++all.nodes;
    all.identities += HashIdentity(names.back());
  }
  in_force_tracker tracker({});
  tracker.OnAccepted(revision{1});
  known_nodes known;
  known_nodes_batch recorded;
  for (const node_identity& node : names) recorded.added.push_back(node.name);
  known.Apply(revision{1}, recorded);
  constexpr int kRounds = 20;
  const double seconds = SecondsOf([&]() {
    for (int i = 0; i < kRounds; ++i) {
      const time_point now{std::chrono::milliseconds(i)};
      tracker.SetExpectedNodes(known, {}, now);
      tracker.Update({all}, names, {}, now);
      tracker.NextRecordBatch(known, now);
    }
  });
  figures.Add({"control", "in-force update with 11000 nodes",
               1e3 * seconds / kRounds, "ms", ""});
}

void MeasureControl(report& figures) {
  constexpr std::uint32_t kBatch = 1000;
  control_state state;
  std::uint64_t at = 0;
  const double seconds = SecondsOf([&]() {
    for (std::uint32_t i = 0; i < kServices; ++i)
      state.Apply(revision{++at}, Submission(i, 1));
    for (std::uint32_t i = 0; i < kTargets; i += kBatch)
      state.Apply(revision{++at}, Join(i, kBatch, 1));
  });
  figures.Add({"control", "replay of 6100 documents and 120000 joins", seconds,
               "s", ""});
  MeasureCommands(figures, &state);
  MeasureSnapshots(figures, &state);
  MeasureTracker(figures);
}

const registration kControl("control", MeasureControl);

}  // namespace
}  // namespace tamaracklatch::bench
