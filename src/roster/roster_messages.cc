// Encoding of the roster's messages.
#include "roster/roster_messages.h"

#include <algorithm>
#include <cstring>

#include "tamaracklatch/roster/roster_message_kind.h"
#include "tamaracklatch/transport/wire.h"

namespace tamaracklatch {
namespace {

constexpr std::uint64_t kMaxSpan = 86400ULL * 1000 * 1000;  // microseconds

constexpr std::size_t kV4Offset = 12;

wire_limits MessageLimits() {
  wire_limits limits;
  limits.max_bytes = kMaxRosterDatagram;
  limits.max_elements = 64;
  limits.max_text = kMaxSetPart;
  limits.max_depth = 5;
  return limits;
}

wire_limits EntryLimits() {
  wire_limits limits;
  limits.max_bytes = kMaxRosterDatagram;
  limits.max_elements = 256;
  limits.max_text = kMaxNodeName;
  limits.max_depth = 4;
  return limits;
}

std::string Framed(roster_kind kind, const wire_writer& writer) {
  const std::string_view body = writer.bytes();
  std::string bytes;
  bytes.reserve(body.size() + 1);
  bytes.push_back(static_cast<char>(kind));
  bytes.append(body);
  return bytes;
}

std::string_view Body(std::string_view bytes) {
  return bytes.empty() ? bytes : bytes.substr(1);
}

std::nullopt_t Malformed(std::string_view what, failure* last_failure) {
  SetFailure(last_failure, result_code::kRosterMessageMalformed,
             "a roster " + std::string(what) + " could not be read");
  return std::nullopt;
}

void WriteSpan(wire_writer* writer, duration span) {
  const auto count = std::max<std::int64_t>(span.count(), 0);
  writer->Number(std::min(static_cast<std::uint64_t>(count), kMaxSpan));
}

duration ReadSpan(wire_reader* reader) {
  return duration(static_cast<std::int64_t>(reader->NumberUpTo(kMaxSpan)));
}

// Four or sixteen bytes and the port.
void WriteWhere(wire_writer* writer, const endpoint& where) {
  const auto* bytes = reinterpret_cast<const char*>(where.address.bytes.data());
  const std::size_t skipped = where.address.IsV4() ? kV4Offset : 0;
  writer->Text({bytes + skipped, where.address.bytes.size() - skipped});
  writer->Number(where.port);
}

bool ReadWhere(wire_reader* reader, endpoint* where) {
  const std::string bytes = reader->Text();
  where->port = static_cast<std::uint16_t>(reader->NumberUpTo(UINT16_MAX));
  if (bytes.size() == where->address.bytes.size()) {
    std::memcpy(where->address.bytes.data(), bytes.data(), bytes.size());
    return true;
  }
  if (bytes.size() != where->address.bytes.size() - kV4Offset) return false;
  where->address = MakeV4(0);
  std::memcpy(where->address.bytes.data() + kV4Offset, bytes.data(),
              bytes.size());
  return true;
}

constexpr std::size_t kRecordElements = 15;

// Fills kRecordElements elements of the array begun.
void WriteRecord(wire_writer* writer, const node_record& record,
                 duration cold) {
  WriteWhere(writer, record.where);
  writer->Number(record.generation);
  writer->Number(record.sequence);
  writer->Number(static_cast<std::uint64_t>(record.role));
  writer->Text(record.zone);
  writer->Flag(record.leaving);
  WriteWhere(writer, record.operators);
  writer->Text(record.service);
  writer->Number(static_cast<std::uint64_t>(record.condition));
  writer->Number(record.slots);
  writer->Number(record.load);
  WriteSpan(writer, cold);
  writer->Number(record.target_start);
}

std::string ReadName(wire_reader* reader, bool* fits) {
  std::string name = reader->Text();
  *fits = *fits && name.size() <= kMaxNodeName;
  return name;
}

bool ReadRecord(wire_reader* reader, node_record* record) {
  bool fits = ReadWhere(reader, &record->where);
  record->generation = reader->NumberUpTo(kMaxGeneration);
  record->sequence = reader->Number();
  record->role = static_cast<node_role>(
      reader->NumberUpTo(static_cast<std::uint64_t>(node_role::kTarget)));
  record->zone = ReadName(reader, &fits);
  record->leaving = reader->Flag();
  fits = ReadWhere(reader, &record->operators) && fits;
  record->service = ReadName(reader, &fits);
  record->condition = static_cast<target_condition>(reader->NumberUpTo(
      static_cast<std::uint64_t>(target_condition::kUnreported)));
  record->slots = static_cast<std::uint32_t>(reader->NumberUpTo(UINT32_MAX));
  record->load = static_cast<std::uint32_t>(reader->NumberUpTo(UINT32_MAX));
  record->cold_remaining = ReadSpan(reader);
  record->target_start = reader->Number();
  return fits && reader->ok() && record->where.port != 0 &&
         record->generation != 0;
}

}  // namespace

bool IsRosterMessage(std::string_view bytes) {
  return !bytes.empty() &&
         (static_cast<std::uint8_t>(bytes[0]) & 0xf0U) == 0xa0U;
}

bool IsForHub(std::string_view bytes) {
  return !bytes.empty() &&
         (static_cast<std::uint8_t>(bytes[0]) & 0xf8U) == 0xa0U;
}

std::optional<roster_kind> KindOf(std::string_view bytes) {
  if (bytes.empty()) return std::nullopt;
  const auto kind = static_cast<roster_kind>(bytes[0]);
  switch (kind) {
    case roster_kind::kAnnounce:
    case roster_kind::kFetch:
    case roster_kind::kUpdate:
    case roster_kind::kPart:
      return kind;
  }
  return std::nullopt;
}

std::string Encode(const roster_announce& message) {
  wire_writer writer;
  writer.Array(7);
  writer.Number(message.number);
  writer.Number(message.instance);
  writer.Number(message.stamp);
  WriteSpan(&writer, message.stamp_age);
  writer.Number(message.position);
  writer.Array(kRecordElements);
  WriteRecord(&writer, message.record, message.record.cold_remaining);
  writer.Array(message.disputes.size());
  for (const roster_dispute& dispute : message.disputes) {
    writer.Array(3);
    WriteWhere(&writer, dispute.where);
    writer.Number(dispute.generation);
  }
  return Framed(roster_kind::kAnnounce, writer);
}

std::optional<roster_announce> DecodeAnnounce(std::string_view bytes,
                                              failure* last_failure) {
  if (KindOf(bytes) != roster_kind::kAnnounce)
    return Malformed("announcement", last_failure);
  wire_reader reader(Body(bytes), MessageLimits());
  roster_announce message;
  reader.Array();
  message.number = reader.Number();
  message.instance = reader.Number();
  message.stamp = reader.Number();
  message.stamp_age = ReadSpan(&reader);
  message.position = reader.Number();
  reader.Array();
  bool fits = ReadRecord(&reader, &message.record);
  reader.Leave();
  const std::size_t disputes = reader.Array();
  fits = fits && disputes <= kMaxDisputes;
  for (std::size_t i = 0; i < disputes && fits && reader.ok(); ++i) {
    roster_dispute dispute;
    reader.Array();
    fits = ReadWhere(&reader, &dispute.where);
    dispute.generation = reader.NumberUpTo(kMaxGeneration);
    reader.Leave();
    message.disputes.push_back(dispute);
  }
  reader.Leave();
  reader.Leave();
  if (!fits || !reader.ok()) return Malformed("announcement", last_failure);
  return message;
}

std::string Encode(const roster_update& message) {
  wire_writer writer;
  writer.Array(19);
  writer.Number(message.instance);
  writer.Number(message.echo);
  WriteSpan(&writer, message.echo_age);
  writer.Number(message.stamp);
  writer.Number(message.from);
  writer.Number(message.to);
  writer.Number(message.newest);
  writer.Number(message.forgotten);
  WriteSpan(&writer, message.announce_interval);
  writer.Flag(message.settled);
  writer.Flag(message.unproven);
  writer.Number(message.superseded);
  writer.Number(message.documents.version);
  writer.Number(message.documents.size);
  writer.Number(message.documents.hash);
  const set_confirmation confirmed =
      message.confirmed.value_or(set_confirmation());
  writer.Flag(message.confirmed.has_value());
  writer.Number(confirmed.version);
  WriteSpan(&writer, confirmed.age);
  writer.Text(message.entries);
  return Framed(roster_kind::kUpdate, writer);
}

std::optional<roster_update> DecodeUpdate(std::string_view bytes,
                                          failure* last_failure) {
  if (KindOf(bytes) != roster_kind::kUpdate)
    return Malformed("update", last_failure);
  wire_reader reader(Body(bytes), MessageLimits());
  roster_update message;
  reader.Array();
  message.instance = reader.Number();
  message.echo = reader.Number();
  message.echo_age = ReadSpan(&reader);
  message.stamp = reader.Number();
  message.from = reader.Number();
  message.to = reader.Number();
  message.newest = reader.Number();
  message.forgotten = reader.Number();
  message.announce_interval = ReadSpan(&reader);
  message.settled = reader.Flag();
  message.unproven = reader.Flag();
  message.superseded = reader.NumberUpTo(kMaxGeneration);
  message.documents.version = reader.Number();
  message.documents.size = reader.NumberUpTo(kMaxSetBytes);
  message.documents.hash = reader.Number();
  const bool confirmed = reader.Flag();
  set_confirmation confirmation;
  confirmation.version = reader.Number();
  confirmation.age = ReadSpan(&reader);
  if (confirmed) message.confirmed = confirmation;
  message.entries = reader.Text();
  reader.Leave();
  if (!reader.ok() || message.instance == 0 || message.from > message.to ||
      message.to > message.newest || message.forgotten > message.newest)
    return Malformed("update", last_failure);
  return message;
}

std::string Encode(const set_fetch& message) {
  wire_writer writer;
  writer.Array(4);
  writer.Number(message.version);
  writer.Number(message.offset);
  writer.Number(message.base);
  writer.Number(message.base_hash);
  return Framed(roster_kind::kFetch, writer);
}

std::optional<set_fetch> DecodeFetch(std::string_view bytes,
                                     failure* last_failure) {
  if (KindOf(bytes) != roster_kind::kFetch)
    return Malformed("fetch", last_failure);
  wire_reader reader(Body(bytes), MessageLimits());
  set_fetch message;
  const std::size_t elements = reader.Array();
  message.version = reader.Number();
  message.offset = reader.NumberUpTo(kMaxSetBytes);
  if (elements >= 4) {  // else from a sender that knows whole sets only
    message.base = reader.Number();
    message.base_hash = reader.Number();
  }
  reader.Leave();
  if (!reader.ok()) return Malformed("fetch", last_failure);
  return message;
}

std::string Encode(const set_part& message) {
  wire_writer writer;
  writer.Array(5);
  writer.Number(message.version);
  writer.Number(message.size);
  writer.Number(message.offset);
  writer.Text(message.bytes);
  writer.Number(message.base);
  return Framed(roster_kind::kPart, writer);
}

std::optional<set_part> DecodePart(std::string_view bytes,
                                   failure* last_failure) {
  if (KindOf(bytes) != roster_kind::kPart)
    return Malformed("part", last_failure);
  wire_reader reader(Body(bytes), MessageLimits());
  set_part message;
  const std::size_t elements = reader.Array();
  message.version = reader.Number();
  message.size = reader.NumberUpTo(kMaxSetBytes);
  message.offset = reader.NumberUpTo(kMaxSetBytes);
  message.bytes = reader.Text();
  if (elements >= 5) message.base = reader.Number();
  reader.Leave();
  if (!reader.ok() || message.offset + message.bytes.size() > message.size)
    return Malformed("part", last_failure);
  return message;
}

std::optional<std::vector<told_entry>> DecodeEntries(std::string_view bytes,
                                                     failure* last_failure) {
  std::vector<told_entry> entries;
  if (bytes.empty()) return entries;
  wire_reader reader(bytes, EntryLimits());
  const std::size_t count = reader.Array();
  entries.reserve(std::min<std::size_t>(count, 64));
  for (std::size_t i = 0; i < count && reader.ok(); ++i) {
    told_entry entry;
    reader.Array();
    if (!ReadRecord(&reader, &entry.record))
      return Malformed("entry", last_failure);
    entry.liveness = static_cast<node_liveness>(
        reader.NumberUpTo(static_cast<std::uint64_t>(node_liveness::kGone)));
    reader.Leave();
    if ((entry.liveness == node_liveness::kGone) != entry.record.leaving)
      return Malformed("entry", last_failure);
    entries.push_back(std::move(entry));
  }
  reader.Leave();
  if (!reader.ok()) return Malformed("entry", last_failure);
  return entries;
}

bool entry_writer::Add(const node_record& record, node_liveness liveness,
                       duration cold) {
  wire_writer writer;
  writer.Array(kRecordElements + 1);
  WriteRecord(&writer, record, cold);
  writer.Number(static_cast<std::uint64_t>(liveness));
  const std::string_view bytes = writer.bytes();
  // The array's header is up to five bytes.
  if (body_.size() + bytes.size() + 5 > kMaxEntryBytes) return false;
  body_.append(bytes);
  ++count_;
  return true;
}

std::string entry_writer::Take() {
  if (count_ == 0) return {};
  wire_writer writer;
  writer.Array(count_);
  std::string bytes(writer.bytes());
  bytes.append(body_);
  body_.clear();
  count_ = 0;
  return bytes;
}

duration ColdAt(const roster_entry& entry, time_point now) {
  return std::max(entry.record.cold_remaining - (now - entry.learned),
                  duration(0));
}

void Relearn(roster_entry* entry, time_point now) {
  entry->record.cold_remaining = ColdAt(*entry, now);
  entry->learned = now;
}

}  // namespace tamaracklatch
