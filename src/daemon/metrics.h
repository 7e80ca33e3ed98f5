// The process's metrics: named counters, gauges and histograms, served as text
// at /metrics by prometheus-cpp. docs/operations/metrics.md lists them; a test
// checks the list.
#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "tamaracklatch/core/fixed_histogram.h"
#include "tamaracklatch/core/result_code.h"
#include "tamaracklatch/flow/flow_counters.h"

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

  // Sets a counter to what its owner has counted; it only rises.
  void SetTotal(std::string_view name, std::string_view help, double total,
                std::string_view label = "",
                std::string_view label_name = "kind");

  // The same for each result code that was counted, with the label "code".
  void SetCodes(std::string_view name, std::string_view help,
                const refusal_counters& totals);

  // Sets a gauge. The label is called "kind".
  void Set(std::string_view name, std::string_view help, double value,
           std::string_view label = "");

  // Sets a histogram to what its owner has counted.
  template <typename Ranges>
  void SetHistogram(std::string_view name, std::string_view help,
                    const fixed_histogram<Ranges>& counted) {
    histogram_totals totals;
    for (const std::int64_t bound : Ranges::kUpper)
      totals.bounds.push_back(static_cast<double>(bound) * Ranges::kUnit);
    totals.counts.assign(counted.counts().begin(), counted.counts().end());
    totals.sum = static_cast<double>(counted.sum()) * Ranges::kUnit;
    SetHistogramTotals(name, help, totals);
  }

  // The text that /metrics answers.
  std::string Text() const;

 private:
  struct state;
  struct histogram_totals {
    std::vector<double> bounds;
    std::vector<double> counts;  // one more than bounds
    double sum = 0.0;
  };

  void SetHistogramTotals(std::string_view name, std::string_view help,
                          const histogram_totals& totals);

  std::unique_ptr<state> state_;
};

}  // namespace tamaracklatch
