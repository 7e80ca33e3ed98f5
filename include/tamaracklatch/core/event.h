// What happened, as the state machines tell it. The daemons stamp events with
// time, process and zone and store them.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "tamaracklatch/core/event_id.h"
#include "tamaracklatch/core/ids.h"
#include "tamaracklatch/core/result_code.h"

namespace tamaracklatch {

// One event. Optional parts stay empty where they do not apply.
struct event {
  event_id id = event_id::kProcessStarted;
  revision at;          // the newest revision that the process had applied
  std::string service;  // name of the service concerned
  std::optional<std::uint64_t> flow;    // hash of the flow concerned
  std::string request;                  // idempotency key or request id
  std::string submission;               // "SERVICE@VERSION"
  std::string peer;                     // the other process, by name
  result_code code = result_code::kOk;  // why something was refused
  std::string detail;                   // for a person
};

// Receives events as they happen. Must return at once: it is called on the data
// path.
class event_listener {
 public:
  virtual ~event_listener() = default;
  virtual void OnEvent(const event& what) = 0;
};

}  // namespace tamaracklatch
