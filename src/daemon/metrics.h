// The process's metrics: named counters, gauges and histograms, served as text
// at /metrics by prometheus-cpp. docs/operations/metrics.md lists them; a test
// checks the list.
#pragma once

#include <chrono>
#include <memory>
#include <string>
#include <string_view>

#include "tamaracklatch/core/result_code.h"

namespace tamaracklatch {

// Metrics by name and at most one label. A name's first use registers it; what
// is never used costs nothing. Labels come from bounded sets: names of result
// codes, events and the like, never of callers.
// Names end with their unit, those of counters with "_total".
class metrics {
 public:
  // `process` and `zone` become labels of every metric.
  metrics(const std::string& process, const std::string& zone);
  ~metrics();

  // Adds to a counter. `help` states the unit. The label is called "kind".
  void Count(std::string_view name, std::string_view help, double amount = 1.0,
             std::string_view label = "");

  // Adds one to a counter with the label "code", the result code's name.
  void CountCode(std::string_view name, std::string_view help,
                 result_code code);

  // Sets a counter to what its owner has counted; it only rises.
  void SetTotal(std::string_view name, std::string_view help, double total);

  // Sets a gauge.
  void Set(std::string_view name, std::string_view help, double value);

  // Adds a span to a histogram of seconds, whose buckets are kSecondsBuckets.
  void Observe(std::string_view name, std::string_view help,
               std::chrono::duration<double> span);

  // The text that /metrics answers.
  std::string Text() const;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

// Upper bounds of the buckets of every histogram, in seconds.
inline constexpr double kSecondsBuckets[] = {
    0.0001, 0.001, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 10.0};

}  // namespace tamaracklatch
