// Tests that a segment reaches only targets of the services that its route
// names, also where short hashes of the names are equal.
#include <fmt/format.h>

#include <string>
#include <utility>
#include <vector>

#include "steering/segments.h"
#include "steering/target_directory.h"
#include "support/property.h"
#include "tamaracklatch/core/abbreviated_name.h"
#include "tamaracklatch/core/hash.h"
#include "tamaracklatch/steering/segment_owner.h"
#include "tamaracklatch/steering/segment_router.h"

namespace tamaracklatch {
namespace {

using std::chrono::seconds;
using test::BalancerAt;
using test::DaemonAt;
using test::FlowOf;
using test::kStart;
using test::OpeningOf;
using test::plain_codec;
using test::RouteAt;
using test::TargetAt;

struct name_pair {
  const char* first;
  const char* second;
};

// Pairs of names whose 64-bit hashes agree in the bits named.
constexpr name_pair kPairs[] = {
    {"stockstats-main", "tool-map-v1"},       // low half
    {"docs-search-v18", "garland-hold-v30"},  // low half
    {"lake-map-v6", "rack-tree-v106"},        // low half
    {"map-glass-v25", "rack-compost-v168"},   // high half
    {"boat-user-v140", "crew-paper-v146"},    // high half
    {"yppktdlvoqbrhc", "hbbjvliljxgukd"},     // all
};

// A set with a route for each of two services.
document_set SetOfTwo(const name_pair& names) {
  document_set set;
  set.version = 1;
  set.services = {names.first, names.second};
  set.routes = {{"first", RouteAt(0), {{names.first, 1}}},
                {"second", RouteAt(1), {{names.second, 1}}}};
  return set;
}

Test(service_identity, pairs_agree_in_a_half_of_their_hashes) {
  for (const name_pair& names : kPairs) {
    const std::uint64_t differing =
        HashText(names.first) ^ HashText(names.second);
    cr_assert(differing <= UINT32_MAX || (differing & UINT32_MAX) == 0, "%s",
              names.first);
    cr_assert(DigestService(names.first) != DigestService(names.second));
  }
}

// Guards against requests run by another service whose name has the same short
// hash, at balancers: they must list the targets of the two apart.
Test(service_identity, openings_are_placed_at_their_own_service) {
  for (const name_pair& names : kPairs) {
    segment_router_settings settings;
    settings.self = BalancerAt(1);
    settings.zone = "a";
    segment_router router(settings);
    router.SetRoutes(SetOfTwo(names), {}, kStart);
    router.UpdateTarget(TargetAt(1, names.first), kStart);
    router.UpdateTarget(TargetAt(2, names.second), kStart);
    router.SetViewConfirmed(true, time_point::max());
    const time_point now = kStart + seconds(60);
    for (std::uint16_t port = 1; port <= 64; ++port) {
      const auto route = static_cast<std::uint16_t>(port % 2);
      const std::string opening = OpeningOf(FlowOf(port, route));
      const auto decision =
          router.Route(plain_codec::Make(opening, false), now);
      const auto* sent = std::get_if<forward_segment>(&decision);
      cr_assert(sent != nullptr && sent->to == DaemonAt(route + 1U), "%s",
                names.first);
    }
  }
}

// Guards against the same at target daemons, whose target must get neither
// openings nor unknown flows of the other service.
Test(service_identity, targets_take_segments_of_their_own_service) {
  for (const name_pair& names : kPairs) {
    plain_codec codec;
    segment_owner_settings settings;
    settings.self = DaemonAt(1);
    settings.generation = 1;
    settings.service = names.first;
    settings.zone = "a";
    segment_owner owner(settings, &codec, kStart);
    target_status status;
    status.condition = target_condition::kReady;
    status.target_start = 100;
    owner.SetTargetStatus(status, kStart);
    owner.UpdateTarget(TargetAt(1, names.first), kStart);
    owner.UpdateTarget(TargetAt(2, names.second), kStart);
    const flow_key key = FlowOf(1);
    steering_header header;
    header.confirmed = true;
    header.flow = HashFlow(key);
    header.balancer = BalancerAt(1);
    header.receiver = NodeTag(DaemonAt(1), 1);
    header.service_count = 1;
    header.services[0] = DigestService(names.second);
    for (const std::string& bytes : {OpeningOf(key), test::SegmentOf(key, 7)}) {
      std::vector<segment_action> actions;
      owner.OnSteered(header, plain_codec::Make(bytes, false),
                      kStart + seconds(5), &actions);
      for (const segment_action& each : actions) {
        cr_assert(!std::holds_alternative<deliver_segment>(each), "%s",
                  names.second);
      }
    }
  }
}

// Names of `size` bytes that differ in the last letter alone, of one byte and
// of two.
std::vector<std::pair<std::string, std::string>> LongPairs(std::size_t size) {
  return {{std::string(size - 1, 's') + "a", std::string(size - 1, 's') + "b"},
          {std::string(size - 2, 's') + "\u00fc",
           std::string(size - 2, 's') + "\u00f6"}};
}

constexpr std::size_t kLongSizes[] = {128, 129, 256, 400};

roster_entry LongTargetAt(std::uint32_t number, const std::string& service,
                          const zone_name& zone) {
  roster_entry entry = TargetAt(number, AbbreviateName(service));
  entry.record.zone = AbbreviateName(zone);
  return entry;
}

// Guards against services with long names that are never served, and against
// two that count as one.
Test(service_identity, openings_are_placed_by_names_of_any_length) {
  for (const std::size_t size : kLongSizes) {
    for (const auto& [first, second] : LongPairs(size)) {
      segment_router_settings settings;
      settings.self = BalancerAt(1);
      settings.zone = first;
      segment_router router(settings);
      router.SetRoutes(SetOfTwo({first.c_str(), second.c_str()}), {}, kStart);
      router.UpdateTarget(LongTargetAt(1, first, first), kStart);
      router.UpdateTarget(LongTargetAt(2, second, first), kStart);
      router.SetViewConfirmed(true, time_point::max());
      const time_point now = kStart + seconds(60);
      for (std::uint16_t port = 1; port <= 64; ++port) {
        const auto route = static_cast<std::uint16_t>(port % 2);
        const auto decision = router.Route(
            plain_codec::Make(OpeningOf(FlowOf(port, route)), false), now);
        const auto* sent = std::get_if<forward_segment>(&decision);
        cr_assert(sent != nullptr && sent->to == DaemonAt(route + 1U),
                  "%zu bytes", size);
      }
    }
  }
}

// Guards against long names that no rule, zone or limit applies to.
Test(service_identity, rules_apply_to_names_of_any_length) {
  for (const std::size_t size : kLongSizes) {
    for (const auto& [first, second] : LongPairs(size)) {
      target_directory directory(first, seconds(60));
      directory.Update(LongTargetAt(1, first, first), kStart);
      directory.Update(LongTargetAt(2, second, second), kStart);
      const directory_target& own = directory.At(directory.Find(DaemonAt(1)));
      const directory_target& other = directory.At(directory.Find(DaemonAt(2)));
      cr_expect(own.service == DigestService(first));
      cr_expect(other.service == DigestService(second));
      cr_expect(own.own_zone && !other.own_zone);
      placement_rules rules;
      rules.revision = 1;
      rules.evacuated_zones = {AbbreviateName(first)};
      rules.cold_limits = {{second, 2.0}};
      directory.SetRules(rules);
      cr_expect(own.evacuated && !other.evacuated, "%zu bytes", size);
      cr_expect(directory.IsOwnZoneEvacuated());
      cr_expect_eq(own.cold_limit, 0U);
      cr_expect_eq(other.cold_limit, 2U, "%zu bytes", size);
    }
  }
}

// The digest is part of the wire format: a value that differs between versions
// or kinds of machine would split an installation.
Test(service_identity, digests_are_fixed) {
  struct row {
    const char* name;
    const char* digest;
  };
  constexpr row kRows[] = {
      {"", "cae66941d9efbd404e4d88758ea67670"},
      {"desk", "f8e476c10b18b1d6d0f6ddfd7ba5da1e"},
      {"tool-map-v1", "bf7ebe27c1f50e13984a5818078fc79d"},
  };
  for (const row& each : kRows) {
    std::string text;
    for (const std::uint8_t byte : DigestService(each.name).bytes)
      text += fmt::format("{:02x}", byte);
    cr_assert(text == each.digest, "%s is %s", each.name, text.c_str());
  }
}

}  // namespace
}  // namespace tamaracklatch
