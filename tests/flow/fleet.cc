// The message queue, nodes and invariant checks of the simulated fleet.
#include "flow/fleet.h"

#include <fmt/format.h>

#include <algorithm>
#include <cassert>
#include <utility>

namespace tamaracklatch::test {
namespace {

constexpr envelope_key kKey{1, 2, 3};
constexpr std::uint32_t kServiceNet = 0x0a090000;  // 10.9.0.0
constexpr std::uint32_t kTargetNet = 0x0a010000;   // 10.1.0.0
constexpr std::uint32_t kRouterNet = 0x0a080000;   // 10.8.0.0
constexpr std::uint32_t kCallerNet = 0x0a700000;   // 10.112.0.0
constexpr std::uint16_t kEnvelopePort = 7000;
constexpr std::uint16_t kServicePort = 80;
constexpr std::uint8_t kHostBits = 128;

std::string Name(target_id id) { return fmt::format("t{}", id.index); }

service_document Document(std::uint64_t service) {
  service_document document;
  document.service = fmt::format("service-{}", service);
  document.version = 1;
  const endpoint where{
      MakeV4(kServiceNet + static_cast<std::uint32_t>(service)), kServicePort};
  document.addresses = {{where, ip_protocol::kTcp, port_kind::kEncapsulated},
                        {where, ip_protocol::kUdp, port_kind::kUdpDatagram}};
  return document;
}

const char* Name(envelope_kind kind) {
  constexpr const char* kNames[] = {"packet",     "answer", "hint",
                                    "invalidate", "reset",  "report"};
  return kNames[static_cast<std::size_t>(kind)];
}

}  // namespace

std::string ToString(const invariant_violations& violations) {
  return fmt::format(
      "moved {} reset {} wrong service {} opened draining {} loops {} "
      "unreachable {}",
      violations.moved_flows, violations.reset_flows, violations.wrong_service,
      violations.opened_draining, violations.hop_loops, violations.unreachable);
}

fleet::fleet(const fleet_settings& settings)
    : settings_(settings), random_(settings.seed) {
  for (std::uint64_t service = 1; service <= kServices; ++service) {
    revision_changes step;
    step.at = {log_.size() + 1};
    step.changes.emplace_back(
        service_put{{service_id{service}, Document(service)}});
    log_.push_back(step);
  }
  starts_.resize(settings.routers);
  for (std::size_t at = 0; at < settings.routers; ++at) {
    router_node node;
    node.where = {MakeV4(kRouterNet + static_cast<std::uint32_t>(at)),
                  kEnvelopePort};
    routers_.push_back(std::move(node));
    RestartRouter(at);
  }
  Schedule(kTickInterval, {event_kind::kTick, {}, {}, 0, {}, 0, 0});
}

std::uint32_t fleet::Pick(std::uint32_t below) {
  return static_cast<std::uint32_t>(random_() % below);
}

std::chrono::milliseconds fleet::Between(std::int64_t low, std::int64_t high) {
  const auto width = static_cast<std::uint32_t>(high - low + 1);
  return std::chrono::milliseconds(low + Pick(width));
}

// ---- configuration ----

cluster_view fleet::ViewAt(std::size_t revisions) const {
  cluster_view view;
  for (std::size_t at = 0; at < revisions; ++at) view.Apply(log_[at]);
  return view;
}

void fleet::Submit(view_change change) {
  revision_changes step;
  step.at = {log_.size() + 1};
  step.changes.push_back(std::move(change));
  log_.push_back(step);
  ScheduleViews();
}

void fleet::ScheduleViews() {
  const std::int64_t longest = settings_.max_view_delay.count();
  for (std::size_t at = 0; at < routers_.size(); ++at) {
    if (!routers_[at].updates) continue;
    Schedule(
        Between(1, longest),
        {event_kind::kRouterView, {}, {}, at, {}, starts_[at], log_.size()});
  }
  for (const auto& [id, node] : targets_) {
    Schedule(Between(1, longest),
             {event_kind::kTargetView, {}, {}, 0, id, 0, log_.size()});
  }
}

target_id fleet::Join(service_id service, std::uint32_t capacity) {
  target_node node;
  node.record.id = {next_target_++, 1};
  node.record.service = service;
  node.record.started = {random_()};
  node.record.zone = "zone-1";
  node.record.capacity = capacity;
  if (free_endpoints_.empty()) {
    node.record.packets = {MakeV4(kTargetNet + next_target_), kEnvelopePort};
  } else {
    node.record.packets = free_endpoints_.back();
    free_endpoints_.pop_back();
  }
  const target_id id = node.record.id;
  flow_owner_settings owner;
  owner.service = service;
  owner.self = id;
  owner.started = node.record.started;
  owner.packets = node.record.packets;
  node.owner = std::make_unique<flow_owner>(owner, now_);
  const target_record record = node.record;
  targets_[id] = std::move(node);
  Submit(target_put{record});
  target_node& joined = targets_[id];
  joined.owner->Reset(ViewAt(log_.size()), now_, &joined.actions);
  Perform(&joined);
  AppendTrace(fmt::format("{} joins service {} at revision {}", Name(id),
                          service.value, log_.size()));
  return id;
}

void fleet::Drain(target_id target) {
  target_node& node = targets_.at(target);
  node.record.state = target_state::kDraining;
  node.owner->BeginDrain(now_);
  Submit(target_put{node.record});
  AppendTrace(fmt::format("{} drains", Name(target)));
}

void fleet::Leave(target_id target) {
  for (fleet_flow& flow : flows_) {
    if (flow.owner == target) flow.ended = true;
  }
  free_endpoints_.push_back(targets_.at(target).record.packets);
  targets_.erase(target);
  Submit(target_removed{target});
  AppendTrace(fmt::format("{} leaves", Name(target)));
}

void fleet::SetCapacity(target_id target, std::uint32_t capacity) {
  target_node& node = targets_.at(target);
  node.record.capacity = capacity;
  Submit(target_put{node.record});
}

void fleet::SetWeightZero(target_id target) {
  const target_node& node = targets_.at(target);
  service_document document = Document(node.record.service.value);
  document.version = log_.size();
  traffic_share share;
  share.range = ip_range{node.record.packets.address, kHostBits};
  share.weight = 0;
  document.shares = {share, traffic_share()};
  Submit(service_put{{node.record.service, document}});
}

void fleet::RestartRouter(std::size_t router) {
  router_node& node = routers_[router];
  ++starts_[router];
  node.router = std::make_unique<flow_router>(flow_router_settings{node.where});
  // Its first view may lag by up to two revisions.
  const std::size_t behind = log_.size() > 4 ? Pick(3) : 0;
  const std::size_t known = std::max(log_.size() - behind, std::size_t{1});
  node.router->Reset(ViewAt(known), now_);
  Schedule(Between(1, settings_.max_view_delay.count()),
           {event_kind::kRouterView,
            {},
            {},
            router,
            {},
            starts_[router],
            log_.size()});
  AppendTrace(fmt::format("router {} starts", router));
}

void fleet::StopUpdates(std::size_t router) {
  routers_[router].updates = false;
  ++starts_[router];
}

// ---- traffic ----

std::size_t fleet::OpenFlow(service_id service, ip_protocol protocol,
                            std::size_t router) {
  fleet_flow flow;
  const std::uint32_t caller = kCallerNet + Pick(1U << 16U);
  const auto number = static_cast<std::uint16_t>(flows_.size());
  flow.key = {MakeV4(caller),
              MakeV4(kServiceNet + static_cast<std::uint32_t>(service.value)),
              number, kServicePort, protocol};
  flow.service = service;
  flows_.push_back(flow);
  const std::size_t index = flows_.size() - 1;
  SendPacket(index, router);
  return index;
}

void fleet::SendPacket(std::size_t flow, std::size_t router) {
  const fleet_flow& each = flows_[flow];
  if (each.stopped_sending) return;
  if (each.key.protocol == ip_protocol::kUdp) {
    Route(flow, router, flow_opening::kUnknown);
  } else {
    // The caller retransmits its SYN until the flow is established.
    Route(flow, router, each.owner ? flow_opening::kNo : flow_opening::kYes);
  }
}

void fleet::Route(std::size_t flow, std::size_t router, flow_opening opens) {
  packet outgoing;
  outgoing.key = flows_[flow].key;
  outgoing.opens = opens;
  outgoing.bytes = "data";
  routed_packet out;
  if (routers_[router].router->Route(outgoing, now_, &out) !=
      result_code::kOk) {
    AppendTrace(fmt::format("router {} refuses flow {}", router, flow));
    return;
  }
  AppendTrace(fmt::format("flow {} through router {} to {}{}", flow, router,
                          Name(out.message.target),
                          out.message.wants_hint ? "" : ", cached"));
  Send(out.to, out.message);
}

void fleet::EndFlow(std::size_t flow) {
  fleet_flow& each = flows_[flow];
  if (each.ended || !each.owner) return;
  targets_.at(*each.owner).owner->OnFlowEnded(each.key);
  each.ended = true;
  each.stopped_sending = true;
}

void fleet::Answer(std::size_t flow) {
  const fleet_flow& each = flows_[flow];
  target_node& node = targets_.at(*each.owner);
  node.owner->OnAnswer(each.key, "answer", now_, &node.actions);
  Perform(&node);
}

// ---- message queue ----

void fleet::Schedule(std::chrono::milliseconds after, fleet_event event) {
  events_[{now_ + after, ++event_count_}] = std::move(event);
}

void fleet::Send(const endpoint& to, const envelope& message) {
  if (Pick(100) < settings_.loss_percent) {
    AppendTrace(fmt::format("  lost: {}", Name(message.kind)));
    return;
  }
  std::string bytes;
  EncodeEnvelope(message, kKey, &bytes);
  const std::uint32_t copies = Pick(100) < settings_.duplicate_percent ? 2 : 1;
  for (std::uint32_t copy = 0; copy < copies; ++copy) {
    Schedule(Between(1, settings_.max_network_delay.count()),
             {event_kind::kMessage, to, bytes, 0, {}, 0, 0});
  }
}

void fleet::Run(std::chrono::milliseconds time) {
  const time_point end = now_ + time;
  while (!events_.empty() && events_.begin()->first.first <= end) {
    now_ = events_.begin()->first.first;
    const fleet_event event = std::move(events_.begin()->second);
    events_.erase(events_.begin());
    Handle(event);
  }
  now_ = end;
}

void fleet::Handle(const fleet_event& event) {
  switch (event.kind) {
    case event_kind::kMessage:
      HandleMessage(event);
      return;
    case event_kind::kRouterView:
      if (starts_[event.node] != event.start) return;
      for (std::size_t at = 0; at < event.revisions; ++at)
        routers_[event.node].router->Apply(log_[at], now_);
      return;
    case event_kind::kTick:
      for (auto& [id, node] : targets_) {
        node.owner->Tick(now_, &node.actions);
        Perform(&node);
      }
      Schedule(kTickInterval, {event_kind::kTick, {}, {}, 0, {}, 0, 0});
      return;
    case event_kind::kTargetView:
    case event_kind::kPull:
      break;
  }
  const auto found = targets_.find(event.target);
  if (found == targets_.end()) return;
  target_node& node = found->second;
  for (std::size_t at = node.owner->at().value; at < event.revisions; ++at) {
    node.owner->Apply(log_[at], now_, &node.actions);
    Perform(&node);
  }
  if (event.kind == event_kind::kPull) {
    node.owner->OnViewConfirmed({event.revisions}, now_, &node.actions);
    Perform(&node);
  }
}

fleet::target_node* fleet::FindTarget(const endpoint& where) {
  for (auto& [id, node] : targets_) {
    if (node.record.packets == where) return &node;
  }
  return nullptr;
}

void fleet::HandleMessage(const fleet_event& event) {
  const auto message = DecodeEnvelope(event.bytes, kKey, nullptr);
  assert(message);
  for (router_node& node : routers_) {
    if (node.where != event.to) continue;
    const router_action action = node.router->OnEnvelope(*message, now_);
    if (const auto* reset = std::get_if<reset_caller>(&action))
      OnReset(reset->key);
    return;
  }
  target_node* node = FindTarget(event.to);
  if (node == nullptr) return;
  node->owner->OnEnvelope(*message, now_, &node->actions);
  Perform(node);
}

void fleet::Perform(target_node* node) {
  const std::vector<owner_action> actions = std::move(node->actions);
  node->actions.clear();
  const std::string name = Name(node->record.id);
  for (const owner_action& each : actions) {
    if (const auto* send = std::get_if<send_envelope>(&each)) {
      if (send->message.kind == envelope_kind::kPacket) {
        AppendTrace(fmt::format("  {} passes flow {} on to {}{}", name,
                                send->message.key.source_port,
                                Name(send->message.target),
                                send->message.must_open ? " to open" : ""));
      } else if (send->message.kind != envelope_kind::kReport) {
        AppendTrace(fmt::format("  {} sends {} of flow {}", name,
                                Name(send->message.kind),
                                send->message.key.source_port));
      }
      Send(send->to, send->message);
    } else if (const auto* pull = std::get_if<pull_view>(&each)) {
      AppendTrace(
          fmt::format("  {} pulls revision {}", name, pull->at_least.value));
      Schedule(Between(2, 2 * settings_.max_network_delay.count()),
               {event_kind::kPull, {}, {}, 0, node->record.id, 0, log_.size()});
    } else if (const auto* delivered = std::get_if<deliver_packet>(&each)) {
      AppendTrace(fmt::format("  {} delivers flow {}{}", name,
                              delivered->key.source_port,
                              delivered->opened ? ", opened" : ""));
      OnDelivered(*node, *delivered);
    } else if (const auto* dropped = std::get_if<drop_packet>(&each)) {
      AppendTrace(fmt::format("  {} drops: {}", name,
                              tamaracklatch::ToString(dropped->reason)));
      if (dropped->reason == result_code::kHopLimit) ++violations_.hop_loops;
    } else if (const auto* closed = std::get_if<close_towards_target>(&each)) {
      AppendTrace(fmt::format("  {} closes towards target: {}", name,
                              tamaracklatch::ToString(closed->reason)));
    } else if (const auto* caller_close =
                   std::get_if<close_towards_caller>(&each)) {
      AppendTrace(fmt::format("  {} closes towards caller: {}", name,
                              tamaracklatch::ToString(caller_close->reason)));
    }
  }
}

// ---- invariants ----

fleet_flow* fleet::FindFlow(const flow_key& key) {
  // The caller's port is the index of the flow.
  return key.source_port < flows_.size() ? &flows_[key.source_port] : nullptr;
}

void fleet::OnDelivered(const target_node& node,
                        const deliver_packet& delivered) {
  fleet_flow* flow = FindFlow(delivered.key);
  assert(flow != nullptr);
  if (flow->service != node.record.service) ++violations_.wrong_service;
  if (delivered.opened && node.owner->draining()) ++violations_.opened_draining;
  if (flow->ended) return;
  ++flow->delivered;
  if (!flow->owner) flow->owner = node.record.id;
  if (*flow->owner != node.record.id) {
    ++violations_.moved_flows;
    AppendTrace(fmt::format("  flow {} moved from {} to {}",
                            delivered.key.source_port, Name(*flow->owner),
                            Name(node.record.id)));
  }
}

void fleet::OnReset(const flow_key& key) {
  const fleet_flow* flow = FindFlow(key);
  if (flow != nullptr && flow->owner && !flow->ended) ++violations_.reset_flows;
  AppendTrace(fmt::format("  reset of flow {}", key.source_port));
}

void fleet::CheckReachable() {
  settings_.loss_percent = 0;
  Run(settings_.max_view_delay + std::chrono::seconds(2));
  for (std::size_t router = 0; router < routers_.size(); ++router) {
    std::vector<std::uint32_t> before;
    for (std::size_t flow = 0; flow < flows_.size(); ++flow) {
      before.push_back(flows_[flow].delivered);
      if (flows_[flow].owner) SendPacket(flow, router);
    }
    Run(std::chrono::seconds(2));
    for (std::size_t flow = 0; flow < flows_.size(); ++flow) {
      const fleet_flow& each = flows_[flow];
      if (each.owner && !each.ended && each.delivered == before[flow])
        ++violations_.unreachable;
    }
  }
}

std::vector<target_id> fleet::TargetsOf(service_id service,
                                        bool serving) const {
  std::vector<target_id> found;
  for (const auto& [id, node] : targets_) {
    const bool is_serving = node.record.state == target_state::kServing;
    if (node.record.service == service && is_serving == serving)
      found.push_back(id);
  }
  return found;
}

std::size_t fleet::FlowsAt(target_id target) const {
  return targets_.at(target).owner->flow_count();
}

const flow_owner& fleet::OwnerOf(target_id target) const {
  return *targets_.at(target).owner;
}

void fleet::AppendTrace(const std::string& line) {
  if (!trace_enabled_) return;
  const auto since = now_.time_since_epoch() - std::chrono::seconds(1000);
  trace_ += fmt::format(
      "{:>7} {}\n",
      std::chrono::duration_cast<std::chrono::milliseconds>(since).count(),
      line);
}

std::string fleet::TakeTrace() { return std::exchange(trace_, {}); }

}  // namespace tamaracklatch::test
