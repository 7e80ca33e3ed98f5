// The program tamaracklatch-balancerd: reads its settings and runs the daemon.
#include <gflags/gflags.h>

#include "daemon_program.h"
#include "tamaracklatch/daemon/daemons.h"

// The flag macros define names that the linter does not know.
// NOLINTBEGIN(readability-identifier-naming)
DEFINE_string(settings, "", "File with the settings: JSON with comments.");
// NOLINTEND(readability-identifier-naming)

namespace {

constexpr const char* kUsage = R"(tamaracklatch-balancerd --settings=FILE

Forwards the packets of all services to their targets, on an entry VM. Keeps
no truth and may be restarted at will. Serves /metrics over HTTP.

Settings: name, vm, zone, region, link_key or link_key_file, timeline_file,
timeline_file_bytes, log_level, listen_http, packets, listen_links, encapsulated,
control, flow_cache_entries.
docs/OPERATIONS.md explains them, `tamaracklatch check FILE` checks them, and
examples/ has a file of each user.
)";

}  // namespace

int main(int argc, char** argv) {
  gflags::SetUsageMessage(kUsage);
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return tamaracklatch::RunDaemonProgram(FLAGS_settings,
                                         tamaracklatch::LoadBalancerdSettings,
                                         tamaracklatch::RunBalancerd);
}
