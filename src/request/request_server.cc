// Puts admission, keys, attempts and answers together. A run is what goes
// through admission to the target; a listener is a caller's request that waits
// for it. Without a key a run has one listener and ends with it; with a key it
// may have several, and goes on without any once it is dispatched.
#include "tamaracklatch/request/request_server.h"

#include <algorithm>
#include <cassert>
#include <deque>
#include <map>
#include <set>
#include <utility>

#include "request/answer_buffer.h"

namespace tamaracklatch {
namespace {

constexpr duration kResendAfter = std::chrono::seconds(1);

enum class run_phase : std::uint8_t {
  kQueued,   // in admission
  kPaused,   // waits for its next try
  kRunning,  // at the target
};

// One run, numbered by the request that began it.
struct run_state {
  run_state(const request_arrival& from, std::size_t index, time_point until,
            bool harmless, std::size_t window)
      : class_index(index),
        caller(from.caller),
        key(from.key),
        may_pass(from.may_pass && !from.key),
        repeatable(harmless && !from.key),
        deadline(until),
        answer(window) {}

  std::size_t class_index;
  caller_id caller;
  std::optional<idempotency_key> key;
  bool may_pass;
  bool repeatable;
  time_point deadline;
  run_phase phase = run_phase::kQueued;
  std::uint32_t tries = 0;
  bool may_have_run = false;  // an earlier try was lost
  attempt_id attempt;         // kRunning
  time_point again;           // kPaused
  std::vector<request_id> listeners;
  answer_buffer answer;
  std::optional<request_id> streamed_to;
};

// A caller's request that has no answer yet.
struct listener_state {
  time_point deadline;
  std::optional<idempotency_key> key;
  std::uint32_t bucket = 0;
  std::optional<request_id> run;  // none while earlier owners are asked
  request_arrival arrival;
};

using timer_entry = std::pair<time_point, request_id>;

}  // namespace

struct request_server::state {
  state(request_server_settings chosen, random_source source,
        event_listener* listener)
      : settings(std::move(chosen)),
        admission(settings.admission),
        owner(settings.owner),
        retries(settings.retries),
        random(source),
        events(listener) {
    classes = settings.admission.classes;
  }

  // --- Answers.

  void Tell(event_id id, request_id request, result_code code,
            std::string detail) {
    if (events == nullptr) return;
    event what;
    what.id = id;
    what.request = std::to_string(request.value);
    what.code = code;
    what.detail = std::move(detail);
    events->OnEvent(what);
  }

  // Takes the listener out of all tables. It is answered by what follows.
  bool DropListener(request_id id) {
    const auto found = listeners.find(id);
    if (found == listeners.end()) return false;
    if (found->second.run) {
      const auto run = runs.find(*found->second.run);
      if (run != runs.end()) {
        auto& waiting = run->second.listeners;
        waiting.erase(std::remove(waiting.begin(), waiting.end(), id),
                      waiting.end());
      }
    }
    deadlines.erase({found->second.deadline, id});
    listeners.erase(found);
    return true;
  }

  void Refuse(request_id id, result_code code, bool not_run,
              duration retry_after, std::string reason) {
    DropListener(id);
    if (not_run) ++counts.refused_not_run;
    Tell(code == result_code::kOutcomeUnknown ? event_id::kKeyOutcomeUnknown
                                              : event_id::kRequestRefused,
         id, code, reason);
    actions.emplace_back(
        answer_refusal{id, code, not_run, retry_after, std::move(reason)});
  }

  // --- Runs.

  void DropRun(request_id id) {
    const auto found = runs.find(id);
    assert(found != runs.end());
    if (found->second.phase == run_phase::kPaused) {
      paused.erase({found->second.again, id});
    }
    if (found->second.key) {
      run_of_key.erase(*found->second.key);
      run_deadlines.erase({found->second.deadline, id});
    }
    runs.erase(found);
  }

