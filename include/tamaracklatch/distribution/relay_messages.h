// Messages that distribute revisions from the control VMs through a tree of
// relays to every node, and return acknowledgments to the control VMs.
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

// Identifies one run of a process: its name, and the start, which differs after
// each restart.
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

// 64-bit hash of an identity. The sum over a set of nodes, modulo 2^64, is used
// as the checksum of the set.
std::uint64_t HashIdentity(const node_identity& node);

// Summed acknowledgments: `nodes` nodes have applied `at`.
struct progress {
  revision at;
  std::uint32_t nodes = 0;
  std::uint64_t identities = 0;  // sum of HashIdentity

  friend bool operator==(const progress& left, const progress& right) {
    return left.at == right.at && left.nodes == right.nodes &&
           left.identities == right.identities;
  }
};

// Address of a node from which others may pull.
struct relay_contact {
  std::string name;
  zone_name zone;
  endpoint where;           // address for links; port 0: it can't relay
  std::uint32_t nodes = 0;  // in its subtree, including itself
};

// Position in a snapshot transfer: what the receiver has so far. All services
// come before all targets, each in the order of their ids.
struct snapshot_position {
  revision at;  // revision of the received records; 0: nothing received yet
  bool services_done = false;  // all services were received
  service_id last_service;     // the last received
  target_id last_target;

  friend bool operator==(const snapshot_position& left,
                         const snapshot_position& right) {
    return left.at == right.at && left.services_done == right.services_done &&
           left.last_service == right.last_service &&
           left.last_target == right.last_target;
  }
};

// One part of the list of nodes below a child; parts are numbered from 0.
struct name_list_part {
  std::uint64_t list = 0;  // checksum of the complete list (SumOfNames)
  std::uint32_t part = 0;
  bool is_last = false;
  std::vector<node_identity> names;
};

// Child to parent: requests changes above `known` and reports which revisions
// the child and the nodes below it have applied. Answered by a delta, a
// snapshot_part or a redirect, unless `leaving` or `moved` is set.
struct pull {
  std::uint64_t number = 0;  // ascending; answers repeat it
  node_identity node;
  // Present until the parent reports a list of names for this child.
  std::optional<relay_contact> contact;
  std::string service;        // requests changes of this one; empty: all
  revision known;             // newest applied, which is acknowledged
  bool only_reports = false;  // reports, requests no changes
  bool leaving = false;       // stops gracefully: remove it
  bool moved = false;         // has another parent: remove it
  std::optional<snapshot_position> snapshot;  // a transfer under way
  std::vector<progress> below;                // the node and all below
  std::optional<name_list_part> names;        // if the parent lacks them
  std::vector<std::string> stopped_nodes;     // nodes that stopped gracefully
};

// One encoded change (EncodeChange).
struct encoded_change {
  service_id service;  // the service that the change belongs to
  std::string bytes;   // output of EncodeChange
};

// All changes of one revision, or those of one service.
struct encoded_revision {
  revision at;
  std::vector<encoded_change> changes;
};

// Parent to child: all changes above `from` up to `to`, or all of the child's
// service; none may be missing. Sent as the answer to a pull, and unrequested
// when there are new changes.
struct delta {
  std::uint64_t answers = 0;  // number of the child's newest pull received
  revision from;
  revision to;
  revision newest;  // of the parent; if above `to`, more is to be pulled
  std::uint64_t known_names = 0;  // checksum of the child's name list
  // Time since the parent's view was confirmed at a control VM that had the
  // quorum. Grows at a relay that is cut off.
  duration age{0};
  std::vector<encoded_revision> revisions;
};

// Parent to child: the next part of a snapshot. The receiver first applies
// `catch_up`, which brings the records received so far to `position.at`.
struct snapshot_part {
  std::uint64_t answers = 0;   // as in delta
  bool restarts = false;       // discard what was received so far
  snapshot_position from;      // the position that the child sent
  snapshot_position position;  // after this part
  bool is_last = false;
  duration age{0};  // as in delta
  std::vector<encoded_revision> catch_up;
  std::vector<std::string> records;  // encoded puts of services and targets
};

// Parent to child: the parent is full or stops; attach to one of `relays`, or,
// if there are none, to a control VM.
struct redirect {
  std::vector<relay_contact> relays;
};

// Node to control VM or peer, when it starts: queries the newest revision.
struct confirm_request {
  std::uint64_t number = 0;
};

// Answer to a confirm_request.
struct confirm_answer {
  std::uint64_t number = 0;  // of the request
  revision at;               // the newest accepted revision known to the sender
  bool by_quorum = false;    // confirmed by the control quorum
};

using relay_message = std::variant<pull, delta, snapshot_part, redirect,
                                   confirm_request, confirm_answer>;

// Returns the wire encoding of a message.
std::string Encode(const relay_message& message);

// Returns nothing if the bytes are malformed.
std::optional<relay_message> DecodeRelayMessage(std::string_view bytes);

}  // namespace tamaracklatch
