// A JSON object that is read key by key against what is expected. It collects
// every fault with its path, value and reason, and names the nearest known key
// for one that nobody asked for. Settings and documents are read through it.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "tamaracklatch/core/result_code.h"

namespace tamaracklatch {

// Parses JSON with comments. On failure adds the position to `failures`.
std::optional<nlohmann::json> ParseJsonWithComments(
    std::string_view text, std::vector<failure>* failures);

// One object while it is read. Call Finish() last: it reports the keys that
// were not asked for. Invariant: `known_` holds every key asked for so far.
class checked_json {
 public:
  // `value` and `failures` must outlive the reader. `path` is empty for the
  // outermost object.
  checked_json(const nlohmann::json& value, std::string path,
               std::vector<failure>* failures);

  // A text; `fallback` where the key is absent, a fault where there is no
  // fallback either.
  std::string Text(const std::string& key,
                   const std::optional<std::string>& fallback = std::nullopt);

  // A whole number from `low` to `high`.
  std::uint64_t Number(const std::string& key, std::uint64_t low,
                       std::uint64_t high,
                       std::optional<std::uint64_t> fallback = std::nullopt);

  // A number from `low` to `high`.
  double Real(const std::string& key, double low, double high,
              std::optional<double> fallback = std::nullopt);

  bool Flag(const std::string& key,
            std::optional<bool> fallback = std::nullopt);

  // The elements of an array, each with the path of its own; none where the key
  // is absent and `required` is false.
  std::vector<checked_json> Objects(const std::string& key, bool required);
  std::vector<std::string> Texts(const std::string& key, bool required);

  // The object under the key, or nothing where it is absent.
  std::optional<checked_json> Object(const std::string& key);

  bool Has(const std::string& key) const;

  // Reports a fault at a key of this object.
  void Fail(const std::string& key, result_code code,
            const std::string& reason);

  // Path of a key of this object, as faults name it: "classes[2].urgency".
  std::string PathOf(const std::string& key) const;

  // Reports every key that was not asked for, with the nearest one that was.
  void Finish();

 private:
  const nlohmann::json* Find(const std::string& key, bool required);
  void FailType(const std::string& key, const nlohmann::json& value,
                const char* expected);

  const nlohmann::json*
      value_;  // an object; an empty one where the input was something else
  std::string path_;
  std::vector<failure>* failures_;
  std::vector<std::string> known_;
};

// Number of single-character edits between two texts.
std::size_t EditDistance(std::string_view left, std::string_view right);

}  // namespace tamaracklatch
