// The envelope in which packets travel between balancers and target daemons,
// over UDP. A fixed binary header of at most kMaxEnvelopeHeader bytes, the
// payload, and a SipHash over both with the key of the settings.
//
//   std::string bytes;
//   EncodeEnvelope(what, key, &bytes);
//   std::optional<envelope> read = DecodeEnvelope(bytes, key, &why);
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

// Key of the authentication code, from the settings.
using envelope_key = std::array<std::uint8_t, 16>;

// Targets that one packet may visit; longer searches are given up.
inline constexpr std::size_t kMaxVisits = 12;

// Forwards of one packet between target daemons, at most: a search visits every
// target once, then its arbiter and the chosen target, and may start again
// where another search of the same flow goes before it.
inline constexpr std::uint8_t kMaxHops = 3 * (kMaxVisits + 2);

inline constexpr std::size_t kMaxEnvelopePayload = 65000;
inline constexpr std::size_t kMaxEnvelopeHeader = 640;

enum class envelope_kind : std::uint8_t {
  kPacket = 0,  // towards a target
  kAnswer = 1,  // from a target towards the caller, through a balancer
  kHint = 2,    // to a balancer: this target owns the flow
  kForget = 3,  // to a balancer: the target that it meant is not here
  kReset = 4,   // to a balancer: tell the caller that the flow is gone
  kReport = 5,  // between target daemons: held buckets, as payload
};

// Whether a packet may open a flow.
enum class flow_opening : std::uint8_t {
  kNo = 0,       // a TCP segment without SYN
  kYes = 1,      // a SYN, or a connection that a balancer accepted
  kUnknown = 2,  // a datagram
};

// A target that a packet may visit.
struct candidate {
  target_id id;
  incarnation started;
  endpoint packets;

  friend bool operator==(const candidate& left, const candidate& right) {
    return left.id == right.id && left.started == right.started &&
           left.packets == right.packets;
  }
};

// Stands for "none" in envelope::best.
inline constexpr std::uint8_t kNoCandidate = 0xff;

// Invariants: candidate_count <= kMaxVisits; visited and declined have bits
// only below candidate_count; arbiter and best are kNoCandidate or below
// candidate_count.
struct envelope {
  envelope_kind kind = envelope_kind::kPacket;
  flow_opening opens = flow_opening::kNo;
  bool wants_hint = false;  // the balancer has no owner cached
  bool must_open = false;   // all were asked; this target was chosen
  bool exhaustive = true;   // no possible holder was left off the list
  service_id service;
  target_id target;        // whom the envelope is for
  incarnation started;     // of that target
  revision at;             // the newest that touched the service, as the
                           // sender knows it
  flow_key key;            // of the flow, as the caller's packets have it
  endpoint origin;         // the balancer, for hints and answers
  std::uint8_t hops = 0;   // forwards between target daemons so far
  std::uint32_t load = 0;  // of the sender, or of `best` where there is one
  std::uint8_t best = kNoCandidate;  // the least loaded visited that can open
  std::uint16_t visited = 0;         // bit i: candidates[i] does not know it
  std::uint16_t declined = 0;        // bit i: it was chosen and could not open
  std::uint8_t arbiter = kNoCandidate;  // began the search, decides at its end
  std::uint8_t candidate_count = 0;
  std::array<candidate, kMaxVisits> candidates;
  std::string_view payload;  // refers to the buffer that was read

  // Index of the candidate, or kNoCandidate.
  std::uint8_t IndexOf(target_id id) const;
  // Appends a candidate that is not on the list; false where it is full.
  bool Add(const candidate& next);
};

// Writes the envelope into `bytes`, in place of what it held.
void EncodeEnvelope(const envelope& what, const envelope_key& key,
                    std::string* bytes);

// Reads an envelope. The payload refers to `bytes`. On failure returns nothing;
// the code is kEnvelopeTruncated, kEnvelopeMalformed, kEnvelopeVersion or
// kEnvelopeUnauthentic.
std::optional<envelope> DecodeEnvelope(std::string_view bytes,
                                       const envelope_key& key,
                                       failure* last_failure);

}  // namespace tamaracklatch
