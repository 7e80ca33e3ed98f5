// The bus's queue.
#include "packet_bus.h"

namespace tamaracklatch::bench {
namespace {

constexpr service_id kService{1};
constexpr std::uint32_t kServiceAddress = 0x0a090001;
constexpr std::uint32_t kRouterNet = 0x0a080000;
constexpr std::uint32_t kTargetNet = 0x0a010000;
constexpr std::uint32_t kCallerNet = 0x0b000000;
constexpr std::uint16_t kPort = 7000;

endpoint RouterPlace(std::size_t router) {
  return {MakeV4(kRouterNet + static_cast<std::uint32_t>(router)), kPort};
}

}  // namespace

packet_bus::packet_bus(std::size_t routers, std::size_t targets) {
  service_document document;
  document.service = "bench";
  document.version = 1;
  const endpoint where{MakeV4(kServiceAddress), 80};
  document.addresses = {{where, ip_protocol::kTcp, port_kind::kEncapsulated},
                        {where, ip_protocol::kUdp, port_kind::kUdpDatagram}};
  log_.push_back({{1}, {service_put{{kService, document}}}});
  for (std::size_t count = 0; count < targets; ++count) {
    target_node node = NewTarget();
    log_[0].changes.emplace_back(target_put{node.record});
    targets_[node.record.id] = std::move(node);
  }
  std::vector<owner_action> actions;
  for (auto& [id, node] : targets_) {
    node.owner->Reset(ViewAt(1), now_, &actions);
    Collect(&actions, id);
  }
  Pump();
  known_.resize(routers);
  routers_.resize(routers);
  for (std::size_t router = 0; router < routers; ++router)
    RestartRouter(router);
  Advance(std::chrono::seconds(20));
}

flow_key packet_bus::KeyOf(std::uint32_t flow, ip_protocol protocol) {
  return {MakeV4(kCallerNet + (flow >> 8U)), MakeV4(kServiceAddress),
          static_cast<std::uint16_t>(1024 + (flow & 0xffU)), 80, protocol};
}

cluster_view packet_bus::ViewAt(std::size_t revisions) const {
  cluster_view view;
  for (std::size_t at = 0; at < revisions; ++at) view.Apply(log_[at]);
  return view;
}

void packet_bus::Submit(view_change change) {
  revision_changes step;
  step.at = {log_.size() + 1};
  step.changes.push_back(std::move(change));
  log_.push_back(step);
  std::vector<owner_action> actions;
  for (auto& [id, node] : targets_) {
    node.owner->Apply(step, now_, &actions);
    Collect(&actions, id);
  }
  Pump();
}

packet_bus::target_node packet_bus::NewTarget() {
  target_node node;
  node.record.id = {static_cast<std::uint32_t>(targets_.size()), 1};
  node.record.service = kService;
  node.record.started = {targets_.size() + 1};
  node.record.packets = {MakeV4(kTargetNet + node.record.id.index), kPort};
  flow_owner_settings settings;
  settings.service = kService;
  settings.self = node.record.id;
  settings.started = node.record.started;
  settings.packets = node.record.packets;
  node.owner = std::make_unique<flow_owner>(settings, now_);
  places_[node.record.packets] = node.record.id;
  return node;
}

target_id packet_bus::Join() {
  target_node node = NewTarget();
  const target_record record = node.record;
  Submit(target_put{record});
  std::vector<owner_action> actions;
  node.owner->Reset(ViewAt(log_.size()), now_, &actions);
  targets_[record.id] = std::move(node);
  Collect(&actions, record.id);
  Pump();
  return record.id;
}

void packet_bus::Drain(target_id target) {
  target_node& node = targets_.at(target);
  node.record.state = target_state::kDraining;
  Submit(target_put{node.record});
}

void packet_bus::SetCapacity(target_id target, std::uint32_t capacity) {
  target_node& node = targets_.at(target);
  node.record.capacity = capacity;
  Submit(target_put{node.record});
}

void packet_bus::Update(std::size_t router, std::size_t revisions_behind) {
  const std::size_t newest =
      log_.size() > revisions_behind ? log_.size() - revisions_behind : 1;
  for (; known_[router] < newest; ++known_[router])
    routers_[router]->Apply(log_[known_[router]], now_);
}

void packet_bus::RestartRouter(std::size_t router) {
  routers_[router] =
      std::make_unique<flow_router>(flow_router_settings{RouterPlace(router)});
  routers_[router]->Reset(ViewAt(log_.size()), now_);
  known_[router] = log_.size();
}

void packet_bus::Advance(std::chrono::milliseconds time) {
  now_ += time;
  std::vector<owner_action> actions;
  for (auto& [id, node] : targets_) {
    node.owner->Tick(now_, &actions);
    Collect(&actions, id);
  }
  Pump();
}

std::optional<target_id> packet_bus::Send(const flow_key& key,
                                          flow_opening opens,
                                          std::size_t router) {
  packet what;
  what.key = key;
  what.opens = opens;
  what.bytes = "data";
  routed_packet out;
  delivered_.reset();
  if (routers_[router]->Route(what, now_, &out) != result_code::kOk)
    return std::nullopt;
  messages_.push_back({out.to, out.message, {}});
  Pump();
  return delivered_;
}

void packet_bus::End(const flow_key& key, target_id owner) {
  targets_.at(owner).owner->OnFlowEnded(key);
}

void packet_bus::Collect(std::vector<owner_action>* actions, target_id from) {
  for (const owner_action& each : *actions) {
    if (const auto* send = std::get_if<send_envelope>(&each)) {
      messages_.push_back(
          {send->to, send->message, std::string(send->message.payload)});
    } else if (std::holds_alternative<deliver_packet>(each)) {
      delivered_ = from;
    } else if (std::holds_alternative<pull_view>(each)) {
      pulls_.push_back(from);
    }
  }
  actions->clear();
}

void packet_bus::Pump() {
  std::vector<owner_action> actions;
  while (!messages_.empty() || !pulls_.empty()) {
    if (messages_.empty()) {
      // The view that an owner has is the newest.
      const target_id asking = pulls_.back();
      pulls_.pop_back();
      targets_.at(asking).owner->OnViewConfirmed({log_.size()}, now_, &actions);
      Collect(&actions, asking);
      continue;
    }
    message next = std::move(messages_.front());
    messages_.pop_front();
    if (!next.bytes.empty()) next.what.payload = next.bytes;
    const auto place = places_.find(next.to);
    if (place != places_.end()) {
      if (next.what.kind == envelope_kind::kPacket) ++hops_;
      const auto node = targets_.find(place->second);
      if (node == targets_.end()) continue;  // it joins just now
      node->second.owner->OnEnvelope(next.what, now_, &actions);
      Collect(&actions, place->second);
      continue;
    }
    if (next.what.kind == envelope_kind::kReset) ++resets_;
    for (std::size_t router = 0; router < routers_.size(); ++router) {
      if (next.to == RouterPlace(router))
        routers_[router]->OnEnvelope(next.what, now_);
    }
  }
}

std::vector<target_id> packet_bus::Targets(bool serving) const {
  std::vector<target_id> found;
  for (const auto& [id, node] : targets_) {
    if ((node.record.state == target_state::kServing) == serving)
      found.push_back(id);
  }
  return found;
}

}  // namespace tamaracklatch::bench