  // Ends a run that is refused. It did not run, unless an earlier try was lost.
  void RefuseRun(request_id id, result_code code, duration retry_after,
                 const std::string& reason, time_point now) {
    run_state& run = runs.at(id);
    const bool not_run = !run.may_have_run;
    assert(not_run || !run.key);
    std::vector<request_id> waiting = run.listeners;
    if (run.key) waiting = owner.Refused(*run.key, code, now);
    DropRun(id);
    for (const request_id listener : waiting) {
      Refuse(listener, code, not_run, retry_after, reason);
    }
  }

  // Ends a run of which nobody knows whether it took effect.
  void LoseRun(request_id id, result_code code, const std::string& reason,
               time_point now) {
    run_state& run = runs.at(id);
    std::vector<request_id> waiting = run.listeners;
    if (run.key) waiting = owner.Lost(*run.key, now);
    const bool keyed = run.key.has_value();
    const std::optional<request_id> streamed_to = run.streamed_to;
    DropRun(id);
    for (const request_id listener : waiting) {
      if (listener == streamed_to) {
        DropListener(listener);
        actions.emplace_back(answer_abort{listener});
        continue;
      }
      const bool passed = code == result_code::kDeadlinePassed;
      Refuse(listener, keyed && !passed ? result_code::kOutcomeUnknown : code,
             false, duration(0), reason);
    }
  }

  void Admit(request_id id, time_point now) {
    run_state& run = runs.at(id);
    run.phase = run_phase::kQueued;
    admission_request request;
    request.id = id;
    request.class_index = run.class_index;
    request.caller = run.caller;
    request.deadline = run.deadline;
    request.may_pass = run.may_pass;
    Add(admission.Arrive(request, now));
    Work(now);
  }

  void StartRun(const request_arrival& arrival, time_point now) {
    const listener_state& first = listeners.at(arrival.id);
    const std::size_t index = *admission.FindClass(arrival.class_name);
    const bool repeatable = classes[index].repeatable;
    run_state run(arrival, index, first.deadline, repeatable,
                  settings.answer_window);
    runs.emplace(arrival.id, std::move(run));
    if (arrival.key) {
      run_of_key[*arrival.key] = arrival.id;
      run_deadlines.insert({first.deadline, arrival.id});
    }
    Listen(arrival.id, arrival.id);
    Admit(arrival.id, now);
  }

  void Listen(request_id listener, request_id run) {
    runs.at(run).listeners.push_back(listener);
    listeners.at(listener).run = run;
  }

  // --- What admission decided.

  void Add(std::vector<admission_action> decided) {
    for (admission_action& each : decided) todo.push_back(each);
  }

  // Carries out admission's decisions, those that follow among them.
  void Work(time_point now) {
    if (working) return;
    working = true;
    while (!todo.empty()) {
      const admission_action next = todo.front();
      todo.pop_front();
      std::visit([this, now](const auto& action) { Apply(action, now); }, next);
    }
    working = false;
  }

  void Apply(const admission_dispatch& action, time_point now) {
    run_state& run = runs.at(action.id);
    if (run.key && !owner.MayDispatch(*run.key, now)) {
      Add(admission.Finish(action.id, run_outcome::kAbandoned, now));
      RefuseRun(action.id, result_code::kDraining, kResendAfter,
                "the lease ran out before the request's turn", now);
      return;
    }
    run.phase = run_phase::kRunning;
    run.attempt = attempt_id{++last_attempt};
    run.answer = answer_buffer(settings.answer_window);
    run_of_attempt[run.attempt] = action.id;
    if (++run.tries == 1) {
      ++counts.first_tries;
      retries.OnFirstTry();
    } else {
      ++counts.retries;
    }
    // The request that began the run may have left; a resend says the same.
    actions.emplace_back(
        start_attempt{run.listeners.front(), run.attempt, run.deadline});
  }

  void Apply(const admission_pass& action, time_point /*now*/) {
    assert(!runs.at(action.id).key);
    DropRun(action.id);
    DropListener(action.id);
    actions.emplace_back(pass_request{action.id, std::nullopt});
  }

  void Apply(const admission_refusal& action, time_point now) {
    RefuseRun(action.id, action.code, action.retry_after,
              "refused before dispatch", now);
  }

