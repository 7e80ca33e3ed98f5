// Runs the registered benchmarks, or the sections that --only names, and writes
// the figures as JSON.
#include <fmt/format.h>
#include <gflags/gflags.h>

#include <fstream>
#include <nlohmann/json.hpp>

#include "report.h"

// The flag macros define names that the linter does not know.
// NOLINTBEGIN(readability-identifier-naming)
DEFINE_string(only, "",
              "Run only the sections whose name begins with this text.");
DEFINE_string(json, "", "Write the figures to this file as JSON.");
// NOLINTEND(readability-identifier-naming)

namespace tamaracklatch::bench {
namespace {

bool WriteJson(const report& figures, const std::string& path) {
  nlohmann::json rows = nlohmann::json::array();
  for (const report_row& row : figures.rows()) {
    rows.push_back({{"section", row.section},
                    {"name", row.name},
                    {"value", row.value},
                    {"unit", row.unit},
                    {"goal", row.goal}});
  }
  std::ofstream file(path);
  file << rows.dump(1) << '\n';
  return file.good();
}

int Run() {
  report figures;
  for (const benchmark& entry : RegisteredBenchmarks()) {
    if (entry.section.rfind(FLAGS_only, 0) != 0) continue;
    entry.run(figures);
  }
  if (!FLAGS_json.empty() && !WriteJson(figures, FLAGS_json)) {
    fmt::print(stderr, "could not write {}\n", FLAGS_json);
    return 1;
  }
  return 0;
}

}  // namespace
}  // namespace tamaracklatch::bench

int main(int argc, char** argv) {
  gflags::SetUsageMessage(
      "Measures the library. The figures go to docs/ with the command that "
      "gave them.");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return tamaracklatch::bench::Run();
}
