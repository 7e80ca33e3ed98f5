// What the control plane tells every node: the services and their targets at
// one revision, and the changes between two.
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

enum class target_state : std::uint8_t {
  kServing = 0,
  kDraining = 1,  // takes no new flows and requests; what is established stays
};

// One start of a target daemon and the target beside it. A restart is a new
// target with a new id.
struct target_record {
  target_id id;
  service_id service;
  incarnation started;
  vm_name vm;
  zone_name zone;
  endpoint packets;            // UDP: envelopes of the packet plane
  endpoint relay;              // TCP: relayed connections and links
  endpoint requests;           // TCP: HTTP of the request plane
  std::uint32_t capacity = 1;  // slots
  target_state state = target_state::kServing;
};

// One service as the nodes see it.
struct service_record {
  service_id id;
  service_document document;
};

// A service was created or its document replaced.
struct service_put {
  service_record service;
};

// A service was withdrawn.
struct service_removed {
  service_id service;
};

// A target joined or its record changed.
struct target_put {
  target_record target;
};

// A target left for good.
struct target_removed {
  target_id target;
};

using view_change =
    std::variant<service_put, service_removed, target_put, target_removed>;

// All changes of one revision, in order.
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

  const service_record* FindService(const std::string& name) const;
  std::vector<target_record> TargetsOf(service_id service) const;

  // Applies the changes of a revision above `at`; the caller has checked that
  // none between them is missing.
  void Apply(const revision_changes& step);
};

}  // namespace tamaracklatch
