// The common frame of the daemons.
#include "daemon/process_frame.h"

#include <fmt/format.h>
#include <sodium.h>
#include <sys/resource.h>
#include <time.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <fstream>
#include <utility>

namespace tamaracklatch {
namespace {

constexpr std::chrono::milliseconds kLogRetry{50};

// A shorter standstill holds up no announcement long enough to be missed.
constexpr std::chrono::milliseconds kLeastStandstill{500};

// What arrived during a pause this long may be out of date: operators wait 1 s
// for each answer. All of it is read within kAfterPause after the pause.
constexpr std::chrono::seconds kLeastPause{1};
constexpr std::chrono::seconds kAfterPause{1};

std::uint64_t RandomNumber() {
  std::uint64_t number = 0;
  while (number == 0) randombytes_buf(&number, sizeof(number));
  return number;
}

wall_time WallClock() {
  return std::chrono::time_point_cast<duration>(
      std::chrono::system_clock::now());
}

std::unique_ptr<timeline_writer> OpenTimeline(const process_settings& settings,
                                              hybrid_clock* clock) {
  if (settings.timeline_file.empty()) return nullptr;
  timeline_writer_settings writer;
  writer.source = {settings.name, settings.vm, settings.zone};
  writer.file.path = settings.timeline_file;
  writer.file.max_bytes = settings.timeline_file_bytes;
  return std::make_unique<timeline_writer>(writer, clock, WallClock);
}

time_point SteadyClock() {
  const auto since_start = std::chrono::steady_clock::now().time_since_epoch();
  return time_point(std::chrono::duration_cast<duration>(since_start));
}

// Goes on while the VM is suspended.
time_point BootClock() {
  timespec now{};
  if (clock_gettime(CLOCK_BOOTTIME, &now) != 0) return SteadyClock();
  return time_point(std::chrono::seconds(now.tv_sec) +
                    std::chrono::duration_cast<duration>(
                        std::chrono::nanoseconds(now.tv_nsec)));
}

double Seconds(const timeval& time) {
  constexpr double kMicrosecond = 1e-6;
  return static_cast<double>(time.tv_sec) +
         static_cast<double>(time.tv_usec) * kMicrosecond;
}

event_log_settings LogSettings(const process_settings& settings) {
  event_log_settings log;
  log.source = {settings.name, settings.zone, ""};
  log.level = settings.level;
  return log;
}

}  // namespace

std::uint64_t process_clock::Stamp() { return clock_.Tick(WallClock()).value; }

void process_clock::Observe(std::uint64_t stamp) {
  clock_.Merge({stamp}, WallClock());
}

// Work that is done again and again.
struct process_frame::ticker {
  ticker(process_frame* of, std::chrono::milliseconds every,
         std::function<void()> what)
      : frame(of), timer(of->loop_), interval(every), work(std::move(what)) {}

  void Schedule() {
    timer.expires_after(interval);
    timer.async_wait([this](asio::error_code error) {
      if (error) return;
      frame->OnTickerFired(time_point(std::chrono::duration_cast<duration>(
          timer.expiry().time_since_epoch())));
      work();
      Schedule();
    });
  }

