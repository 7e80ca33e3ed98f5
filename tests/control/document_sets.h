// Builds document sets and commands for tests.
#pragma once

#include <rapidcheck.h>

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

#include "tamaracklatch/control/control_command.h"
#include "tamaracklatch/control/document_set.h"

namespace tamaracklatch::test {

// A valid set with this many routes; `content` changes its weights.
inline document_set MakeSet(std::uint64_t version, std::uint32_t routes = 1,
                            std::uint32_t content = 0) {
  document_set set;
  set.version = version;
  set.services = {"desk", "cards"};
  set.idle_timeout = std::chrono::seconds(15);
  for (std::uint32_t i = 0; i < routes; ++i) {
    set.routes.push_back(
        {"route-" + std::to_string(i),
         {MakeV4(0xc6120000U + i / 4), static_cast<std::uint16_t>(443 + i % 4)},
         {{"desk", 1 + content}, {"cards", i % 3}}});
  }
  return set;
}

// A random later set derived from `base`: services and routes are added,
// removed, changed and moved.
inline document_set LaterSet(const document_set& base) {
  document_set set = base;
  set.version += *rc::gen::inRange<std::uint64_t>(1, 1000);
  set.idle_timeout += std::chrono::seconds(*rc::gen::inRange(0, 3));
  const int edits = *rc::gen::inRange(0, 6);
  for (int edit = 0; edit < edits; ++edit) {
    std::vector<set_route>& routes = set.routes;
    const auto at = *rc::gen::inRange<std::size_t>(0, routes.size() + 1);
    const auto place = routes.begin() + static_cast<std::ptrdiff_t>(at);
    const int kind = *rc::gen::inRange(0, 7);
    if (kind == 0) {
      const endpoint where{MakeV4(static_cast<std::uint32_t>(set.version)),
                           static_cast<std::uint16_t>(1 + edit)};
      routes.insert(place, {"added", where, {{set.services.front(), 1}}});
    } else if (kind == 1) {
      set.services.insert(
          set.services.begin() + *rc::gen::inRange(0, 2),
          "service-" + std::to_string(set.version) + std::to_string(edit));
    } else if (kind == 5) {
      set.cold_limits = {{set.services.front(), 0.5 * (1 + edit)}};
    } else if (place == routes.end()) {
      continue;
    } else if (kind == 2) {
      routes.erase(place);
    } else if (kind == 3) {
      place->shares.front().weight += 1;
    } else if (kind == 6) {
      place->urgency = static_cast<std::uint8_t>(*rc::gen::inRange(0, 8));
      place->target_latency += std::chrono::milliseconds(edit);
    } else {
      std::rotate(routes.begin(), place, routes.end());
    }
  }
  // Half of the time, all routes use one service and the others are removed.
  if (*rc::gen::arbitrary<bool>()) {
    for (set_route& route : set.routes)
      route.shares = {{set.services.back(), 1}};
    set.services = {set.services.back()};
    set.cold_limits.clear();
  }
  return set;
}

// A stand-in for the text of the set; differs with version, number of routes
// and content.
inline std::string SourceOf(const document_set& set) {
  return "set " + std::to_string(set.version) + ":" +
         std::to_string(set.routes.size()) + ":" +
         std::to_string(set.routes.front().shares.front().weight);
}

// The command to replace the set, with the version as its tag.
inline control_command ReplaceCommand(const document_set& set,
                                      const std::string& source) {
  control_command command;
  command.tag = set.version;
  command.body = replace_document_set{EncodeDocumentSet(set), source,
                                      "operator", set.version};
  return command;
}

// Malformed input for a decoder: random bytes, or `whole` truncated or with one
// byte replaced (possibly by itself).
inline std::string BrokenBytes(const std::string& whole) {
  if (*rc::gen::inRange(0, 4) == 0) return *rc::gen::arbitrary<std::string>();
  std::string bytes = whole;
  const auto at = *rc::gen::inRange<std::size_t>(0, whole.size());
  if (*rc::gen::arbitrary<bool>()) return bytes.substr(0, at);
  bytes[at] = *rc::gen::arbitrary<char>();
  return bytes;
}

}  // namespace tamaracklatch::test
