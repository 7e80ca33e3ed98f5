// Tests of the metrics as a scraper sees them.
#include "daemon/metrics.h"

#include <criterion/criterion.h>

#include <sstream>
#include <string>

namespace tamaracklatch {
namespace {

// The value in the text of a metric with these labels after process and zone;
// "absent" where there is none.
std::string ValueOf(const metrics& counts, const std::string& name,
                    const std::string& labels = "") {
  std::istringstream lines(counts.Text());
  std::string line;
  const std::string begin = name + "{";
  while (std::getline(lines, line)) {
    if (line.rfind(begin, 0) != 0) continue;
    if (line.find("process=\"p\",zone=\"z\"") == std::string::npos) continue;
    if (line.find(labels) == std::string::npos) continue;
    return line.substr(line.rfind(' ') + 1);
  }
  return "absent";
}

Test(metrics, appear_with_their_first_use) {
  metrics counts("p", "z");
  cr_expect(counts.Text().empty());
  counts.Count("a_total", "A.");
  cr_expect(ValueOf(counts, "a_total") == "1");
  cr_expect(ValueOf(counts, "b_total") == "absent");
}

Test(metrics, counters_by_label_and_code) {
  metrics counts("p", "z");
  counts.Count("a_total", "A.", 2.0, "x");
  counts.Count("a_total", "A.", 3.0, "y");
  counts.Count("a_total", "A.", 4.0, "x");
  cr_expect(ValueOf(counts, "a_total", "kind=\"x\"") == "6");
  cr_expect(ValueOf(counts, "a_total", "kind=\"y\"") == "3");
  counts.SetTotal("c_total", "C.", 2.0, ToString(result_code::kNoTarget),
                  "code");
  cr_expect(ValueOf(counts, "c_total", "code=\"no_target\"") == "2");
}

Test(metrics, totals_only_rise) {
  metrics counts("p", "z");
  for (const double total : {5.0, 7.0, 6.0})
    counts.SetTotal("a_total", "A.", total);
  cr_expect(ValueOf(counts, "a_total") == "7");
}

Test(metrics, gauges_hold_the_last_value) {
  metrics counts("p", "z");
  for (const double value : {5.0, 7.0, 6.0}) counts.Set("a", "A.", value);
  cr_expect(ValueOf(counts, "a") == "6");
}

Test(metrics, labelled_totals_gauges_and_codes) {
  metrics counts("p", "z");
  counts.SetTotal("a_total", "A.", 2.0, "x");
  counts.SetTotal("a_total", "A.", 3.0, "y");
  counts.SetTotal("a_total", "A.", 5.0, "x");
  cr_expect(ValueOf(counts, "a_total", "kind=\"x\"") == "5");
  cr_expect(ValueOf(counts, "a_total", "kind=\"y\"") == "3");
  counts.Set("g", "G.", 1.5, "x");
  cr_expect(ValueOf(counts, "g", "kind=\"x\"") == "1.5");
  refusal_counters totals;
  for (int scrapes = 1; scrapes <= 2; ++scrapes) {
    totals.Add(result_code::kNoTarget);
    counts.SetCodes("c_total", "C.", totals);
    cr_expect(ValueOf(counts, "c_total", "code=\"no_target\"") ==
              std::to_string(scrapes));
  }
  cr_expect(ValueOf(counts, "c_total", "code=\"search_ended\"") == "absent");
}

Test(metrics, histograms_of_seconds) {
  metrics counts("p", "z");
  span_histogram spans;
  // A second look at what was counted adds what is new only.
  for (const int milliseconds : {1, 4, 30, 20000}) {
    spans.Add(std::chrono::milliseconds(milliseconds));
    counts.SetHistogram("a_seconds", "A.", spans);
  }
  cr_expect(ValueOf(counts, "a_seconds_count") == "4");
  cr_expect(ValueOf(counts, "a_seconds_sum") == "20.035");
  cr_expect(ValueOf(counts, "a_seconds_bucket", "le=\"0.001\"") == "1");
  cr_expect(ValueOf(counts, "a_seconds_bucket", "le=\"0.005\"") == "2");
  cr_expect(ValueOf(counts, "a_seconds_bucket", "le=\"10\"") == "3");
  cr_expect(ValueOf(counts, "a_seconds_bucket", "le=\"+Inf\"") == "4");
}

Test(metrics, histograms_of_visits) {
  metrics counts("p", "z");
  visit_histogram visits;
  for (const std::uint32_t each : {0U, 0U, 2U, 5U, 1000U}) visits.Add(each);
  counts.SetHistogram("a", "A.", visits);
  cr_expect(ValueOf(counts, "a_bucket", "le=\"0\"") == "2");
  cr_expect(ValueOf(counts, "a_bucket", "le=\"2\"") == "3");
  cr_expect(ValueOf(counts, "a_bucket", "le=\"8\"") == "4");
  cr_expect(ValueOf(counts, "a_count") == "5");
  cr_expect(ValueOf(counts, "a_sum") == "1007");
}

}  // namespace
}  // namespace tamaracklatch
