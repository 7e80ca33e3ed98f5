// Requests of operators against the replicated log and the view.
#include "daemon/control_api.h"

#include <fmt/format.h>
#include <sodium.h>

#include <nlohmann/json.hpp>

#include "tamaracklatch/document/service_document.h"

namespace tamaracklatch {
namespace {

constexpr unsigned kOk = 200;
constexpr unsigned kBadRequest = 400;
constexpr unsigned kForbidden = 403;
constexpr unsigned kNotFound = 404;
constexpr unsigned kConflict = 409;
constexpr unsigned kMisdirected = 421;
constexpr unsigned kUnavailable = 503;
constexpr std::string_view kServicesPath = "/v1/services/";

nlohmann::json ResultJson(result_code code) {
  return {{"result",
           code == result_code::kOk ? "accepted" : std::string(ToString(code))},
          {"code", static_cast<unsigned>(code)}};
}

http_response JsonAnswer(unsigned status, const nlohmann::json& body) {
  return {status, "application/json", {}, body.dump()};
}

http_response ErrorAnswer(unsigned status, result_code code,
                          const std::string& detail) {
  nlohmann::json body = ResultJson(code);
  body["detail"] = detail;
  return JsonAnswer(status, body);
}

http_response FaultsAnswer(const std::vector<failure>& faults) {
  nlohmann::json body = ResultJson(faults.front().code);
  for (const failure& fault : faults) {
    body["faults"].push_back({{"code", static_cast<unsigned>(fault.code)},
                              {"name", std::string(ToString(fault.code))},
                              {"reason", fault.reason}});
  }
  return JsonAnswer(kBadRequest, body);
}

unsigned StatusOf(result_code code) {
  switch (code) {
    case result_code::kOk:
      return kOk;
    case result_code::kVersionConflict:
    case result_code::kVersionStale:
    case result_code::kVersionGap:
    case result_code::kAddressTaken:
      return kConflict;
    case result_code::kNotLeader:
      return kMisdirected;
    default:
      return kUnavailable;
  }
}

http_response SubmissionAnswer(const command_outcome& outcome) {
  nlohmann::json body = ResultJson(outcome.code);
  body["service"] = outcome.service;
  body["version"] = outcome.version;
  if (outcome.code == result_code::kOk)
    body["revision"] = outcome.accepted.value;
  if (outcome.code != result_code::kOk)
    body["newest_version"] = outcome.newest_version;
  if (outcome.code == result_code::kVersionConflict) {
    body["winner_hash"] = fmt::format("{:016x}", outcome.winner_hash);
  }
  if (!outcome.detail.empty()) body["detail"] = outcome.detail;
  return JsonAnswer(StatusOf(outcome.code), body);
}

std::string QueryValue(const std::string& query, const std::string& name) {
  const std::string prefix = name + "=";
  std::size_t at = 0;
  while (at <= query.size()) {
    const std::size_t end = std::min(query.find('&', at), query.size());
    const std::string part = query.substr(at, end - at);
    if (part.rfind(prefix, 0) == 0) return part.substr(prefix.size());
    at = end + 1;
  }
  return "";
}

}  // namespace

control_api::control_api(process_frame* frame,
                         const controld_settings& settings,
                         control_state* state)
    : frame_(frame), settings_(settings), state_(state) {}

void control_api::SetAgents(consensus_agent* consensus, view_agent* view) {
  consensus_ = consensus;
  view_ = view;
}

void control_api::Handle(const http_request& request, const http_reply& reply) {
  if (request.path == "/v1/status" && request.method == "GET")
    return ShowStatus(reply);
  if (request.path == "/v1/voters" && request.method == "GET")
    return ShowVoters(reply);
  if (request.path.rfind(kServicesPath, 0) == 0) {
    const std::string rest = request.path.substr(kServicesPath.size());
    const std::size_t slash = rest.find('/');
    const std::string service = rest.substr(0, slash);
    const std::string verb =
        slash == std::string::npos ? "" : rest.substr(slash + 1);
    if (verb.empty() && request.method == "PUT")
      return Submit(service, request, reply);
    if (verb.empty() && request.method == "GET")
      return ShowService(service, request, reply);
    if (verb == "history" && request.method == "GET")
      return ShowHistory(service, reply);
    if (verb == "drain" && request.method == "POST")
      return Drain(service, request, reply);
  }
  reply(ErrorAnswer(
      kNotFound, result_code::kUsage,
      request.method + " " + request.path + " is not part of the API"));
}

bool control_api::MayChange(const http_request& request,
                            const std::string& service) const {
  const std::string expected_prefix = "Bearer ";
  const std::string field = request.Field("Authorization");
  if (field.rfind(expected_prefix, 0) != 0) return false;
  const std::string token = field.substr(expected_prefix.size());
  bool allowed = false;
  for (const operator_settings& each : settings_.operators) {
    const bool same =
        token.size() == each.token.size() &&
        sodium_memcmp(token.data(), each.token.data(), token.size()) == 0;
    if (same && each.MayChange(service)) allowed = true;
  }
  return allowed;
}

void control_api::Submit(const std::string& service,
                         const http_request& request, const http_reply& reply) {
  if (!MayChange(request, service)) {
    return reply(ErrorAnswer(
        kForbidden, result_code::kUnauthorized,
        fmt::format("the bearer token does not name the service \"{}\"",
                    service)));
  }
  std::vector<failure> faults;
  const auto document = ParseDocument(request.body, &faults);
  if (!document) return reply(FaultsAnswer(faults));
  if (document->service != service) {
    return reply(
        ErrorAnswer(kBadRequest, result_code::kUsage,
                    fmt::format("the document is of \"{}\", the path of \"{}\"",
                                document->service, service)));
  }
  control_command command;
  command.tag = frame_->random()();
  command.body = submit_document{CanonicalText(*document), "operator"};
  const std::uint64_t tag = command.tag;
  applied_[tag].code = result_code::kOutcomeUnknown;
  consensus_->Propose(
      Encode(command), [this, reply, tag](result_code code, revision) {
        const command_outcome outcome = applied_[tag];
        applied_.erase(tag);
        if (code == result_code::kOk) return reply(SubmissionAnswer(outcome));
        reply(ErrorAnswer(StatusOf(code), code,
                          "sending the same document again is safe"));
      });
}

void control_api::OnApplied(const command_outcome& outcome,
                            const revision_changes& changes) {
  const auto found = applied_.find(outcome.tag);
  if (found != applied_.end()) found->second = outcome;
  if (!outcome.service.empty()) TellSubmission(outcome);
  for (const event& what : watch_.OnChanges(changes))
    frame_->events().OnEvent(what);
  if (!changes.changes.empty() && view_ != nullptr)
    view_->Perform(view_->node().Publish(changes, frame_->Now()));
}

void control_api::TellSubmission(const command_outcome& outcome) {
  event what;
  what.id = outcome.code == result_code::kOk ? event_id::kSubmissionAccepted
                                             : event_id::kSubmissionRefused;
  what.at = outcome.accepted;
  what.service = outcome.service;
  what.submission = fmt::format("{}@{}", outcome.service, outcome.version);
  what.code = outcome.code;
  what.detail = outcome.detail;
  frame_->events().OnEvent(what);
}

void control_api::ProposeMembership(const membership_batch& batch) {
  control_command command;
  command.tag = frame_->random()();
  command.body = batch;
  consensus_->Propose(Encode(command), [](result_code, revision) {});
}

void control_api::Drain(const std::string& service, const http_request& request,
                        const http_reply& reply) {
  if (!MayChange(request, service)) {
    return reply(ErrorAnswer(
        kForbidden, result_code::kUnauthorized,
        fmt::format("the bearer token does not name the service \"{}\"",
                    service)));
  }
  const std::string vm = QueryValue(request.query, "vm");
  const service_record* record = state_->view().FindService(service);
  if (record == nullptr)
    return reply(ErrorAnswer(kNotFound, result_code::kServiceUnknown, service));
  membership_batch batch;
  for (const target_record& target : state_->view().TargetsOf(record->id)) {
    if (target.vm == vm)
      batch.drains.push_back({target.vm, service, target.started});
  }
  if (batch.empty()) {
    return reply(
        ErrorAnswer(kNotFound, result_code::kTargetUnknown,
                    fmt::format("no target of {} on {}", service, vm)));
  }
  control_command command;
  command.tag = frame_->random()();
  command.body = batch;
  consensus_->Propose(Encode(command), [reply](result_code code,
                                               revision index) {
    if (code != result_code::kOk)
      return reply(ErrorAnswer(StatusOf(code), code, "draining again is safe"));
    nlohmann::json body = ResultJson(code);
    body["revision"] = index.value;
    reply(JsonAnswer(kOk, body));
  });
}

void control_api::AtLeader(const http_reply& reply,
                           std::function<void()> show) {
  if (consensus_->node().role() != consensus_role::kLeader) {
    const auto& leader = consensus_->node().leader();
    return reply(
        ErrorAnswer(kMisdirected, result_code::kNotLeader,
                    leader ? "the leader is " + leader->name : "no leader"));
  }
  consensus_->Read([reply, show = std::move(show)](result_code code, revision) {
    if (code == result_code::kOk) return show();
    reply(ErrorAnswer(StatusOf(code), code, "ask again"));
  });
}

void control_api::ShowService(const std::string& service,
                              const http_request& request,
                              const http_reply& reply) {
  const std::string asked = QueryValue(request.query, "revision");
  AtLeader(reply, [this, service, asked, reply] {
    const service_record* record = state_->view().FindService(service);
    const auto history = state_->History(service);
    if (record == nullptr || history.empty())
      return reply(
          ErrorAnswer(kNotFound, result_code::kServiceUnknown, service));
    const revision wanted{asked.empty()
                              ? history.back().accepted.value
                              : std::strtoull(asked.c_str(), nullptr, 10)};
    std::uint64_t in_force = 0;
    for (const progress& each : view_->node().Progress()) {
      if (each.at >= wanted) in_force += each.nodes;
    }
    const std::uint64_t known = view_->node().Names().size();
    nlohmann::json body = ResultJson(result_code::kOk);
    body["service"] = service;
    body["version"] = record->document.version;
    body["revision"] = history.back().accepted.value;
    body["in_force_nodes"] = in_force;
    body["known_nodes"] = known;
    body["in_force_everywhere"] = known > 0 && in_force >= known;
    for (const target_record& target : state_->view().TargetsOf(record->id)) {
      body["targets"].push_back(
          {{"vm", target.vm},
           {"zone", target.zone},
           {"state",
            target.state == target_state::kServing ? "serving" : "draining"}});
    }
    reply(JsonAnswer(kOk, body));
  });
}

void control_api::ShowHistory(const std::string& service,
                              const http_reply& reply) {
  AtLeader(reply, [this, service, reply] {
    nlohmann::json body = ResultJson(result_code::kOk);
    body["versions"] = nlohmann::json::array();
    for (const history_entry& entry : state_->History(service)) {
      body["versions"].push_back(
          {{"version", entry.version},
           {"revision", entry.accepted.value},
           {"hash", fmt::format("{:016x}", entry.hash)}});
    }
    reply(JsonAnswer(kOk, body));
  });
}

void control_api::ShowStatus(const http_reply& reply) {
  AtLeader(reply, [this, reply] {
    nlohmann::json body = ResultJson(result_code::kOk);
    body["revision"] = state_->view().at.value;
    body["services"] = nlohmann::json::array();
    for (const auto& [id, record] : state_->view().services) {
      body["services"].push_back(
          {{"service", record.document.service},
           {"version", record.document.version},
           {"targets", state_->view().TargetsOf(id).size()}});
    }
    for (const node_identity& node : view_->node().Names())
      body["nodes"].push_back(node.name);
    reply(JsonAnswer(kOk, body));
  });
}

void control_api::ShowVoters(const http_reply& reply) {
  const consensus_status status = consensus_->node().Status();
  nlohmann::json body = ResultJson(result_code::kOk);
  body["self"] = status.self.name;
  body["role"] = ToString(status.role);
  body["term"] = status.term.value;
  body["leader"] = status.leader ? status.leader->name : "";
  body["commit"] = status.commit.value;
  body["applied"] = status.applied.value;
  for (const cluster_member& member : status.configuration.voters)
    body["voters"].push_back(member.id.name);
  for (const cluster_member& member : status.configuration.learners)
    body["learners"].push_back(member.id.name);
  reply(JsonAnswer(kOk, body));
}

}  // namespace tamaracklatch
