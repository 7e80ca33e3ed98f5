// The HTTP client by Asio, with answers read by the http_parser library.
#include "daemon/http_client.h"

#include <fmt/format.h>
#include <http_parser.h>

#include <array>

#include "transport/link.h"

namespace tamaracklatch {
namespace {

constexpr std::size_t kMaxAnswerBytes = 16 * 1024 * 1024;

std::string WriteRequest(const endpoint& server, const http_request& request) {
  const std::string target =
      request.query.empty() ? request.path : request.path + "?" + request.query;
  std::string text = fmt::format(
      "{} {} HTTP/1.1\r\nHost: {}\r\nConnection: close\r\nContent-Length: "
      "{}\r\n",
      request.method, target, ToString(server), request.body.size());
  for (const http_field& field : request.fields)
    text += fmt::format("{}: {}\r\n", field.name, field.value);
  return text + "\r\n" + request.body;
}

// Collects one answer as the parser reports it.
class answer_reader {
 public:
  answer_reader() {
    http_parser_init(&parser_, HTTP_RESPONSE);
    parser_.data = this;
    http_parser_settings_init(&settings_);
    settings_.on_body = [](http_parser* parser, const char* at,
                           std::size_t size) {
      return static_cast<answer_reader*>(parser->data)->OnBody({at, size});
    };
    settings_.on_message_complete = [](http_parser* parser) {
      auto* self = static_cast<answer_reader*>(parser->data);
      self->answer_.status = parser->status_code;
      self->complete_ = true;
      return 0;
    };
  }

  answer_reader(const answer_reader&) = delete;
  answer_reader& operator=(const answer_reader&) = delete;

  // Takes bytes; none mean the end of the stream. Returns false where they are
  // no answer.
  bool Take(std::string_view bytes) {
    return http_parser_execute(&parser_, &settings_, bytes.data(),
                               bytes.size()) == bytes.size();
  }

  bool complete() const { return complete_; }
  const http_response& answer() const { return answer_; }

 private:
  int OnBody(std::string_view part) {
    answer_.body.append(part);
    return answer_.body.size() > kMaxAnswerBytes ? 1 : 0;
  }

  http_parser parser_{};
  http_parser_settings settings_{};
  http_response answer_;
  bool complete_ = false;
};

// One exchange on a loop of its own.
class exchange {
 public:
  exchange(const endpoint& server, const http_request& request)
      : socket_(loop_), server_(server), text_(WriteRequest(server, request)) {}

  std::optional<http_response> Run(std::chrono::milliseconds timeout,
                                   failure* last_failure) {
    socket_.async_connect(
        ToTcp(server_), [this](asio::error_code error) { OnConnected(error); });
    loop_.run_for(timeout);
    if (reader_.complete()) return reader_.answer();
    if (why_.code == result_code::kOk) {
      why_ = {result_code::kOutcomeUnknown,
              fmt::format("{} gave no whole answer in {} ms", ToString(server_),
                          timeout.count())};
    }
    SetFailure(last_failure, why_.code, why_.reason);
    return std::nullopt;
  }

 private:
  void OnConnected(asio::error_code error) {
    if (error) {
      why_ = {result_code::kLinkClosed,
              fmt::format("{}: {}", ToString(server_), error.message())};
      return;
    }
    asio::async_write(socket_, asio::buffer(text_),
                      [this](asio::error_code failed, std::size_t) {
                        if (failed) Fail(failed);
                      });
    Read();
  }

  void Read() {
    socket_.async_read_some(asio::buffer(buffer_),
                            [this](asio::error_code error, std::size_t size) {
                              if (error && error != asio::error::eof)
                                return Fail(error);
                              if (!reader_.Take({buffer_.data(), size}))
                                return Fail(asio::error::invalid_argument);
                              if (reader_.complete()) return loop_.stop();
                              if (error) return Fail(error);
                              Read();
                            });
  }

  void Fail(asio::error_code error) {
    why_ = {result_code::kOutcomeUnknown,
            fmt::format("{}: {}", ToString(server_), error.message())};
    loop_.stop();
  }

  asio::io_context loop_;
  asio::ip::tcp::socket socket_;
  endpoint server_;
  std::string text_;
  std::array<char, 16 * 1024> buffer_{};
  answer_reader reader_;
  failure why_;
};

}  // namespace

std::optional<http_response> HttpExchange(const endpoint& server,
                                          const http_request& request,
                                          std::chrono::milliseconds timeout,
                                          failure* last_failure) {
  return exchange(server, request).Run(timeout, last_failure);
}

}  // namespace tamaracklatch
