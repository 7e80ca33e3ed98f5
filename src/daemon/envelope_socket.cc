// Envelopes over UDP.
#include "daemon/envelope_socket.h"

#include <sodium.h>

namespace tamaracklatch {
envelope_key DeriveEnvelopeKey(const link_key& key) {
  constexpr std::string_view kPurpose = "tamaracklatch envelope";
  envelope_key result{};
  crypto_generichash(result.data(), result.size(),
                     reinterpret_cast<const unsigned char*>(kPurpose.data()),
                     kPurpose.size(), key.data(), key.size());
  return result;
}

envelope_socket::envelope_socket(asio::io_context* loop, const link_key& key,
                                 metrics* counts, handler on_envelope)
    : port_(loop, [this](const endpoint&,
                         std::string_view bytes) { OnBytes(bytes); }),
      key_(DeriveEnvelopeKey(key)),
      counts_(counts),
      on_envelope_(std::move(on_envelope)) {}

bool envelope_socket::Start(const endpoint& where, failure* last_failure) {
  return port_.Start(where, port_sharing::kAlone, last_failure);
}

void envelope_socket::Send(const endpoint& to, const envelope& what) {
  EncodeEnvelope(what, key_, &encoded_);
  if (port_.Send(to, encoded_)) return;
  counts_->Count("tamaracklatch_envelopes_unsent_total",
                 "Envelopes that the socket did not take.");
}

void envelope_socket::OnBytes(std::string_view bytes) {
  failure why;
  const auto what = DecodeEnvelope(bytes, key_, &why);
  if (what) return on_envelope_(*what);
  counts_->Count("tamaracklatch_envelopes_refused_total",
                 "Envelopes that could not be read, by reason.", 1.0,
                 std::string(ToString(why.code)));
}

}  // namespace tamaracklatch
