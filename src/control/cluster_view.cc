// Applies changes to a view of the services and targets.
#include "tamaracklatch/control/cluster_view.h"

#include <cassert>

namespace tamaracklatch {
namespace {

// Applies one change to `view`.
class change_applier {
 public:
  explicit change_applier(cluster_view* view) : view_(view) {}

  void operator()(const service_put& change) const {
    view_->services[change.service.id] = change.service;
  }

  void operator()(const service_removed& change) const {
    view_->services.erase(change.service);
    for (auto at = view_->targets.begin(); at != view_->targets.end();) {
      at = at->second.service == change.service ? view_->targets.erase(at)
                                                : std::next(at);
    }
  }

  void operator()(const target_put& change) const {
    view_->targets[change.target.id] = change.target;
  }

  void operator()(const target_removed& change) const {
    view_->targets.erase(change.target);
  }

 private:
  cluster_view* view_;
};

}  // namespace

const service_record* cluster_view::FindService(const std::string& name) const {
  for (const auto& [id, record] : services) {
    if (record.document.service == name) return &record;
  }
  return nullptr;
}

std::vector<target_record> cluster_view::TargetsOf(service_id service) const {
  std::vector<target_record> found;
  for (const auto& [id, record] : targets) {
    if (record.service == service) found.push_back(record);
  }
  return found;
}

void cluster_view::Apply(const revision_changes& step) {
  assert(step.at > at);
  for (const view_change& change : step.changes)
    std::visit(change_applier(this), change);
  at = step.at;
}

}  // namespace tamaracklatch
