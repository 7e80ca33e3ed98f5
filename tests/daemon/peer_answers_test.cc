// Tests of answers of other target daemons, also of such as answer no question.
#include "daemon/peer_answers.h"

#include <criterion/criterion.h>

namespace tamaracklatch {
namespace {

Test(peer_answers, tell_nothing_unless_whole) {
  struct row {
    const char* body;
    std::optional<revision> at;
    std::optional<key_knowledge> knowledge;
  };
  const row rows[] = {
      {R"({"at":7})", revision{7}, std::nullopt},
      {R"({"knowledge":0})", std::nullopt, key_knowledge{0}},
      {R"({"knowledge":2})", std::nullopt, key_knowledge{2}},
      {R"({"knowledge":3})", std::nullopt, std::nullopt},
      {R"({"at":"7","knowledge":"1"})", std::nullopt, std::nullopt},
      {R"({"at":-1,"knowledge":-1})", std::nullopt, std::nullopt},
      {"{}\n", std::nullopt, std::nullopt},  // a refusal
      {"[]", std::nullopt, std::nullopt},
      {"", std::nullopt, std::nullopt},
  };
  for (const row& each : rows) {
    cr_expect(ReadAcknowledgedRevision(each.body) == each.at, "%s", each.body);
    cr_expect(ReadKeyKnowledge(each.body) == each.knowledge, "%s", each.body);
  }
}

}  // namespace
}  // namespace tamaracklatch
