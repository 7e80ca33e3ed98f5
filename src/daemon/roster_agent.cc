// Running the roster's machines on the event loop.
#include "daemon/roster_agent.h"

#include <algorithm>
#include <utility>

#include "tamaracklatch/core/abbreviated_name.h"
#include "tamaracklatch/roster/roster_message_kind.h"

namespace tamaracklatch {

node_record MakeOwnRecord(const process_frame& frame, node_role role,
                          const endpoint& where) {
  node_record result;
  result.where = where;
  result.generation =
      static_cast<std::uint64_t>(frame.WallNow().time_since_epoch().count());
  result.role = role;
  result.zone = AbbreviateName(frame.self().zone);
  return result;
}

roster_agent::roster_agent(process_frame* frame,
                           const roster_member_settings& settings,
                           const node_record& own, roster_listener* listener,
                           segment_handler on_segment)
    : frame_(frame),
      listener_(listener),
      on_segment_(std::move(on_segment)),
      member_(settings, own, frame->Now()),
      port_(&frame->loop(),
            [this](const endpoint& from, std::string_view bytes) {
              OnDatagram(from, bytes);
            }),
      timer_(frame->loop()) {}

void roster_agent::AddHub(const roster_hub_settings& settings) {
  hub_ = std::make_unique<roster_hub>(settings, frame_->random()(),
                                      frame_->Now(), &frame_->events());
}

bool roster_agent::Start(failure* last_failure) {
  if (!port_.Start(member_.local_record().where, port_sharing::kAlone,
                   last_failure))
    return false;
  OnTimer();
  frame_->OnScrape([this] { Export(); });
  return true;
}

void roster_agent::SetOwn(const node_record& record) {
  Perform(member_.SetLocalRecord(record, frame_->Now()));
  Schedule();
}

void roster_agent::SetDocuments(std::uint64_t version, std::string bytes,
                                bool is_next) {
  hub_->SetDocuments(version, std::move(bytes), is_next, frame_->Now());
  Schedule();
}

void roster_agent::SetPlacementRules(const placement_rules& rules) {
  hub_->SetPlacementRules(rules, frame_->Now());
  Schedule();
}

void roster_agent::OnQuorumConfirmed(std::uint64_t version,
                                     std::uint64_t rules_revision,
                                     time_point asked) {
  hub_->OnQuorumConfirmed(version, rules_revision, asked);
}

void roster_agent::OnDatagram(const endpoint& from, std::string_view bytes) {
  if (!IsRosterMessage(bytes)) {
    if (on_segment_) on_segment_(from, bytes);
    return;
  }
  const time_point now = frame_->Now();
  if (!IsForHub(bytes)) {
    Perform(member_.OnMessage(from, bytes, now));
  } else if (hub_) {
    SendAll(hub_->OnMessage(from, bytes, now));
  }
  Schedule();
}

void roster_agent::Perform(const roster_member::actions& actions) {
  for (const roster_action& action : actions) {
    std::visit([this](const auto& each) { Do(each); }, action);
  }
}

void roster_agent::Do(const roster_send& action) {
  port_.Send(action.to, action.bytes);
}

void roster_agent::Do(const roster_changed& action) {
  listener_->OnRosterChanged(action.entry);
}

void roster_agent::Do(const rules_received& action) {
  listener_->OnPlacementRules(action.rules);
}

void roster_agent::Do(const set_received& action) {
  listener_->OnSetReceived(action);
}

void roster_agent::Do(const roster_report& action) {
  frame_->events().OnEvent(action.reported);
}

void roster_agent::SendAll(const roster_hub::sends& sends) {
  for (const roster_send& each : sends) port_.Send(each.to, each.bytes);
}

void roster_agent::Schedule() {
  time_point wake = member_.next_wake();
  if (hub_) wake = std::min(wake, hub_->next_wake());
  if (wake == armed_) return;
  armed_ = wake;
  timer_.expires_after(std::max(wake - frame_->Now(), duration::zero()));
  timer_.async_wait([this](asio::error_code error) {
    if (!error) OnTimer();
  });
}

void roster_agent::OnTimer() {
  armed_ = time_point::max();
  const time_point now = frame_->Now();
  Perform(member_.OnTick(now));
  if (hub_) SendAll(hub_->OnTick(now));
  Schedule();
}

void roster_agent::Export() const {
  metrics& counts = frame_->counts();
  const time_point now = frame_->Now();
  const auto tell_nodes = [&](node_liveness liveness, std::string_view name) {
    const auto count = std::count_if(
        member_.entries().begin(), member_.entries().end(),
        [&](const auto& each) { return each.second.liveness == liveness; });
    counts.Set("tamaracklatch_roster_nodes",
               "Nodes known, by whether they are heard.",
               static_cast<double>(count), name);
  };
  tell_nodes(node_liveness::kAlive, "alive");
  tell_nodes(node_liveness::kSilent, "silent");
  tell_nodes(node_liveness::kGone, "gone");
  counts.Set("tamaracklatch_hubs_in_touch",
             "Control VMs that answer and have told their whole roster.",
             static_cast<double>(member_.synchronized_hubs(now)));
  if (member_.set().version != 0) {
    counts.Set("tamaracklatch_set_version",
               "Version of the document set in force here.",
               static_cast<double>(member_.set().version));
  }
  counts.Set("tamaracklatch_rules_revision",
             "Revision of the placement rules in force here; 0: none.",
             static_cast<double>(member_.rules().revision));
  if (const auto confirmed = member_.confirmed()) {
    counts.Set("tamaracklatch_set_confirmed_age_seconds",
               "Since the quorum last confirmed that set and the rules.",
               std::chrono::duration<double>(now - *confirmed).count());
  }
  const roster_member_counters& counted = member_.counters();
  counts.SetTotal("tamaracklatch_roster_malformed_total",
                  "Datagrams of hubs that could not be read.",
                  static_cast<double>(counted.malformed));
  counts.SetHistogram("tamaracklatch_record_announced_seconds",
                      "From a change of the own record to a hub's answer.",
                      counted.announce_times);
  counts.SetHistogram("tamaracklatch_set_fetch_seconds",
                      "From hearing of a document set to holding it.",
                      counted.fetch_times);
  if (hub_) {
    counts.SetHistogram("tamaracklatch_change_in_view_seconds",
                        "From a change at this hub to a node that knows it.",
                        hub_->propagation_times());
  }
}

}  // namespace tamaracklatch
