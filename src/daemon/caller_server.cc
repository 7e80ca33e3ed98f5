// RESTinio behind caller_server.
#include "daemon/caller_server.h"

#include <map>
#include <restinio/all.hpp>
#include <utility>

#include "daemon/http_open.h"
#include "transport/link.h"

namespace tamaracklatch {
namespace {

constexpr std::size_t kMaxBodyBytes = 1024 * 1024;
constexpr auto kLongestRequest = std::chrono::minutes(15);
constexpr auto kLongestWrite = std::chrono::minutes(2);
// One more request may be read while one is answered, so that a caller that
// leaves is noticed.
constexpr std::size_t kPipelined = 2;

using listener_function =
    std::function<void(const restinio::connection_state::notice_t&)>;

class state_listener {
 public:
  explicit state_listener(listener_function listener)
      : listener_(std::move(listener)) {}
  // RESTinio calls it by this name.
  // NOLINTNEXTLINE(readability-identifier-naming)
  void state_changed(const restinio::connection_state::notice_t& notice) {
    listener_(notice);
  }

 private:
  listener_function listener_;
};

struct server_traits : restinio::default_single_thread_traits_t {
  // RESTinio looks the type up by this name.
  using connection_state_listener_t = state_listener;
};

using server = restinio::http_server_t<server_traits>;
using known_length =
    restinio::response_builder_t<restinio::user_controlled_output_t>;
using unknown_length = restinio::response_builder_t<restinio::chunked_output_t>;

restinio::http_status_line_t StatusLine(unsigned status) {
  return restinio::http_status_line_t(
      restinio::http_status_code_t(static_cast<std::uint16_t>(status)),
      status < 400 ? "OK" : "Error");
}

class exchange : public caller_exchange {
 public:
  explicit exchange(restinio::request_handle_t request)
      : request_(std::move(request)) {}

  void Whole(unsigned status, const std::vector<http_field>& fields,
             std::string body) override {
    auto answer = request_->create_response(StatusLine(status));
    for (const http_field& field : fields) {
      answer.append_header(field.name, field.value);
    }
    answer.set_body(std::move(body));
    answer.done();
  }

  void Begin(unsigned status, const std::vector<http_field>& fields,
             std::optional<std::size_t> length) override {
    if (length) {
      known_ = std::make_unique<known_length>(
          request_->create_response<restinio::user_controlled_output_t>(
              StatusLine(status)));
      known_->set_content_length(*length);
      // Abort() ends the connection before the length is reached.
      known_->connection_close();
      for (const http_field& field : fields) {
        known_->append_header(field.name, field.value);
      }
      return;
    }
    unknown_ = std::make_unique<unknown_length>(
        request_->create_response<restinio::chunked_output_t>(
            StatusLine(status)));
    for (const http_field& field : fields) {
      unknown_->append_header(field.name, field.value);
    }
  }

  void Bytes(std::string bytes, std::function<void()> on_sent) override {
    const auto sent = [on_sent = std::move(on_sent)](const asio::error_code&) {
      on_sent();
    };
    if (known_) {
      known_->append_body(std::move(bytes));
      known_->flush(sent);
    } else if (unknown_) {
      unknown_->append_chunk(std::move(bytes));
      unknown_->flush(sent);
    }
  }

  void End() override {
    if (known_) known_->done();
    if (unknown_) unknown_->done();
  }

  void Abort() override {
    // Without a length the last chunk never comes: the answer stays open until
    // the longest time of a request, and is not taken for whole.
    if (known_) known_->done();
    unknown_.reset();
  }

 private:
  restinio::request_handle_t request_;
  std::unique_ptr<known_length> known_;
  std::unique_ptr<unknown_length> unknown_;
};

caller_request Convert(const restinio::request_handle_t& request) {
  caller_request result;
  result.what.method = request->header().method().c_str();
  result.what.path = std::string(request->header().path());
  result.what.query = std::string(request->header().query());
  result.what.body = request->body();
  result.target = request->header().request_target();
  result.peer = request->remote_endpoint().address().to_string();
  request->header().for_each_field([&](const auto& field) {
    result.what.fields.push_back({field.name(), field.value()});
  });
  return result;
}

}  // namespace

struct caller_server::state {
  asio::io_context* loop = nullptr;
  request_handler on_request;
  left_handler on_left;
  // The exchanges of each open connection.
  std::multimap<std::uint64_t, std::weak_ptr<exchange>> open;
  std::unique_ptr<server> running;

  void OnRequest(const restinio::request_handle_t& request) {
    const std::uint64_t connection = request->connection_id();
    // What was answered before on this connection is past.
    const auto range = open.equal_range(connection);
    for (auto at = range.first; at != range.second;) {
      at = at->second.expired() ? open.erase(at) : std::next(at);
    }
    caller_request converted = Convert(request);
    const auto made = std::make_shared<exchange>(request);
    open.emplace(connection, made);
    converted.exchange = made;
    on_request(std::move(converted));
  }

  void OnClosed(std::uint64_t connection) {
    const auto range = open.equal_range(connection);
    std::vector<std::shared_ptr<exchange>> left;
    for (auto at = range.first; at != range.second; ++at) {
      if (auto still = at->second.lock()) left.push_back(still);
    }
    open.erase(range.first, range.second);
    for (const auto& each : left) on_left(each.get());
  }
};

caller_server::caller_server(asio::io_context* loop, request_handler on_request,
                             left_handler on_left)
    : state_(std::make_shared<state>()) {
  state_->loop = loop;
  state_->on_request = std::move(on_request);
  state_->on_left = std::move(on_left);
}

caller_server::~caller_server() = default;

void caller_server::StopListening() {
  if (state_->running) state_->running->close_sync();
}

bool caller_server::Start(const endpoint& where, failure* last_failure) {
  const auto tcp = ToTcp(where);
  const std::weak_ptr<state> weak = state_;
  const auto on_state =
      [weak](const restinio::connection_state::notice_t& notice) {
        const bool closed =
            restinio::holds_alternative<restinio::connection_state::closed_t>(
                notice.cause());
        const auto self = weak.lock();
        if (!closed || !self) return;
        // Not within RESTinio's own call.
        asio::post(*self->loop, [weak, id = notice.connection_id()] {
          if (const auto still = weak.lock()) still->OnClosed(id);
        });
      };
  state_->running = std::make_unique<server>(
      restinio::external_io_context(*state_->loop),
      [&](restinio::server_settings_t<server_traits>& settings) {
        settings.address(tcp.address())
            .port(tcp.port())
            .max_pipelined_requests(kPipelined)
            .handle_request_timeout(kLongestRequest)
            .write_http_response_timelimit(kLongestWrite)
            .connection_state_listener(
                std::make_shared<state_listener>(on_state))
            .incoming_http_msg_limits(
                restinio::incoming_http_msg_limits_t{}.max_body_size(
                    kMaxBodyBytes))
            .request_handler([weak](const restinio::request_handle_t& request) {
              const auto self = weak.lock();
              if (!self) return restinio::request_rejected();
              self->OnRequest(request);
              return restinio::request_accepted();
            });
      });
  return OpenHttpServer(&state_->running, where, last_failure);
}

}  // namespace tamaracklatch
