// The program tamaracklatch-targetd: reads its settings and runs the daemon.
#include <gflags/gflags.h>

#include "daemon_program.h"
#include "tamaracklatch/daemon/daemons.h"

// The flag macros define names that the linter does not know.
// NOLINTBEGIN(readability-identifier-naming)
DEFINE_string(settings, "", "File with the settings: JSON with comments.");
// NOLINTEND(readability-identifier-naming)

namespace {

constexpr const char* kUsage = R"(tamaracklatch-targetd --settings=FILE

Announces the target beside it and hands it its flows and requests. SIGTERM
drains it: nothing new is taken, requests in progress end. Serves /metrics over
HTTP.

Settings: name, vm, zone, region, link_key or link_key_file, timeline_file,
timeline_file_bytes, log_level, service, capacity, listen_http, packets, relay,
requests, target, control.
docs/OPERATIONS.md explains them, `tamaracklatch check FILE` checks them, and
examples/ has a file of each user.
)";

}  // namespace

int main(int argc, char** argv) {
  gflags::SetUsageMessage(kUsage);
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return tamaracklatch::RunDaemonProgram(FLAGS_settings,
                                         tamaracklatch::LoadTargetdSettings,
                                         tamaracklatch::RunTargetd);
}
