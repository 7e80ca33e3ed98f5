// Requests for document sets against the replicated log.
#include "daemon/set_api.h"

#include <fmt/format.h>

#include "daemon/api_answers.h"
#include "tamaracklatch/control/document_set_text.h"

namespace tamaracklatch {
namespace {

constexpr unsigned kOk = 200;
constexpr unsigned kNotFound = 404;

http_response OrderAnswer(const set_answer& answer) {
  nlohmann::json body = ResultJson(answer.code);
  if (answer.version != 0) body["version"] = answer.version;
  const unsigned status = document_set_handler::HttpStatus(answer.code);
  if (status == kOk) body["held_version"] = answer.held_version;
  AddFaults(answer.failures, &body);
  return JsonAnswer(status, body);
}

http_response ReadAnswer(const set_read_answer& answer) {
  if (answer.code != result_code::kOk) {
    return ErrorAnswer(document_set_handler::HttpStatus(answer.code),
                       answer.code, "ask again");
  }
  if (!answer.set) {
    return ErrorAnswer(kNotFound, result_code::kSetUnknown,
                       "no document set has been accepted yet");
  }
  return {kOk,
          "application/json",
          {{"ETag", fmt::format("\"{}\"", answer.set->version)}},
          answer.set->source_text};
}

}  // namespace

set_api::set_api(process_frame* frame, const access_tokens* tokens,
                 const control_state* state)
    : frame_(frame),
      tokens_(tokens),
      door_(document_set_handler({}, state, frame->random()())) {}

bool set_api::Handle(const http_request& request, const http_reply& reply,
                     const log_leadership& standing) {
  if (request.method == "PUT") return Replace(request, reply, standing);
  if (request.method != "GET") {
    reply(ErrorAnswer(
        kNotFound, result_code::kUsage,
        request.method + " " + request.path + " is not part of the API"));
    return true;
  }
  const std::uint64_t number = door_.NextRequest();
  door_.Await<set_read_answer>(
      number,
      [reply](const set_read_answer& answer) { reply(ReadAnswer(answer)); },
      door_.gate().Read(number, frame_->Now()));
  return true;
}

bool set_api::Replace(const http_request& request, const http_reply& reply,
                      const log_leadership& standing) {
  set_answer refused;
  // A set concerns every service.
  const std::string holder = tokens_->Holder(BearerToken(request), "*");
  if (holder.empty()) {
    refused.code = result_code::kUnauthorized;
    refused.failures.push_back({refused.code, "the token does not name \"*\""});
    reply(OrderAnswer(refused));
    return true;
  }
  auto set = ParseDocumentSet(request.body, &refused.failures);
  if (!set) {
    refused.code = result_code::kSetInvalid;
    Tell(event_id::kSetRefused, refused.code,
         ToString(refused.failures.front()));
    reply(OrderAnswer(refused));
    return true;
  }
  const std::uint64_t number = door_.NextRequest();
  const set_replacement order{std::move(*set), request.body, holder};
  const auto actions =
      door_.gate().Replace(number, order, standing, frame_->Now());
  for (const set_action& action : actions) {
    const auto* answer = std::get_if<set_answer>(&action);
    if (answer != nullptr && !answer->leader.empty()) return false;
  }
  door_.Await<set_answer>(
      number, [reply](const set_answer& answer) { reply(OrderAnswer(answer)); },
      actions);
  return true;
}

void set_api::OnApplied(const command_outcome& outcome) {
  if (outcome.set_accepted) {
    Tell(event_id::kSetAccepted, outcome.code,
         fmt::format("version {}", outcome.set_version.value_or(0)));
  }
  door_.OnApplied(outcome);
}

void set_api::Tell(event_id id, result_code code, const std::string& detail) {
  event what;
  what.id = id;
  what.code = code;
  what.detail = detail;
  frame_->events().OnEvent(what);
}

}  // namespace tamaracklatch
