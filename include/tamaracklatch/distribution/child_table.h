// The children of a node: what each has, what was sent to it, what it reported.
// Constant memory for each child, however slow it is.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "tamaracklatch/distribution/name_list.h"
#include "tamaracklatch/distribution/relay_settings.h"

namespace tamaracklatch {

// One child.
struct child_state {
  node_identity node;
  relay_contact contact;
  std::string service;  // only this service's changes; empty: all
  service_id filter;    // its id, once the view has the service
  bool only_reports = false;
  std::uint64_t last_pull = 0;      // its number
  revision known;                   // acknowledged
  std::optional<revision> sent_to;  // sent, not yet acknowledged
  std::uint32_t tries = 0;          // of what was sent
  bool concerned = false;           // a change that it wants waits
  std::optional<snapshot_position> snapshot;
  time_point last_sent;
  time_point last_heard;
  std::vector<progress> below;
  name_list_reader names;

  bool IsLeaf() const { return contact.where.port == 0; }
  bool AwaitsAcknowledgment() const { return sent_to && *sent_to > known; }
};

class child_table {
 public:
  explicit child_table(const relay_settings& settings);

  child_state* Find(const std::string& name);

  // Takes a child in, or says by null that there is no room.
  child_state* Admit(const pull& message);

  void Remove(const std::string& name) { children_.erase(name); }

  // Removes those not heard of since `since`; returns whether there were any.
  bool RemoveSilent(time_point since);

  // Where a node of `zone` may ask instead: children of its own zone before
  // others, those with the fewest nodes below first.
  std::vector<relay_contact> Alternatives(const zone_name& zone,
                                          const std::string& asker) const;

  std::map<std::string, child_state>& all() { return children_; }
  const std::map<std::string, child_state>& all() const { return children_; }

  // Summed over all children.
  std::vector<progress> Progress() const;
  std::vector<node_identity> Names() const;

 private:
  bool HasRoom(const relay_contact& contact) const;

  bool is_source_;
  std::size_t max_relays_;
  std::size_t max_leaves_;
  std::map<std::string, child_state> children_;  // by name
};

}  // namespace tamaracklatch
