// Tests of the bounds on JSON that other processes wrote.
#include "core/json_text.h"

#include <criterion/criterion.h>

#include <string>

#include "tamaracklatch/document/service_document.h"

namespace tamaracklatch {
namespace {

std::string Nested(std::size_t depth, const char* open, const char* close) {
  std::string text;
  for (std::size_t at = 0; at < depth; ++at) text += open;
  text += "1";
  for (std::size_t at = 0; at < depth; ++at) text += close;
  return text;
}

Test(json_text, bounds_nesting_size_and_numbers) {
  struct row {
    const char* name;
    std::string text;
    bool is_read;
  };
  const row rows[] = {
      {"flat", R"({"a":[1,"x",null]})", true},
      {"the deepest", Nested(kMaxJsonDepth, "[", "]"), true},
      {"one deeper", Nested(kMaxJsonDepth + 1, "[", "]"), false},
      {"objects", Nested(kMaxJsonDepth + 1, R"({"a":)", "}"), false},
      {"a body's worth", Nested(500000, "[", "]"), false},
      {"cut short", Nested(500000, "[", ""), false},
      {"brackets in a text", "\"" + std::string(1000, '[') + "\"", true},
      {"no such number", "1e999", false},
      {"bytes", "\xff", false},
      {"nothing", "", false},
  };
  for (const row& each : rows) {
    cr_expect(ParseJson(each.text).has_value() == each.is_read, "%s",
              each.name);
  }
}

Test(json_text, reads_whole_numbers_only) {
  struct row {
    const char* text;
    std::optional<std::uint64_t> number;
  };
  const row rows[] = {
      {R"({"n":7})", 7},
      {R"({"n":9007199254740992})", kMaxJsonNumber},
      {R"({"n":9007199254740993})", std::nullopt},
      {R"({"n":18446744073709551616})", std::nullopt},
      {R"({"n":-1})", std::nullopt},
      {R"({"n":1.5})", std::nullopt},
      {R"({"n":"7"})", std::nullopt},
      {"{}", std::nullopt},
  };
  for (const row& each : rows) {
    const auto object = ParseJsonObject(each.text);
    cr_assert(object.has_value());
    cr_expect(WholeNumberAt(*object, "n") == each.number, "%s", each.text);
  }
  cr_expect(!ParseJsonObject("[]"));
}

// A fault quotes the value, so a nested one must not reach the writer, which
// calls itself for each level.
Test(json_text, a_nested_document_is_refused_with_its_code) {
  for (const std::size_t depth : {100U, 30000U}) {
    std::vector<failure> failures;
    const std::string text =
        "{\"service\":" + Nested(depth, "[", "]") + ",\"version\":1}";
    cr_expect(!ParseDocument(text, &failures));
    cr_assert(!failures.empty());
    cr_expect(failures.front().code == result_code::kDocumentSyntax);
  }
}

}  // namespace
}  // namespace tamaracklatch
