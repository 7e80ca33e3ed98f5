// The program tamaracklatch-balancerd: reads its settings and runs the daemon.
#include <fmt/format.h>
#include <gflags/gflags.h>

#include <vector>

#include "tamaracklatch/daemon/daemons.h"

// The flag macros define names that the linter does not know.
// NOLINTBEGIN(readability-identifier-naming)
DEFINE_string(settings, "", "File with the settings: JSON with comments.");
// NOLINTEND(readability-identifier-naming)

int main(int argc, char** argv) {
  gflags::SetUsageMessage("tamaracklatch-balancerd --settings=FILE");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  std::vector<tamaracklatch::failure> failures;
  const auto settings =
      tamaracklatch::LoadBalancerdSettings(FLAGS_settings, &failures);
  for (const auto& fault : failures)
    fmt::print(stderr, "{}: {}\n", FLAGS_settings,
               tamaracklatch::ToString(fault));
  if (!settings) return 2;
  return tamaracklatch::RunBalancerd(*settings);
}
