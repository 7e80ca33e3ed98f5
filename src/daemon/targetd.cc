// The target daemon, beside one target: holds the truth about its flows and
// requests, announces the target, and leaves gracefully.
#include <fmt/format.h>

#include <algorithm>
#include <cstdio>
#include <memory>

#include "daemon/envelope_socket.h"
#include "daemon/graceful_stop.h"
#include "daemon/membership_frame.h"
#include "daemon/process_frame.h"
#include "daemon/request_front.h"
#include "daemon/target_datagrams.h"
#include "daemon/target_relay.h"
#include "daemon/view_agent.h"
#include "tamaracklatch/daemon/daemons.h"
#include "tamaracklatch/flow/flow_owner.h"
#include "tamaracklatch/membership/announcer.h"
#include "transport/link_hub.h"

namespace tamaracklatch {
namespace {

constexpr std::chrono::milliseconds kAnnounceInterval{
    100};  // between looks at what the announcer wants sent

// Nodes with an older view send new work for some seconds after the signal. It
// is passed on, and what was answered last is sent.
constexpr std::chrono::seconds kStopQuiet{4};
// The service's document bounds how long flows and requests may last.
constexpr std::chrono::hours kStopLimit{24};

graceful_stop_settings StopSettings() {
  graceful_stop_settings result;
  result.limit = kStopLimit;
  result.quiet = kStopQuiet;
  return result;
}

relay_settings RelaySettings(const targetd_settings& settings,
                             const process_frame& frame) {
  relay_settings result;
  result.self = {settings.process.name, frame.self().started};
  result.zone = settings.process.zone;
  result.service = settings.service;
  result.control = ControlContacts(settings.control);
  return result;
}

announcer_settings AnnouncerSettings(const targetd_settings& settings,
                                     const process_frame& frame) {
  target_announcement target;
  target.key = {settings.process.vm, settings.service, frame.self().started};
  target.generation =
      static_cast<std::uint64_t>(frame.WallNow().time_since_epoch().count());
  target.zone = settings.process.zone;
  target.packets = settings.packets;
  target.relay = settings.relay;
  target.requests = settings.requests;
  target.capacity = settings.capacity;
  announcer_settings result;
  result.target = target;
  return result;
}

class targetd : public view_listener, public relay_judge {
 public:
  explicit targetd(const targetd_settings& settings)
      : settings_(settings),
        frame_(settings.process, process_role::kTarget),
        hub_(&frame_.loop(), frame_.links(), &frame_.clock(), &frame_.events()),
        view_(&frame_, &hub_, RelaySettings(settings, frame_), this),
        announcer_(AnnouncerSettings(settings, frame_), frame_.random()(),
                   frame_.Now()),
        envelopes_(&frame_.loop(), settings.process.link_key, &frame_.counts(),
                   [this](const envelope& what) { OnEnvelope(what); }),
        datagrams_(&frame_.loop(), settings.target.udp.value_or(endpoint()),
                   [this](const flow_key& key, std::string_view bytes) {
                     OnAnswer(key, bytes);
                   }),
        relay_(&frame_, settings.target.tcp.value_or(endpoint()), this),
        encapsulated_(frame_.loop()) {
    hub_.SetHandler(frame_kind::kMembership,
                    [this](const std::string& peer, const std::string& body) {
                      OnMembership(peer, body);
                    });
  }

  int Run() {
    failure why;
    if (!Start(&why)) {
      fmt::print(stderr, "{}\n", ToString(why));
      return 1;
    }
    frame_.Every(kTickInterval, [this] { Tick(); });
    frame_.Every(kAnnounceInterval, [this] { Announce(); });
    view_.Start();
    frame_.Run([this] { BeginStop(); });
    return 0;
  }

  void OnViewChanges(const revision_changes& step) override {
    if (!owner_) return MeetOwnRecord();
    owner_->Apply(step, frame_.Now(), &actions_);
    Perform();
    if (front_) front_->OnView(view_.node().view(), owner_->self());
  }

  void OnViewReplaced(const cluster_view& view) override {
    if (!owner_) return MeetOwnRecord();
    owner_->Reset(view, frame_.Now(), &actions_);
    Perform();
    if (front_) front_->OnView(view, owner_->self());
  }

  void OnServingAllowed() override { MeetOwnRecord(); }

  relay_answer JudgeRelay(const std::string& encoded, flow_key* key) override {
    failure why;
    const auto what = DecodeEnvelope(encoded, envelopes_.key(), &why);
    if (!what) return {relay_verdict::kRefused, why.code, {}, {}};
    if (!owner_)
      return {relay_verdict::kRefused, result_code::kNoOpenTarget, {}, {}};
    *key = what->key;
    relay_verdict_ = {
        relay_verdict::kRefused, result_code::kNoOpenTarget, {}, {}};
    owner_->OnRelayOpen(*what, frame_.Now(), &actions_);
    Perform();
    return relay_verdict_;
  }

