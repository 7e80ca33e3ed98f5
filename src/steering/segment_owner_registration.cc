// Registration of flows whose owner is far down their search order at the
// daemons that a search visits first, so that the number of visits does not
// grow with the number of targets.
#include <algorithm>

#include "steering/owned_flows.h"
#include "steering/owner_registry.h"
#include "steering/target_directory.h"
#include "tamaracklatch/steering/segment_owner.h"

namespace tamaracklatch {
namespace {

// A registration is repeated after this time, since daemons restart.
constexpr std::chrono::seconds kRegistrationInterval{5};

// Most flows whose registration is checked in one tick.
constexpr std::size_t kChecksPerTick = 256;

}  // namespace

// The registered owner of the flow, if it may still be its owner and was not
// visited; kNoTargetIndex otherwise.
std::uint32_t segment_owner::FindRegisteredOwner(const steering_header& header,
                                                 time_point now) const {
  const auto registered = registry_->Find(header.flow, now);
  if (!registered || *registered == settings_.self) return kNoTargetIndex;
  const target_index owner = targets_->Find(*registered);
  if (owner == kNoTargetIndex) return kNoTargetIndex;
  const directory_target& target = targets_->At(owner);
  const bool may_own = target.liveness == node_liveness::kAlive &&
                       header.HasService(target.service) &&
                       !header.HasVisited(target.node);
  return may_own ? owner : kNoTargetIndex;
}

// Registers the flow with the first daemons of its search order unless this
// daemon is one of them. A registration that is not due again is sent to those
// only that became one of the first since.
void segment_owner::RegisterFlow(owned_flow* flow, time_point now,
                                 std::vector<segment_action>* actions) {
  const bool repeats = now - flow->registered >= kRegistrationInterval;
  const auto before = flow->registrars;
  if (repeats) flow->registered = now;
  flow->registrars.fill(kNoTargetIndex);
  targets_->RankOwners(flow->hash, service_, kSearchHead, now, &ranked_);
  for (const target_index each : ranked_) {
    if (targets_->At(each).where == settings_.self) return;
  }
  steering_header registration;
  registration.kind = steering_kind::kRegistration;
  registration.flow = flow->hash;
  registration.balancer = settings_.self;
  for (std::size_t at = 0; at < ranked_.size(); ++at) {
    const target_index registrar = ranked_[at];
    flow->registrars[at] = registrar;
    const bool knows =
        std::find(before.begin(), before.end(), registrar) != before.end();
    if (knows && !repeats) continue;
    ++counters_.registrations_sent;
    actions->push_back(
        send_notice{targets_->At(registrar).where, registration});
  }
}

// Registers a flow that was just opened or claimed. The latter replaces what
// targets that took other copies of its opening have registered.
void segment_owner::RegisterNewFlow(owned_flow* flow, time_point now,
                                    std::vector<segment_action>* actions) {
  if (targets_->size() <= kMaxSteeringVisits) return;
  flow->registered = time_point();
  RegisterFlow(flow, now, actions);
}

void segment_owner::RegisterDueFlows(time_point now,
                                     std::vector<segment_action>* actions) {
  if (targets_->size() <= kMaxSteeringVisits) return;
  const time_point joined = targets_->last_joined();
  const bool has_joined = joined > registrations_checked_;
  registrations_checked_ = now;
  const auto is_due = [&](const owned_flow& flow) {
    return flow.IsOpen() &&
           (has_joined || now - flow.registered >= kRegistrationInterval);
  };
  for (owned_flow* flow : flows_->ListIf(is_due, kChecksPerTick))
    RegisterFlow(flow, now, actions);
}

}  // namespace tamaracklatch
