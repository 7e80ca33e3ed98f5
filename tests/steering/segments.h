// Builds segments, roster entries and document sets for the tests of segment
// routers and owners.
#pragma once

#include <string>
#include <utility>
#include <vector>

#include "steering/plain_codec.h"
#include "tamaracklatch/control/document_set.h"
#include "tamaracklatch/control/placement_rules.h"
#include "tamaracklatch/roster/node_record.h"

namespace tamaracklatch::test {

inline constexpr time_point kStart{std::chrono::hours(1)};

inline endpoint DaemonAt(std::uint32_t number) {
  return {MakeV4(0x0a000000 + number), 7000};
}

inline endpoint BalancerAt(std::uint32_t number) {
  return {MakeV4(0x0a010000 + number), 7000};
}

inline endpoint RouteAt(std::uint16_t number) {
  return {MakeV4(0xc6120001), static_cast<std::uint16_t>(8000 + number)};
}

inline flow_key FlowOf(std::uint16_t port, std::uint16_t route = 0) {
  flow_key key;
  key.source = MakeV4(0x64400007);
  key.source_port = port;
  key.destination = RouteAt(route).address;
  key.destination_port = RouteAt(route).port;
  key.protocol = ip_protocol::kTcp;
  return key;
}

inline std::string OpeningOf(const flow_key& key, std::uint32_t copy = 0) {
  plain_codec::head head{};
  head.flags = plain_codec::kSyn;
  head.key = key;
  head.copy = copy;
  head.sequence = 1000;
  return plain_codec::Write(head);
}

// A segment from the caller with that acknowledgment number.
inline std::string SegmentOf(const flow_key& key, std::uint32_t acknowledged,
                             const std::string& data = "",
                             std::uint8_t flags = plain_codec::kAck,
                             std::uint32_t sequence = 1001) {
  plain_codec::head head{};
  head.flags = flags;
  head.key = key;
  head.sequence = sequence;
  head.acknowledged = acknowledged;
  return plain_codec::Write(head, data);
}

// The target's answer to an opening, a SYN-ACK.
inline std::string AnswerOf(const flow_key& key, std::uint32_t sequence) {
  plain_codec::head head{};
  head.flags = plain_codec::kSyn | plain_codec::kAck;
  head.key = key;
  head.sequence = sequence;
  head.acknowledged = 1001;
  return plain_codec::Write(head);
}

// A delivered segment as the target returns it.
inline std::string ReturnOf(std::string delivered) {
  delivered[offsetof(plain_codec::head, flags)] |= plain_codec::kReturned;
  return delivered;
}

inline roster_entry TargetAt(std::uint32_t number, const std::string& service,
                             std::uint32_t load = 0) {
  roster_entry entry;
  entry.record.where = DaemonAt(number);
  entry.record.generation = 1;
  entry.record.sequence = 1;
  entry.record.service = service;
  entry.record.zone = "a";
  entry.record.condition = target_condition::kReady;
  entry.record.slots = 4;
  entry.record.load = load;
  entry.record.target_start = 100;
  entry.changed_at = kStart;
  return entry;
}

inline placement_rules EvacuationOf(std::uint64_t revision,
                                    std::vector<zone_name> zones) {
  placement_rules rules;
  rules.revision = revision;
  rules.evacuated_zones = std::move(zones);
  return rules;
}

inline placement_rules ColdLimitOf(std::uint64_t revision, double limit) {
  placement_rules rules;
  rules.revision = revision;
  if (limit > 0.0) rules.cold_limits = {{"web", limit}};
  return rules;
}

// A document set with one route.
inline document_set SetOf(std::uint64_t version,
                          std::vector<service_share> shares) {
  document_set set;
  set.version = version;
  for (const service_share& share : shares)
    set.services.push_back(share.service);
  set.routes.push_back({"r-0", RouteAt(0), std::move(shares)});
  return set;
}

}  // namespace tamaracklatch::test
