// What a target daemon tells about itself, and the messages between target
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

// One start of one target. A VM has one target of a service at a time.
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

// Everything that the system needs to use the target.
struct target_announcement {
  target_key key;
  // Orders the starts of one VM's target: microseconds of the wall clock at the
  // start, raised above the one that a refusal as superseded names.
  std::uint64_t generation = 0;
  zone_name zone;
  endpoint packets;
  endpoint relay;
  endpoint requests;
  std::uint32_t capacity = 1;  // slots
  bool draining = false;       // never goes back within one start
};

// Target daemon to relay: announces and renews the lease.
struct lease_renewal {
  target_announcement target;
  std::uint64_t number = 0;  // rises; the answer repeats it
};

// Relay to target daemon.
struct lease_answer {
  std::uint64_t number = 0;
  result_code code = result_code::kOk;
  // The lease runs for this long from the moment at which the target daemon
  // sent the renewal.
  duration lease{0};
  std::uint64_t newest_generation = 0;  // with kTargetSuperseded
  std::string detail;
};

// Relay to control VM: what changed in the zone. Sending it again is harmless.
struct membership_report {
  std::uint64_t number = 0;  // rises; the answer repeats it
  vm_name relay;
  zone_name zone;
  std::vector<target_announcement> alive;  // joined, drained or changed
  std::vector<target_key> silent;          // their leases ran out
  std::uint32_t leases_held = 0;
};

// A target that the control VMs did not take in.
struct refused_target {
  target_key key;
  result_code code = result_code::kOk;
  std::uint64_t newest_generation = 0;  // with kTargetSuperseded
};

// Control VM to relay: the report has been received by the leader.
struct membership_answer {
  std::uint64_t number = 0;
  std::uint64_t term = 0;  // of the leader; a new one asks for reports again
  std::vector<refused_target> refused;  // since the last answer
  // Silent targets that another relay holds a lease for: not to be reported.
  std::vector<target_key> held_elsewhere;
};

// The log entry: applied in the order joins, drains, losses.
struct membership_batch {
  std::vector<target_announcement> joins;
  std::vector<target_key> drains;
  std::vector<target_key> losses;

  bool empty() const {
    return joins.empty() && drains.empty() && losses.empty();
  }
};

void WriteKey(wire_writer* writer, const target_key& key);
target_key ReadKey(wire_reader* reader);
void WriteAnnouncement(wire_writer* writer,
                       const target_announcement& announcement);
target_announcement ReadAnnouncement(wire_reader* reader);

// Each message as bytes and back; nothing on malformed bytes.
std::string Encode(const lease_renewal& message);
std::string Encode(const lease_answer& message);
std::string Encode(const membership_report& message);
std::string Encode(const membership_answer& message);
std::optional<lease_renewal> DecodeLeaseRenewal(std::string_view bytes);
std::optional<lease_answer> DecodeLeaseAnswer(std::string_view bytes);
std::optional<membership_report> DecodeMembershipReport(std::string_view bytes);
std::optional<membership_answer> DecodeMembershipAnswer(std::string_view bytes);

}  // namespace tamaracklatch
