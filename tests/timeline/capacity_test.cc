// Redoes the arithmetic of docs/CAPACITY.md from its data file.
#include <criterion/criterion.h>
#include <fmt/format.h>

#include <cmath>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>

namespace tamaracklatch {
namespace {

constexpr double kRounding = 0.006;  // results keep three digits

nlohmann::json ReadData() {
  std::ifstream file("../docs/capacity.json");
  cr_assert(file.good());
  return nlohmann::json::parse(file);
}

std::string ReadPage() {
  std::ifstream file("../docs/CAPACITY.md");
  cr_assert(file.good());
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

// Numbers known so far, by name.
using known_numbers = std::map<std::string, double>;

double Known(const known_numbers& known, const std::string& name,
             const std::string& line) {
  const auto found = known.find(name);
  cr_assert(found != known.end(), "%s: %s is not known before", line.c_str(),
            name.c_str());
  return found->second;
}

double TermOf(const nlohmann::json& term, const known_numbers& known,
              const std::string& line) {
  double product = term.value("minus", false) ? -1.0 : 1.0;
  for (const std::string name : term["times"])
    product *= Known(known, name, line);
  for (const std::string name : term.value("over", nlohmann::json::array()))
    product /= Known(known, name, line);
  return product;
}

known_numbers Given(const nlohmann::json& data) {
  known_numbers known;
  for (const char* part : {"given", "slopes"}) {
    for (const auto& [name, number] : data[part].items()) {
      cr_assert(known.emplace(name, number["value"].get<double>()).second,
                "%s stands twice", name.c_str());
    }
  }
  return known;
}

// As the page writes numbers.
std::string Shown(double value) {
  if (std::abs(value) < 1000) return fmt::format("{:.3g}", value);
  std::string digits = fmt::format("{:.0f}", value);
  for (int at = static_cast<int>(digits.size()) - 3; at > 0; at -= 3)
    digits.insert(static_cast<std::size_t>(at), ",");
  return digits;
}

Test(capacity, results_follow_from_slopes) {
  const nlohmann::json data = ReadData();
  known_numbers known = Given(data);
  for (const nlohmann::json& line : data["lines"]) {
    const std::string id = line["id"];
    double sum = 0.0;
    for (const nlohmann::json& term : line["sum"])
      sum += TermOf(term, known, id);
    const double stated = line["result"];
    cr_expect(std::abs(stated - sum) <= kRounding * std::abs(sum),
              "%s: stated %g, worked out %g", id.c_str(), stated, sum);
    cr_expect(known.emplace(id, sum).second, "%s stands twice", id.c_str());
  }
}

Test(capacity, page_shows_the_results_and_what_is_over) {
  const nlohmann::json data = ReadData();
  const std::string page = ReadPage();
  for (const nlohmann::json& line : data["lines"]) {
    const std::string id = line["id"];
    const double result = line["result"];
    std::string row = fmt::format(
        "| `{}` | {} | {} | {} | ", id, line["what"].get<std::string>(),
        Shown(result), line["unit"].get<std::string>());
    if (line.contains("limit")) {
      const double limit = line["limit"];
      row += (result <= limit ? "within " : "**over** ") + Shown(limit);
    }
    cr_expect(page.find(row) != std::string::npos, "no row: %s", row.c_str());
  }
}

Test(capacity, page_names_every_slope_and_its_bench) {
  const nlohmann::json data = ReadData();
  const std::string page = ReadPage();
  for (const auto& [name, slope] : data["slopes"].items()) {
    const std::string row = fmt::format(
        "| `{}` | {} | {} | {}: {} |", name, Shown(slope["value"]),
        slope["unit"].get<std::string>(), slope["section"].get<std::string>(),
        slope["row"].get<std::string>());
    cr_expect(page.find(row) != std::string::npos, "no row: %s", row.c_str());
  }
}

}  // namespace
}  // namespace tamaracklatch
