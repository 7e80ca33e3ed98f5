// The children of a relay_node: which revision each has acknowledged, what was
// sent to it and what it reported. No queue is kept for a child, so a slow one
// takes no more memory than a fast one.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "tamaracklatch/distribution/name_list.h"
#include "tamaracklatch/distribution/relay_settings.h"

namespace tamaracklatch {

// State of one child, updated by its pulls.
struct child_state {
  node_identity node;
  relay_contact contact;
  std::string service;        // wants the changes of this one; empty: all
  service_id filter;          // id of `service`; 0 until the view has it
  bool only_reports = false;  // reports acknowledgments, wants no changes
  std::uint64_t last_pull_number = 0;  // number of the newest pull
  revision known;                      // acknowledged by the child
  std::optional<revision> sent_to;     // sent, not yet acknowledged
  std::uint32_t tries = 0;             // retries of the last delta
  bool has_unsent_change = false;  // a change of its service is not yet sent
  std::optional<snapshot_position> snapshot;  // of a transfer under way
  time_point last_sent;                       // last delta or snapshot part
  time_point last_received;                   // last pull received
  std::vector<progress> below;  // of the child and all nodes below it
  name_list_reader names;       // the child and all nodes below it

  // Whether the child can't relay to others.
  bool IsLeaf() const { return contact.where.port == 0; }
  bool AwaitsAcknowledgment() const { return sent_to && *sent_to > known; }
};

// All children of a node, by name.
class child_table {
 public:
  explicit child_table(const relay_settings& settings);

  // Returns null if there is no child of that name.
  child_state* Find(const std::string& name);

  // Adds the sender of a pull as a child. Returns null if the pull has no
  // contact, or if the table is full and there are other relays to redirect to.
  // With none to redirect to, the child is added above the limits, and so is a
  // child that only reports.
  child_state* Admit(const pull& message);

  void Remove(const std::string& name) { children_.erase(name); }

  // Removes the children whose last pull came before `since`. Returns whether
  // any was removed.
  bool RemoveUnresponsive(time_point since);

  // Returns the children to which a node of `zone` may be redirected, at most
  // 8, those with the fewest nodes below them first: only children of that zone
  // if there are any, else children of all zones. Excludes `requester` itself.
  std::vector<relay_contact> Alternatives(const zone_name& zone,
                                          const std::string& requester) const;

  std::map<std::string, child_state>& all() { return children_; }
  const std::map<std::string, child_state>& all() const { return children_; }

  // Acknowledgments of all children and the nodes below them, summed.
  std::vector<progress> Progress() const;
  // All children and the nodes below them.
  std::vector<node_identity> Names() const;

 private:
  bool HasRoom(const relay_contact& contact) const;

  bool is_source_;
  // Limits; at a source they hold for each availability zone.
  std::size_t max_relays_;
  std::size_t max_leaves_;
  std::map<std::string, child_state> children_;  // by name
};

}  // namespace tamaracklatch
