// Wiring of the log, the roster's hub and the operators' doors.
#include "daemon/steering_control.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstdio>
#include <utility>

#include "tamaracklatch/core/abbreviated_name.h"

namespace tamaracklatch {
namespace {

constexpr std::chrono::milliseconds kTickInterval{
    50};  // between looks at what waits
constexpr std::chrono::milliseconds kConfirmInterval{
    250};  // between questions whether the set held is the newest

consensus_agent_settings ConsensusSettings(
    const steering_control_settings& settings) {
  consensus_agent_settings result;
  result.data_folder = settings.process.data_folder;
  result.consensus.name = settings.process.name;
  bool is_seed = false;
  for (const endpoint& seed : settings.seeds) {
    is_seed = is_seed || seed == settings.cluster;
    if (seed != settings.cluster)
      result.consensus.peers.push_back(ToString(seed));
  }
  if (settings.founds && is_seed) {
    for (const endpoint& seed : settings.seeds)
      result.consensus.founders.push_back(ToString(seed));
  }
  result.consensus.heartbeat_interval = settings.heartbeat_interval;
  result.consensus.election_timeout = settings.election_timeout;
  result.consensus.desired_voters = 2 * settings.tolerated_losses + 1;
  // A name is the text of the VM's own endpoint.
  result.resolve = [](const vm_name& name) {
    return ParseEndpoint(name, nullptr);
  };
  return result;
}

node_record OwnRecord(const steering_control_settings& settings,
                      const process_frame& frame) {
  node_record result =
      MakeOwnRecord(frame, node_role::kControl, settings.cluster);
  result.operators = settings.listen_http;
  return result;
}

}  // namespace

steering_control::steering_control(const steering_control_settings& settings)
    : settings_(settings),
      frame_(settings.process, process_role::kControl),
      hub_(&frame_.loop(), frame_.links(), &frame_.clock(), &frame_.events()),
      state_(this),
      consensus_(&frame_, &hub_, ConsensusSettings(settings), this),
      roster_(&frame_, {settings.seeds}, OwnRecord(settings, frame_), this, {}),
      door_(document_set_handler({}, &state_, frame_.random()())),
      zone_door_(zone_order_handler({}, frame_.random()())) {
  door_.SetLog(&consensus_);
  zone_door_.SetLog(&consensus_);
  roster_.AddHub({});
}

int steering_control::Run(http_handler handler) {
  frame_.events().SetNode(ToString(settings_.cluster));
  failure why;
  const bool started =
      consensus_.Start(&why) && hub_.Listen(settings_.cluster, &why) &&
      frame_.ServeHttp(settings_.listen_http, std::move(handler), &why) &&
      roster_.Start(&why);
  if (!started) {
    fmt::print(stderr, "{}\n", ToString(why));
    return 1;
  }
  frame_.Every(kTickInterval, [this] { Tick(); });
  frame_.OnScrape([this] {
    frame_.counts().Set("tamaracklatch_set_version",
                        "Version of the document set in force here.",
                        static_cast<double>(published_));
    frame_.counts().Set(
        "tamaracklatch_evacuated_zones", "Zones that get no new openings.",
        static_cast<double>(state_.rules().evacuated_zones.size()));
  });
  frame_.Every(kConfirmInterval, [this] { ConfirmSet(); });
  frame_.Run([this] { frame_.Stop(); });
  return 0;
}

log_leadership steering_control::Standing() const {
  log_leadership result;
  result.is_leader = consensus_.node().role() == consensus_role::kLeader;
  const auto& leader = consensus_.node().leader();
  if (!result.is_leader && leader && leader->name != settings_.process.name)
    result.leader = leader->name;
  return result;
}

void steering_control::Order(const set_replacement& order,
                             set_answer_handler reply) {
  const std::uint64_t request = door_.NextRequest();
  door_.Await<set_answer>(
      request,
      [this, reply = std::move(reply)](const set_answer& answer) {
        TellAnswer(answer);
        reply(answer);
      },
      door_.gate().Replace(request, order, Standing(), frame_.Now()));
}

void steering_control::Read(set_read_handler reply) {
  const std::uint64_t request = door_.NextRequest();
  door_.Await<set_read_answer>(request, std::move(reply),
                               door_.gate().Read(request, frame_.Now()));
}

void steering_control::TellRefused(const std::vector<failure>& failures) {
  event what;
  what.id = event_id::kSetRefused;
  what.code = result_code::kSetInvalid;
  if (!failures.empty())
    what.detail = fmt::format("{} faults; first: {}", failures.size(),
                              failures.front().reason);
  frame_.events().OnEvent(what);
}

void steering_control::OrderZone(const set_zone_evacuation& order,
                                 const zone_order_reply& reply) {
  const std::string what = fmt::format(
      "{} {}", order.zone, order.evacuated ? "evacuated" : "not evacuated");
  if (frame_.HasJustPaused()) {
    // The operator may have stopped waiting for an order that arrived during
    // the pause, and may have sent the opposite order to another VM since.
    zone_order_answer refused;
    refused.code = result_code::kProcessPaused;
    refused.reason = "the process was paused; send the order again";
    TellZoneOrder(event_id::kZoneOrderRefused, refused.code,
                  what + ": " + refused.reason);
    return reply(refused);
  }
  const std::uint64_t request = zone_door_.NextRequest();
  zone_door_.Await<zone_order_answer>(
      request,
      [this, what, reply](const zone_order_answer& answer) {
        if (answer.code == result_code::kOk) {
          TellZoneOrder(event_id::kZoneOrderAccepted, answer.code, what);
        } else {
          TellZoneOrder(event_id::kZoneOrderRefused, answer.code,
                        what + ": " + answer.reason);
        }
        reply(answer);
      },
      zone_door_.gate().Order(request, order, Standing(), frame_.Now()));
}

void steering_control::TellZoneOrderRefused(const failure& why) {
  TellZoneOrder(event_id::kZoneOrderRefused, why.code, why.reason);
}

void steering_control::TellZoneOrder(event_id id, result_code code,
                                     std::string detail) {
  event what;
  what.id = id;
  what.code = code;
  what.detail = std::move(detail);
  frame_.events().OnEvent(what);
}

bool steering_control::IsKnownZone(const zone_name& zone) const {
  const auto& entries = roster_.member().entries();
  const zone_name abbreviated = AbbreviateName(zone);
  return zone == settings_.process.zone || settings_.zones.count(zone) != 0 ||
         state_.rules().IsEvacuated(abbreviated) ||
         std::any_of(entries.begin(), entries.end(), [&](const auto& each) {
           return each.second.record.zone == abbreviated;
         });
}

std::optional<endpoint> steering_control::OperatorsOf(
    const vm_name& name) const {
  const auto where = ParseEndpoint(name, nullptr);
  if (!where) return std::nullopt;
  const auto& entries = roster_.member().entries();
  const auto found = entries.find(*where);
  if (found == entries.end() || found->second.record.operators.port == 0)
    return std::nullopt;
  return found->second.record.operators;
}

// A control VM that is no member finds the others by what the roster tells.
void steering_control::OnRosterChanged(const roster_entry& entry) {
  if (entry.record.role != node_role::kControl) return;
  if (entry.record.where == settings_.cluster) return;
  consensus_.LearnPeers({ToString(entry.record.where)});
}

void steering_control::Apply(revision index, std::string_view command) {
  state_.Apply(index, command);
}

bool steering_control::Restore(std::string_view snapshot,
                               failure* last_failure) {
  if (!state_.Restore(snapshot, last_failure)) return false;
  PublishRules();
  PublishSet(false);
  door_.OnRestored();
  zone_door_.OnRestored();
  return true;
}

void steering_control::OnApplied(const command_outcome& outcome,
                                 const revision_changes&) {
  PublishRules();
  PublishSet(true);
  door_.OnApplied(outcome);
  zone_door_.OnApplied(outcome);
}

// Runs before PublishSet: a node must not use a set with older rules than those
// that were in force when the set was accepted.
void steering_control::PublishRules() {
  const placement_rules& rules = state_.rules();
  if (rules.revision <= published_rules_) return;
  published_rules_ = rules.revision;
  roster_.SetPlacementRules(rules);
  event what;
  what.id = event_id::kRulesApplied;
  what.detail = fmt::format("revision {}, {} evacuated zones, {} cold limits",
                            rules.revision, rules.evacuated_zones.size(),
                            rules.cold_limits.size());
  for (const zone_name& zone : rules.evacuated_zones) {
    what.detail += what.detail.find(':') == std::string::npos ? ": " : ", ";
    what.detail += zone;
  }
  frame_.events().OnEvent(what);
}

// `is_next`: the set published before is the one accepted before.
void steering_control::PublishSet(bool is_next) {
  const auto& held = state_.held_set();
  if (!held || held->version <= published_) return;
  published_ = held->version;
  roster_.SetDocuments(held->version, held->encoded_set, is_next);
  event what;
  what.id = event_id::kSetApplied;
  what.detail = fmt::format("version {}", held->version);
  frame_.events().OnEvent(what);
}

// What the quorum confirms to a read was true when the read was asked.
void steering_control::ConfirmSet() {
  const time_point asked = frame_.Now();
  consensus_.Read([this, asked](result_code code, revision) {
    if (code == result_code::kOk)
      roster_.OnQuorumConfirmed(published_, published_rules_, asked);
  });
}

void steering_control::TellAnswer(const set_answer& answer) {
  event what;
  const bool is_acknowledged =
      document_set_handler::HttpStatus(answer.code) == 200;
  what.id = is_acknowledged ? event_id::kSetAccepted : event_id::kSetRefused;
  what.code = answer.code;
  what.detail =
      fmt::format("version {}, held {}", answer.version, answer.held_version);
  frame_.events().OnEvent(what);
}

void steering_control::Tick() {
  const bool leads = consensus_.node().role() == consensus_role::kLeader;
  door_.Tick(leads, frame_.Now());
  zone_door_.Tick(leads, frame_.Now());
}

}  // namespace tamaracklatch
