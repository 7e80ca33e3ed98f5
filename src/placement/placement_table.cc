// Keeping placements, their past and the reports in step with the revisions.
#include "tamaracklatch/placement/placement_table.h"

#include <algorithm>
#include <cassert>

namespace tamaracklatch {
namespace {

bool Contains(const std::vector<const placed_target*>& list, target_id id) {
  return std::any_of(list.begin(), list.end(), [id](const placed_target* each) {
    return each->id == id;
  });
}

// Adds a target of the current placement, once.
void AddById(const service_placement& current, target_id id,
             std::vector<const placed_target*>* list) {
  const placed_target* found = current.Find(id);
  if (found == nullptr || Contains(*list, id)) return;
  list->push_back(found);
}

target_id IdOf(const service_placement& placement, std::uint16_t index) {
  return index == kNoTarget ? target_id() : placement.targets()[index].id;
}

// What the target said since the service last changed, or null.
const held_buckets* FreshReport(const placed_service& service, target_id id) {
  const placed_target* found = service.current->Find(id);
  if (found == nullptr) return nullptr;
  return service.fresh[service.current->IndexOf(*found)];
}

// Sets the pointer to the target's report, if it is fresh.
void ListIfFresh(placed_service* service, target_id id) {
  const placed_target* found = service->current->Find(id);
  const auto report = service->reports.find(id);
  if (found == nullptr || report == service->reports.end()) return;
  const bool is_fresh = report->second.at >= service->changed_at;
  service->fresh[service->current->IndexOf(*found)] =
      is_fresh ? &report->second : nullptr;
}

bool Excluded(const placed_service& service, target_id id,
              std::uint64_t flow_hash) {
  const held_buckets* report = FreshReport(service, id);
  return report != nullptr && !report->MayHold(flow_hash);
}

}  // namespace

void placement_table::Reset(const cluster_view& view, time_point now) {
  assert(view.at >= at_);
  if (view.at == at_ && !services_.empty()) return;
  std::map<service_id, placed_service> earlier = std::move(services_);
  services_.clear();
  service_of_.clear();

  for (const auto& [id, record] : view.services) {
    const auto known = earlier.find(id);
    if (known != earlier.end()) services_[id] = std::move(known->second);
    services_[id].record = record;
    services_[id].targets.clear();
  }
  for (const auto& [id, target] : view.targets) {
    services_[target.service].targets[id] = target;
    service_of_[id] = target.service;
  }
  at_ = view.at;
  for (auto& [id, service] : services_) Replace(&service, now);
}

void placement_table::Touch(service_id service) {
  if (std::find(touched_.begin(), touched_.end(), service) == touched_.end())
    touched_.push_back(service);
}

void placement_table::Apply(const revision_changes& step, time_point now) {
  if (step.at <= at_) return;
  at_ = step.at;
  touched_.clear();
  for (const view_change& change : step.changes) {
    if (const auto* put = std::get_if<service_put>(&change)) {
      services_[put->service.id].record = put->service;
      Touch(put->service.id);
    } else if (const auto* gone = std::get_if<service_removed>(&change)) {
      Remove(gone->service);
    } else if (const auto* joined = std::get_if<target_put>(&change)) {
      const auto service = services_.find(joined->target.service);
      if (service == services_.end()) continue;
      service->second.targets[joined->target.id] = joined->target;
      service_of_[joined->target.id] = service->first;
      Touch(service->first);
    } else if (const auto* left = std::get_if<target_removed>(&change)) {
      const auto of = service_of_.find(left->target);
      if (of == service_of_.end()) continue;
      const auto service = services_.find(of->second);
      service_of_.erase(of);
      if (service == services_.end()) continue;
      service->second.targets.erase(left->target);
      service->second.reports.erase(left->target);
      Touch(service->first);
    }
  }
  for (const service_id service : touched_) {
    const auto found = services_.find(service);
    if (found != services_.end()) Replace(&found->second, now);
  }
}

void placement_table::Remove(service_id service) {
  const auto found = services_.find(service);
  if (found == services_.end()) return;
  for (const auto& [id, target] : found->second.targets) service_of_.erase(id);
  services_.erase(found);
}

bool placement_table::Apply(const held_buckets& report) {
  const auto service = services_.find(report.service);
  if (service == services_.end()) return false;
  if (service->second.targets.count(report.target) == 0) return false;
  const auto [known, is_first] =
      service->second.reports.try_emplace(report.target, report);
  if (report.count > known->second.count) known->second = report;
  ListIfFresh(&service->second, report.target);
  return is_first;
}

void placement_table::Replace(placed_service* service, time_point now) {
  if (service->current == nullptr) {
    service->known_since = now;
  } else {
    service->past.insert(service->past.begin(), {service->current, now});
    if (service->past.size() > kMaxPastPlacements) service->past.pop_back();
  }
  service->changed_at = at_;
  std::vector<target_record> targets;
  targets.reserve(service->targets.size());
  for (const auto& [id, target] : service->targets) targets.push_back(target);
  service->current = std::make_shared<const service_placement>(
      at_, service->record.document, targets);
  service->fresh.assign(service->current->targets().size(), nullptr);
  for (const auto& [id, report] : service->reports) ListIfFresh(service, id);
}

const placed_service* placement_table::Find(service_id service) const {
  const auto found = services_.find(service);
  return found == services_.end() ? nullptr : &found->second;
}

std::vector<const placed_target*> PastOwners(const placed_service& service,
                                             std::uint64_t flow_hash,
                                             time_point since) {
  std::vector<const placed_target*> owners;
  for (const past_placement& past : service.past) {
    if (past.replaced_at < since) break;
    const service_placement& placement = *past.placement;
    const bucket_candidates two =
        placement.CandidatesOf(placement.BucketOf(flow_hash));
    for (const std::uint16_t index : {two.first, two.second}) {
      if (index == kNoTarget) continue;
      const target_id id = placement.targets()[index].id;
      if (!Excluded(service, id, flow_hash))
        AddById(*service.current, id, &owners);
    }
  }
  return owners;
}

bool IsSettled(const placed_service& service, std::uint64_t flow_hash,
               time_point since) {
  if (service.known_since >= since) return false;
  const service_placement& current = *service.current;
  const bucket_candidates now =
      current.CandidatesOf(current.BucketOf(flow_hash));
  for (const past_placement& past : service.past) {
    if (past.replaced_at < since) return true;
    const service_placement& placement = *past.placement;
    const bucket_candidates then =
        placement.CandidatesOf(placement.BucketOf(flow_hash));
    if (IdOf(current, now.first) != IdOf(placement, then.first) ||
        IdOf(current, now.second) != IdOf(placement, then.second)) {
      return false;
    }
  }
  // Changes older than those remembered may be recent as well.
  return service.past.size() < kMaxPastPlacements;
}

std::vector<const placed_target*> PossibleHolders(const placed_service& service,
                                                  std::uint64_t flow_hash) {
  std::vector<const placed_target*> holders =
      PastOwners(service, flow_hash, time_point::min());
  const std::vector<placed_target>& targets = service.current->targets();
  for (std::size_t at = 0; at < targets.size(); ++at) {
    const held_buckets* report = service.fresh[at];
    if (report != nullptr && report->MayHold(flow_hash))
      AddById(*service.current, targets[at].id, &holders);
  }
  for (std::size_t at = 0; at < targets.size(); ++at) {
    if (service.fresh[at] == nullptr)
      AddById(*service.current, targets[at].id, &holders);
  }
  return holders;
}

}  // namespace tamaracklatch
