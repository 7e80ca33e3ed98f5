// Tests of the service document: every error is reported with its path, and the
// canonical text is stable.
#include "tamaracklatch/document/service_document.h"

#include <string>
#include <vector>

#include "support/property.h"

namespace tamaracklatch {
namespace {

constexpr const char* kDocument = R"({
  // the booking desk
  "service": "booking-desk", "version": 2,
  "addresses": ["127.0.0.1:7001/udp", "127.0.0.1:7002/tcp"],
  "eligible": {"ranges": ["127.0.0.0/8"], "zones": ["kl-1", "kl-2"]},
  "shares": [{"zone": "kl-1", "weight": 2}, {"weight": 1}],
  "flows": {"drain_limit_seconds": 600},
  "classes": [{"name": "hold", "guaranteed_share": 0.5, "urgency": 1}]
})";

struct bad_document {
  const char* name;
  const char* text;
  result_code code;
  const char* reason_part;
};

const std::vector<bad_document> kBadDocuments{
    {"syntax", "{", result_code::kDocumentSyntax, "byte"},
    {"not an object", "[1]", result_code::kDocumentWrongType, "not an object"},
    {"no version", R"({"service":"a","addresses":["127.0.0.1:1/udp"]})",
     result_code::kDocumentMissingKey, "version"},
    {"unknown key",
     R"({"service":"a","version":1,"addresses":["127.0.0.1:1/udp"],"sharez":[]})",
     result_code::kDocumentUnknownKey, "\"shares\""},
    {"nested path",
     R"({"service":"a","version":1,"addresses":["127.0.0.1:1/udp"],"classes":[{"name":"x","urgency":9}]})",
     result_code::kDocumentOutOfRange, "classes[0].urgency: 9"},
    {"negative",
     R"({"service":"a","version":-1,"addresses":["127.0.0.1:1/udp"]})",
     result_code::kDocumentOutOfRange, "version: -1"},
    {"bad address",
     R"({"service":"a","version":1,"addresses":["127.0.0.1:1/sctp"]})",
     result_code::kDocumentOutOfRange, "addresses[0]"},
    {"address twice",
     R"({"service":"a","version":1,"addresses":["127.0.0.1:1/udp","127.0.0.1:1/udp"]})",
     result_code::kDocumentDuplicate, "addresses[1]"},
    {"shares above one",
     R"({"service":"a","version":1,"addresses":["127.0.0.1:1/udp"],"classes":[{"name":"x","guaranteed_share":0.6},{"name":"y","guaranteed_share":0.6}]})",
     result_code::kDocumentOutOfRange, "more than 1"},
    {"bad range",
     R"({"service":"a","version":1,"addresses":["127.0.0.1:1/udp"],"eligible":{"ranges":["10.0.0.1/8"]}})",
     result_code::kBadRange, "eligible.ranges[0]"},
};

Test(document, each_error_is_reported) {
  for (const bad_document& row : kBadDocuments) {
    std::vector<failure> failures;
    cr_expect(!ParseDocument(row.text, &failures), "%s was accepted", row.name);
    cr_assert(!failures.empty(), "%s gave no reason", row.name);
    cr_expect(failures[0].code == row.code, "%s: %s", row.name,
              ToString(failures[0]).c_str());
    cr_expect(failures[0].reason.find(row.reason_part) != std::string::npos,
              "%s: %s", row.name, failures[0].reason.c_str());
  }
}

Test(document, all_errors_are_reported_at_once) {
  std::vector<failure> failures;
  cr_expect(!ParseDocument(R"({"service":"a b","version":0,"addresses":["x"]})",
                           &failures));
  cr_expect(failures.size() == 3);
}

Test(document, canonical_text_reads_back) {
  std::vector<failure> failures;
  const auto document = ParseDocument(kDocument, &failures);
  cr_assert(document.has_value());
  const std::string text = CanonicalText(*document);
  const auto again = ParseDocument(text, &failures);
  cr_assert(again.has_value());
  cr_expect(CanonicalText(*again) == text);
  cr_expect(document->flows.drain_limit == std::chrono::seconds(600));
  cr_expect(document->classes[0].queue_limit == request_class().queue_limit);
}

Test(document, shares_and_eligibility) {
  std::vector<failure> failures;
  const auto document = ParseDocument(kDocument, &failures);
  cr_assert(document.has_value());
  const ip_address local = MakeV4(0x7f000001);
  cr_expect(TargetWeight(*document, "kl-1", local, 4) == 8);
  cr_expect(TargetWeight(*document, "kl-2", local, 4) == 4);
  cr_expect(IsEligible(*document, "kl-1", local));
  cr_expect(!IsEligible(*document, "np-1", local));
  cr_expect(!IsEligible(*document, "kl-1", MakeV4(0x0a000001)));
}

Test(document, arbitrary_texts_never_crash) {
  test::CheckProperty("arbitrary texts", [](const std::string& text) {
    std::vector<failure> failures;
    RC_ASSERT(!ParseDocument(text, &failures));
    RC_ASSERT(!failures.empty());
  });
}

}  // namespace
}  // namespace tamaracklatch
