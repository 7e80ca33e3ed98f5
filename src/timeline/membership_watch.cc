// Comparing each change with what was known of the target before.
#include "tamaracklatch/timeline/membership_watch.h"

#include <fmt/format.h>

#include <variant>

namespace tamaracklatch {

void membership_watch::Reset(const cluster_view& view) {
  services_.clear();
  targets_.clear();
  for (const auto& [id, service] : view.services)
    services_[id] = service.document.service;
  for (const auto& entry : view.targets) Watch(entry.second);
}

void membership_watch::Watch(const target_record& target) {
  targets_[target.id] = {target.service, target.vm, target.zone, target.state};
}

std::vector<event> membership_watch::OnChanges(const revision_changes& step) {
  std::vector<event> events;
  for (const view_change& change : step.changes) {
    std::visit([&](const auto& each) { Note(each, step.at, &events); }, change);
  }
  return events;
}

event membership_watch::Tell(event_id id, revision at,
                             const watched_target& target) const {
  event what;
  what.id = id;
  what.at = at;
  const auto service = services_.find(target.service);
  if (service != services_.end()) what.service = service->second;
  what.peer = target.vm;
  what.detail = fmt::format("in zone {}", target.zone);
  return what;
}

void membership_watch::Note(const service_put& change, revision /*at*/,
                            std::vector<event>* /*events*/) {
  services_[change.service.id] = change.service.document.service;
}

void membership_watch::Note(const service_removed& change, revision /*at*/,
                            std::vector<event>* /*events*/) {
  services_.erase(change.service);
}

void membership_watch::Note(const target_put& change, revision at,
                            std::vector<event>* events) {
  const auto known = targets_.find(change.target.id);
  const bool is_new = known == targets_.end();
  const bool was_draining =
      !is_new && known->second.state == target_state::kDraining;
  Watch(change.target);
  const watched_target& now = targets_[change.target.id];
  if (is_new) events->push_back(Tell(event_id::kTargetJoined, at, now));
  if (now.state == target_state::kDraining && !was_draining)
    events->push_back(Tell(event_id::kTargetDraining, at, now));
}

void membership_watch::Note(const target_removed& change, revision at,
                            std::vector<event>* events) {
  const auto known = targets_.find(change.target);
  if (known == targets_.end()) return;
  events->push_back(Tell(event_id::kTargetLeft, at, known->second));
  targets_.erase(known);
}

}  // namespace tamaracklatch
