// prometheus-cpp behind metrics.
#include "daemon/metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <map>

namespace tamaracklatch {

struct metrics::state {
  prometheus::Registry registry;
  prometheus::Labels labels;
  std::map<std::string, prometheus::Family<prometheus::Counter>*> counters;
  std::map<std::string, prometheus::Family<prometheus::Gauge>*> gauges;
};

metrics::metrics(const std::string& process, const std::string& zone)
    : state_(std::make_unique<state>()) {
  state_->labels = {{"process", process}, {"zone", zone}};
}

metrics::~metrics() = default;

void metrics::Count(const std::string& name, const std::string& help,
                    double amount, const std::string& label) {
  auto*& family = state_->counters[name];
  if (family == nullptr) {
    family = &prometheus::BuildCounter()
                  .Name(name)
                  .Help(help)
                  .Labels(state_->labels)
                  .Register(state_->registry);
  }
  family
      ->Add(label.empty() ? prometheus::Labels{}
                          : prometheus::Labels{{"kind", label}})
      .Increment(amount);
}

void metrics::Set(const std::string& name, const std::string& help,
                  double value) {
  auto*& family = state_->gauges[name];
  if (family == nullptr) {
    family = &prometheus::BuildGauge()
                  .Name(name)
                  .Help(help)
                  .Labels(state_->labels)
                  .Register(state_->registry);
  }
  family->Add({}).Set(value);
}

std::string metrics::Text() const {
  return prometheus::TextSerializer().Serialize(state_->registry.Collect());
}

}  // namespace tamaracklatch
