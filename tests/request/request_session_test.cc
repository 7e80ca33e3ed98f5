// Golden sessions: whole courses of requests, as the actions of the servers.
#include <fmt/format.h>

#include <string>
#include <vector>

#include "support/golden.h"
#include "tamaracklatch/request/request_server.h"

namespace tamaracklatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration kWallStart = seconds(1700000000);

// One action as a line.
struct action_text {
  std::string operator()(const start_attempt& a) const {
    return fmt::format("start attempt {} for request {}, deadline {} ms",
                       a.attempt.value, a.request.value,
                       a.deadline.time_since_epoch().count() / 1000);
  }
  std::string operator()(const cancel_attempt& a) const {
    return fmt::format("cancel attempt {}", a.attempt.value);
  }
  std::string operator()(const pause_attempt& a) const {
    return fmt::format("pause attempt {}", a.attempt.value);
  }
  std::string operator()(const resume_attempt& a) const {
    return fmt::format("resume attempt {}", a.attempt.value);
  }
  std::string operator()(const pass_request& a) const {
    return fmt::format(
        "pass request {} to {}", a.request.value,
        a.to ? fmt::format("target {}", a.to->index) : "the other candidate");
  }
  std::string operator()(const pass_to_owner& a) const {
    return fmt::format("pass request {} to the key's owner", a.request.value);
  }
  std::string operator()(const ask_owner& a) const {
    return fmt::format("ask target {} for key {}", a.owner.index,
                       ToString(a.key));
  }
  std::string operator()(const answer_refusal& a) const {
    return fmt::format("refuse request {}: {}{}, retry after {} ms ({})",
                       a.request.value, ToString(a.code),
                       a.not_run ? ", not_run" : "",
                       a.retry_after.count() / 1000, a.reason);
  }
  std::string operator()(const answer_whole& a) const {
    return fmt::format("answer request {}: {} \"{}\"", a.request.value,
                       a.answer->status, a.answer->body);
  }
  std::string operator()(const answer_begin& a) const {
    return fmt::format("begin answer of request {}: {}", a.request.value,
                       a.status);
  }
  std::string operator()(const answer_bytes& a) const {
    return fmt::format("{} bytes for request {}", a.bytes.size(),
                       a.request.value);
  }
  std::string operator()(const answer_end& a) const {
    return fmt::format("end answer of request {}", a.request.value);
  }
  std::string operator()(const answer_abort& a) const {
    return fmt::format("abort answer of request {}", a.request.value);
  }
};

// A server with one slot, and the text of what happened to it.
class session {
 public:
  explicit session(std::string name, duration started = -seconds(60))
      : name_(std::move(name)) {
    request_class logs;
    logs.name = "logs";
    logs.guaranteed_share = 1.0;
    logs.default_timeout = seconds(5);
    settings_.admission.slots = 1;
    settings_.admission.classes = {logs};
    settings_.answer_window = 100;
    settings_.owner.started = Wall(started);
    server_ =
        std::make_unique<request_server>(settings_, random_source(1), nullptr);
    server_->owner().Renew(time_point(seconds(1000)));
    server_->owner().Own(0, {1}, {}, Wall(started));
  }

  static wall_time Wall(duration since) {
    return wall_time(kWallStart + since);
  }

  static idempotency_key Key(duration minted, std::uint64_t number = 1) {
    return MintKey(Wall(minted), number, number);
  }

  void Note(const std::string& text) { text_ += "# " + text + "\n"; }

  void At(int ms) { now_ = time_point(milliseconds(ms)); }

  void Arrive(std::uint64_t id, std::optional<idempotency_key> key,
              std::optional<duration> timeout = std::nullopt,
              bool may_pass = false) {
    request_arrival arrival;
    arrival.id = {id};
    arrival.class_name = "logs";
    arrival.caller = {7};
    arrival.key = key;
    arrival.content = 42;
    arrival.timeout = timeout;
    arrival.may_pass = may_pass;
    Take(fmt::format("request {} arrives{}", id, key ? " with a key" : ""),
         server_->Arrive(arrival, now_, Wall(now_.time_since_epoch())));
  }

  void Answer(std::uint64_t attempt, const std::string& body) {
    Take(fmt::format("attempt {} begins to answer", attempt),
         server_->AnswerBegan({attempt}, 200, "", attempt_id{attempt}, now_));
    Take(fmt::format("attempt {} sends {} bytes", attempt, body.size()),
         server_->AnswerBytes({attempt}, body, now_));
    Take(fmt::format("attempt {} ends", attempt),
         server_->AnswerEnded({attempt}, now_));
  }

  void Take(const std::string& what, const request_actions& actions) {
    text_ += fmt::format("{} {} ms: {}\n", name_,
                         now_.time_since_epoch().count() / 1000, what);
    for (const request_action& action : actions) {
      text_ += "  " + std::visit(action_text(), action) + "\n";
    }
  }

  request_server& server() { return *server_; }
  time_point now() const { return now_; }
  const std::string& text() const { return text_; }

 private:
  std::string name_;
  request_server_settings settings_;
  std::unique_ptr<request_server> server_;
  time_point now_{};
  std::string text_;
};

Test(session, resend_after_a_lost_answer) {
  session a("a");
  const auto key = session::Key(milliseconds(0));
  a.Arrive(1, key);
  a.At(50);
  a.Note("the caller's line breaks; it asks again");
  a.Take("the caller of 1 leaves", a.server().CallerLeft({1}, a.now()));
  a.Arrive(2, key);
  a.At(100);
  a.Answer(1, "held");
  a.At(150);
  a.Note("that answer is lost too");
  a.Arrive(3, key);
  test::CheckGolden("request/golden/resend_after_a_lost_answer.txt", a.text());
}

