// The announcement of a target, and the membership messages between target
// daemons, the relays of their zone and the control VMs.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "tamaracklatch/core/endpoint.h"
#include "tamaracklatch/core/ids.h"
#include "tamaracklatch/core/result_code.h"
#include "tamaracklatch/core/time.h"
#include "tamaracklatch/transport/wire.h"

namespace tamaracklatch {

// Identifies one start of one target. A VM runs one target of a service at a
// time.
struct target_key {
  vm_name vm;
  std::string service;  // name
  incarnation started;

  friend bool operator==(const target_key& left, const target_key& right) {
    return left.started == right.started && left.vm == right.vm &&
           left.service == right.service;
  }
  friend bool operator<(const target_key& left, const target_key& right) {
    if (left.vm != right.vm) return left.vm < right.vm;
    if (left.service != right.service) return left.service < right.service;
    return left.started < right.started;
  }
};

// Everything that the cluster needs to use a target.
struct target_announcement {
  target_key key;
  // Orders the starts of one VM's target: microseconds of the wall clock at the
  // start. Raised above newest_generation of a refusal with kTargetSuperseded,
  // so that a start is newer even if the clock was set back.
  std::uint64_t generation = 0;
  zone_name zone;
  endpoint packets;
  endpoint relay;
  endpoint requests;
  std::uint32_t capacity = 1;  // slots: requests at a time
  bool draining = false;       // never reset within one start
};

// Target daemon to relay: announces the target and renews its lease.
struct lease_renewal {
  target_announcement target;
  std::uint64_t number = 0;  // increases; repeated by the answer
};

// Relay to target daemon: grants or refuses the lease.
struct lease_answer {
  std::uint64_t number = 0;
  result_code code = result_code::kOk;
  // Length of the lease from the moment at which the target daemon sent the
  // renewal; zero if it is refused.
  duration lease{0};
  std::uint64_t newest_generation = 0;  // with kTargetSuperseded
  std::string detail;
};

// Relay to control VM: membership changes of the zone. Idempotent.
struct membership_report {
  std::uint64_t number = 0;  // increases; repeated by the answer
  vm_name relay;
  zone_name zone;
  std::vector<target_announcement> alive;  // joined, drained or changed
  std::vector<target_key> silent;          // their leases expired
  std::uint32_t leases_held = 0;           // by the relay
};

// A target whose join the control VMs refused.
struct refused_target {
  target_key key;
  result_code code = result_code::kOk;
  std::uint64_t newest_generation = 0;  // with kTargetSuperseded
};

// Control VM to relay: the leader has received the report.
struct membership_answer {
  std::uint64_t number = 0;
  std::uint64_t term = 0;  // of the leader; a new term requires new reports
  // Refused joins of targets in the report.
  std::vector<refused_target> refused;
  // Silent targets that another relay holds a lease for; the relay stops
  // reporting them.
  std::vector<target_key> held_elsewhere;
};

// The contents of a log entry: applied in the order joins, drains, losses.
struct membership_batch {
  std::vector<target_announcement> joins;
  std::vector<target_key> drains;
  std::vector<target_key> losses;

  bool empty() const {
    return joins.empty() && drains.empty() && losses.empty();
  }
};

// Parts of a message or log entry. Errors show in wire_reader::ok().
void WriteKey(wire_writer* writer, const target_key& key);
target_key ReadKey(wire_reader* reader);
void WriteAnnouncement(wire_writer* writer,
                       const target_announcement& announcement);
target_announcement ReadAnnouncement(wire_reader* reader);

// Serialize and parse each message. Decoding returns nullopt on malformed
// bytes.
std::string Encode(const lease_renewal& message);
std::string Encode(const lease_answer& message);
std::string Encode(const membership_report& message);
std::string Encode(const membership_answer& message);
std::optional<lease_renewal> DecodeLeaseRenewal(std::string_view bytes);
std::optional<lease_answer> DecodeLeaseAnswer(std::string_view bytes);
std::optional<membership_report> DecodeMembershipReport(std::string_view bytes);
std::optional<membership_answer> DecodeMembershipAnswer(std::string_view bytes);

}  // namespace tamaracklatch
