// What every daemon is built on: one event loop, its clocks, metrics, the event
// log, an HTTP server for metrics, and a graceful stop on SIGTERM or SIGINT.
#pragma once

#include <asio.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "daemon/event_log.h"
#include "daemon/http_server.h"
#include "daemon/metrics.h"
#include "daemon/pause_watch.h"
#include "daemon/standstill_watch.h"
#include "tamaracklatch/core/fixed_histogram.h"
#include "tamaracklatch/core/random.h"
#include "tamaracklatch/core/time.h"
#include "tamaracklatch/daemon/settings.h"
#include "tamaracklatch/timeline/timeline_writer.h"
#include "transport/link.h"

namespace tamaracklatch {

// The process's hybrid clock as links and the time line share it.
class process_clock : public link_clock {
 public:
  std::uint64_t Stamp() override;
  void Observe(std::uint64_t stamp) override;

  hybrid_clock& clock() { return clock_; }

 private:
  hybrid_clock clock_;
};

// Invariant: everything runs on the one event loop.
class process_frame {
 public:
  process_frame(const process_settings& settings, process_role role);
  ~process_frame();
  process_frame(const process_frame&) = delete;
  process_frame& operator=(const process_frame&) = delete;

  // Serves /metrics at `where`, and everything else by `handler`, which may be
  // empty. May be called for several endpoints.
  bool ServeHttp(const endpoint& where, http_handler handler,
                 failure* last_failure);

  // Runs until Stop(). `on_stop` is called once, when a signal asks for a
  // graceful stop; it calls Stop() when done. A second signal ends at once.
  void Run(std::function<void()> on_stop);
  void Stop();

  // Calls `work` on each SIGHUP.
  void OnReload(std::function<void()> work);

  // Calls `work` before /metrics is answered: it sets what is not counted as it
  // happens.
  void OnScrape(std::function<void()> work);

  // Calls `work` every `interval` for as long as the process runs.
  void Every(std::chrono::milliseconds interval, std::function<void()> work);

  // Whether the process went on less than a second ago after a pause of a
  // second or more. Needs a ticker (Every) that is much faster than that.
  bool HasJustPaused();

  time_point Now() const;
  wall_time WallNow() const;

  asio::io_context& loop() { return loop_; }
  metrics& counts() { return counts_; }
  event_log& events() { return *log_; }
  link_clock& clock() { return clock_; }
  random_source& random() { return random_; }
  const link_settings& links() const { return links_; }
  const link_identity& self() const { return links_.self; }

 private:
  struct ticker;

  void WaitForReload();
  void OnTickerFired(time_point due);
  void CountUsage();
  void FlushLog();
  void SayProcess(event_id id, const std::string& detail);

  process_settings settings_;
  asio::io_context loop_;
  asio::signal_set signals_;
  asio::signal_set reload_signals_;
  random_source random_;
  metrics counts_;
  process_clock clock_;
  std::unique_ptr<timeline_writer>
      timeline_;  // null where the settings name no file
  std::unique_ptr<event_log> log_;
  asio::steady_timer log_timer_;  // tries again while lines wait
  bool log_waits_ = false;        // lines wait for the next ticker
  link_settings links_;
  std::vector<std::unique_ptr<http_server>> http_;
  std::vector<std::unique_ptr<ticker>> tickers_;
  std::function<void()> on_stop_;
  std::function<void()> on_reload_;
  std::vector<std::function<void()>> on_scrape_;
  standstill_watch standstill_;
  pause_watch pauses_;
  span_histogram timer_delay_;
  bool stopping_ = false;
};

}  // namespace tamaracklatch
