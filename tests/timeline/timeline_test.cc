// Tests of entries, the queue, the file, the merge and the command.
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

#include "support/golden.h"
#include "support/property.h"
#include "tamaracklatch/timeline/timeline_command.h"
#include "tamaracklatch/timeline/timeline_html.h"
#include "tamaracklatch/timeline/timeline_merge.h"
#include "tamaracklatch/timeline/timeline_queue.h"
#include "tamaracklatch/timeline/timeline_writer.h"

namespace tamaracklatch {
namespace {

constexpr wall_time kStart{duration(1'796'000'000'000'000)};

// A folder that is removed with its files at the end of the test.
class temporary_folder {
 public:
  temporary_folder() {
    std::string name = "/tmp/tamaracklatch-timeline-XXXXXX";
    cr_assert(mkdtemp(name.data()) != nullptr);
    path_ = name;
  }
  ~temporary_folder() {
    for (const char* file : {"a", "a.1", "a.2", "a.3", "b", "page.html"})
      unlink(At(file).c_str());
    rmdir(path_.c_str());
  }
  std::string At(const std::string& file) const { return path_ + "/" + file; }

 private:
  std::string path_;
};

std::string Contents(const std::string& path) {
  std::ifstream file(path);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

std::size_t Lines(const std::string& text) {
  return static_cast<std::size_t>(std::count(text.begin(), text.end(), '\n'));
}

// One process of a session: its clock runs `skew` from the true time.
struct process {
  timeline_source source;
  duration skew;
  hybrid_clock clock;
  std::string lines;

  hybrid_stamp Record(std::chrono::milliseconds elapsed, const event& what) {
    const hybrid_stamp stamp = clock.Tick(kStart + elapsed + skew);
    lines += ToJsonLine({stamp, source, what}) + "\n";
    return stamp;
  }
  void Receive(hybrid_stamp sent, std::chrono::milliseconds elapsed) {
    cr_assert(clock.Merge(sent, kStart + elapsed + skew));
  }
};

event What(event_id id, std::uint64_t at, const std::string& submission = "") {
  event result;
  result.id = id;
  result.at = {at};
  result.submission = submission;
  if (!submission.empty()) result.service = "coordination";
  return result;
}

// A change from its submission to the last node, and a flow through a drain.
struct session {
  process control{{"control-1", "vm-1", "gd-1"}, {}, {}, {}};
  process balancer{
      {"balancer-1", "vm-2", "gd-1"}, std::chrono::seconds(-2), {}, {}};
  process old_target{
      {"coordination-1", "vm-3", "gd-2"}, std::chrono::seconds(3), {}, {}};
  process new_target{{"coordination-2", "vm-4", "gd-3"}, {}, {}, {}};

  session() {
    using std::chrono::milliseconds;
    event opened = What(event_id::kFlowOpened, 6);
    opened.service = "coordination";
    opened.flow = 0x1234abcd;
    const hybrid_stamp flow = old_target.Record(milliseconds(0), opened);
    balancer.Receive(flow, milliseconds(3));
    opened.peer = "coordination-1";
    opened.detail = "cached <owner>";
    balancer.Record(milliseconds(3), opened);

    const hybrid_stamp accepted = control.Record(
        milliseconds(100),
        What(event_id::kSubmissionAccepted, 7, "coordination@3"));
    event refused = What(event_id::kSubmissionRefused, 7, "coordination@3");
    refused.code = result_code::kVersionConflict;
    refused.detail = "the winner is \"1f\"";
    control.Record(milliseconds(101), refused);

    const event applied = What(event_id::kRevisionApplied, 7);
    for (process* node : {&balancer, &old_target, &new_target}) {
      node->Receive(accepted, milliseconds(104));
      const hybrid_stamp told = node->Record(milliseconds(104), applied);
      control.Receive(told, milliseconds(108));
    }
    event draining = What(event_id::kTargetDraining, 7);
    draining.service = "coordination";
    draining.peer = "vm-3";
    control.Record(milliseconds(105), draining);
    draining.peer = "vm-9";
    control.Record(milliseconds(105), draining);
    control.Record(milliseconds(108), What(event_id::kInForceEverywhere, 7));
    balancer.Record(milliseconds(200), What(event_id::kRevisionApplied, 8));
    event closed = opened;
    closed.id = event_id::kFlowClosed;
    closed.detail = "ended by the caller";
    old_target.Record(milliseconds(500), closed);
  }

  std::vector<timeline_entry> Merged(const timeline_filter& filter) const {
    timeline_merge merge(filter);
    for (const process* node :
         {&new_target, &balancer, &control, &old_target}) {
      std::istringstream lines(node->lines);
      merge.Read(lines);
    }
    return merge.Finish();
  }
};

std::string Formatted(const std::vector<timeline_entry>& entries) {
  std::string text;
  for (const timeline_entry& entry : entries) text += FormatEntry(entry) + "\n";
  return text;
}

Test(timeline, golden_session) {
  const session run;
  test::CheckGolden("timeline/golden/session.txt", Formatted(run.Merged({})));
  test::CheckGolden("timeline/golden/session.html",
                    TimelinePage(run.Merged({})));
  test::CheckGolden("timeline/golden/balancer.jsonl", run.balancer.lines);
}

Test(timeline, submission_filter_shows_the_way_to_the_last_node) {
  timeline_filter filter;
  filter.submission = "coordination@3";
  const auto entries = session().Merged(filter);
  test::CheckGolden("timeline/golden/submission.txt", Formatted(entries));
  cr_assert(entries.size() == 6);
  cr_expect(entries.front().what.id == event_id::kSubmissionAccepted);
  cr_expect(entries.back().what.id == event_id::kInForceEverywhere);
}

struct filter_row {
  const char* name;
  timeline_filter filter;
  std::size_t entries;
};

Test(timeline, filters) {
  const session run;
  timeline_filter both;
  both.service = "coordination";
  both.flow = 0x1234abcd;
  const std::vector<filter_row> rows{
      {"none", {}, 12},
      {"service", {"coordination", {}, "", "", {}}, 7},
      {"other service", {"compost", {}, "", "", {}}, 0},
      {"flow and its target's drain", {"", 0x1234abcd, "", "", {}}, 4},
      {"another flow", {"", 0x1234, "", "", {}}, 0},
      {"service and flow", both, 4},
      {"request", {"", {}, "k-1", "", {}}, 0},
      {"since", {"", {}, "", "", kStart + std::chrono::hours(1)}, 0},
  };
  for (const filter_row& row : rows) {
    const std::size_t found = run.Merged(row.filter).size();
    cr_expect(found == row.entries, "%s: %zu", row.name, found);
  }
}

Test(timeline, entries_read_back) {
  test::CheckProperty(
      "entries read back", [](const std::string& detail, std::uint64_t flow) {
        timeline_entry entry{{1 + flow / 2}, {"p", "v", "z"}, {}};
        entry.what.id = event_id::kFlowRefused;
        entry.what.at = {flow};
        entry.what.flow = flow;
        entry.what.code = result_code::kLinkClosed;
        entry.what.request = "k\"\n\\";
        const std::string line = ToJsonLine(entry);
        RC_ASSERT(line.find('\n') == std::string::npos);
        const auto again = ParseJsonLine(line, nullptr);
        RC_ASSERT(again.has_value());
        RC_ASSERT(ToJsonLine(*again) == line);
        // Any bytes make a line that reads back, if not the same bytes.
        entry.what.detail = detail;
        RC_ASSERT(ParseJsonLine(ToJsonLine(entry), nullptr).has_value());
      });
}

const std::vector<const char*> kBadLines{
    "",
    "[]",
    "{}",
    R"({"stamp": 1, "process": "p"})",
    R"({"stamp": -1, "process": "p", "number": 1000})",
    R"({"stamp": 1, "process": 7, "number": 1000})",
    R"({"stamp": 1, "process": "p", "number": 70000})",
    R"({"stamp": 1, "process": "p", "number": 1000)",
};

Test(timeline, torn_lines_are_skipped_and_counted) {
  for (const char* line : kBadLines) {
    failure why;
    cr_expect(!ParseJsonLine(line, &why), "%s", line);
    cr_expect(why.code == result_code::kTimelineLineMalformed);
  }
  const std::string lines = session().control.lines;
  for (std::size_t cut = 1; cut < lines.size(); ++cut) {
    const std::string torn = lines.substr(0, cut);
    std::istringstream stream(torn);
    timeline_merge merge({});
    merge.Read(stream);
    // A line whose last byte is its closing brace is whole without its end.
    const bool whole = torn.back() == '\n' || lines[cut] == '\n';
    cr_expect(merge.malformed() == (whole ? 0 : 1), "cut at %zu", cut);
    cr_expect(merge.Finish().size() ==
              Lines(torn) + (whole && torn.back() != '\n' ? 1 : 0));
  }
}

Test(timeline, long_lines_do_not_grow_the_memory) {
  const std::string long_line(4 * kMaxTimelineLine, 'x');
  std::istringstream stream(long_line + "\n" + session().control.lines);
  timeline_merge merge({});
  merge.Read(stream);
  cr_expect(merge.malformed() == 1);
  cr_expect(merge.Finish().size() == 5);
}

struct time_row {
  const char* text;
  std::int64_t microseconds;  // since the epoch; negative: refused
};

Test(timeline, wall_times) {
  const std::vector<time_row> rows{
      {"2026-12-04T09:41:00Z", 1'796'377'260'000'000},
      {"2026-12-04T09:41:00.25Z", 1'796'377'260'250'000},
      {"2026-12-04T09:41:00.1234567Z", 1'796'377'260'123'456},
      {"2026-12-04T09:41:00", -1},
      {"2026-12-04T09:41:00+02:00", -1},
      {"2026-12-04 09:41:00Z", -1},
      {"2026-12-04T09:41:00.Z", -1},
      {"yesterday", -1},
      {"", -1},
  };
  for (const time_row& row : rows) {
    failure why;
    const auto time = ParseWallTime(row.text, &why);
    cr_expect(time.has_value() == (row.microseconds >= 0), "%s", row.text);
    if (!time) continue;
    cr_expect(time->time_since_epoch().count() == row.microseconds, "%s",
              row.text);
    cr_expect(ParseWallTime(FormatWallTime(*time), nullptr) == time);
  }
}

Test(timeline, full_queue_drops) {
  timeline_queue queue(2);
  cr_expect(queue.Push({}) && queue.Push({}) && !queue.Push({}));
  std::vector<timeline_entry> batch;
  queue.TakeAll(&batch);
  cr_expect(batch.size() == 2);
  cr_expect(queue.Push({}));
}

Test(timeline, file_rotates_and_keeps_the_newest) {
  const temporary_folder folder;
  const timeline_entry entry{StampAt(kStart), {"p", "v", "z"}, {}};
  const std::size_t line = ToJsonLine(entry).size() + 1;
  timeline_file file({folder.At("a"), 3 * line, 2});
  file.Append(std::vector<timeline_entry>(10, entry));
  cr_expect(file.written() == 10 && file.lost() == 0);
  cr_expect(Lines(Contents(folder.At("a"))) == 1);
  cr_expect(Lines(Contents(folder.At("a.1"))) == 3);
  cr_expect(Lines(Contents(folder.At("a.2"))) == 3);
  cr_expect(access(folder.At("a.3").c_str(), F_OK) != 0);
}

Test(timeline, file_goes_on_after_a_torn_line) {
  const temporary_folder folder;
  std::ofstream(folder.At("a")) << "{\"stamp\": 12";
  timeline_file file({folder.At("a"), 1 << 20U, 2});
  file.Append({{StampAt(kStart), {"p", "v", "z"}, {}}});
  std::istringstream lines(Contents(folder.At("a")));
  timeline_merge merge({});
  merge.Read(lines);
  cr_expect(merge.malformed() == 1);
  cr_expect(merge.Finish().size() == 1);
}

Test(timeline, file_that_cant_be_opened_loses_lines) {
  timeline_file file({"/no/such/folder/a", 1 << 20U, 2});
  file.Append({{StampAt(kStart), {"p", "v", "z"}, {}}});
  cr_expect(file.written() == 0 && file.lost() == 1);
}

// A queue of one entry and a thread that writes seldom: the second event is
// dropped, and the file says so.
Test(timeline, writer_says_what_it_dropped) {
  const temporary_folder folder;
  timeline_writer_settings settings;
  settings.source = {"p", "v", "z"};
  settings.file.path = folder.At("a");
  settings.queue_entries = 1;
  settings.write_interval = std::chrono::hours(1);
  hybrid_clock clock;
  {
    timeline_writer writer(settings, &clock, [] { return kStart; });
    for (int i = 0; i < 4; ++i) writer.OnEvent({});
    cr_expect(writer.dropped() == 3);
  }
  const std::string text = Contents(folder.At("a"));
  cr_expect(Lines(text) == 2);
  cr_expect(text.find("3 events dropped") != std::string::npos);
}

// A command over both files with one more option set.
struct command_row {
  std::string timeline_command::*option;
  std::string value;
  int exit_code;
  const char* output_part;
  const char* error_part;
};

Test(timeline, command) {
  const temporary_folder folder;
  const session run;
  std::ofstream(folder.At("a")) << run.control.lines << "{\"torn";
  std::ofstream(folder.At("b")) << run.balancer.lines;
  const std::string page_path = folder.At("page.html");
  const std::vector<command_row> rows{
      {&timeline_command::service, "", 0, "2100 submission_accepted", "1 line"},
      {&timeline_command::flow, "1234abcd", 0, "flow_opened", ""},
      {&timeline_command::flow, "xyz", 2, "", "\"xyz\""},
      {&timeline_command::since, "now", 2, "", "\"now\""},
      {&timeline_command::submission, "desk", 2, "", "SERVICE@VERSION"},
      {&timeline_command::html, page_path, 0, "", ""},
      {&timeline_command::html, "/no/such/x", 1, "", "/no/such/x"},
  };
  for (const command_row& row : rows) {
    timeline_command command;
    command.files = {folder.At("a"), folder.At("b")};
    command.*row.option = row.value;
    std::ostringstream out;
    std::ostringstream errors;
    const int exit_code = RunTimeline(command, out, errors);
    cr_expect(exit_code == row.exit_code, "%s: %d", row.value.c_str(),
              exit_code);
    cr_expect(out.str().find(row.output_part) != std::string::npos, "%s: %s",
              row.value.c_str(), out.str().c_str());
    cr_expect(errors.str().find(row.error_part) != std::string::npos, "%s: %s",
              row.value.c_str(), errors.str().c_str());
  }
  cr_expect(Contents(page_path).find("cached &lt;owner&gt;") !=
            std::string::npos);
}

Test(timeline, command_needs_files) {
  timeline_command command;
  std::ostringstream out;
  std::ostringstream errors;
  cr_expect(RunTimeline(command, out, errors) == 2);
  command.files = {"/no/such/file"};
  cr_expect(RunTimeline(command, out, errors) == 1);
  cr_expect(errors.str().find("(1001)") != std::string::npos);
}

}  // namespace
}  // namespace tamaracklatch
