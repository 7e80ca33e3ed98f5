// Tests of admission: limits, order of classes and callers, refusals by
// deadline, and the invariants over random schedules.
#include "tamaracklatch/admission/admission_queue.h"

#include <map>
#include <set>
#include <string>
#include <vector>

#include "support/property.h"

namespace tamaracklatch {
namespace {

using std::chrono::milliseconds;

time_point At(int ms) { return time_point(milliseconds(ms)); }

request_class Class(const std::string& name, double share, std::uint8_t urgency,
                    std::uint32_t queue_limit = 64,
                    std::uint32_t caller_limit = 8) {
  request_class made;
  made.name = name;
  made.guaranteed_share = share;
  made.urgency = urgency;
  made.queue_limit = queue_limit;
  made.caller_limit = caller_limit;
  return made;
}

admission_settings Settings(std::uint32_t slots,
                            std::vector<request_class> classes) {
  admission_settings settings;
  settings.slots = slots;
  settings.classes = std::move(classes);
  return settings;
}

admission_request Request(std::uint64_t id, std::size_t class_index,
                          std::uint64_t caller, int deadline_ms = 100000) {
  admission_request request;
  request.id = {id};
  request.class_index = class_index;
  request.caller = {caller};
  request.deadline = At(deadline_ms);
  return request;
}

// Formats actions, for example as "run 1, pass 2, queue_full 3".
std::string Text(const std::vector<admission_action>& actions) {
  std::string text;
  for (const admission_action& action : actions) {
    if (!text.empty()) text += ", ";
    if (const auto* run = std::get_if<admission_dispatch>(&action)) {
      text += "run " + std::to_string(run->id.value);
    } else if (const auto* pass = std::get_if<admission_pass>(&action)) {
      text += "pass " + std::to_string(pass->id.value);
    } else {
      const auto& refusal = std::get<admission_refusal>(action);
      text += std::string(ToString(refusal.code)) + " " +
              std::to_string(refusal.id.value);
    }
  }
  return text;
}

void Expect(const std::vector<admission_action>& actions,
            const std::string& expected) {
  cr_expect(Text(actions) == expected, "got \"%s\", not \"%s\"",
            Text(actions).c_str(), expected.c_str());
}

Test(admission, free_slots_run_at_once_and_the_rest_waits) {
  admission_queue queue(Settings(2, {Class("a", 0.0, 3)}));
  Expect(queue.Arrive(Request(1, 0, 1), At(0)), "run 1");
  Expect(queue.Arrive(Request(2, 0, 1), At(0)), "run 2");
  Expect(queue.Arrive(Request(3, 0, 1), At(0)), "");
  cr_expect(queue.running() == 2 && queue.waiting() == 1);
  Expect(queue.Finish({1}, run_outcome::kAnswered, At(5)), "run 3");
}

Test(admission, limits_refuse_before_dispatch) {
  admission_queue queue(Settings(1, {Class("a", 0.0, 3, 2, 2)}));
  Expect(queue.Arrive(Request(1, 0, 1), At(0)), "run 1");
  Expect(queue.Arrive(Request(2, 0, 1), At(0)), "");
  Expect(queue.Arrive(Request(3, 0, 1), At(0)), "caller_limit 3");
  Expect(queue.Arrive(Request(4, 0, 2), At(0)), "");
  Expect(queue.Arrive(Request(5, 0, 3), At(0)), "queue_full 5");
  Expect(queue.Arrive(Request(6, 0, 3, 0), At(0)), "deadline_passed 6");
}

Test(admission, a_full_queue_displaces_the_busiest_callers_newest) {
  admission_queue queue(Settings(1, {Class("a", 0.0, 3, 3)}));
  for (std::uint64_t id = 1; id <= 4; ++id) {
    queue.Arrive(Request(id, 0, 1), At(0));
  }
  Expect(queue.Arrive(Request(5, 0, 2), At(0)), "queue_full 4");
  Expect(queue.Finish({1}, run_outcome::kAnswered, At(5)), "run 5");
}

Test(admission, a_request_that_would_wait_is_passed) {
  admission_queue queue(Settings(1, {Class("a", 0.0, 3)}));
  admission_request second = Request(2, 0, 2);
  second.may_pass = true;
  Expect(queue.Arrive(Request(1, 0, 1), At(0)), "run 1");
  Expect(queue.Arrive(second, At(0)), "pass 2");
  queue.Drain();
  second.id = {3};
  Expect(queue.Arrive(second, At(1)), "pass 3");
  Expect(queue.Arrive(Request(4, 0, 2), At(1)), "draining 4");
}

Test(admission, callers_take_turns) {
  admission_queue queue(Settings(1, {Class("a", 0.0, 3)}));
  queue.Arrive(Request(1, 0, 1), At(0));
  for (std::uint64_t id = 2; id <= 5; ++id) {
    queue.Arrive(Request(id, 0, 1), At(0));
  }
  queue.Arrive(Request(6, 0, 2), At(0));
  queue.Arrive(Request(7, 0, 2), At(0));
  std::string order;
  for (std::uint64_t id : {1, 6, 2, 7, 3, 4}) {
    order += Text(queue.Finish({id}, run_outcome::kAnswered, At(1))) + " ";
  }
  cr_expect(order == "run 6 run 2 run 7 run 3 run 4 run 5 ", "%s",
            order.c_str());
}

struct order_row {
  const char* name;
  admission_policy policy;
  const char* order;
};

// A class of low urgency with a share of one half competes with an urgent class
// that has no share.
Test(admission, policies_order_the_classes) {
  const std::vector<order_row> rows{
      {"floors", floors_then_urgency{}, "urgent calm urgent calm "},
      {"urgency", urgency_only{}, "urgent urgent urgent urgent "},
      {"arrival", arrival_order{}, "urgent calm urgent calm "}};
  for (const order_row& row : rows) {
    admission_settings settings =
        Settings(1, {Class("calm", 0.5, 7), Class("urgent", 0.0, 0)});
    settings.policy = row.policy;
    settings.refuse_early = false;
    settings.fair_queuing = false;
    settings.credit_time = milliseconds(100);
    admission_queue queue(settings);
    queue.Arrive(Request(100, 0, 1), At(0));
    for (std::uint64_t id = 0; id < 10; ++id) {
      // Even numbers are urgent.
      queue.Arrive(Request(id + 1, id % 2 == 0 ? 1 : 0, id), At(0));
    }
    std::string order;
    request_id running{100};
    for (int turn = 1; turn <= 4; ++turn) {
      const auto actions =
          queue.Finish(running, run_outcome::kAnswered, At(100 * turn));
      running = std::get<admission_dispatch>(actions.at(0)).id;
      order += running.value % 2 == 1 ? "urgent " : "calm ";
    }
    cr_expect(order == row.order, "%s: %s", row.name, order.c_str());
  }
}

Test(admission, deadlines_that_cant_be_met_are_refused_early) {
  admission_queue queue(Settings(1, {Class("a", 1.0, 3)}));
  queue.Arrive(Request(1, 0, 1), At(0));
  queue.Finish({1}, run_outcome::kAnswered, At(100));
  Expect(queue.Arrive(Request(2, 0, 1, 1000), At(100)), "run 2");
  Expect(queue.Arrive(Request(3, 0, 1, 400), At(100)), "");
  Expect(queue.Arrive(Request(4, 0, 1, 250), At(100)), "deadline_unmeetable 4");
  cr_assert(queue.NextTimer().has_value());
  cr_expect(*queue.NextTimer() == At(400));
  Expect(queue.Tick(At(400)), "deadline_passed 3");
}

Test(admission, slots_in_use_fall_when_the_target_sheds) {
  admission_queue queue(Settings(8, {Class("a", 1.0, 3)}));
  for (std::uint64_t id = 1; id <= 8; ++id) {
    queue.Arrive(Request(id, 0, id), At(0));
  }
  for (std::uint64_t id = 5; id <= 8; ++id) {
    queue.Finish({id}, run_outcome::kShed, At(1));
  }
  cr_expect(queue.slots_in_use() == 4, "%u", queue.slots_in_use());
}

// One shed run in twenty is not taken as a sign of too many slots: the target
// may have another reason.
Test(admission, single_sheds_leave_the_slots) {
  admission_queue queue(Settings(4, {Class("a", 1.0, 3)}));
  for (std::uint64_t id = 1; id <= 400; ++id) {
    queue.Arrive(Request(id, 0, id), At(static_cast<int>(id)));
    queue.Finish({id},
                 id % 20 == 0 ? run_outcome::kShed : run_outcome::kAnswered,
                 At(static_cast<int>(id)));
  }
  cr_expect(queue.slots_in_use() == 4, "%u", queue.slots_in_use());
}

// A target that reports more slots than it has processes all runs concurrently,
// each more slowly. The slots in use must then approach its true slots.
Test(admission, slots_in_use_fall_when_full_load_is_slower) {
  admission_queue queue(Settings(8, {Class("a", 1.0, 3, 64, 64)}));
  constexpr int kTrueSlots = 4;
  std::uint64_t next = 0;
  int now = 0;
  for (int round = 0; round < 200; ++round) {
    // Light load, with full load in every tenth round.
    const std::uint64_t count = round % 10 != 0 ? 3 : 60;
    std::vector<request_id> ran;
    for (std::uint64_t i = 0; i < count; ++i) {
      ++next;
      for (const auto& action :
           queue.Arrive(Request(next, 0, next, now + 90000), At(now))) {
        ran.push_back(std::get<admission_dispatch>(action).id);
      }
    }
    while (!ran.empty()) {
      const int load = static_cast<int>(ran.size());
      now += 100 * std::max(1, (load + kTrueSlots - 1) / kTrueSlots);
      std::vector<request_id> begun;
      for (const request_id id : ran) {
        for (const auto& action :
             queue.Finish(id, run_outcome::kAnswered, At(now))) {
          begun.push_back(std::get<admission_dispatch>(action).id);
        }
      }
      ran = begun;
    }
  }
  cr_expect(queue.slots_in_use() >= 3 && queue.slots_in_use() <= 5, "%u",
            queue.slots_in_use());
}

// Runs a queue through a random schedule and checks its invariants.
class schedule_check {
 public:
  explicit schedule_check(admission_settings settings)
      : settings_(settings), queue_(std::move(settings)) {}

