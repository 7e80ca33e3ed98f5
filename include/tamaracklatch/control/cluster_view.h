// The cluster view that the control plane distributes to every node: the
// services and their targets at one revision, and the changes between
// revisions.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "tamaracklatch/core/endpoint.h"
#include "tamaracklatch/core/ids.h"
#include "tamaracklatch/document/service_document.h"

namespace tamaracklatch {

// Whether a target takes new flows and requests.
enum class target_state : std::uint8_t {
  kServing = 0,
  kDraining = 1,  // takes no new flows or requests; established ones continue
};

// One start of a target daemon, with the addresses at which the nodes reach it.
// A restart makes a new target with a new id.
struct target_record {
  target_id id;
  service_id service;
  incarnation started;
  vm_name vm;
  zone_name zone;
  endpoint packets;            // UDP: packets in envelopes
  endpoint relay;              // TCP: relayed connections and links
  endpoint requests;           // TCP: HTTP requests
  std::uint32_t capacity = 1;  // slots; weights the target in placement
  target_state state = target_state::kServing;
};

// One service and its accepted document.
struct service_record {
  service_id id;
  service_document document;
};

// A service was created or its document replaced.
struct service_put {
  service_record service;
};

// A service was removed, and with it all its targets.
struct service_removed {
  service_id service;
};

// A target joined or its record changed.
struct target_put {
  target_record target;
};

// A target was removed; its id is not used again.
struct target_removed {
  target_id target;
};

// One change of the view.
using view_change =
    std::variant<service_put, service_removed, target_put, target_removed>;

// All changes of one revision, in the order in which they apply.
struct revision_changes {
  revision at;
  std::vector<view_change> changes;
};

// The services and targets at one revision.
// Invariant: every target's service is in `services`.
struct cluster_view {
  revision at;
  std::map<service_id, service_record> services;
  std::map<target_id, target_record> targets;

  // The service with this name; null if there is none.
  const service_record* FindService(const std::string& name) const;

  // Copies of the records of a service's targets, by rising id.
  std::vector<target_record> TargetsOf(service_id service) const;

  // Applies the changes of a revision above `at`. The caller has checked that
  // no revision with changes between the two is missing.
  void Apply(const revision_changes& step);
};

}  // namespace tamaracklatch
