// Encodes and decodes the commands of the replicated log.
#include "tamaracklatch/control/control_command.h"

#include <algorithm>

#include "tamaracklatch/control/document_set.h"

namespace tamaracklatch {
namespace {

// Second element of an encoded command. The number of a kind that is dropped is
// not reused, because logs on disk may still contain it.
enum class command_kind : std::uint8_t {
  kSubmit = 0,
  kMembership = 1,
  kReplaceSet = 2,
  kKnownNodes = 3,
  kZoneEvacuation = 4,
};

constexpr std::uint64_t kLastCommandKind = 4;
// Larger entries are malformed. The log accepts only smaller commands, up to
// kMaxCommandBytes in consensus_message.h.
constexpr std::size_t kMaxDecodedBytes = 16 * 1024 * 1024;

class body_writer {
 public:
  explicit body_writer(wire_writer* writer) : writer_(writer) {}

  void operator()(const submit_document& body) const {
    writer_->Number(static_cast<std::uint64_t>(command_kind::kSubmit));
    writer_->Array(2);
    writer_->Text(body.canonical_text);
    writer_->Text(body.submitter);
  }

  void operator()(const membership_batch& body) const {
    writer_->Number(static_cast<std::uint64_t>(command_kind::kMembership));
    writer_->Array(3);
    writer_->Array(body.joins.size());
    for (const target_announcement& join : body.joins)
      WriteAnnouncement(writer_, join);
    writer_->Array(body.drains.size());
    for (const target_key& key : body.drains) WriteKey(writer_, key);
    writer_->Array(body.losses.size());
    for (const target_key& key : body.losses) WriteKey(writer_, key);
  }

  void operator()(const replace_document_set& body) const {
    writer_->Number(static_cast<std::uint64_t>(command_kind::kReplaceSet));
    writer_->Array(4);
    writer_->Number(body.version);
    writer_->Text(body.encoded_set);
    writer_->Text(body.source_text);
    writer_->Text(body.submitter);
  }

  void operator()(const known_nodes_batch& body) const {
    writer_->Number(static_cast<std::uint64_t>(command_kind::kKnownNodes));
    Write(writer_, body);
  }

  void operator()(const set_zone_evacuation& body) const {
    writer_->Number(static_cast<std::uint64_t>(command_kind::kZoneEvacuation));
    writer_->Array(3);
    writer_->Text(body.zone);
    writer_->Flag(body.evacuated);
    writer_->Text(body.submitter);
  }

 private:
  wire_writer* writer_;
};

submit_document ReadSubmit(wire_reader* reader) {
  submit_document body;
  reader->Array();
  body.canonical_text = reader->Text();
  body.submitter = reader->Text();
  reader->Leave();
  return body;
}

std::vector<target_key> ReadKeys(wire_reader* reader) {
  std::vector<target_key> keys;
  const std::size_t count = reader->Array();
  for (std::size_t i = 0; i < count && reader->ok(); ++i)
    keys.push_back(ReadKey(reader));
  reader->Leave();
  return keys;
}

membership_batch ReadMembership(wire_reader* reader) {
  membership_batch body;
  reader->Array();
  const std::size_t joins = reader->Array();
  for (std::size_t i = 0; i < joins && reader->ok(); ++i)
    body.joins.push_back(ReadAnnouncement(reader));
  reader->Leave();
  body.drains = ReadKeys(reader);
  body.losses = ReadKeys(reader);
  reader->Leave();
  return body;
}

replace_document_set ReadReplaceSet(wire_reader* reader) {
  replace_document_set body;
  reader->Array();
  body.version = reader->Number();
  body.encoded_set = reader->Text();
  body.source_text = reader->Text();
  body.submitter = reader->Text();
  reader->Leave();
  return body;
}

set_zone_evacuation ReadZoneEvacuation(wire_reader* reader) {
  set_zone_evacuation body;
  reader->Array();
  body.zone = reader->Text();
  body.evacuated = reader->Flag();
  body.submitter = reader->Text();
  reader->Leave();
  return body;
}

}  // namespace

std::string Encode(const control_command& command) {
  wire_writer writer;
  writer.Array(3);
  writer.Number(command.tag);
  std::visit(body_writer(&writer), command.body);
  return std::string(writer.bytes());
}

std::optional<control_command> DecodeCommand(std::string_view bytes) {
  wire_limits limits;
  limits.max_bytes = kMaxDecodedBytes;
  limits.max_text = std::max(kMaxSetSourceBytes, kMaxEncodedSetBytes);
  wire_reader reader(bytes, limits);
  control_command command;
  reader.Array();
  command.tag = reader.Number();
  switch (static_cast<command_kind>(reader.NumberUpTo(kLastCommandKind))) {
    case command_kind::kSubmit:
      command.body = ReadSubmit(&reader);
      break;
    case command_kind::kMembership:
      command.body = ReadMembership(&reader);
      break;
    case command_kind::kReplaceSet:
      command.body = ReadReplaceSet(&reader);
      break;
    case command_kind::kKnownNodes:
      command.body = ReadKnownNodesBatch(&reader);
      break;
    case command_kind::kZoneEvacuation:
      command.body = ReadZoneEvacuation(&reader);
      break;
  }
  reader.Leave();
  if (!reader.ok()) return std::nullopt;
  return command;
}

}  // namespace tamaracklatch
