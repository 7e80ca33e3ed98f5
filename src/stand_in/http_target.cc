// Slots, queue and faults of the stand-in target.
#include "stand_in/http_target.h"

#include <algorithm>
#include <asio.hpp>
#include <charconv>
#include <deque>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "daemon/caller_server.h"
#include "tamaracklatch/core/random.h"

namespace tamaracklatch {
namespace {

using steady = std::chrono::steady_clock;

constexpr std::uint64_t kLongestWork = 600000;       // milliseconds
constexpr std::uint64_t kLongestAnswer = 1U << 26U;  // bytes
constexpr int kColdFactor = 3;
constexpr std::size_t kLoadSamples = 1000;
constexpr std::chrono::milliseconds kSampleInterval{100};
constexpr char kAttemptField[] = "Tamaracklatch-Attempt";

// The number behind "NAME=" in a query.
std::uint64_t QueryNumber(const std::string& query, const std::string& name,
                          std::uint64_t otherwise, std::uint64_t most) {
  const std::size_t at = ("&" + query).find("&" + name + "=");
  if (at == std::string::npos) return otherwise;
  const char* begin = query.data() + at + name.size() + 1;
  std::uint64_t value = otherwise;
  std::from_chars(begin, query.data() + query.size(), value);
  return std::min(value, most);
}

struct fault_percents {
  std::uint64_t lose = 0;     // runs, and never answers
  std::uint64_t shed = 0;     // refuses with a free slot
  std::uint64_t hang = 0;     // answers a minute late
  std::uint64_t crossed = 0;  // answers under another attempt's number
};

// One request that waits or runs.
struct job {
  caller_request request;
  std::shared_ptr<asio::steady_timer> timer;
  steady::time_point deadline;
  bool running = false;
};

}  // namespace

struct http_target::state : std::enable_shared_from_this<http_target::state> {
  state(asio::io_context* event_loop, http_target_settings chosen)
      : loop(event_loop),
        settings(std::move(chosen)),
        random(settings.seed),
        started(steady::now()),
        sampler(*event_loop),
        callers(
            event_loop,
            [this](caller_request request) { OnRequest(std::move(request)); },
            [this](const caller_exchange* exchange) { OnLeft(exchange); }) {}

  bool Chance(std::uint64_t percent) { return random() % 100 < percent; }

  void Json(const caller_request& request, const nlohmann::json& body) {
    request.exchange->Whole(200, {{"Content-Type", "application/json"}},
                            body.dump() + "\n");
  }

  void Shed(const caller_request& request) {
    ++shed;
    request.exchange->Whole(503, {{"Retry-After", "1"}}, "no room\n");
  }

  void OnRequest(caller_request request) {
    const std::string& path = request.what.path;
    if (path == "/load") return Json(request, {{"busy", Load()}});
    if (path == "/counts") return Json(request, Counts());
    if (path == "/keys") {
      nlohmann::json keys = nlohmann::json::array();
      for (const auto& [key, count] : runs_of_key) keys.push_back(key);
      return Json(request, keys);
    }
    if (path == "/faults") {
      const std::string& query = request.what.query;
      faults = {QueryNumber(query, "lose", 0, 100),
                QueryNumber(query, "shed", 0, 100),
                QueryNumber(query, "hang", 0, 100),
                QueryNumber(query, "crossed", 0, 100)};
      return Json(request, nlohmann::json::object());
    }
    const bool full =
        waiting.size() >= settings.queue && running.size() >= settings.slots;
    if (draining || full || Chance(faults.shed)) return Shed(request);
    auto made = std::make_shared<job>();
    made->request = std::move(request);
    made->timer = std::make_shared<asio::steady_timer>(*loop);
    const std::uint64_t seconds = FieldNumber(*made, "Request-Timeout", 3600);
    made->deadline = steady::now() + std::chrono::seconds(seconds);
    waiting.push_back(made);
    StartNext();
  }

  static std::uint64_t FieldNumber(const job& which, const std::string& name,
                                   std::uint64_t otherwise) {
    const std::string text = which.request.what.Field(name);
    std::uint64_t value = otherwise;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
  }

  void StartNext() {
    while (running.size() < settings.slots && !waiting.empty()) {
      const auto next = waiting.front();
      waiting.pop_front();
      if (steady::now() >= next->deadline) {
        Shed(next->request);
        continue;
      }
      Run(next);
    }
  }