  // A close that the owner asked for ends here while its actions are performed,
  // and the owner must not be called then.
  void OnRelayEnded(const flow_key& key) override {
    asio::post(frame_.loop(), [this, key] {
      if (owner_) owner_->OnFlowEnded(key);
    });
  }

 private:
  bool Start(failure* why) {
    if (!frame_.ServeHttp(settings_.listen_http, {}, why)) return false;
    if (!envelopes_.Start(settings_.packets, why)) return false;
    if (settings_.target.tcp && !relay_.Listen(settings_.relay, why))
      return false;
    if (settings_.target.encapsulated) {
      asio::error_code error;
      encapsulated_.connect(ToUdp(*settings_.target.encapsulated), error);
      if (error) {
        SetFailure(why, result_code::kBindFailed,
                   "target.encapsulated: " + error.message());
        return false;
      }
    }
    return true;
  }

  // The daemon takes part in the packet plane once the control plane has given
  // its target an id and the start rule allows it to serve.
  void MeetOwnRecord() {
    if (owner_ || !view_.node().may_serve()) return;
    const auto& targets = view_.node().view().targets;
    const auto found =
        std::find_if(targets.begin(), targets.end(), [&](const auto& entry) {
          return entry.second.started == frame_.self().started;
        });
    if (found == targets.end()) return;
    flow_owner_settings own;
    own.service = found->second.service;
    own.self = found->first;
    own.started = found->second.started;
    own.packets = settings_.packets;
    owner_ = std::make_unique<flow_owner>(own, frame_.Now(), &frame_.events());
    owner_->Reset(view_.node().view(), frame_.Now(), &actions_);
    if (stop_.HasBegun()) owner_->BeginDrain(frame_.Now());
    Perform();
    StartRequests(own.self);
  }

  // Requests need the target's id, by which keys are owned.
  void StartRequests(target_id self) {
    if (!settings_.target.http) return;
    request_front_settings made;
    made.listen = settings_.requests;
    made.target = *settings_.target.http;
    made.slots = settings_.capacity;
    made.key = settings_.process.link_key;
    front_ = std::make_unique<request_front>(&frame_, made, self);
    failure why;
    if (!front_->Start(&why)) {
      fmt::print(stderr, "{}\n", ToString(why));
      front_.reset();
      return;
    }
    front_->OnLease(announcer_.lease_end());
    front_->OnView(view_.node().view(), self);
    if (stop_.HasBegun()) front_->Drain();
  }

  void OnEnvelope(const envelope& what) {
    view_.OnRevisionSeen(what.at);
    if (!owner_) return;
    owner_->OnEnvelope(what, frame_.Now(), &actions_);
    Perform();
  }

  void OnAnswer(const flow_key& key, std::string_view bytes) {
    if (!owner_) return;
    owner_->OnAnswer(key, bytes, frame_.Now(), &actions_);
    Perform();
  }

  // Actions may lead to calls that add more, so the list is taken before it is
  // carried out.
  void Perform() {
    std::vector<owner_action> taken;
    taken.swap(actions_);
    for (const owner_action& action : taken) {
      std::visit([this](const auto& each) { Do(each); }, action);
    }
  }

  void Do(const deliver_packet& action) {
    if (IsEncapsulated(action.key)) {
      asio::error_code ignored;
      encapsulated_.send(asio::buffer(action.bytes.data(), action.bytes.size()),
                         0, ignored);
    } else if (!datagrams_.Deliver(action.key, action.bytes)) {
      frame_.counts().Count("tamaracklatch_undelivered_total",
                            "Datagrams without a socket for their flow.");
    }
  }

  // The target's kernel takes the packet from its FOU port.
  void SendEncapsulated(std::string_view bytes) {
    asio::error_code ignored;
    encapsulated_.send(asio::buffer(bytes.data(), bytes.size()), 0, ignored);
  }

  void Do(const send_envelope& action) {
    envelopes_.Send(action.to, action.message);
  }

  void Do(const close_towards_target& action) {
    datagrams_.Close(action.key);
    relay_.Close(action.key);
    if (!action.reset.empty()) SendEncapsulated(action.reset);
  }

  void Do(const close_towards_caller& action) { relay_.Close(action.key); }

  void Do(const pull_view& action) {
    pulled_at_ = frame_.Now();
    view_.OnRevisionSeen(action.at_least);
  }

  void Do(const drop_packet& action) {
    frame_.counts().Count("tamaracklatch_packets_dropped_total",
                          "Packets that were dropped, by reason.", 1.0,
                          std::string(ToString(action.reason)));
  }

  void Do(const accept_relay&) {
    relay_verdict_ = {relay_verdict::kAccepted, result_code::kOk, {}, {}};
  }

  void Do(const redirect_relay& action) {
    relay_verdict_ = {
        relay_verdict::kPassed, result_code::kOk, action.relay, {}};
    if (action.relay.port != 0)
      EncodeEnvelope(action.message, envelopes_.key(),
                     &relay_verdict_.envelope);
  }

  void Do(const refuse_relay& action) {
    relay_verdict_ = {relay_verdict::kRefused, action.reason, {}, {}};
  }

