// What one event costs as a line of the log, and in the time line: the event
// loop, the writing thread and the operator's merge, as slopes over the number
// of events.
#include <algorithm>
#include <cstdlib>
#include <sstream>
#include <string>
#include <vector>

#include "baseline.h"
#include "report.h"
#include "tamaracklatch/timeline/hybrid_clock.h"
#include "tamaracklatch/timeline/timeline_entry.h"
#include "tamaracklatch/timeline/timeline_merge.h"
#include "tamaracklatch/timeline/timeline_queue.h"
#include "timeline/log_line.h"

namespace tamaracklatch::bench {
namespace {

constexpr const char* kSection = "timeline";
constexpr std::size_t kRepeats = 5;  // the smallest of these counts
constexpr wall_time kStart{duration(1'796'000'000'000'000)};
const std::vector<std::size_t> kSizes{10'000, 20'000, 40'000, 80'000};

event FlowEvent(std::uint64_t flow) {
  event what;
  what.id = event_id::kFlowOpened;
  what.at = {123'456};
  what.service = "booking-desk";
  what.flow = flow * 0x9e3779b97f4a7c15ULL;
  what.peer = "balancer-17";
  return what;
}

const timeline_source kSource{"booking-desk-1", "booking-desk-vm-1", "kl-1"};

std::vector<timeline_entry> Entries(std::size_t count) {
  std::vector<timeline_entry> entries;
  hybrid_clock clock;
  for (std::size_t i = 0; i < count; ++i)
    entries.push_back({clock.Tick(kStart), kSource, FlowEvent(i)});
  return entries;
}

// Stamping, copying and queueing: all that the event loop does.
double RecordSeconds(std::size_t count) {
  timeline_queue queue(count);
  hybrid_clock clock;
  const event what = FlowEvent(1);
  return SecondsOf([&] {
    for (std::size_t i = 0; i < count; ++i)
      queue.Push({clock.Tick(kStart), kSource, what});
  });
}

double FormatSeconds(const std::vector<timeline_entry>& entries,
                     std::size_t* bytes) {
  *bytes = 0;
  return SecondsOf([&] {
    for (const timeline_entry& entry : entries)
      *bytes += ToJsonLine(entry).size() + 1;
  });
}

double LogSeconds(std::size_t count, std::size_t* bytes) {
  log_line_writer writer({kSource.process, kSource.zone, "10.1.0.11:7720"});
  event what = FlowEvent(1);
  what.key = flow_key{MakeV4(0x0a090001), MakeV4(0x0a4d0001), 40112, 80,
                      ip_protocol::kTcp};
  *bytes = 0;
  return SecondsOf([&] {
    for (std::size_t i = 0; i < count; ++i)
      *bytes += writer.Write(what, "info", {time_point{}, kStart}).size() + 1;
  });
}

double MergeSeconds(const std::string& lines) {
  return SecondsOf([&] {
    std::istringstream stream(lines);
    timeline_merge merge({});
    merge.Read(stream);
    if (merge.Finish().empty()) std::abort();
  });
}

double TickSeconds(std::size_t count) {
  hybrid_clock clock;
  return SecondsOf([&] {
    for (std::size_t i = 0; i < count; ++i) {
      const hybrid_stamp stamp = clock.Tick(kStart);
      clock.Merge(stamp, kStart);
    }
  });
}

template <typename Measure>
double Smallest(Measure measure) {
  double best = measure();
  for (std::size_t i = 1; i < kRepeats; ++i) best = std::min(best, measure());
  return best;
}

void Run(report& figures) {
  const double baseline = BaselineSeconds();
  std::vector<sample> tick;
  std::vector<sample> record;
  std::vector<sample> format;
  std::vector<sample> bytes;
  std::vector<sample> merge;
  std::vector<sample> log;
  std::vector<sample> log_bytes;
  for (const std::size_t count : kSizes) {
    const auto size = static_cast<double>(count);
    const std::vector<timeline_entry> entries = Entries(count);
    std::size_t line_bytes = 0;
    std::string lines;
    for (const timeline_entry& entry : entries)
      lines += ToJsonLine(entry) + '\n';
    tick.push_back({size, Smallest([&] { return TickSeconds(count); })});
    record.push_back({size, Smallest([&] { return RecordSeconds(count); })});
    format.push_back(
        {size, Smallest([&] { return FormatSeconds(entries, &line_bytes); })});
    bytes.push_back({size, static_cast<double>(line_bytes)});
    log.push_back(
        {size, Smallest([&] { return LogSeconds(count, &line_bytes); })});
    log_bytes.push_back({size, static_cast<double>(line_bytes)});
    merge.push_back({size, Smallest([&] { return MergeSeconds(lines); })});
  }
  figures.Add(
      {kSection, "baseline: XXH3 of 64 bytes", baseline * 1e9, "ns", ""});
  const auto ratio = [&](const char* name, const std::vector<sample>& samples) {
    figures.Add(
        {kSection, name, Slope(samples) / baseline, "baselines/event", ""});
  };
  ratio("slope: stamp a message sent and merge one received", tick);
  ratio("slope: record an event on the event loop", record);
  ratio("slope: format an event on the writing thread", format);
  ratio("slope: read and merge an event", merge);
  ratio("slope: format a line of the log on the event loop", log);
  figures.Add({kSection, "slope: bytes of a flow event in the file",
               Slope(bytes), "bytes/event", ""});
  figures.Add({kSection, "slope: bytes of a flow event in the log",
               Slope(log_bytes), "bytes/event", ""});
  figures.Add({kSection, "bytes of an entry that waits, without long texts",
               static_cast<double>(sizeof(timeline_entry)), "bytes/event", ""});
}

const registration kRegistration(kSection, &Run);

}  // namespace
}  // namespace tamaracklatch::bench
