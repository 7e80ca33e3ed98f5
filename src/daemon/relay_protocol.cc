// Frames of the relay's opening: 2 bytes of length in network order, then the
// frame.
#include "daemon/relay_protocol.h"

#include <array>

#include "tamaracklatch/transport/wire.h"

namespace tamaracklatch {
namespace {

constexpr std::size_t kLengthBytes = 2;

std::size_t LengthOf(const std::array<std::uint8_t, kLengthBytes>& bytes) {
  return static_cast<std::size_t>(bytes[0]) << 8U | bytes[1];
}

}  // namespace

std::string Encode(const relay_answer& answer) {
  wire_writer writer;
  writer.Array(4);
  writer.Number(static_cast<std::uint64_t>(answer.verdict));
  writer.Number(static_cast<std::uint64_t>(answer.why));
  writer.Write(answer.next);
  writer.Text(answer.envelope);
  return std::string(writer.bytes());
}

std::optional<relay_answer> DecodeRelayAnswer(std::string_view bytes) {
  wire_reader reader(bytes, {kMaxRelayFrameBytes, 8, kMaxRelayFrameBytes, 3});
  relay_answer answer;
  reader.Array();
  answer.verdict = static_cast<relay_verdict>(reader.NumberUpTo(2));
  answer.why = static_cast<result_code>(reader.NumberUpTo(UINT16_MAX));
  reader.Read(&answer.next);
  answer.envelope = reader.Text();
  if (!reader.ok()) return std::nullopt;
  return answer;
}

std::string WithLength(std::string_view frame) {
  std::string result;
  result.reserve(kLengthBytes + frame.size());
  result.push_back(static_cast<char>(frame.size() >> 8U));
  result.push_back(static_cast<char>(frame.size() & 0xffU));
  result.append(frame);
  return result;
}

void ReadRelayFrame(asio::ip::tcp::socket* socket,
                    std::function<void(std::optional<std::string>)> done) {
  auto length = std::make_shared<std::array<std::uint8_t, kLengthBytes>>();
  asio::async_read(
      *socket, asio::buffer(*length), [=](asio::error_code error, std::size_t) {
        if (error || LengthOf(*length) > kMaxRelayFrameBytes)
          return done(std::nullopt);
        auto frame = std::make_shared<std::string>(LengthOf(*length), '\0');
        asio::async_read(*socket, asio::buffer(*frame),
                         [=](asio::error_code failed, std::size_t) {
                           if (failed) return done(std::nullopt);
                           done(std::move(*frame));
                         });
      });
}

}  // namespace tamaracklatch
