// The schedule and the fakes of the request plane's properties.
#include "request/request_world.h"

#include <algorithm>
#include <utility>

namespace tamaracklatch::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kPlaces = 3;
constexpr std::uint32_t kBuckets = 3;
constexpr duration kLease = seconds(3);
constexpr duration kWallStart = seconds(1700000000);
constexpr std::size_t kWindow = 64;  // bytes

request_class Class(const std::string& name, double share, bool repeatable) {
  request_class made;
  made.name = name;
  made.guaranteed_share = share;
  made.queue_limit = 6;
  made.caller_limit = 4;
  made.repeatable = repeatable;
  return made;
}

}  // namespace

request_world::request_world(const world_settings& settings)
    : settings_(settings), random_(settings.seed) {
  views_.push_back({{1}, {}});
  for (std::uint32_t i = 0; i < kBuckets; ++i) {
    views_.back().owners.push_back(i % kPlaces);
  }
  for (std::size_t place = 0; place < kPlaces; ++place) {
    current_.push_back(0);
    Start(place);
  }
}

void request_world::Later(duration delay, std::function<void()> what) {
  schedule_.emplace(now_ + delay, std::move(what));
}

duration request_world::Any(int low_ms, int high_ms) {
  return milliseconds(
      std::uniform_int_distribution<int>(low_ms, high_ms)(random_));
}

bool request_world::Chance(int percent) {
  return std::uniform_int_distribution<int>(0, 99)(random_) < percent;
}

void request_world::Broken(const std::string& what) {
  broken_.push_back(what + " at " +
                    std::to_string(now_.time_since_epoch().count() / 1000) +
                    " ms");
}

request_world::daemon_state* request_world::Find(target_id id) {
  daemon_state& daemon = daemons_.at(id.index);
  return daemon.server ? &daemon : nullptr;
}

wall_time request_world::Wall(const daemon_state& daemon) const {
  return wall_time(kWallStart + now_.time_since_epoch() + daemon.clock_error);
}

// --- Daemons.

void request_world::Start(std::size_t place) {
  daemon_state daemon;
  daemon.id = {static_cast<std::uint32_t>(daemons_.size()), 1};
  daemon.clock_error = Any(-250, 250);
  request_server_settings made;
  made.admission.slots = 2;
  made.admission.classes = {Class("logs", 0.5, false),
                            Class("cards", 0.3, true)};
  made.owner.started = Wall(daemon);
  made.owner.max_keys = 8;
  made.owner.max_refused = 4;
  made.owner.answer_bytes = 1500;
  made.owner.longest_answer = 500;
  made.answer_window = kWindow;
  daemon.server =
      std::make_unique<request_server>(made, random_source(random_()), nullptr);
  current_[place] = daemons_.size();
  daemons_.push_back(std::move(daemon));
  ApplyView(place);
  Renew(place);
}

void request_world::Kill(std::size_t place) {
  ++counts_.deaths;
  daemon_state& dead = daemons_[current_[place]];
  dead.server.reset();
  for (auto at = open_.begin(); at != open_.end();) {
    at = at->second.at == dead.id ? open_.erase(at) : std::next(at);
  }
  TellGone(dead.id);
  Later(Any(100, 4000), [this, place] { Start(place); });
}

// The others hear of it when its lease has run out, or later.
void request_world::TellGone(target_id id) {
  const duration left =
      std::max(daemons_[id.index].lease_end - now_, duration(0));
  Later(left + Any(0, 1000), [this, id] {
    for (daemon_state& each : daemons_) {
      if (each.server && each.id != id) {
        each.server->owner().OwnerGone(id, Wall(each));
      }
    }
  });
}

// The daemon lives on and callers reach it, but nothing else does.
void request_world::Isolate(std::size_t place) {
  const target_id id = daemons_[current_[place]].id;
  daemons_[id.index].isolated = true;
  TellGone(id);
  Move(place);
  Later(Any(3000, 12000), [this, place, id] {
    if (daemons_[current_[place]].id == id && Find(id)) Kill(place);
  });
}

