// Applies submissions, document sets and membership changes in log order.
#include "tamaracklatch/control/control_state.h"

#include <fmt/format.h>

#include <algorithm>
#include <cassert>
#include <functional>
#include <limits>

#include "tamaracklatch/control/document_set.h"
#include "tamaracklatch/control/view_codec.h"

namespace tamaracklatch {
namespace {

// Restore also reads format 1, which has no document set, format 2, which has
// no known nodes, and format 3, which has no placement rules.
constexpr std::uint64_t kSnapshotFormat = 4;
// Targets that may be members at once; joins above it are refused.
constexpr std::size_t kMaxTargets = 1U << 20U;

// Limits for reading a snapshot. They can be wide because a snapshot comes from
// a file that this VM has synced, or from another voter.
wire_limits SnapshotLimits() {
  wire_limits limits;
  limits.max_bytes = std::size_t{1} << 30U;
  limits.max_elements = std::size_t{1} << 21U;
  limits.max_text = kMaxSetSourceBytes;
  return limits;
}

const history_entry* FindVersion(const std::deque<history_entry>& history,
                                 std::uint64_t version) {
  for (const history_entry& entry : history) {
    if (entry.version == version) return &entry;
  }
  return nullptr;
}

void Refuse(command_outcome* outcome, result_code code, std::string detail) {
  outcome->code = code;
  outcome->detail = std::move(detail);
}

// Whether rules with these lists can be distributed under any revision. Without
// the highest revision in the size, an order that ends an evacuation could be
// refused because the encoded revision has grown.
bool FitsDistribution(placement_rules rules) {
  rules.revision = std::numeric_limits<std::uint64_t>::max();
  return EncodePlacementRules(rules).size() <= kMaxEncodedRulesBytes;
}

// Compares what an announcement of the same start can change.
bool HasEqualAttributes(const target_record& left, const target_record& right) {
  return left.zone == right.zone && left.packets == right.packets &&
         left.relay == right.relay && left.requests == right.requests &&
         left.capacity == right.capacity && left.state == right.state;
}

// The record for an announced target, without its id and service.
target_record MakeRecord(const target_announcement& announcement) {
  target_record target;
  target.started = announcement.key.started;
  target.vm = announcement.key.vm;
  target.zone = announcement.zone;
  target.packets = announcement.packets;
  target.relay = announcement.relay;
  target.requests = announcement.requests;
  target.capacity = announcement.capacity;
  target.state =
      announcement.draining ? target_state::kDraining : target_state::kServing;
  return target;
}

}  // namespace

control_state::control_state(control_listener* listener)
    : listener_(listener) {}

void control_state::Apply(revision at, std::string_view command) {
  assert(at > applied_);
  applied_ = at;
  command_outcome outcome;
  revision_changes changes;
  changes.at = at;
  const auto decoded = DecodeCommand(command);
  if (decoded) {
    outcome.tag = decoded->tag;
    std::visit([&](const auto& body) { Perform(body, &outcome, &changes); },
               decoded->body);
  } else {
    Refuse(&outcome, result_code::kCommandMalformed,
           "the log entry is not a valid command");
  }
  if (!changes.changes.empty()) view_.at = at;
  if (listener_ != nullptr) listener_->OnApplied(outcome, changes);
}

// --- Submissions ---

const control_state::service_state* control_state::FindServiceState(
    const std::string& service) const {
  const auto found = services_.find(service);
  return found == services_.end() ? nullptr : &found->second;
}

bool control_state::AreAddressesAvailable(const service_document& document,
                                          service_id owner,
                                          std::string* taken) const {
  for (const service_address& address : document.addresses) {
    const auto found = address_owners_.find({address.where, address.protocol});
    if (found == address_owners_.end() || found->second == owner) continue;
    *taken = ToString(address.where);
    return false;
  }
  return true;
}

command_outcome control_state::Evaluate(
    const submit_document& submission) const {
  command_outcome outcome;
  std::vector<failure> failures;
  const auto document = ParseDocument(submission.canonical_text, &failures);
  if (!document) {
    Refuse(&outcome, failures.front().code, failures.front().reason);
    return outcome;
  }
  outcome.service = document->service;
  outcome.version = document->version;
  const service_state* known = FindServiceState(document->service);
  const std::uint64_t newest =
      known == nullptr ? 0 : known->history.back().version;
  outcome.newest_version = newest;

  // A resend of the newest or of an earlier version gets the same answer as
  // before. Only the newest version's text is kept; an earlier one is compared
  // by its hash alone.
  const std::uint64_t hash = DocumentHash(*document);
  const history_entry* same =
      known == nullptr ? nullptr
                       : FindVersion(known->history, document->version);
  const bool is_newest = same != nullptr && same->version == newest;
  if (same != nullptr && same->hash == hash &&
      (!is_newest || known->canonical_text == submission.canonical_text)) {
    outcome.accepted = same->accepted;
    return outcome;
  }
  if (is_newest) {
    outcome.winner_hash = same->hash;
    Refuse(
        &outcome, result_code::kVersionConflict,
        fmt::format("version {} was already accepted with content hash {:016x}",
                    newest, same->hash));
    return outcome;
  }
  if (document->version <= newest) {
    if (same != nullptr) outcome.winner_hash = same->hash;
    Refuse(&outcome, result_code::kVersionStale,
           fmt::format("version {} is below the accepted version {}",
                       document->version, newest));
    return outcome;
  }
  if (document->version != newest + 1) {
    Refuse(
        &outcome, result_code::kVersionGap,
        fmt::format("version {} is more than one above the accepted version {}",
                    document->version, newest));
    return outcome;
  }
  std::string taken;
  const service_id owner = known == nullptr ? service_id{} : known->id;
  if (!AreAddressesAvailable(*document, owner, &taken)) {
    Refuse(&outcome, result_code::kAddressTaken,
           fmt::format("{} belongs to another service", taken));
  }
  return outcome;
}

void control_state::Perform(const submit_document& body,
                            command_outcome* outcome,
                            revision_changes* changes) {
  const std::uint64_t tag = outcome->tag;
  *outcome = Evaluate(body);
  outcome->tag = tag;
  const bool is_resend = outcome->accepted.value != 0;
  if (outcome->code != result_code::kOk || is_resend) return;

  std::vector<failure> failures;
  const auto document = ParseDocument(body.canonical_text, &failures);
  assert(document.has_value());
  service_state& known = services_[document->service];
  if (known.id.value == 0) {
    known.id = service_id{changes->at.value};
  } else {
    for (const service_address& address :
         view_.services.at(known.id).document.addresses)
      address_owners_.erase({address.where, address.protocol});
  }
  for (const service_address& address : document->addresses)
    address_owners_[{address.where, address.protocol}] = known.id;
  known.canonical_text = body.canonical_text;
  known.history.push_back({document->version, DocumentHash(*document),
                           changes->at, body.submitter});
  if (known.history.size() > kMaxHistory) known.history.pop_front();

  outcome->accepted = changes->at;
  outcome->newest_version = document->version;
  const service_record record{known.id, *document};
  ApplyChange(service_put{record}, changes);
  DrainIneligible(record, changes);
}

// Drains the targets that the new document no longer makes eligible, and puts
// those back to serving that it makes eligible again. A target that drains for
// another reason stays draining.
void control_state::DrainIneligible(const service_record& service,
                                    revision_changes* changes) {
  for (target_record target : view_.TargetsOf(service.id)) {
    target_membership& membership = memberships_.at(target.id);
    const bool eligible =
        IsEligible(service.document, target.zone, target.packets.address);
    const bool serving = target.state == target_state::kServing;
    if (eligible == serving) continue;
    if (eligible && !membership.drained_by_document) continue;
    membership.drained_by_document = !eligible;
    target.state = eligible ? target_state::kServing : target_state::kDraining;
    ApplyChange(target_put{target}, changes);
  }
}

std::vector<history_entry> control_state::History(
    const std::string& service) const {
  const service_state* known = FindServiceState(service);
  if (known == nullptr) return {};
  return {known->history.begin(), known->history.end()};
}

// --- The document set ---

void control_state::Perform(const replace_document_set& body,
                            command_outcome* outcome,
                            revision_changes* changes) {
  const auto set = DecodeDocumentSet(body.encoded_set);
  if (!set || set->version != body.version) {
    return Refuse(outcome, result_code::kCommandMalformed,
                  "the document set is malformed or has another version");
  }
  if (!set_ || body.version > set_->version) {
    if (set->cold_limits != rules_.cold_limits) {
      placement_rules next = rules_;
      next.cold_limits = set->cold_limits;
      next.revision = changes->at.value;
      if (!FitsDistribution(next)) {
        return Refuse(outcome, result_code::kSetInvalid,
                      "the cold limits and the evacuated zones together are "
                      "too large to be distributed");
      }
      rules_ = std::move(next);
    }
    set_ = std::make_shared<const accepted_set>(
        accepted_set{body.version, changes->at, body.encoded_set,
                     body.source_text, body.submitter});
    outcome->set_accepted = true;
  }
  outcome->set_version = set_->version;
}

// --- Known nodes ---

void control_state::Perform(const known_nodes_batch& body, command_outcome*,
                            revision_changes* changes) {
  nodes_.Apply(changes->at, body);
}

// --- Evacuation of zones ---

void control_state::Perform(const set_zone_evacuation& body,
                            command_outcome* outcome,
                            revision_changes* changes) {
  if (body.zone.empty() || body.zone.size() > kMaxOrderedZoneBytes) {
    return Refuse(outcome, result_code::kCommandMalformed,
                  "the zone's name is empty or too long");
  }
  if (rules_.IsEvacuated(body.zone) != body.evacuated) {
    placement_rules next = rules_;
    auto& zones = next.evacuated_zones;
    const auto place = std::lower_bound(zones.begin(), zones.end(), body.zone);
    if (body.evacuated) {
      zones.insert(place, body.zone);
    } else {
      zones.erase(place);
    }
    next.revision = changes->at.value;
    if (!FitsDistribution(next)) {
      return Refuse(outcome, result_code::kRulesTooLarge,
                    "too many evacuated zones and cold limits");
    }
    rules_ = std::move(next);
  }
  outcome->rules_revision = rules_.revision;
}

// --- Membership ---

void control_state::Perform(const membership_batch& body,
                            command_outcome* outcome,
                            revision_changes* changes) {
  for (const target_announcement& join : body.joins)
    Join(join, outcome, changes);
  for (const target_key& key : body.drains) Drain(key, changes);
  for (const target_key& key : body.losses) {
    const auto id = FindTarget(key);
    if (id) Remove(*id, changes);
  }
}

void control_state::Join(const target_announcement& join,
                         command_outcome* outcome, revision_changes* changes) {
  const auto refuse = [&](result_code code, std::uint64_t generation) {
    outcome->refused.push_back({join.key, code, generation});
  };
  const service_state* service = FindServiceState(join.key.service);
  if (service == nullptr) {
    refuse(result_code::kTargetServiceUnknown, 0);
    return;
  }
  const service_document& document = view_.services.at(service->id).document;
  if (!IsEligible(document, join.zone, join.packets.address)) {
    refuse(result_code::kTargetNotEligible, 0);
    return;
  }
  target_record announced = MakeRecord(join);
  announced.service = service->id;

  // The VM's previous target in this service, and the target of another VM or
  // service that has the announced packet endpoint. The latter, and another
  // start of the VM's target, are replaced only by a higher generation.
  const auto at_vm = targets_by_vm_.find({join.key.vm, service->id});
  const auto at_endpoint = packet_endpoints_.find(join.packets);
  std::optional<target_id> previous;
  std::optional<target_id> conflicting;
  if (at_vm != targets_by_vm_.end()) previous = at_vm->second;
  if (at_endpoint != packet_endpoints_.end() && at_endpoint->second != previous)
    conflicting = at_endpoint->second;
  const bool same_start =
      previous && view_.targets.at(*previous).started == join.key.started;
  if (previous && !same_start &&
      memberships_.at(*previous).generation >= join.generation) {
    refuse(result_code::kTargetSuperseded,
           memberships_.at(*previous).generation);
    return;
  }
  if (conflicting &&
      memberships_.at(*conflicting).generation >= join.generation) {
    refuse(result_code::kTargetSuperseded,
           memberships_.at(*conflicting).generation);
    return;
  }
  if (conflicting) Remove(*conflicting, changes);
  if (same_start) {
    Update(*previous, announced, join.generation, changes);
    return;
  }
  if (previous) Remove(*previous, changes);
  if (view_.targets.size() >= kMaxTargets) {
    refuse(result_code::kLeaseTableFull, 0);
    return;
  }
  announced.id = AllocateSlot();
  memberships_[announced.id].generation = join.generation;
  targets_by_vm_[{join.key.vm, service->id}] = announced.id;
  PutTarget(announced, changes);
}

// Takes in a repeated announcement of a start that is already a member.
void control_state::Update(target_id id, target_record announced,
                           std::uint64_t generation,
                           revision_changes* changes) {
  const target_record& before = view_.targets.at(id);
  target_membership& membership = memberships_.at(id);
  // A drain lasts for the rest of the start, except one that only the document
  // caused: an older announcement may arrive after the drain.
  if (before.state == target_state::kDraining &&
      !membership.drained_by_document)
    announced.state = target_state::kDraining;
  membership.generation = std::max(membership.generation, generation);
  announced.id = id;
  if (HasEqualAttributes(before, announced)) return;
  membership.drained_by_document = false;
  PutTarget(announced, changes);
}

void control_state::Drain(const target_key& key, revision_changes* changes) {
  const auto id = FindTarget(key);
  if (!id) return;
  target_record target = view_.targets.at(*id);
  memberships_.at(*id).drained_by_document = false;
  if (target.state == target_state::kDraining) return;
  target.state = target_state::kDraining;
  ApplyChange(target_put{target}, changes);
}

void control_state::PutTarget(const target_record& target,
                              revision_changes* changes) {
  const auto before = view_.targets.find(target.id);
  if (before != view_.targets.end())
    packet_endpoints_.erase(before->second.packets);
  packet_endpoints_[target.packets] = target.id;
  ApplyChange(target_put{target}, changes);
}

void control_state::Remove(target_id id, revision_changes* changes) {
  const target_record& target = view_.targets.at(id);
  targets_by_vm_.erase({target.vm, target.service});
  const auto at_endpoint = packet_endpoints_.find(target.packets);
  if (at_endpoint != packet_endpoints_.end() && at_endpoint->second == id)
    packet_endpoints_.erase(at_endpoint);
  memberships_.erase(id);
  slots_[id.index].used = false;
  free_slots_.push_back(id.index);
  std::push_heap(free_slots_.begin(), free_slots_.end(), std::greater<>());
  ApplyChange(target_removed{id}, changes);
}

void control_state::ApplyChange(view_change change, revision_changes* changes) {
  // Apply raises the view's revision once the whole entry is applied.
  const revision before = view_.at;
  view_.Apply({changes->at, {change}});
  view_.at = before;
  changes->changes.push_back(std::move(change));
}

std::optional<target_id> control_state::FindTarget(
    const target_key& key) const {
  const service_state* service = FindServiceState(key.service);
  if (service == nullptr) return std::nullopt;
  const auto found = targets_by_vm_.find({key.vm, service->id});
  if (found == targets_by_vm_.end()) return std::nullopt;
  if (view_.targets.at(found->second).started != key.started)
    return std::nullopt;
  return found->second;
}

target_id control_state::AllocateSlot() {
  std::uint32_t index = 0;
  if (free_slots_.empty()) {
    index = static_cast<std::uint32_t>(slots_.size());
    slots_.emplace_back();
  } else {
    std::pop_heap(free_slots_.begin(), free_slots_.end(), std::greater<>());
    index = free_slots_.back();
    free_slots_.pop_back();
  }
  target_slot& slot = slots_[index];
  assert(!slot.used);
  slot.used = true;
  ++slot.sequence;
  return {index, slot.sequence};
}

// --- Snapshots ---

std::string control_state::Snapshot() const {
  wire_writer writer;
  writer.Array(9);
  writer.Number(kSnapshotFormat);
  writer.Write(applied_);
  writer.Write(view_.at);
  writer.Array(services_.size());
  for (const auto& [name, service] : services_) {
    writer.Array(3);
    writer.Write(service.id);
    writer.Text(service.canonical_text);
    writer.Array(service.history.size());
    for (const history_entry& entry : service.history) {
      writer.Array(4);
      writer.Number(entry.version);
      writer.Number(entry.hash);
      writer.Write(entry.accepted);
      writer.Text(entry.submitter);
    }
  }
  writer.Array(view_.targets.size());
  for (const auto& [id, target] : view_.targets) {
    const target_membership& membership = memberships_.at(id);
    writer.Array(3);
    WriteTarget(&writer, target);
    writer.Number(membership.generation);
    writer.Flag(membership.drained_by_document);
  }
  writer.Array(slots_.size());
  for (const target_slot& slot : slots_) writer.Number(slot.sequence);
  writer.Array(set_ ? 5 : 0);
  if (set_) {
    writer.Number(set_->version);
    writer.Write(set_->accepted);
    writer.Text(set_->encoded_set);
    writer.Text(set_->source_text);
    writer.Text(set_->submitter);
  }
  nodes_.Write(&writer);
  writer.Text(EncodePlacementRules(rules_));
  return std::string(writer.bytes());
}

bool control_state::Restore(std::string_view bytes, failure* last_failure) {
  const auto fail = [&](const char* reason) {
    SetFailure(last_failure, result_code::kSnapshotMalformed, reason);
    return false;
  };
  wire_reader reader(bytes, SnapshotLimits());
  control_state restored(listener_);
  reader.Array();
  const std::uint64_t format = reader.Number();
  if (format == 0 || format > kSnapshotFormat)
    return fail("unknown snapshot format");
  reader.Read(&restored.applied_);
  reader.Read(&restored.view_.at);
  const std::size_t services = reader.Array();
  for (std::size_t i = 0; i < services && reader.ok(); ++i) {
    service_state service;
    reader.Array();
    reader.Read(&service.id);
    service.canonical_text = reader.Text();
    const std::size_t entries = reader.Array();
    for (std::size_t j = 0; j < entries && reader.ok(); ++j) {
      history_entry entry;
      reader.Array();
      entry.version = reader.Number();
      entry.hash = reader.Number();
      reader.Read(&entry.accepted);
      entry.submitter = reader.Text();
      reader.Leave();
      service.history.push_back(std::move(entry));
    }
    reader.Leave();
    reader.Leave();
    std::vector<failure> failures;
    const auto document = ParseDocument(service.canonical_text, &failures);
    if (!document || service.history.empty())
      return fail("a service has no valid document or no history");
    restored.view_.services[service.id] = {service.id, *document};
    restored.services_[document->service] = std::move(service);
  }
  reader.Leave();
  const std::size_t targets = reader.Array();
  for (std::size_t i = 0; i < targets && reader.ok(); ++i) {
    reader.Array();
    const target_record target = ReadTarget(&reader);
    target_membership membership;
    membership.generation = reader.Number();
    membership.drained_by_document = reader.Flag();
    reader.Leave();
    if (restored.view_.services.count(target.service) == 0)
      return fail("a target names an unknown service");
    restored.view_.targets[target.id] = target;
    restored.memberships_[target.id] = membership;
  }
  reader.Leave();
  const std::size_t slots = reader.Array();
  for (std::size_t i = 0; i < slots && reader.ok(); ++i) {
    target_slot slot;
    slot.sequence = static_cast<std::uint32_t>(reader.NumberUpTo(UINT32_MAX));
    restored.slots_.push_back(slot);
  }
  reader.Leave();
  if (format > 1 && reader.Array() > 0) {
    accepted_set held;
    held.version = reader.Number();
    reader.Read(&held.accepted);
    held.encoded_set = reader.Text();
    held.source_text = reader.Text();
    held.submitter = reader.Text();
    const auto set = DecodeDocumentSet(held.encoded_set);
    if (!set || set->version != held.version)
      return fail("the document set is malformed or has another version");
    restored.set_ = std::make_shared<const accepted_set>(std::move(held));
  }
  if (format > 1) reader.Leave();
  if (format > 2) restored.nodes_.Read(&reader);
  if (format > 3) {
    auto rules = DecodePlacementRules(reader.Text(), last_failure);
    if (!rules) return fail("the placement rules are malformed");
    restored.rules_ = std::move(*rules);
  }
  reader.Leave();
  if (!reader.ok()) return fail("malformed bytes");
  for (const auto& [id, target] : restored.view_.targets) {
    if (id.index >= restored.slots_.size())
      return fail("a target's index is not in the slot table");
  }
  restored.RebuildIndexes();
  *this = std::move(restored);
  return true;
}

void control_state::RebuildIndexes() {
  for (const auto& [id, service] : view_.services) {
    for (const service_address& address : service.document.addresses)
      address_owners_[{address.where, address.protocol}] = id;
  }
  for (const auto& [id, target] : view_.targets) {
    slots_[id.index].used = true;
    targets_by_vm_[{target.vm, target.service}] = id;
    packet_endpoints_[target.packets] = id;
  }
  for (std::uint32_t i = 0; i < slots_.size(); ++i) {
    if (!slots_[i].used) free_slots_.push_back(i);
  }
  std::make_heap(free_slots_.begin(), free_slots_.end(), std::greater<>());
}

}  // namespace tamaracklatch
