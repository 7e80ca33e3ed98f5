// The header in which segments travel between balancers and target daemons,
// and the hints that go back.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "tamaracklatch/core/endpoint.h"
#include "tamaracklatch/core/ids.h"
#include "tamaracklatch/core/result_code.h"

namespace tamaracklatch {

// Targets that one segment may visit.
inline constexpr std::size_t kMaxSteeringVisits = 24;
// Services among whose targets the owner of a flow is searched.
inline constexpr std::size_t kMaxSteeringServices = 4;

// Stands for a service in a header: equal values on every node.
std::uint32_t ServiceTag(std::string_view service);
// The same for one start of a target daemon, by the generation of its record:
// what a start said binds no later one.
std::uint32_t NodeTag(const endpoint& where, std::uint64_t generation);

enum class steering_kind : std::uint8_t {
  kSegment = 1,  // towards a target
  kOwner = 2,    // to a balancer: the sender owns the flow
  kUnknown = 3,  // to a balancer: no target asked owns the flow any more
  kRefused = 4,  // to a balancer: the caller is sent a reset for its opening
};

// Invariants: service_count >= 1 for kSegment; visit_count <=
// kMaxSteeringVisits.
struct steering_header {
  steering_kind kind = steering_kind::kSegment;
  // The balancer holds a view that the control quorum confirmed of late, and
  // every target that may own the flow is in it: the services are complete, and
  // the flow is older than a change of the roster takes to be known everywhere.
  bool confirmed = false;
  // A target daemon on the way could not tell whether its target holds the
  // flow; nobody after it may say that the flow is not open.
  bool uncertain = false;
  std::uint64_t flow = 0;         // HashFlow of the key
  endpoint balancer;              // whom to tell the owner
  std::uint64_t set_version = 0;  // of the document set that the sender applied
  std::uint32_t sender_load = 0;  // of the target daemon that passed it on
  std::uint64_t target_start = 0;  // kOwner: as in node_record, 0: not known
  // The most targets that a node on the way knew as possible owners.
  std::uint8_t possible_owners = 0;
  std::uint8_t service_count = 0;
  std::uint8_t visit_count = 0;
  // services[0] is the one chosen for the flow; an opening goes to no other.
  std::array<std::uint32_t, kMaxSteeringServices> services{};
  std::array<std::uint32_t, kMaxSteeringVisits> visits{};

  bool HasService(std::uint32_t service) const;
  bool HasVisited(std::uint32_t node) const;
  // Appends a visit; false where the list is full.
  bool AddVisit(std::uint32_t node);
};

// Appends the header to `bytes`; the segment follows it.
void AppendSteeringHeader(const steering_header& header, std::string* bytes);

// Reads a header and leaves in `segment` what follows it. On failure returns
// nothing; the code is kEnvelopeTruncated, kEnvelopeMalformed or
// kEnvelopeVersion.
std::optional<steering_header> ReadSteeringHeader(std::string_view bytes,
                                                  std::string_view* segment,
                                                  failure* last_failure);

}  // namespace tamaracklatch
