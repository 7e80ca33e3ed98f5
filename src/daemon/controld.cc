// The control daemon: one voter of the replicated log, the operators' API, the
// root of the distribution of revisions and the keeper of the targets' leases.
#include <fmt/format.h>

#include <algorithm>
#include <cstdio>
#include <map>
#include <optional>

#include "daemon/consensus_agent.h"
#include "daemon/control_api.h"
#include "daemon/membership_frame.h"
#include "daemon/process_frame.h"
#include "daemon/view_agent.h"
#include "tamaracklatch/control/control_state.h"
#include "tamaracklatch/daemon/daemons.h"
#include "tamaracklatch/membership/absence_detector.h"
#include "tamaracklatch/membership/lease_table.h"
#include "tamaracklatch/membership/loss_detector.h"
#include "transport/link_hub.h"

namespace tamaracklatch {
namespace {

constexpr std::chrono::milliseconds kQuorumInterval{
    500};  // between confirmations that the quorum agrees
constexpr std::chrono::milliseconds kTickInterval{
    100};  // between looks at the leases
constexpr std::chrono::milliseconds kPresenceInterval{
    1000};  // between looks at the members that nobody hears

relay_settings RelaySettings(const controld_settings& settings,
                             const process_frame& frame) {
  relay_settings result;
  result.self = {settings.process.name, frame.self().started};
  result.zone = settings.process.zone;
  // What others are told, also where the socket listens at a wildcard.
  for (const voter_settings& voter : settings.voters) {
    if (voter.name == settings.process.name) result.where = voter.links;
  }
  result.is_source = true;
  return result;
}

consensus_agent_settings ConsensusSettings(const controld_settings& settings) {
  consensus_agent_settings result;
  result.data_folder = settings.process.data_folder;
  result.consensus.name = settings.process.name;
  std::map<vm_name, endpoint> links;
  for (const voter_settings& voter : settings.voters) {
    links[voter.name] = voter.links;
    result.consensus.founders.push_back(voter.name);
    if (voter.name == settings.process.name) continue;
    result.consensus.peers.push_back(voter.name);
  }
  result.resolve = [links](const vm_name& name) -> std::optional<endpoint> {
    const auto found = links.find(name);
    if (found == links.end()) return std::nullopt;
    return found->second;
  };
  return result;
}

lease_settings LeaseSettings(const controld_settings& settings) {
  lease_settings result;
  result.relay = settings.process.vm;
  result.zone = settings.process.zone;
  return result;
}

// The control state as the log drives it.
class control_machine : public replicated_state_machine {
 public:
  control_machine(control_state* state, std::function<void()> on_restored)
      : state_(state), on_restored_(std::move(on_restored)) {}

  void Apply(revision index, std::string_view command) override {
    state_->Apply(index, command);
  }
  std::string Snapshot() override { return state_->Snapshot(); }

  bool Restore(std::string_view snapshot, failure* last_failure) override {
    if (!state_->Restore(snapshot, last_failure)) return false;
    on_restored_();
    return true;
  }

 private:
  control_state* state_;
  std::function<void()> on_restored_;
};

class controld {
 public:
  explicit controld(const controld_settings& settings)
      : settings_(settings),
        frame_(settings.process, process_role::kControl),
        hub_(&frame_.loop(), frame_.links(), &frame_.clock(), &frame_.events()),
        api_(&frame_, &hub_, settings, &state_),
        state_(&api_),
        machine_(&state_, [this] { OnRestored(); }),
        consensus_(&frame_, &hub_, ConsensusSettings(settings), &machine_),
        view_(&frame_, &hub_, RelaySettings(settings, frame_), nullptr),
        leases_(LeaseSettings(settings)) {
    api_.SetAgents(&consensus_, &view_);
    api_.SetRefusalHandler([this](const std::vector<refused_target>& refused) {
      judge_.OnRefused(refused, frame_.Now());
    });
    view_.SetQuorumChecker(
        [this](const quorum_check& check) { CheckQuorum(check); });
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
    frame_.Every(kQuorumInterval, [this] { HearQuorum(); });
    frame_.Every(kTickInterval, [this] { ReportLeases(); });
    frame_.Every(kTickInterval, [this] { JudgeLosses(); });
    frame_.Every(kPresenceInterval, [this] { JudgeAbsences(); });
    frame_.Every(kTickInterval, [this] { api_.Tick(); });
    view_.Start();
    frame_.Run([this] { frame_.Stop(); });
    return 0;
  }

 private:
  bool Start(failure* why) {
    if (!consensus_.Start(why)) return false;
    if (!hub_.Listen(settings_.listen_links, why)) return false;
    const auto handle = [this](const http_request& request,
                               const http_reply& reply) {
      api_.Handle(request, reply);
    };
    return frame_.ServeHttp(settings_.listen_http, handle, why);
  }

