// What happened, as the state machines tell it. The daemons stamp events with
// time, process and zone and store them.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "tamaracklatch/core/endpoint.h"
#include "tamaracklatch/core/event_id.h"
#include "tamaracklatch/core/ids.h"
#include "tamaracklatch/core/result_code.h"

namespace tamaracklatch {

// A named value that a decision was made from.
struct event_input {
  std::string name;  // "load", with its unit where it has one: "age_ms"
  std::variant<std::int64_t, double, bool, std::string> value;

  friend bool operator==(const event_input& left, const event_input& right) {
    return left.name == right.name && left.value == right.value;
  }
};

// One event. Optional parts stay empty where they do not apply.
struct event {
  event_id id = event_id::kProcessStarted;
  revision at;          // the newest revision that the process had applied
  std::string service;  // name of the service concerned
  std::optional<std::uint64_t> flow;           // hash of the flow concerned
  std::string request;                         // idempotency key or request id
  std::string submission;                      // "SERVICE@VERSION"
  std::string peer;                            // the other process, by name
  result_code code = result_code::kOk;         // why something was refused
  std::string detail;                          // for a person
  std::optional<flow_key> key = std::nullopt;  // the flow itself, where known
  std::string route = {};                      // name of the route
  std::uint64_t version = 0;             // of the document set applied; 0: none
  std::vector<event_input> inputs = {};  // further ones, few
};

// Receives events as they happen. Must return at once: it is called on the data
// path.
class event_listener {
 public:
  virtual ~event_listener() = default;
  virtual void OnEvent(const event& what) = 0;
};

}  // namespace tamaracklatch
