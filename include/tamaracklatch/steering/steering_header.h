// The header that precedes segments forwarded between balancers and target
// daemons. Hints from target daemons to balancers are the header alone.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "tamaracklatch/core/endpoint.h"
#include "tamaracklatch/core/ids.h"
#include "tamaracklatch/core/result_code.h"
#include "tamaracklatch/steering/service_digest.h"

namespace tamaracklatch {

// The most target daemons that one segment may visit.
inline constexpr std::size_t kMaxSteeringVisits = 24;
// The most services whose targets are searched for the owner of a flow.
inline constexpr std::size_t kMaxSteeringServices = 4;

// The most parts of one search.
inline constexpr std::size_t kMaxSearchParts = 64;

// A 64-bit hash that identifies one start of a target daemon by its endpoint
// and the generation of its node record. A restarted daemon gets another tag,
// since the answer of an earlier start does not hold for a later one.
std::uint64_t NodeTag(const endpoint& where, std::uint64_t generation);

enum class steering_kind : std::uint8_t {
  kSegment = 1,  // precedes a segment on its way to a target
  kOwner = 2,    // to a balancer: the sender owns the flow
  kUnknown = 3,  // to a balancer: none of the visited targets owns the flow
  kRefused = 4,  // to a balancer: the opening was answered with a reset
  // To a target daemon that a search visits early: the daemon at `balancer`
  // owns the flow.
  kRegistration = 5,
  // To the collector of a search in parts: a part ended without an owner.
  kPartEnded = 6,
};

// Written by balancers, extended by each target daemon that passes the segment
// on. Invariants: service_count >= 1 for kSegment; service_count <=
// kMaxSteeringServices; visit_count <= kMaxSteeringVisits; parts <=
// kMaxSearchParts; part < parts unless parts is 0.
struct steering_header {
  steering_kind kind = steering_kind::kSegment;
  // The balancer's view was recently confirmed by the control quorum and has
  // every target that may own the flow: the list of services is complete, and
  // the flow is older than the time in which a roster change reaches all nodes.
  // Precondition for answering the caller with a reset.
  bool confirmed = false;
  // A visited target daemon could not determine whether its target holds the
  // flow, so no later daemon may conclude that the flow is not open.
  bool uncertain = false;
  std::uint64_t flow = 0;  // HashFlow of the key
  endpoint balancer;       // receives the hints
  // kSegment: NodeTag of the start of the daemon that the sender knows at the
  // receiving endpoint. A later start may receive the segment.
  std::uint64_t receiver = 0;
  std::uint64_t set_version = 0;  // document set applied by the balancer
  // Load of the target whose daemon passed the segment on, in 1/256 of a slot.
  std::uint32_t sender_load = 0;
  std::uint64_t target_start = 0;  // kOwner: as in node_record; 0: unknown
  // The largest number of possible owners that any node on the path knew; 65535
  // also stands for more.
  std::uint16_t possible_owners = 0;
  // Of a search in parts, kSegment and kPartEnded: the number of parts, and
  // which this is. 0: the search is whole.
  std::uint8_t parts = 0;
  std::uint8_t part = 0;
  endpoint collector;  // kSegment with parts: receives kPartEnded
  std::uint8_t service_count = 0;
  std::uint8_t visit_count = 0;
  // The services whose targets may own the flow. Only targets of services[0]
  // may accept its opening.
  std::array<service_digest, kMaxSteeringServices> services{};
  // Tags of the target daemons visited so far.
  std::array<std::uint64_t, kMaxSteeringVisits> visits{};

  bool HasService(const service_digest& service) const;
  bool HasVisited(std::uint64_t node) const;
  // Appends the NodeTag of a visited daemon; false if the list is full.
  bool AddVisit(std::uint64_t node);
};

// Appends the encoded header to `bytes`. The caller appends the segment.
void AppendSteeringHeader(const steering_header& header, std::string* bytes);

// Reads a header and sets `segment` to the bytes that follow it. On failure
// returns nothing and sets `last_failure` to kEnvelopeTruncated,
// kEnvelopeMalformed or kEnvelopeVersion.
std::optional<steering_header> ReadSteeringHeader(std::string_view bytes,
                                                  std::string_view* segment,
                                                  failure* last_failure);

}  // namespace tamaracklatch
