// Lines by way of a log4cplus logger, whose appender puts them into the output.
#include "daemon/event_log.h"

#include <fmt/format.h>
#include <log4cplus/appender.h>
#include <log4cplus/configurator.h>
#include <log4cplus/initializer.h>
#include <log4cplus/logger.h>
#include <log4cplus/spi/loggingevent.h>

#include <utility>

namespace tamaracklatch {
namespace {

// Puts messages, which are whole lines, into an output.
class line_appender : public log4cplus::Appender {
 public:
  explicit line_appender(const log_output_settings& settings)
      : output_(settings) {}
  ~line_appender() override { destructorImpl(); }
  line_appender(const line_appender&) = delete;
  line_appender& operator=(const line_appender&) = delete;

  void close() override { closed = true; }

  log_output& output() { return output_; }
  bool taken() const { return taken_; }  // whether the last line was

 protected:
  void append(const log4cplus::spi::InternalLoggingEvent& what) override {
    taken_ = output_.Add(what.getMessage());
  }

 private:
  log_output output_;
  bool taken_ = true;
};

// Ends the library's pool of threads but for the one that it keeps: no appender
// here writes from another thread.
void StartLibrary() {
  static const bool kStarted = [] {
    log4cplus::initialize();
    log4cplus::setThreadPoolSize(0);
    return true;
  }();
  static_cast<void>(kStarted);
}

}  // namespace

struct event_log::plumbing {
  explicit plumbing(const event_log_settings& settings)
      : appender(new line_appender(settings.output)) {
    logger.addAppender(appender);
    logger.setAdditivity(false);
    logger.setLogLevel(Level(settings.level));
  }
  ~plumbing() { logger.removeAllAppenders(); }
  plumbing(const plumbing&) = delete;
  plumbing& operator=(const plumbing&) = delete;

  static log4cplus::LogLevel Level(log_level level) {
    switch (level) {
      case log_level::kTrace:
        return log4cplus::TRACE_LOG_LEVEL;
      case log_level::kDebug:
        return log4cplus::DEBUG_LOG_LEVEL;
      case log_level::kInfo:
        break;
      case log_level::kWarning:
        return log4cplus::WARN_LOG_LEVEL;
      case log_level::kError:
        return log4cplus::ERROR_LOG_LEVEL;
    }
    return log4cplus::INFO_LOG_LEVEL;
  }

  bool Write(log_level level, std::string_view line) {
    logger.forcedLog(Level(level), std::string(line), nullptr, 0, nullptr);
    return appender_line().taken();
  }

  line_appender& appender_line() {
    return static_cast<line_appender&>(*appender);
  }

  log4cplus::Logger logger = log4cplus::Logger::getInstance("events");
  log4cplus::SharedAppenderPtr appender;
};

event_log::event_log(const event_log_settings& settings, metrics* counts,
                     std::function<log_time()> now,
                     std::function<void(log_level)> wake)
    : settings_(settings),
      counts_(counts),
      now_(std::move(now)),
      wake_(std::move(wake)),
      budget_(settings.budget),
      writer_(settings.source) {
  StartLibrary();
  plumbing_ = std::make_unique<plumbing>(settings);
}

event_log::~event_log() {
  if (!budget_.dropped().empty()) SayDropped(now_());
  plumbing_->appender_line().output().Flush();
}

void event_log::SetNode(const std::string& node) {
  settings_.source.node = node;
  writer_ = log_line_writer(settings_.source);
}

void event_log::OnEvent(const event& what) {
  ++seen_[what.id];
  if (what.code != result_code::kOk) ++codes_[what.code];
  const log_level level =
      what.code == result_code::kOk ? log_level::kInfo : log_level::kWarning;
  if (level >= settings_.level) {
    const log_time when = now_();
    if (!budget_.Take(what.id, when.steady)) {
      ++left_out_[what.id];
    } else if (!Write(what, when)) {
      budget_.CountDropped(what.id);
      ++left_out_[what.id];
    }
    if (wake_ && (!awake_ || level > *awake_)) {
      awake_ = level;
      wake_(level);
    }
  }
  if (next_ != nullptr) next_->OnEvent(what);
}

void event_log::Export() const {
  for (const auto& [kind, total] : seen_) {
    counts_->SetTotal("tamaracklatch_events_total", "Events by name.",
                      static_cast<double>(total), ToString(kind));
  }
  for (const auto& [code, total] : codes_) {
    counts_->SetTotal("tamaracklatch_event_codes_total",
                      "Events that name a result code, by code.",
                      static_cast<double>(total), ToString(code), "code");
  }
  for (const auto& [kind, total] : left_out_) {
    counts_->SetTotal("tamaracklatch_log_lines_dropped_total",
                      "Lines that the log left out, by event.",
                      static_cast<double>(total), ToString(kind));
  }
}

bool event_log::Write(const event& what, const log_time& when) {
  const log_level level =
      what.code == result_code::kOk ? log_level::kInfo : log_level::kWarning;
  return plumbing_->Write(level, writer_.Write(what, ToString(level), when));
}

// One line for each kind. What finds no room is said the next time.
void event_log::SayDropped(const log_time& when) {
  said_ = when.steady;
  const log_budget::left_out dropped = budget_.dropped();
  for (const auto& [kind, count] : dropped) {
    event notice;
    notice.id = event_id::kLogLinesDropped;
    notice.detail = fmt::format("{} {}", count, ToString(kind));
    notice.inputs = {{"kind", std::string(ToString(kind))},
                     {"lines", static_cast<std::int64_t>(count)}};
    if (!Write(notice, when)) return;
    budget_.ForgetDropped(kind);
  }
}

bool event_log::Flush() {
  awake_.reset();
  log_output& output = plumbing_->appender_line().output();
  output.Flush();
  if (!budget_.dropped().empty()) {
    const log_time when = now_();
    if (!said_ || when.steady - *said_ >= settings_.notice_interval) {
      SayDropped(when);
      output.Flush();
    }
  }
  return output.waiting() == 0 && budget_.dropped().empty();
}

}  // namespace tamaracklatch
