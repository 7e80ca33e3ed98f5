// Tests of the log of a process: its budget, readers that do not read, and what
// it says of lines that were left out.
#include "daemon/event_log.h"

#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>
#include <vector>

#include "support/property.h"

namespace tamaracklatch {
namespace {

constexpr time_point kStart{std::chrono::seconds(100)};
constexpr std::size_t kPipeBytes = 4096;
constexpr std::size_t kBufferBytes = 8192;

// Both ends of a pipe or of a pair of sockets, closed at the end of the test.
class channel {
 public:
  explicit channel(bool sockets = false) {
    const int made = sockets ? socketpair(AF_UNIX, SOCK_STREAM, 0, ends_.data())
                             : pipe(ends_.data());
    cr_assert(made == 0);
    if (!sockets) fcntl(ends_[1], F_SETPIPE_SZ, static_cast<int>(kPipeBytes));
    cr_assert(fcntl(ends_[0], F_SETFL, O_NONBLOCK) == 0);
  }
  ~channel() {
    CloseReader();
    close(ends_[1]);
  }
  channel(const channel&) = delete;
  channel& operator=(const channel&) = delete;

  int reader() const { return ends_[0]; }
  int writer() const { return ends_[1]; }

  void CloseReader() {
    if (ends_[0] >= 0) close(ends_[0]);
    ends_[0] = -1;
  }

  // What waits to be read, at most so many bytes.
  std::string Read(std::size_t most = SIZE_MAX) const {
    std::string text;
    std::array<char, 4096> part{};
    while (text.size() < most) {
      const ssize_t size = read(ends_[0], part.data(),
                                std::min(part.size(), most - text.size()));
      if (size <= 0) break;
      text.append(part.data(), static_cast<std::size_t>(size));
    }
    return text;
  }

