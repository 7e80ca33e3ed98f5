// Frame layout, little endian: magic (4 bytes), body length (4), sequence (8),
// body checksum (8), checksum of the header so far (8), body.
#include "consensus/log_frame.h"

#include <fmt/format.h>

#include <algorithm>
#include <cassert>

#include "consensus/configuration_wire.h"
#include "tamaracklatch/core/hash.h"
#include "tamaracklatch/transport/wire.h"

namespace tamaracklatch {
namespace {

constexpr std::uint32_t kMagic = 0x4c544b31;  // "1KTL"
constexpr std::size_t kLengthAt = 4;
constexpr std::size_t kSequenceAt = 8;
constexpr std::size_t kBodyChecksumAt = 16;
constexpr std::size_t kHeaderChecksumAt = 24;
constexpr std::size_t kHeaderBytes = 32;
constexpr std::size_t kSectorBytes = 512;
constexpr wire_limits kBodyLimits{256 * 1024 * 1024, 1024 * 1024, 1024 * 1024,
                                  8};

void AppendLittleEndian(std::string* out, std::uint64_t value,
                        std::size_t bytes) {
  for (std::size_t i = 0; i < bytes; ++i) {
    out->push_back(static_cast<char>((value >> (8 * i)) & 0xffU));
  }
}

std::uint64_t ReadLittleEndian(std::string_view in, std::size_t at,
                               std::size_t bytes) {
  std::uint64_t value = 0;
  for (std::size_t i = 0; i < bytes; ++i) {
    value |= std::uint64_t{static_cast<std::uint8_t>(in[at + i])} << (8 * i);
  }
  return value;
}

std::uint64_t BodyChecksum(std::string_view body, std::uint64_t sequence,
                           disk_incarnation disk) {
  return HashText(body, HashPair(disk.value, sequence));
}

// Whether the bytes begin with a header whose checksum is valid for `disk`.
bool HasValidHeader(std::string_view bytes, disk_incarnation disk) {
  if (bytes.size() < kHeaderBytes) return false;
  if (ReadLittleEndian(bytes, 0, 4) != kMagic) return false;
  const std::uint64_t checksum =
      HashText(bytes.substr(0, kHeaderChecksumAt), disk.value);
  return ReadLittleEndian(bytes, kHeaderChecksumAt, 8) == checksum;
}

// Whether the part of [begin, end) of the file that lies in any one sector is
// all zeros.
bool HasZeroedSector(std::string_view file, std::size_t begin,
                     std::size_t end) {
  while (begin < end) {
    const std::size_t sector_end = (begin / kSectorBytes + 1) * kSectorBytes;
    const std::size_t part_end = std::min(end, sector_end);
    const std::string_view part = file.substr(begin, part_end - begin);
    if (part.find_first_not_of('\0') == std::string_view::npos) return true;
    begin = part_end;
  }
  return false;
}

// Whether a valid header with a higher sequence follows anywhere from `begin`
// on.
bool HasLaterFrame(std::string_view file, std::size_t begin,
                   std::uint64_t sequence, disk_incarnation disk) {
  std::string magic;
  AppendLittleEndian(&magic, kMagic, 4);
  std::size_t at = file.find(magic, begin);
  while (at != std::string_view::npos) {
    const std::string_view rest = file.substr(at);
    const bool later = HasValidHeader(rest, disk) &&
                       ReadLittleEndian(rest, kSequenceAt, 8) > sequence;
    if (later) return true;
    at = file.find(magic, at + 1);
  }
  return false;
}

bool DecodeBody(std::string_view body, log_frame* frame) {
  wire_reader reader(body, kBodyLimits);
  reader.Array();
  frame->reset = reader.Flag();
  const std::size_t count = reader.Array();
  for (std::size_t i = 0; i < count && reader.ok(); ++i) {
    log_entry entry;
    if (!ReadEntry(&reader, &entry)) return false;
    frame->entries.push_back(std::move(entry));
  }
  return reader.ok();
}

}  // namespace

std::string EncodeFrame(const log_frame& frame, disk_incarnation disk) {
  wire_writer writer;
  writer.Array(2);
  writer.Flag(frame.reset);
  writer.Array(frame.entries.size());
  for (const log_entry& entry : frame.entries) WriteEntry(&writer, entry);
  const std::string_view body = writer.bytes();
  std::string bytes;
  bytes.reserve(kHeaderBytes + body.size());
  AppendLittleEndian(&bytes, kMagic, 4);
  AppendLittleEndian(&bytes, body.size(), 4);
  AppendLittleEndian(&bytes, frame.sequence, 8);
  AppendLittleEndian(&bytes, BodyChecksum(body, frame.sequence, disk), 8);
  AppendLittleEndian(&bytes, HashText(bytes, disk.value), 8);
  assert(bytes.size() == kHeaderBytes);
  bytes.append(body);
  return bytes;
}

frame_read_result ReadFrame(std::string_view file, std::size_t offset,
                            std::uint64_t sequence, disk_incarnation disk) {
  assert(offset < file.size());
  const std::string_view rest = file.substr(offset);
  frame_read_result result;
  const auto torn_or_corrupt = [&](bool torn, std::string reason) {
    if (torn && !HasLaterFrame(file, offset + 1, sequence, disk)) {
      result.state = frame_state::kTorn;
    } else {
      result.state = frame_state::kCorrupt;
      result.reason = std::move(reason);
    }
    return result;
  };

  // The header.
  if (rest.size() < kHeaderBytes) return torn_or_corrupt(true, "");
  if (!HasValidHeader(rest, disk)) {
    const bool zeroed = HasZeroedSector(file, offset, offset + kHeaderBytes);
    return torn_or_corrupt(zeroed, "header checksum mismatch");
  }
  const std::uint64_t found_sequence = ReadLittleEndian(rest, kSequenceAt, 8);
  if (found_sequence != sequence) {
    return torn_or_corrupt(false, fmt::format("sequence is {}, expected {}",
                                              found_sequence, sequence));
  }

  // The body.
  const std::size_t length = ReadLittleEndian(rest, kLengthAt, 4);
  if (length > rest.size() - kHeaderBytes) {
    return torn_or_corrupt(true,
                           "the frame is cut off by the end of the file, but a "
                           "later frame follows");
  }
  const std::string_view body = rest.substr(kHeaderBytes, length);
  const std::uint64_t checksum = ReadLittleEndian(rest, kBodyChecksumAt, 8);
  if (BodyChecksum(body, sequence, disk) != checksum) {
    const std::size_t end = offset + kHeaderBytes + length;
    return torn_or_corrupt(HasZeroedSector(file, offset, end),
                           "body checksum mismatch");
  }
  result.frame.sequence = sequence;
  if (!DecodeBody(body, &result.frame)) {
    return torn_or_corrupt(false, "the body is not a valid batch of entries");
  }
  result.state = frame_state::kIntact;
  result.bytes = kHeaderBytes + length;
  return result;
}

}  // namespace tamaracklatch