Test(session, owner_restarts) {
  session before("a");
  const auto key = session::Key(milliseconds(0));
  before.Arrive(1, key);
  session after("a, started anew", milliseconds(500));
  after.At(1000);
  after.Note("it can't know whether the key ran");
  after.Arrive(1, key);
  after.At(7000);
  after.Note("a key minted after its start and the margin runs");
  after.Arrive(2, session::Key(milliseconds(6500), 2));
  test::CheckGolden("request/golden/owner_restarts.txt",
                    before.text() + after.text());
}

Test(session, key_moves_under_drain) {
  session a("a");
  const target_id a_id{0, 1};
  const auto key = session::Key(milliseconds(0), 1);
  a.Arrive(1, key);
  a.Note("a drains; the next view gives the bucket to b");
  a.server().Drain();
  a.Arrive(2, session::Key(milliseconds(1), 2));
  session b("b");
  b.server().owner().Disown(0);
  b.server().owner().Own(0, {2}, {a_id}, session::Wall(seconds(1)));
  b.At(1000);
  b.Note("a has not acknowledged the view yet");
  b.Arrive(1, key);
  b.At(1100);
  b.Note("a acknowledges");
  a.server().owner().Disown(0);
  b.server().owner().OwnerAcknowledged(a_id, {2}, session::Wall(seconds(1)));
  b.Arrive(2, key);
  const auto known = a.server().owner().Ask(key, 0, b.now());
  cr_expect(known == key_knowledge::kKnown);
  b.Take("a replies that it knows the key",
         b.server().OnReply(key, a_id, known, b.now()));
  b.Note("the key that a refused while it drained runs at b");
  const auto second = session::Key(milliseconds(1), 2);
  b.Arrive(3, second);
  const auto never = a.server().owner().Ask(second, 0, b.now());
  cr_expect(never == key_knowledge::kNever);
  b.Take("a replies that it never runs the key",
         b.server().OnReply(second, a_id, never, b.now()));
  a.At(1200);
  a.Note("a finishes what runs, and answers what b passes");
  a.Answer(1, "held");
  a.Arrive(4, key);
  test::CheckGolden("request/golden/key_moves_under_drain.txt",
                    a.text() + b.text());
}

Test(session, target_sheds) {
  session a("a");
  a.Arrive(1, std::nullopt, std::nullopt, true);
  a.Take("the target sheds attempt 1",
         a.server().AttemptNotRun({1}, result_code::kTargetShed, seconds(1),
                                  a.now()));
  a.Note("a keyed one stays at its owner: the budget has no retry yet");
  a.Arrive(2, session::Key(milliseconds(0), 2));
  a.Take("the target sheds attempt 2",
         a.server().AttemptNotRun({2}, result_code::kTargetShed, seconds(1),
                                  a.now()));
  a.Arrive(3, session::Key(milliseconds(0), 2));
  test::CheckGolden("request/golden/target_sheds.txt", a.text());
}

Test(session, deadline_passes_in_the_queue) {
  session a("a");
  a.Arrive(1, std::nullopt, seconds(2));
  a.Arrive(2, session::Key(milliseconds(0)), seconds(1));
  a.At(1000);
  a.Take("the time comes", a.server().Tick(a.now()));
  a.Arrive(3, session::Key(milliseconds(0)));
  a.At(2000);
  a.Take("the time comes", a.server().Tick(a.now()));
  a.At(2100);
  a.Note("the target's answer comes late");
  a.Answer(1, "late");
  test::CheckGolden("request/golden/deadline_passes_in_the_queue.txt",
                    a.text());
}

Test(session, caller_leaves) {
  session a("a");
  a.Arrive(1, std::nullopt);
  a.Arrive(2, std::nullopt);
  a.Arrive(3, session::Key(milliseconds(0)));
  a.At(10);
  a.Take("the caller of 2, which waits, leaves",
         a.server().CallerLeft({2}, a.now()));
  a.Take("the caller of 1, which runs, leaves",
         a.server().CallerLeft({1}, a.now()));
  a.Note("a keyed request that runs goes on, for a resend");
  a.Take("the caller of 3 leaves", a.server().CallerLeft({3}, a.now()));
  a.At(20);
  a.Answer(2, "kept");
  a.Arrive(4, session::Key(milliseconds(0)));
  test::CheckGolden("request/golden/caller_leaves.txt", a.text());
}

// An answer of any size passes with bounded memory: a slow caller pauses the
// target.
Test(session, a_long_answer_is_streamed) {
  session a("a");
  a.Arrive(1, std::nullopt);
  a.Take("begins", a.server().AnswerBegan({1}, 200, "", std::nullopt, a.now()));
  for (int i = 0; i < 4; ++i) {
    a.Take("60 bytes come",
           a.server().AnswerBytes({1}, std::string(60, 'x'), a.now()));
  }
  a.Take("the caller takes 120", a.server().BytesSent({1}, 120));
  a.Take("the caller takes 80", a.server().BytesSent({1}, 80));
  a.Take("the target breaks off", a.server().AttemptLost({1}, a.now()));
  test::CheckGolden("request/golden/a_long_answer_is_streamed.txt", a.text());
}

}  // namespace
}  // namespace tamaracklatch