  // Gives the slot back and forgets the attempt.
  void EndAttempt(request_id id, run_outcome outcome, time_point now) {
    run_state& run = runs.at(id);
    assert(run.phase == run_phase::kRunning);
    run_of_attempt.erase(run.attempt);
    run.attempt = {};
    Add(admission.Finish(id, outcome, now));
  }

  void CancelRun(request_id id, time_point now) {
    ++counts.cancelled;
    actions.emplace_back(cancel_attempt{runs.at(id).attempt});
    EndAttempt(id, run_outcome::kAbandoned, now);
  }

  // The run of a known attempt; counts and drops what nobody waits for.
  std::optional<request_id> RunOf(attempt_id attempt) {
    const auto found = run_of_attempt.find(attempt);
    if (found != run_of_attempt.end()) return found->second;
    ++counts.answers_dropped;
    Tell(event_id::kAnswerDropped, request_id{}, result_code::kOk,
         "attempt " + std::to_string(attempt.value));
    return std::nullopt;
  }

  // --- Retries.

  bool TryAgain(request_id id, try_failure what, duration retry_after,
                time_point now) {
    run_state& run = runs.at(id);
    const auto delay = retries.Retry(what, run.repeatable, run.tries,
                                     retry_after, run.deadline, now, &random);
    if (!delay) return false;
    if (run.key) owner.TryAgain(*run.key);
    run.phase = run_phase::kPaused;
    run.again = now + *delay;
    paused.insert({run.again, id});
    return true;
  }

  void NotRun(request_id id, result_code code, duration retry_after,
              time_point now) {
    EndAttempt(id,
               code == result_code::kTargetShed ? run_outcome::kShed
                                                : run_outcome::kAbandoned,
               now);
    run_state& run = runs.at(id);
    if (run.may_pass) {
      Apply(admission_pass{id}, now);
    } else if (!TryAgain(id, try_failure::kProvenNotRun, retry_after, now)) {
      RefuseRun(id, code, std::max(retry_after, kResendAfter),
                "the target did not run it", now);
    }
  }

  void LoseAttempt(request_id id, time_point now) {
    EndAttempt(id, run_outcome::kAbandoned, now);
    run_state& run = runs.at(id);
    run.may_have_run = true;
    run.may_pass = false;
    // Once a caller has part of an answer, another run would cross it.
    if (!run.answer.streamed() &&
        TryAgain(id, try_failure::kMayHaveRun, duration(0), now)) {
      return;
    }
    LoseRun(id, result_code::kAnswerBroken,
            "the target ended before its answer was whole", now);
  }

  // --- Keys.

  void Decide(request_id id, const key_decision& decision, time_point now) {
    // A decision for a listener that has left is void.
    if (listeners.count(id) == 0) return;
    const request_arrival arrival = listeners.at(id).arrival;
    std::visit([&](const auto& what) { Carry(arrival, what, now); }, decision);
  }

  void Carry(const request_arrival& arrival, const key_run&, time_point now) {
    if (draining) {
      // The next owner may run it: leave the key unused.
      for (const request_id id : owner.Withdraw(*arrival.key)) {
        Refuse(id, result_code::kKeyMoving, false, kResendAfter,
               "this target is leaving");
      }
      return;
    }
    StartRun(arrival, now);
  }
  void Carry(const request_arrival& arrival, const key_wait&, time_point) {
    const auto run = run_of_key.find(*arrival.key);
    if (run != run_of_key.end()) Listen(arrival.id, run->second);
  }
  void Carry(const request_arrival& arrival, const key_answer& what,
             time_point) {
    DropListener(arrival.id);
    actions.emplace_back(answer_whole{arrival.id, what.answer});
  }
  void Carry(const request_arrival& arrival, const key_ask& what, time_point) {
    actions.emplace_back(ask_owner{what.owner, *arrival.key, arrival.bucket});
  }
  void Carry(const request_arrival& arrival, const key_pass& what, time_point) {
    DropListener(arrival.id);
    actions.emplace_back(pass_request{arrival.id, what.owner});
  }
  void Carry(const request_arrival& arrival, const key_elsewhere&, time_point) {
    DropListener(arrival.id);
    actions.emplace_back(pass_to_owner{arrival.id});
  }
  void Carry(const request_arrival& arrival, const key_refusal& what,
             time_point) {
    const bool resend = what.code == result_code::kKeyMoving ||
                        what.code == result_code::kTooManyResends;
    Refuse(arrival.id, what.code, what.not_run,
           resend ? kResendAfter : duration(0), what.reason);
  }