void request_world::Renew(std::size_t place) {
  const target_id id = daemons_[current_[place]].id;
  daemon_state* daemon = Find(id);
  if (daemon == nullptr || daemon->isolated) return;
  // A renewal may be lost; then the lease runs out for a while.
  if (!Chance(20)) {
    daemon->lease_end = now_ + kLease;
    daemon->server->owner().Renew(daemon->lease_end);
  }
  Later(Any(500, 1500), [this, place, id] {
    if (daemons_[current_[place]].id == id) Renew(place);
  });
}

void request_world::ApplyView(std::size_t place) {
  daemon_state& daemon = daemons_[current_[place]];
  const bucket_view& view = views_.back();
  if (!daemon.server || daemon.isolated || daemon.view >= view.at) return;
  daemon.view = view.at;
  // Every other start may own buckets by an older view, the dead ones too.
  std::vector<target_id> earlier;
  for (const daemon_state& each : daemons_) {
    if (each.id != daemon.id) earlier.push_back(each.id);
  }
  for (std::uint32_t bucket = 0; bucket < kBuckets; ++bucket) {
    if (view.owners[bucket] != place) {
      daemon.server->owner().Disown(bucket);
      continue;
    }
    daemon.server->owner().Own(bucket, view.at, earlier, Wall(daemon));
  }
  const target_id id = daemon.id;
  const revision at = view.at;
  for (const target_id other : earlier) {
    Later(Any(1, 300), [this, other, id, at] { Acknowledge(other, id, at); });
    if (Find(other) != nullptr) continue;
    // A start that died before: gone once its lease is over.
    const duration left =
        std::max(daemons_[other.index].lease_end - now_, duration(0));
    Later(left + Any(0, 300), [this, other, id] {
      daemon_state* asker = Find(id);
      if (asker == nullptr) return;
      asker->server->owner().OwnerGone(other, Wall(*asker));
    });
  }
}

void request_world::Acknowledge(target_id owner, target_id asker, revision at) {
  daemon_state* asked = Find(owner);
  if (asked == nullptr || asked->isolated || Find(asker) == nullptr) return;
  if (asked->view < at) {
    // Whoever sees a newer revision applies it at once; it may take a while.
    Later(Any(1, 500), [this, owner, asker, at] {
      for (std::size_t place = 0; place < kPlaces; ++place) {
        if (daemons_[current_[place]].id == owner) ApplyView(place);
      }
      Acknowledge(owner, asker, at);
    });
    return;
  }
  const revision acknowledged = asked->view;
  Later(Any(1, 300), [this, owner, asker, acknowledged] {
    daemon_state* daemon = Find(asker);
    if (daemon == nullptr) return;
    daemon->server->owner().OwnerAcknowledged(owner, acknowledged,
                                              Wall(*daemon));
  });
}

void request_world::Move(std::optional<std::size_t> away_from) {
  ++counts_.moves;
  bucket_view next = views_.back();
  next.at = {next.at.value + 1};
  for (std::size_t& owner : next.owners) {
    if (Chance(50)) owner = random_() % kPlaces;
    if (owner == away_from) owner = (owner + 1) % kPlaces;
  }
  views_.push_back(next);
  for (std::size_t place = 0; place < kPlaces; ++place) {
    Later(Any(0, 2000), [this, place] { ApplyView(place); });
  }
  // Some moves are taken back at once.
  if (Chance(50)) Later(Any(0, 600), [this] { Move(std::nullopt); });
}

// --- Requests.

void request_world::Send() {
  intent made;
  made.content = random_();
  made.body = "answer of " + std::to_string(made.content);
  if (Chance(20)) made.body += std::string(random_() % 1000, 'x');
  if (Chance(75)) {
    const wall_time caller_clock(kWallStart + now_.time_since_epoch() +
                                 Any(-2000, Chance(10) ? 12000 : 2000));
    made.key = MintKey(caller_clock, random_(), random_());
    // A faulty caller uses a key for two requests.
    if (!intents_.empty() && intents_.back().key && Chance(5)) {
      made.key = intents_.back().key;
    }
    made.bucket = static_cast<std::uint32_t>(HashKey(*made.key) % kBuckets);
  }
  const std::size_t index = intents_.size();
  intents_.push_back(made);
  SendAgain(index, false);
  if (!made.key) return;
  for (std::size_t resends = random_() % 4; resends > 0; --resends) {
    Later(Any(0, Chance(50) ? 1000 : 15000),
          [this, index] { SendAgain(index, true); });
  }
}

