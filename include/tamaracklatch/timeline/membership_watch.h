// Tells the events of targets that join, drain and leave from the changes of
// the view. Runs where changes are accepted, on the control VMs.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "tamaracklatch/control/cluster_view.h"
#include "tamaracklatch/core/event.h"

namespace tamaracklatch {

class membership_watch {
 public:
  // The view is another, whole one; tells nothing.
  void Reset(const cluster_view& view);

  // The events of the changes, in order.
  std::vector<event> OnChanges(const revision_changes& step);

 private:
  // What an event says of a target that is gone from the view.
  struct watched_target {
    service_id service;
    vm_name vm;
    zone_name zone;
    target_state state = target_state::kServing;
  };

  void Watch(const target_record& target);
  event Tell(event_id id, revision at, const watched_target& target) const;
  void Note(const service_put& change, revision at, std::vector<event>* events);
  void Note(const service_removed& change, revision at,
            std::vector<event>* events);
  void Note(const target_put& change, revision at, std::vector<event>* events);
  void Note(const target_removed& change, revision at,
            std::vector<event>* events);

  std::map<service_id, std::string> services_;  // names
  std::map<target_id, watched_target> targets_;
};

}  // namespace tamaracklatch
