// The measurements' frame: every benchmark is a function that adds rows to a
// report, printed as tables and as JSON.
#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace tamaracklatch::bench {

// One measured figure.
struct report_row {
  std::string section;  // "placement"
  std::string name;     // "imbalance, two candidates, 7 targets"
  double value = 0.0;
  std::string unit;  // "max/mean", "bytes/flow", "decisions/s"
  std::string goal;  // the stated target, "≤ 1.10"; empty where there is none
};

// Collects rows and prints each as it comes.
class report {
 public:
  void Add(report_row row);
  const std::vector<report_row>& rows() const { return rows_; }

 private:
  std::vector<report_row> rows_;
};

using benchmark_function = std::function<void(report&)>;

// Registers a benchmark when it is constructed; keep one in an unnamed
// namespace beside the function.
class registration {
 public:
  registration(std::string_view section, benchmark_function run);
};

// A benchmark by the name of its section.
struct benchmark {
  std::string section;
  benchmark_function run;
};

// All registered benchmarks, by section.
std::vector<benchmark> RegisteredBenchmarks();

// Wall time that `run` takes, in seconds.
double SecondsOf(const std::function<void()>& run);

}  // namespace tamaracklatch::bench
