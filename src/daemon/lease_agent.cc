// Running a lease_table over a process's links.
#include "daemon/lease_agent.h"

#include <utility>

#include "daemon/membership_frame.h"

namespace tamaracklatch {

lease_agent::lease_agent(process_frame* frame, link_hub* hub,
                         const view_agent* view, const lease_settings& settings,
                         std::vector<relay_contact> control)
    : frame_(frame),
      hub_(hub),
      view_(view),
      control_(std::move(control)),
      leases_(settings) {
  hub_->SetHandler(frame_kind::kMembership,
                   [this](const std::string& peer, const std::string& body) {
                     OnMessage(peer, body);
                   });
}

void lease_agent::OnMessage(const std::string& peer, const std::string& body) {
  const auto message = DecodeMembershipFrame(body);
  if (!message) return;
  if (const auto* renewal = std::get_if<lease_renewal>(&*message)) {
    const lease_answer answer =
        leases_.OnRenewal(*renewal, view_->node().view(), frame_->Now());
    hub_->Send(peer, {}, frame_kind::kMembership,
               EncodeMembershipFrame(answer));
  } else if (const auto* answer = std::get_if<membership_answer>(&*message)) {
    leases_.OnReportAnswer(*answer, frame_->Now());
  }
}

void lease_agent::Tick() {
  const auto report = leases_.OnTick(view_->node().view(), frame_->Now());
  frame_->counts().Set("tamaracklatch_leases", "Leases of targets held here.",
                       static_cast<double>(leases_.size()));
  if (!report) return;
  // Only the leader takes it; which one leads is not known here.
  const std::string frame = EncodeMembershipFrame(*report);
  for (const relay_contact& contact : control_)
    hub_->Send(contact.name, contact.where, frame_kind::kMembership, frame);
}

}  // namespace tamaracklatch
