// The protocol of a link between two of the system's processes, without I/O: an
// authenticated handshake, then frames with length, message authentication code
// and sequence. Bytes from the stream go in; events and bytes to send come out.
//
// Handshake: each side sends a hello (protocol version, identity, nonce). Each
// then proves that it holds the shared key by a code over both hellos, and
// derives one session key a direction from them, so that a recorded session
// can't be replayed.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "tamaracklatch/core/ids.h"
#include "tamaracklatch/core/result_code.h"

namespace tamaracklatch {

// Size of the shared key, in bytes.
inline constexpr std::size_t kLinkKeyBytes = 32;
// Size of the random nonce of a hello, in bytes.
inline constexpr std::size_t kLinkNonceBytes = 32;
// Largest body of a frame after the handshake, in bytes.
inline constexpr std::size_t kMaxFrameBytes = 1024 * 1024;
// Largest frame of the handshake, in bytes: what an unauthenticated peer can
// make this side hold.
inline constexpr std::size_t kMaxHandshakeBytes = 1024;

using link_key = std::array<std::uint8_t, kLinkKeyBytes>;
using link_nonce = std::array<std::uint8_t, kLinkNonceBytes>;

enum class process_role : std::uint8_t {
  kControl = 0,
  kBalancer = 1,
  kTarget = 2,
  kOperator = 3
};

// Who a process says it is; believed because it holds the key.
struct link_identity {
  std::string name;  // of the process, unique in the cluster
  vm_name vm;
  zone_name zone;
  process_role role = process_role::kBalancer;
  incarnation started;
};

// Which slice a frame belongs to; the slice decodes the body.
enum class frame_kind : std::uint8_t {
  kHeartbeat = 0,
  kConsensus = 1,
  kControl = 2,
  kDistribution = 3,
  kMembership = 4,
  kFlow = 5,
  kRequest = 6,
};

// Events out of the codec, in order.
struct link_established {
  link_identity peer;
};
struct link_frame {
  frame_kind kind = frame_kind::kHeartbeat;
  std::uint64_t stamp = 0;  // the sender's hybrid logical clock, packed
  std::string body;
};
struct link_broken {
  failure why;
};
using link_event = std::variant<link_established, link_frame, link_broken>;

// Which side of the connection this is; both sides can't be the same.
enum class link_side : std::uint8_t { kConnecting = 0, kAccepting = 1 };

// One link's protocol state.
// Invariants: no frame is given out before the peer's proof was checked; after
// link_broken nothing more comes out.
class link_codec {
 public:
  // `nonce` must be random and used for this link alone.
  link_codec(link_side side, const link_key& key, link_identity self,
             const link_nonce& nonce);

  // Takes bytes from the stream. The events must be handled before the next
  // call.
  std::vector<link_event> Receive(std::string_view bytes);

  // Appends a frame to what is to be sent. Must be established; `body` at most
  // kMaxFrameBytes.
  void Send(frame_kind kind, std::uint64_t stamp, std::string_view body);

  // Takes the bytes that are to be written to the stream.
  std::string TakeOutput();

  bool established() const { return phase_ == phase::kEstablished; }

 private:
  enum class phase : std::uint8_t { kHello, kProof, kEstablished, kBroken };
  using session_key = std::array<std::uint8_t, kLinkKeyBytes>;

  std::size_t FrameLimit() const;
  bool TakeFrame(std::string* frame, std::vector<link_event>* events);
  void HandleFrame(const std::string& frame, std::vector<link_event>* events);
  void HandleHello(const std::string& frame, std::vector<link_event>* events);
  void HandleProof(const std::string& frame, std::vector<link_event>* events);
  void HandleBody(const std::string& frame, std::vector<link_event>* events);
  void Break(result_code code, std::string reason,
             std::vector<link_event>* events);
  session_key Derive(std::string_view purpose, link_side sender) const;
  void AppendFrame(std::string_view frame);

  link_side side_;
  link_key key_;
  link_identity peer_;
  std::string own_hello_;
  std::string peer_hello_;
  phase phase_ = phase::kHello;
  session_key send_key_{};
  session_key receive_key_{};
  std::uint64_t sent_ = 0;      // frames sent since the handshake
  std::uint64_t received_ = 0;  // frames received since the handshake
  std::string input_;           // bytes received and not yet taken
  std::string output_;          // bytes not yet written
};

}  // namespace tamaracklatch
