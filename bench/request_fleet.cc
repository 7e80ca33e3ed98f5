// The fleet's events: loads, hops, runs, reports and windows.
#include "request_fleet.h"

#include <algorithm>
#include <utility>

namespace tamaracklatch::bench {
namespace {

constexpr duration kHop = std::chrono::milliseconds(1);
constexpr duration kReportEvery = std::chrono::milliseconds(500);
constexpr duration kWindow = std::chrono::seconds(10);
constexpr duration kResendAfter = std::chrono::milliseconds(300);
constexpr duration kAfterglow = std::chrono::seconds(60);
constexpr duration kWallStart = std::chrono::seconds(1700000000);
constexpr std::uint32_t kNoLimit = 1000000;

wall_time Wall(time_point now) {
  return wall_time(kWallStart + now.time_since_epoch());
}

double Seconds(duration time) {
  return std::chrono::duration<double>(time).count();
}

}  // namespace

request_fleet::request_fleet(const fleet_settings& settings)
    : settings_(settings), random_(settings.seed) {
  for (std::size_t i = 0; i < settings.targets; ++i) {
    request_server_settings made;
    made.admission.slots = settings.slots;
    made.admission.classes = settings.classes;
    made.admission.policy = settings.policy;
    if (!settings.limits) {
      for (request_class& each : made.admission.classes) {
        each.queue_limit = kNoLimit;
        each.caller_limit = kNoLimit;
        each.default_timeout = std::chrono::minutes(10);
      }
      made.admission.fair_queuing = false;
      made.admission.refuse_early = false;
      made.admission.adapt_slots = false;
      // Without any limit the waiting is done inside the target.
      if (std::holds_alternative<arrival_order>(settings.policy)) {
        made.admission.slots = kNoLimit;
      }
    }
    made.owner.started = Wall(now_) - std::chrono::minutes(1);
    target_state target;
    target.server = std::make_unique<request_server>(
        made, random_source(random_()), nullptr);
    target.server->owner().Renew(time_point(std::chrono::hours(1)));
    target.server->owner().Own(0, {1}, {}, made.owner.started);
    target.others = std::make_unique<target_health>(health_settings());
    for (std::uint32_t other = 0; other < settings.targets; ++other) {
      target.others->Join({other, 1}, settings.slots, false, now_);
    }
    targets_.push_back(std::move(target));
  }
}

request_fleet::~request_fleet() = default;

void request_fleet::Push(fleet_event what, duration delay) {
  what.at = now_ + delay;
  what.order = ++last_order_;
  events_.push(what);
}

fleet_result request_fleet::Run(const std::vector<fleet_load>& loads,
                                duration length) {
  loads_ = loads;
  end_ = now_ + length;
  std::size_t accounts = 0;
  for (std::size_t i = 0; i < loads_.size(); ++i) {
    accounts = std::max(accounts, loads_[i].account + 1);
    fleet_event first;
    first.index = i;
    Push(first, loads_[i].from);
  }
  result_.accounts.resize(accounts);
  fleet_event report;
  report.kind = event_kind::kReport;
  Push(report, duration(0));
  fleet_event window;
  window.kind = event_kind::kWindow;
  Push(window, kWindow);
  while (!events_.empty() && events_.top().at <= end_ + kAfterglow) {
    const fleet_event next = events_.top();
    events_.pop();
    now_ = next.at;
    switch (next.kind) {
      case event_kind::kLoad:
        OnLoad(next.index);
        break;
      case event_kind::kArrive:
        OnArrive(next);
        break;
      case event_kind::kRunEnds:
        OnRunEnds(next);
        break;
      case event_kind::kTimer:
        targets_[next.target].tick.reset();
        Apply(next.target, targets_[next.target].server->Tick(now_));
        break;
      case event_kind::kReport:
        OnReport();
        break;
      case event_kind::kWindow:
        OnWindow();
        break;
    }
  }
  for (const intent& each : intents_) {
    if (each.key && each.runs > 1) ++result_.doubled;
    if (each.not_run && each.runs > 0) ++result_.false_not_run;
    if (!each.answered && settings_.limits) ++result_.lost;
  }
  return std::move(result_);
}

void request_fleet::OnLoad(std::size_t index) {
  const fleet_load& load = loads_[index];
  if (now_ >= std::min(end_, time_point(load.until))) return;
  fleet_event next;
  next.index = index;
  std::exponential_distribution<double> gap(load.rate);
  Push(next, duration(static_cast<duration::rep>(gap(random_) * 1e6) + 1));
  intent made;
  made.load = index;
  made.caller = {load.first_caller + random_() % load.callers};
  if (load.keyed) made.key = MintKey(Wall(now_), random_(), random_());
  made.sent = now_;
  made.deadline = now_ + std::chrono::seconds(2);
  for (const request_class& each : settings_.classes) {
    if (each.name == load.class_name) {
      made.deadline = now_ + each.default_timeout;
    }
  }
  made.target = Pick();
  ++result_.accounts[load.account].sent;
  fleet_event arrive;
  arrive.kind = event_kind::kArrive;
  arrive.index = intents_.size();
  arrive.target = made.target;
  intents_.push_back(made);
  Push(arrive, kHop);
}

double request_fleet::Reported(std::size_t target) const {
  if (settings_.lying && target == 0) return 0.0;
  double busy = 0.0;
  for (const auto& [at, value] : targets_[target].reports) {
    if (at + settings_.report_lag <= now_) busy = value;
  }
  return busy;
}

std::size_t request_fleet::Pick() {
  if (std::holds_alternative<pick_random>(settings_.pick)) {
    return random_() % targets_.size();
  }
  std::vector<std::size_t> best;
  for (std::size_t i = 0; i < targets_.size(); ++i) {
    if (!best.empty() && Reported(i) > Reported(best[0])) continue;
    if (!best.empty() && Reported(i) < Reported(best[0])) best.clear();
    best.push_back(i);
  }
  return best[random_() % best.size()];
}

void request_fleet::OnArrive(const fleet_event& what) {
  const intent& meant = intents_[what.index];
  request_arrival arrival;
  arrival.id = {++last_request_};
  arrival.class_name = loads_[meant.load].class_name;
  arrival.caller = meant.caller;
  arrival.key = meant.key;
  arrival.content = what.index;
  if (settings_.limits) {
    arrival.timeout = std::max(meant.deadline - now_, duration(1));
  }
  arrival.may_pass = settings_.hand_over && !what.passed && !meant.key;
  open_[arrival.id] = what.index;
  request_server& server = *targets_[what.target].server;
  Apply(what.target, server.Arrive(arrival, now_, Wall(now_)));
}

void request_fleet::OnRunEnds(const fleet_event& what) {
  target_state& target = targets_[what.target];
  const auto found = target.working.find(what.attempt);
  if (found == target.working.end()) return;
  Account(&target);
  const std::size_t index = found->second;
  target.working.erase(found);
  if (!target.inside.empty()) {
    const target_run next = target.inside.front();
    target.inside.pop_front();
    Begin(what.target, next);
  }
  request_server& server = *target.server;
  const std::string body = std::to_string(index);
  Apply(what.target,
        server.AnswerBegan(what.attempt, 200, "", std::nullopt, now_));
  Apply(what.target, server.AnswerBytes(what.attempt, body, now_));
  Apply(what.target, server.AnswerEnded(what.attempt, now_));
}

void request_fleet::OnReport() {
  for (target_state& each : targets_) {
    each.reports.emplace_back(now_, static_cast<double>(each.working.size()));
    while (each.reports.size() > 1 &&
           each.reports[1].first + settings_.report_lag <= now_) {
      each.reports.pop_front();
    }
  }
  for (target_state& each : targets_) {
    for (std::uint32_t i = 0; i < targets_.size(); ++i) {
      each.others->OnReport({i, 1}, Reported(i) / settings_.slots,
                            now_ - settings_.report_lag);
    }
  }
  fleet_event next;
  next.kind = event_kind::kReport;
  if (now_ < end_) Push(next, kReportEvery);
}

void request_fleet::OnWindow() {
  double most = 0.0;
  double sum = 0.0;
  for (target_state& each : targets_) {
    Account(&each);
    most = std::max(most, each.window_busy);
    sum += each.window_busy;
    each.window_busy = 0.0;
  }
  if (sum > 0.0) {
    result_.imbalance.push_back(most * static_cast<double>(targets_.size()) /
                                sum);
  }
  fleet_event next;
  next.kind = event_kind::kWindow;
  if (now_ + kWindow <= end_) Push(next, kWindow);
}

void request_fleet::Account(target_state* target) {
  target->window_busy += Seconds(now_ - target->since) *
                         static_cast<double>(target->working.size());
  target->since = now_;
}

void request_fleet::Begin(std::size_t index, const target_run& run) {
  target_state& target = targets_[index];
  Account(&target);
  target.working[run.attempt] = run.intent;
  intent& meant = intents_[run.intent];
  ++meant.runs;
  ++result_.accounts[loads_[meant.load].account].runs;
  std::exponential_distribution<double> time(1.0 /
                                             Seconds(settings_.service_time));
  fleet_event ends;
  ends.kind = event_kind::kRunEnds;
  ends.target = index;
  ends.attempt = run.attempt;
  Push(ends, duration(static_cast<duration::rep>(time(random_) * 1e6) + 1));
}

void request_fleet::Apply(std::size_t target, const request_actions& actions) {
  for (const request_action& action : actions) {
    std::visit([this, target](const auto& each) { Carry(target, each); },
               action);
  }
  const auto timer = targets_[target].server->NextTimer();
  auto& planned = targets_[target].tick;
  if (!timer || (planned && *planned <= *timer)) return;
  planned = timer;
  fleet_event tick;
  tick.kind = event_kind::kTimer;
  tick.target = target;
  Push(tick, std::max(*timer - now_, duration(0)));
}

void request_fleet::Carry(std::size_t target, const start_attempt& action) {
  const target_run run{action.attempt, open_.at(action.request)};
  if (targets_[target].working.size() < settings_.true_slots) {
    Begin(target, run);
  } else {
    targets_[target].inside.push_back(run);
  }
}

void request_fleet::Carry(std::size_t index, const cancel_attempt& action) {
  target_state& target = targets_[index];
  Account(&target);
  target.working.erase(action.attempt);
  auto& inside = target.inside;
  inside.erase(std::remove_if(inside.begin(), inside.end(),
                              [&action](const target_run& run) {
                                return run.attempt == action.attempt;
                              }),
               inside.end());
  if (target.working.size() < settings_.true_slots && !inside.empty()) {
    const target_run next = inside.front();
    inside.pop_front();
    Begin(index, next);
  }
}

void request_fleet::Carry(std::size_t target, const pass_request& action) {
  const std::size_t index = open_.at(action.request);
  open_.erase(action.request);
  const target_id self{static_cast<std::uint32_t>(target), 1};
  const auto other = targets_[target].others->Choose(self, now_, &random_);
  if (other) {
    targets_[target].others->OnBegin(*other);
    intents_[index].passed_by = target;
    intents_[index].target = other->index;
  }
  fleet_event arrive;
  arrive.kind = event_kind::kArrive;
  arrive.index = index;
  arrive.target = other ? other->index : target;
  arrive.passed = true;
  Push(arrive, kHop);
}

void request_fleet::Carry(std::size_t, const answer_refusal& action) {
  const std::size_t index = open_.at(action.request);
  open_.erase(action.request);
  if (action.not_run) intents_[index].not_run = true;
  ++result_.accounts[loads_[intents_[index].load].account].refused;
  Answered(index, false);
}

void request_fleet::Carry(std::size_t target, const answer_whole& action) {
  const std::size_t index = open_.at(action.request);
  open_.erase(action.request);
  intent& meant = intents_[index];
  const bool missed =
      meant.key && !meant.resent &&
      static_cast<int>(random_() % 100) < settings_.lost_answers;
  if (missed) {
    // The caller asks again with the same key.
    meant.resent = true;
    fleet_event again;
    again.kind = event_kind::kArrive;
    again.index = index;
    again.target = target;
    Push(again, kResendAfter);
    return;
  }
  Answered(index, action.answer->body == std::to_string(index));
}

void request_fleet::Answered(std::size_t index, bool whole) {
  intent& meant = intents_[index];
  if (meant.answered) return;
  meant.answered = true;
  if (meant.passed_by) {
    targets_[*meant.passed_by].others->OnEnd(
        {static_cast<std::uint32_t>(meant.target), 1},
        whole ? try_result::kAnswered : try_result::kRefused, now_);
  }
  fleet_account& account = result_.accounts[loads_[meant.load].account];
  if (!whole) return;
  account.waits.push_back(now_ - meant.sent);
  if (now_ <= meant.deadline) ++account.good;
}

}  // namespace tamaracklatch::bench