  void Step(std::uint32_t choice, std::uint32_t detail) {
    now_ += milliseconds(detail % 50);
    switch (choice % 4) {
      case 0:
      case 1:
        Arrive(detail);
        break;
      case 2:
        Finish(detail);
        break;
      default:
        LeaveOrTick(detail);
        break;
    }
    CheckBounds();
  }

  // Advances past all deadlines: no request may wait afterwards.
  void End() {
    while (const auto timer = queue_.NextTimer()) {
      now_ = std::max(now_, *timer);
      Take(queue_.Tick(now_));
    }
    RC_ASSERT(queue_.waiting() == 0U);
    RC_ASSERT(waiting_.empty());
  }

 private:
  void Arrive(std::uint32_t detail) {
    admission_request request;
    request.id = {++last_};
    request.class_index = detail % settings_.classes.size();
    request.caller = {detail / 7 % 5};
    request.deadline = now_ + milliseconds(detail / 3 % 400);
    request.may_pass = detail % 11 == 0;
    waiting_[request.id] = request.deadline;
    Take(queue_.Arrive(request, now_));
  }

  void Finish(std::uint32_t detail) {
    if (running_.empty()) return;
    auto at = running_.begin();
    std::advance(at, detail % running_.size());
    const request_id id = *at;
    running_.erase(at);
    Take(queue_.Finish(id, static_cast<run_outcome>(detail % 3), now_));
  }

