// Checked reading of JSON objects, with all faults of a text in one answer.
#include "core/checked_json.h"

#include <fmt/format.h>

#include <algorithm>
#include <numeric>

#include "core/json_text.h"

namespace tamaracklatch {
namespace {

constexpr std::size_t kMaxShownValue =
    60;  // characters of a bad value that a reason quotes

const nlohmann::json& EmptyObject() {
  static const nlohmann::json kEmpty = nlohmann::json::object();
  return kEmpty;
}

std::string Shown(const nlohmann::json& value) {
  std::string text =
      value.dump(-1, ' ', true, nlohmann::json::error_handler_t::replace);
  if (text.size() > kMaxShownValue) text = text.substr(0, kMaxShownValue) + "…";
  return text;
}

}  // namespace

std::size_t EditDistance(std::string_view left, std::string_view right) {
  std::vector<std::size_t> row(right.size() + 1);
  std::iota(row.begin(), row.end(), 0);
  for (std::size_t i = 1; i <= left.size(); ++i) {
    std::size_t diagonal = row[0];
    row[0] = i;
    for (std::size_t j = 1; j <= right.size(); ++j) {
      const std::size_t replaced =
          diagonal + (left[i - 1] == right[j - 1] ? 0 : 1);
      diagonal = row[j];
      row[j] = std::min({row[j] + 1, row[j - 1] + 1, replaced});
    }
  }
  return row.back();
}

std::optional<nlohmann::json> ParseJsonWithComments(
    std::string_view text, std::vector<failure>* failures) {
  std::size_t position = 0;
  auto parsed = ParseJson(text, json_comments::kIgnored, &position);
  if (!parsed) {
    failures->push_back(
        {result_code::kDocumentSyntax,
         position == 0
             ? fmt::format("nested more than {} deep, or a number is too large",
                           kMaxJsonDepth)
             : fmt::format("byte {}: not JSON with comments", position)});
  }
  return parsed;
}

checked_json::checked_json(const nlohmann::json& value, std::string path,
                           std::vector<failure>* failures)
    : value_(value.is_object() ? &value : &EmptyObject()),
      path_(std::move(path)),
      failures_(failures) {
  if (value.is_object()) return;
  const std::string where = path_.empty() ? "the document" : path_;
  failures_->push_back(
      {result_code::kDocumentWrongType,
       fmt::format("{}: {} is not an object", where, Shown(value))});
}

std::string checked_json::PathOf(const std::string& key) const {
  return path_.empty() ? key : path_ + "." + key;
}

bool checked_json::Has(const std::string& key) const {
  return value_->contains(key);
}

void checked_json::Fail(const std::string& key, result_code code,
                        const std::string& reason) {
  failures_->push_back({code, fmt::format("{}: {}", PathOf(key), reason)});
}

void checked_json::FailType(const std::string& key, const nlohmann::json& value,
                            const char* expected) {
  Fail(key, result_code::kDocumentWrongType,
       fmt::format("{} is not {}", Shown(value), expected));
}

const nlohmann::json* checked_json::Find(const std::string& key,
                                         bool required) {
  known_.push_back(key);
  const auto found = value_->find(key);
  if (found != value_->end()) return &*found;
  if (required) Fail(key, result_code::kDocumentMissingKey, "is missing");
  return nullptr;
}

std::string checked_json::Text(const std::string& key,
                               const std::optional<std::string>& fallback) {
  const nlohmann::json* found = Find(key, !fallback);
  if (found == nullptr) return fallback.value_or("");
  if (found->is_string()) return found->get<std::string>();
  FailType(key, *found, "a text");
  return fallback.value_or("");
}

std::uint64_t checked_json::Number(const std::string& key, std::uint64_t low,
                                   std::uint64_t high,
                                   std::optional<std::uint64_t> fallback) {
  const nlohmann::json* found = Find(key, !fallback);
  if (found == nullptr) return fallback.value_or(low);
  if (!found->is_number_integer()) {
    FailType(key, *found, "a whole number");
    return fallback.value_or(low);
  }
  const bool negative =
      !found->is_number_unsigned() && found->get<std::int64_t>() < 0;
  const std::uint64_t number = negative ? 0 : found->get<std::uint64_t>();
  if (negative || number < low || number > high) {
    Fail(key, result_code::kDocumentOutOfRange,
         fmt::format("{} is not from {} to {}", Shown(*found), low, high));
    return fallback.value_or(low);
  }
  return number;
}

double checked_json::Real(const std::string& key, double low, double high,
                          std::optional<double> fallback) {
  const nlohmann::json* found = Find(key, !fallback);
  if (found == nullptr) return fallback.value_or(low);
  if (!found->is_number()) {
    FailType(key, *found, "a number");
    return fallback.value_or(low);
  }
  const auto number = found->get<double>();
  if (!(number >= low && number <= high)) {
    Fail(key, result_code::kDocumentOutOfRange,
         fmt::format("{} is not from {} to {}", Shown(*found), low, high));
    return fallback.value_or(low);
  }
  return number;
}

bool checked_json::Flag(const std::string& key, std::optional<bool> fallback) {
  const nlohmann::json* found = Find(key, !fallback);
  if (found == nullptr) return fallback.value_or(false);
  if (found->is_boolean()) return found->get<bool>();
  FailType(key, *found, "true or false");
  return fallback.value_or(false);
}

std::vector<checked_json> checked_json::Objects(const std::string& key,
                                                bool required) {
  std::vector<checked_json> result;
  const nlohmann::json* found = Find(key, required);
  if (found == nullptr) return result;
  if (!found->is_array()) {
    FailType(key, *found, "a list");
    return result;
  }
  for (std::size_t i = 0; i < found->size(); ++i) {
    result.emplace_back((*found)[i], fmt::format("{}[{}]", PathOf(key), i),
                        failures_);
  }
  return result;
}

std::vector<std::string> checked_json::Texts(const std::string& key,
                                             bool required) {
  std::vector<std::string> result;
  const nlohmann::json* found = Find(key, required);
  if (found == nullptr) return result;
  if (!found->is_array()) {
    FailType(key, *found, "a list");
    return result;
  }
  for (std::size_t i = 0; i < found->size(); ++i) {
    const nlohmann::json& element = (*found)[i];
    if (element.is_string()) {
      result.push_back(element.get<std::string>());
    } else {
      FailType(fmt::format("{}[{}]", key, i), element, "a text");
    }
  }
  return result;
}

std::optional<checked_json> checked_json::Object(const std::string& key) {
  const nlohmann::json* found = Find(key, false);
  if (found == nullptr) return std::nullopt;
  return checked_json(*found, PathOf(key), failures_);
}

void checked_json::Finish() {
  for (const auto& [key, value] : value_->items()) {
    if (std::find(known_.begin(), known_.end(), key) != known_.end()) continue;
    const std::string& unknown = key;
    const auto nearest = std::min_element(
        known_.begin(), known_.end(),
        [&](const std::string& left, const std::string& right) {
          return EditDistance(left, unknown) < EditDistance(right, unknown);
        });
    const std::string hint =
        nearest == known_.end()
            ? ""
            : fmt::format("; the nearest known key is \"{}\"", *nearest);
    Fail(key, result_code::kDocumentUnknownKey,
         fmt::format("unknown key with value {}{}", Shown(value), hint));
  }
}

}  // namespace tamaracklatch
