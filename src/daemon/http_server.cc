// RESTinio behind http_server.
#include "daemon/http_server.h"

#include <strings.h>

#include <restinio/all.hpp>

#include "daemon/http_open.h"
#include "transport/link.h"

namespace tamaracklatch {
namespace {

constexpr std::size_t kMaxBodyBytes = 1024 * 1024;

struct server_traits : restinio::default_single_thread_traits_t {};

using server = restinio::http_server_t<server_traits>;

http_request Convert(const restinio::request_handle_t& request) {
  http_request result;
  result.method = request->header().method().c_str();
  result.path = std::string(request->header().path());
  result.query = std::string(request->header().query());
  result.body = request->body();
  request->header().for_each_field([&](const auto& field) {
    result.fields.push_back({field.name(), field.value()});
  });
  return result;
}

void Answer(const restinio::request_handle_t& request, http_response response) {
  const restinio::http_status_line_t status(
      restinio::http_status_code_t(static_cast<std::uint16_t>(response.status)),
      response.status < 300 ? "OK" : "Error");
  auto answer = request->create_response(status);
  answer.append_header(restinio::http_field::content_type,
                       response.content_type);
  for (const http_field& field : response.fields)
    answer.append_header(field.name, field.value);
  answer.set_body(std::move(response.body));
  answer.done();
}

}  // namespace

std::string http_request::Field(const std::string& name) const {
  for (const http_field& field : fields) {
    if (strcasecmp(field.name.c_str(), name.c_str()) == 0) return field.value;
  }
  return "";
}

struct http_server::state {
  asio::io_context* loop;
  http_handler handler;
  std::unique_ptr<server> running;
};

http_server::http_server(asio::io_context* loop, http_handler handler)
    : state_(std::make_unique<state>()) {
  state_->loop = loop;
  state_->handler = std::move(handler);
}

http_server::~http_server() = default;

bool http_server::Start(const endpoint& where, failure* last_failure) {
  const auto tcp = ToTcp(where);
  state_->running = std::make_unique<server>(
      restinio::external_io_context(*state_->loop),
      [&](restinio::server_settings_t<server_traits>& settings) {
        settings.address(tcp.address())
            .port(tcp.port())
            .incoming_http_msg_limits(
                restinio::incoming_http_msg_limits_t{}.max_body_size(
                    kMaxBodyBytes))
            .request_handler([handler = state_->handler](
                                 const restinio::request_handle_t& request) {
              handler(Convert(request), [request](http_response response) {
                Answer(request, std::move(response));
              });
              return restinio::request_accepted();
            });
      });
  return OpenHttpServer(&state_->running, where, last_failure);
}

}  // namespace tamaracklatch
