// The encoding of the steering header. Fields in order, with sizes in bytes:
//   magic 1, flags 1 (kind, confirmed, uncertain, IPv6, version), flow 8,
//   balancer 6 (IPv4) or 18 (IPv6), set version 8, sender load 4, possible
//   owners 2, service count 1, visit count 1, receiver 8 (kSegment only), parts
//   1 (kSegment and kPartEnded), part 1 (with parts), collector 18 (kSegment
//   with parts), target start 8 (kOwner only), services 16 each, visits 8 each.
// Headers of other versions are refused: they identify services and visits in
// ways that can't be translated.
#include "tamaracklatch/steering/steering_header.h"

#include <algorithm>
#include <cassert>
#include <cstring>

#include "flow/byte_codec.h"
#include "steering/endpoint_hash.h"
#include "tamaracklatch/core/hash.h"

namespace tamaracklatch {
namespace {

constexpr std::uint8_t kMagic = 0x5a;
// The largest value of its two bits: another format needs another magic number.
constexpr std::uint8_t kVersion = 3;

constexpr std::uint8_t kKindMask = 0x07;
constexpr std::uint8_t kConfirmedFlag = 0x08;
constexpr std::uint8_t kUncertainFlag = 0x10;
constexpr std::uint8_t kV6Flag = 0x20;
constexpr std::uint8_t kVersionShift = 6;

constexpr std::size_t kV4Offset = 12;  // in an IPv4-mapped IPv6 address
constexpr std::size_t kMaxBytes =
    96 + 16 * kMaxSteeringServices + 8 * kMaxSteeringVisits;

std::uint8_t FlagsOf(const steering_header& header) {
  auto flags = static_cast<std::uint8_t>(header.kind);
  if (header.confirmed) flags |= kConfirmedFlag;
  if (header.uncertain) flags |= kUncertainFlag;
  if (!header.balancer.address.IsV4()) flags |= kV6Flag;
  return static_cast<std::uint8_t>(flags | kVersion << kVersionShift);
}

bool HasParts(steering_kind kind) {
  return kind == steering_kind::kSegment || kind == steering_kind::kPartEnded;
}

void WriteParts(const steering_header& header, byte_writer* writer) {
  writer->Write(header.parts);
  if (header.parts == 0) return;
  writer->Write(header.part);
  if (header.kind != steering_kind::kSegment) return;
  const auto& bytes = header.collector.address.bytes;
  writer->WriteBytes(bytes.data(), bytes.size());
  writer->Write(header.collector.port);
}

// False if the values contradict each other; truncation is found later.
bool ReadParts(byte_reader* reader, steering_header* header) {
  header->parts = reader->Read<std::uint8_t>();
  const bool has_parts = header->parts != 0;
  if (reader->ok() && !has_parts)
    return header->kind == steering_kind::kSegment;
  if (has_parts) header->part = reader->Read<std::uint8_t>();
  if (!reader->ok()) return true;
  if (header->parts > kMaxSearchParts || header->part >= header->parts)
    return false;
  if (header->kind != steering_kind::kSegment) return true;
  auto& bytes = header->collector.address.bytes;
  reader->ReadBytes(bytes.data(), bytes.size());
  header->collector.port = reader->Read<std::uint16_t>();
  return true;
}

std::optional<steering_header> Refuse(failure* last_failure, result_code code,
                                      const char* reason) {
  SetFailure(last_failure, code, reason);
  return std::nullopt;
}

}  // namespace

std::uint64_t NodeTag(const endpoint& where, std::uint64_t generation) {
  return HashPair(HashEndpoint(where), generation);
}

bool steering_header::HasService(const service_digest& service) const {
  const auto* end = services.begin() + service_count;
  return std::find(services.begin(), end, service) != end;
}

bool steering_header::HasVisited(std::uint64_t node) const {
  const auto* end = visits.begin() + visit_count;
  return std::find(visits.begin(), end, node) != end;
}

bool steering_header::AddVisit(std::uint64_t node) {
  if (visit_count == kMaxSteeringVisits) return false;
  visits[visit_count++] = node;
  return true;
}

void AppendSteeringHeader(const steering_header& header, std::string* bytes) {
  assert(header.service_count <= kMaxSteeringServices);
  assert(header.visit_count <= kMaxSteeringVisits);
  assert(header.kind != steering_kind::kSegment || header.service_count > 0);
  std::array<char, kMaxBytes> buffer;
  byte_writer writer(buffer.data(), buffer.size());
  writer.Write(kMagic);
  writer.Write(FlagsOf(header));
  writer.Write(header.flow);
  const auto& address = header.balancer.address;
  const std::size_t skipped = address.IsV4() ? kV4Offset : 0;
  writer.WriteBytes(address.bytes.data() + skipped,
                    address.bytes.size() - skipped);
  writer.Write(header.balancer.port);
  writer.Write(header.set_version);
  writer.Write(header.sender_load);
  writer.Write(header.possible_owners);
  writer.Write(header.service_count);
  writer.Write(header.visit_count);
  if (header.kind == steering_kind::kSegment) writer.Write(header.receiver);
  if (HasParts(header.kind)) WriteParts(header, &writer);
  if (header.kind == steering_kind::kOwner) writer.Write(header.target_start);
  for (std::size_t at = 0; at < header.service_count; ++at)
    writer.WriteBytes(header.services[at].bytes.data(),
                      header.services[at].bytes.size());
  for (std::size_t at = 0; at < header.visit_count; ++at)
    writer.Write(header.visits[at]);
  bytes->append(buffer.data(), writer.size());
}

std::optional<steering_header> ReadSteeringHeader(std::string_view bytes,
                                                  std::string_view* segment,
                                                  failure* last_failure) {
  byte_reader reader(bytes);
  const auto magic = reader.Read<std::uint8_t>();
  const auto flags = reader.Read<std::uint8_t>();
  if (!reader.ok()) {
    return Refuse(last_failure, result_code::kEnvelopeTruncated,
                  "shorter than a steering header");
  }
  if (magic != kMagic) {
    return Refuse(last_failure, result_code::kEnvelopeMalformed,
                  "not a steering header");
  }
  if (flags >> kVersionShift != kVersion) {
    return Refuse(last_failure, result_code::kEnvelopeVersion,
                  "unsupported version of the steering header");
  }
  steering_header header;
  header.kind = static_cast<steering_kind>(flags & kKindMask);
  header.confirmed = (flags & kConfirmedFlag) != 0;
  header.uncertain = (flags & kUncertainFlag) != 0;
  header.flow = reader.Read<std::uint64_t>();
  ip_address& address = header.balancer.address;
  const bool v6 = (flags & kV6Flag) != 0;
  if (!v6) address = MakeV4(0);
  const std::size_t skipped = v6 ? 0 : kV4Offset;
  reader.ReadBytes(address.bytes.data() + skipped,
                   address.bytes.size() - skipped);
  header.balancer.port = reader.Read<std::uint16_t>();
  header.set_version = reader.Read<std::uint64_t>();
  header.sender_load = reader.Read<std::uint32_t>();
  header.possible_owners = reader.Read<std::uint16_t>();
  header.service_count = reader.Read<std::uint8_t>();
  header.visit_count = reader.Read<std::uint8_t>();
  const bool needs_service = header.kind == steering_kind::kSegment;
  if (reader.ok() &&
      (header.kind < steering_kind::kSegment ||
       header.kind > steering_kind::kPartEnded ||
       header.service_count > kMaxSteeringServices ||
       header.visit_count > kMaxSteeringVisits || (v6 && address.IsV4()) ||
       (needs_service && header.service_count == 0))) {
    return Refuse(last_failure, result_code::kEnvelopeMalformed,
                  "a field of the steering header is out of range");
  }
  if (header.kind == steering_kind::kSegment)
    header.receiver = reader.Read<std::uint64_t>();
  if (HasParts(header.kind) && !ReadParts(&reader, &header)) {
    return Refuse(last_failure, result_code::kEnvelopeMalformed,
                  "a part of a search that has none such");
  }
  if (header.kind == steering_kind::kOwner)
    header.target_start = reader.Read<std::uint64_t>();
  for (std::size_t at = 0; reader.ok() && at < header.service_count; ++at) {
    auto& digest = header.services[at].bytes;
    reader.ReadBytes(digest.data(), digest.size());
  }
  for (std::size_t at = 0; reader.ok() && at < header.visit_count; ++at)
    header.visits[at] = reader.Read<std::uint64_t>();
  if (!reader.ok()) {
    return Refuse(last_failure, result_code::kEnvelopeTruncated,
                  "shorter than the counts of its steering header require");
  }
  *segment = reader.rest();
  return header;
}

}  // namespace tamaracklatch
