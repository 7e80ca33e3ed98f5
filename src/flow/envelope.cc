// The wire format of the envelope, in big-endian fields with their sizes in
// bytes:
//   magic 1, version 1, kind 1, flags 1, service 8, target 8, incarnation 8,
//   revision 8, load 4, visited 2, declined 2, best 1, arbiter 1, hops 1,
//   candidate count 1, protocol 1, key (2 addresses, 2 ports), origin,
//   candidates, payload, authentication code 8.
// An IPv4 address takes 5 bytes, an IPv6 address 17, the address family included.
#include "tamaracklatch/flow/envelope.h"

#include <sodium/crypto_shorthash.h>

#include <cassert>

#include "flow/byte_codec.h"

namespace tamaracklatch {
namespace {

constexpr std::uint8_t kMagic = 0x4c;
constexpr std::uint8_t kVersion = 1;
constexpr std::size_t kCodeBytes = crypto_shorthash_BYTES;
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
  const bool known = ReadAddress(reader, &where->address);
  where->port = reader->Read<std::uint16_t>();
  return known;
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

std::uint8_t FlagsOf(const envelope& what) {
  auto flags = static_cast<std::uint8_t>(what.opens);
  if (what.wants_hint) flags |= kWantsHintFlag;
  if (what.must_open) flags |= kMustOpenFlag;
  if (what.exhaustive) flags |= kExhaustiveFlag;
  return flags;
}

void WriteHeader(const envelope& what, byte_writer* writer) {
  writer->Write(kMagic);
  writer->Write(kVersion);
  writer->Write(static_cast<std::uint8_t>(what.kind));
  writer->Write(FlagsOf(what));
  writer->Write(what.service.value);
  WriteTarget(what.target, what.started, writer);
  writer->Write(what.at.value);
  writer->Write(what.load);
  writer->Write(what.visited);
  writer->Write(what.declined);
  writer->Write(what.best);
  writer->Write(what.arbiter);
  writer->Write(what.hops);
  writer->Write(what.candidate_count);
  writer->Write(static_cast<std::uint8_t>(what.key.protocol));
  WriteAddress(what.key.source, writer);
  WriteAddress(what.key.destination, writer);
  writer->Write(what.key.source_port);
  writer->Write(what.key.destination_port);
  WriteEndpoint(what.origin, writer);
  for (std::size_t at = 0; at < what.candidate_count; ++at) {
    const candidate& each = what.candidates[at];
    WriteTarget(each.id, each.started, writer);
    WriteEndpoint(each.packets, writer);
  }
}

// Reads the header's fields; the reader then holds the payload. Returns false if
// a field is out of range. A truncated header is not a false result: the caller
// checks reader->ok().
bool ReadHeader(byte_reader* reader, envelope* what) {
  const auto kind = reader->Read<std::uint8_t>();
  const auto flags = reader->Read<std::uint8_t>();
  const auto opens = static_cast<std::uint8_t>(flags & kOpensMask);
  what->service.value = reader->Read<std::uint64_t>();
  ReadTarget(reader, &what->target, &what->started);
  what->at.value = reader->Read<std::uint64_t>();
  what->load = reader->Read<std::uint32_t>();
  what->visited = reader->Read<std::uint16_t>();
  what->declined = reader->Read<std::uint16_t>();
  what->best = reader->Read<std::uint8_t>();
  what->arbiter = reader->Read<std::uint8_t>();
  what->hops = reader->Read<std::uint8_t>();
  what->candidate_count = reader->Read<std::uint8_t>();
  const auto protocol = reader->Read<std::uint8_t>();
  if (!reader->ok()) return true;

  if (kind > static_cast<std::uint8_t>(envelope_kind::kReport)) return false;
  if (opens > static_cast<std::uint8_t>(flow_opening::kUnknown)) return false;
  if ((flags & ~kKnownFlags) != 0) return false;
  if (what->candidate_count > kMaxVisits) return false;
  if (what->visited >> what->candidate_count != 0) return false;
  if (what->declined >> what->candidate_count != 0) return false;
  for (const std::uint8_t index : {what->best, what->arbiter}) {
    if (index != kNoCandidate && index >= what->candidate_count) return false;
  }
  if (what->hops > kMaxHops) return false;
  if (protocol != static_cast<std::uint8_t>(ip_protocol::kTcp) &&
      protocol != static_cast<std::uint8_t>(ip_protocol::kUdp)) {
    return false;
  }

  what->kind = static_cast<envelope_kind>(kind);
  what->opens = static_cast<flow_opening>(opens);
  what->wants_hint = (flags & kWantsHintFlag) != 0;
  what->must_open = (flags & kMustOpenFlag) != 0;
  what->exhaustive = (flags & kExhaustiveFlag) != 0;
  what->key.protocol = static_cast<ip_protocol>(protocol);
  bool known = ReadAddress(reader, &what->key.source);
  known = ReadAddress(reader, &what->key.destination) && known;
  what->key.source_port = reader->Read<std::uint16_t>();
  what->key.destination_port = reader->Read<std::uint16_t>();
  known = ReadEndpoint(reader, &what->origin) && known;
  for (std::size_t at = 0; at < what->candidate_count; ++at) {
    candidate& each = what->candidates[at];
    ReadTarget(reader, &each.id, &each.started);
    known = ReadEndpoint(reader, &each.packets) && known;
  }
  return known || !reader->ok();
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

void EncodeEnvelope(const envelope& what, const envelope_key& key,
                    std::string* bytes) {
  assert(what.candidate_count <= kMaxVisits);
  assert(what.payload.size() <= kMaxEnvelopePayload);
  std::array<char, kMaxEnvelopeHeader> header;
  byte_writer writer(header.data(), header.size());
  WriteHeader(what, &writer);

  const std::size_t covered = writer.size() + what.payload.size();
  bytes->resize(covered + kCodeBytes);
  std::memcpy(bytes->data(), header.data(), writer.size());
  if (!what.payload.empty()) {
    std::memcpy(bytes->data() + writer.size(), what.payload.data(),
                what.payload.size());
  }
  auto* data = reinterpret_cast<unsigned char*>(bytes->data());
  crypto_shorthash(data + covered, data, covered, key.data());
}

std::optional<envelope> DecodeEnvelope(std::string_view bytes,
                                       const envelope_key& key,
                                       failure* last_failure) {
  if (bytes.size() < kCodeBytes + 2) {
    return Refuse(last_failure, result_code::kEnvelopeTruncated,
                  "shorter than the authentication code");
  }
  const std::string_view covered = bytes.substr(0, bytes.size() - kCodeBytes);
  byte_reader reader(covered);
  if (reader.Read<std::uint8_t>() != kMagic) {
    return Refuse(last_failure, result_code::kEnvelopeMalformed,
                  "wrong magic byte");
  }
  if (reader.Read<std::uint8_t>() != kVersion) {
    return Refuse(last_failure, result_code::kEnvelopeVersion,
                  "unsupported envelope version");
  }
  std::array<unsigned char, kCodeBytes> code;
  crypto_shorthash(code.data(),
                   reinterpret_cast<const unsigned char*>(covered.data()),
                   covered.size(), key.data());
  if (std::memcmp(code.data(), covered.data() + covered.size(), kCodeBytes) !=
      0) {
    return Refuse(last_failure, result_code::kEnvelopeUnauthentic,
                  "authentication code does not match");
  }

  std::optional<envelope> what(std::in_place);
  if (!ReadHeader(&reader, &*what)) {
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
  what->payload = reader.rest();
  return what;
}

}  // namespace tamaracklatch
