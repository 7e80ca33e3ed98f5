// Requests of operators against the replicated log and the view.
#include "daemon/control_api.h"

#include <fmt/format.h>

#include <cstdlib>
#include <nlohmann/json.hpp>

#include "daemon/api_answers.h"
#include "tamaracklatch/document/service_document.h"

namespace tamaracklatch {
namespace {

constexpr unsigned kOk = 200;
constexpr unsigned kForbidden = 403;
constexpr unsigned kNotFound = 404;
constexpr std::string_view kServicesPath = "/v1/services/";
constexpr std::string_view kSetPath = "/v1/set";

unsigned StatusOf(result_code code) {
  return static_cast<unsigned>(submission_handler::HttpStatus(code));
}

http_response SubmissionAnswer(const submission_answer& answer) {
  nlohmann::json body = ResultJson(answer.code);
  if (!answer.service.empty()) body["service"] = answer.service;
  if (answer.version != 0) body["version"] = answer.version;
  if (answer.code == result_code::kOk) body["revision"] = answer.accepted.value;
  if (answer.code == result_code::kVersionConflict)
    body["winner_hash"] = fmt::format("{:016x}", answer.winner_hash);
  AddFaults(answer.failures, &body);
  return JsonAnswer(StatusOf(answer.code), body);
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

std::vector<access_token> Tokens(const controld_settings& settings) {
  std::vector<access_token> tokens;
  for (const operator_settings& each : settings.operators) {
    tokens.push_back({fmt::format("operator-{}", tokens.size() + 1), each.token,
                      each.services});
  }
  return tokens;
}

nlohmann::json InForceJson(const in_force_status& status, time_point now) {
  nlohmann::json body{
      {"in_force_nodes", status.applied},
      {"known_nodes", status.nodes},
      {"not_heard_of", status.unreported},
      {"in_force_everywhere", status.everywhere_since.has_value()}};
  if (status.everywhere_since) {
    const auto since = std::chrono::duration_cast<std::chrono::milliseconds>(
        now - *status.everywhere_since);
    body["in_force_everywhere_for_milliseconds"] = since.count();
  }
  return body;
}

}  // namespace

control_api::control_api(process_frame* frame, link_hub* hub,
                         const controld_settings& settings,
                         control_state* state)
    : frame_(frame),
      settings_(settings),
      state_(state),
      tokens_(Tokens(settings)),
      door_(submission_handler({}, &tokens_, frame->random()())),
      sets_(frame, &tokens_, state),
      in_force_({}),
      forward_(frame, hub,
               [this](const http_request& request, const http_reply& reply) {
                 HandleAtLeader(request, reply);
               }) {}

void control_api::SetAgents(consensus_agent* consensus, view_agent* view) {
  consensus_ = consensus;
  view_ = view;
  door_.SetLog(consensus);
  sets_.SetLog(consensus);
}

bool control_api::IsLeader() const {
  return consensus_->node().role() == consensus_role::kLeader;
}

std::optional<relay_contact> control_api::LeaderContact() const {
  const auto& leader = consensus_->node().leader();
  if (!leader || leader->name == settings_.process.name) return std::nullopt;
  for (const voter_settings& voter : settings_.voters) {
    if (voter.name == leader->name)
      return relay_contact{voter.name, {}, voter.links, 0};
  }
  return std::nullopt;
}

void control_api::Handle(const http_request& request, const http_reply& reply) {
  // Each VM answers for itself who votes; the rest is the leader's to know.
  if (request.path == "/v1/voters" && request.method == "GET")
    return ShowVoters(reply);
  const auto leader = LeaderContact();
  if (request.path == kSetPath) {
    const log_leadership standing{IsLeader(), leader ? leader->name : ""};
    if (sets_.Handle(request, reply, standing)) return;
  }
  if (IsLeader()) return HandleAtLeader(request, reply);
  if (leader) return forward_.Send(*leader, request, reply);
  reply(ErrorAnswer(StatusOf(result_code::kNotLeader), result_code::kNotLeader,
                    "no leader is known; ask again"));
}

void control_api::HandleAtLeader(const http_request& request,
                                 const http_reply& reply) {
  if (!IsLeader()) {
    return reply(ErrorAnswer(StatusOf(result_code::kNotLeader),
                             result_code::kNotLeader, "this VM leads no more"));
  }
  if (request.path == kSetPath) {
    sets_.Handle(request, reply, {true, ""});
    return;
  }
  if (request.path == "/v1/status" && request.method == "GET")
    return ShowStatus(reply);
  if (request.path == "/v1/voters" && request.method == "POST")
    return ChangeVoters(request, reply);
  if (request.path.rfind(kServicesPath, 0) == 0) {
    const std::string rest = request.path.substr(kServicesPath.size());
    const std::size_t slash = rest.find('/');
    const std::string verb =
        slash == std::string::npos ? "" : rest.substr(slash + 1);
    return HandleService(rest.substr(0, slash), verb, request, reply);
  }
  reply(ErrorAnswer(
      kNotFound, result_code::kUsage,
      request.method + " " + request.path + " is not part of the API"));
}

void control_api::HandleService(const std::string& service,
                                const std::string& verb,
                                const http_request& request,
                                const http_reply& reply) {
  if (verb.empty() && request.method == "PUT")
    return Submit(service, request, reply);
  if (verb.empty() && request.method == "GET")
    return ShowService(service, request, reply);
  if (verb == "history" && request.method == "GET")
    return ShowHistory(service, reply);
  if (verb == "drain" && request.method == "POST")
    return Drain(service, request, reply);
  reply(ErrorAnswer(
      kNotFound, result_code::kUsage,
      request.method + " " + request.path + " is not part of the API"));
}

void control_api::Submit(const std::string& service,
                         const http_request& request, const http_reply& reply) {
  const std::uint64_t number = door_.NextRequest();
  door_.Await<submission_answer>(
      number,
      [reply](const submission_answer& answer) {
        reply(SubmissionAnswer(answer));
      },
      door_.gate().Submit(number, service, request.body, BearerToken(request),
                          frame_->Now()));
}

void control_api::OnApplied(const command_outcome& outcome,
                            const revision_changes& changes) {
  if (!outcome.service.empty()) {
    if (outcome.code == result_code::kOk)
      in_force_.OnAccepted(outcome.accepted);
    TellSubmission(outcome);
  }
  if (!outcome.refused.empty() && on_refused_) on_refused_(outcome.refused);
  door_.OnApplied(outcome);
  sets_.OnApplied(outcome);
  for (const event& what : watch_.OnChanges(changes))
    frame_->events().OnEvent(what);
  if (!changes.changes.empty())
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

void control_api::Tick() {
  forward_.Expire();
  const bool leads = IsLeader();
  door_.Tick(leads, frame_->Now());
  sets_.Tick(leads);
  if (leads && !led_) {
    in_force_.Reset();
    ++leadership_;
  }
  led_ = leads;
  // Only the leader's sum covers all nodes.
  if (leads) LookInForce();
}

void control_api::LookInForce() {
  // Whom to expect is known once all entries of earlier leaders are applied.
  if (caught_up_ != leadership_) {
    consensus_->Read([this, begun = leadership_](result_code code, revision) {
      if (code == result_code::kOk) caught_up_ = begun;
    });
    return;
  }
  const time_point now = frame_->Now();
  const relay_node& node = view_->node();
  in_force_.SetExpectedNodes(state_->nodes(), state_->view(), now);
  for (const revision at : in_force_.Update(node.Progress(), node.Names(),
                                            node.StoppedNodes(), now))
    TellInForce(at);
  const known_nodes_batch batch =
      in_force_.NextRecordBatch(state_->nodes(), now);
  if (!batch.empty()) Propose(batch, [](result_code, revision) {});
}

void control_api::TellInForce(revision at) {
  event what;
  what.id = event_id::kInForceEverywhere;
  what.at = at;
  what.detail = fmt::format("{} nodes", in_force_.Status(at).nodes);
  frame_->events().OnEvent(what);
}

void control_api::ProposeMembership(const membership_batch& batch) {
  Propose(batch, [](result_code, revision) {});
}

void control_api::Propose(control_body body, consensus_reply reply) {
  control_command command;
  command.tag = frame_->random()();
  command.body = std::move(body);
  consensus_->Propose(Encode(command), std::move(reply));
}

void control_api::Drain(const std::string& service, const http_request& request,
                        const http_reply& reply) {
  if (tokens_.Holder(BearerToken(request), service).empty()) {
    return reply(
        ErrorAnswer(kForbidden, result_code::kUnauthorized,
                    fmt::format("the token does not name \"{}\"", service)));
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
  Propose(batch, [reply](result_code code, revision index) {
    if (code != result_code::kOk)
      return reply(ErrorAnswer(StatusOf(code), code, "draining again is safe"));
    nlohmann::json body = ResultJson(code);
    body["revision"] = index.value;
    reply(JsonAnswer(kOk, body));
  });
}

void control_api::ChangeVoters(const http_request& request,
                               const http_reply& reply) {
  // A change of voters concerns every service.
  if (tokens_.Holder(BearerToken(request), "*").empty()) {
    return reply(ErrorAnswer(kForbidden, result_code::kUnauthorized,
                             "the token does not name \"*\""));
  }
  const std::string added = QueryValue(request.query, "add");
  const std::string removed = QueryValue(request.query, "remove");
  if (added.empty() == removed.empty()) {
    return reply(ErrorAnswer(StatusOf(result_code::kUsage), result_code::kUsage,
                             "name one VM: add=NAME or remove=NAME"));
  }
  using change_kind = voter_change_requested::change_kind;
  consensus_->ChangeVoter(
      added.empty() ? change_kind::kRemove : change_kind::kAdd,
      added.empty() ? removed : added, [reply](result_code code, revision) {
        const unsigned status = code == result_code::kOk ? kOk : StatusOf(code);
        reply(JsonAnswer(status, ResultJson(code)));
      });
}

void control_api::AfterRead(const http_reply& reply,
                            std::function<void()> show) {
  consensus_->Read([reply, show = std::move(show)](result_code code, revision) {
    if (code == result_code::kOk) return show();
    reply(ErrorAnswer(StatusOf(code), code, "ask again"));
  });
}

void control_api::ShowService(const std::string& service,
                              const http_request& request,
                              const http_reply& reply) {
  const std::string asked = QueryValue(request.query, "revision");
  AfterRead(reply, [this, service, asked, reply] {
    const service_record* record = state_->view().FindService(service);
    const auto history = state_->History(service);
    if (record == nullptr || history.empty()) {
      return reply(
          ErrorAnswer(kNotFound, result_code::kServiceUnknown, service));
    }
    const revision wanted{asked.empty()
                              ? history.back().accepted.value
                              : std::strtoull(asked.c_str(), nullptr, 10)};
    nlohmann::json body = ResultJson(result_code::kOk);
    body["service"] = service;
    body["version"] = record->document.version;
    body["revision"] = history.back().accepted.value;
    body.update(InForceJson(in_force_.Status(wanted), frame_->Now()));
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
  AfterRead(reply, [this, service, reply] {
    const auto history = state_->History(service);
    if (history.empty())
      return reply(
          ErrorAnswer(kNotFound, result_code::kServiceUnknown, service));
    nlohmann::json body = ResultJson(result_code::kOk);
    for (const history_entry& entry : history) {
      body["versions"].push_back({{"version", entry.version},
                                  {"revision", entry.accepted.value},
                                  {"hash", fmt::format("{:016x}", entry.hash)},
                                  {"submitter", entry.submitter}});
    }
    reply(JsonAnswer(kOk, body));
  });
}

void control_api::ShowStatus(const http_reply& reply) {
  AfterRead(reply, [this, reply] {
    nlohmann::json body = ResultJson(result_code::kOk);
    body["revision"] = state_->view().at.value;
    body.update(
        InForceJson(in_force_.Status(state_->view().at), frame_->Now()));
    if (const auto set = state_->held_set()) {
      body["set_version"] = set->version;
      body["set_revision"] = set->accepted.value;
    }
    body["services"] = nlohmann::json::array();
    for (const auto& [id, record] : state_->view().services) {
      body["services"].push_back(
          {{"service", record.document.service},
           {"version", record.document.version},
           {"targets", state_->view().TargetsOf(id).size()}});
    }
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
  for (const member_id& member : status.waiting)
    body["waiting"].push_back(member.name);
  reply(JsonAnswer(kOk, body));
}

}  // namespace tamaracklatch
