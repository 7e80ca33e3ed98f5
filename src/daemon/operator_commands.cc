// The operator's commands over HTTP. Every request is idempotent, so each is
// sent again until it is answered.
#include "daemon/operator_commands.h"

#include <fmt/format.h>
#include <fmt/ostream.h>

#include <fstream>
#include <nlohmann/json.hpp>
#include <optional>
#include <sstream>
#include <thread>

#include "core/json_text.h"
#include "daemon/http_client.h"
#include "tamaracklatch/control/document_set_text.h"
#include "tamaracklatch/document/service_document.h"

namespace tamaracklatch {
namespace {

constexpr std::chrono::milliseconds kTryTimeout{
    2000};  // of one request to one control VM
constexpr std::chrono::milliseconds kRetryPause{
    100};  // between rounds over all control VMs
constexpr std::chrono::milliseconds kPollInterval{
    100};  // between looks at the state in force
constexpr unsigned kUnavailable = 503;
constexpr unsigned kGatewayTimeout = 504;  // the outcome is unknown

std::optional<std::string> ReadWholeFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) return std::nullopt;
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

// Sends one idempotent request to the control VMs in turn until one of them
// decides it or the time is over.
class control_client {
 public:
  explicit control_client(const operator_options& options)
      : options_(options),
        deadline_(std::chrono::steady_clock::now() + options.timeout) {}

  std::optional<http_response> Send(http_request request,
                                    failure* last_failure) {
    if (!options_.token.empty())
      request.fields.push_back({"Authorization", "Bearer " + options_.token});
    do {
      for (const endpoint& server : options_.control) {
        auto answer = HttpExchange(server, request, kTryTimeout, last_failure);
        if (!answer) continue;
        if (answer->status != kGatewayTimeout && answer->status != kUnavailable)
          return answer;
        SetFailure(last_failure, result_code::kOutcomeUnknown,
                   ToString(server) + ": " + answer->body);
      }
      std::this_thread::sleep_for(kRetryPause);
    } while (TimeLeft());
    return std::nullopt;
  }

  bool TimeLeft() const { return std::chrono::steady_clock::now() < deadline_; }

 private:
  operator_options options_;
  std::chrono::steady_clock::time_point deadline_;
};

int PrintAnswer(const std::optional<http_response>& answer, const failure& why,
                std::ostream& out, std::ostream& errors) {
  if (!answer) {
    fmt::print(errors, "{}\n", ToString(why));
    return kExitRefused;
  }
  std::ostream& where = answer->status < 300 ? out : errors;
  fmt::print(where, "{}\n", answer->body);
  return answer->status < 300 ? kExitDone : kExitRefused;
}

std::string ServicePath(const std::string& service) {
  return "/v1/services/" + service;
}

// Looks at the service's state until its newest revision is in force everywhere
// or the time is over.
int WaitInForce(control_client* client, const std::string& service,
                std::uint64_t revision, std::ostream& out,
                std::ostream& errors) {
  std::string last;
  while (client->TimeLeft()) {
    failure why;
    const std::string query = fmt::format("revision={}", revision);
    const auto answer =
        client->Send({"GET", ServicePath(service), query, {}, ""}, &why);
    if (!answer) break;
    last = answer->body;
    const auto state = ParseJsonObject(last);
    if (state && state->value("in_force_everywhere", nlohmann::json()) ==
                     nlohmann::json(true)) {
      fmt::print(out, "{}\n", last);
      return kExitDone;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  fmt::print(errors, "not yet in force everywhere: {}\n", last);
  return kExitRefused;
}

// The text of the file, and `document` as `parse` reads it. Tells each fault.
template <typename Document>
std::optional<std::string> ReadDocument(
    const std::string& path,
    std::optional<Document> (*parse)(std::string_view, std::vector<failure>*),
    std::optional<Document>* document, std::ostream& errors) {
  auto text = ReadWholeFile(path);
  if (!text) {
    fmt::print(errors, "{}: can't be read\n", path);
    return std::nullopt;
  }
  std::vector<failure> faults;
  *document = parse(*text, &faults);
  for (const failure& fault : faults)
    fmt::print(errors, "{}: {}\n", path, ToString(fault));
  if (!*document) return std::nullopt;
  return text;
}

}  // namespace

int RunSubmit(const operator_options& options, const std::string& path,
              std::ostream& out, std::ostream& errors) {
  std::optional<service_document> document;
  const auto text = ReadDocument(path, &ParseDocument, &document, errors);
  if (!text) return kExitUsage;
  control_client client(options);
  failure why;
  const auto answer =
      client.Send({"PUT", ServicePath(document->service), "", {}, *text}, &why);
  const int exit_code = PrintAnswer(answer, why, out, errors);
  if (exit_code != kExitDone || !options.wait) return exit_code;
  const auto accepted = ParseJsonObject(answer->body);
  const std::uint64_t revision =
      accepted ? WholeNumberAt(*accepted, "revision").value_or(0) : 0;
  return WaitInForce(&client, document->service, revision, out, errors);
}

int RunSubmitSet(const operator_options& options, const std::string& path,
                 std::ostream& out, std::ostream& errors) {
  std::optional<document_set> set;
  const auto text = ReadDocument(path, &ParseDocumentSet, &set, errors);
  if (!text) return kExitUsage;
  failure why;
  const auto answer =
      control_client(options).Send({"PUT", "/v1/set", "", {}, *text}, &why);
  return PrintAnswer(answer, why, out, errors);
}

int RunGet(const operator_options& options, const std::string& path,
           std::ostream& out, std::ostream& errors) {
  failure why;
  const auto answer =
      control_client(options).Send({"GET", path, "", {}, ""}, &why);
  return PrintAnswer(answer, why, out, errors);
}

int RunDrain(const operator_options& options, const std::string& service,
             const std::string& vm, std::ostream& out, std::ostream& errors) {
  failure why;
  const auto answer = control_client(options).Send(
      {"POST", ServicePath(service) + "/drain", "vm=" + vm, {}, ""}, &why);
  return PrintAnswer(answer, why, out, errors);
}

int RunVoterChange(const operator_options& options, const std::string& verb,
                   const std::string& name, std::ostream& out,
                   std::ostream& errors) {
  failure why;
  const auto answer = control_client(options).Send(
      {"POST", "/v1/voters", verb + "=" + name, {}, ""}, &why);
  return PrintAnswer(answer, why, out, errors);
}

}  // namespace tamaracklatch
