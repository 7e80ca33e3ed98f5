// Compares the summed acknowledgments with the known nodes.
#include "tamaracklatch/control/in_force_tracker.h"

#include <algorithm>
#include <unordered_set>

#include "tamaracklatch/distribution/progress_sum.h"

namespace tamaracklatch {

in_force_tracker::in_force_tracker(const in_force_settings& settings)
    : settings_(settings) {}

void in_force_tracker::OnAccepted(revision at) {
  // A resent document has the revision at which it was first accepted.
  if (!tracked_.empty() && at <= tracked_.back().at) return;
  tracked_.push_back({at, std::nullopt});
  if (tracked_.size() > settings_.max_revisions) tracked_.pop_front();
}

void in_force_tracker::Reset() {
  nodes_.clear();
  identities_ = 0;
  unreported_ = 0;
  sum_.clear();
  expected_.clear();
  expected_at_.reset();
  members_at_.reset();
  newly_unreported_.clear();
  next_record_ = time_point();
}

void in_force_tracker::SetExpectedNodes(const known_nodes& known,
                                        const cluster_view& view,
                                        time_point now) {
  if (expected_at_ != known.changed()) {
    expected_at_ = known.changed();
    std::set<std::string> before;
    before.swap(expected_);
    expected_ = known.names();
    for (const std::string& name : expected_) {
      // A name that was expected before and has no node has expired since, so
      // it must not be added again.
      if (before.count(name) > 0 || nodes_.count(name) > 0) continue;
      nodes_[name] = {{name, incarnation()}, now, now, false};
      ++unreported_;
    }
  }
  if (members_at_ == view.at) return;
  members_at_ = view.at;
  members_.clear();
  for (const auto& [id, target] : view.targets)
    members_[target.started.value] = target.vm;
}

known_nodes_batch in_force_tracker::NextRecordBatch(const known_nodes& known,
                                                    time_point now) {
  known_nodes_batch batch;
  if (now < next_record_) return batch;
  next_record_ = now + settings_.record_interval;
  for (const auto& [name, state] : nodes_) {
    const bool is_new = state.is_reported && known.names().count(name) == 0 &&
                        now - state.reported_since >= settings_.record_after;
    if (!is_new || IsMember(state.node)) continue;
    if (batch.added.size() < settings_.max_batch) batch.added.push_back(name);
  }
  for (const std::string& name : known.names()) {
    const auto found = nodes_.find(name);
    if (found != nodes_.end() && !IsMember(found->second.node)) continue;
    if (batch.removed.size() < settings_.max_batch)
      batch.removed.push_back(name);
  }
  if (!batch.empty()) next_record_ = now + settings_.record_retry_interval;
  return batch;
}

bool in_force_tracker::IsMember(const node_identity& node) const {
  return members_.count(node.started.value) > 0;
}

bool in_force_tracker::IsExpired(const node_state& state,
                                 time_point now) const {
  if (state.is_reported) return false;
  const bool is_recorded =
      expected_.count(state.node.name) > 0 || IsMember(state.node);
  return now - state.last_reported >
         (is_recorded ? settings_.expire_after : settings_.record_after);
}

std::vector<std::string> in_force_tracker::UnreportedMembers() const {
  std::unordered_set<std::uint64_t> starts;
  for (const auto& [name, state] : nodes_)
    starts.insert(state.node.started.value);
  std::vector<std::string> names;
  for (const auto& [started, vm] : members_) {
    if (starts.count(started) == 0) names.push_back(vm);
  }
  std::sort(names.begin(), names.end());
  return names;
}

std::vector<revision> in_force_tracker::Update(
    const std::vector<progress>& sum, const std::vector<node_identity>& names,
    const std::vector<std::string>& left, time_point now) {
  std::vector<std::string> reported_before;
  for (auto& [name, node] : nodes_) {
    if (node.is_reported) reported_before.push_back(name);
    node.is_reported = false;
  }
  for (const node_identity& name : names) {
    const auto [known, is_new] = nodes_.try_emplace(name.name);
    node_state& state = known->second;
    const bool is_continuous =
        !is_new && state.node == name &&
        now - state.last_reported < settings_.record_after;
    state = {name, now, is_continuous ? state.reported_since : now, true};
  }
  for (const std::string& name : left) {
    const auto found = nodes_.find(name);
    if (found != nodes_.end() && !found->second.is_reported)
      nodes_.erase(found);
  }

  identities_ = 0;
  unreported_ = 0;
  for (auto node = nodes_.begin(); node != nodes_.end();) {
    const node_state& state = node->second;
    if (IsExpired(state, now)) {
      node = nodes_.erase(node);
      continue;
    }
    identities_ += HashIdentity(state.node);
    if (!state.is_reported) ++unreported_;
    ++node;
  }
  newly_unreported_.clear();
  for (const std::string& name : reported_before) {
    const auto found = nodes_.find(name);
    if (found != nodes_.end() && !found->second.is_reported)
      newly_unreported_.push_back(name);
  }

  sum_ = sum;
  std::vector<revision> in_force;
  std::optional<bool> members_are_reported;  // computed only when needed
  for (tracked_revision& entry : tracked_) {
    if (entry.everywhere_since || !IsAppliedByAll(entry.at)) continue;
    if (!members_are_reported)
      members_are_reported = UnreportedMembers().empty();
    if (!*members_are_reported) break;
    entry.everywhere_since = now;
    in_force.push_back(entry.at);
  }
  return in_force;
}

bool in_force_tracker::IsAppliedByAll(revision at) const {
  if (nodes_.empty() || unreported_ > 0) return false;
  const progress applied = AppliedAtLeast(sum_, at);
  return applied.nodes == nodes_.size() && applied.identities == identities_;
}

in_force_status in_force_tracker::Status(revision at) const {
  in_force_status status;
  status.at = at;
  status.unreported = UnreportedMembers();
  const auto reported = static_cast<std::uint32_t>(nodes_.size()) - unreported_;
  status.nodes = reported + unreported_ +
                 static_cast<std::uint32_t>(status.unreported.size());
  // While a node changes its relay, both relays may count it for a moment.
  status.applied = std::min(AppliedAtLeast(sum_, at).nodes, reported);
  for (const auto& [name, node] : nodes_) {
    if (!node.is_reported) status.unreported.push_back(name);
  }
  // A node that applied a later revision has applied this one too.
  for (const tracked_revision& entry : tracked_) {
    if (entry.at < at || !entry.everywhere_since) continue;
    status.everywhere_since = entry.everywhere_since;
    break;
  }
  if (status.everywhere_since) status.applied = status.nodes;
  return status;
}

}  // namespace tamaracklatch
