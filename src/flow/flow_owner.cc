// flow_owner: view changes, received envelopes, and the actions that follow from
// a decision.
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
      passed_(kPassedEntries),
      pulled_at_(now),
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
  AfterView(now, actions);
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
    Retry(now, actions);
    return;
  }
  AfterView(now, actions);
}

void flow_owner::AfterView(time_point now, std::vector<owner_action>* actions) {
  const placed_service* service = table_.Find(settings_.service);
  if (service != nullptr) {
    const auto self = service->targets.find(settings_.self);
    if (self != service->targets.end() &&
        self->second.state == target_state::kDraining) {
      BeginDrain(now);
    }
  }
  ListOwnBuckets();
  SendReport(now, actions);
  Retry(now, actions);
}

void flow_owner::OnViewConfirmed(revision newest, time_point now,
                                 std::vector<owner_action>* actions) {
  released_.clear();
  if (table_.at() < newest) {
    // The newer view must be applied first, so fetch it.
    actions->push_back(pull_view{newest});
    return;
  }
  if (pulling_) confirmed_before_ = pulled_at_;
  pulling_ = false;
  Retry(now, actions);
}

void flow_owner::Pull(revision at_least, time_point now,
                      std::vector<owner_action>* actions) {
  // One pending pull serves all held packets.
  if (pulling_) return;
  pulling_ = true;
  pulled_at_ = now;
  actions->push_back(pull_view{at_least});
}

// ---- packets ----

void flow_owner::OnEnvelope(const envelope& what, time_point now,
                            std::vector<owner_action>* actions) {
  released_.clear();
  if (what.kind == envelope_kind::kReport) {
    OnReport(what, now, actions);
    return;
  }
  if (what.kind != envelope_kind::kPacket) {
    Drop(result_code::kEnvelopeMalformed, what, actions);
    return;
  }
  if (!IsOurs(what, actions)) return;
  OnPacket(what, now, actions);
}

bool flow_owner::IsOurs(const envelope& what,
                        std::vector<owner_action>* actions) {
  const bool service = what.service == settings_.service;
  const bool target =
      what.target == settings_.self && what.started == settings_.started;
  if (service && target) return true;
  Drop(service ? result_code::kWrongIncarnation : result_code::kWrongService,
       what, actions);
  envelope forget;
  forget.kind = envelope_kind::kForget;
  forget.service = what.service;
  forget.target = what.target;
  forget.started = what.started;
  forget.key = what.key;
  forget.origin = what.origin;
  actions->push_back(send_envelope{what.origin, forget});
  return false;
}

void flow_owner::OnPacket(const envelope& what, time_point now,
                          std::vector<owner_action>* actions) {
  const std::uint64_t hash = HashFlow(what.key);
  const flow_slot slot = flows_->Find(what.key, hash);
  if (slot != kNoFlow) {
    if (what.at > table_.at()) Pull(what.at, now, actions);
    Deliver(slot, what, false, now, actions);
    return;
  }
  envelope passed = what;
  const search wanted{hash, now};
  const decision decided = Decide(wanted, &passed, now);
  Perform(decided, wanted, &passed, now, actions);
}

void flow_owner::Perform(const decision& decided, const search& wanted,
                         envelope* what, time_point now,
                         std::vector<owner_action>* actions) {
  switch (decided.what) {
    case verdict::kOpen:
      Open(*what, wanted.hash, now, actions);
      return;
    case verdict::kHold:
      Hold(*what, wanted.arrived, now, actions);
      return;
    case verdict::kDrop:
      Drop(decided.why, *what, actions);
      return;
    case verdict::kReset: {
      Drop(result_code::kFlowUnknown, *what, actions);
      envelope reset;
      reset.kind = envelope_kind::kReset;
      reset.service = settings_.service;
      reset.target = what->target;
      reset.started = what->started;
      reset.key = what->key;
      reset.origin = what->origin;
      const std::optional<parsed_packet> parsed =
          ParseIpPacket(what->payload, nullptr);
      if (parsed && parsed->tcp && !parsed->tcp->rst) {
        held_packet kept;
        kept.bytes = BuildTcpReset(what->key, true, parsed->tcp->acknowledged);
        released_.push_back(std::move(kept));
        reset.payload = released_.back().bytes;
      }
      actions->push_back(send_envelope{what->origin, reset});
      return;
    }
    case verdict::kForward:
      break;
  }
  const candidate& next = what->candidates[decided.next];
  if (what->opens != flow_opening::kNo) RememberPassed(wanted, *what, now);
  what->target = next.id;
  what->started = next.started;
  ++what->hops;
  ++counters_.forwarded;
  actions->push_back(send_envelope{next.packets, *what});
}

void flow_owner::Drop(result_code why, const envelope& what,
                      std::vector<owner_action>* actions) {
  counters_.refused.Add(why);
  Tell(event_id::kEnvelopeDropped, why, HashFlow(what.key), "");
  actions->push_back(drop_packet{why});
}

void flow_owner::Tell(event_id id, result_code code, std::uint64_t hash,
                      std::string detail) const {
  if (listener_ == nullptr) return;
  event what;
  what.id = id;
  what.at = table_.at();
  const placed_service* service = table_.Find(settings_.service);
  if (service != nullptr) what.service = service->record.document.service;
  what.flow = hash;
  what.code = code;
  what.detail = std::move(detail);
  listener_->OnEvent(what);
}

std::size_t flow_owner::flow_count() const { return flows_->size(); }

bool flow_owner::Knows(const flow_key& key) const {
  return flows_->Find(key, HashFlow(key)) != kNoFlow;
}

std::size_t flow_owner::MemoryBytes() const {
  return sizeof(*this) + flows_->MemoryBytes() +
         passed_.capacity() * sizeof(passed_packet) +
         held_flows_.capacity() * sizeof(std::uint32_t) +
         own_buckets_.capacity() * sizeof(std::uint64_t) +
         held_.size() * sizeof(held_packet);
}

}  // namespace tamaracklatch
