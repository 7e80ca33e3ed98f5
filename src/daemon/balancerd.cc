// The balancer daemon: packets of the services' addresses go to target daemons,
// their answers back to the callers. It keeps no truth and may be restarted at
// any time.
#include <fmt/format.h>

#include <cstdio>

#include "daemon/balancer_ports.h"
#include "daemon/balancer_relay.h"
#include "daemon/envelope_socket.h"
#include "daemon/lease_agent.h"
#include "daemon/process_frame.h"
#include "daemon/view_agent.h"
#include "tamaracklatch/daemon/daemons.h"
#include "tamaracklatch/flow/flow_router.h"
#include "transport/link_hub.h"

namespace tamaracklatch {
namespace {

constexpr std::chrono::milliseconds kLeaseInterval{
    100};  // between looks at the leases
constexpr std::chrono::milliseconds kCheckInterval{
    1000};  // of stuck connections and of the end of a stop

relay_settings RelaySettings(const balancerd_settings& settings,
                             const process_frame& frame) {
  relay_settings result;
  result.self = {settings.process.name, frame.self().started};
  result.zone = settings.process.zone;
  if (settings.listen_links) result.where = *settings.listen_links;
  result.control = ControlContacts(settings.control);
  return result;
}

lease_settings LeaseSettings(const balancerd_settings& settings) {
  lease_settings result;
  result.relay = settings.process.name;
  result.zone = settings.process.zone;
  return result;
}

class balancerd : public view_listener, public port_listener {
 public:
  explicit balancerd(const balancerd_settings& settings)
      : settings_(settings),
        frame_(settings.process, process_role::kBalancer),
        hub_(&frame_.loop(), frame_.links(), &frame_.clock(), &frame_.events()),
        view_(&frame_, &hub_, RelaySettings(settings, frame_), this),
        leases_(&frame_, &hub_, &view_, LeaseSettings(settings),
                ControlContacts(settings.control)),
        router_(RouterSettings(settings)),
        envelopes_(&frame_.loop(), settings.process.link_key, &frame_.counts(),
                   [this](const envelope& what) { OnEnvelope(what); }),
        ports_(&frame_, this),
        relay_(&frame_, envelopes_.key(),
               [this](const flow_key& key) { return RouteConnection(key); }),
        encapsulated_(&frame_.loop(),
                      [this](const endpoint& from, std::string_view bytes) {
                        fabric_ = from;
                        OnEncapsulated(bytes);
                      }) {}

  int Run() {
    failure why;
    if (!Start(&why)) {
      fmt::print(stderr, "{}\n", ToString(why));
      return 1;
    }
    frame_.Every(kCheckInterval, [this] { Check(); });
    frame_.Every(kLeaseInterval, [this] { leases_.Tick(); });
    view_.Start();
    frame_.Run([this] { BeginStop(); });
    return 0;
  }

  void OnViewChanges(const revision_changes& step) override {
    router_.Apply(step, frame_.Now());
    Follow();
  }

  void OnViewReplaced(const cluster_view& view) override {
    router_.Reset(view, frame_.Now());
    Follow();
  }

  void OnServingAllowed() override { Follow(); }

  void OnDatagram(const flow_key& key, std::string_view bytes) override {
    Forward({key, flow_opening::kUnknown, bytes});
  }

  void OnConnection(const flow_key& key,
                    asio::ip::tcp::socket socket) override {
    relay_.Accept(key, std::move(socket));
  }

 private:
  static flow_router_settings RouterSettings(
      const balancerd_settings& settings) {
    flow_router_settings result;
    result.self = settings.packets;
    result.max_cached_flows = settings.flow_cache_entries;
    return result;
  }

