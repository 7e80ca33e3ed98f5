// Updates placements, past placements and reports as revisions arrive.
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

// Adds the target with this id to the list, unless it is already there or not
// in the current placement.
void AddById(const service_placement& current, target_id id,
             std::vector<const placed_target*>* list) {
  const placed_target* found = current.Find(id);
  if (found == nullptr || Contains(*list, id)) return;
  list->push_back(found);
}

target_id IdOf(const service_placement& placement, std::uint16_t index) {
  return index == kNoTarget ? target_id() : placement.targets()[index].id;
}

// Returns the target's report since the service last changed, or null.
const held_buckets* FreshReport(const placed_service& service, target_id id) {
  const placed_target* found = service.current->Find(id);
  if (found == nullptr) return nullptr;
  return service.fresh_reports[service.current->IndexOf(*found)];
}

// Sets the pointer to the target's report, or to null if the report is from
// before the service last changed.
void UpdateFreshReport(placed_service* service, target_id id) {
  const placed_target* found = service->current->Find(id);
  const auto report = service->reports.find(id);
  if (found == nullptr || report == service->reports.end()) return;
  const bool is_fresh = report->second.at >= service->changed_at;
  service->fresh_reports[service->current->IndexOf(*found)] =
      is_fresh ? &report->second : nullptr;
}

// Whether the target's report rules out that it holds a flow with this hash.
bool IsExcluded(const placed_service& service, target_id id,
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
  for (auto& [id, service] : services_) ReplacePlacement(&service, now);
}

void placement_table::MarkChanged(service_id service) {
  if (std::find(changed_services_.begin(), changed_services_.end(), service) ==
      changed_services_.end())
    changed_services_.push_back(service);
}

void placement_table::Apply(const revision_changes& step, time_point now) {
  if (step.at <= at_) return;
  at_ = step.at;
  changed_services_.clear();
  for (const view_change& change : step.changes) {
    if (const auto* put = std::get_if<service_put>(&change)) {
      services_[put->service.id].record = put->service;
      MarkChanged(put->service.id);
    } else if (const auto* removed = std::get_if<service_removed>(&change)) {
      Remove(removed->service);
    } else if (const auto* joined = std::get_if<target_put>(&change)) {
      const auto service = services_.find(joined->target.service);
      if (service == services_.end()) continue;
      service->second.targets[joined->target.id] = joined->target;
      service_of_[joined->target.id] = service->first;
      MarkChanged(service->first);
    } else if (const auto* departed = std::get_if<target_removed>(&change)) {
      const auto of = service_of_.find(departed->target);
      if (of == service_of_.end()) continue;
      const auto service = services_.find(of->second);
      service_of_.erase(of);
      if (service == services_.end()) continue;
      service->second.targets.erase(departed->target);
      service->second.reports.erase(departed->target);
      MarkChanged(service->first);
    }
  }
  for (const service_id service : changed_services_) {
    const auto found = services_.find(service);
    if (found != services_.end()) ReplacePlacement(&found->second, now);
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
  if (report.sequence > known->second.sequence) known->second = report;
  UpdateFreshReport(&service->second, report.target);
  return is_first;
}

void placement_table::ReplacePlacement(placed_service* service,
                                       time_point now) {
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
  service->fresh_reports.assign(service->current->targets().size(), nullptr);
  for (const auto& [id, report] : service->reports)
    UpdateFreshReport(service, id);
}

const placed_service* placement_table::Find(service_id service) const {
  const auto found = services_.find(service);
  return found == services_.end() ? nullptr : &found->second;
}

std::vector<const placed_target*> PastCandidates(const placed_service& service,
                                                 std::uint64_t flow_hash,
                                                 time_point since) {
  std::vector<const placed_target*> owners;
  for (const past_placement& past : service.past) {
    if (past.replaced_at < since) break;
    const service_placement& placement = *past.placement;
    const bucket_candidates candidates =
        placement.CandidatesOf(placement.BucketOf(flow_hash));
    for (const std::uint16_t index : {candidates.first, candidates.second}) {
      if (index == kNoTarget) continue;
      const target_id id = placement.targets()[index].id;
      if (!IsExcluded(service, id, flow_hash))
        AddById(*service.current, id, &owners);
    }
  }
  return owners;
}

bool HasStableCandidates(const placed_service& service, std::uint64_t flow_hash,
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
  // If `past` is full, dropped placements may have been replaced after `since`
  // as well.
  return service.past.size() < kMaxPastPlacements;
}

std::vector<const placed_target*> PossibleHolders(const placed_service& service,
                                                  std::uint64_t flow_hash) {
  std::vector<const placed_target*> holders =
      PastCandidates(service, flow_hash, time_point::min());
  const std::vector<placed_target>& targets = service.current->targets();
  for (std::size_t at = 0; at < targets.size(); ++at) {
    const held_buckets* report = service.fresh_reports[at];
    if (report != nullptr && report->MayHold(flow_hash))
      AddById(*service.current, targets[at].id, &holders);
  }
  for (std::size_t at = 0; at < targets.size(); ++at) {
    if (service.fresh_reports[at] == nullptr)
      AddById(*service.current, targets[at].id, &holders);
  }
  return holders;
}

}  // namespace tamaracklatch