  void OnRestored() {
    api_.OnRestored();
    view_.Perform(view_.node().Reset(state_.view(), frame_.Now()));
  }

  void CheckQuorum(const quorum_check& check) {
    consensus_.Read([this, check](result_code code, revision) {
      if (code != result_code::kOk) return;
      view_.Perform(view_.node().OnQuorumChecked(check.peer, check.number,
                                                 state_.view().at));
    });
  }

  // What the quorum confirms to a read was true when the read was asked.
  void HearQuorum() {
    const time_point asked = frame_.Now();
    consensus_.Read([this, asked](result_code code, revision) {
      if (code == result_code::kOk) view_.node().OnQuorumReached(asked);
    });
    view_.Perform(view_.node().SetLeader(api_.LeaderContact(), asked));
  }

  void OnMembership(const std::string& peer, const std::string& body) {
    const auto message = DecodeMembershipFrame(body);
    if (!message) return;
    if (const auto* renewal = std::get_if<lease_renewal>(&*message)) {
      const lease_answer answer =
          leases_.OnRenewal(*renewal, state_.view(), frame_.Now());
      hub_.Send(peer, {}, frame_kind::kMembership,
                EncodeMembershipFrame(answer));
    } else if (const auto* report = std::get_if<membership_report>(&*message)) {
      TakeReport(peer, *report);
    } else if (const auto* answer = std::get_if<membership_answer>(&*message)) {
      leases_.OnReportAnswer(*answer, frame_.Now());
    }
  }

  void ReportLeases() {
    const auto report = leases_.OnTick(state_.view(), frame_.Now());
    if (!report) return;
    const auto leader = api_.LeaderContact();
    if (leader)
      return hub_.Send(leader->name, leader->where, frame_kind::kMembership,
                       EncodeMembershipFrame(*report));
    TakeReport({}, *report);
  }

  // At the leader: what changed goes into the log; the answer tells the relay
  // that it was received.
  void TakeReport(const std::string& peer, const membership_report& report) {
    if (!api_.IsLeader()) return;
    membership_answer answer;
    answer.number = report.number;
    answer.term = consensus_.node().term().value;
    answer.held_elsewhere =
        judge_.OnReport(report, state_.view(), frame_.Now());
    answer.refused = judge_.RefusalsFor(report, frame_.Now());
    if (peer.empty()) return leases_.OnReportAnswer(answer, frame_.Now());
    hub_.Send(peer, {}, frame_kind::kMembership, EncodeMembershipFrame(answer));
  }

  void JudgeLosses() {
    if (!api_.IsLeader()) return judge_.Reset();
    for (const loss_action& action :
         judge_.OnTick(state_.view(), frame_.Now())) {
      std::visit([this](const auto& each) { Do(each); }, action);
    }
  }

  void JudgeAbsences() {
    if (!api_.IsLeader()) return absences_.Reset();
    for (const loss_action& action :
         absences_.Evaluate(Presence(), state_.view(), frame_.Now())) {
      std::visit([this](const auto& each) { Do(each); }, action);
    }
  }

  node_presence Presence() const {
    const relay_node& node = view_.node();
    node_presence heard;
    heard.nodes = node.Names();
    heard.acknowledgments = node.Progress();
    heard.zones = {settings_.process.zone};
    for (const auto& [name, child] : node.children().all())
      heard.zones.insert(child.contact.zone);
    const auto& voters = consensus_.node().Status().configuration.voters;
    heard.all_voters_present = std::all_of(
        voters.begin(), voters.end(), [&](const cluster_member& voter) {
          return voter.id.name == settings_.process.name ||
                 node.children().all().count(voter.id.name) > 0;
        });
    return heard;
  }

  void Do(const propose_membership& action) {
    api_.ProposeMembership(action.batch);
  }

  void Do(const report_unconfirmed_losses& action) {
    event what;
    what.id = event_id::kLossDoubted;
    what.peer = action.relay;
    what.detail = fmt::format("{} targets of {}", action.targets, action.zone);
    frame_.events().OnEvent(what);
  }

  controld_settings settings_;
  process_frame frame_;
  link_hub hub_;
  control_api api_;
  control_state state_;
  control_machine machine_;
  consensus_agent consensus_;
  view_agent view_;
  lease_table leases_;
  loss_detector judge_{loss_settings()};
  absence_detector absences_{absence_settings()};
};

}  // namespace

int RunControld(const controld_settings& settings) {
  return controld(settings).Run();
}

}  // namespace tamaracklatch
