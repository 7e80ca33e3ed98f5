// A document set: the whole desired state of an installation under one version.
// It is replaced as a whole; the set with the highest version is the one in
// use.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "tamaracklatch/control/placement_rules.h"
#include "tamaracklatch/core/endpoint.h"
#include "tamaracklatch/core/result_code.h"
#include "tamaracklatch/core/time.h"

namespace tamaracklatch {

// A service's share of the new flows to an address: its weight, out of the sum
// of the route's weights.
struct service_share {
  std::string service;
  std::uint32_t weight = 1;  // 0: no new flows

  friend bool operator==(const service_share& left,
                         const service_share& right) {
    return left.service == right.service && left.weight == right.weight;
  }
};

// Maps an address that callers use to the services that get its new flows.
struct set_route {
  std::string name;
  endpoint where;  // the address that callers use
  std::vector<service_share> shares;
  std::uint8_t urgency = 3;  // of its flows, 0 (most urgent) to 7
  // The latency in which its requests should be answered; 0: not stated.
  duration target_latency{0};

  friend bool operator==(const set_route& left, const set_route& right) {
    return left.name == right.name && left.where == right.where &&
           left.shares == right.shares && left.urgency == right.urgency &&
           left.target_latency == right.target_latency;
  }
};

// The highest number of set_route::urgency.
inline constexpr std::uint8_t kMaxUrgency = 7;

// The desired state. Operators write it as JSON (ParseDocumentSet), the log and
// the nodes carry it encoded (EncodeDocumentSet).
// Invariants, checked by CheckDocumentSet: no two routes have the same `where`;
// each route has a share with a weight above 0; each share names one of
// `services`; `urgency` is at most kMaxUrgency; `target_latency` and
// `idle_timeout` are not negative; `cold_limits` is sorted by service without
// duplicates, each limit names one of `services` and is above 0, and as
// placement rules they take at most kMaxEncodedRulesBytes.
struct document_set {
  std::uint64_t version = 0;
  std::vector<set_route> routes;
  std::vector<std::string> services;
  std::vector<cold_limit> cold_limits;  // sorted by service, without duplicates
  // A flow without traffic for this long may be evicted; 0: never.
  duration idle_timeout{0};
};

// Maximum size of a set in bytes: encoded, and in the text that the operator
// sent. A larger one is refused.
inline constexpr std::size_t kMaxEncodedSetBytes = 256 * 1024;
inline constexpr std::size_t kMaxSetSourceBytes = 512 * 1024;

// Checks the invariants, and if they hold the encoded size. Adds every fault
// found to `failures`, each with kSetInvalid; true if there is none.
bool CheckDocumentSet(const document_set& set, std::vector<failure>* failures);

// Returns the set as it is proposed to the log: without cold limits that are
// whole numbers, which are raised by the smallest step of a double. Earlier
// releases write such a limit as an integer, which no release reads. A voter of
// one could apply it, but neither restore its own snapshot nor distribute the
// rules, and it would admit other rules, since it encodes them in less space.
document_set ToLogForm(document_set set);

// Encodes a set for the log and for the nodes; equal sets give equal bytes. The
// set must satisfy the invariants.
std::string EncodeDocumentSet(const document_set& set);

// Decodes what EncodeDocumentSet wrote. Nothing on malformed bytes or if an
// invariant does not hold.
std::optional<document_set> DecodeDocumentSet(std::string_view bytes);

}  // namespace tamaracklatch
