// Golden sessions of explained flows and document sets, and the command.
#include "tamaracklatch/timeline/explain.h"

#include <unistd.h>

#include <cstdlib>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

#include "support/golden.h"
#include "support/property.h"
#include "timeline/log_line.h"

namespace tamaracklatch {
namespace {

using std::chrono::milliseconds;

constexpr wall_time kStart{duration(1'796'000'000'000'000)};
const endpoint kCaller{MakeV4(0x0a090001), 40112};
const endpoint kAddress{MakeV4(0x0a4d0001), 80};
const flow_key kKey{kCaller.address, kAddress.address, kCaller.port,
                    kAddress.port, ip_protocol::kTcp};

event What(event_id id, const std::string& peer = "",
           result_code code = result_code::kOk,
           const std::string& detail = "") {
  event what;
  what.id = id;
  what.peer = peer;
  what.code = code;
  what.detail = detail;
  return what;
}

// An event of the flow that the sessions ask for.
event OfFlow(event_id id, const std::string& peer = "",
             result_code code = result_code::kOk,
             const std::string& detail = "") {
  event what = What(id, peer, code, detail);
  what.service = "booking-desk";
  what.key = kKey;
  return what;
}

event Placed(const std::string& peer, std::uint64_t version) {
  event what = OfFlow(event_id::kOpeningPlaced, peer);
  what.route = "desk";
  what.version = version;
  what.inputs = {{"copy", std::int64_t{0}},
                 {"load", std::int64_t{96}},
                 {"slots", std::int64_t{4}}};
  return what;
}

// As the balancer writes it that has no field for the caller.
event PlacedInWords(const std::string& peer, const std::string& caller) {
  event what = What(event_id::kOpeningPlaced, peer);
  what.service = "booking-desk";
  what.flow = 0x77;
  what.detail = "caller " + caller + ", route desk, set 6, copy 0, load 96/256";
  return what;
}

event OfSet(event_id id, std::uint64_t version,
            result_code code = result_code::kOk) {
  event what = What(id, "", code, "version " + std::to_string(version));
  return what;
}

// Logs of several processes.
class fleet {
 public:
  fleet()
      : processes_{{"control-1", "kl-1", "10.1.0.1:7700"},
                   {"balancer-1", "kl-1", "10.1.0.5:7710"},
                   {"balancer-2", "kl-2", "10.1.0.6:7710"},
                   {"desk-1", "kl-1", "10.1.0.11:7720"},
                   {"desk-2", "kl-2", "10.1.0.12:7720"}},
        lines_(processes_.size()) {}

  // Has a process see an event so many milliseconds after the start.
  fleet& See(const std::string& process, std::int64_t at, const event& what) {
    for (std::size_t i = 0; i < processes_.size(); ++i) {
      if (processes_[i].process != process) continue;
      log_line_writer writer(processes_[i]);
      const log_time when{time_point(milliseconds(1000 + at)),
                          kStart + milliseconds(at)};
      lines_[i] += prefix_;
      lines_[i] += writer.Write(
          what, what.code == result_code::kOk ? "info" : "warning", when);
      lines_[i] += '\n';
    }
    return *this;
  }

  // What a collector puts before the next lines.
  fleet& Prefix(const std::string& prefix) {
    prefix_ = prefix;
    return *this;
  }

  std::string Explain(const flow_selector& flow, std::uint64_t version) const {
    log_merge logs(flow);
    for (const std::string& lines : lines_) {
      std::istringstream stream(lines);
      logs.Read(stream);
    }
    cr_expect(logs.malformed() == 0);
    const auto entries = logs.Finish();
    return version != 0 ? TellSet(entries, version, logs)
                        : TellFlow(entries, flow, logs);
  }

  const std::string& Lines(std::size_t process) const {
    return lines_[process];
  }

 private:
  std::vector<log_source> processes_;
  std::vector<std::string> lines_;
  std::string prefix_;
};

// An opening that no target took: the first is full, the second drains.
fleet ResetOpening() {
  return fleet()
      .See("desk-2", -1200,
           What(event_id::kTargetChanged, "", result_code::kOk,
                "draining, start 17, slots 4"))
      .See("balancer-1", 0, Placed("10.1.0.11:7720", 6))
      .See("desk-1", 1,
           OfFlow(event_id::kOpeningPassed, "10.1.0.12:7720",
                  result_code::kTargetFull, "8 waiting of 4 slots"))
      .Prefix("desk-2 | 2026-11-30 stdout ")
      .See("desk-2", 3,
           OfFlow(event_id::kOpeningPassed, "10.1.0.11:7720",
                  result_code::kTargetDraining))
      .Prefix("")
      .See("desk-1", 4,
           OfFlow(event_id::kSegmentReset, "10.1.0.5:7710",
                  result_code::kSearchEnded, "2 visits, 2 possible owners"));
}

// An open flow whose target started again.
fleet CutAnswer() {
  event lost = What(event_id::kFlowForgotten, "", result_code::kFlowLost,
                    "12 flows, target started again at 1796000004100");
  lost.service = "booking-desk";
  return fleet()
      .See("balancer-1", 0, Placed("10.1.0.11:7720", 6))
      .See("desk-1", 6, OfFlow(event_id::kFlowClaimed, "10.1.0.5:7710"))
      .See("desk-1", 4120, lost)
      .See("desk-1", 4121,
           What(event_id::kTargetChanged, "", result_code::kOk,
                "ready, start 1796000004100, slots 4"))
      .See("desk-2", 4290,
           OfFlow(event_id::kSearchStarted, "10.1.0.11:7720", result_code::kOk,
                  "from balancer 10.1.0.6:7710, 2 possible owners"))
      .See("desk-1", 4291,
           OfFlow(event_id::kSegmentReset, "10.1.0.6:7710",
                  result_code::kSearchEnded, "2 visits, 2 possible owners"));
}

// An open flow whose daemon was killed, and another with it; a third was
// stopped and started as planned.
fleet KilledOwner() {
  return fleet()
      .See("desk-2", -9000, What(event_id::kProcessStarted))
      .See("balancer-1", 0, Placed("10.1.0.11:7720", 6))
      .See("desk-1", 6, OfFlow(event_id::kFlowClaimed, "10.1.0.5:7710"))
      .See("balancer-2", 900, What(event_id::kProcessStopped))
      .See("balancer-2", 1900, What(event_id::kProcessStarted))
      .See("desk-1", 4120, What(event_id::kProcessStarted))
      .See("desk-2", 4300, What(event_id::kProcessStarted))
      .See("desk-2", 4800,
           OfFlow(event_id::kSegmentReset, "10.1.0.6:7710",
                  result_code::kSearchEnded, "2 visits, 2 possible owners"));
}

// A flow whose owner was killed, and a third possible owner that is gone: each
// search goes there in the end.
fleet LostSearches() {
  fleet logs =
      fleet()
          .See("balancer-1", 0, Placed("10.1.0.11:7720", 6))
          .See("desk-1", 6, OfFlow(event_id::kFlowClaimed))
          .See("desk-1", 4120, What(event_id::kProcessStarted))
          .See("desk-2", 5500, What(event_id::kNodeSilent, "10.1.0.19:7720"));
  for (const int at : {6000, 7600, 9200}) {
    logs.See("desk-2", at, OfFlow(event_id::kSearchStarted, "10.1.0.11:7720"));
  }
  return logs;
}

// An opening placed between a set's acceptance and its coming into force.
fleet ServedByTheVersionBefore() {
  return fleet()
      .See("control-1", -400, OfSet(event_id::kSetAccepted, 7))
      .See("control-1", -400, OfSet(event_id::kSetApplied, 7))
      .See("balancer-2", -310, OfSet(event_id::kSetApplied, 7))
      .See("balancer-1", 0, Placed("10.1.0.11:7720", 6))
      .See("desk-1", 5, OfFlow(event_id::kFlowClaimed, "10.1.0.5:7710"))
      .See("balancer-1", 180, OfSet(event_id::kSetApplied, 7));
}

// The log of one target is not there, and that of the other left lines out.
fleet MissingLines() {
  event dropped =
      What(event_id::kLogLinesDropped, "", result_code::kOk, "31 flow_claimed");
  return fleet()
      .See("balancer-1", 0, Placed("10.1.0.12:7720", 6))
      .See("desk-2", 900, dropped)
      .See("balancer-2", 1020, Placed("10.1.0.19:7720", 6));
}

// A set that one balancer skipped, one never applied and a control VM refused.
fleet Sets() {
  return fleet()
      .See("balancer-2", -9000, OfSet(event_id::kSetApplied, 6))
      .See("control-1", 0, OfSet(event_id::kSetAccepted, 7))
      .See("control-1", 0, OfSet(event_id::kSetApplied, 7))
      .See("control-1", 20,
           OfSet(event_id::kSetRefused, 7, result_code::kSetSuperseded))
      .See("balancer-2", 30,
           What(event_id::kHubLost, "10.1.0.1:7700", result_code::kOk))
      .See("balancer-1", 60, OfSet(event_id::kSetApplied, 8))
      .See("balancer-1", 70, OfSet(event_id::kViewConfirmed, 8));
}

// A process that is new after the set was accepted says nothing of its way.
fleet SetAndNewProcess() {
  return fleet()
      .See("balancer-1", -9000, What(event_id::kProcessStarted))
      .See("control-1", 0, OfSet(event_id::kSetAccepted, 7))
      .See("balancer-1", 20, OfSet(event_id::kSetApplied, 7))
      .See("balancer-2", 9000, What(event_id::kProcessStarted))
      .See("balancer-2", 9010, OfSet(event_id::kSetApplied, 7));
}

struct golden_row {
  const char* name;
  fleet logs;
  std::uint64_t version;  // 0: the flow
};

Test(explain, golden_sessions) {
  flow_selector caller;
  caller.caller = kCaller;
  const std::vector<golden_row> rows{
      {"reset_opening", ResetOpening(), 0},
      {"cut_answer", CutAnswer(), 0},
      {"killed_owner", KilledOwner(), 0},
      {"lost_searches", LostSearches(), 0},
      {"version_before", ServedByTheVersionBefore(), 0},
      {"missing_lines", MissingLines(), 0},
      {"set_in_force", Sets(), 7},
      {"set_and_new_process", SetAndNewProcess(), 7},
  };
  for (const golden_row& row : rows) {
    test::CheckGolden(
        std::string("timeline/golden/explain_") + row.name + ".txt",
        row.logs.Explain(row.version == 0 ? caller : flow_selector{},
                         row.version));
  }
}

Test(explain, one_line_of_the_log) {
  test::CheckGolden("timeline/golden/explain_line.jsonl",
                    ResetOpening().Lines(4));
}

Test(explain, flow_is_found_by_caller_in_words_or_hash) {
  fleet logs = fleet()
                   .See("balancer-1", 0, PlacedInWords("x", "10.9.0.1:40112"))
                   .See("balancer-1", 0, PlacedInWords("x", "10.9.0.1:4011"));
  flow_selector caller;
  caller.caller = kCaller;
  const std::string text = logs.Explain(caller, 0);
  cr_expect(text.find("flow 0000000000000077 of 10.9.0.1:40112") == 0, "%s",
            text.c_str());
  cr_expect(text.find("version=6") != std::string::npos);
  flow_selector hash;
  hash.flow = 0x77;
  cr_expect(logs.Explain(hash, 0).find("flow 0000000000000077") == 0);
  hash.flow = 0x78;
  cr_expect(logs.Explain(hash, 0).empty());
}

// Lines of other flows, in any number and order, change nothing in the story.
Test(explain, other_flows_do_not_matter) {
  flow_selector caller;
  caller.caller = kCaller;
  const std::string alone = CutAnswer().Explain(caller, 0);
  test::CheckProperty("other flows", [&] {
    fleet logs = CutAnswer();
    const auto ports = *rc::gen::container<std::vector<std::uint16_t>>(
        rc::gen::inRange<std::uint16_t>(1, 40112));
    for (const std::uint16_t port : ports) {
      event other = Placed("10.1.0.11:7720", 6);
      other.key->source_port = port;
      logs.See("balancer-1", 5000 - port, other);
    }
    RC_ASSERT(logs.Explain(caller, 0) == alone);
  });
}

Test(explain, bad_lines) {
  for (
      const char* line :
      {"", "text", "{", "[]", R"({"time":"now","process":"p","number":1000})",
       R"({"time":"2026-12-04T09:41:00.000Z","number":1000})",
       R"({"time":"2026-12-04T09:41:00.000Z","process":"p","number":70000})"}) {
    failure why;
    cr_expect(!ParseLogLine(line, &why), "%s", line);
    cr_expect(why.code == result_code::kTimelineLineMalformed);
  }
}

struct command_row {
  std::vector<std::string> arguments;  // before the file
  int exit_code;
  const char* output_part;
  const char* error_part;
};

Test(explain, command) {
  std::string path = "/tmp/tamaracklatch-explain-XXXXXX";
  const int file = mkstemp(path.data());
  cr_assert(file >= 0);
  close(file);
  std::ofstream(path) << ResetOpening().Lines(3) << "no entry\n";
  const std::vector<command_row> rows{
      {{"--flow", "10.9.0.1:40112"}, 0, "target_full (837)", "1 lines"},
      {{"--flow=10.9.0.1:40112"}, 0, "search_ended (832)", ""},
      {{"--flow", "10.9.0.1:1"}, 1, "", "in the logs of desk-1"},
      {{"--flow", "desk"}, 2, "", "\"desk\""},
      {{"--version", "0"}, 2, "", "\"0\""},
      {{"--version", "9"}, 1, "", "no line was found"},
      {{"--version", "9", "--flow", "10.9.0.1:1"}, 2, "", "needs"},
      {{"--version"}, 2, "", "not a number"},
      {{}, 2, "", "needs"},
      {{"--flow", "10.9.0.1:1", "/no/such/file"}, 1, "", "(1001)"},
  };
  for (const command_row& row : rows) {
    std::vector<std::string> arguments = row.arguments;
    arguments.push_back(path);
    std::ostringstream out;
    std::ostringstream errors;
    const int exit_code = RunExplain(arguments, out, errors);
    cr_expect(exit_code == row.exit_code, "%s: %d", row.error_part, exit_code);
    cr_expect(out.str().find(row.output_part) != std::string::npos, "%s",
              out.str().c_str());
    cr_expect(errors.str().find(row.error_part) != std::string::npos, "%s: %s",
              row.error_part, errors.str().c_str());
  }
  unlink(path.c_str());
}

}  // namespace
}  // namespace tamaracklatch
