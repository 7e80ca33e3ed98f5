// Writing of the API's answers.
#include "daemon/api_answers.h"

#include <fmt/format.h>

namespace tamaracklatch {
namespace {

constexpr std::size_t kMaxFaults = 100;  // in one answer

}  // namespace

nlohmann::json ResultJson(result_code code) {
  return {{"result",
           code == result_code::kOk ? "accepted" : std::string(ToString(code))},
          {"code", static_cast<unsigned>(code)}};
}

http_response JsonAnswer(unsigned status, const nlohmann::json& body) {
  using nlohmann::json;
  // A reason may quote bytes of the request that are no text.
  return {status,
          "application/json",
          {},
          body.dump(-1, ' ', false, json::error_handler_t::replace)};
}

http_response ErrorAnswer(unsigned status, result_code code,
                          const std::string& detail) {
  nlohmann::json body = ResultJson(code);
  body["detail"] = detail;
  return JsonAnswer(status, body);
}

void AddFaults(const std::vector<failure>& failures, nlohmann::json* body) {
  for (const failure& fault : failures) {
    if ((*body)["faults"].size() == kMaxFaults) {
      (*body)["more_faults"] = failures.size() - kMaxFaults;
      return;
    }
    (*body)["faults"].push_back({{"code", static_cast<unsigned>(fault.code)},
                                 {"name", std::string(ToString(fault.code))},
                                 {"reason", fault.reason}});
  }
}

std::string BearerToken(const http_request& request) {
  const std::string prefix = "Bearer ";
  const std::string field = request.Field("Authorization");
  return field.rfind(prefix, 0) == 0 ? field.substr(prefix.size()) : "";
}

}  // namespace tamaracklatch