  // --- Arrivals and departures.

  void Arrive(const request_arrival& arrival, time_point now, wall_time wall) {
    ++counts.arrived;
    const auto index = admission.FindClass(arrival.class_name);
    if (!index) {
      // The key may be known under a class that is gone: claim nothing.
      Refuse(arrival.id, result_code::kClassUnknown, !arrival.key, duration(0),
             "no class of this name");
      return;
    }
    const duration wished =
        arrival.timeout.value_or(classes[*index].default_timeout);
    listener_state listener;
    listener.deadline = now + std::min(wished, settings.longest_timeout);
    listener.key = arrival.key;
    listener.bucket = arrival.bucket;
    listener.arrival = arrival;
    deadlines.insert({listener.deadline, arrival.id});
    listeners.emplace(arrival.id, std::move(listener));
    if (!arrival.key) {
      StartRun(arrival, now);
      return;
    }
    const keyed_request keyed{arrival.id, *arrival.key, arrival.content,
                              arrival.bucket};
    Decide(arrival.id, owner.Arrive(keyed, now, wall), now);
  }

  // The listener waits no more. Ends its run where nobody else needs it.
  void Depart(request_id id, time_point now) {
    const listener_state listener = listeners.at(id);
    DropListener(id);
    const bool withdrawn = listener.key && owner.Leave(*listener.key, id);
    if (!listener.run) return;
    const request_id run_id = *listener.run;
    run_state& run = runs.at(run_id);
    if (run.streamed_to == id) {
      run.streamed_to.reset();
      run.answer.OnDiscarded();
    }
    const bool running = run.phase == run_phase::kRunning;
    if (listener.key && !withdrawn) {
      // The run goes on, so that a resend gets its answer.
      Resume(&run);
      return;
    }
    if (running) CancelRun(run_id, now);
    if (run.phase == run_phase::kQueued) admission.Cancel(run_id, now);
    DropRun(run_id);
  }

  void Resume(run_state* run) {
    if (run->phase != run_phase::kRunning || !run->answer.ShouldResume()) {
      return;
    }
    run->answer.SetPaused(false);
    actions.emplace_back(resume_attempt{run->attempt});
  }

  // --- The target's answer.

  void Stream(run_state* run, std::string bytes) {
    if (!run->streamed_to) return;  // nobody takes it
    run->answer.OnStreamed(bytes.size());
    actions.emplace_back(answer_bytes{*run->streamed_to, std::move(bytes)});
    if (!run->answer.ShouldPause()) return;
    run->answer.SetPaused(true);
    actions.emplace_back(pause_attempt{run->attempt});
  }

  void OnBytes(run_state* run, std::string bytes) {
    if (run->answer.streamed()) {
      Stream(run, std::move(bytes));
      return;
    }
    if (run->answer.Hold(bytes)) return;
    if (!run->listeners.empty()) {
      run->streamed_to = run->listeners.front();
      actions.emplace_back(answer_begin{*run->streamed_to, run->answer.status(),
                                        run->answer.headers()});
    }
    Stream(run, run->answer.TakeHeld());
  }

  void OnEnd(request_id id, time_point now) {
    EndAttempt(id, run_outcome::kAnswered, now);
    run_state& run = runs.at(id);
    ++counts.answered;
    answer_pointer whole;
    if (!run.answer.streamed()) {
      auto answer = std::make_shared<stored_answer>();
      answer->status = run.answer.status();
      answer->headers = run.answer.headers();
      answer->body = run.answer.held();
      whole = std::move(answer);
    }
    std::vector<request_id> waiting = run.listeners;
    if (run.key) waiting = owner.Answered(*run.key, whole, now);
    const std::optional<request_id> streamed_to = run.streamed_to;
    DropRun(id);
    for (const request_id listener : waiting) {
      GiveEnd(listener, whole, streamed_to);
    }
  }

