// Admission of children and selection of relays for redirects.
#include "tamaracklatch/distribution/child_table.h"

#include <algorithm>

#include "tamaracklatch/distribution/progress_sum.h"

namespace tamaracklatch {
namespace {

// Maximum number of relays in one redirect.
constexpr std::size_t kMaxAlternatives = 8;

std::uint32_t NodesOf(const std::vector<progress>& below) {
  std::uint32_t nodes = 0;
  for (const progress& entry : below) nodes += entry.nodes;
  return nodes;
}

}  // namespace

child_table::child_table(const relay_settings& settings)
    : is_source_(settings.is_source),
      max_relays_(settings.max_relays),
      max_leaves_(settings.max_leaves) {}

child_state* child_table::Find(const std::string& name) {
  const auto found = children_.find(name);
  return found == children_.end() ? nullptr : &found->second;
}

bool child_table::HasRoom(const relay_contact& contact) const {
  const bool is_leaf = contact.where.port == 0;
  std::size_t same_kind = 0;
  for (const auto& [name, child] : children_) {
    if (child.only_reports || child.IsLeaf() != is_leaf) continue;
    const bool counts = !is_source_ || child.contact.zone == contact.zone;
    if (counts) ++same_kind;
  }
  return same_kind < (is_leaf ? max_leaves_ : max_relays_);
}

child_state* child_table::Admit(const pull& message) {
  if (!message.contact) return nullptr;
  const bool is_leaf = message.contact->where.port == 0;
  const bool has_others =
      !Alternatives(message.contact->zone, message.node.name).empty();
  // A source admits leaves only while there is no relay to redirect them to.
  const bool has_room =
      HasRoom(*message.contact) && !(is_source_ && is_leaf && has_others);
  if (!message.only_reports && !has_room && has_others) return nullptr;
  child_state& child = children_[message.node.name];
  child = child_state{};
  child.node = message.node;
  child.contact = *message.contact;
  return &child;
}

bool child_table::RemoveUnresponsive(time_point since) {
  bool removed = false;
  for (auto child = children_.begin(); child != children_.end();) {
    if (child->second.last_received < since) {
      child = children_.erase(child);
      removed = true;
    } else {
      ++child;
    }
  }
  return removed;
}

std::vector<relay_contact> child_table::Alternatives(
    const zone_name& zone, const std::string& requester) const {
  std::vector<relay_contact> found;
  for (const auto& [name, child] : children_) {
    if (child.IsLeaf() || child.only_reports || name == requester) continue;
    relay_contact contact = child.contact;
    contact.nodes = std::max(1U, NodesOf(child.below));
    found.push_back(std::move(contact));
  }
  const auto in_zone = std::stable_partition(
      found.begin(), found.end(),
      [&](const relay_contact& contact) { return contact.zone == zone; });
  if (in_zone != found.begin()) found.erase(in_zone, found.end());
  std::stable_sort(found.begin(), found.end(),
                   [](const relay_contact& left, const relay_contact& right) {
                     return left.nodes < right.nodes;
                   });
  if (found.size() > kMaxAlternatives) found.resize(kMaxAlternatives);
  return found;
}

std::vector<progress> child_table::Progress() const {
  std::vector<progress> sum;
  for (const auto& [name, child] : children_) AddProgress(child.below, &sum);
  return sum;
}

std::vector<node_identity> child_table::Names() const {
  std::vector<node_identity> names;
  for (const auto& [name, child] : children_) {
    const auto& below = child.names.names();
    if (below.empty() && !child.only_reports) {
      names.push_back(child.node);
    } else {
      names.insert(names.end(), below.begin(), below.end());
    }
  }
  return names;
}

}  // namespace tamaracklatch