  void LeaveOrTick(std::uint32_t detail) {
    if (detail % 2 == 0 && !waiting_.empty()) {
      const request_id id = waiting_.begin()->first;
      RC_ASSERT(queue_.Cancel(id, now_));
      waiting_.erase(id);
      return;
    }
    Take(queue_.Tick(now_));
  }

  // Each waiting request gets one action, and no other request gets any.
  void Take(const std::vector<admission_action>& actions) {
    for (const admission_action& action : actions) {
      const request_id id =
          std::visit([](const auto& each) { return each.id; }, action);
      RC_ASSERT(waiting_.count(id) == 1U);
      if (std::holds_alternative<admission_dispatch>(action)) {
        RC_ASSERT(waiting_[id] > now_);
        running_.insert(id);
      }
      waiting_.erase(id);
    }
    // No request waits past its deadline.
    for (const auto& [id, deadline] : waiting_) RC_ASSERT(deadline > now_);
  }

  void CheckBounds() {
    RC_ASSERT(queue_.running() == running_.size());
    RC_ASSERT(queue_.waiting() == waiting_.size());
    RC_ASSERT(running_.size() <= settings_.slots);
    // No slot stays free while a request waits.
    RC_ASSERT(waiting_.empty() || running_.size() >= queue_.slots_in_use());
    for (std::size_t i = 0; i < settings_.classes.size(); ++i) {
      RC_ASSERT(queue_.waiting(i) <= settings_.classes[i].queue_limit);
    }
  }

  admission_settings settings_;
  admission_queue queue_;
  time_point now_{};
  std::uint64_t last_ = 0;
  std::map<request_id, time_point> waiting_;
  std::set<request_id> running_;
};

Test(admission, invariants_hold_over_random_schedules) {
  test::CheckProperty(
      "admission over random schedules",
      [](const std::vector<std::pair<std::uint16_t, std::uint16_t>>& steps,
         std::uint8_t seed) {
        admission_settings settings = Settings(
            1 + seed % 4, {Class("a", 0.5, 7, 5, 4), Class("b", 0.3, 3, 4, 3),
                           Class("c", 0.0, 0, 3, 8)});
        schedule_check check(settings);
        for (const auto& [choice, detail] : steps) check.Step(choice, detail);
        check.End();
      });
}

}  // namespace
}  // namespace tamaracklatch
