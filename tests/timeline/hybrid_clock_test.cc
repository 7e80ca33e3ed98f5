// Tests of the hybrid clock: stamps follow every chain of causes, whatever the
// wall clocks say.
#include "tamaracklatch/timeline/hybrid_clock.h"

#include <algorithm>
#include <sstream>
#include <string>
#include <vector>

#include "support/property.h"
#include "tamaracklatch/timeline/timeline_merge.h"

namespace tamaracklatch {
namespace {

constexpr std::size_t kProcesses = 4;
constexpr wall_time kStart{duration(1'796'000'000'000'000)};

// A vector clock: the events of each process that an event could depend on.
using vector_clock = std::vector<std::uint64_t>;

struct recorded {
  timeline_entry entry;
  vector_clock causes;
};

// Processes that send each other messages, each with a wall clock of its own.
class exchange {
 public:
  exchange()
      : clocks_(kProcesses),
        causes_(kProcesses, vector_clock(kProcesses)),
        offsets_(*rc::gen::container<std::vector<std::int64_t>>(
            kProcesses,
            rc::gen::inRange<std::int64_t>(-5'000'000, 5'000'000))) {}

  void Step() {
    const auto from = *rc::gen::inRange<std::size_t>(0, kProcesses);
    const auto to = *rc::gen::inRange<std::size_t>(0, kProcesses);
    elapsed_ += *rc::gen::inRange<std::int64_t>(0, 3);
    // A clock may be set back or forward at any time.
    if (*rc::gen::inRange(0, 20) == 0)
      offsets_[from] = *rc::gen::inRange<std::int64_t>(-5'000'000, 5'000'000);
    const hybrid_stamp sent = Record(from);
    if (from == to) return;
    RC_ASSERT(clocks_[to].Merge(sent, Now(to)));
    for (std::size_t i = 0; i < kProcesses; ++i)
      causes_[to][i] = std::max(causes_[to][i], causes_[from][i]);
    Record(to);
  }

  const std::vector<recorded>& events() const { return events_; }

 private:
  wall_time Now(std::size_t process) const {
    return kStart + duration(elapsed_ + offsets_[process]);
  }

  hybrid_stamp Record(std::size_t process) {
    ++causes_[process][process];
    recorded next;
    next.entry.stamp = clocks_[process].Tick(Now(process));
    next.entry.source = {"p" + std::to_string(process), "vm", "z"};
    next.entry.what.detail = std::to_string(events_.size());
    next.causes = causes_[process];
    events_.push_back(next);
    return next.entry.stamp;
  }

  std::vector<hybrid_clock> clocks_;
  std::vector<vector_clock> causes_;
  std::vector<std::int64_t> offsets_;
  std::int64_t elapsed_ = 0;
  std::vector<recorded> events_;
};

bool HappenedBefore(const recorded& left, const recorded& right) {
  bool differs = false;
  for (std::size_t i = 0; i < kProcesses; ++i) {
    if (left.causes[i] > right.causes[i]) return false;
    differs = differs || left.causes[i] < right.causes[i];
  }
  return differs;
}

Test(hybrid_clock, merged_order_respects_causality) {
  test::CheckProperty("causal order", [] {
    exchange run;
    for (int i = 0; i < 60; ++i) run.Step();
    // One file a process, merged in an arbitrary order of files.
    std::vector<std::string> files(kProcesses);
    for (const recorded& event : run.events()) {
      const std::size_t process = event.entry.source.process[1] - '0';
      files[process] += ToJsonLine(event.entry) + "\n";
    }
    timeline_merge merge({});
    const auto first = *rc::gen::inRange<std::size_t>(0, kProcesses);
    for (std::size_t i = 0; i < kProcesses; ++i) {
      std::istringstream lines(files[(first + i) % kProcesses]);
      merge.Read(lines);
    }
    const auto merged = merge.Finish();
    RC_ASSERT(merged.size() == run.events().size());
    for (std::size_t i = 0; i < merged.size(); ++i) {
      const recorded& earlier = run.events()[std::stoul(merged[i].what.detail)];
      for (std::size_t j = i + 1; j < merged.size(); ++j) {
        const recorded& later = run.events()[std::stoul(merged[j].what.detail)];
        RC_ASSERT(!HappenedBefore(later, earlier));
      }
    }
  });
}

Test(hybrid_clock, stays_close_to_the_fastest_wall_clock) {
  hybrid_clock clock;
  for (int i = 0; i < 1000; ++i) clock.Tick(kStart);
  const hybrid_stamp last = clock.Tick(kStart);
  cr_expect(last.Wall() == kStart);
  cr_expect(last.Counter() == 1000);
  cr_expect(clock.Tick(kStart + duration(1)).Counter() == 0);
}

Test(hybrid_clock, full_counter_carries_into_the_time) {
  hybrid_clock clock;
  hybrid_stamp before = clock.Tick(kStart);
  for (int i = 0; i < 5000; ++i) {
    const hybrid_stamp next = clock.Tick(kStart);
    cr_assert(before < next);
    before = next;
  }
  cr_expect(before.Wall() == kStart + duration(1));
}

struct merge_row {
  std::chrono::hours ahead;
  bool merged;
};

Test(hybrid_clock, refuses_stamps_far_ahead) {
  const std::vector<merge_row> rows{{std::chrono::hours(-1000), true},
                                    {std::chrono::hours(0), true},
                                    {std::chrono::hours(24), true},
                                    {std::chrono::hours(25), false}};
  for (const merge_row& row : rows) {
    hybrid_clock clock;
    const hybrid_stamp received = StampAt(kStart + row.ahead);
    cr_expect(clock.Merge(received, kStart) == row.merged);
    cr_expect(clock.refused() == (row.merged ? 0 : 1));
    const bool above = received < clock.Tick(kStart);
    cr_expect(above == row.merged);
  }
}

}  // namespace
}  // namespace tamaracklatch