  bool Start(failure* why) {
    if (!frame_.ServeHttp(settings_.listen_http, {}, why)) return false;
    if (settings_.listen_links && !hub_.Listen(*settings_.listen_links, why))
      return false;
    if (!envelopes_.Start(settings_.packets, why)) return false;
    if (settings_.encapsulated &&
        !encapsulated_.Start(*settings_.encapsulated, port_sharing::kShared,
                             why))
      return false;
    return true;
  }

  // No address is served before the start rule allows it, so that a restart
  // brings no old configuration back.
  void Follow() {
    if (view_.node().may_serve()) ports_.Follow(view_.node().view());
  }

  void OnEncapsulated(std::string_view bytes) {
    failure why;
    const auto parsed = ParseIpPacket(bytes, &why);
    if (parsed) return Forward(parsed->ip_packet);
    CountRefused(why.code);
  }

  void Forward(const packet& what) {
    const result_code code = router_.Route(what, frame_.Now(), &routed_);
    if (code != result_code::kOk) return CountRefused(code);
    envelopes_.Send(routed_.to, routed_.message);
  }

  std::optional<routed_packet> RouteConnection(const flow_key& key) {
    routed_packet result;
    const result_code code =
        router_.Route({key, flow_opening::kYes, {}}, frame_.Now(), &result);
    if (code == result_code::kOk) return result;
    CountRefused(code);
    return std::nullopt;
  }

  void OnEnvelope(const envelope& what) {
    view_.OnRevisionSeen(what.at);
    const router_action action = router_.OnEnvelope(what, frame_.Now());
    std::visit([this](const auto& each) { Do(each); }, action);
  }

  void Do(const nothing_to_send& action) {
    if (action.code != result_code::kOk) CountRefused(action.code);
  }

  void Do(const send_to_caller& action) {
    const flow_key& key = action.key;
    ports_.SendDatagram({key.destination, key.destination_port},
                        {key.source, key.source_port}, action.bytes);
  }

  void Do(const reset_caller& action) {
    frame_.counts().Count("tamaracklatch_flows_reset_total",
                          "Flows that a target daemon said are gone.");
    // The fabric carries the packet to the caller.
    if (!action.bytes.empty() && fabric_)
      encapsulated_.Send(*fabric_, action.bytes);
  }

  void CountRefused(result_code code) {
    frame_.counts().Count("tamaracklatch_packets_refused_total",
                          "Packets that were not forwarded, by reason.", 1.0,
                          std::string(ToString(code)));
  }

  std::chrono::seconds StuckLimitOf(service_id service) const {
    const auto& services = view_.node().view().services;
    const auto found = services.find(service);
    return found == services.end() ? flow_limits().stuck_limit
                                   : found->second.document.flows.stuck_limit;
  }

  void Check() {
    relay_.CloseStuck(
        [this](service_id service) { return StuckLimitOf(service); });
    frame_.counts().Set("tamaracklatch_relayed_connections",
                        "Connections that are relayed now.",
                        static_cast<double>(relay_.count()));
    frame_.counts().Set("tamaracklatch_cached_flows",
                        "Flows in the owner cache.",
                        static_cast<double>(router_.cached_flows()));
    if (stopping_ && relay_.count() == 0) frame_.Stop();
  }

  // Datagrams need nothing of this process, so only relayed connections are
  // waited for.
  void BeginStop() {
    stopping_ = true;
    ports_.CloseConnections();
    view_.Leave();
    if (relay_.count() == 0) frame_.Stop();
  }

  balancerd_settings settings_;
  process_frame frame_;
  link_hub hub_;
  view_agent view_;
  lease_agent leases_;
  flow_router router_;
  envelope_socket envelopes_;
  balancer_ports ports_;
  balancer_relay relay_;
  udp_port encapsulated_;
  std::optional<endpoint> fabric_;  // who sent the last encapsulated packet
  routed_packet routed_;
  bool stopping_ = false;
};

}  // namespace

int RunBalancerd(const balancerd_settings& settings) {
  return balancerd(settings).Run();
}

}  // namespace tamaracklatch
