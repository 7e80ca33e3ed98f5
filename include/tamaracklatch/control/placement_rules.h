// Rules for the placement of openings that apply besides the routes: the
// evacuated availability zones and the limits of cold targets. The control VMs
// derive them from the replicated log; the roster distributes them to all
// nodes.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "tamaracklatch/core/ids.h"
#include "tamaracklatch/core/result_code.h"

namespace tamaracklatch {

// The openings per second that a cold target of the service accepts at most.
struct cold_limit {
  std::string service;
  double openings_per_second = 0.0;  // > 0

  friend bool operator==(const cold_limit& left, const cold_limit& right) {
    return left.service == right.service &&
           left.openings_per_second == right.openings_per_second;
  }
};

// Invariants, which Decode checks: `evacuated_zones` is sorted and
// `cold_limits` is sorted by service, both without duplicates; a revision of 0
// has neither.
struct placement_rules {
  // Revision of the log entry that last changed the rules; 0: there never were
  // any.
  std::uint64_t revision = 0;
  std::vector<zone_name> evacuated_zones;  // as AbbreviateName returns them
  std::vector<cold_limit> cold_limits;

  // `zone`: abbreviated as well.
  bool IsEvacuated(const zone_name& zone) const;
  // The limit of the service in openings per second; 0: none.
  double ColdLimitOf(std::string_view service) const;
};

// Maximum size of encoded rules in bytes, so that they fit into one datagram of
// the roster. The control state refuses changes that would exceed it.
inline constexpr std::size_t kMaxEncodedRulesBytes = 1100;

// Encodes the rules; equal rules give equal bytes.
std::string EncodePlacementRules(const placement_rules& rules);

// Decodes what EncodePlacementRules wrote. On malformed bytes or if an
// invariant does not hold, returns nothing and sets `last_failure` to
// kRosterMessageMalformed.
std::optional<placement_rules> DecodePlacementRules(std::string_view bytes,
                                                    failure* last_failure);

}  // namespace tamaracklatch
