// The document by which a service's team configures the load balancer: the
// service's addresses, eligible targets, traffic shares, flow limits and
// request classes.
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

// How traffic to an address reaches the load balancer.
enum class port_kind : std::uint8_t {
  kUdpDatagram,   // datagrams sent to a balancer's socket
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

// Which targets may serve the service. A target must match both lists; an empty
// list matches all.
struct eligibility {
  std::vector<ip_range> ranges;
  std::vector<zone_name> zones;
};

// Relative traffic of the targets in an availability zone, an address range or
// both. The first share of the document that matches a target applies.
struct traffic_share {
  zone_name zone;                 // empty: any zone
  std::optional<ip_range> range;  // empty: any address
  // 0 to 1000. A target's weight is this times its capacity; with 0 it gets no
  // new flows.
  std::uint32_t weight = 1;
};

// Limits of the service's flows, 1 second to 30 days each.
struct flow_limits {
  // An established flow may continue for this long after its target starts to
  // drain.
  std::chrono::seconds drain_limit{86400};
  // A flow without packets for this long is removed.
  std::chrono::seconds idle_limit{3600};
  // A flow that makes no progress for this long is closed towards both ends.
  std::chrono::seconds stuck_limit{30};
};

// Limits and priority of one class of requests.
struct request_class {
  std::string name;
  // Share of the targets' slots; the sum over all classes is at most 1.
  double guaranteed_share = 0.0;
  std::uint8_t urgency = 3;        // 0 (most urgent) to 7, as in RFC 9218
  std::uint32_t queue_limit = 64;  // requests waiting at one target daemon
  std::uint32_t caller_limit = 8;  // requests of one caller at a target daemon
  bool repeatable = false;         // whether requests are idempotent
  // Deadline of a request for which the caller gives none.
  std::chrono::milliseconds default_timeout{30000};
};

// The complete document. Submitted by the team, replicated by the control VMs
// and applied by all daemons. `version` starts at 1; the team raises it by
// one in each document that is to replace the current one.
struct service_document {
  std::string service;
  std::uint64_t version = 0;
  std::vector<service_address> addresses;
  eligibility eligible;
  std::vector<traffic_share> shares;
  flow_limits flows;
  std::vector<request_class> classes;
};

// Maximum size of a document's text, in bytes. Longer texts are rejected.
inline constexpr std::size_t kMaxDocumentBytes = 64 * 1024;

// Parses JSON with comments and validates all values. On failure returns
// nullopt and appends every error found to `failures`, each with the path, the
// value and the reason, and for an unknown key with the nearest known one.
std::optional<service_document> ParseDocument(std::string_view text,
                                              std::vector<failure>* failures);

// Returns the canonical text: the same for two equivalent documents, regardless
// of white space, comments, key order and explicitly written defaults.
// ParseDocument(CanonicalText(d)) returns d.
std::string CanonicalText(const service_document& document);

// Returns the 64-bit hash of the canonical text, which identifies the accepted
// document in answers to conflicting submissions.
std::uint64_t DocumentHash(const service_document& document);

// Returns the weight of a target: the first matching share times `capacity`. It
// is 0 if no share matches, and `capacity` if the document has no shares.
std::uint32_t TargetWeight(const service_document& document,
                           const zone_name& zone, const ip_address& address,
                           std::uint32_t capacity);

// Whether a target in this zone and with this address may serve the service.
bool IsEligible(const service_document& document, const zone_name& zone,
                const ip_address& address);

}  // namespace tamaracklatch
