// Finds targets of a view by their keys, in one pass over the view.
#pragma once

#include <map>
#include <vector>

#include "tamaracklatch/control/cluster_view.h"
#include "tamaracklatch/membership/announcement.h"

namespace tamaracklatch {

class target_lookup {
 public:
  // `view` outlives the lookup.
  target_lookup(const cluster_view& view, const std::vector<target_key>& keys);

  // The target of one of the keys, or null where the view lacks it.
  const target_record* Find(const target_key& key) const;

 private:
  std::map<target_key, const target_record*> found_;
};

}  // namespace tamaracklatch
