// Opening and copying of relayed connections.
#include "daemon/balancer_relay.h"

#include <map>

#include "daemon/relay_protocol.h"
#include "transport/link.h"

namespace tamaracklatch {
namespace {

constexpr std::chrono::milliseconds kAskTimeout{
    2000};                     // for one target daemon's answer
constexpr int kMaxAsked = 16;  // target daemons asked for one connection

}  // namespace

struct balancer_relay::shared {
  process_frame* frame;
  envelope_key key;
  relay_router route;
  std::set<std::shared_ptr<connection>> open;
};

// One caller's connection: asks target daemons until one takes it.
class balancer_relay::connection
    : public std::enable_shared_from_this<connection> {
 public:
  connection(std::shared_ptr<shared> owner, const flow_key& key,
             asio::ip::tcp::socket caller)
      : owner_(std::move(owner)),
        key_(key),
        caller_(std::move(caller)),
        target_(owner_->frame->loop()),
        timer_(owner_->frame->loop()) {}

  void Start() {
    const auto routed = owner_->route(key_);
    if (!routed) return Refuse(result_code::kServiceUnknown);
    service_ = routed->message.service;
    std::string encoded;
    EncodeEnvelope(routed->message, owner_->key, &encoded);
    Ask(routed->relay, std::move(encoded));
  }

  service_id service() const { return service_; }

  // Whether a direction had bytes outstanding without progress for `limit`.
  bool IsStuck(std::chrono::seconds limit) {
    if (!pair_) return false;
    const time_point now = owner_->frame->Now();
    const bool right =
        Watch(pair_->ProgressToRight(), &stuck_right_since_, now, limit);
    const bool left =
        Watch(pair_->ProgressToLeft(), &stuck_left_since_, now, limit);
    return right || left;
  }

  void Reset() {
    if (pair_) pair_->Reset();
  }

 private:
  static bool Watch(const stream_progress& progress,
                    std::optional<time_point>* since, time_point now,
                    std::chrono::seconds limit) {
    if (!progress.outstanding) {
      since->reset();
      return false;
    }
    if (progress.advanced || !*since) *since = now;
    return now - **since >= limit;
  }

  void Ask(const endpoint& where, std::string encoded) {
    if (++asked_ > kMaxAsked || where.port == 0)
      return Refuse(result_code::kNoOpenTarget);
    target_ = asio::ip::tcp::socket(owner_->frame->loop());
    timer_.expires_after(kAskTimeout);
    timer_.async_wait([self = shared_from_this()](asio::error_code error) {
      asio::error_code ignored;
      if (!error) self->target_.close(ignored);
    });
    request_ = WithLength(encoded);
    target_.async_connect(
        ToTcp(where), [self = shared_from_this()](asio::error_code error) {
          if (error) return self->Refuse(result_code::kLinkClosed);
          asio::async_write(self->target_, asio::buffer(self->request_),
                            [self](asio::error_code failed, std::size_t) {
                              if (failed)
                                return self->Refuse(result_code::kLinkClosed);
                              ReadRelayFrame(
                                  &self->target_,
                                  [self](std::optional<std::string> frame) {
                                    self->OnAnswer(frame);
                                  });
                            });
        });
  }

  void OnAnswer(const std::optional<std::string>& frame) {
    const auto answer = frame ? DecodeRelayAnswer(*frame) : std::nullopt;
    if (!answer) return Refuse(result_code::kLinkClosed);
    switch (answer->verdict) {
      case relay_verdict::kAccepted:
        return Carry();
      case relay_verdict::kPassed:
        if (answer->next.port == 0) return Start();
        return Ask(answer->next, answer->envelope);
      case relay_verdict::kRefused:
        return Refuse(answer->why);
    }
  }

  void Carry() {
    timer_.cancel();
    pair_ = std::make_shared<stream_pair>(
        std::move(caller_), std::move(target_),
        [self = shared_from_this()] { self->Done(); });
    pair_->Start({}, {});
  }

  // The caller sees a reset: its connection was not taken anywhere.
  void Refuse(result_code why) {
    timer_.cancel();
    owner_->frame->counts().Count("tamaracklatch_relay_refused_total",
                                  "Connections that no target took, by reason.",
                                  1.0, std::string(ToString(why)));
    asio::error_code ignored;
    caller_.set_option(asio::socket_base::linger(true, 0), ignored);
    caller_.close(ignored);
    target_.close(ignored);
    Done();
  }

  void Done() { owner_->open.erase(shared_from_this()); }

  std::shared_ptr<shared> owner_;
  flow_key key_;
  service_id service_;
  asio::ip::tcp::socket caller_;
  asio::ip::tcp::socket target_;
  asio::steady_timer timer_;
  std::string request_;
  int asked_ = 0;
  std::shared_ptr<stream_pair> pair_;
  std::optional<time_point> stuck_right_since_;
  std::optional<time_point> stuck_left_since_;
};

balancer_relay::balancer_relay(process_frame* frame, const envelope_key& key,
                               relay_router route)
    : shared_(std::make_shared<shared>()) {
  shared_->frame = frame;
  shared_->key = key;
  shared_->route = std::move(route);
}

balancer_relay::~balancer_relay() = default;

void balancer_relay::Accept(const flow_key& key, asio::ip::tcp::socket caller) {
  auto added = std::make_shared<connection>(shared_, key, std::move(caller));
  shared_->open.insert(added);
  added->Start();
}

void balancer_relay::CloseStuck(const stuck_limits& limit_of) {
  const auto all = shared_->open;
  for (const auto& each : all) {
    if (each->IsStuck(limit_of(each->service()))) each->Reset();
  }
}

std::size_t balancer_relay::count() const { return shared_->open.size(); }

}  // namespace tamaracklatch