 private:
  std::array<int, 2> ends_{-1, -1};
};

log_output_settings OutputTo(const channel& to) {
  log_output_settings settings;
  settings.descriptor = to.writer();
  settings.buffer_bytes = kBufferBytes;
  return settings;
}

// ---- the output ----

// A line and its number, so that what arrives can be told apart.
std::string Numbered(int number) {
  return std::to_string(number) + std::string(100, '.');
}

Test(log_output, reader_that_never_reads_costs_lines_only) {
  for (const bool sockets : {false, true}) {
    const channel to(sockets);
    log_output output(OutputTo(to));
    constexpr int kLines = 20000;
    int taken = 0;
    for (int i = 0; i < kLines; ++i) {
      if (output.Add(Numbered(i))) ++taken;
      cr_assert(output.waiting() <= kBufferBytes);
    }
    cr_expect(taken < kLines);
    // A reader that takes nothing is tried once, and again by Flush() only.
    const std::uint64_t writes = output.writes();
    for (int i = 0; i < kLines; ++i) cr_assert(!output.Add(Numbered(i)));
    cr_expect(output.writes() == writes);
    cr_expect(!output.Flush());
    cr_expect(output.writes() == writes + 1);
  }
}

// A reader that reads in steps of any size gets every line that was taken,
// whole and in order, however the writes were cut.
Test(log_output, slow_reader_gets_whole_lines) {
  test::CheckProperty("whole lines", [](bool sockets) {
    const channel to(sockets);
    std::string expected;
    std::string read;
    {
      log_output output(OutputTo(to));
      const auto steps = *rc::gen::container<std::vector<int>>(
          300, rc::gen::inRange<int>(0, 2000));
      for (const int step : steps) {
        const std::string line = Numbered(step);
        if (output.Add(line)) expected += line + "\n";
        if (step % 3 == 0) read += to.Read(static_cast<std::size_t>(step));
        if (step % 5 == 0) output.Flush();
      }
      while (!output.Flush()) read += to.Read();
    }
    read += to.Read();
    RC_ASSERT(read == expected);
  });
}

Test(log_output, flags_of_the_shared_description_stay) {
  const channel to;
  log_output output(OutputTo(to));
  output.Add("line");
  output.Flush();
  cr_expect((fcntl(to.writer(), F_GETFL) & O_NONBLOCK) == 0);
  cr_expect(to.Read() == "line\n");
}

Test(log_output, reader_that_is_gone) {
  std::signal(SIGPIPE, SIG_IGN);
  channel to;
  log_output output(OutputTo(to));
  to.CloseReader();
  cr_expect(output.Add("line"));
  cr_expect(output.Flush());
  cr_expect(!output.Add("line"));
}

Test(log_output, file_gets_everything) {
  std::string path = "/tmp/tamaracklatch-log-XXXXXX";
  const int file = mkstemp(path.data());
  cr_assert(file >= 0);
  log_output_settings settings;
  settings.descriptor = file;
  settings.buffer_bytes = kBufferBytes;
  std::size_t bytes = 0;
  {
    log_output output(settings);
    for (int i = 0; i < 1000; ++i) {
      cr_assert(output.Add(Numbered(i)));
      bytes += Numbered(i).size() + 1;
    }
  }
  cr_expect(lseek(file, 0, SEEK_END) == static_cast<off_t>(bytes));
  close(file);
  unlink(path.c_str());
}

// ---- the budget ----

Test(log_budget, never_more_than_the_budget_and_exact_counts) {
  test::CheckProperty("budget", [] {
    log_budget_settings settings;
    settings.lines_per_second = *rc::gen::inRange<std::uint32_t>(1, 200);
    settings.burst = *rc::gen::inRange<std::uint32_t>(1, 100);
    log_budget budget(settings);
    const std::array<event_id, 3> kinds{
        event_id::kFlowClaimed, event_id::kLinkDown, event_id::kFlowRefused};
    time_point now = kStart;
    std::map<event_id, std::vector<time_point>> taken;
    log_budget::left_out dropped;
    const auto steps = *rc::gen::container<std::vector<std::uint32_t>>(
        400, rc::gen::arbitrary<std::uint32_t>());
    for (const std::uint32_t step : steps) {
      // Mostly at once, now and then after up to half a second.
      if (step % 8 == 0) now += duration(step % 500000);
      const event_id kind = kinds.at(step % kinds.size());
      if (budget.Take(kind, now)) {
        taken[kind].push_back(now);
      } else {
        ++dropped[kind];
      }
    }
    RC_ASSERT(budget.dropped() == dropped);
    for (const auto& [kind, times] : taken) {
      for (std::size_t first = 0; first < times.size(); ++first) {
        for (std::size_t last = first; last < times.size(); ++last) {
          const std::int64_t allowed =
              settings.burst + (times[last] - times[first]).count() *
                                   settings.lines_per_second / 1000000;
          RC_ASSERT(static_cast<std::int64_t>(last - first) < allowed + 1);
        }
      }
    }
  });
}

Test(log_budget, kinds_do_not_take_from_each_other) {
  log_budget budget({1, 2});
  cr_expect(budget.Take(event_id::kLinkDown, kStart));
  cr_expect(budget.Take(event_id::kLinkDown, kStart));
  cr_expect(!budget.Take(event_id::kLinkDown, kStart));
  cr_expect(budget.Take(event_id::kLinkUp, kStart));
  cr_expect(!budget.Take(event_id::kLinkDown,
                         kStart + std::chrono::milliseconds(999)));
  cr_expect(budget.Take(event_id::kLinkDown,
                        kStart + std::chrono::milliseconds(1000)));
}

// ---- the log ----

// A log into a pipe, in virtual time.
struct trial {
  explicit trial(const log_budget_settings& budget = {}) : counts("p", "z") {
    event_log_settings settings;
    settings.source = {"desk-1", "kl-1", ""};
    settings.budget = budget;
    settings.output = OutputTo(to);
    log = std::make_unique<event_log>(
        settings, &counts,
        [this] {
          return log_time{now, wall_time(duration(1))};
        },
        [this](log_level) { ++wakes; });
  }

  void See(event_id id) {
    event what;
    what.id = id;
    log->OnEvent(what);
  }

  // How many lines of each event arrived, with those that notices tell of.
  void Count(const std::string& text) {
    std::istringstream lines(text);
    std::string line;
    while (std::getline(lines, line)) {
      const auto json = nlohmann::json::parse(line);
      const std::string name = json["event"];
      if (name == "log_lines_dropped") {
        const std::string kind = json["inputs"]["kind"];
        said[kind] += json["inputs"]["lines"].get<std::uint64_t>();
        ++notices;
      } else {
        ++arrived[name];
      }
    }
  }

