// Tables of the door between operators and the log: every request is answered
// once, and at once where its outcome is known or can't be known any more.
#include "daemon/gate_door.h"

#include <criterion/criterion.h>

#include <string>
#include <vector>

#include "control/document_sets.h"
#include "daemon/control_desk.h"

namespace tamaracklatch::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const log_leadership kLeads{true, ""};
const log_leadership kNobodyLeads{false, ""};
const log_leadership kOtherLeads{false, "control-2"};

// A control VM with a door for sets.
class set_desk {
 public:
  set_desk() {
    desk_.door = &door_;
    door_.SetLog(&desk_.log);
    door_.Tick(true, now_);
  }

  void Order(const document_set& set, const log_leadership& standing = kLeads) {
    const std::uint64_t request = door_.NextRequest();
    door_.Await<set_answer>(
        request,
        [this](const set_answer& answer) { answers.push_back(answer); },
        door_.gate().Replace(request, {set, SourceOf(set), "operator"},
                             standing, now_));
  }

  void Read() {
    const std::uint64_t request = door_.NextRequest();
    door_.Await<set_read_answer>(
        request,
        [this](const set_read_answer& answer) { reads.push_back(answer); },
        door_.gate().Read(request, now_));
  }

  void Tick(bool is_leader, duration later) {
    now_ += later;
    door_.Tick(is_leader, now_);
  }

  // Checks that there is one answer, of this code, and takes it.
  void ExpectOne(result_code code, const char* what) {
    cr_assert_eq(answers.size(), 1U, "%s: %zu answers", what, answers.size());
    cr_expect(answers.front().code == code, "%s: %s", what,
              std::string(ToString(answers.front().code)).c_str());
    answers.clear();
  }

  void Accept() { desk_.Accept(); }
  fake_log& log() { return desk_.log; }
  const control_state& state() const { return desk_.state; }

  std::vector<set_answer> answers;
  std::vector<set_read_answer> reads;

 private:
  control_desk<gate_door<document_set_handler>> desk_;
  time_point now_;
  gate_door<document_set_handler> door_{
      document_set_handler({}, &desk_.state, 1)};
};

struct outcome_row {
  result_code log;  // what the log says to the proposal
  unsigned set_status;
  int document_status;
};

// No status but that of a command that never fits is a final one.
const std::vector<outcome_row> kOutcomes{
    {result_code::kNotLeader, 503, 503},
    {result_code::kLogBusy, 503, 503},
    {result_code::kStorageStopped, 503, 503},
    {result_code::kOutcomeUnknown, 503, 504},
    {result_code::kCommandTooLarge, 503, 400},
};

Test(gate_door, what_the_log_says_is_the_answer_at_once) {
  for (const outcome_row& row : kOutcomes) {
    const std::string name(ToString(row.log));
    set_desk desk;
    const document_set set = MakeSet(7);
    desk.Order(set);
    cr_assert(desk.answers.empty(), "%s", name.c_str());
    desk.log().Answer(row.log);
    cr_expect_eq(document_set_handler::HttpStatus(row.log), row.set_status,
                 "%s", name.c_str());
    desk.ExpectOne(row.log, name.c_str());
    // Neither the time-out nor the loss of leadership answers it again.
    desk.Tick(false, seconds(60));
    cr_expect(desk.answers.empty(), "%s", name.c_str());
    // The same order may come again, and is taken.
    desk.Order(set);
    desk.Accept();
    desk.ExpectOne(result_code::kOk, name.c_str());
  }
}

Test(gate_door, documents_are_answered_by_the_same_table) {
  constexpr const char* kDocument =
      R"({"service":"desk","version":1,"addresses":["127.0.0.1:7001/udp"]})";
  const access_tokens tokens({{"team", "secret", {"desk"}}});
  for (const outcome_row& row : kOutcomes) {
    const std::string name(ToString(row.log));
    control_desk<gate_door<submission_handler>> desk;
    gate_door<submission_handler> door(submission_handler({}, &tokens, 1));
    desk.door = &door;
    door.SetLog(&desk.log);
    std::vector<submission_answer> answers;
    const auto submit = [&] {
      const std::uint64_t request = door.NextRequest();
      door.Await<submission_answer>(
          request,
          [&](const submission_answer& answer) { answers.push_back(answer); },
          door.gate().Submit(request, "desk", kDocument, "secret", {}));
    };
    submit();
    cr_assert(answers.empty(), "%s", name.c_str());
    desk.log.Answer(row.log);
    cr_assert_eq(answers.size(), 1U, "%s", name.c_str());
    cr_expect(answers.front().code == row.log, "%s", name.c_str());
    cr_expect_eq(submission_handler::HttpStatus(row.log), row.document_status,
                 "%s", name.c_str());
    door.Tick(false, time_point(seconds(60)));
    submit();
    desk.Accept();
    cr_assert_eq(answers.size(), 2U, "%s", name.c_str());
    cr_expect(answers.back().code == result_code::kOk, "%s", name.c_str());
  }
}

