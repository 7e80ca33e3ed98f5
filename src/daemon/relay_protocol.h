// The opening of a relayed connection between a balancer and a target daemon:
// one frame each way, then the caller's bytes. The request is an authenticated
// envelope that opens a flow; the answer takes it, passes it on or refuses it.
#pragma once

#include <asio.hpp>
#include <functional>
#include <memory>
#include <string>

#include "tamaracklatch/core/endpoint.h"
#include "tamaracklatch/core/result_code.h"

namespace tamaracklatch {

// Largest opening frame, in bytes.
inline constexpr std::size_t kMaxRelayFrameBytes = 4096;

enum class relay_verdict : std::uint8_t {
  kAccepted = 0,
  kPassed = 1,
  kRefused = 2
};

// A target daemon's answer.
struct relay_answer {
  relay_verdict verdict = relay_verdict::kRefused;
  result_code why = result_code::kOk;  // with kRefused
  endpoint next;  // with kPassed: the relay endpoint to ask; port 0: ask the
                  // own view again
  std::string envelope;  // with kPassed: the encoded envelope to ask with
};

std::string Encode(const relay_answer& answer);
std::optional<relay_answer> DecodeRelayAnswer(std::string_view bytes);

// Puts the length before a frame.
std::string WithLength(std::string_view frame);

// Reads one frame from the socket. Calls `done` with the frame, or with nothing
// when the stream fails or the frame is too long. Reads no byte past it.
void ReadRelayFrame(asio::ip::tcp::socket* socket,
                    std::function<void(std::optional<std::string>)> done);

}  // namespace tamaracklatch
