// The messages by which revisions spread from the control VMs through relays
// to every node, and acknowledgments come back.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "tamaracklatch/core/endpoint.h"
#include "tamaracklatch/core/ids.h"
#include "tamaracklatch/core/time.h"

namespace tamaracklatch {

// A process that takes part, by name and start.
struct node_identity {
  std::string name;
  incarnation started;

  friend bool operator==(const node_identity& left,
                         const node_identity& right) {
    return left.started == right.started && left.name == right.name;
  }
  friend bool operator<(const node_identity& left, const node_identity& right) {
    return left.name != right.name ? left.name < right.name
                                   : left.started < right.started;
  }
};

// 64-bit hash of an identity. Sums of these, modulo 2^64, stand for sets.
std::uint64_t HashIdentity(const node_identity& node);

// Some nodes that have all applied `at`.
struct progress {
  revision at;
  std::uint32_t nodes = 0;
  std::uint64_t identities = 0;  // sum of HashIdentity

  friend bool operator==(const progress& left, const progress& right) {
    return left.at == right.at && left.nodes == right.nodes &&
           left.identities == right.identities;
  }
};

// Where a node can be pulled from.
struct relay_contact {
  std::string name;
  zone_name zone;
  endpoint where;           // its links; port 0: it relays for nobody
  std::uint32_t nodes = 0;  // below it, itself included
};

// Position in a snapshot: what was received so far. All services come before
// all targets, each in the order of their ids.
struct snapshot_position {
  revision at;  // the received part is that of this revision; 0: nothing yet
  bool services_done = false;
  service_id last_service;  // the last received
  target_id last_target;

  friend bool operator==(const snapshot_position& left,
                         const snapshot_position& right) {
    return left.at == right.at && left.services_done == right.services_done &&
           left.last_service == right.last_service &&
           left.last_target == right.last_target;
  }
};

// A part of the names below a node; parts 0 to last make the list.
struct name_list_part {
  std::uint64_t list = 0;  // sum of the identities in the whole list
  std::uint32_t part = 0;
  bool is_last = false;
  std::vector<node_identity> names;
};

// Child to parent: what I have, what I want, what those below me have.
struct pull {
  std::uint64_t number = 0;  // rises; answers repeat it
  node_identity node;
  // Present until the parent has answered, and on change.
  std::optional<relay_contact> contact;
  std::string service;        // only this service's changes; empty: all
  revision known;             // the newest applied; acknowledges it
  bool only_reports = false;  // wants no changes, only acknowledges
  bool leaving = false;       // a graceful stop: forget me
  bool moved = false;         // I have another parent: forget me
  std::optional<snapshot_position> snapshot;  // while one is under way
  std::vector<progress> below;                // of this node and all below it
  std::optional<name_list_part> names;        // when the parent lacks them
  std::vector<std::string> left;  // names of nodes that stopped gracefully
};

// One encoded change (EncodeChange).
struct encoded_change {
  service_id service;  // the service concerned
  std::string bytes;
};

struct encoded_revision {
  revision at;
  std::vector<encoded_change> changes;
};

// Parent to child: the changes above `from` up to `to`; none may be missing
// between.
struct delta {
  std::uint64_t answers = 0;  // the newest pull received from this child
  revision from;
  revision to;
  revision newest;  // the parent's own; above `to` when more is to be pulled
  std::uint64_t known_names = 0;  // sum of the names held for this child
  // How long ago what the parent tells was true at a control VM that heard the
  // quorum. Grows on a relay that is cut off.
  duration age{0};
  std::vector<encoded_revision> revisions;
};

// Parent to child: the next part of a snapshot. The changes in `catch_up` bring
// the part received so far to `position.at` first.
struct snapshot_part {
  std::uint64_t answers = 0;   // as in delta
  bool restarts = false;       // drop what was received before
  snapshot_position from;      // continues from here
  snapshot_position position;  // after this part
  bool is_last = false;
  duration age{0};  // as in delta
  std::vector<encoded_revision> catch_up;
  std::vector<std::string> records;  // EncodeChange of puts
};

// Parent to child: I have enough children; try one of these.
struct redirect {
  std::vector<relay_contact> relays;
};

// Node to control VM or peer, at the start: which revision is the newest?
struct confirm_request {
  std::uint64_t number = 0;
};

struct confirm_answer {
  std::uint64_t number = 0;
  revision at;             // no accepted revision above it was known
  bool by_quorum = false;  // confirmed by the control quorum
};

using relay_message = std::variant<pull, delta, snapshot_part, redirect,
                                   confirm_request, confirm_answer>;

std::string Encode(const relay_message& message);

// Nothing on malformed bytes.
std::optional<relay_message> DecodeRelayMessage(std::string_view bytes);

}  // namespace tamaracklatch
