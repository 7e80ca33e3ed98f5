// flow_owner: view changes, received envelopes, and the actions that follow
// from a decision.
#include "tamaracklatch/flow/flow_owner.h"

#include <cassert>
#include <utility>

#include "flow/flow_owner_parts.h"
#include "flow/flow_table.h"

namespace tamaracklatch {

flow_owner::flow_owner(const flow_owner_settings& settings, time_point now,
                       event_listener* listener)
    : settings_(settings),
      listener_(listener),
      flows_(std::make_unique<flow_table>(TickOf(now))),
      forwarded_openings_(kForwardedOpeningEntries),
      pull_requested_at_(now),
      confirmed_before_(time_point::min()),
      reported_at_(now) {
  assert(settings_.service.value != 0);
  assert(settings_.self.sequence != 0);
}

flow_owner::~flow_owner() = default;

// ---- the view ----

void flow_owner::Reset(const cluster_view& view, time_point now,
                       std::vector<owner_action>* actions) {
  released_.clear();
  if (view.at < table_.at()) return;
  table_.Reset(view, now);
  OnViewChanged(now, actions);
}

void flow_owner::Apply(const revision_changes& step, time_point now,
                       std::vector<owner_action>* actions) {
  released_.clear();
  const placed_service* before = table_.Find(settings_.service);
  const revision changed_at =
      before == nullptr ? revision() : before->changed_at;
  table_.Apply(step, now);
  const placed_service* after = table_.Find(settings_.service);
  if (after == nullptr || after->changed_at == changed_at) {
    RetryHeldPackets(now, actions);
    return;
  }
  OnViewChanged(now, actions);
}

void flow_owner::UpdateSelf(const placed_service& service) {
  for (const auto& [id, target] : service.targets) {
    if (target.started == settings_.started) settings_.self = id;
  }
}

void flow_owner::OnViewChanged(time_point now,
                               std::vector<owner_action>* actions) {
  const placed_service* service = table_.Find(settings_.service);
  if (service != nullptr) {
    UpdateSelf(*service);
    const auto self = service->targets.find(settings_.self);
    if (self != service->targets.end() &&
        self->second.state == target_state::kDraining) {
      BeginDrain(now);
    }
  }
  ListCandidateBuckets();
  SendReport(now, actions);
  RetryHeldPackets(now, actions);
}

void flow_owner::OnViewConfirmed(revision newest, time_point now,
                                 std::vector<owner_action>* actions) {
  released_.clear();
  if (table_.at() < newest) {
    // The newer view must be applied first, so fetch it.
    actions->push_back(pull_view{newest});
    return;
  }
  if (pull_pending_) confirmed_before_ = pull_requested_at_;
  pull_pending_ = false;
  RetryHeldPackets(now, actions);
}

void flow_owner::RequestView(revision at_least, time_point now,
                             std::vector<owner_action>* actions) {
  // One pending pull serves all held packets.
  if (pull_pending_) return;
  pull_pending_ = true;
  pull_requested_at_ = now;
  actions->push_back(pull_view{at_least});
}

// ---- packets ----

void flow_owner::OnEnvelope(const envelope& message, time_point now,
                            std::vector<owner_action>* actions) {
  released_.clear();
  if (message.kind == envelope_kind::kReport) {
    OnReport(message, now, actions);
    return;
  }
  if (message.kind != envelope_kind::kPacket) {
    DropPacket(result_code::kEnvelopeMalformed, message, actions);
    return;
  }
  if (!CheckAddressee(message, actions)) return;
  OnPacket(message, now, actions);
}

bool flow_owner::CheckAddressee(const envelope& message,
                                std::vector<owner_action>* actions) {
  const bool service = message.service == settings_.service;
  const bool target =
      message.target == settings_.self && message.started == settings_.started;
  if (service && target) return true;
  DropPacket(
      service ? result_code::kWrongIncarnation : result_code::kWrongService,
      message, actions);
  envelope invalidation;
  invalidation.kind = envelope_kind::kInvalidate;
  invalidation.service = message.service;
  invalidation.target = message.target;
  invalidation.started = message.started;
  invalidation.key = message.key;
  invalidation.origin = message.origin;
  actions->push_back(send_envelope{message.origin, invalidation});
  return false;
}

void flow_owner::OnPacket(const envelope& message, time_point now,
                          std::vector<owner_action>* actions) {
  const std::uint64_t hash = HashFlow(message.key);
  const flow_slot slot = flows_->Find(message.key, hash);
  if (slot != kNoFlow) {
    if (message.at > table_.at()) RequestView(message.at, now, actions);
    Deliver(slot, message, false, now, actions);
    return;
  }
  envelope updated = message;
  const flow_search search{hash, now};
  const decision decided = Decide(search, &updated, now);
  Perform(decided, search, &updated, now, actions);
}

void flow_owner::Perform(const decision& decided, const flow_search& search,
                         envelope* message, time_point now,
                         std::vector<owner_action>* actions) {
  switch (decided.kind) {
    case decision_kind::kOpen:
      OpenFlow(*message, search.hash, now, actions);
      return;
    case decision_kind::kHold:
      HoldPacket(*message, search.arrived, now, actions);
      return;
    case decision_kind::kDrop:
      DropPacket(decided.reason, *message, actions);
      return;
    case decision_kind::kReset: {
      DropPacket(result_code::kFlowUnknown, *message, actions);
      envelope reset;
      reset.kind = envelope_kind::kReset;
      reset.service = settings_.service;
      reset.target = message->target;
      reset.started = message->started;
      reset.key = message->key;
      reset.origin = message->origin;
      const std::optional<parsed_packet> parsed =
          ParseIpPacket(message->payload, nullptr);
      if (parsed && parsed->tcp && !parsed->tcp->rst) {
        held_packet reset_packet;
        reset_packet.bytes =
            BuildTcpReset(message->key, true, parsed->tcp->acknowledged);
        released_.push_back(std::move(reset_packet));
        reset.payload = released_.back().bytes;
      }
      actions->push_back(send_envelope{message->origin, reset});
      return;
    }
    case decision_kind::kForward:
      break;
  }
  const candidate& next = message->candidates[decided.next];
  if (message->opens != flow_opening::kNo)
    RecordForwardedOpening(search, *message, now);
  message->target = next.id;
  message->started = next.started;
  ++message->hops;
  ++counters_.forwarded;
  actions->push_back(send_envelope{next.packets, *message});
}

void flow_owner::DropPacket(result_code reason, const envelope& message,
                            std::vector<owner_action>* actions) {
  counters_.refused.Add(reason);
  ReportEvent(event_id::kEnvelopeDropped, reason, HashFlow(message.key), "");
  actions->push_back(drop_packet{reason});
}

void flow_owner::ReportEvent(event_id id, result_code code, std::uint64_t hash,
                             std::string detail) const {
  if (listener_ == nullptr) return;
  event reported;
  reported.id = id;
  reported.at = table_.at();
  const placed_service* service = table_.Find(settings_.service);
  if (service != nullptr) reported.service = service->record.document.service;
  reported.flow = hash;
  reported.code = code;
  reported.detail = std::move(detail);
  listener_->OnEvent(reported);
}

std::size_t flow_owner::flow_count() const { return flows_->size(); }

bool flow_owner::HasFlow(const flow_key& key) const {
  return flows_->Find(key, HashFlow(key)) != kNoFlow;
}

std::size_t flow_owner::MemoryBytes() const {
  return sizeof(*this) + flows_->MemoryBytes() +
         forwarded_openings_.capacity() * sizeof(forwarded_opening) +
         flows_by_bucket_.capacity() * sizeof(std::uint32_t) +
         candidate_buckets_.capacity() * sizeof(std::uint64_t) +
         held_.size() * sizeof(held_packet);
}

}  // namespace tamaracklatch