struct standing_row {
  const char* name;
  log_leadership standing;
  std::string leader;  // in the answer: where to send it
};

Test(gate_door, who_does_not_lead_says_so_at_once) {
  const std::vector<standing_row> rows{
      {"nobody leads", kNobodyLeads, ""},
      {"another leads", kOtherLeads, "control-2"},
  };
  for (const standing_row& row : rows) {
    set_desk desk;
    desk.Order(MakeSet(7), row.standing);
    cr_assert_eq(desk.answers.size(), 1U, "%s", row.name);
    cr_expect(desk.answers.front().leader == row.leader, "%s", row.name);
    desk.ExpectOne(result_code::kNotLeader, row.name);
    cr_expect(desk.log().proposals.empty(), "%s", row.name);
  }
}

struct resend_row {
  const char* name;
  std::uint64_t version;
  std::uint32_t content;
  log_leadership standing;
  result_code answer;
};

Test(gate_door, what_was_accepted_is_acknowledged_forever) {
  const std::vector<resend_row> rows{
      {"the same", 7, 0, kLeads, result_code::kOk},
      {"the same, no quorum", 7, 0, kNobodyLeads, result_code::kOk},
      {"the same, another leads", 7, 0, kOtherLeads, result_code::kOk},
      {"other content", 7, 5, kLeads, result_code::kOk},
      {"an older one", 3, 0, kNobodyLeads, result_code::kSetSuperseded},
  };
  for (const resend_row& row : rows) {
    set_desk desk;
    desk.Order(MakeSet(7));
    desk.Accept();
    desk.ExpectOne(result_code::kOk, row.name);
    desk.Order(MakeSet(row.version, 1, row.content), row.standing);
    desk.ExpectOne(row.answer, row.name);
    cr_expect(desk.log().proposals.empty(), "%s", row.name);
    cr_expect(desk.state().held_set()->source_text == SourceOf(MakeSet(7)),
              "%s", row.name);
  }
}

Test(gate_door, a_resend_under_way_shares_the_proposal) {
  set_desk desk;
  desk.Order(MakeSet(7));
  desk.Order(MakeSet(7));
  cr_assert_eq(desk.log().proposals.size(), 1U);
  desk.Accept();
  cr_assert_eq(desk.answers.size(), 2U);
  for (const set_answer& answer : desk.answers)
    cr_expect(answer.code == result_code::kOk);
}

Test(gate_door, a_lost_leader_answers_what_waits) {
  set_desk desk;
  desk.Order(MakeSet(7));
  desk.Tick(false, milliseconds(0));
  desk.ExpectOne(result_code::kOutcomeUnknown, "leader lost");
  // The log says the same later, and the entry is accepted after all.
  desk.Accept();
  cr_expect(desk.answers.empty());
  desk.Order(MakeSet(7), kOtherLeads);
  desk.ExpectOne(result_code::kOk, "accepted after all");
}

Test(gate_door, a_silent_log_is_waited_for_until_the_time_out) {
  set_desk desk;
  desk.Order(MakeSet(7));
  desk.Read();
  const duration timeout = document_set_handler_settings().timeout;
  desk.Tick(true, timeout - milliseconds(1));
  cr_expect(desk.answers.empty() && desk.reads.empty());
  desk.Tick(true, milliseconds(1));
  desk.ExpectOne(result_code::kOutcomeUnknown, "time-out");
  cr_assert_eq(desk.reads.size(), 1U);
  cr_expect(desk.reads.front().code == result_code::kOutcomeUnknown);
  desk.log().Answer(result_code::kOutcomeUnknown);
  desk.log().AnswerReads(result_code::kOk);
  cr_expect(desk.answers.empty() && desk.reads.size() == 1);
}

Test(gate_door, a_read_gives_the_set_only_where_the_log_confirms) {
  set_desk desk;
  desk.Order(MakeSet(7));
  desk.Accept();
  for (const result_code code : {result_code::kOk, result_code::kNotLeader}) {
    desk.reads.clear();
    desk.Read();
    cr_assert(desk.reads.empty());
    desk.log().AnswerReads(code);
    cr_assert_eq(desk.reads.size(), 1U);
    cr_expect(desk.reads.front().code == code);
    cr_expect_eq(desk.reads.front().set != nullptr, code == result_code::kOk);
  }
}

}  // namespace
}  // namespace tamaracklatch::test
