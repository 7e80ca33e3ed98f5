// Envelopes over UDP.
#include "daemon/envelope_socket.h"

#include <sodium.h>
#include <sys/socket.h>

#include "transport/link.h"

namespace tamaracklatch {
namespace {

constexpr int kReceiveBufferBytes = 4 * 1024 * 1024;
constexpr int kMaxPacketsPerWakeup =
    64;  // before other work of the loop gets its turn

}  // namespace

envelope_key DeriveEnvelopeKey(const link_key& key) {
  constexpr std::string_view kPurpose = "tamaracklatch envelope";
  envelope_key result{};
  crypto_generichash(result.data(), result.size(),
                     reinterpret_cast<const unsigned char*>(kPurpose.data()),
                     kPurpose.size(), key.data(), key.size());
  return result;
}

bool OpenUdp(asio::ip::udp::socket* socket, const endpoint& where, bool shared,
             failure* last_failure) {
  const auto udp = ToUdp(where);
  asio::error_code error;
  socket->open(udp.protocol(), error);
  if (!error) {
    asio::error_code ignored;
    socket->set_option(
        asio::socket_base::receive_buffer_size(kReceiveBufferBytes), ignored);
    const int on = 1;
    // Without this option, one process serves the address alone.
    if (shared)
      setsockopt(socket->native_handle(), SOL_SOCKET, SO_REUSEPORT, &on,
                 sizeof(on));
    socket->bind(udp, error);
  }
  if (!error) socket->non_blocking(true, error);
  if (!error) return true;
  SetFailure(last_failure, result_code::kBindFailed,
             ToString(where) + "/udp: " + error.message());
  asio::error_code ignored;
  socket->close(ignored);
  return false;
}

envelope_socket::envelope_socket(asio::io_context* loop, const link_key& key,
                                 metrics* counts, handler on_envelope)
    : socket_(*loop),
      key_(DeriveEnvelopeKey(key)),
      counts_(counts),
      on_envelope_(std::move(on_envelope)) {}

bool envelope_socket::Start(const endpoint& where, failure* last_failure) {
  if (!OpenUdp(&socket_, where, false, last_failure)) return false;
  Receive();
  return true;
}

void envelope_socket::Send(const endpoint& to, const envelope& what) {
  EncodeEnvelope(what, key_, &encoded_);
  asio::error_code error;
  socket_.send_to(asio::buffer(encoded_), ToUdp(to), 0, error);
  if (error)
    counts_->Count("tamaracklatch_envelopes_unsent_total",
                   "Envelopes that the socket did not take.");
}

void envelope_socket::Receive() {
  socket_.async_wait(
      asio::ip::udp::socket::wait_read, [this](asio::error_code error) {
        if (error) return;
        for (int i = 0; i < kMaxPacketsPerWakeup; ++i) {
          asio::error_code empty;
          const std::size_t size =
              socket_.receive_from(asio::buffer(buffer_), from_, 0, empty);
          if (empty) break;
          failure why;
          const auto what = DecodeEnvelope({buffer_.data(), size}, key_, &why);
          if (what) {
            on_envelope_(*what);
          } else {
            counts_->Count("tamaracklatch_envelopes_refused_total",
                           "Envelopes that could not be read, by reason.", 1.0,
                           std::string(ToString(why.code)));
          }
        }
        Receive();
      });
}

}  // namespace tamaracklatch
