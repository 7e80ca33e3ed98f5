// The list of benchmarks and the printing of rows.
#include "report.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>

namespace tamaracklatch::bench {
namespace {

std::vector<benchmark>& Benchmarks() {
  static std::vector<benchmark> list;
  return list;
}

}  // namespace

void report::Add(report_row row) {
  const std::string goal =
      row.goal.empty() ? "" : fmt::format("  (goal {})", row.goal);
  fmt::print("{:<14} {:<64} {:>14.6g} {}{}\n", row.section, row.name, row.value,
             row.unit, goal);
  rows_.push_back(std::move(row));
}

registration::registration(std::string_view section, benchmark_function run) {
  Benchmarks().push_back({std::string(section), std::move(run)});
}

std::vector<benchmark> RegisteredBenchmarks() {
  std::vector<benchmark> list = Benchmarks();
  std::sort(list.begin(), list.end(),
            [](const benchmark& left, const benchmark& right) {
              return left.section < right.section;
            });
  return list;
}

double SecondsOf(const std::function<void()>& run) {
  const auto start = std::chrono::steady_clock::now();
  run();
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - start)
      .count();
}

}  // namespace tamaracklatch::bench
