// Reading and writing of addresses through the C library's inet_pton and
// inet_ntop.
#include "tamaracklatch/core/endpoint.h"

#include <arpa/inet.h>
#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <cstring>

#include "tamaracklatch/core/hash.h"

namespace tamaracklatch {
namespace {

constexpr std::size_t kMappedPrefixBytes = 12;
constexpr std::uint8_t kMappedPrefixBits = 96;
constexpr std::array<std::uint8_t, kMappedPrefixBytes> kMappedPrefix{
    0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0xff, 0xff};

template <typename Number>
bool ParseNumber(std::string_view text, Number* number) {
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, *number);
  return error == std::errc() && stop == end;
}

bool BitIsSet(const ip_address& address, std::size_t bit) {
  return ((address.bytes.at(bit / 8) >> (7 - bit % 8)) & 1U) != 0;
}

}  // namespace

bool ip_address::IsV4() const {
  return std::equal(kMappedPrefix.begin(), kMappedPrefix.end(), bytes.begin());
}

ip_address MakeV4(std::uint32_t address) {
  ip_address result;
  std::copy(kMappedPrefix.begin(), kMappedPrefix.end(), result.bytes.begin());
  const std::uint32_t network_order = htonl(address);
  std::memcpy(result.bytes.data() + kMappedPrefixBytes, &network_order,
              sizeof(network_order));
  return result;
}

std::optional<ip_address> ParseIpAddress(std::string_view text,
                                         failure* last_failure) {
  const std::string terminated(text);
  ip_address result;
  if (inet_pton(AF_INET6, terminated.c_str(), result.bytes.data()) == 1)
    return result;
  std::uint32_t v4 = 0;
  if (inet_pton(AF_INET, terminated.c_str(), &v4) == 1)
    return MakeV4(ntohl(v4));
  SetFailure(last_failure, result_code::kBadAddress,
             fmt::format("\"{}\" is not an IP address", text));
  return std::nullopt;
}

std::string ToString(const ip_address& address) {
  if (address.IsV4()) {
    const std::uint8_t* part = address.bytes.data() + kMappedPrefixBytes;
    return fmt::format("{}.{}.{}.{}", part[0], part[1], part[2], part[3]);
  }
  std::array<char, INET6_ADDRSTRLEN> buffer{};
  inet_ntop(AF_INET6, address.bytes.data(), buffer.data(), buffer.size());
  return buffer.data();
}

std::optional<endpoint> ParseEndpoint(std::string_view text,
                                      failure* last_failure) {
  const std::size_t colon = text.rfind(':');
  endpoint result;
  if (colon == std::string_view::npos ||
      !ParseNumber(text.substr(colon + 1), &result.port)) {
    SetFailure(last_failure, result_code::kBadEndpoint,
               fmt::format("\"{}\" is not ADDRESS:PORT", text));
    return std::nullopt;
  }
  std::string_view host = text.substr(0, colon);
  const bool bracketed =
      host.size() >= 2 && host.front() == '[' && host.back() == ']';
  if (bracketed) host = host.substr(1, host.size() - 2);
  if (!bracketed && host.find(':') != std::string_view::npos) {
    SetFailure(last_failure, result_code::kBadEndpoint,
               fmt::format("\"{}\": an IPv6 address needs brackets", text));
    return std::nullopt;
  }
  const auto address = ParseIpAddress(host, last_failure);
  if (!address) return std::nullopt;
  result.address = *address;
  return result;
}

std::string ToString(const endpoint& where) {
  if (where.address.IsV4()) {
    const std::uint8_t* part = where.address.bytes.data() + kMappedPrefixBytes;
    return fmt::format("{}.{}.{}.{}:{}", part[0], part[1], part[2], part[3],
                       where.port);
  }
  return fmt::format("[{}]:{}", ToString(where.address), where.port);
}

bool ip_range::Contains(const ip_address& address) const {
  for (std::size_t bit = 0; bit < prefix_bits; ++bit) {
    if (BitIsSet(address, bit) != BitIsSet(base, bit)) return false;
  }
  return true;
}

std::optional<ip_range> ParseIpRange(std::string_view text,
                                     failure* last_failure) {
  const std::size_t slash = text.rfind('/');
  unsigned bits = 0;
  if (slash == std::string_view::npos ||
      !ParseNumber(text.substr(slash + 1), &bits)) {
    SetFailure(last_failure, result_code::kBadRange,
               fmt::format("\"{}\" is not ADDRESS/BITS", text));
    return std::nullopt;
  }
  const auto base = ParseIpAddress(text.substr(0, slash), last_failure);
  if (!base) return std::nullopt;
  const bool v4 = base->IsV4();
  const unsigned most = v4 ? 32 : 128;
  if (bits > most) {
    SetFailure(
        last_failure, result_code::kBadRange,
        fmt::format("\"{}\": the prefix is at most {} bits", text, most));
    return std::nullopt;
  }
  const ip_range result{
      *base, static_cast<std::uint8_t>(v4 ? bits + kMappedPrefixBits : bits)};
  for (std::size_t bit = result.prefix_bits; bit < 128; ++bit) {
    if (!BitIsSet(*base, bit)) continue;
    SetFailure(last_failure, result_code::kBadRange,
               fmt::format("\"{}\": bits past the prefix must be zero", text));
    return std::nullopt;
  }
  return result;
}

std::string ToString(const ip_range& range) {
  const bool v4 = range.base.IsV4() && range.prefix_bits >= kMappedPrefixBits;
  return fmt::format(
      "{}/{}", ToString(range.base),
      v4 ? range.prefix_bits - kMappedPrefixBits : range.prefix_bits);
}

std::uint64_t HashFlow(const flow_key& key) {
  std::array<std::uint8_t, 37> bytes{};
  auto at = std::copy(key.source.bytes.begin(), key.source.bytes.end(),
                      bytes.begin());
  at =
      std::copy(key.destination.bytes.begin(), key.destination.bytes.end(), at);
  *at++ = static_cast<std::uint8_t>(key.source_port >> 8U);
  *at++ = static_cast<std::uint8_t>(key.source_port & 0xffU);
  *at++ = static_cast<std::uint8_t>(key.destination_port >> 8U);
  *at++ = static_cast<std::uint8_t>(key.destination_port & 0xffU);
  *at = static_cast<std::uint8_t>(key.protocol);
  return HashBytes(bytes.data(), bytes.size());
}

}  // namespace tamaracklatch
