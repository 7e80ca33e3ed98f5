// Carries out what the request_server decides.
#include "daemon/request_front.h"

#include <sodium.h>
#include <strings.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

#include "daemon/peer_answers.h"
#include "tamaracklatch/core/hash.h"

namespace tamaracklatch {
namespace {

constexpr std::chrono::milliseconds kTickInterval{10};
constexpr duration kAskInterval = std::chrono::milliseconds(200);
// Until the balancers have heard that the target leaves.
constexpr duration kListenOn = std::chrono::seconds(3);
constexpr std::uint32_t kMostHops = 3;
constexpr std::size_t kMostAnswerBytes = 1024;  // to a question
constexpr std::chrono::seconds kLongestQuestion{2};
constexpr std::size_t kMostQuestions = 64;       // open at once
constexpr std::size_t kPassWindow = 256 * 1024;  // bytes
constexpr std::uint8_t kDefaultUrgency = 3;      // RFC 9218
constexpr char kOwnPaths[] = "/.tamaracklatch/";
constexpr char kKeysPath[] = "/.tamaracklatch/keys";
constexpr char kRevisionPath[] = "/.tamaracklatch/revision";
constexpr char kHopsField[] = "Tamaracklatch-Hops";
constexpr char kAttemptField[] = "Tamaracklatch-Attempt";
constexpr char kProofField[] = "Tamaracklatch-Proof";

std::optional<std::uint64_t> Number(const std::string& text) {
  std::uint64_t value = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return value;
}

void SetField(std::vector<http_field>* fields, const std::string& name,
              const std::string& value) {
  fields->erase(std::remove_if(fields->begin(), fields->end(),
                               [&name](const http_field& field) {
                                 return strcasecmp(field.name.c_str(),
                                                   name.c_str()) == 0;
                               }),
                fields->end());
  fields->push_back({name, value});
}

// Whole seconds, rounded up: a caller that waits so long comes late enough.
std::int64_t WholeSeconds(duration time) {
  return (time + std::chrono::seconds(1) - duration(1)) /
         std::chrono::seconds(1);
}

unsigned StatusOf(const answer_refusal& refusal) {
  switch (refusal.code) {
    case result_code::kClassUnknown:
    case result_code::kKeyMalformed:
    case result_code::kKeyFromFuture:
      return 400;
    case result_code::kOutcomeUnknown:
    case result_code::kAnswerForgotten:
      return 409;
    case result_code::kKeyReused:
      return 422;
    case result_code::kCallerLimit:
      return 429;
    case result_code::kAnswerBroken:
      return 502;
    case result_code::kDeadlinePassed:
      return refusal.not_run ? 503 : 504;
    default:
      return 503;
  }
}

std::string HeadText(const std::vector<http_field>& fields) {
  std::string text;
  for (const http_field& field : fields) {
    text += field.name + ": " + field.value + "\r\n";
  }
  return text;
}

std::vector<http_field> HeadFields(const std::string& text) {
  std::vector<http_field> fields;
  std::size_t from = 0;
  for (std::size_t end = text.find("\r\n"); end != std::string::npos;
       from = end + 2, end = text.find("\r\n", from)) {
    const std::string line = text.substr(from, end - from);
    const std::size_t colon = line.find(": ");
    if (colon == std::string::npos) continue;
    fields.push_back({line.substr(0, colon), line.substr(colon + 2)});
  }
  return fields;
}

// The target refused for want of room; it says so by Retry-After.
bool IsShed(const upstream_head& head) {
  if (head.status != 503) return false;
  return std::any_of(
      head.fields.begin(), head.fields.end(), [](const http_field& field) {
        return strcasecmp(field.name.c_str(), "Retry-After") == 0;
      });
}

std::string FieldOf(const upstream_head& head, const std::string& name) {
  http_request fields;
  fields.fields = head.fields;
  return fields.Field(name);
}

request_server_settings ServerSettings(const request_front_settings& settings,
                                       wall_time started) {
  request_server_settings made;
  made.admission.slots = settings.slots;
  made.owner.started = started;
  return made;
}

}  // namespace

request_front::request_front(process_frame* frame,
                             const request_front_settings& settings,
                             target_id self)
    : frame_(frame),
      settings_(settings),
      self_(self),
      server_(ServerSettings(settings, frame->WallNow()),
              random_source(frame->random()()), &frame->events()),
      keys_(self, &server_.owner()),
      health_(health_settings()),
      callers_(
          &frame->loop(),
          [this](caller_request request) { OnRequest(std::move(request)); },
          [this](const caller_exchange* exchange) { OnLeft(exchange); }) {}

request_front::~request_front() = default;

bool request_front::Start(failure* last_failure) {
  if (!callers_.Start(settings_.listen, last_failure)) return false;
  frame_->Every(kTickInterval, [this] { Tick(); });
  return true;
}

void request_front::OnView(const cluster_view& view, target_id self) {
  if (self != self_) {
    self_ = self;
    keys_.Rejoin(self);
  }
  const auto own = view.targets.find(self_);
  if (own == view.targets.end()) return;
  const auto service = view.services.find(own->second.service);
  if (service == view.services.end()) return;
  const service_document& document = service->second.document;
  const auto targets = view.TargetsOf(own->second.service);
  const time_point now = frame_->Now();
  // Peers that came and went.
  std::map<target_id, target_record> peers;
  for (const target_record& each : targets) {
    if (each.id == self_) continue;
    if (peers_.count(each.id) == 0) {
      health_.Join(each.id, each.capacity, !peers_.empty(), now);
    }
    peers.emplace(each.id, each);
  }
  for (const auto& [id, record] : peers_) {
    if (peers.count(id) == 0) health_.Leave(id);
  }
  peers_ = std::move(peers);
  placement_ =
      std::make_shared<const service_placement>(view.at, document, targets);
  keys_.Apply(view.at, *placement_, frame_->WallNow());
  if (document.version == version_) return;
  version_ = document.version;
  classes_ = document.classes;
  Apply(server_.Update(settings_.slots, classes_, now));
}

void request_front::OnLease(std::optional<time_point> lease_end) {
  if (lease_end) server_.owner().Renew(*lease_end);
}

void request_front::Drain() {
  server_.Drain();
  stop_listening_ = frame_->Now() + kListenOn;
}

bool request_front::idle() const { return server_.idle() && open_.empty(); }

// --- Callers.

std::string request_front::ClassOf(const http_request& request) const {
  const std::string named = request.Field("Request-Class");
  if (!named.empty()) return named;
  std::uint8_t urgency = kDefaultUrgency;
  const std::string priority = request.Field("Priority");
  const std::size_t at = priority.find("u=");
  if (at != std::string::npos && at + 2 < priority.size() &&
      priority[at + 2] >= '0' && priority[at + 2] <= '7') {
    urgency = static_cast<std::uint8_t>(priority[at + 2] - '0');
  }
  // The most urgent class that is not more urgent than asked for.
  const request_class* best = nullptr;
  for (const request_class& each : classes_) {
    if (each.urgency < urgency) continue;
    if (best == nullptr || each.urgency < best->urgency) best = &each;
  }
  if (best == nullptr && !classes_.empty()) best = &classes_.back();
  return best == nullptr ? "" : best->name;
}

void request_front::OnRequest(caller_request request) {
  if (request.what.path.rfind(kOwnPaths, 0) == 0) {
    OnPeerQuestion(request);
    return;
  }
  open_request made;
  made.from = std::move(request);
  made.hops = static_cast<std::uint32_t>(std::min<std::uint64_t>(
      Number(made.from.what.Field(kHopsField)).value_or(0), kMostHops + 1));
  const std::string key = made.from.what.Field("Idempotency-Key");
  failure why;
  if (!key.empty()) {
    made.key = ParseIdempotencyKey(key, &why);
    if (!made.key) {
      Answer(&made, {{}, why.code, true, duration(0), why.reason});
      return;
    }
  }
  const bool may_pass = made.hops == 0 && !peers_.empty();
  Submit(std::move(made), may_pass);
}

void request_front::Submit(open_request request, bool may_pass) {
  const http_request& what = request.from.what;
  request_arrival arrival;
  arrival.id = {++last_request_};
  arrival.class_name = ClassOf(what);
  const std::string token = what.Field("Authorization");
  arrival.caller = {HashText(token.empty() ? request.from.peer : token)};
  arrival.key = request.key;
  arrival.content =
      HashPair(arrival.caller.value,
               HashPair(HashText(what.method + " " + request.from.target),
                        HashText(what.body)));
  // The address of a passed request is that of the daemon that passed it.
  if (token.empty()) {
    arrival.content = HashPair(
        HashText(what.method + " " + request.from.target), HashText(what.body));
  }
  if (request.key) arrival.bucket = KeyBucketOf(*request.key);
  const auto timeout = Number(what.Field("Request-Timeout"));
  if (timeout) {
    arrival.timeout =
        std::chrono::seconds(std::min<std::uint64_t>(*timeout, 86400));
  }
  arrival.may_pass = may_pass;
  open_.emplace(arrival.id, std::move(request));
  Apply(server_.Arrive(arrival, frame_->Now(), frame_->WallNow()));
}

void request_front::OnLeft(const caller_exchange* exchange) {
  for (auto at = open_.begin(); at != open_.end(); ++at) {
    if (at->second.from.exchange.get() != exchange) continue;
    const request_id id = at->first;
    if (at->second.passed)
      health_.OnEnd(at->second.passed_to, try_result::kAbandoned,
                    frame_->Now());
    open_.erase(at);
    lengths_.erase(id);
    Apply(server_.CallerLeft(id, frame_->Now()));
    return;
  }
}

void request_front::Answer(open_request* request,
                           const answer_refusal& refusal) {
  const nlohmann::json body = {{"code", static_cast<unsigned>(refusal.code)},
                               {"name", std::string(ToString(refusal.code))},
                               {"not_run", refusal.not_run},
                               {"reason", refusal.reason}};
  std::vector<http_field> fields{{"Content-Type", "application/json"}};
  if (refusal.retry_after > duration(0)) {
    fields.push_back(
        {"Retry-After", std::to_string(WholeSeconds(refusal.retry_after))});
  }
  request->from.exchange->Whole(StatusOf(refusal), fields, body.dump() + "\n");
}

// --- Decisions.

void request_front::Apply(const request_actions& actions) {
  for (const request_action& action : actions) {
    std::visit([this](const auto& each) { Carry(each); }, action);
  }
}

void request_front::Carry(const start_attempt& action) {
  const auto found = open_.find(action.request);
  const attempt_id attempt = action.attempt;
  if (found == open_.end()) {
    // A resend's first request has left before its turn: nothing was sent.
    asio::post(frame_->loop(), [this, attempt] {
      Apply(server_.AttemptNotRun(attempt, result_code::kTargetUnreachable,
                                  duration(0), frame_->Now()));
    });
    return;
  }
  http_request request = found->second.from.what;
  const duration left = action.deadline - frame_->Now();
  SetField(&request.fields, "Request-Timeout",
           std::to_string(std::max<std::int64_t>(1, WholeSeconds(left))));
  SetField(&request.fields, kAttemptField, std::to_string(attempt.value));
  request_of_[attempt] = action.request;
  upstream_handlers handlers;
  handlers.on_began = [this, attempt](const upstream_head& head) {
    if (IsShed(head)) {
      const auto after = Number(FieldOf(head, "Retry-After")).value_or(1);
      const auto ended = std::move(attempts_[attempt]);
      attempts_.erase(attempt);
      request_of_.erase(attempt);
      Apply(server_.AttemptNotRun(
          attempt, result_code::kTargetShed,
          std::chrono::seconds(std::min<std::uint64_t>(after, 3600)),
          frame_->Now()));
      return;
    }
    const request_id answered = request_of_[attempt];
    if (open_.count(answered) != 0) lengths_[answered] = head.length;
    const auto echoed = Number(FieldOf(head, kAttemptField));
    Apply(server_.AnswerBegan(
        attempt, static_cast<std::uint16_t>(head.status), HeadText(head.fields),
        echoed ? std::make_optional(attempt_id{*echoed}) : std::nullopt,
        frame_->Now()));
  };
  handlers.on_bytes = [this, attempt](std::string bytes) {
    Apply(server_.AnswerBytes(attempt, std::move(bytes), frame_->Now()));
  };
  handlers.on_ended = [this, attempt] {
    const auto ended = std::move(attempts_[attempt]);
    attempts_.erase(attempt);
    request_of_.erase(attempt);
    Apply(server_.AnswerEnded(attempt, frame_->Now()));
  };
  handlers.on_failed = [this, attempt](bool sent) {
    const auto ended = std::move(attempts_[attempt]);
    attempts_.erase(attempt);
    request_of_.erase(attempt);
    Apply(sent ? server_.AttemptLost(attempt, frame_->Now())
               : server_.AttemptNotRun(attempt, result_code::kTargetUnreachable,
                                       duration(0), frame_->Now()));
  };
  attempts_[attempt] = std::make_unique<upstream_exchange>(
      &frame_->loop(), settings_.target, request, found->second.from.target,
      std::move(handlers));
}

void request_front::Carry(const cancel_attempt& action) {
  attempts_.erase(action.attempt);
  request_of_.erase(action.attempt);
}

void request_front::Carry(const pause_attempt& action) {
  const auto found = attempts_.find(action.attempt);
  if (found != attempts_.end()) found->second->Pause();
}

void request_front::Carry(const resume_attempt& action) {
  const auto found = attempts_.find(action.attempt);
  if (found != attempts_.end()) found->second->Resume();
}

void request_front::Carry(const answer_refusal& action) {
  const auto found = open_.find(action.request);
  if (found == open_.end()) return;
  Answer(&found->second, action);
  lengths_.erase(action.request);
  open_.erase(found);
}

void request_front::Carry(const answer_whole& action) {
  const auto found = open_.find(action.request);
  if (found == open_.end()) return;
  found->second.from.exchange->Whole(action.answer->status,
                                     HeadFields(action.answer->headers),
                                     action.answer->body);
  lengths_.erase(action.request);
  open_.erase(found);
}

void request_front::Carry(const answer_begin& action) {
  const auto found = open_.find(action.request);
  if (found == open_.end()) return;
  // A resend that takes over another's answer has no length of its own.
  const auto length = lengths_.find(action.request);
  found->second.from.exchange->Begin(
      action.status, HeadFields(action.headers),
      length == lengths_.end() ? std::nullopt : length->second);
}

void request_front::Carry(const answer_bytes& action) {
  const auto found = open_.find(action.request);
  if (found == open_.end()) return;
  const request_id id = action.request;
  found->second.from.exchange->Bytes(
      action.bytes, [this, id, size = action.bytes.size()] {
        asio::post(frame_->loop(),
                   [this, id, size] { Apply(server_.BytesSent(id, size)); });
      });
}

void request_front::Carry(const answer_end& action) {
  const auto found = open_.find(action.request);
  if (found == open_.end()) return;
  found->second.from.exchange->End();
  lengths_.erase(action.request);
  open_.erase(found);
}

void request_front::Carry(const answer_abort& action) {
  const auto found = open_.find(action.request);
  if (found == open_.end()) return;
  found->second.from.exchange->Abort();
  lengths_.erase(action.request);
  open_.erase(found);
}

// --- Passing to other daemons.

const target_record* request_front::Peer(target_id id) const {
  const auto found = peers_.find(id);
  return found == peers_.end() ? nullptr : &found->second;
}

void request_front::Carry(const pass_request& action) {
  std::optional<target_id> to = action.to;
  if (!to) to = health_.Choose(self_, frame_->Now(), &frame_->random());
  const target_record* peer = to ? Peer(*to) : nullptr;
  if (peer == nullptr) {
    OnPassFailed(action.request, false);
    return;
  }
  PassTo(action.request, *peer);
}

void request_front::Carry(const pass_to_owner& action) {
  const auto found = open_.find(action.request);
  if (found == open_.end()) return;
  const auto owner = KeyOwnerOf(*placement_, KeyBucketOf(*found->second.key));
  const target_record* peer = owner ? Peer(*owner) : nullptr;
  if (peer == nullptr) {
    OnPassFailed(action.request, false);
    return;
  }
  PassTo(action.request, *peer);
}

void request_front::PassTo(request_id id, const target_record& peer) {
  const auto found = open_.find(id);
  if (found == open_.end()) return;
  open_request& request = found->second;
  if (++request.hops > kMostHops) {
    OnPassFailed(id, false);
    return;
  }
  http_request what = request.from.what;
  SetField(&what.fields, kHopsField, std::to_string(request.hops));
  upstream_handlers handlers;
  handlers.on_began = [this, id](const upstream_head& head) {
    open_request& to = open_.at(id);
    to.begun = true;
    to.from.exchange->Begin(head.status, head.fields, head.length);
  };
  handlers.on_bytes = [this, id](std::string bytes) {
    open_request& to = open_.at(id);
    const std::size_t size = bytes.size();
    to.unsent += size;
    if (to.unsent > kPassWindow) to.passed->Pause();
    to.from.exchange->Bytes(std::move(bytes), [this, id, size] {
      const auto still = open_.find(id);
      if (still == open_.end() || !still->second.passed) return;
      still->second.unsent -= std::min(still->second.unsent, size);
      if (still->second.unsent <= kPassWindow / 2) {
        still->second.passed->Resume();
      }
    });
  };
  handlers.on_ended = [this, id] {
    open_.at(id).from.exchange->End();
    EndPass(id, try_result::kAnswered);
  };
  handlers.on_failed = [this, id](bool sent) {
    if (!open_.at(id).begun) {
      OnPassFailed(id, sent);
      return;
    }
    open_.at(id).from.exchange->Abort();
    EndPass(id, try_result::kFailed);
  };
  request.passed_to = peer.id;
  health_.OnBegin(peer.id);
  request.passed = std::make_unique<upstream_exchange>(
      &frame_->loop(), peer.requests, what, request.from.target,
      std::move(handlers));
}

void request_front::EndPass(request_id id, try_result result) {
  const auto found = open_.find(id);
  health_.OnEnd(found->second.passed_to, result, frame_->Now());
  open_.erase(found);
}

void request_front::OnPassFailed(request_id id, bool sent) {
  const auto found = open_.find(id);
  if (found == open_.end()) return;
  open_request request = std::move(found->second);
  open_.erase(found);
  if (request.passed) {
    health_.OnEnd(request.passed_to, try_result::kFailed, frame_->Now());
    // It is in the middle of its own call.
    asio::post(frame_->loop(),
               [gone = std::shared_ptr<upstream_exchange>(
                    std::move(request.passed))] { gone->Cancel(); });
  }
  if (request.key) {
    // Only its owner may decide on a key.
    const auto code =
        sent ? result_code::kOutcomeUnknown : result_code::kKeyMoving;
    Answer(&request, {id, code, false, std::chrono::seconds(1),
                      "the owner of the key could not be reached"});
  } else if (sent) {
    Answer(&request, {id, result_code::kAnswerBroken, false, duration(0),
                      "the other candidate ended before its answer"});
  } else {
    Submit(std::move(request), false);
  }
}

// --- Questions between the daemons of a service.

std::string request_front::Proof(const std::string& text) const {
  std::array<unsigned char, crypto_auth_BYTES> tag{};
  static_assert(kLinkKeyBytes >= crypto_auth_KEYBYTES);
  crypto_auth(tag.data(), reinterpret_cast<const unsigned char*>(text.data()),
              text.size(), settings_.key.data());
  std::array<char, crypto_auth_BYTES * 2 + 1> hex{};
  sodium_bin2hex(hex.data(), hex.size(), tag.data(), tag.size());
  return hex.data();
}

void request_front::OnPeerQuestion(const caller_request& request) {
  const std::vector<http_field> json{{"Content-Type", "application/json"}};
  const std::string proof = request.what.Field(kProofField);
  const std::string expected = Proof(request.what.path + request.what.body);
  if (proof.size() != expected.size() ||
      sodium_memcmp(proof.data(), expected.data(), expected.size()) != 0) {
    request.exchange->Whole(403, json, "{}\n");
    return;
  }
  nlohmann::json answer;
  if (request.what.path == kRevisionPath) {
    answer["at"] = keys_.acknowledged().value;
  } else if (request.what.path == kKeysPath) {
    const auto key = ParseIdempotencyKey(request.what.body, nullptr);
    if (!key) {
      request.exchange->Whole(400, json, "{}\n");
      return;
    }
    answer["knowledge"] = static_cast<unsigned>(
        server_.owner().Ask(*key, KeyBucketOf(*key), frame_->Now()));
  } else {
    request.exchange->Whole(404, json, "{}\n");
    return;
  }
  request.exchange->Whole(200, json, answer.dump() + "\n");
}

void request_front::AskRevisions() {
  for (const target_id id : keys_.missing()) {
    const target_record* peer = Peer(id);
    if (peer == nullptr) continue;
    http_request question;
    question.method = "POST";
    question.fields.push_back({kProofField, Proof(kRevisionPath)});
    Ask(*peer, question, kRevisionPath, [this, id](const std::string& body) {
      if (const auto at = ReadAcknowledgedRevision(body))
        keys_.OnAcknowledged(id, *at, frame_->WallNow());
    });
  }
}

void request_front::Carry(const ask_owner& action) {
  const target_record* peer = Peer(action.owner);
  const auto reply = [this, action](std::optional<key_knowledge> knowledge) {
    Apply(server_.OnReply(action.key, action.owner, knowledge, frame_->Now()));
  };
  if (peer == nullptr) {
    asio::post(frame_->loop(), [reply] { reply(std::nullopt); });
    return;
  }
  http_request question;
  question.method = "POST";
  question.body = ToString(action.key);
  question.fields.push_back({kProofField, Proof(kKeysPath + question.body)});
  Ask(*peer, question, kKeysPath,
      [reply](const std::string& body) { reply(ReadKeyKnowledge(body)); });
}

void request_front::Ask(const target_record& peer, const http_request& question,
                        const std::string& path,
                        std::function<void(const std::string&)> on_answer) {
  const std::uint64_t number = ++last_question_;
  const auto body = std::make_shared<std::string>();
  const auto timer = std::make_shared<asio::steady_timer>(frame_->loop());
  const auto end = [this, number, on_answer, timer](const std::string& text) {
    const auto found = questions_.find(number);
    if (found == questions_.end()) return;
    const auto ended = std::move(found->second);
    questions_.erase(found);
    timer->cancel();
    on_answer(text);
  };
  timer->expires_after(kLongestQuestion);
  timer->async_wait([end](const asio::error_code& error) {
    if (!error) end("");
  });
  upstream_handlers handlers;
  handlers.on_began = [body](const upstream_head& head) {
    if (head.status != 200) *body = "refused";
  };
  handlers.on_bytes = [body](const std::string& bytes) {
    if (body->size() < kMostAnswerBytes) *body += bytes;
  };
  handlers.on_ended = [body, end] { end(*body); };
  handlers.on_failed = [end](bool) { end(""); };
  questions_[number] = std::make_unique<upstream_exchange>(
      &frame_->loop(), peer.requests, question, path, std::move(handlers));
}

void request_front::Tick() {
  const time_point now = frame_->Now();
  const auto timer = server_.NextTimer();
  if (timer && *timer <= now) Apply(server_.Tick(now));
  health_.Tick(now);
  if (stop_listening_ && *stop_listening_ <= now) {
    stop_listening_.reset();
    callers_.StopListening();
  }
  if (now - asked_ < kAskInterval) return;
  asked_ = now;
  if (questions_.size() < kMostQuestions) AskRevisions();
}

}  // namespace tamaracklatch
