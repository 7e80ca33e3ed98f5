// prometheus-cpp behind metrics.
#include "daemon/metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <functional>
#include <map>
#include <vector>

namespace tamaracklatch {
namespace {

// A family and its members by label value. The pointers are the registry's;
// they spare its lock and hashes at each use.
template <typename Kind>
struct known_family {
  prometheus::Family<Kind>* family = nullptr;
  std::map<std::string, Kind*, std::less<>> members;
};

template <typename Kind>
using family_table = std::map<std::string, known_family<Kind>, std::less<>>;

}  // namespace

struct metrics::state {
  // The member of the name and label; made where there is none.
  template <typename Kind, typename Builder, typename... Arguments>
  Kind& Member(family_table<Kind>* table, Builder builder,
               std::string_view name, std::string_view help,
               std::string_view label_name, std::string_view label,
               const Arguments&... arguments) {
    auto found = table->find(name);
    if (found == table->end()) {
      found = table->emplace(name, known_family<Kind>{}).first;
      found->second.family = &builder.Name(std::string(name))
                                  .Help(std::string(help))
                                  .Labels(labels)
                                  .Register(registry);
    }
    known_family<Kind>& family = found->second;
    const auto member = family.members.find(label);
    if (member != family.members.end()) return *member->second;
    prometheus::Labels own;
    if (!label.empty())
      own.emplace(std::string(label_name), std::string(label));
    Kind& made = family.family->Add(own, arguments...);
    family.members.emplace(label, &made);
    return made;
  }

  prometheus::Registry registry;
  prometheus::Labels labels;
  family_table<prometheus::Counter> counters;
  family_table<prometheus::Gauge> gauges;
  family_table<prometheus::Histogram> histograms;
  // What SetHistogramTotals has added to each so far.
  std::map<const prometheus::Histogram*, histogram_totals> added;
};

metrics::metrics(const std::string& process, const std::string& zone)
    : state_(std::make_unique<state>()) {
  state_->labels = {{"process", process}, {"zone", zone}};
}

metrics::~metrics() = default;

void metrics::Count(std::string_view name, std::string_view help, double amount,
                    std::string_view label) {
  state_
      ->Member(&state_->counters, prometheus::BuildCounter(), name, help,
               "kind", label)
      .Increment(amount);
}

void metrics::SetTotal(std::string_view name, std::string_view help,
                       double total, std::string_view label,
                       std::string_view label_name) {
  prometheus::Counter& counter =
      state_->Member(&state_->counters, prometheus::BuildCounter(), name, help,
                     label_name, label);
  const double more = total - counter.Value();
  if (more > 0) counter.Increment(more);
}

void metrics::SetCodes(std::string_view name, std::string_view help,
                       const refusal_counters& totals) {
  totals.ForEach([&](result_code code, std::uint64_t total) {
    SetTotal(name, help, static_cast<double>(total), ToString(code), "code");
  });
}

void metrics::Set(std::string_view name, std::string_view help, double value,
                  std::string_view label) {
  state_
      ->Member(&state_->gauges, prometheus::BuildGauge(), name, help, "kind",
               label)
      .Set(value);
}

void metrics::SetHistogramTotals(std::string_view name, std::string_view help,
                                 const histogram_totals& totals) {
  prometheus::Histogram& histogram = state_->Member(
      &state_->histograms, prometheus::BuildHistogram(), name, help, "", "",
      prometheus::Histogram::BucketBoundaries(totals.bounds));
  histogram_totals& added = state_->added[&histogram];
  added.counts.resize(totals.counts.size());
  std::vector<double> more = totals.counts;
  for (std::size_t i = 0; i < more.size(); ++i) more[i] -= added.counts[i];
  histogram.ObserveMultiple(more, totals.sum - added.sum);
  added = totals;
}

std::string metrics::Text() const {
  return prometheus::TextSerializer().Serialize(state_->registry.Collect());
}

}  // namespace tamaracklatch
