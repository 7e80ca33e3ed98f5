// Requests and answers of operators as frames between control VMs.
#include "daemon/request_forward.h"

#include <vector>

#include "tamaracklatch/control/document_set.h"
#include "tamaracklatch/transport/wire.h"

namespace tamaracklatch {
namespace {

constexpr std::chrono::seconds kAnswerTimeout{6};
constexpr std::size_t kMaxWaiting = 1024;
// Bound of a request's body: the largest that the API takes, which a frame has
// room for.
constexpr std::size_t kMaxForwardedBytes = kMaxSetSourceBytes;
constexpr unsigned kTooLarge = 413;
constexpr unsigned kUnavailable = 503;
constexpr unsigned kGatewayTimeout = 504;
constexpr const char* kAuthorization = "Authorization";
constexpr const char* kUnknownOutcome =
    R"({"result":"outcome_unknown","code":503,"detail":"the leader gave no answer; sending the same again is safe"})";
constexpr const char* kBodyTooLarge =
    R"({"result":"document_too_large","code":206,"detail":"at most 524288 bytes are read"})";
constexpr const char* kBusy =
    R"({"result":"too_many_waiting","code":510,"detail":"ask again"})";

enum class frame_role : std::uint8_t { kRequest = 0, kAnswer = 1 };

std::string EncodeRequest(std::uint64_t id, const http_request& request) {
  wire_writer writer;
  writer.Array(7);
  writer.Number(static_cast<std::uint64_t>(frame_role::kRequest));
  writer.Number(id);
  writer.Text(request.method);
  writer.Text(request.path);
  writer.Text(request.query);
  writer.Text(request.Field(kAuthorization));
  writer.Text(request.body);
  return std::string(writer.bytes());
}

std::string EncodeAnswer(std::uint64_t id, const http_response& response) {
  wire_writer writer;
  writer.Array(4);
  writer.Number(static_cast<std::uint64_t>(frame_role::kAnswer));
  writer.Number(id);
  writer.Number(response.status);
  writer.Text(response.body);
  return std::string(writer.bytes());
}

http_request ReadRequest(wire_reader* reader) {
  http_request request;
  request.method = reader->Text();
  request.path = reader->Text();
  request.query = reader->Text();
  request.fields.push_back({kAuthorization, reader->Text()});
  request.body = reader->Text();
  return request;
}

}  // namespace

request_forward::request_forward(process_frame* frame, link_hub* hub,
                                 http_handler handler)
    : frame_(frame), hub_(hub), handler_(std::move(handler)) {
  hub_->SetHandler(frame_kind::kControl,
                   [this](const std::string& peer, const std::string& body) {
                     OnFrame(peer, body);
                   });
}

void request_forward::Send(const relay_contact& leader,
                           const http_request& request,
                           const http_reply& reply) {
  if (request.body.size() > kMaxForwardedBytes)
    return reply({kTooLarge, "application/json", {}, kBodyTooLarge});
  if (waiting_.size() >= kMaxWaiting)
    return reply({kUnavailable, "application/json", {}, kBusy});
  const std::uint64_t id = next_++;
  waiting_[id] = {reply, frame_->Now() + kAnswerTimeout};
  hub_->Send(leader.name, leader.where, frame_kind::kControl,
             EncodeRequest(id, request));
}

void request_forward::OnFrame(const std::string& peer,
                              const std::string& body) {
  wire_limits limits;
  limits.max_text = kMaxForwardedBytes;
  wire_reader reader(body, limits);
  reader.Array();
  const auto role = static_cast<frame_role>(reader.NumberUpTo(1));
  const std::uint64_t id = reader.Number();
  if (role == frame_role::kRequest) {
    const http_request request = ReadRequest(&reader);
    if (!reader.ok()) return;
    return handler_(request, [this, peer, id](const http_response& response) {
      hub_->Send(peer, {}, frame_kind::kControl, EncodeAnswer(id, response));
    });
  }
  const auto status = static_cast<unsigned>(reader.NumberUpTo(599));
  std::string text = reader.Text();
  const auto found = waiting_.find(id);
  if (!reader.ok() || found == waiting_.end()) return;
  const http_reply reply = std::move(found->second.reply);
  waiting_.erase(found);
  reply({status, "application/json", {}, std::move(text)});
}

void request_forward::Expire() {
  const time_point now = frame_->Now();
  std::vector<http_reply> late;
  for (auto at = waiting_.begin(); at != waiting_.end();) {
    if (at->second.deadline > now) {
      ++at;
      continue;
    }
    late.push_back(std::move(at->second.reply));
    at = waiting_.erase(at);
  }
  for (const http_reply& reply : late)
    reply({kGatewayTimeout, "application/json", {}, kUnknownOutcome});
}

}  // namespace tamaracklatch
