// Properties of the request plane over random schedules.
#include <set>
#include <string>
#include <vector>

#include "request/request_world.h"
#include "support/property.h"

namespace tamaracklatch {
namespace {

Test(request, promises_hold_over_random_schedules) {
  test::CheckProperty("no key runs twice, no not_run ran, answers are whole",
                      [](std::uint64_t seed) {
                        test::world_settings settings;
                        settings.seed = seed;
                        test::request_world world(settings);
                        const auto broken = world.Run();
                        if (!broken.empty()) RC_FAIL(broken[0]);
                      });
}

// A server with a target that never fails: whatever was taken before the stop
// is answered whole, and nothing is taken afterwards.
Test(request, a_stop_loses_no_request_in_progress) {
  test::CheckProperty(
      "all that was taken before the stop is answered",
      [](const std::vector<std::uint8_t>& steps, std::uint8_t stop_at) {
        request_class only;
        only.name = "cards";
        request_server_settings settings;
        settings.admission.slots = 2;
        settings.admission.classes = {only};
        request_server server(settings, random_source(1), nullptr);
        time_point now{};
        std::set<request_id> taken;
        std::vector<attempt_id> working;
        const auto apply = [&](const request_actions& actions) {
          for (const request_action& action : actions) {
            if (const auto* start = std::get_if<start_attempt>(&action)) {
              working.push_back(start->attempt);
            } else if (const auto* whole = std::get_if<answer_whole>(&action)) {
              RC_ASSERT(taken.erase(whole->request) == 1U);
            } else if (const auto* no = std::get_if<answer_refusal>(&action)) {
              // Refused on arrival, not later.
              RC_ASSERT(no->not_run);
              RC_ASSERT(taken.size() > 0U && *taken.rbegin() == no->request);
              taken.erase(no->request);
            }
          }
        };
        const auto end_one = [&] {
          if (working.empty()) return;
          const attempt_id attempt = working.front();
          working.erase(working.begin());
          apply(server.AnswerBegan(attempt, 200, "", attempt, now));
          apply(server.AnswerEnded(attempt, now));
        };
        for (std::size_t i = 0; i < steps.size(); ++i) {
          now += std::chrono::milliseconds(steps[i] % 8);
          if (i == stop_at % 32U) server.Drain();
          request_arrival arrival;
          arrival.id = {i + 1};
          arrival.class_name = "cards";
          arrival.caller = {steps[i] % 5U};
          taken.insert(arrival.id);
          apply(server.Arrive(arrival, now, wall_time()));
          if (i >= stop_at % 32U) RC_ASSERT(taken.count(arrival.id) == 0U);
          if (steps[i] % 3 == 0) end_one();
        }
        server.Drain();
        while (!working.empty()) end_one();
        RC_ASSERT(taken.empty());
        RC_ASSERT(server.idle());
      });
}

// The schedules reach what they are meant to reach.
Test(request, schedules_reach_each_kind_of_answer) {
  test::world_counts sum;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    test::world_settings settings;
    settings.seed = seed;
    test::request_world world(settings);
    world.Run();
    sum.answers += world.counts().answers;
    sum.not_run += world.counts().not_run;
    sum.unknown += world.counts().unknown;
    sum.again += world.counts().again;
  }
  cr_expect(
      sum.answers > 0 && sum.not_run > 0 && sum.unknown > 0 && sum.again > 0,
      "answers %lu not_run %lu unknown %lu again %lu", sum.answers, sum.not_run,
      sum.unknown, sum.again);
}

}  // namespace
}  // namespace tamaracklatch
