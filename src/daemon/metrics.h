// The process's metrics: named counters and gauges, served as text at /metrics
// by prometheus-cpp.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

namespace tamaracklatch {

// Counters and gauges by name and one optional label. A name's first use
// registers it.
class metrics {
 public:
  // `process` and `zone` become labels of every metric.
  metrics(const std::string& process, const std::string& zone);
  ~metrics();

  // Adds to a counter. `help` states the unit.
  void Count(const std::string& name, const std::string& help,
             double amount = 1.0, const std::string& label = "");

  // Sets a gauge.
  void Set(const std::string& name, const std::string& help, double value);

  // The text that /metrics answers.
  std::string Text() const;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace tamaracklatch