  process_frame* frame;
  asio::steady_timer timer;
  std::chrono::milliseconds interval;
  std::function<void()> work;
};

process_frame::process_frame(const process_settings& settings,
                             process_role role)
    : settings_(settings),
      signals_(loop_, SIGTERM, SIGINT),
      reload_signals_(loop_),
      random_(RandomNumber()),
      counts_(settings.name, settings.zone),
      log_timer_(loop_),
      standstill_(kLeastStandstill),
      pauses_(kLeastPause, kAfterPause) {
  // A reader of the log that ends must not end the process.
  std::signal(SIGPIPE, SIG_IGN);
  timeline_ = OpenTimeline(settings, &clock_.clock());
  log_ = std::make_unique<event_log>(
      LogSettings(settings), &counts_,
      [] {
        return log_time{SteadyClock(), WallClock()};
      },
      [this](log_level level) {
        // Information waits for a timer that fires anyway: a call to the system
        // costs more than the line.
        if (level <= log_level::kInfo && !tickers_.empty()) {
          log_waits_ = true;
          return;
        }
        asio::post(loop_, [this] { FlushLog(); });
      });
  log_->SetNext(timeline_.get());
  links_.key = settings.link_key;
  links_.heartbeat_interval = settings.link_heartbeat;
  links_.silence_limit = settings.link_silence;
  links_.connect_limit = settings.link_connect;
  links_.self = {settings.name, settings.vm, settings.zone, role,
                 incarnation{RandomNumber()}};
}

process_frame::~process_frame() = default;

bool process_frame::ServeHttp(const endpoint& where, http_handler handler,
                              failure* last_failure) {
  const auto serve = [this, handler = std::move(handler)](
                         const http_request& request, const http_reply& reply) {
    if (request.path == "/metrics") {
      CountUsage();
      log_->Export();
      for (const auto& work : on_scrape_) work();
      return reply({200, "text/plain; version=0.0.4", {}, counts_.Text()});
    }
    if (handler) return handler(request, reply);
    reply({404, "text/plain", {}, "no such page\n"});
  };
  http_.push_back(std::make_unique<http_server>(&loop_, serve));
  return http_.back()->Start(where, last_failure);
}

void process_frame::Run(std::function<void()> on_stop) {
  on_stop_ = std::move(on_stop);
  std::function<void(asio::error_code, int)> on_signal =
      [&](asio::error_code error, int) {
        if (error) return;
        if (stopping_) return Stop();
        stopping_ = true;
        SayProcess(event_id::kProcessStopping, "");
        signals_.async_wait(on_signal);
        on_stop_();
      };
  signals_.async_wait(on_signal);
  SayProcess(event_id::kProcessStarted, "version 0.1.0");
  loop_.run();
  SayProcess(event_id::kProcessStopped, "");
}

void process_frame::OnTickerFired(time_point due) {
  const time_point now = SteadyClock();
  timer_delay_.Add(now - due);
  if (log_waits_) FlushLog();
  const time_point through = BootClock();
  pauses_.OnTurn(through);
  const auto stood = standstill_.OnTimer(due, now, through);
  if (!stood) return;
  event what;
  what.id = event_id::kProcessResumed;
  const std::int64_t milliseconds = *stood / std::chrono::milliseconds(1);
  what.detail = fmt::format("stood still for {} ms", milliseconds);
  what.inputs = {{"stood_ms", milliseconds}};
  events().OnEvent(what);
}

// What the process uses, as the system says, and how it keeps up.
void process_frame::CountUsage() {
  rusage usage{};
  if (getrusage(RUSAGE_SELF, &usage) == 0) {
    counts_.SetTotal("process_cpu_seconds_total",
                     "Processor time since the start.",
                     Seconds(usage.ru_utime) + Seconds(usage.ru_stime));
  }
  counts_.SetHistogram("tamaracklatch_timer_delay_seconds",
                       "How late timers of the event loop fire, in seconds.",
                       timer_delay_);
  std::ifstream memory("/proc/self/statm");
  std::uint64_t size = 0;
  std::uint64_t resident = 0;
  if (memory >> size >> resident) {
    counts_.Set("process_resident_memory_bytes", "Resident memory.",
                static_cast<double>(resident) *
                    static_cast<double>(sysconf(_SC_PAGESIZE)));
  }
}

void process_frame::FlushLog() {
  log_waits_ = false;
  if (log_->Flush()) return;
  log_timer_.expires_after(kLogRetry);
  log_timer_.async_wait([this](asio::error_code error) {
    if (!error) FlushLog();
  });
}

void process_frame::SayProcess(event_id id, const std::string& detail) {
  event what;
  what.id = id;
  what.detail = detail;
  events().OnEvent(what);
}

void process_frame::Stop() { loop_.stop(); }

void process_frame::OnReload(std::function<void()> work) {
  const bool first = !on_reload_;
  on_reload_ = std::move(work);
  if (!first) return;
  reload_signals_.add(SIGHUP);
  WaitForReload();
}

void process_frame::WaitForReload() {
  reload_signals_.async_wait([this](asio::error_code error, int) {
    if (error) return;
    on_reload_();
    WaitForReload();
  });
}

void process_frame::OnScrape(std::function<void()> work) {
  on_scrape_.push_back(std::move(work));
}

void process_frame::Every(std::chrono::milliseconds interval,
                          std::function<void()> work) {
  tickers_.push_back(std::make_unique<ticker>(this, interval, std::move(work)));
  tickers_.back()->Schedule();
}

bool process_frame::HasJustPaused() { return pauses_.IsRecent(BootClock()); }

time_point process_frame::Now() const { return SteadyClock(); }

wall_time process_frame::WallNow() const { return WallClock(); }

}  // namespace tamaracklatch