void request_world::SendAgain(std::size_t index, bool resend) {
  sent_request request;
  request.intent = index;
  request.resend = resend;
  request.deadline = now_ + Any(100, 5000);
  // To the owner, or anywhere by a stale view. It may be late or twice.
  const std::size_t owner = views_.back().owners[intents_[index].bucket];
  const std::size_t place = Chance(70) ? owner : random_() % kPlaces;
  const bool keyed = intents_[index].key.has_value();
  for (int copies = keyed && Chance(10) ? 2 : 1; copies > 0; --copies) {
    Later(Any(0, Chance(10) ? 6000 : 50), [this, request, place] {
      Deliver(request, daemons_[current_[place]].id);
    });
  }
}

void request_world::Deliver(const sent_request& request, target_id to) {
  daemon_state* daemon = Find(to);
  if (daemon == nullptr || request.deadline <= now_) return;
  const intent& meant = intents_[request.intent];
  request_arrival arrival;
  arrival.id = {++last_request_};
  arrival.class_name = meant.key ? "logs" : "cards";
  arrival.caller = {meant.content % 5};
  arrival.key = meant.key;
  arrival.content = meant.content;
  arrival.bucket = meant.bucket;
  arrival.timeout = request.deadline - now_;
  arrival.may_pass = request.hops == 0;
  sent_request here = request;
  here.at = to;
  open_[arrival.id] = here;
  Apply(to, daemon->server->Arrive(arrival, now_, Wall(*daemon)));
  if (!Chance(10)) return;
  Later(Any(0, 500), [this, to, id = arrival.id] {
    daemon_state* still = Find(to);
    if (still == nullptr || !Take(id)) return;
    Apply(to, still->server->CallerLeft(id, now_));
  });
}

std::optional<request_world::sent_request> request_world::Take(request_id id) {
  const auto found = open_.find(id);
  if (found == open_.end()) return std::nullopt;
  const sent_request request = found->second;
  open_.erase(found);
  return request;
}

void request_world::Apply(target_id at, const request_actions& actions) {
  for (const request_action& action : actions) {
    std::visit([this, at](const auto& each) { Carry(at, each); }, action);
  }
}

void request_world::Carry(target_id at, const start_attempt& action) {
  // The run's first request may have been answered or have left by now.
  std::size_t intent = intents_.size();
  const auto found = open_.find(action.request);
  if (found != open_.end()) intent = found->second.intent;
  if (intent == intents_.size()) return;  // its answer will be lost
  const attempt_id attempt = action.attempt;
  const attempt_id global{attempt.value * 1000 + at.index};
  cancelled_[global] = false;
  const int fate = static_cast<int>(random_() % 100);
  Later(Any(0, 400), [this, at, attempt, global, intent, fate] {
    daemon_state* daemon = Find(at);
    if (fate < 10) {
      if (daemon == nullptr) return;
      Apply(at, daemon->server->AttemptNotRun(
                    attempt,
                    fate < 5 ? result_code::kTargetShed
                             : result_code::kTargetUnreachable,
                    Any(0, 500), now_));
      return;
    }
    // A cancelled attempt may still run: the cancel comes too late.
    if (cancelled_[global] && fate < 60) return;
    RunAtTarget(at, attempt, intent);
  });
}

