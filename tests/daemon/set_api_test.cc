// The operators' calls of document sets, request by request, over a log that is
// told what to answer.
#include "daemon/set_api.h"

#include <criterion/criterion.h>

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "daemon/control_desk.h"

namespace tamaracklatch::test {
namespace {

const log_leadership kLeads{true, ""};
const log_leadership kNobodyLeads{false, ""};

constexpr const char* kServices = R"("services":["desk"],)";
constexpr const char* kRoute =
    R"({"name":"r","where":"198.18.0.1:443","shares":[{"service":"desk"}]})";

// A set that is valid, with a comment that only the kept text has.
std::string TextOf(std::uint64_t version, const std::string& routes = kRoute) {
  return "{\"version\":" + std::to_string(version) + ", // as sent\n" +
         kServices + "\"routes\":[" + routes + "]}";
}

process_settings Process() {
  process_settings result;
  result.name = "control-1";
  result.level = log_level::kError;
  return result;
}

// A control VM with the API of sets.
class set_api_desk {
 public:
  set_api_desk() {
    desk_.door = &api_;
    api_.SetLog(&desk_.log);
  }

  // Sends a request; false where the leader has to be asked.
  bool Send(const std::string& method, const std::string& body,
            const log_leadership& standing = kLeads,
            const std::string& token = "secret") {
    http_request request;
    request.method = method;
    request.path = "/v1/set";
    request.fields = {{"Authorization", "Bearer " + token}};
    request.body = body;
    answer_.reset();
    return api_.Handle(
        request,
        [this](const http_response& response) {
          cr_assert(!answer_, "answered twice");
          answer_ = response;
        },
        standing);
  }

  // Checks the status of the answer and gives its body.
  std::string Expect(unsigned status, const char* what) {
    cr_assert(answer_.has_value(), "%s: no answer", what);
    cr_expect_eq(answer_->status, status, "%s: %u, %s", what, answer_->status,
                 answer_->body.c_str());
    return answer_->body;
  }

  // Has the set accepted.
  void Hold(std::uint64_t version) {
    cr_assert(Send("PUT", TextOf(version)));
    desk_.Accept();
    Expect(200, "held");
  }

  // Reads back the set that is held.
  void ExpectHeld(const std::string& text, const char* what) {
    cr_assert(Send("GET", ""));
    desk_.log.AnswerReads(result_code::kOk);
    cr_expect(Expect(200, what) == text, "%s", what);
  }

  void LoseLeader() {
    api_.Tick(true);
    api_.Tick(false);
  }

  bool IsAnswered() const { return answer_.has_value(); }
  const http_response& answer() const { return *answer_; }
  fake_log& log() { return desk_.log; }
  void Accept() { desk_.Accept(); }

 private:
  process_frame frame_{Process(), process_role::kControl};
  access_tokens tokens_{{{"team", "secret", {"*"}}, {"desk", "one", {"desk"}}}};
  control_desk<set_api> desk_;
  set_api api_{&frame_, &tokens_, &desk_.state};
  std::optional<http_response> answer_;
};

Test(set_api, a_set_is_held_and_given_back_as_sent) {
  set_api_desk desk;
  cr_assert(desk.Send("GET", ""));
  desk.log().AnswerReads(result_code::kOk);
  desk.Expect(404, "before the first");
  cr_assert(desk.Send("PUT", TextOf(7)));
  cr_assert(!desk.IsAnswered());
  desk.Accept();
  const auto body = nlohmann::json::parse(desk.Expect(200, "first"));
  cr_expect(body["version"] == 7 && body["held_version"] == 7);
  desk.ExpectHeld(TextOf(7), "read back");
  cr_expect(desk.answer().fields.front().name == "ETag");
  cr_expect(desk.answer().fields.front().value == "\"7\"");
}

struct held_row {
  const char* name;
  std::string body;
  unsigned status;
  std::string result;  // its name
};

// What is sent while version 7 is held, with the leader lost.
Test(set_api, held_invalid_and_newer_sets_without_a_quorum) {
  const std::string two = std::string(kRoute) + "," + kRoute;
  const std::vector<held_row> rows{
      {"the same", TextOf(7), 200, "accepted"},
      {"other content", TextOf(7, ""), 200, "accepted"},
      {"stale", TextOf(3), 200, "set_superseded"},
      {"newer", TextOf(8), 503, "not_leader"},
      {"cut short", TextOf(8).substr(0, 40), 422, "set_invalid"},
      {"one place twice", TextOf(8, two), 422, "set_invalid"},
      {"empty", "", 422, "set_invalid"},
  };
  for (const held_row& row : rows) {
    set_api_desk desk;
    desk.Hold(7);
    cr_assert(desk.Send("PUT", row.body, kNobodyLeads), "%s", row.name);
    const auto body = nlohmann::json::parse(desk.Expect(row.status, row.name));
    cr_expect(body["result"] == row.result, "%s: %s", row.name,
              body.dump().c_str());
    cr_expect(desk.log().proposals.empty(), "%s", row.name);
    desk.ExpectHeld(TextOf(7), row.name);
  }
}

struct refusal_row {
  const char* name;
  result_code log;  // what becomes of the proposal
};

Test(set_api, a_valid_set_without_a_quorum_may_come_again) {
  const std::vector<refusal_row> rows{
      {"no leader any more", result_code::kNotLeader},
      {"unknown", result_code::kOutcomeUnknown},
      {"log busy", result_code::kLogBusy},
      {"disk gone", result_code::kStorageStopped},
  };
  for (const refusal_row& row : rows) {
    set_api_desk desk;
    cr_assert(desk.Send("PUT", TextOf(7)), "%s", row.name);
    desk.log().Answer(row.log);
    desk.Expect(503, row.name);
    desk.Hold(7);
  }
  set_api_desk desk;
  cr_assert(desk.Send("PUT", TextOf(7)));
  desk.LoseLeader();
  desk.Expect(503, "leader lost");
}

Test(set_api, another_leader_is_asked_only_for_what_is_new) {
  const log_leadership other{false, "control-2"};
  set_api_desk desk;
  desk.Hold(7);
  cr_expect(!desk.Send("PUT", TextOf(8), other));
  cr_expect(!desk.IsAnswered());
  cr_expect(desk.Send("PUT", TextOf(7), other));
  desk.Expect(200, "held here");
}

Test(set_api, reads_that_can_not_be_sure_say_so) {
  set_api_desk desk;
  desk.Hold(7);
  for (const result_code code :
       {result_code::kNotLeader, result_code::kStorageStopped}) {
    cr_assert(desk.Send("GET", "", kNobodyLeads));
    desk.log().AnswerReads(code);
    desk.Expect(503, "read");
  }
}

Test(set_api, only_a_token_for_all_services_replaces_the_set) {
  set_api_desk desk;
  for (const char* token : {"", "one", "wrong"}) {
    cr_assert(desk.Send("PUT", TextOf(7), kLeads, token));
    desk.Expect(403, token);
  }
  cr_expect(desk.log().proposals.empty());
  cr_assert(desk.Send("DELETE", ""));
  desk.Expect(404, "method");
}

}  // namespace
}  // namespace tamaracklatch::test