  void GiveEnd(request_id listener, const answer_pointer& whole,
               std::optional<request_id> streamed_to) {
    if (whole) {
      DropListener(listener);
      actions.emplace_back(answer_whole{listener, whole});
    } else if (listener == streamed_to) {
      DropListener(listener);
      actions.emplace_back(answer_end{listener});
    } else {
      Refuse(listener, result_code::kAnswerForgotten, false, duration(0),
             "the key ran; its answer is too long to be kept");
    }
  }

  // --- Time.

  void Expire(request_id id, time_point now) {
    const listener_state& listener = listeners.at(id);
    if (!listener.run) {
      Depart(id, now);
      Refuse(id, result_code::kDeadlinePassed, false, duration(0),
             "earlier owners did not reply in time");
      return;
    }
    const request_id run_id = *listener.run;
    run_state& run = runs.at(run_id);
    if (run.deadline > now) {
      // The run goes on for others.
      const bool begun = run.streamed_to == id;
      Depart(id, now);
      if (begun) {
        actions.emplace_back(answer_abort{id});
        return;
      }
      Refuse(id, result_code::kDeadlinePassed, false, duration(0),
             "the deadline passed");
      return;
    }
    ExpireRun(run_id, now);
  }

  void ExpireRun(request_id id, time_point now) {
    run_state& run = runs.at(id);
    if (run.phase == run_phase::kRunning) {
      CancelRun(id, now);
      LoseRun(id, result_code::kDeadlinePassed,
              "the deadline passed while the target worked on it", now);
      return;
    }
    if (run.phase == run_phase::kQueued) admission.Cancel(id, now);
    RefuseRun(id, result_code::kDeadlinePassed, duration(0),
              "the deadline passed before its turn", now);
  }

  void Tick(time_point now) {
    Add(admission.Tick(now));
    Work(now);
    while (!paused.empty() && paused.begin()->first <= now) {
      const request_id id = paused.begin()->second;
      paused.erase(paused.begin());
      run_state& run = runs.at(id);
      run.may_pass = false;
      Admit(id, now);
    }
    // A keyed run whose callers have all left still has a deadline.
    while (!run_deadlines.empty() && run_deadlines.begin()->first <= now) {
      const request_id id = run_deadlines.begin()->second;
      run_deadlines.erase(run_deadlines.begin());
      if (runs.count(id) != 0) ExpireRun(id, now);
      Work(now);
    }
    while (!deadlines.empty() && deadlines.begin()->first <= now) {
      Expire(deadlines.begin()->second, now);
      Work(now);
    }
    owner.Tick(now);
  }

  request_actions Take(time_point now) {
    Work(now);
    return std::exchange(actions, {});
  }