void request_world::RunAtTarget(target_id at, attempt_id attempt,
                                std::size_t intent) {
  ++intents_[intent].runs;
  ++counts_.runs;
  const std::string body = intents_[intent].body;
  const int fate = static_cast<int>(random_() % 100);
  Later(Any(1, Chance(10) ? 8000 : 600), [this, at, attempt, body, fate] {
    daemon_state* daemon = Find(at);
    if (daemon == nullptr) return;
    if (fate < 10) {
      Apply(at, daemon->server->AttemptLost(attempt, now_));
    } else if (fate < 15) {
      // Another attempt's answer comes on this one's connection.
      Apply(at, daemon->server->AnswerBegan(
                    attempt, 200, "", attempt_id{attempt.value + 7}, now_));
      Apply(at, daemon->server->AnswerBytes(attempt, "another's", now_));
      Apply(at, daemon->server->AnswerEnded(attempt, now_));
    } else {
      AnswerFromTarget(at, attempt, body);
    }
  });
}

void request_world::AnswerFromTarget(target_id at, attempt_id attempt,
                                     const std::string& body) {
  const auto server = [this, at]() -> request_server* {
    daemon_state* daemon = Find(at);
    return daemon == nullptr ? nullptr : daemon->server.get();
  };
  Apply(at, server()->AnswerBegan(attempt, 200, "", attempt, now_));
  const std::size_t piece = 1 + random_() % 100;
  duration delay = Any(0, 30);
  const std::size_t breaks_at = Chance(10) ? random_() % body.size() : ~0ULL;
  for (std::size_t from = 0; from < body.size(); from += piece) {
    if (from >= breaks_at) {
      Later(delay, [this, at, attempt, server] {
        if (server() == nullptr) return;
        Apply(at, server()->AttemptLost(attempt, now_));
      });
      return;
    }
    Later(delay, [this, at, attempt, server, part = body.substr(from, piece)] {
      if (server() == nullptr) return;
      Apply(at, server()->AnswerBytes(attempt, part, now_));
    });
    delay += Any(0, 30);
  }
  Later(delay, [this, at, attempt, server] {
    if (server() == nullptr) return;
    Apply(at, server()->AnswerEnded(attempt, now_));
    // Some targets answer twice.
    if (Chance(10)) Apply(at, server()->AnswerEnded(attempt, now_));
  });
}

void request_world::Carry(target_id at, const cancel_attempt& action) {
  cancelled_[{action.attempt.value * 1000 + at.index}] = true;
}
void request_world::Carry(target_id, const pause_attempt&) {}
void request_world::Carry(target_id, const resume_attempt&) {}

void request_world::Carry(target_id, const pass_request& action) {
  auto request = Take(action.request);
  if (!request || ++request->hops > 4) return;
  const target_id to =
      action.to.value_or(daemons_[current_[random_() % kPlaces]].id);
  Later(Any(1, 50), [this, request, to] { Deliver(*request, to); });
}

void request_world::Carry(target_id at, const pass_to_owner& action) {
  auto request = Take(action.request);
  if (!request || ++request->hops > 4) return;
  const revision known = daemons_[at.index].view;
  const std::size_t place =
      views_.at(known.value - 1).owners[intents_[request->intent].bucket];
  Later(Any(1, 50), [this, request, place] {
    Deliver(*request, daemons_[current_[place]].id);
  });
}

void request_world::Carry(target_id at, const ask_owner& action) {
  const bool lost = Chance(10);
  Later(Any(1, 200), [this, at, action, lost] {
    daemon_state* asked = lost ? nullptr : Find(action.owner);
    if (asked != nullptr && asked->isolated) asked = nullptr;
    std::optional<key_knowledge> reply;
    if (asked != nullptr) {
      reply = asked->server->owner().Ask(action.key, action.bucket, now_);
    }
    Later(Any(1, 200), [this, at, action, reply] {
      daemon_state* daemon = Find(at);
      if (daemon == nullptr) return;
      Apply(at, daemon->server->OnReply(action.key, action.owner, reply, now_));
    });
  });
}

void request_world::Carry(target_id, const answer_refusal& action) {
  const auto request = Take(action.request);
  if (!request) {
    Broken("an answer for a request that has one");
    return;
  }
  if (request->begun) Broken("a refusal after a begun answer");
  if (action.code == result_code::kOutcomeUnknown) ++counts_.unknown;
  if (!action.not_run) return;
  ++counts_.not_run;
  intents_[request->intent].told_not_run = true;
}

