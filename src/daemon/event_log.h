// Writes each event as one numbered line by log4cplus and counts it.
#pragma once

#include <string>

#include "daemon/metrics.h"
#include "tamaracklatch/core/event.h"

namespace tamaracklatch {

// Sets log4cplus up for this process: one line an event, to standard error.
// `level` is one of TRACE, DEBUG, INFO, WARN, ERROR. Call once, before any
// event.
void StartLog(const std::string& level);

// The listener that daemons pass to their state machines.
class event_log : public event_listener {
 public:
  // `counts` must outlive the log. `next` hears every event too; it may be
  // null.
  event_log(const std::string& process, metrics* counts, event_listener* next);
  void OnEvent(const event& what) override;

 private:
  std::string process_;
  metrics* counts_;
  event_listener* next_;
};

}  // namespace tamaracklatch
