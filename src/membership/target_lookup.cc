// Lookup of targets by key, with an index of the keys by start.
#include "tamaracklatch/membership/target_lookup.h"

#include <unordered_map>

namespace tamaracklatch {

target_lookup::target_lookup(const cluster_view& view,
                             const std::vector<target_key>& keys) {
  if (keys.empty()) return;
  std::unordered_multimap<incarnation, const target_key*> wanted;
  for (const target_key& key : keys) wanted.emplace(key.started, &key);
  for (const auto& [id, target] : view.targets) {
    const auto candidates = wanted.equal_range(target.started);
    for (auto at = candidates.first; at != candidates.second; ++at) {
      const target_key& key = *at->second;
      const auto service = view.services.find(target.service);
      if (target.vm == key.vm && service != view.services.end() &&
          service->second.document.service == key.service)
        found_[key] = &target;
    }
  }
}

const target_record* target_lookup::Find(const target_key& key) const {
  const auto found = found_.find(key);
  return found == found_.end() ? nullptr : found->second;
}

}  // namespace tamaracklatch
