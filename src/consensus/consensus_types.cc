// voter_configuration: membership tests, changes of one member, and encoding.
#include "tamaracklatch/consensus/consensus_types.h"

#include <algorithm>
#include <cassert>

#include "consensus/configuration_wire.h"

namespace tamaracklatch {
namespace {

bool ContainsId(const std::vector<cluster_member>& members,
                const member_id& id) {
  return std::any_of(
      members.begin(), members.end(),
      [&](const cluster_member& member) { return member.id == id; });
}

bool ContainsName(const std::vector<cluster_member>& members,
                  const vm_name& name) {
  return std::any_of(
      members.begin(), members.end(),
      [&](const cluster_member& member) { return member.id.name == name; });
}

void Remove(std::vector<cluster_member>* members, const member_id& id) {
  members->erase(std::remove_if(members->begin(), members->end(),
                                [&](const cluster_member& member) {
                                  return member.id == id;
                                }),
                 members->end());
}

void Insert(std::vector<cluster_member>* members, cluster_member added) {
  const auto place = std::lower_bound(
      members->begin(), members->end(), added,
      [](const cluster_member& left, const cluster_member& right) {
        return left.id < right.id;
      });
  members->insert(place, std::move(added));
}

}  // namespace

bool voter_configuration::IsVoter(const member_id& id) const {
  return ContainsId(voters, id);
}

bool voter_configuration::IsLearner(const member_id& id) const {
  return ContainsId(learners, id);
}

bool voter_configuration::HasName(const vm_name& name) const {
  return ContainsName(voters, name) || ContainsName(learners, name);
}

voter_configuration voter_configuration::WithLearner(const member_id& id,
                                                     revision added) const {
  assert(!IsVoter(id) && !IsLearner(id));
  voter_configuration result = *this;
  Insert(&result.learners, {id, added});
  return result;
}

voter_configuration voter_configuration::WithVoter(const member_id& id) const {
  assert(IsLearner(id));
  voter_configuration result = *this;
  const auto found = std::find_if(
      learners.begin(), learners.end(),
      [&](const cluster_member& member) { return member.id == id; });
  Remove(&result.learners, id);
  Insert(&result.voters, *found);
  return result;
}

voter_configuration voter_configuration::Without(const member_id& id) const {
  voter_configuration result = *this;
  Remove(&result.voters, id);
  Remove(&result.learners, id);
  return result;
}

std::string EncodeConfiguration(const voter_configuration& configuration) {
  wire_writer writer;
  WriteConfiguration(&writer, configuration);
  return std::string(writer.bytes());
}

std::optional<voter_configuration> DecodeConfiguration(std::string_view bytes) {
  wire_reader reader(bytes);
  voter_configuration configuration;
  if (!ReadConfiguration(&reader, &configuration)) return std::nullopt;
  return configuration;
}

}  // namespace tamaracklatch
