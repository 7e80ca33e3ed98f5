// Encodes and decodes roster messages.
#include "roster/roster_messages.h"

#include <algorithm>
#include <cstring>

#include "tamaracklatch/roster/roster_message_kind.h"
#include "tamaracklatch/transport/wire.h"

namespace tamaracklatch {
namespace {

// One day in microseconds; longer durations are written as this and refused by
// the reader.
constexpr std::uint64_t kMaxDuration = 86400ULL * 1000 * 1000;

// Of an IPv4 address in its sixteen-byte form.
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

std::string Frame(roster_kind kind, std::string_view body) {
  std::string bytes;
  bytes.reserve(body.size() + 1);
  bytes.push_back(static_cast<char>(kind));
  bytes.append(body);
  return bytes;
}

std::string Frame(roster_kind kind, const wire_writer& writer) {
  return Frame(kind, writer.bytes());
}

std::string_view Body(std::string_view bytes) {
  return bytes.empty() ? bytes : bytes.substr(1);
}

std::nullopt_t Malformed(std::string_view message_kind, failure* last_failure) {
  SetFailure(last_failure, result_code::kRosterMessageMalformed,
             "a roster " + std::string(message_kind) + " could not be decoded");
  return std::nullopt;
}

void WriteDuration(wire_writer* writer, duration value) {
  const auto count = std::max<std::int64_t>(value.count(), 0);
  writer->Number(std::min(static_cast<std::uint64_t>(count), kMaxDuration));
}

duration ReadDuration(wire_reader* reader) {
  return duration(static_cast<std::int64_t>(reader->NumberUpTo(kMaxDuration)));
}

// Writes four or sixteen bytes of the address, and the port.
void WriteEndpoint(wire_writer* writer, const endpoint& where) {
  const auto* bytes = reinterpret_cast<const char*>(where.address.bytes.data());
  const std::size_t skipped = where.address.IsV4() ? kV4Offset : 0;
  writer->Text({bytes + skipped, where.address.bytes.size() - skipped});
  writer->Number(where.port);
}

bool ReadEndpoint(wire_reader* reader, endpoint* where) {
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

// node_record::may_have_target follows the other elements of the arrays that
// hold a record, and is absent in those of versions that don't know it.
// node_record::service_time and node_record::outdated_set follow it. They are
// absent where they and all that follow are 0, so that an array without them is
// the same as that of such a version.
constexpr std::size_t kAnnouncedElements = kRecordElements + 1;
constexpr std::size_t kEntryElements = kRecordElements + 2;

// Elements of an announcement and of an update without the revisions of
// placement rules, which follow as trailing elements. They are absent while
// there are no rules, and in messages of versions that don't know them.
constexpr std::size_t kAnnounceElements = 7;
constexpr std::size_t kUpdateElements = 19;

// Writes kRecordElements elements into the array that the caller began.
void WriteRecord(wire_writer* writer, const node_record& record,
                 duration cold) {
  WriteEndpoint(writer, record.where);
  writer->Number(record.generation);
  writer->Number(record.sequence);
  writer->Number(static_cast<std::uint64_t>(record.role));
  writer->Text(record.zone);
  writer->Flag(record.leaving);
  WriteEndpoint(writer, record.operators);
  writer->Text(record.service);
  writer->Number(static_cast<std::uint64_t>(record.condition));
  writer->Number(record.slots);
  writer->Number(record.load);
  WriteDuration(writer, cold);
  writer->Number(record.target_start);
}

std::size_t TrailingElements(const node_record& record) {
  if (record.outdated_set != 0) return 2;
  return record.service_time == 0 ? 0 : 1;
}

void WriteTrailing(wire_writer* writer, const node_record& record) {
  const std::size_t elements = TrailingElements(record);
  if (elements > 0) writer->Number(record.service_time);
  if (elements > 1) writer->Number(record.outdated_set);
}

// `elements`: the trailing ones of the array.
void ReadTrailing(wire_reader* reader, std::size_t elements,
                  node_record* record) {
  if (elements > 0) {
    record->service_time =
        static_cast<std::uint32_t>(reader->NumberUpTo(kMaxServiceTime));
  }
  if (elements > 1) record->outdated_set = reader->Number();
}

std::string ReadName(wire_reader* reader, bool* is_valid) {
  std::string name = reader->Text();
  *is_valid = *is_valid && name.size() <= kMaxNodeName;
  return name;
}

bool ReadRecord(wire_reader* reader, node_record* record) {
  bool is_valid = ReadEndpoint(reader, &record->where);
  record->generation = reader->NumberUpTo(kMaxGeneration);
  record->sequence = reader->Number();
  record->role = static_cast<node_role>(
      reader->NumberUpTo(static_cast<std::uint64_t>(node_role::kTarget)));
  record->zone = ReadName(reader, &is_valid);
  record->leaving = reader->Flag();
  is_valid = ReadEndpoint(reader, &record->operators) && is_valid;
  record->service = ReadName(reader, &is_valid);
  record->condition = static_cast<target_condition>(reader->NumberUpTo(
      static_cast<std::uint64_t>(target_condition::kUnreported)));
  record->slots = static_cast<std::uint32_t>(reader->NumberUpTo(UINT32_MAX));
  record->load = static_cast<std::uint32_t>(reader->NumberUpTo(UINT32_MAX));
  record->cold_remaining = ReadDuration(reader);
  record->target_start = reader->Number();
  return is_valid && reader->ok() && record->where.port != 0 &&
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
    case roster_kind::kRules:
      return kind;
  }
  return std::nullopt;
}

std::string Encode(const roster_announce& message) {
  wire_writer writer;
  const bool has_rules = message.rules_revision != 0;
  writer.Array(kAnnounceElements + (has_rules ? 1 : 0));
  writer.Number(message.number);
  writer.Number(message.instance);
  writer.Number(message.stamp);
  WriteDuration(&writer, message.stamp_age);
  writer.Number(message.position);
  writer.Array(kAnnouncedElements + TrailingElements(message.record));
  WriteRecord(&writer, message.record, message.record.cold_remaining);
  writer.Flag(message.record.may_have_target);
  WriteTrailing(&writer, message.record);
  writer.Array(message.conflicts.size());
  for (const generation_conflict& conflict : message.conflicts) {
    writer.Array(3);
    WriteEndpoint(&writer, conflict.where);
    writer.Number(conflict.generation);
  }
  if (has_rules) writer.Number(message.rules_revision);
  return Frame(roster_kind::kAnnounce, writer);
}

std::optional<roster_announce> DecodeAnnounce(std::string_view bytes,
                                              failure* last_failure) {
  if (KindOf(bytes) != roster_kind::kAnnounce)
    return Malformed("announcement", last_failure);
  wire_reader reader(Body(bytes), MessageLimits());
  roster_announce message;
  const std::size_t message_elements = reader.Array();
  message.number = reader.Number();
  message.instance = reader.Number();
  message.stamp = reader.Number();
  message.stamp_age = ReadDuration(&reader);
  message.position = reader.Number();
  const std::size_t elements = reader.Array();
  bool is_valid = ReadRecord(&reader, &message.record);
  if (elements >= kAnnouncedElements)
    message.record.may_have_target = reader.Flag();
  if (elements > kAnnouncedElements)
    ReadTrailing(&reader, elements - kAnnouncedElements, &message.record);
  reader.Leave();
  const std::size_t conflicts = reader.Array();
  is_valid = is_valid && conflicts <= kMaxConflicts;
  for (std::size_t i = 0; i < conflicts && is_valid && reader.ok(); ++i) {
    generation_conflict conflict;
    reader.Array();
    is_valid = ReadEndpoint(&reader, &conflict.where);
    conflict.generation = reader.NumberUpTo(kMaxGeneration);
    reader.Leave();
    message.conflicts.push_back(conflict);
  }
  reader.Leave();
  if (message_elements > kAnnounceElements)
    message.rules_revision = reader.Number();
  reader.Leave();
  if (!is_valid || !reader.ok()) return Malformed("announcement", last_failure);
  return message;
}

std::string Encode(const roster_update& message) {
  wire_writer writer;
  const set_confirmation confirmed =
      message.confirmed.value_or(set_confirmation());
  const bool has_rules =
      message.rules_revision != 0 || confirmed.rules_revision != 0;
  writer.Array(kUpdateElements + (has_rules ? 2 : 0));
  writer.Number(message.instance);
  writer.Number(message.echo);
  WriteDuration(&writer, message.echo_age);
  writer.Number(message.stamp);
  writer.Number(message.from);
  writer.Number(message.to);
  writer.Number(message.newest);
  writer.Number(message.evicted);
  WriteDuration(&writer, message.announce_interval);
  writer.Flag(message.settled);
  writer.Flag(message.unverified);
  writer.Number(message.superseding_generation);
  writer.Number(message.documents.version);
  writer.Number(message.documents.size);
  writer.Number(message.documents.hash);
  writer.Flag(message.confirmed.has_value());
  writer.Number(confirmed.version);
  WriteDuration(&writer, confirmed.age);
  writer.Text(message.entries);
  if (has_rules) {
    writer.Number(message.rules_revision);
    writer.Number(confirmed.rules_revision);
  }
  return Frame(roster_kind::kUpdate, writer);
}

std::optional<roster_update> DecodeUpdate(std::string_view bytes,
                                          failure* last_failure) {
  if (KindOf(bytes) != roster_kind::kUpdate)
    return Malformed("update", last_failure);
  wire_reader reader(Body(bytes), MessageLimits());
  roster_update message;
  const std::size_t elements = reader.Array();
  message.instance = reader.Number();
  message.echo = reader.Number();
  message.echo_age = ReadDuration(&reader);
  message.stamp = reader.Number();
  message.from = reader.Number();
  message.to = reader.Number();
  message.newest = reader.Number();
  message.evicted = reader.Number();
  message.announce_interval = ReadDuration(&reader);
  message.settled = reader.Flag();
  message.unverified = reader.Flag();
  message.superseding_generation = reader.NumberUpTo(kMaxGeneration);
  message.documents.version = reader.Number();
  message.documents.size = reader.NumberUpTo(kMaxSetBytes);
  message.documents.hash = reader.Number();
  const bool confirmed = reader.Flag();
  set_confirmation confirmation;
  confirmation.version = reader.Number();
  confirmation.age = ReadDuration(&reader);
  message.entries = reader.Text();
  if (elements >= kUpdateElements + 2) {
    message.rules_revision = reader.Number();
    confirmation.rules_revision = reader.Number();
  }
  if (confirmed) message.confirmed = confirmation;
  reader.Leave();
  if (!reader.ok() || message.instance == 0 || message.from > message.to ||
      message.to > message.newest || message.evicted > message.newest)
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
  return Frame(roster_kind::kFetch, writer);
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
  if (elements >= 4) {  // else from a version that fetches only whole sets
    message.base = reader.Number();
    message.base_hash = reader.Number();
  }
  reader.Leave();
  if (!reader.ok()) return Malformed("fetch", last_failure);
  return message;
}

std::string Encode(const set_part& message) {
  wire_writer writer;
  writer.Array(6);
  writer.Number(message.version);
  writer.Number(message.size);
  writer.Number(message.offset);
  writer.Text(message.bytes);
  writer.Number(message.base);
  writer.Number(message.complete_since);
  return Frame(roster_kind::kPart, writer);
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
  if (elements >= 6) message.complete_since = reader.Number();
  reader.Leave();
  if (!reader.ok() || message.offset + message.bytes.size() > message.size)
    return Malformed("part", last_failure);
  return message;
}

std::string Encode(const placement_rules& message) {
  return Frame(roster_kind::kRules, EncodePlacementRules(message));
}

std::optional<placement_rules> DecodeRules(std::string_view bytes,
                                           failure* last_failure) {
  if (KindOf(bytes) != roster_kind::kRules)
    return Malformed("rules message", last_failure);
  return DecodePlacementRules(Body(bytes), last_failure);
}

std::optional<std::vector<update_entry>> DecodeEntries(std::string_view bytes,
                                                       failure* last_failure) {
  std::vector<update_entry> entries;
  if (bytes.empty()) return entries;
  wire_reader reader(bytes, EntryLimits());
  const std::size_t count = reader.Array();
  entries.reserve(std::min<std::size_t>(count, 64));
  for (std::size_t i = 0; i < count && reader.ok(); ++i) {
    update_entry entry;
    const std::size_t elements = reader.Array();
    if (!ReadRecord(&reader, &entry.record))
      return Malformed("entry", last_failure);
    entry.liveness = static_cast<node_liveness>(
        reader.NumberUpTo(static_cast<std::uint64_t>(node_liveness::kGone)));
    if (elements >= kEntryElements)
      entry.record.may_have_target = reader.Flag();
    if (elements > kEntryElements)
      ReadTrailing(&reader, elements - kEntryElements, &entry.record);
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
  writer.Array(kEntryElements + TrailingElements(record));
  WriteRecord(&writer, record, cold);
  writer.Number(static_cast<std::uint64_t>(liveness));
  writer.Flag(record.may_have_target);
  WriteTrailing(&writer, record);
  const std::string_view bytes = writer.bytes();
  // The header of the array takes up to five bytes.
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

duration ColdRemainingAt(const roster_entry& entry, time_point now) {
  return std::max(entry.record.cold_remaining - (now - entry.changed_at),
                  duration(0));
}

void SetChangedAt(roster_entry* entry, time_point now) {
  entry->record.cold_remaining = ColdRemainingAt(*entry, now);
  entry->changed_at = now;
}

}  // namespace tamaracklatch
