// The wire format of the envelope, in big-endian fields with their sizes in
// bytes:
//   magic 1, version 1, kind 1, flags 1, service 8, target 8, incarnation 8,
//   revision 8, load 4, visited 2, declined 2, best 1, arbiter 1, hops 1,
//   candidate count 1, protocol 1, key (2 addresses, 2 ports), origin,
//   candidates, payload, authentication code 8.
// An IPv4 address takes 5 bytes, an IPv6 address 17, the address family
// included.
#include "tamaracklatch/flow/envelope.h"

#include <sodium/crypto_shorthash.h>

#include <cassert>

#include "flow/byte_codec.h"

namespace tamaracklatch {
namespace {

constexpr std::uint8_t kMagic = 0x4c;
constexpr std::uint8_t kVersion = 1;
constexpr std::size_t kAuthenticationCodeBytes = crypto_shorthash_BYTES;
constexpr std::size_t kV4Offset = 12;  // of the IPv4 address in its mapped form

constexpr std::uint8_t kOpensMask = 0x03;
constexpr std::uint8_t kWantsHintFlag = 0x04;
constexpr std::uint8_t kMustOpenFlag = 0x08;
constexpr std::uint8_t kExhaustiveFlag = 0x10;
constexpr std::uint8_t kKnownFlags = 0x1f;

constexpr std::uint8_t kV4Family = 4;
constexpr std::uint8_t kV6Family = 6;

static_assert(crypto_shorthash_KEYBYTES == std::tuple_size<envelope_key>(),
              "envelope_key must have the size of a SipHash key");

void WriteAddress(const ip_address& address, byte_writer* writer) {
  const bool v4 = address.IsV4();
  writer->Write(v4 ? kV4Family : kV6Family);
  const std::size_t skipped = v4 ? kV4Offset : 0;
  writer->WriteBytes(address.bytes.data() + skipped,
                     address.bytes.size() - skipped);
}

bool ReadAddress(byte_reader* reader, ip_address* address) {
  const auto family = reader->Read<std::uint8_t>();
  if (family != kV4Family) {
    reader->ReadBytes(address->bytes.data(), address->bytes.size());
    return family == kV6Family;
  }
  std::uint32_t number = reader->Read<std::uint32_t>();
  *address = MakeV4(number);
  return true;
}

void WriteEndpoint(const endpoint& where, byte_writer* writer) {
  WriteAddress(where.address, writer);
  writer->Write(where.port);
}

bool ReadEndpoint(byte_reader* reader, endpoint* where) {
  const bool valid = ReadAddress(reader, &where->address);
  where->port = reader->Read<std::uint16_t>();
  return valid;
}

void WriteTarget(target_id id, incarnation started, byte_writer* writer) {
  writer->Write(id.index);
  writer->Write(id.sequence);
  writer->Write(started.value);
}

void ReadTarget(byte_reader* reader, target_id* id, incarnation* started) {
  id->index = reader->Read<std::uint32_t>();
  id->sequence = reader->Read<std::uint32_t>();
  started->value = reader->Read<std::uint64_t>();
}

std::uint8_t FlagsOf(const envelope& message) {
  auto flags = static_cast<std::uint8_t>(message.opens);
  if (message.wants_hint) flags |= kWantsHintFlag;
  if (message.must_open) flags |= kMustOpenFlag;
  if (message.exhaustive) flags |= kExhaustiveFlag;
  return flags;
}

void WriteHeader(const envelope& message, byte_writer* writer) {
  writer->Write(kMagic);
  writer->Write(kVersion);
  writer->Write(static_cast<std::uint8_t>(message.kind));
  writer->Write(FlagsOf(message));
  writer->Write(message.service.value);
  WriteTarget(message.target, message.started, writer);
  writer->Write(message.at.value);
  writer->Write(message.load);
  writer->Write(message.visited);
  writer->Write(message.declined);
  writer->Write(message.best);
  writer->Write(message.arbiter);
  writer->Write(message.hops);
  writer->Write(message.candidate_count);
  writer->Write(static_cast<std::uint8_t>(message.key.protocol));
  WriteAddress(message.key.source, writer);
  WriteAddress(message.key.destination, writer);
  writer->Write(message.key.source_port);
  writer->Write(message.key.destination_port);
  WriteEndpoint(message.origin, writer);
  for (std::size_t at = 0; at < message.candidate_count; ++at) {
    const candidate& each = message.candidates[at];
    WriteTarget(each.id, each.started, writer);
    WriteEndpoint(each.packets, writer);
  }
}

// Reads the header's fields; the reader then holds the payload. Returns false
// if a field is out of range. A truncated header is not a false result: the
// caller checks reader->ok().
bool ReadHeader(byte_reader* reader, envelope* message) {
  const auto kind = reader->Read<std::uint8_t>();
  const auto flags = reader->Read<std::uint8_t>();
  const auto opens = static_cast<std::uint8_t>(flags & kOpensMask);
  message->service.value = reader->Read<std::uint64_t>();
  ReadTarget(reader, &message->target, &message->started);
  message->at.value = reader->Read<std::uint64_t>();
  message->load = reader->Read<std::uint32_t>();
  message->visited = reader->Read<std::uint16_t>();
  message->declined = reader->Read<std::uint16_t>();
  message->best = reader->Read<std::uint8_t>();
  message->arbiter = reader->Read<std::uint8_t>();
  message->hops = reader->Read<std::uint8_t>();
  message->candidate_count = reader->Read<std::uint8_t>();
  const auto protocol = reader->Read<std::uint8_t>();
  if (!reader->ok()) return true;

  if (kind > static_cast<std::uint8_t>(envelope_kind::kReport)) return false;
  if (opens > static_cast<std::uint8_t>(flow_opening::kUnknown)) return false;
  if ((flags & ~kKnownFlags) != 0) return false;
  if (message->candidate_count > kMaxVisits) return false;
  if (message->visited >> message->candidate_count != 0) return false;
  if (message->declined >> message->candidate_count != 0) return false;
  for (const std::uint8_t index : {message->best, message->arbiter}) {
    if (index != kNoCandidate && index >= message->candidate_count)
      return false;
  }
  if (message->hops > kMaxHops) return false;
  if (protocol != static_cast<std::uint8_t>(ip_protocol::kTcp) &&
      protocol != static_cast<std::uint8_t>(ip_protocol::kUdp)) {
    return false;
  }

  message->kind = static_cast<envelope_kind>(kind);
  message->opens = static_cast<flow_opening>(opens);
  message->wants_hint = (flags & kWantsHintFlag) != 0;
  message->must_open = (flags & kMustOpenFlag) != 0;
  message->exhaustive = (flags & kExhaustiveFlag) != 0;
  message->key.protocol = static_cast<ip_protocol>(protocol);
  bool valid = ReadAddress(reader, &message->key.source);
  valid = ReadAddress(reader, &message->key.destination) && valid;
  message->key.source_port = reader->Read<std::uint16_t>();
  message->key.destination_port = reader->Read<std::uint16_t>();
  valid = ReadEndpoint(reader, &message->origin) && valid;
  for (std::size_t at = 0; at < message->candidate_count; ++at) {
    candidate& each = message->candidates[at];
    ReadTarget(reader, &each.id, &each.started);
    valid = ReadEndpoint(reader, &each.packets) && valid;
  }
  return valid || !reader->ok();
}

std::optional<envelope> Refuse(failure* last_failure, result_code code,
                               const char* reason) {
  SetFailure(last_failure, code, reason);
  return std::nullopt;
}

}  // namespace

std::uint8_t envelope::IndexOf(target_id id) const {
  for (std::uint8_t index = 0; index < candidate_count; ++index) {
    if (candidates[index].id == id) return index;
  }
  return kNoCandidate;
}

bool envelope::Add(const candidate& next) {
  assert(IndexOf(next.id) == kNoCandidate);
  if (candidate_count == kMaxVisits) return false;
  candidates[candidate_count++] = next;
  return true;
}

void EncodeEnvelope(const envelope& message, const envelope_key& key,
                    std::string* bytes) {
  assert(message.candidate_count <= kMaxVisits);
  assert(message.payload.size() <= kMaxEnvelopePayload);
  std::array<char, kMaxEnvelopeHeader> header;
  byte_writer writer(header.data(), header.size());
  WriteHeader(message, &writer);

  const std::size_t covered = writer.size() + message.payload.size();
  bytes->resize(covered + kAuthenticationCodeBytes);
  std::memcpy(bytes->data(), header.data(), writer.size());
  if (!message.payload.empty()) {
    std::memcpy(bytes->data() + writer.size(), message.payload.data(),
                message.payload.size());
  }
  auto* data = reinterpret_cast<unsigned char*>(bytes->data());
  crypto_shorthash(data + covered, data, covered, key.data());
}

std::optional<envelope> DecodeEnvelope(std::string_view bytes,
                                       const envelope_key& key,
                                       failure* last_failure) {
  if (bytes.size() < kAuthenticationCodeBytes + 2) {
    return Refuse(last_failure, result_code::kEnvelopeTruncated,
                  "shorter than the authentication code");
  }
  const std::string_view covered =
      bytes.substr(0, bytes.size() - kAuthenticationCodeBytes);
  byte_reader reader(covered);
  if (reader.Read<std::uint8_t>() != kMagic) {
    return Refuse(last_failure, result_code::kEnvelopeMalformed,
                  "wrong magic byte");
  }
  if (reader.Read<std::uint8_t>() != kVersion) {
    return Refuse(last_failure, result_code::kEnvelopeVersion,
                  "unsupported envelope version");
  }
  std::array<unsigned char, kAuthenticationCodeBytes> code;
  crypto_shorthash(code.data(),
                   reinterpret_cast<const unsigned char*>(covered.data()),
                   covered.size(), key.data());
  if (std::memcmp(code.data(), covered.data() + covered.size(),
                  kAuthenticationCodeBytes) != 0) {
    return Refuse(last_failure, result_code::kEnvelopeUnauthentic,
                  "authentication code does not match");
  }

  std::optional<envelope> message(std::in_place);
  if (!ReadHeader(&reader, &*message)) {
    return Refuse(last_failure, result_code::kEnvelopeMalformed,
                  "header field out of range");
  }
  if (!reader.ok()) {
    return Refuse(last_failure, result_code::kEnvelopeTruncated,
                  "truncated header");
  }
  if (reader.rest().size() > kMaxEnvelopePayload) {
    return Refuse(last_failure, result_code::kEnvelopeMalformed,
                  "payload too large");
  }
  message->payload = reader.rest();
  return message;
}

}  // namespace tamaracklatch
