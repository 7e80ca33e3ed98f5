// Registrations with their lifetimes.
#include "steering/owner_registry.h"

namespace tamaracklatch {
namespace {

// An owner repeats its registrations every kRegistrationInterval; two of them
// may be lost.
constexpr std::chrono::seconds kRegistrationLifetime{16};

}  // namespace

void owner_registry::Put(std::uint64_t flow, const endpoint& owner,
                         time_point now) {
  const auto known = flows_.find(flow);
  if (known == flows_.end() && flows_.size() >= max_flows_) return;
  flows_[flow] = {owner, now + kRegistrationLifetime};
}

std::optional<endpoint> owner_registry::Find(std::uint64_t flow,
                                             time_point now) const {
  const auto found = flows_.find(flow);
  if (found == flows_.end() || found->second.expires <= now)
    return std::nullopt;
  return found->second.owner;
}

void owner_registry::Sweep(time_point now) {
  for (auto each = flows_.begin(); each != flows_.end();) {
    each = each->second.expires <= now ? flows_.erase(each) : std::next(each);
  }
}

}  // namespace tamaracklatch
