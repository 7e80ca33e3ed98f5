// Finds targets of a view by their keys, in one pass over the view.
#pragma once

#include <map>
#include <vector>

#include "tamaracklatch/control/cluster_view.h"
#include "tamaracklatch/membership/announcement.h"

namespace tamaracklatch {

// Used where a report or table names many targets: one pass over the view
// instead of one for each key.
class target_lookup {
 public:
  // `view` must outlive the lookup.
  target_lookup(const cluster_view& view, const std::vector<target_key>& keys);

  // The target of one of the keys, or null if it is not in the view.
  const target_record* Find(const target_key& key) const;

 private:
  std::map<target_key, const target_record*> found_;
};

}  // namespace tamaracklatch
