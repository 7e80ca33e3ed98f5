// The link protocol: 4 bytes of length in network order, then a frame. Codes
// are BLAKE2b by libsodium.
#include "tamaracklatch/transport/link_codec.h"

#include <fmt/format.h>
#include <sodium.h>

#include <cassert>

#include "tamaracklatch/core/abbreviated_name.h"
#include "tamaracklatch/transport/wire.h"

namespace tamaracklatch {
namespace {

constexpr std::uint64_t kProtocolVersion = 1;
constexpr std::size_t kLengthBytes = 4;
constexpr std::size_t kCodeBytes = 16;       // of a frame's authentication code
constexpr std::size_t kProofBytes = 32;      // of a handshake proof
constexpr std::size_t kHeaderBytes = 1 + 8;  // kind and stamp before the body
constexpr std::size_t kMaxIdentityText = kMaxAbbreviatedName;

void AppendNumber(std::string* out, std::uint64_t value, std::size_t bytes) {
  for (std::size_t i = bytes; i > 0; --i)
    out->push_back(static_cast<char>(value >> (8 * (i - 1)) & 0xffU));
}

std::uint64_t ReadNumber(std::string_view bytes) {
  std::uint64_t value = 0;
  for (const char byte : bytes)
    value = value << 8U | static_cast<std::uint8_t>(byte);
  return value;
}

std::string KeyedHash(const std::uint8_t* key, std::size_t key_size,
                      std::string_view text, std::size_t size) {
  std::string code(size, '\0');
  crypto_generichash(reinterpret_cast<unsigned char*>(code.data()), size,
                     reinterpret_cast<const unsigned char*>(text.data()),
                     text.size(), key, key_size);
  return code;
}

bool SameBytes(std::string_view left, std::string_view right) {
  return left.size() == right.size() &&
         sodium_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::string EncodeHello(const link_identity& self, link_side side,
                        const link_nonce& nonce) {
  wire_writer writer;
  writer.Array(8);
  writer.Number(kProtocolVersion);
  writer.Number(static_cast<std::uint64_t>(side));
  writer.Text({reinterpret_cast<const char*>(nonce.data()), nonce.size()});
  writer.Text(AbbreviateName(self.name));
  writer.Text(AbbreviateName(self.vm));
  writer.Text(AbbreviateName(self.zone));
  writer.Number(static_cast<std::uint64_t>(self.role));
  writer.Write(self.started);
  return std::string(writer.bytes());
}

struct hello {
  std::uint64_t version = 0;
  link_side side = link_side::kConnecting;
  link_identity identity;
  bool ok = false;
};

hello DecodeHello(std::string_view bytes) {
  const wire_limits limits{kMaxHandshakeBytes, 16, kMaxIdentityText, 2};
  wire_reader reader(bytes, limits);
  hello result;
  reader.Array();
  result.version = reader.Number();
  result.side = static_cast<link_side>(reader.NumberUpTo(1));
  const std::string nonce = reader.Text();
  result.identity.name = reader.Text();
  result.identity.vm = reader.Text();
  result.identity.zone = reader.Text();
  result.identity.role = static_cast<process_role>(reader.NumberUpTo(3));
  reader.Read(&result.identity.started);
  result.ok = reader.ok() && nonce.size() == kLinkNonceBytes;
  return result;
}

link_side Other(link_side side) {
  return side == link_side::kConnecting ? link_side::kAccepting
                                        : link_side::kConnecting;
}

// The code of a frame covers its sequence, so that none can be dropped,
// repeated or moved.
std::string FrameCode(const std::array<std::uint8_t, kLinkKeyBytes>& key,
                      std::uint64_t sequence, std::string_view content) {
  std::string covered;
  covered.reserve(sizeof(sequence) + content.size());
  AppendNumber(&covered, sequence, sizeof(sequence));
  covered.append(content);
  return KeyedHash(key.data(), key.size(), covered, kCodeBytes);
}

}  // namespace

link_codec::link_codec(link_side side, const link_key& key, link_identity self,
                       const link_nonce& nonce)
    : side_(side), key_(key), own_hello_(EncodeHello(self, side, nonce)) {
  assert(own_hello_.size() <= kMaxHandshakeBytes);
  AppendFrame(own_hello_);
}

std::vector<link_event> link_codec::Receive(std::string_view bytes) {
  std::vector<link_event> events;
  if (phase_ == phase::kBroken) return events;
  input_.append(bytes);
  std::string frame;
  while (phase_ != phase::kBroken && TakeFrame(&frame, &events))
    HandleFrame(frame, &events);
  return events;
}

std::size_t link_codec::FrameLimit() const {
  return phase_ == phase::kEstablished
             ? kMaxFrameBytes + kCodeBytes + kHeaderBytes
             : kMaxHandshakeBytes;
}

bool link_codec::TakeFrame(std::string* frame,
                           std::vector<link_event>* events) {
  if (input_.size() < kLengthBytes) return false;
  const std::uint64_t length =
      ReadNumber(std::string_view(input_).substr(0, kLengthBytes));
  if (length > FrameLimit()) {
    Break(result_code::kFrameTooLarge,
          fmt::format("a frame of {} bytes, at most {} are allowed", length,
                      FrameLimit()),
          events);
    return false;
  }
  if (input_.size() < kLengthBytes + length) return false;
  frame->assign(input_, kLengthBytes, length);
  input_.erase(0, kLengthBytes + length);
  return true;
}

void link_codec::HandleFrame(const std::string& frame,
                             std::vector<link_event>* events) {
  switch (phase_) {
    case phase::kHello:
      return HandleHello(frame, events);
    case phase::kProof:
      return HandleProof(frame, events);
    case phase::kEstablished:
      return HandleBody(frame, events);
    case phase::kBroken:
      return;
  }
}

void link_codec::HandleHello(const std::string& frame,
                             std::vector<link_event>* events) {
  hello peer = DecodeHello(frame);
  if (!peer.ok)
    return Break(result_code::kFrameMalformed, "the hello can't be read",
                 events);
  if (peer.version != kProtocolVersion) {
    return Break(result_code::kLinkVersion,
                 fmt::format("the peer speaks version {}, this side {}",
                             peer.version, kProtocolVersion),
                 events);
  }
  if (peer.side == side_)
    return Break(result_code::kLinkUnauthenticated,
                 "the peer reflects this side", events);
  peer_ = std::move(peer.identity);
  peer_hello_ = frame;
  send_key_ = Derive("session", side_);
  receive_key_ = Derive("session", Other(side_));
  const session_key proof = Derive("proof", side_);
  AppendFrame({reinterpret_cast<const char*>(proof.data()), proof.size()});
  phase_ = phase::kProof;
}

void link_codec::HandleProof(const std::string& frame,
                             std::vector<link_event>* events) {
  const session_key expected = Derive("proof", Other(side_));
  if (!SameBytes(frame, {reinterpret_cast<const char*>(expected.data()),
                         expected.size()})) {
    return Break(
        result_code::kLinkUnauthenticated,
        fmt::format("\"{}\" does not hold the key of the settings", peer_.name),
        events);
  }
  phase_ = phase::kEstablished;
  events->push_back(link_established{peer_});
}

void link_codec::HandleBody(const std::string& frame,
                            std::vector<link_event>* events) {
  if (frame.size() < kCodeBytes + kHeaderBytes) {
    return Break(result_code::kFrameMalformed,
                 "a frame is shorter than its header", events);
  }
  const std::string_view content = std::string_view(frame).substr(kCodeBytes);
  const std::string expected = FrameCode(receive_key_, received_++, content);
  if (!SameBytes(std::string_view(frame).substr(0, kCodeBytes), expected)) {
    return Break(result_code::kLinkUnauthenticated, "a frame's code is wrong",
                 events);
  }
  const auto kind = static_cast<std::uint8_t>(content[0]);
  if (kind > static_cast<std::uint8_t>(frame_kind::kRequest)) {
    return Break(result_code::kFrameMalformed,
                 fmt::format("frame kind {} is unknown", kind), events);
  }
  events->push_back(link_frame{static_cast<frame_kind>(kind),
                               ReadNumber(content.substr(1, 8)),
                               std::string(content.substr(kHeaderBytes))});
}

void link_codec::Break(result_code code, std::string reason,
                       std::vector<link_event>* events) {
  phase_ = phase::kBroken;
  input_.clear();
  events->push_back(link_broken{{code, std::move(reason)}});
}

link_codec::session_key link_codec::Derive(std::string_view purpose,
                                           link_side sender) const {
  const bool connecting = side_ == link_side::kConnecting;
  std::string covered(purpose);
  covered.push_back(static_cast<char>(sender));
  covered.append(connecting ? own_hello_ : peer_hello_);
  covered.append(connecting ? peer_hello_ : own_hello_);
  const std::string hash =
      KeyedHash(key_.data(), key_.size(), covered, kProofBytes);
  session_key result{};
  std::copy(hash.begin(), hash.end(), result.begin());
  return result;
}

void link_codec::Send(frame_kind kind, std::uint64_t stamp,
                      std::string_view body) {
  assert(established());
  assert(body.size() <= kMaxFrameBytes);
  std::string content;
  content.reserve(kHeaderBytes + body.size());
  content.push_back(static_cast<char>(kind));
  AppendNumber(&content, stamp, sizeof(stamp));
  content.append(body);
  AppendFrame(FrameCode(send_key_, sent_++, content) + content);
}

void link_codec::AppendFrame(std::string_view frame) {
  AppendNumber(&output_, frame.size(), kLengthBytes);
  output_.append(frame);
}

std::string link_codec::TakeOutput() {
  std::string taken;
  taken.swap(output_);
  return taken;
}

}  // namespace tamaracklatch
