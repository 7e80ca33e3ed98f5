// Routes a packet to the cached owner of its flow, else to the first candidate.
#include "tamaracklatch/flow/flow_router.h"

#include <cassert>

#include "flow/owner_cache.h"
#include "tamaracklatch/core/hash.h"

namespace tamaracklatch {
namespace {

// Unit of the cache's ticks.
constexpr std::chrono::seconds kCacheTick{4};

// After a change, the earlier owners are listed as candidates for this long.
// Later the target daemons know them from the held_buckets reports.
constexpr std::chrono::seconds kSettleTime{10};

// Maximum number of targets recorded as absent before the view removes them; a
// further one is not recorded.
constexpr std::size_t kMaxAbsentTargets = 256;

// The key of the owner cache; the factor keeps services apart.
std::uint64_t CacheHash(service_id service, std::uint64_t flow_hash) {
  return flow_hash ^ service.value * 0x9e3779b97f4a7c15ULL;
}

candidate CandidateOf(const placed_target& target) {
  return {target.id, target.started, target.packets};
}

void AddOnce(const placed_target& target, envelope* message) {
  if (message->IndexOf(target.id) != kNoCandidate) return;
  if (!message->Add(CandidateOf(target))) message->exhaustive = false;
}

}  // namespace

std::size_t flow_router::address_hash::operator()(
    const address_key& key) const noexcept {
  const std::uint64_t tail = std::uint64_t{key.destination.port} << 8U |
                             static_cast<std::uint8_t>(key.protocol);
  return HashBytes(key.destination.address.bytes.data(),
                   key.destination.address.bytes.size(), tail);
}

flow_router::flow_router(const flow_router_settings& settings)
    : settings_(settings),
      cache_(std::make_unique<owner_cache>(
          settings.max_cached_flows,
          static_cast<std::uint32_t>(settings.cache_idle_limit / kCacheTick))) {
}

flow_router::~flow_router() = default;

void flow_router::Reset(const cluster_view& view, time_point now) {
  table_.Reset(view, now);
  absent_targets_.clear();
  IndexAddresses();
}

void flow_router::Apply(const revision_changes& step, time_point now) {
  table_.Apply(step, now);
  for (const view_change& change : step.changes) {
    if (const auto* removed = std::get_if<target_removed>(&change))
      absent_targets_.erase(removed->target);
  }
  for (const view_change& change : step.changes) {
    if (std::holds_alternative<service_put>(change) ||
        std::holds_alternative<service_removed>(change)) {
      IndexAddresses();
      return;
    }
  }
}

void flow_router::IndexAddresses() {
  addresses_.clear();
  for (const auto& [id, service] : table_.services()) {
    for (const service_address& each : service.record.document.addresses)
      addresses_[{each.where, each.protocol}] = {id, &service};
  }
}

bool flow_router::IsAbsent(target_id id) const {
  return !absent_targets_.empty() && absent_targets_.count(id) > 0;
}

void flow_router::ListCandidates(const placed_service& service,
                                 std::uint64_t hash, time_point now,
                                 envelope* message) const {
  const service_placement& placement = *service.current;
  const bucket_candidates pair =
      placement.CandidatesOf(placement.BucketOf(hash));
  message->candidate_count = 0;
  for (const std::uint16_t index : {pair.first, pair.second}) {
    if (index == kNoTarget) continue;
    const placed_target& target = placement.targets()[index];
    if (!IsAbsent(target.id)) AddOnce(target, message);
  }
  if (service.past.empty()) return;
  for (const placed_target* owner :
       PastCandidates(service, hash, now - kSettleTime)) {
    if (!IsAbsent(owner->id)) AddOnce(*owner, message);
  }
}

const placed_target* flow_router::FallbackTarget(const placed_service& service,
                                                 std::uint64_t hash) const {
  const std::vector<placed_target>& targets = service.current->targets();
  for (std::size_t step = 0; step < targets.size(); ++step) {
    const placed_target& target =
        targets[((hash >> 32U) + step) % targets.size()];
    if (!IsAbsent(target.id)) return &target;
  }
  return nullptr;
}

std::uint32_t flow_router::CacheTick(time_point now) const {
  return static_cast<std::uint32_t>(now.time_since_epoch() / kCacheTick);
}

result_code flow_router::Route(const packet& received, time_point now,
                               routed_packet* out) {
  const endpoint destination{received.key.destination,
                             received.key.destination_port};
  const auto found = addresses_.find({destination, received.key.protocol});
  if (found == addresses_.end()) {
    counters_.refused.Add(result_code::kAddressUnknown);
    return result_code::kAddressUnknown;
  }
  const placed_service& service = *found->second.service;
  const std::uint64_t hash = HashFlow(received.key);

  envelope* sent = &out->message;
  sent->kind = envelope_kind::kPacket;
  sent->opens = received.opens;
  sent->must_open = false;
  sent->declined = 0;
  sent->exhaustive = true;
  sent->service = found->second.id;
  sent->at = service.changed_at;
  sent->key = received.key;
  sent->origin = settings_.self;
  sent->hops = 0;
  sent->load = 0;
  sent->best = kNoCandidate;
  sent->visited = 0;
  sent->arbiter = kNoCandidate;
  sent->payload = received.bytes;
  ListCandidates(service, hash, now, sent);

  const placed_target* to = nullptr;
  const std::optional<target_id> owner =
      cache_->Find(CacheHash(sent->service, hash), CacheTick(now));
  if (owner) to = service.current->Find(*owner);
  sent->wants_hint = to == nullptr;
  if (to != nullptr) {
    ++counters_.cached;
  } else if (sent->candidate_count > 0) {
    to = service.current->Find(sent->candidates[0].id);
  } else if (received.opens != flow_opening::kYes || !absent_targets_.empty()) {
    // No candidate is left, but any target daemon can search for the owner.
    to = FallbackTarget(service, hash);
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

router_action flow_router::OnEnvelope(const envelope& message, time_point now) {
  const std::uint64_t hash = CacheHash(message.service, HashFlow(message.key));
  switch (message.kind) {
    case envelope_kind::kHint:
      ++counters_.hints;
      cache_->Put(hash, message.target, CacheTick(now));
      return nothing_to_send{};
    case envelope_kind::kInvalidate:
      // Target ids are never reused, so the target stays absent until the view
      // removes it.
      cache_->Remove(hash, message.target);
      if (absent_targets_.size() < kMaxAbsentTargets)
        absent_targets_.insert(message.target);
      return nothing_to_send{};
    case envelope_kind::kAnswer:
      return send_to_caller{message.key, message.payload};
    case envelope_kind::kReset:
      cache_->Remove(hash, message.target);
      return reset_caller{message.key, message.target, message.payload};
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
