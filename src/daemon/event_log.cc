// Event lines by log4cplus.
#include "daemon/event_log.h"

#include <fmt/format.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

namespace tamaracklatch {
namespace {

std::string Line(const event& what) {
  std::string line =
      fmt::format("{} {} revision={}", static_cast<unsigned>(what.id),
                  ToString(what.id), what.at.value);
  const auto add = [&](const char* name, const std::string& value) {
    if (!value.empty()) line += fmt::format(" {}={}", name, value);
  };
  add("service", what.service);
  if (what.flow) line += fmt::format(" flow={:016x}", *what.flow);
  add("request", what.request);
  add("submission", what.submission);
  add("peer", what.peer);
  if (what.code != result_code::kOk) {
    line += fmt::format(" code={} {}", static_cast<unsigned>(what.code),
                        ToString(what.code));
  }
  add("detail", what.detail);
  return line;
}

}  // namespace

void StartLog(const std::string& level) {
  static log4cplus::Initializer initializer;
  const log4cplus::SharedAppenderPtr console(
      new log4cplus::ConsoleAppender(true, true));
  console->setLayout(std::make_unique<log4cplus::PatternLayout>(
      "%D{%Y-%m-%dT%H:%M:%S.%q} %-5p %c %m%n"));
  log4cplus::Logger root = log4cplus::Logger::getRoot();
  root.addAppender(console);
  root.setLogLevel(log4cplus::getLogLevelManager().fromString(level));
}

event_log::event_log(const std::string& process, metrics* counts,
                     event_listener* next)
    : process_(process), counts_(counts), next_(next) {}

void event_log::OnEvent(const event& what) {
  counts_->Count("tamaracklatch_events_total", "Events by name.", 1.0,
                 std::string(ToString(what.id)));
  const log4cplus::Logger logger = log4cplus::Logger::getInstance(process_);
  if (what.code == result_code::kOk) {
    LOG4CPLUS_INFO(logger, Line(what));
  } else {
    LOG4CPLUS_WARN(logger, Line(what));
  }
  if (next_ != nullptr) next_->OnEvent(what);
}

}  // namespace tamaracklatch