  channel to;
  metrics counts;
  time_point now = kStart;
  std::unique_ptr<event_log> log;
  int wakes = 0;
  int notices = 0;
  std::map<std::string, std::uint64_t> arrived;
  std::map<std::string, std::uint64_t> said;
};

// Every event is either a line or counted in a notice, with a reader that comes
// and goes and a budget that is often used up.
Test(event_log, each_event_is_a_line_or_counted) {
  test::CheckProperty("lines and notices", [] {
    trial run({20, 10});
    const std::array<event_id, 3> kinds{
        event_id::kFlowClaimed, event_id::kLinkDown, event_id::kFlowRefused};
    std::map<std::string, std::uint64_t> seen;
    std::string text;
    const auto steps = *rc::gen::container<std::vector<std::uint32_t>>(
        500, rc::gen::arbitrary<std::uint32_t>());
    for (const std::uint32_t step : steps) {
      run.now += duration(step % 30000);
      const event_id kind = kinds.at(step % kinds.size());
      run.See(kind);
      ++seen[std::string(ToString(kind))];
      if (step % 7 == 0) run.log->Flush();
      if (step % 41 == 0) text += run.to.Read();
    }
    while (!run.log->Flush()) {
      run.now += std::chrono::seconds(1);
      text += run.to.Read();
    }
    run.Count(text + run.to.Read());
    for (const auto& [name, count] : seen)
      RC_ASSERT(run.arrived[name] + run.said[name] == count);
  });
}

Test(event_log, counts_are_in_the_metrics_once) {
  trial run({1, 2});
  for (int i = 0; i < 5; ++i) run.See(event_id::kLinkUp);
  event refused;
  refused.id = event_id::kFlowRefused;
  refused.code = result_code::kNoTarget;
  run.log->OnEvent(refused);
  for (int scrapes = 0; scrapes < 2; ++scrapes) {
    run.log->Export();
    const std::string text = run.counts.Text();
    const std::string labels = "{process=\"p\",zone=\"z\",";
    const std::vector<std::string> rows{
        "tamaracklatch_events_total" + labels + "kind=\"link_up\"} 5",
        "tamaracklatch_events_total" + labels + "kind=\"flow_refused\"} 1",
        "tamaracklatch_event_codes_total" + labels + "code=\"no_target\"} 1",
        "tamaracklatch_log_lines_dropped_total" + labels +
            "kind=\"link_up\"} 3"};
    for (const std::string& row : rows)
      cr_expect(text.find(row) != std::string::npos, "%s", row.c_str());
  }
}

Test(event_log, wakes_once_until_flushed) {
  trial run;
  for (int i = 0; i < 3; ++i) run.See(event_id::kLinkUp);
  cr_expect(run.wakes == 1);
  cr_expect(run.to.Read().empty());
  cr_expect(run.log->Flush());
  run.Count(run.to.Read());
  cr_expect(run.arrived["link_up"] == 3);
  run.See(event_id::kLinkUp);
  cr_expect(run.wakes == 2);
}

Test(event_log, refusal_wakes_though_information_waits) {
  trial run;
  event refused;
  refused.code = result_code::kNoTarget;
  run.See(event_id::kLinkUp);
  for (int i = 0; i < 2; ++i) run.log->OnEvent(refused);
  cr_expect(run.wakes == 2);
  run.log->Flush();
  run.log->OnEvent(refused);
  run.See(event_id::kLinkUp);
  cr_expect(run.wakes == 3);
}

Test(event_log, many_lines_are_written_before_the_flush) {
  trial run;
  for (int i = 0; i < 40; ++i) run.See(event_id::kLinkUp);
  cr_expect(!run.to.Read().empty());
}

Test(event_log, notices_are_bounded_and_the_last_one_comes_at_the_end) {
  trial run({1, 1});
  for (int second = 0; second < 3; ++second) {
    for (int i = 0; i < 100; ++i) {
      run.See(event_id::kLinkUp);
      run.log->Flush();
      run.now += std::chrono::milliseconds(10);
    }
  }
  run.Count(run.to.Read());
  cr_expect(run.notices <= 3, "%d", run.notices);
  run.log.reset();
  run.Count(run.to.Read());
  cr_expect(run.arrived["link_up"] + run.said["link_up"] == 300);
}

struct level_row {
  log_level level;
  result_code code;
  bool is_written;
};

Test(event_log, levels) {
  const std::vector<level_row> rows{
      {log_level::kTrace, result_code::kOk, true},
      {log_level::kInfo, result_code::kOk, true},
      {log_level::kWarning, result_code::kOk, false},
      {log_level::kWarning, result_code::kNoTarget, true},
      {log_level::kError, result_code::kNoTarget, false},
  };
  for (const level_row& row : rows) {
    const channel to;
    metrics counts("p", "z");
    event_log_settings settings;
    settings.level = row.level;
    settings.output = OutputTo(to);
    event_log log(
        settings, &counts, [] { return log_time{}; }, nullptr);
    event what;
    what.code = row.code;
    log.OnEvent(what);
    cr_expect(log.Flush());
    cr_expect(to.Read().empty() != row.is_written);
  }
}

struct heard : event_listener {
  void OnEvent(const event&) override { ++events; }
  int events = 0;
};

Test(event_log, next_listener_hears_every_event) {
  trial run({1, 1});
  heard next;
  run.log->SetNext(&next);
  for (int i = 0; i < 50; ++i) run.See(event_id::kLinkUp);
  cr_expect(next.events == 50);
}

}  // namespace
}  // namespace tamaracklatch
