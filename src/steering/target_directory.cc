// Targets by service, ranked by rendezvous hashing of flow and endpoint.
#include "steering/target_directory.h"

#include <algorithm>
#include <cassert>
#include <limits>

#include "steering/cold_admission.h"
#include "steering/expected_load.h"

namespace tamaracklatch {
namespace {

// A search tries another silent target each time this interval has passed.
constexpr std::chrono::milliseconds kSilentRotation{150};

// A daemon that started less than this ago may have accepted a later copy of an
// opening before the roster entry of the daemon reached this node.
constexpr std::chrono::seconds kStartSettleTime{2};

constexpr std::size_t kAll = std::numeric_limits<std::size_t>::max();

// The lower version; 0 means none.
std::uint64_t LowestSet(std::uint64_t left, std::uint64_t right) {
  return left == 0 || right == 0 ? std::max(left, right)
                                 : std::min(left, right);
}

// What the target contributes to the median of its service; 0: nothing.
std::uint32_t CountedServiceTime(const directory_target& target) {
  return target.liveness == node_liveness::kGone ? 0 : target.service_time;
}

}  // namespace

std::uint64_t directory_target::OutdatedSetAt(time_point now) const {
  return LowestSet(outdated_set,
                   now < previous_outdated_until ? previous_outdated_set : 0);
}

bool directory_target::HasEnded(std::uint64_t start) const {
  if (start == 0) return false;
  if (target_start != 0) return target_start > start;
  return liveness == node_liveness::kGone &&
         condition == target_condition::kAbsent && last_start == start;
}

bool directory_target::KnowsFlowsOf(std::uint64_t start) const {
  return liveness == node_liveness::kAlive && first_start != 0 &&
         first_start <= start;
}

bool target_directory::Update(const roster_entry& entry, time_point now) {
  const node_record& record = entry.record;
  if (record.role != node_role::kTarget) return false;
  const auto [place, is_new] = indices_.try_emplace(
      record.where, static_cast<target_index>(targets_.size()));
  if (is_new) {
    directory_target added;
    added.where = record.where;
    added.hash = HashEndpoint(record.where);
    targets_.push_back(added);
  }
  directory_target& target = targets_[place->second];
  const service_digest service_before = target.service;
  const std::uint32_t counted_before = CountedServiceTime(target);
  const bool changes_service = is_new || !IsListedUnder(target, record.service);
  if (changes_service) {
    if (!is_new) RemoveFromService(target, place->second);
    target.service = DigestAbbreviatedService(record.service);
    service_targets& listed = services_[target.service];
    listed.name = record.service;
    listed.targets.push_back(place->second);
  }
  if (is_new || target.generation != record.generation) {
    if (target.last_start != 0)
      target.previous_start =
          target.HasEnded(target.last_start) ? 0 : target.last_start;
    // A daemon that starts again does not know by which sets the flows of its
    // target were opened.
    target.previous_outdated_set =
        changes_service ? 0 : target.OutdatedSetAt(now);
    target.previous_outdated_until = now + max_flow_age_ + kMaxHandshakeTime;
    target.first_start = 0;
    target.last_start = 0;
    target.node = NodeTag(record.where, record.generation);
    target.known_since = now;
    last_joined_ = now;
  }
  target.generation = record.generation;
  target.zone = record.zone;
  target.own_zone = record.zone == zone_;
  ApplyRules(&target);
  target.liveness = entry.liveness;
  target.condition = record.condition;
  target.slots = std::max<std::uint32_t>(record.slots, 1);
  target.load = record.load;
  target.cold_until = entry.changed_at + record.cold_remaining;
  target.service_time = record.service_time;
  target.outdated_set = record.outdated_set;
  UpdateOutdated(target, place->second);
  target.target_start = record.target_start;
  target.may_have_target = record.may_have_target;
  if (record.target_start != 0) {
    if (target.first_start == 0) target.first_start = record.target_start;
    target.last_start = record.target_start;
    target.previous_start = 0;
  }
  target.last_update = now;
  const std::uint32_t counted = CountedServiceTime(target);
  if (changes_service && counted_before != 0)
    UpdateServiceTimes(service_before);
  if (counted != counted_before || (changes_service && counted != 0))
    UpdateServiceTimes(target.service);
  if (changes_service) UpdateMeanLoad(service_before);
  UpdateMeanLoad(target.service);
  return true;
}

void target_directory::UpdateOutdated(const directory_target& target,
                                      target_index index) {
  const auto listed = std::find(outdated_.begin(), outdated_.end(), index);
  const bool is_outdated =
      target.outdated_set != 0 || target.previous_outdated_set != 0;
  if (is_outdated && listed == outdated_.end()) {
    outdated_.push_back(index);
  } else if (!is_outdated && listed != outdated_.end()) {
    outdated_.erase(listed);
  }
}

// Computes the median of the service and what depends on it.
void target_directory::UpdateServiceTimes(const service_digest& service) {
  const auto found = services_.find(service);
  if (found == services_.end()) return;
  known_service_times_.clear();
  for (const target_index index : found->second.targets) {
    const std::uint32_t counted = CountedServiceTime(targets_[index]);
    if (counted != 0) known_service_times_.push_back(counted);
  }
  found->second.service_time = MedianServiceTime(&known_service_times_);
  for (const target_index index : found->second.targets) {
    directory_target& target = targets_[index];
    target.relative_service_time =
        RelativeServiceTime(target.service_time, found->second.service_time);
  }
}

void target_directory::UpdateMeanLoad(const service_digest& service) {
  const auto found = services_.find(service);
  if (found == services_.end()) return;
  std::uint64_t load = 0;
  std::uint64_t slots = 0;
  for (const target_index index : found->second.targets) {
    const directory_target& target = targets_[index];
    if (!target.AcceptsOpenings()) continue;
    load += target.load;
    slots += target.slots;
  }
  found->second.load =
      slots == 0 ? 0.0 : static_cast<double>(load) / static_cast<double>(slots);
}

double target_directory::MeanLoad(const service_digest& service) const {
  const auto found = services_.find(service);
  return found == services_.end() ? 0.0 : found->second.load;
}

double target_directory::RelativeTo(const service_digest& service,
                                    std::uint32_t service_time) const {
  const auto found = services_.find(service);
  return found == services_.end()
             ? 1.0
             : RelativeServiceTime(service_time, found->second.service_time);
}

void target_directory::SetRules(const placement_rules& rules) {
  if (rules.revision <= rules_.revision) return;
  rules_ = rules;
  cold_limits_.clear();
  for (const cold_limit& limit : rules.cold_limits)
    cold_limits_[DigestService(limit.service)] = limit.openings_per_second;
  for (directory_target& target : targets_) ApplyRules(&target);
}

void target_directory::ApplyRules(directory_target* target) const {
  if (rules_.revision == 0) return;
  target->evacuated = rules_.IsEvacuated(target->zone);
  const auto limit = cold_limits_.find(target->service);
  target->cold_limit =
      ColdOpeningsPerSecond(limit == cold_limits_.end() ? 0.0 : limit->second);
}

target_index target_directory::Find(const endpoint& where) const {
  const auto found = indices_.find(where);
  return found == indices_.end() ? kNoTargetIndex : found->second;
}

void target_directory::RemoveFromService(const directory_target& target,
                                         target_index index) {
  const auto found = services_.find(target.service);
  if (found == services_.end()) return;
  std::vector<target_index>& listed = found->second.targets;
  listed.erase(std::remove(listed.begin(), listed.end(), index), listed.end());
  if (listed.empty()) services_.erase(found);
}

bool target_directory::IsListedUnder(const directory_target& target,
                                     const std::string& service) const {
  const auto found = services_.find(target.service);
  return found != services_.end() && found->second.name == service;
}

bool target_directory::MayOwn(const directory_target& target,
                              time_point now) const {
  // The daemon found no target and has had none since its start.
  if (target.condition == target_condition::kAbsent && target.last_start == 0)
    return false;
  // The daemon ended before a target's first report. No target ran before it,
  // and no earlier start of it is known to have had one.
  if (target.condition == target_condition::kUnreported &&
      target.liveness == node_liveness::kSilent && target.previous_start == 0 &&
      !target.may_have_target)
    return false;
  if (target.liveness != node_liveness::kGone) return true;
  // The daemon left, but its target may still run.
  return !target.HasEnded(target.last_start) &&
         now - target.last_update < max_flow_age_;
}

std::vector<service_digest> target_directory::Services() const {
  std::vector<service_digest> digests;
  digests.reserve(services_.size());
  for (const auto& [digest, listed] : services_) digests.push_back(digest);
  std::sort(digests.begin(), digests.end());
  return digests;
}

void target_directory::RankOwners(std::uint64_t flow,
                                  const service_digest& service,
                                  std::size_t most, time_point now,
                                  std::vector<target_index>* out) {
  Rank(
      flow, service, most,
      [&](const directory_target& target) {
        return target.liveness == node_liveness::kAlive && MayOwn(target, now);
      },
      out);
}

const owner_search& target_directory::ListOwners(const steering_header& header,
                                                 time_point now) {
  search_.alive.clear();
  search_.silent.clear();
  std::size_t longest = 0;
  for (std::size_t at = 0; at < header.service_count; ++at) {
    Rank(
        header.flow, header.services[at], kAll,
        [&](const directory_target& target) { return MayOwn(target, now); },
        &owners_by_service_[at]);
    longest = std::max(longest, owners_by_service_[at].size());
  }
  // Interleaves the services by rank: the opening went to a target of a low
  // rank, but at that time the weights may have selected any of the services.
  for (std::size_t rank = 0; rank < longest; ++rank) {
    for (std::size_t at = 0; at < header.service_count; ++at) {
      if (rank >= owners_by_service_[at].size()) continue;
      const target_index index = owners_by_service_[at][rank];
      const bool alive = targets_[index].liveness == node_liveness::kAlive;
      (alive ? search_.alive : search_.silent).push_back(index);
    }
  }
  return search_;
}

std::size_t target_directory::FirstStep(const steering_header& header,
                                        const endpoint& self) const {
  const std::vector<target_index>& alive = search_.alive;
  for (std::size_t at = 0; at < alive.size(); ++at) {
    const directory_target& target = targets_[alive[at]];
    const bool begins = !FitsSearch() && header.visit_count > 0
                            ? target.node == header.visits[0]
                            : target.where == self;
    if (begins) return at + 1;
  }
  return 0;
}

bool target_directory::IsHeadVisited(const steering_header& header) const {
  const auto begin = search_.alive.begin();
  const std::size_t head = kSearchHead * header.service_count;
  return std::all_of(begin, begin + static_cast<std::ptrdiff_t>(head),
                     [&](target_index index) {
                       return header.HasVisited(targets_[index].node);
                     });
}

target_index target_directory::NextOwner(const steering_header& header,
                                         const endpoint& self,
                                         time_point now) const {
  const auto visited = [&](target_index index) {
    return targets_[index].where == self ||
           header.HasVisited(targets_[index].node);
  };
  const std::vector<target_index>& alive = search_.alive;
  if (!FitsSearch()) {
    const std::size_t head = kSearchHead * header.service_count;
    for (std::size_t at = 0; at < head; ++at) {
      if (!visited(alive[at])) return alive[at];
    }
  }
  const std::size_t start = FirstStep(header, self);
  for (std::size_t step = 0; step < alive.size(); ++step) {
    const target_index index = alive[(start + step) % alive.size()];
    if (!visited(index)) return index;
  }
  // A search ends at a dead target, so silent targets are rotated over time and
  // each retransmission tries another one.
  const std::vector<target_index>& silent = search_.silent;
  const auto offset =
      static_cast<std::size_t>(now.time_since_epoch() / kSilentRotation);
  for (std::size_t step = 0; step < silent.size(); ++step) {
    const target_index index = silent[(offset + step) % silent.size()];
    if (!visited(index)) return index;
  }
  return kNoTargetIndex;
}

bool target_directory::AllSettled(time_point now) const {
  for (const auto* list : {&search_.alive, &search_.silent}) {
    for (const target_index index : *list) {
      if (now - targets_[index].known_since < kStartSettleTime) return false;
    }
  }
  return true;
}

target_index target_directory::NextInPart(const steering_header& header,
                                          const endpoint& self) const {
  assert(header.parts > 0);
  for (const auto* list : {&search_.alive, &search_.silent}) {
    for (const target_index index : *list) {
      const directory_target& target = targets_[index];
      if (HashPair(target.hash, header.flow) % header.parts != header.part)
        continue;
      if (target.where == self || target.where == header.collector) continue;
      if (!header.HasVisited(target.node)) return index;
    }
  }
  return kNoTargetIndex;
}

bool target_directory::AllAmong(const std::set<std::uint64_t>& nodes) const {
  std::set<std::uint64_t> found;
  for (const auto* list : {&search_.alive, &search_.silent}) {
    for (const target_index index : *list) {
      const std::uint64_t node = targets_[index].node;
      if (nodes.count(node) == 0 || !found.insert(node).second) return false;
    }
  }
  return !found.empty();
}

bool target_directory::AllVisited(const steering_header& header) const {
  std::array<std::uint64_t, kMaxSteeringVisits> nodes{};
  if (search_.size() > nodes.size()) return false;
  std::size_t count = 0;
  for (const auto* list : {&search_.alive, &search_.silent}) {
    for (const target_index index : *list) {
      const std::uint64_t node = targets_[index].node;
      if (!header.HasVisited(node)) return false;
      nodes[count++] = node;
    }
  }
  auto* end = nodes.begin() + count;
  std::sort(nodes.begin(), end);
  return std::adjacent_find(nodes.begin(), end) == end;
}

}  // namespace tamaracklatch
