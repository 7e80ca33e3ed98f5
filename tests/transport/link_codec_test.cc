// Tests of the link protocol: two honest sides agree, and each kind of
// dishonest peer is refused with its number.
#include "tamaracklatch/transport/link_codec.h"

#include <string>
#include <vector>

#include "support/property.h"
#include "tamaracklatch/core/abbreviated_name.h"

namespace tamaracklatch {
namespace {

link_identity Identity(const std::string& name) {
  return {name, "vm-" + name, "kl-1", process_role::kBalancer, {7}};
}

link_codec Side(link_side side, std::uint8_t key_byte,
                std::uint8_t nonce_byte) {
  link_key key{};
  key.fill(key_byte);
  link_nonce nonce{};
  nonce.fill(nonce_byte);
  return link_codec(
      side, key, Identity(side == link_side::kConnecting ? "a" : "b"), nonce);
}

// Carries bytes both ways until nothing is left, in pieces of `piece` bytes;
// returns what each side saw.
struct exchange {
  std::vector<link_event> connecting;
  std::vector<link_event> accepting;
};

void Feed(link_codec* from, link_codec* to, std::size_t piece,
          std::vector<link_event>* seen) {
  const std::string bytes = from->TakeOutput();
  for (std::size_t at = 0; at < bytes.size(); at += piece) {
    for (link_event& what :
         to->Receive(std::string_view(bytes).substr(at, piece)))
      seen->push_back(std::move(what));
  }
}

exchange Handshake(link_codec* left, link_codec* right, std::size_t piece) {
  exchange seen;
  for (int turn = 0; turn < 3; ++turn) {
    Feed(left, right, piece, &seen.accepting);
    Feed(right, left, piece, &seen.connecting);
  }
  return seen;
}

result_code BrokenBy(const std::vector<link_event>& events) {
  for (const link_event& what : events) {
    if (const auto* broken = std::get_if<link_broken>(&what))
      return broken->why.code;
  }
  return result_code::kOk;
}

Test(link_codec, two_sides_agree_whatever_the_pieces) {
  for (const std::size_t piece : {1U, 7U, 4096U}) {
    link_codec left = Side(link_side::kConnecting, 1, 1);
    link_codec right = Side(link_side::kAccepting, 1, 2);
    exchange seen = Handshake(&left, &right, piece);
    cr_assert(left.established() && right.established());
    cr_expect(std::get<link_established>(seen.accepting.at(0)).peer.name ==
              "a");
    left.Send(frame_kind::kFlow, 42, "body");
    left.Send(frame_kind::kRequest, 43, "");
    Feed(&left, &right, piece, &seen.accepting);
    const auto& frame = std::get<link_frame>(seen.accepting.at(1));
    cr_expect(frame.kind == frame_kind::kFlow && frame.stamp == 42 &&
              frame.body == "body");
    cr_expect(std::get<link_frame>(seen.accepting.at(2)).body.empty());
  }
}

// Guards against control VMs without a leader where a VM or zone has a long
// name: the peer refused the hello, or the process aborted before it sent it.
Test(link_codec, names_of_any_length_are_exchanged) {
  for (const std::size_t size : {128U, 129U, 256U, 400U, 4000U}) {
    const std::string name(size, 'n');
    const auto side = [&](link_side which, std::uint8_t nonce_byte) {
      link_nonce nonce{};
      nonce.fill(nonce_byte);
      return link_codec(which, link_key{},
                        {name, name, name, process_role::kControl, {7}}, nonce);
    };
    link_codec left = side(link_side::kConnecting, 1);
    link_codec right = side(link_side::kAccepting, 2);
    const exchange seen = Handshake(&left, &right, 4096);
    cr_assert(left.established() && right.established(), "%zu bytes", size);
    const link_identity& peer =
        std::get<link_established>(seen.accepting.at(0)).peer;
    cr_expect(peer.name == AbbreviateName(name));
    cr_expect(peer.vm == AbbreviateName(name));
    cr_expect(peer.zone == AbbreviateName(name));
  }
}

Test(link_codec, another_key_is_refused) {
  link_codec left = Side(link_side::kConnecting, 1, 1);
  link_codec right = Side(link_side::kAccepting, 2, 2);
  const exchange seen = Handshake(&left, &right, 4096);
  cr_expect(BrokenBy(seen.accepting) == result_code::kLinkUnauthenticated);
  cr_expect(!left.established() && !right.established());
}

Test(link_codec, a_reflected_hello_is_refused) {
  link_codec left = Side(link_side::kConnecting, 1, 1);
  const std::string hello = left.TakeOutput();
  cr_expect(BrokenBy(left.Receive(hello)) == result_code::kLinkUnauthenticated);
}

Test(link_codec, a_large_length_is_refused_before_its_bytes) {
  link_codec right = Side(link_side::kAccepting, 1, 2);
  cr_expect(BrokenBy(right.Receive(std::string("\0\1\0\0", 4))) ==
            result_code::kFrameTooLarge);
}

Test(link_codec, a_repeated_frame_is_refused) {
  link_codec left = Side(link_side::kConnecting, 1, 1);
  link_codec right = Side(link_side::kAccepting, 1, 2);
  Handshake(&left, &right, 4096);
  left.Send(frame_kind::kFlow, 1, "once");
  const std::string bytes = left.TakeOutput();
  cr_expect(BrokenBy(right.Receive(bytes)) == result_code::kOk);
  cr_expect(BrokenBy(right.Receive(bytes)) ==
            result_code::kLinkUnauthenticated);
}

Test(link_codec, no_altered_byte_gets_through) {
  test::CheckProperty(
      "altered frames", [](std::uint16_t where, std::uint8_t change) {
        RC_PRE(change != 0);
        link_codec left = Side(link_side::kConnecting, 1, 1);
        link_codec right = Side(link_side::kAccepting, 1, 2);
        Handshake(&left, &right, 4096);
        left.Send(frame_kind::kFlow, 1, "a body of some length");
        std::string bytes = left.TakeOutput();
        bytes[where % bytes.size()] =
            static_cast<char>(bytes[where % bytes.size()] ^ change);
        for (const link_event& what : right.Receive(bytes))
          RC_ASSERT(!std::holds_alternative<link_frame>(what));
      });
}

Test(link_codec, arbitrary_bytes_never_crash) {
  test::CheckProperty("arbitrary bytes",
                      [](const std::vector<std::string>& pieces) {
                        link_codec right = Side(link_side::kAccepting, 1, 2);
                        for (const std::string& piece : pieces)
                          right.Receive(piece);
                        RC_ASSERT(!right.established());
                      });
}

}  // namespace
}  // namespace tamaracklatch
