// Running a relay_node on the event loop.
#include "daemon/view_agent.h"

#include <algorithm>

namespace tamaracklatch {
namespace {

constexpr std::chrono::hours kLongestWait{1};  // until the next tick

}  // namespace

view_agent::view_agent(process_frame* frame, link_hub* hub,
                       const relay_settings& settings, view_listener* listener)
    : frame_(frame),
      hub_(hub),
      listener_(listener),
      node_(settings, frame->random()(), frame->Now()),
      timer_(frame->loop()) {
  hub_->SetHandler(frame_kind::kDistribution, [this](const std::string& peer,
                                                     const std::string& body) {
    const auto message = DecodeRelayMessage(body);
    if (!message) {
      frame_->counts().Count("tamaracklatch_malformed_messages_total",
                             "Messages that could not be read.");
      return;
    }
    Perform(node_.OnMessage(peer, *message, frame_->Now()));
  });
}

void view_agent::Start() { Perform(node_.OnTick(frame_->Now())); }

void view_agent::OnRevisionSeen(revision seen) {
  if (seen > node_.known())
    Perform(node_.OnRevisionSeen(seen, nullptr, frame_->Now()));
}

void view_agent::Leave() { Perform(node_.Leave(frame_->Now())); }

void view_agent::Perform(const relay_node::actions& actions) {
  for (const relay_action& action : actions) {
    std::visit([this](const auto& each) { Do(each); }, action);
  }
  Schedule();
}

void view_agent::Do(const relay_send& action) {
  hub_->Send(action.peer, action.where, frame_kind::kDistribution,
             Encode(action.message));
}

void view_agent::Do(const changes_applied& action) {
  frame_->counts().Set("tamaracklatch_revision", "The newest revision applied.",
                       static_cast<double>(action.step.at.value));
  if (listener_ != nullptr) listener_->OnViewChanges(action.step);
}

void view_agent::Do(const view_replaced& action) {
  frame_->counts().Set("tamaracklatch_revision", "The newest revision applied.",
                       static_cast<double>(action.at.value));
  if (listener_ != nullptr) listener_->OnViewReplaced(node_.view());
}

void view_agent::Do(const serving_allowed&) {
  if (listener_ != nullptr) listener_->OnServingAllowed();
}

void view_agent::Do(const quorum_check& action) {
  if (checker_) checker_(action);
}

void view_agent::Do(const relay_event& action) {
  frame_->events().OnEvent(action.reported);
}

void view_agent::Schedule() {
  // Bounded, for a wake-up that never comes overflows the timer's finer clock
  // and would be due at once, for ever.
  const time_point now = frame_->Now();
  const time_point wake = std::min(node_.next_wake(), now + kLongestWait);
  timer_.expires_after(std::max(wake - now, duration::zero()));
  timer_.async_wait([this](asio::error_code error) {
    if (!error) Perform(node_.OnTick(frame_->Now()));
  });
}

std::vector<relay_contact> ControlContacts(
    const std::vector<endpoint>& control) {
  std::vector<relay_contact> contacts;
  contacts.reserve(control.size());
  for (const endpoint& where : control)
    contacts.push_back({ToString(where), {}, where, 0});
  return contacts;
}

}  // namespace tamaracklatch
