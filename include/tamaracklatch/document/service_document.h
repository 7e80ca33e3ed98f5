// The one document by which a service's team drives the system: the service,
// its eligible targets, its traffic shares.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "tamaracklatch/core/endpoint.h"
#include "tamaracklatch/core/ids.h"
#include "tamaracklatch/core/result_code.h"

namespace tamaracklatch {

// How packets of an address reach the system.
enum class port_kind : std::uint8_t {
  kUdpDatagram,   // datagrams sent to a balancer's own socket
  kTcpRelay,      // connections accepted by a balancer and relayed
  kEncapsulated,  // IP packets inside UDP from the fabric, for `protocol`
};

// One address of the service.
struct service_address {
  endpoint where;
  ip_protocol protocol = ip_protocol::kTcp;
  port_kind kind = port_kind::kTcpRelay;

  friend bool operator==(const service_address& left,
                         const service_address& right) {
    return left.where == right.where && left.protocol == right.protocol &&
           left.kind == right.kind;
  }
};

// Which targets may serve the service. An empty list allows all.
struct eligibility {
  std::vector<ip_range> ranges;
  std::vector<zone_name> zones;
};

// Relative traffic of the targets in an availability zone or an address range.
// The first that matches a target counts.
struct traffic_share {
  zone_name zone;                 // empty: any zone
  std::optional<ip_range> range;  // empty: any address
  std::uint32_t weight = 1;  // 0 to 1000; a target's own weight is this times
                             // its capacity; 0 opens nothing
};

// Limits of flows, all from the document.
struct flow_limits {
  std::chrono::seconds drain_limit{
      86400};  // an established flow may outlive its target's drain by this
  std::chrono::seconds idle_limit{
      3600};  // a flow without packets is forgotten after this
  std::chrono::seconds stuck_limit{30};  // a flow that makes no progress is
                                         // closed towards both ends after this
};

// One kind of work of the request plane.
struct request_class {
  std::string name;
  double guaranteed_share =
      0.0;  // of the targets' slots; the sum over classes is at most 1
  std::uint8_t urgency = 3;        // 0 the most urgent to 7, as RFC 9218
  std::uint32_t queue_limit = 64;  // requests waiting at one target daemon
  std::uint32_t caller_limit =
      8;                    // requests of one caller at one target daemon
  bool repeatable = false;  // whether running a request twice is harmless
  std::chrono::milliseconds default_timeout{
      30000};  // deadline where the caller names none
};

// The whole document. `version` counts the submissions that the team means to
// be accepted, from 1.
struct service_document {
  std::string service;
  std::uint64_t version = 0;
  std::vector<service_address> addresses;
  eligibility eligible;
  std::vector<traffic_share> shares;
  flow_limits flows;
  std::vector<request_class> classes;
};

// Largest text of a document that is read, in bytes.
inline constexpr std::size_t kMaxDocumentBytes = 64 * 1024;

// Reads JSON with comments and checks everything. On failure returns nothing;
// `failures` then holds every fault found, each naming the path, the value and
// the reason, with the nearest known key for an unknown one.
std::optional<service_document> ParseDocument(std::string_view text,
                                              std::vector<failure>* failures);

// The canonical text: the same for two documents that mean the same, whatever
// their white space, comments, key order and spelled-out defaults.
// ParseDocument(CanonicalText(d)) gives d again.
std::string CanonicalText(const service_document& document);

// 64-bit hash of the canonical text, as conflict answers name it.
std::uint64_t DocumentHash(const service_document& document);

// The weight of a target by the document's shares: the first share that
// matches, times `capacity`.
std::uint32_t TargetWeight(const service_document& document,
                           const zone_name& zone, const ip_address& address,
                           std::uint32_t capacity);

// Whether a target at this place may serve the service.
bool IsEligible(const service_document& document, const zone_name& zone,
                const ip_address& address);

}  // namespace tamaracklatch
