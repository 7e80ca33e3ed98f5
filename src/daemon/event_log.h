// Writes each event as one line of JSON to standard output and counts it. Keeps
// within a budget of lines and never waits for the reader.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "daemon/log_budget.h"
#include "daemon/log_output.h"
#include "daemon/metrics.h"
#include "tamaracklatch/core/event.h"
#include "tamaracklatch/daemon/settings.h"
#include "timeline/log_line.h"

namespace tamaracklatch {

struct event_log_settings {
  log_source source;
  log_level level = log_level::kInfo;  // refusals are warnings, others info
  log_budget_settings budget;
  log_output_settings output;
  // Lines that were left out are said no more often than this.
  duration notice_interval = std::chrono::seconds(1);
};

// The listener that daemons pass to their state machines.
//
//   event_log log(settings, &metrics, now, wake);
//   log.OnEvent(what);   // wake(level) is called when Flush() should follow
//   log.Flush();              // soon, and again later while it returns false
class event_log : public event_listener {
 public:
  // `counts` must outlive the log. `now` reads both clocks. `wake` may be
  // empty; it is given the level of the line that waits, and called again where
  // one of a higher level comes.
  event_log(const event_log_settings& settings, metrics* counts,
            std::function<log_time()> now, std::function<void(log_level)> wake);
  ~event_log() override;

  // Hears every event too; may be null, must outlive the log.
  void SetNext(event_listener* next) { next_ = next; }

  // The endpoint of this process, once it is known.
  void SetNode(const std::string& node);

  void OnEvent(const event& what) override;

  // Sets the counters of the metrics to what was counted here.
  void Export() const;

  // Writes what the reader takes, and says what was left out. Returns whether
  // nothing is left to do.
  bool Flush();

 private:
  struct plumbing;

  bool Write(const event& what, const log_time& when);
  void SayDropped(const log_time& when);

  event_log_settings settings_;
  metrics* counts_;
  std::function<log_time()> now_;
  std::function<void(log_level)> wake_;
  event_listener* next_ = nullptr;
  log_budget budget_;
  // Since the start: events, those with a code, lines left out.
  std::map<event_id, std::uint64_t> seen_;
  std::map<result_code, std::uint64_t> codes_;
  std::map<event_id, std::uint64_t> left_out_;
  log_line_writer writer_;
  std::unique_ptr<plumbing> plumbing_;
  std::optional<time_point> said_;  // when lines left out were last said
  // The highest level that `wake` was given since Flush(); nothing: none was.
  std::optional<log_level> awake_;
};

}  // namespace tamaracklatch
