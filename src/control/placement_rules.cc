// Lookup and encoding of placement rules.
#include "tamaracklatch/control/placement_rules.h"

#include <algorithm>
#include <cmath>

#include "control/set_route_codec.h"
#include "tamaracklatch/transport/wire.h"

namespace tamaracklatch {
namespace {

// Whether the rules satisfy their invariants.
bool IsValid(const placement_rules& rules) {
  const auto is_unordered = [](const auto& left, const auto& right) {
    return !(left < right);
  };
  const auto& zones = rules.evacuated_zones;
  if (std::adjacent_find(zones.begin(), zones.end(), is_unordered) !=
      zones.end())
    return false;
  const auto& limits = rules.cold_limits;
  const auto are_unordered = [](const cold_limit& left,
                                const cold_limit& right) {
    return !(left.service < right.service);
  };
  if (std::adjacent_find(limits.begin(), limits.end(), are_unordered) !=
      limits.end())
    return false;
  const bool are_limits_positive =
      std::all_of(limits.begin(), limits.end(), [](const cold_limit& each) {
        return std::isfinite(each.openings_per_second) &&
               each.openings_per_second > 0.0;
      });
  return are_limits_positive &&
         (rules.revision != 0 || (zones.empty() && limits.empty()));
}

}  // namespace

bool placement_rules::IsEvacuated(const zone_name& zone) const {
  return std::binary_search(evacuated_zones.begin(), evacuated_zones.end(),
                            zone);
}

double placement_rules::ColdLimitOf(std::string_view service) const {
  const auto found =
      std::lower_bound(cold_limits.begin(), cold_limits.end(), service,
                       [](const cold_limit& limit, std::string_view name) {
                         return limit.service < name;
                       });
  return found == cold_limits.end() || found->service != service
             ? 0.0
             : found->openings_per_second;
}

std::string EncodePlacementRules(const placement_rules& rules) {
  wire_writer writer;
  writer.Array(3);
  writer.Number(rules.revision);
  writer.Array(rules.evacuated_zones.size());
  for (const zone_name& zone : rules.evacuated_zones) writer.Text(zone);
  WriteColdLimits(rules.cold_limits, &writer);
  return std::string(writer.bytes());
}

std::optional<placement_rules> DecodePlacementRules(std::string_view bytes,
                                                    failure* last_failure) {
  wire_limits bounds;
  bounds.max_bytes = kMaxEncodedRulesBytes;
  bounds.max_elements = kMaxEncodedRulesBytes;
  bounds.max_text = kMaxEncodedRulesBytes;
  wire_reader reader(bytes, bounds);
  placement_rules rules;
  reader.Array();
  rules.revision = reader.Number();
  const std::size_t zones = reader.Array();
  for (std::size_t i = 0; i < zones && reader.ok(); ++i)
    rules.evacuated_zones.push_back(reader.Text());
  reader.Leave();
  rules.cold_limits = ReadColdLimits(&reader);
  reader.Leave();
  if (reader.ok() && IsValid(rules)) return rules;
  SetFailure(last_failure, result_code::kRosterMessageMalformed,
             "malformed placement rules");
  return std::nullopt;
}

}  // namespace tamaracklatch
