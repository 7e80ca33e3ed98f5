// One byte for the message, then the slice's own encoding.
#include "daemon/membership_frame.h"

#include <utility>

namespace tamaracklatch {
namespace {

template <typename Message>
std::optional<membership_message> Wrap(std::optional<Message> decoded) {
  if (!decoded) return std::nullopt;
  return membership_message(std::move(*decoded));
}

}  // namespace

std::string EncodeMembershipFrame(const membership_message& message) {
  std::string result(1, static_cast<char>(message.index()));
  result += std::visit([](const auto& each) { return Encode(each); }, message);
  return result;
}

std::optional<membership_message> DecodeMembershipFrame(
    std::string_view bytes) {
  if (bytes.empty()) return std::nullopt;
  const std::string_view body = bytes.substr(1);
  switch (bytes[0]) {
    case 0:
      return Wrap(DecodeLeaseRenewal(body));
    case 1:
      return Wrap(DecodeLeaseAnswer(body));
    case 2:
      return Wrap(DecodeMembershipReport(body));
    case 3:
      return Wrap(DecodeMembershipAnswer(body));
    default:
      return std::nullopt;
  }
}

}  // namespace tamaracklatch