  bool IsEncapsulated(const flow_key& key) const {
    if (!settings_.target.encapsulated) return false;
    const service_record* service =
        view_.node().view().FindService(settings_.service);
    if (service == nullptr) return false;
    const auto& addresses = service->document.addresses;
    return std::any_of(addresses.begin(), addresses.end(),
                       [&](const service_address& address) {
                         return address.kind == port_kind::kEncapsulated &&
                                address.protocol == key.protocol &&
                                address.where == endpoint{key.destination,
                                                          key.destination_port};
                       });
  }

  void Tick() {
    if (!owner_) return;
    relay_.ReportProgress(
        [this](const flow_key& key, const relay_progress& progress) {
          owner_->OnRelayProgress(key, progress, frame_.Now());
        });
    ConfirmView();
    owner_->Tick(frame_.Now(), &actions_);
    Perform();
    const flow_counters& counts = owner_->counters();
    frame_.counts().Set("tamaracklatch_flows", "Flows open now.",
                        static_cast<double>(owner_->flow_count()));
    frame_.counts().SetTotal("tamaracklatch_flows_opened_total",
                             "Flows opened since the start.",
                             static_cast<double>(counts.opened));
    frame_.counts().SetTotal("tamaracklatch_packets_delivered_total",
                             "Packets handed to the target since the start.",
                             static_cast<double>(counts.delivered));
    const bool is_busy =
        owner_->flow_count() > 0 || (front_ && !front_->idle());
    if (is_busy) stop_.OnArrival(frame_.Now());
    if (stop_.IsDone(frame_.Now())) Finish();
  }

  // A view that the control quorum confirmed after the pull was asked for
  // answers the held packets.
  void ConfirmView() {
    if (!pulled_at_) return;
    const time_point now = frame_.Now();
    if (now - view_.node().Age(now) < *pulled_at_) return;
    pulled_at_.reset();
    owner_->OnViewConfirmed(view_.node().known(), now, &actions_);
    Perform();
  }

  // The lease is kept by the node that this one pulls from: a relay of its own
  // zone where there is one, so that heartbeats stay in the zone. The control
  // VMs stand in while there is none.
  void FollowParent() {
    const auto& parent = view_.node().parent();
    const std::string name = parent ? parent->name : "";
    if (has_relays_ && name == lease_parent_) return;
    has_relays_ = true;
    lease_parent_ = name;
    std::vector<relay_contact> relays = ControlContacts(settings_.control);
    const auto same = std::find_if(
        relays.begin(), relays.end(),
        [&](const relay_contact& relay) { return relay.name == name; });
    if (same != relays.end()) {
      std::rotate(relays.begin(), same, same + 1);
    } else if (parent) {
      relays.insert(relays.begin(), *parent);
    }
    announcer_.SetRelays(relays, frame_.Now());
  }

  void Announce() {
    FollowParent();
    for (const announcer::send& each : announcer_.OnTick(frame_.Now())) {
      hub_.Send(each.relay.name, each.relay.where, frame_kind::kMembership,
                EncodeMembershipFrame(each.message));
    }
  }

  void OnMembership(const std::string& peer, const std::string& body) {
    const auto message = DecodeMembershipFrame(body);
    if (!message) return;
    const auto* answer = std::get_if<lease_answer>(&*message);
    if (answer == nullptr) return;
    announcer_.OnAnswer(peer, *answer, frame_.Now());
    if (front_) front_->OnLease(announcer_.lease_end());
    if (answer->code == last_refusal_) return;
    last_refusal_ = answer->code;
    if (answer->code == result_code::kOk) return;
    event what;
    what.id = event_id::kTargetRefused;
    what.service = settings_.service;
    what.code = answer->code;
    what.detail = answer->detail;
    frame_.events().OnEvent(what);
  }

  // New work ends at once; what is established is waited for.
  void BeginStop() {
    stop_.Begin(frame_.Now());
    announcer_.Drain(frame_.Now());
    Announce();
    if (!owner_) return Finish();
    owner_->BeginDrain(frame_.Now());
    if (front_) front_->Drain();
  }

  void Finish() {
    view_.Leave();
    frame_.Stop();
  }

  targetd_settings settings_;
  process_frame frame_;
  link_hub hub_;
  view_agent view_;
  announcer announcer_;
  bool has_relays_ = false;   // the announcer was given any
  std::string lease_parent_;  // the node's parent when it was
  envelope_socket envelopes_;
  target_datagrams datagrams_;
  target_relay relay_;
  asio::ip::udp::socket encapsulated_;
  std::unique_ptr<flow_owner> owner_;     // once the target has an id
  std::unique_ptr<request_front> front_;  // where the target takes requests
  std::vector<owner_action> actions_;
  relay_answer relay_verdict_;           // of the opening being judged
  std::optional<time_point> pulled_at_;  // a pull that is not confirmed yet
  result_code last_refusal_ = result_code::kOk;
  graceful_stop stop_{StopSettings()};
};

}  // namespace

int RunTargetd(const targetd_settings& settings) {
  return targetd(settings).Run();
}

}  // namespace tamaracklatch
