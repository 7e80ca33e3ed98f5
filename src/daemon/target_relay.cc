// Accepting and carrying relayed connections at a target daemon.
#include "daemon/target_relay.h"

#include "transport/link.h"

namespace tamaracklatch {
namespace {

constexpr std::chrono::milliseconds kOpeningTimeout{
    5000};  // from the connection to the target's answer

}  // namespace

// One connection before it is carried.
class target_relay::opening : public std::enable_shared_from_this<opening> {
 public:
  opening(target_relay* owner, asio::ip::tcp::socket balancer)
      : owner_(owner),
        balancer_(std::move(balancer)),
        target_(owner->frame_->loop()),
        timer_(owner->frame_->loop()) {}

  void Start() {
    timer_.expires_after(kOpeningTimeout);
    timer_.async_wait([self = shared_from_this()](asio::error_code error) {
      asio::error_code ignored;
      if (error) return;
      self->balancer_.close(ignored);
      self->target_.close(ignored);
    });
    ReadRelayFrame(&balancer_, [self = shared_from_this()](
                                   std::optional<std::string> frame) {
      if (frame) return self->Decide(*frame);
      self->timer_.cancel();
    });
  }

 private:
  void Decide(const std::string& frame) {
    relay_answer answer = owner_->judge_->JudgeRelay(frame, &key_);
    if (answer.verdict != relay_verdict::kAccepted) return Answer(answer);
    // The flow is open from here on: whatever fails must end it.
    target_.async_connect(ToTcp(owner_->target_), [self = shared_from_this()](
                                                      asio::error_code error) {
      if (!error) return self->Carry();
      self->owner_->judge_->OnRelayEnded(self->key_);
      self->Answer({relay_verdict::kRefused, result_code::kLinkClosed, {}, {}});
    });
  }

  void Carry() {
    timer_.cancel();
    const relay_answer accepted{
        relay_verdict::kAccepted, result_code::kOk, {}, {}};
    owner_->Carry(key_, std::move(balancer_), std::move(target_),
                  WithLength(Encode(accepted)));
  }

  void Answer(const relay_answer& answer) {
    text_ = WithLength(Encode(answer));
    asio::async_write(
        balancer_, asio::buffer(text_),
        [self = shared_from_this()](asio::error_code, std::size_t) {
          self->timer_.cancel();
        });
  }

  target_relay* owner_;
  asio::ip::tcp::socket balancer_;
  asio::ip::tcp::socket target_;
  asio::steady_timer timer_;
  flow_key key_;
  std::string text_;
};

target_relay::target_relay(process_frame* frame, const endpoint& target,
                           relay_judge* judge)
    : frame_(frame), target_(target), judge_(judge), acceptor_(frame->loop()) {}

target_relay::~target_relay() = default;

bool target_relay::Listen(const endpoint& where, failure* last_failure) {
  const auto tcp = ToTcp(where);
  asio::error_code error;
  acceptor_.open(tcp.protocol(), error);
  if (!error)
    acceptor_.set_option(asio::ip::tcp::acceptor::reuse_address(true), error);
  if (!error) acceptor_.bind(tcp, error);
  if (!error)
    acceptor_.listen(asio::socket_base::max_listen_connections, error);
  if (error) {
    SetFailure(last_failure, result_code::kBindFailed,
               ToString(where) + "/tcp: " + error.message());
    return false;
  }
  Accept();
  return true;
}

void target_relay::Accept() {
  acceptor_.async_accept(frame_->loop(), [this](asio::error_code error,
                                                asio::ip::tcp::socket socket) {
    if (error == asio::error::operation_aborted) return;
    if (!error) std::make_shared<opening>(this, std::move(socket))->Start();
    Accept();
  });
}

void target_relay::Carry(const flow_key& key, asio::ip::tcp::socket balancer,
                         asio::ip::tcp::socket target, std::string first) {
  auto pair = std::make_shared<stream_pair>(std::move(balancer),
                                            std::move(target), [this, key] {
                                              pairs_.erase(key);
                                              judge_->OnRelayEnded(key);
                                            });
  pairs_[key] = pair;
  pair->Start({}, std::move(first));
}

void target_relay::Close(const flow_key& key) {
  const auto found = pairs_.find(key);
  if (found == pairs_.end()) return;
  const std::shared_ptr<stream_pair> pair = found->second;
  pair->Reset();
}

void target_relay::ReportProgress(
    const std::function<void(const flow_key&, const relay_progress&)>& report) {
  for (const auto& [key, pair] : pairs_) {
    const stream_progress right = pair->ProgressToRight();
    const stream_progress left = pair->ProgressToLeft();
    report(key, {flow_direction::kToTarget, right.outstanding, right.advanced});
    report(key, {flow_direction::kToCaller, left.outstanding, left.advanced});
  }
}

}  // namespace tamaracklatch
