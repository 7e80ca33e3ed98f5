// Routing by the cached owner, else by the first candidate.
#include "tamaracklatch/flow/flow_router.h"

#include <cassert>

#include "flow/owner_cache.h"
#include "tamaracklatch/core/hash.h"

namespace tamaracklatch {
namespace {

constexpr std::chrono::seconds kCacheTick{4};

// How long after a change the earlier owners are listed. Later the target
// daemons know of them by their reports.
constexpr std::chrono::seconds kSettleTime{10};

// Targets remembered as gone ahead of the view.
constexpr std::size_t kMaxGone = 256;

std::uint64_t CacheHash(service_id service, std::uint64_t flow_hash) {
  return flow_hash ^ service.value * 0x9e3779b97f4a7c15ULL;
}

candidate CandidateOf(const placed_target& target) {
  return {target.id, target.started, target.packets};
}

void AddOnce(const placed_target& target, envelope* what) {
  if (what->IndexOf(target.id) != kNoCandidate) return;
  if (!what->Add(CandidateOf(target))) what->exhaustive = false;
}

}  // namespace

std::size_t flow_router::address_hash::operator()(
    const address_key& key) const noexcept {
  const std::uint64_t tail = std::uint64_t{key.where.port} << 8U |
                             static_cast<std::uint8_t>(key.protocol);
  return HashBytes(key.where.address.bytes.data(),
                   key.where.address.bytes.size(), tail);
}

flow_router::flow_router(const flow_router_settings& settings)
    : settings_(settings),
      cache_(std::make_unique<owner_cache>(
          settings.max_cached_flows,
          static_cast<std::uint32_t>(settings.cached_for / kCacheTick))) {}

flow_router::~flow_router() = default;

void flow_router::Reset(const cluster_view& view, time_point now) {
  table_.Reset(view, now);
  gone_.clear();
  ListAddresses();
}

void flow_router::Apply(const revision_changes& step, time_point now) {
  table_.Apply(step, now);
  for (const view_change& change : step.changes) {
    if (const auto* left = std::get_if<target_removed>(&change))
      gone_.erase(left->target);
  }
  for (const view_change& change : step.changes) {
    if (std::holds_alternative<service_put>(change) ||
        std::holds_alternative<service_removed>(change)) {
      ListAddresses();
      return;
    }
  }
}

void flow_router::ListAddresses() {
  addresses_.clear();
  for (const auto& [id, service] : table_.services()) {
    for (const service_address& each : service.record.document.addresses)
      addresses_[{each.where, each.protocol}] = {id, &service};
  }
}

bool flow_router::IsGone(target_id id) const {
  return !gone_.empty() && gone_.count(id) > 0;
}

// Lists the current candidates, then the earlier owners.
void flow_router::ListCandidates(const placed_service& service,
                                 std::uint64_t hash, time_point now,
                                 envelope* what) const {
  const service_placement& placement = *service.current;
  const bucket_candidates two =
      placement.CandidatesOf(placement.BucketOf(hash));
  what->candidate_count = 0;
  for (const std::uint16_t index : {two.first, two.second}) {
    if (index == kNoTarget) continue;
    const placed_target& target = placement.targets()[index];
    if (!IsGone(target.id)) AddOnce(target, what);
  }
  if (service.past.empty()) return;
  for (const placed_target* owner :
       PastCandidates(service, hash, now - kSettleTime)) {
    if (!IsGone(owner->id)) AddOnce(*owner, what);
  }
}

// Another target than those that are gone, for a flow without a candidate.
const placed_target* flow_router::AnyTarget(const placed_service& service,
                                            std::uint64_t hash) const {
  const std::vector<placed_target>& targets = service.current->targets();
  for (std::size_t step = 0; step < targets.size(); ++step) {
    const placed_target& target =
        targets[((hash >> 32U) + step) % targets.size()];
    if (!IsGone(target.id)) return &target;
  }
  return nullptr;
}

std::uint32_t flow_router::Ticks(time_point now) const {
  return static_cast<std::uint32_t>(now.time_since_epoch() / kCacheTick);
}

result_code flow_router::Route(const packet& what, time_point now,
                               routed_packet* out) {
  const endpoint destination{what.key.destination, what.key.destination_port};
  const auto found = addresses_.find({destination, what.key.protocol});
  if (found == addresses_.end()) {
    counters_.refused.Add(result_code::kAddressUnknown);
    return result_code::kAddressUnknown;
  }
  const placed_service& service = *found->second.service;
  const std::uint64_t hash = HashFlow(what.key);

  envelope* sent = &out->what;
  sent->kind = envelope_kind::kPacket;
  sent->opens = what.opens;
  sent->must_open = false;
  sent->declined = 0;
  sent->exhaustive = true;
  sent->service = found->second.id;
  sent->at = service.changed_at;
  sent->key = what.key;
  sent->origin = settings_.self;
  sent->hops = 0;
  sent->load = 0;
  sent->best = kNoCandidate;
  sent->visited = 0;
  sent->arbiter = kNoCandidate;
  sent->payload = what.bytes;
  ListCandidates(service, hash, now, sent);

  const placed_target* to = nullptr;
  const std::optional<target_id> owner =
      cache_->Find(CacheHash(sent->service, hash), Ticks(now));
  if (owner) to = service.current->Find(*owner);
  sent->wants_hint = to == nullptr;
  if (to != nullptr) {
    ++counters_.cached;
  } else if (sent->candidate_count > 0) {
    to = service.current->Find(sent->candidates[0].id);
  } else if (what.opens != flow_opening::kYes || !gone_.empty()) {
    // No candidate is left, but any target daemon can look for the owner.
    to = AnyTarget(service, hash);
  }
  if (to == nullptr) {
    counters_.refused.Add(result_code::kNoOpenTarget);
    return result_code::kNoOpenTarget;
  }
  sent->target = to->id;
  sent->started = to->started;
  out->to = to->packets;
  out->relay = to->relay;
  ++counters_.routed;
  return result_code::kOk;
}

router_action flow_router::OnEnvelope(const envelope& what, time_point now) {
  const std::uint64_t hash = CacheHash(what.service, HashFlow(what.key));
  switch (what.kind) {
    case envelope_kind::kHint:
      ++counters_.hints;
      cache_->Put(hash, what.target, Ticks(now));
      return nothing_to_send{};
    case envelope_kind::kForget:
      // Ids are never used again, so it stays gone. The view follows.
      cache_->Remove(hash, what.target);
      if (gone_.size() < kMaxGone) gone_.insert(what.target);
      return nothing_to_send{};
    case envelope_kind::kAnswer:
      return send_to_caller{what.key, what.payload};
    case envelope_kind::kReset:
      cache_->Remove(hash, what.target);
      return reset_caller{what.key, what.target, what.payload};
    case envelope_kind::kPacket:
    case envelope_kind::kReport:
      break;
  }
  counters_.refused.Add(result_code::kEnvelopeMalformed);
  return nothing_to_send{result_code::kEnvelopeMalformed};
}

std::size_t flow_router::cached_flows() const { return cache_->size(); }

std::size_t flow_router::CacheBytes() const { return cache_->MemoryBytes(); }

}  // namespace tamaracklatch
