// The operator's program: submits documents and shows the state of the system.
#include <fmt/format.h>
#include <gflags/gflags.h>

#include <iostream>
#include <sstream>
#include <string>
#include <vector>

#include "tamaracklatch/daemon/commands.h"

// The flag macros define names that the linter does not know.
// NOLINTBEGIN(readability-identifier-naming)
DEFINE_string(control, "127.0.0.1:7700",
              "HTTP endpoints of the control VMs, separated by commas.");
DEFINE_string(token, "", "Bearer token that names the services it may change.");
DEFINE_int32(timeout_milliseconds, 10000,
             "Longest time for the whole command, in milliseconds.");
DEFINE_bool(wait, false,
            "submit: return only when the document is in force everywhere.");
// NOLINTEND(readability-identifier-naming)

namespace {

constexpr const char* kUsage = R"(tamaracklatch COMMAND [ARGUMENTS] [FLAGS]

  submit FILE          submit a service document; safe to repeat
  status [SERVICE]     what is accepted, and where it is in force
  history SERVICE      accepted versions of a service's document
  drain SERVICE VM     let the targets on a VM take no new work for a service
  voters               the control VMs and who leads them
)";

}  // namespace

int main(int argc, char** argv) {
  gflags::SetUsageMessage(kUsage);
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  tamaracklatch::command_line line;
  line.arguments.assign(argv + 1, argv + argc);
  line.control = FLAGS_control;
  line.token = FLAGS_token;
  line.timeout = std::chrono::milliseconds(FLAGS_timeout_milliseconds);
  line.wait = FLAGS_wait;
  return tamaracklatch::RunCommand(line, kUsage, std::cout, std::cerr);
}