  request_server_settings settings;
  std::vector<request_class> classes;  // by admission's index
  admission_queue admission;
  request_owner owner;
  retry_policy retries;
  random_source random;
  event_listener* events;
  std::map<request_id, run_state> runs;
  std::map<request_id, listener_state> listeners;
  std::map<idempotency_key, request_id> run_of_key;
  std::map<attempt_id, request_id> run_of_attempt;
  std::set<timer_entry> deadlines;      // of the listeners
  std::set<timer_entry> run_deadlines;  // of keyed runs
  std::set<timer_entry> paused;         // runs by their next try
  std::deque<admission_action> todo;
  bool working = false;
  bool draining = false;
  request_actions actions;
  std::uint64_t last_attempt = 0;
  request_server_counts counts;
};

request_server::request_server(request_server_settings settings,
                               random_source random, event_listener* events)
    : state_(std::make_unique<state>(std::move(settings), random, events)) {}
request_server::~request_server() = default;

request_actions request_server::Arrive(const request_arrival& arrival,
                                       time_point now, wall_time wall) {
  assert(state_->listeners.count(arrival.id) == 0);
  state_->Tick(now);
  state_->Arrive(arrival, now, wall);
  return state_->Take(now);
}

request_actions request_server::CallerLeft(request_id id, time_point now) {
  if (state_->listeners.count(id) != 0) state_->Depart(id, now);
  return state_->Take(now);
}

request_actions request_server::BytesSent(request_id id, std::size_t bytes) {
  const auto listener = state_->listeners.find(id);
  if (listener == state_->listeners.end() || !listener->second.run) return {};
  run_state& run = state_->runs.at(*listener->second.run);
  if (run.streamed_to == id) {
    run.answer.OnSent(bytes);
    state_->Resume(&run);
  }
  return std::exchange(state_->actions, {});
}

request_actions request_server::AnswerBegan(attempt_id attempt,
                                            std::uint16_t status,
                                            std::string headers,
                                            std::optional<attempt_id> echoed,
                                            time_point now) {
  const auto id = state_->RunOf(attempt);
  if (id && echoed && *echoed != attempt) {
    ++state_->counts.answers_dropped;
    state_->Tell(event_id::kAnswerDropped, *id, result_code::kAnswerBroken,
                 "crossed with attempt " + std::to_string(echoed->value));
    state_->actions.emplace_back(cancel_attempt{attempt});
    state_->LoseAttempt(*id, now);
  } else if (id) {
    state_->runs.at(*id).answer.Begin(status, std::move(headers));
  }
  return state_->Take(now);
}

request_actions request_server::AnswerBytes(attempt_id attempt,
                                            std::string bytes, time_point now) {
  const auto id = state_->RunOf(attempt);
  if (id && !bytes.empty()) {
    state_->OnBytes(&state_->runs.at(*id), std::move(bytes));
  }
  return state_->Take(now);
}

request_actions request_server::AnswerEnded(attempt_id attempt,
                                            time_point now) {
  const auto id = state_->RunOf(attempt);
  if (id && state_->runs.at(*id).answer.begun()) {
    state_->OnEnd(*id, now);
  } else if (id) {
    state_->LoseAttempt(*id, now);
  }
  return state_->Take(now);
}

request_actions request_server::AttemptNotRun(attempt_id attempt,
                                              result_code code,
                                              duration retry_after,
                                              time_point now) {
  if (const auto id = state_->RunOf(attempt)) {
    state_->NotRun(*id, code, retry_after, now);
  }
  return state_->Take(now);
}

request_actions request_server::AttemptLost(attempt_id attempt,
                                            time_point now) {
  if (const auto id = state_->RunOf(attempt)) state_->LoseAttempt(*id, now);
  return state_->Take(now);
}

request_actions request_server::OnReply(const idempotency_key& key,
                                        target_id owner,
                                        std::optional<key_knowledge> reply,
                                        time_point now) {
  for (const listener_decision& each :
       state_->owner.OnReply(key, owner, reply)) {
    state_->Decide(each.id, each.decision, now);
  }
  return state_->Take(now);
}

request_owner& request_server::owner() { return state_->owner; }
const request_owner& request_server::owner() const { return state_->owner; }

request_actions request_server::Tick(time_point now) {
  state_->Tick(now);
  return state_->Take(now);
}

std::optional<time_point> request_server::NextTimer() const {
  std::optional<time_point> next = state_->admission.NextTimer();
  for (const auto* timers :
       {&state_->deadlines, &state_->run_deadlines, &state_->paused}) {
    if (timers->empty()) continue;
    const time_point first = timers->begin()->first;
    next = std::min(next.value_or(first), first);
  }
  return next;
}

request_actions request_server::Update(std::uint32_t slots,
                                       std::vector<request_class> classes,
                                       time_point now) {
  for (const request_class& each : classes) {
    const auto index = state_->admission.FindClass(each.name);
    if (index) {
      state_->classes[*index] = each;
    } else {
      state_->classes.push_back(each);
    }
  }
  state_->Add(state_->admission.Update(slots, std::move(classes), now));
  return state_->Take(now);
}

void request_server::Drain() {
  state_->draining = true;
  state_->admission.Drain();
}

bool request_server::idle() const {
  return state_->runs.empty() && state_->listeners.empty();
}

const admission_queue& request_server::admission() const {
  return state_->admission;
}
const request_server_counts& request_server::counts() const {
  return state_->counts;
}

}  // namespace tamaracklatch