void request_world::Carry(target_id, const answer_whole& action) {
  const auto request = Take(action.request);
  if (!request) {
    Broken("an answer for a request that has one");
    return;
  }
  CheckAnswer(*request, action.answer->body);
}

void request_world::Carry(target_id, const answer_begin& action) {
  const auto found = open_.find(action.request);
  if (found == open_.end()) {
    Broken("a begun answer for nobody");
    return;
  }
  found->second.begun = true;
}

void request_world::Carry(target_id at, const answer_bytes& action) {
  const auto found = open_.find(action.request);
  if (found == open_.end() || !found->second.begun) {
    Broken("bytes for nobody");
    return;
  }
  found->second.streamed += action.bytes;
  Later(Any(0, 50), [this, at, action] {
    daemon_state* daemon = Find(at);
    if (daemon == nullptr) return;
    Apply(at, daemon->server->BytesSent(action.request, action.bytes.size()));
  });
}

void request_world::Carry(target_id, const answer_end& action) {
  const auto request = Take(action.request);
  if (!request || !request->begun) {
    Broken("an end for nobody");
    return;
  }
  CheckAnswer(*request, request->streamed);
}

void request_world::Carry(target_id, const answer_abort& action) {
  const auto request = Take(action.request);
  if (!request || !request->begun) Broken("an abort for nobody");
}

void request_world::CheckAnswer(const sent_request& request,
                                const std::string& body) {
  ++counts_.answers;
  if (request.resend) ++counts_.again;
  if (body != intents_[request.intent].body) {
    Broken("another's or a broken answer: " + body.substr(0, 40));
  }
}

void request_world::Tick() {
  for (daemon_state& daemon : daemons_) {
    if (!daemon.server) continue;
    const auto timer = daemon.server->NextTimer();
    if (timer && *timer <= now_) Apply(daemon.id, daemon.server->Tick(now_));
  }
  for (const auto& [id, request] : open_) {
    if (request.deadline < now_) {
      Broken("request " + std::to_string(id.value) +
             " waits past its deadline");
    }
  }
}

std::vector<std::string> request_world::Run() {
  const int length = static_cast<int>(
      std::chrono::duration_cast<milliseconds>(settings_.length).count());
  for (int i = 0; i < settings_.requests; ++i) {
    Later(Any(0, length), [this] { Send(); });
  }
  for (int i = 0; settings_.moves && i < length / 6000; ++i) {
    Later(Any(0, length), [this] { Move(std::nullopt); });
  }
  for (int i = 0; settings_.deaths && i < length / 15000; ++i) {
    Later(Any(0, length), [this] {
      const std::size_t place = random_() % kPlaces;
      if (!daemons_[current_[place]].server) return;
      if (Chance(50)) {
        Kill(place);
      } else {
        Isolate(place);
      }
    });
  }
  // One daemon drains near the end: what it has goes on to its end.
  Later(milliseconds(length * 9 / 10), [this] {
    if (daemon_state* leaving = Find(daemons_[current_[0]].id)) {
      leaving->server->Drain();
    }
  });
  const time_point end = now_ + settings_.length + seconds(20);
  while (!schedule_.empty() && schedule_.begin()->first <= end) {
    const auto next = schedule_.begin();
    // Timers come to the millisecond.
    now_ = std::min(next->first, now_ + milliseconds(1));
    if (next->first <= now_) {
      const auto what = std::move(next->second);
      schedule_.erase(next);
      what();
    }
    Tick();
    if (!broken_.empty()) break;
  }
  std::map<idempotency_key, int> runs;
  for (const intent& each : intents_) {
    if (each.key && (runs[*each.key] += each.runs) > 1) {
      Broken("key " + ToString(*each.key) + " ran twice");
    }
    if (each.told_not_run && each.runs > 0) Broken("a not_run that ran");
  }
  for (const daemon_state& daemon : daemons_) {
    if (daemon.server && !daemon.server->idle()) Broken("a request is stuck");
  }
  return broken_;
}

}  // namespace tamaracklatch::test