  void Run(const std::shared_ptr<job>& which) {
    running.push_back(which);
    ++runs;
    const std::string key = which->request.what.Field("Idempotency-Key");
    if (!key.empty() && ++runs_of_key[key] == 2) ++doubled;
    auto work = std::chrono::milliseconds(QueryNumber(
        which->request.what.query, "ms",
        static_cast<std::uint64_t>(settings.work.count()), kLongestWork));
    if (steady::now() < started + settings.cold) work *= kColdFactor;
    if (Chance(faults.hang)) work += std::chrono::minutes(1);
    which->timer->expires_after(work);
    which->timer->async_wait(
        [self = shared_from_this(), which](const asio::error_code& error) {
          if (!error) self->Finish(which);
        });
  }

  void Finish(const std::shared_ptr<job>& which) {
    Remove(which);
    Answer(*which);
    StartNext();
  }

  void Answer(const job& which) {
    if (Chance(faults.lose)) {
      ++lost;
      which.request.exchange->Begin(200, {}, 1U);
      which.request.exchange->Abort();
      return;
    }
    ++answered;
    std::vector<http_field> fields{{"Content-Type", "text/plain"}};
    const std::uint64_t attempt = FieldNumber(which, kAttemptField, 0);
    if (attempt != 0) {
      fields.push_back(
          {kAttemptField, std::to_string(attempt + Chance(faults.crossed))});
    }
    std::string body =
        settings.name + ":" + which.request.what.Field("Idempotency-Key") + ":";
    body += std::string(
        QueryNumber(which.request.what.query, "bytes", 0, kLongestAnswer), 'x');
    which.request.exchange->Whole(200, fields, body + "\n");
  }

  void Remove(const std::shared_ptr<job>& which) {
    running.erase(std::remove(running.begin(), running.end(), which),
                  running.end());
    waiting.erase(std::remove(waiting.begin(), waiting.end(), which),
                  waiting.end());
  }

  // The daemon closed the connection: the work is cancelled.
  void OnLeft(const caller_exchange* exchange) {
    const auto is_it = [exchange](const std::shared_ptr<job>& each) {
      return each->request.exchange.get() == exchange;
    };
    std::shared_ptr<job> found;
    for (const auto& each : running) {
      if (is_it(each)) found = each;
    }
    for (const auto& each : waiting) {
      if (is_it(each)) found = each;
    }
    if (!found) return;
    ++cancelled;
    found->timer->cancel();
    Remove(found);
    StartNext();
  }

  void Sample() {
    samples.push_back(static_cast<double>(running.size()) / settings.slots);
    if (samples.size() > kLoadSamples) samples.pop_front();
    sampler.expires_after(kSampleInterval);
    sampler.async_wait(
        [self = shared_from_this()](const asio::error_code& error) {
          if (!error) self->Sample();
        });
  }

  double Load() const {
    if (settings.load_lies || samples.empty()) return 0.0;
    const auto back =
        static_cast<std::size_t>(settings.load_lag / kSampleInterval);
    return samples[samples.size() - 1 - std::min(back, samples.size() - 1)];
  }

  nlohmann::json Counts() const {
    return {{"runs", runs},
            {"keys", runs_of_key.size()},
            {"doubled", doubled},
            {"answered", answered},
            {"cancelled", cancelled},
            {"shed", shed},
            {"lost", lost}};
  }

  asio::io_context* loop;
  http_target_settings settings;
  random_source random;
  steady::time_point started;
  asio::steady_timer sampler;
  caller_server callers;
  fault_percents faults;
  std::deque<std::shared_ptr<job>> waiting;
  std::vector<std::shared_ptr<job>> running;
  std::deque<double> samples;
  std::map<std::string, std::uint64_t> runs_of_key;
  std::uint64_t runs = 0;
  std::uint64_t doubled = 0;
  std::uint64_t answered = 0;
  std::uint64_t cancelled = 0;
  std::uint64_t shed = 0;
  std::uint64_t lost = 0;
  bool draining = false;
};

http_target::http_target(asio::io_context* loop, http_target_settings settings)
    : state_(std::make_shared<state>(loop, std::move(settings))) {}

http_target::~http_target() { state_->sampler.cancel(); }

bool http_target::Start(failure* last_failure) {
  if (!state_->callers.Start(state_->settings.listen, last_failure)) {
    return false;
  }
  state_->Sample();
  return true;
}

void http_target::Drain() { state_->draining = true; }

bool http_target::idle() const {
  return state_->running.empty() && state_->waiting.empty();
}

}  // namespace tamaracklatch
