// Asio for the bytes, http_parser for the answer.
#include "daemon/upstream_exchange.h"

#include <http_parser.h>
#include <strings.h>

#include <array>
#include <utility>

#include "transport/link.h"

namespace tamaracklatch {
namespace {

constexpr std::size_t kReadBytes = 16 * 1024;
constexpr std::size_t kMaxHeadBytes = 64 * 1024;

bool IsHopByHop(const std::string& name) {
  for (const char* each :
       {"connection", "keep-alive", "transfer-encoding", "content-length"}) {
    if (strcasecmp(name.c_str(), each) == 0) return true;
  }
  return false;
}

std::string Text(const http_request& request, const std::string& target) {
  std::string text = request.method + " " + target + " HTTP/1.1\r\n";
  bool has_host = false;
  for (const http_field& field : request.fields) {
    if (IsHopByHop(field.name)) continue;
    if (strcasecmp(field.name.c_str(), "host") == 0) has_host = true;
    text += field.name + ": " + field.value + "\r\n";
  }
  if (!has_host) text += "Host: target\r\n";
  text += "Connection: close\r\nContent-Length: " +
          std::to_string(request.body.size()) + "\r\n\r\n" + request.body;
  return text;
}

}  // namespace

class upstream_exchange::connection
    : public std::enable_shared_from_this<connection> {
 public:
  connection(asio::io_context* loop, const http_request& request,
             const std::string& target, upstream_handlers handlers)
      : socket_(*loop),
        text_(Text(request, target)),
        without_body_(request.method == "HEAD"),
        handlers_(std::move(handlers)) {
    http_parser_init(&parser_, HTTP_RESPONSE);
    parser_.data = this;
    http_parser_settings_init(&callbacks_);
    callbacks_.on_header_field = OnField;
    callbacks_.on_header_value = OnValue;
    callbacks_.on_headers_complete = OnHead;
    callbacks_.on_body = OnBody;
    callbacks_.on_message_complete = OnEnd;
  }

  void Start(const endpoint& where) {
    socket_.async_connect(ToTcp(where),
                          [self = shared_from_this()](asio::error_code error) {
                            if (self->ended_) return;
                            if (error) return self->Fail();
                            self->Send();
                          });
  }

  void Cancel() {
    ended_ = true;
    asio::error_code ignored;
    socket_.close(ignored);
  }

  void Pause() { paused_ = true; }

  void Resume() {
    if (!std::exchange(paused_, false) || reading_ || ended_) return;
    Read();
  }

 private:
  void Send() {
    // From here on the peer may have it.
    sent_ = true;
    asio::async_write(
        socket_, asio::buffer(text_),
        [self = shared_from_this()](asio::error_code error, std::size_t) {
          if (self->ended_) return;
          if (error) return self->Fail();
          self->Read();
        });
  }

  void Read() {
    reading_ = true;
    socket_.async_read_some(
        asio::buffer(buffer_),
        [self = shared_from_this()](asio::error_code error, std::size_t size) {
          self->reading_ = false;
          if (self->ended_) return;
          // An end of the connection is no end of an answer.
          if (error) return self->Fail();
          self->Parse(size);
        });
  }

  void Parse(std::size_t size) {
    const std::size_t parsed =
        http_parser_execute(&parser_, &callbacks_, buffer_.data(), size);
    if (ended_) return;
    const bool broken = parsed != size || parser_.http_errno != HPE_OK;
    if (broken || (!began_ && (head_bytes_ += size) > kMaxHeadBytes)) {
      return Fail();
    }
    if (!paused_) Read();
  }

  void Fail() {
    if (ended_) return;
    Cancel();
    handlers_.on_failed(sent_);
  }

  static connection* Self(http_parser* parser) {
    return static_cast<connection*>(parser->data);
  }

  static int OnField(http_parser* parser, const char* at, std::size_t size) {
    connection* self = Self(parser);
    if (!self->in_field_) self->head_.fields.emplace_back();
    self->in_field_ = true;
    self->head_.fields.back().name.append(at, size);
    return 0;
  }

  static int OnValue(http_parser* parser, const char* at, std::size_t size) {
    connection* self = Self(parser);
    self->in_field_ = false;
    self->head_.fields.back().value.append(at, size);
    return 0;
  }

  static int OnHead(http_parser* parser) {
    connection* self = Self(parser);
    self->began_ = true;
    self->head_.status = parser->status_code;
    const std::uint64_t none = ~std::uint64_t{0};
    if (parser->content_length != none) {
      self->head_.length = static_cast<std::size_t>(parser->content_length);
    }
    std::vector<http_field> kept;
    for (http_field& field : self->head_.fields) {
      if (!IsHopByHop(field.name)) kept.push_back(std::move(field));
    }
    self->head_.fields = std::move(kept);
    self->handlers_.on_began(self->head_);
    // 1 tells the parser that no body follows.
    return self->without_body_ ? 1 : 0;
  }

  static int OnBody(http_parser* parser, const char* at, std::size_t size) {
    connection* self = Self(parser);
    if (!self->ended_) self->handlers_.on_bytes(std::string(at, size));
    return 0;
  }

  static int OnEnd(http_parser* parser) {
    connection* self = Self(parser);
    if (self->ended_) return 0;
    self->Cancel();
    self->handlers_.on_ended();
    return 0;
  }

  asio::ip::tcp::socket socket_;
  std::string text_;
  bool without_body_;
  upstream_handlers handlers_;
  http_parser parser_{};
  http_parser_settings callbacks_{};
  upstream_head head_;
  std::array<char, kReadBytes> buffer_{};
  std::size_t head_bytes_ = 0;
  bool in_field_ = false;
  bool began_ = false;
  bool sent_ = false;
  bool reading_ = false;
  bool paused_ = false;
  bool ended_ = false;
};

upstream_exchange::upstream_exchange(asio::io_context* loop,
                                     const endpoint& where,
                                     const http_request& request,
                                     const std::string& target,
                                     upstream_handlers handlers)
    : connection_(std::make_shared<connection>(loop, request, target,
                                               std::move(handlers))) {
  connection_->Start(where);
}

upstream_exchange::~upstream_exchange() { connection_->Cancel(); }

void upstream_exchange::Pause() { connection_->Pause(); }
void upstream_exchange::Resume() { connection_->Resume(); }
void upstream_exchange::Cancel() { connection_->Cancel(); }

}  // namespace tamaracklatch
