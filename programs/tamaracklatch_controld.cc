// The program tamaracklatch-controld: reads its settings and runs the daemon.
#include <fmt/format.h>
#include <gflags/gflags.h>

#include <vector>

#include "tamaracklatch/daemon/daemons.h"

// The flag macros define names that the linter does not know.
// NOLINTBEGIN(readability-identifier-naming)
DEFINE_string(settings, "", "File with the settings: JSON with comments.");
// NOLINTEND(readability-identifier-naming)

namespace {

constexpr const char* kUsage = R"(tamaracklatch-controld --settings=FILE

One voter of the replicated log of service documents and membership, on a VM
with a disk. Serves operators and /metrics over HTTP.

Settings: name, vm, zone, region, link_key or link_key_file, timeline_file,
timeline_file_bytes, log_level, data_folder, listen_links, listen_http, voters,
operators.
docs/OPERATIONS.md explains them, `tamaracklatch check FILE` checks them, and
examples/ has a file of each user.
)";

}  // namespace

int main(int argc, char** argv) {
  gflags::SetUsageMessage(kUsage);
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  std::vector<tamaracklatch::failure> failures;
  const auto settings =
      tamaracklatch::LoadControldSettings(FLAGS_settings, &failures);
  for (const auto& fault : failures)
    fmt::print(stderr, "{}: {}\n", FLAGS_settings,
               tamaracklatch::ToString(fault));
  if (!settings) return 2;
  return tamaracklatch::RunControld(*settings);
}
