// The operator's program: submits documents and shows the state of the system.
#include <fmt/format.h>
#include <gflags/gflags.h>

#include <iostream>
#include <sstream>
#include <string>
#include <vector>

#include "tamaracklatch/daemon/check_command.h"
#include "tamaracklatch/daemon/commands.h"
#include "tamaracklatch/timeline/explain.h"
#include "tamaracklatch/timeline/timeline_command.h"

// The flag macros define names that the linter does not know.
// NOLINTBEGIN(readability-identifier-naming)
DEFINE_string(control, "127.0.0.1:7700",
              "HTTP endpoints of the control VMs, separated by commas.");
DEFINE_string(token, "", "Bearer token that names the services it may change.");
DEFINE_int32(timeout_milliseconds, 10000,
             "Longest time for the whole command, in milliseconds.");
DEFINE_bool(wait, false,
            "submit: return only when the document is in force everywhere.");
DEFINE_string(service, "", "timeline: only the events of this service.");
DEFINE_string(flow, "",
              "timeline: only the events of this flow, in hexadecimal.");
DEFINE_string(request, "", "timeline: only the events of this request.");
DEFINE_string(submission, "",
              "timeline: only SERVICE@VERSION, and how it spread.");
DEFINE_string(since, "",
              "timeline: only events from this UTC time on, as "
              "2026-01-31T23:59:59Z.");
DEFINE_string(html, "", "timeline: draw a page into this file.");
// NOLINTEND(readability-identifier-naming)

namespace {

constexpr const char* kUsage = R"(tamaracklatch COMMAND [ARGUMENTS] [FLAGS]

  submit FILE          submit a service document; safe to repeat
  submit-set FILE      replace the whole document set; safe to repeat
  set                  the document set that is held, as it was submitted
  status [SERVICE]     what is accepted, and where it is in force
  history SERVICE      accepted versions of a service's document
  drain SERVICE VM     let the targets on a VM take no new work for a service
  voters               the control VMs and who leads them
  voters add|remove VM  change who votes, one VM at a time
  timeline FILE...     merge the time lines of several processes in causal order
  explain --flow ADDRESS:PORT LOG...
                       the story of a caller's flow across the logs
  explain --version N LOG...
                       how a document set came into force
  check FILE...        validate settings and documents without running them
)";

tamaracklatch::timeline_command TimelineCommand(
    const std::vector<std::string>& files) {
  tamaracklatch::timeline_command command;
  command.files = files;
  command.service = FLAGS_service;
  command.flow = FLAGS_flow;
  command.request = FLAGS_request;
  command.submission = FLAGS_submission;
  command.since = FLAGS_since;
  command.html = FLAGS_html;
  return command;
}

}  // namespace

int main(int argc, char** argv) {
  gflags::SetUsageMessage(kUsage);
  // gflags has a --version of its own.
  if (argc > 1 && std::string(argv[1]) == "explain")
    return tamaracklatch::RunExplain({argv + 2, argv + argc}, std::cout,
                                     std::cerr);
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  tamaracklatch::command_line line;
  line.arguments.assign(argv + 1, argv + argc);
  if (!line.arguments.empty()) {
    const std::string& word = line.arguments[0];
    const std::vector<std::string> files(line.arguments.begin() + 1,
                                         line.arguments.end());
    if (word == "check")
      return tamaracklatch::RunCheck(files, std::cout, std::cerr);
    if (word == "timeline") {
      return tamaracklatch::RunTimeline(TimelineCommand(files), std::cout,
                                        std::cerr);
    }
  }
  line.control = FLAGS_control;
  line.token = FLAGS_token;
  line.timeout = std::chrono::milliseconds(FLAGS_timeout_milliseconds);
  line.wait = FLAGS_wait;
  return tamaracklatch::RunCommand(line, kUsage, std::cout, std::cerr);
}
