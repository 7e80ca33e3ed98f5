// The UDP message in which packets travel between balancers and target daemons:
// a binary header of at most kMaxEnvelopeHeader bytes, the payload, and a
// SipHash of both, keyed with the key from the settings.
//
//   std::string bytes;
//   EncodeEnvelope(message, key, &bytes);
//   std::optional<envelope> read = DecodeEnvelope(bytes, key, &error);
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "tamaracklatch/core/endpoint.h"
#include "tamaracklatch/core/ids.h"
#include "tamaracklatch/core/result_code.h"

namespace tamaracklatch {

// Key of the SipHash authentication code, from the settings.
using envelope_key = std::array<std::uint8_t, 16>;

// Targets that one packet may visit. A search for an established flow that
// would need more is abandoned with kHopLimit.
inline constexpr std::size_t kMaxVisits = 12;

// Maximum number of times that target daemons forward one packet. A search
// visits each candidate once, then its arbiter and the chosen target; the
// factor of 3 leaves room for restarts, when another search for the same flow
// takes precedence.
inline constexpr std::uint8_t kMaxHops = 3 * (kMaxVisits + 2);

// Limits of an encoded envelope, in bytes.
inline constexpr std::size_t kMaxEnvelopePayload = 65000;
inline constexpr std::size_t kMaxEnvelopeHeader = 640;

enum class envelope_kind : std::uint8_t {
  kPacket = 0,      // a caller's packet, towards a target
  kAnswer = 1,      // from a target towards the caller, through a balancer
  kHint = 2,        // to a balancer: this target owns the flow
  kInvalidate = 3,  // to a balancer: the addressed target is not at this
                    // endpoint; drop the cached owner
  kReset = 4,       // to a balancer: the flow does not exist; reset the caller
  kReport = 5,      // between target daemons: encoded held_buckets as payload
};

// Whether a packet may open a new flow.
enum class flow_opening : std::uint8_t {
  kNo = 0,       // a TCP segment without SYN
  kYes = 1,      // a SYN, or a connection that a balancer accepted
  kUnknown = 2,  // a datagram, which can't show whether it is the first
};

// A target that may own the flow of a packet or open it.
struct candidate {
  target_id id;
  incarnation started;  // of the target
  endpoint packets;     // where its daemon receives envelopes

  friend bool operator==(const candidate& left, const candidate& right) {
    return left.id == right.id && left.started == right.started &&
           left.packets == right.packets;
  }
};

// "None" in envelope::best and envelope::arbiter, and as a candidate index.
inline constexpr std::uint8_t kNoCandidate = 0xff;

// One message between balancers and target daemons. For a kPacket it also
// carries the state of the search for the flow's owner from target to target.
// Invariants: candidate_count <= kMaxVisits; visited and declined have bits
// only below candidate_count; arbiter and best are kNoCandidate or below
// candidate_count.
struct envelope {
  envelope_kind kind = envelope_kind::kPacket;
  flow_opening opens = flow_opening::kNo;
  bool wants_hint = false;  // the balancer has no cached owner for the flow
  bool must_open = false;   // the search ended and chose this target to open
  bool exhaustive = true;   // `candidates` includes every possible owner
  service_id service;
  // The addressed target and its incarnation; in a message to a balancer the
  // target that the message is about.
  target_id target;
  incarnation started;
  revision at;      // newest revision that changed the service, as known to
                    // the sender
  flow_key key;     // of the flow, as in the caller's packets
  endpoint origin;  // the balancer, which receives hints and answers; in a
                    // kReport the sending target daemon
  std::uint8_t hops = 0;  // forwards between target daemons so far
  // Load of `best`, or of the sender if must_open: its number of flows divided
  // by its weight, in units of 1/65536.
  std::uint32_t load = 0;
  // The least loaded visited candidate that can open the flow.
  std::uint8_t best = kNoCandidate;
  std::uint16_t visited = 0;   // bit i: candidates[i] does not have the flow
  std::uint16_t declined = 0;  // bit i: candidates[i] was chosen to open the
                               // flow and could not
  // The candidate at which the search started. It chooses the opening target
  // once all candidates are visited.
  std::uint8_t arbiter = kNoCandidate;
  std::uint8_t candidate_count = 0;  // entries used in `candidates`
  std::array<candidate, kMaxVisits> candidates;
  // After decoding it refers to the decoded buffer.
  std::string_view payload;

  // Index of the target in `candidates`, or kNoCandidate.
  std::uint8_t IndexOf(target_id id) const;
  // Appends a candidate that must not be on the list yet. Returns false, and
  // changes nothing, if the list has kMaxVisits entries.
  bool Add(const candidate& next);
};

// Encodes the envelope into `bytes` and overwrites its earlier contents. The
// payload must not exceed kMaxEnvelopePayload.
void EncodeEnvelope(const envelope& message, const envelope_key& key,
                    std::string* bytes);

// Authenticates and decodes an envelope. Its payload refers to `bytes`. On
// failure returns nothing and sets `last_failure`, whose code is
// kEnvelopeTruncated, kEnvelopeMalformed, kEnvelopeVersion or
// kEnvelopeUnauthentic.
std::optional<envelope> DecodeEnvelope(std::string_view bytes,
                                       const envelope_key& key,
                                       failure* last_failure);

}  // namespace tamaracklatch
