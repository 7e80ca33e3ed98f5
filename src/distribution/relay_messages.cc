// Wire encoding of the messages that distribute revisions.
#include "tamaracklatch/distribution/relay_messages.h"

#include "tamaracklatch/core/hash.h"
#include "tamaracklatch/transport/wire.h"

namespace tamaracklatch {
namespace {

// First element of an encoded message. The number of a removed kind must not be
// reused.
enum class message_kind : std::uint8_t {
  kPull = 0,
  kDelta = 1,
  kSnapshotPart = 2,
  kRedirect = 3,
  kConfirmRequest = 4,
  kConfirmAnswer = 5,
};

constexpr std::uint64_t kLastMessageKind = 5;

// Flags of a pull: bits of one number on the wire.
constexpr std::uint64_t kOnlyReports = 1;
constexpr std::uint64_t kLeaving = 2;
constexpr std::uint64_t kHasSnapshot = 4;
constexpr std::uint64_t kHasNames = 8;
constexpr std::uint64_t kHasContact = 16;
constexpr std::uint64_t kMoved = 32;
constexpr std::uint64_t kAllPullFlags = 63;

void Write(wire_writer* writer, const node_identity& node) {
  writer->Text(node.name);
  writer->Write(node.started);
}

node_identity ReadIdentity(wire_reader* reader) {
  node_identity node;
  node.name = reader->Text();
  reader->Read(&node.started);
  return node;
}

void Write(wire_writer* writer, const relay_contact& contact) {
  writer->Array(4);
  writer->Text(contact.name);
  writer->Text(contact.zone);
  writer->Write(contact.where);
  writer->Number(contact.nodes);
}

relay_contact ReadContact(wire_reader* reader) {
  relay_contact contact;
  reader->Array();
  contact.name = reader->Text();
  contact.zone = reader->Text();
  reader->Read(&contact.where);
  contact.nodes = static_cast<std::uint32_t>(reader->NumberUpTo(UINT32_MAX));
  reader->Leave();
  return contact;
}

void Write(wire_writer* writer, const snapshot_position& position) {
  writer->Array(4);
  writer->Write(position.at);
  writer->Flag(position.services_done);
  writer->Write(position.last_service);
  writer->Write(position.last_target);
}

snapshot_position ReadPosition(wire_reader* reader) {
  snapshot_position position;
  reader->Array();
  reader->Read(&position.at);
  position.services_done = reader->Flag();
  reader->Read(&position.last_service);
  reader->Read(&position.last_target);
  reader->Leave();
  return position;
}

void Write(wire_writer* writer, const name_list_part& part) {
  writer->Array(4);
  writer->Number(part.list);
  writer->Number(part.part);
  writer->Flag(part.is_last);
  writer->Array(2 * part.names.size());
  for (const node_identity& name : part.names) Write(writer, name);
}

name_list_part ReadNames(wire_reader* reader) {
  name_list_part part;
  reader->Array();
  part.list = reader->Number();
  part.part = static_cast<std::uint32_t>(reader->NumberUpTo(UINT32_MAX));
  part.is_last = reader->Flag();
  const std::size_t count = reader->Array() / 2;
  for (std::size_t i = 0; i < count && reader->ok(); ++i)
    part.names.push_back(ReadIdentity(reader));
  reader->Leave();
  reader->Leave();
  return part;
}

void Write(wire_writer* writer, const std::vector<progress>& below) {
  writer->Array(3 * below.size());
  for (const progress& entry : below) {
    writer->Write(entry.at);
    writer->Number(entry.nodes);
    writer->Number(entry.identities);
  }
}

std::vector<progress> ReadProgress(wire_reader* reader) {
  std::vector<progress> below;
  const std::size_t count = reader->Array() / 3;
  for (std::size_t i = 0; i < count && reader->ok(); ++i) {
    progress entry;
    reader->Read(&entry.at);
    entry.nodes = static_cast<std::uint32_t>(reader->NumberUpTo(UINT32_MAX));
    entry.identities = reader->Number();
    below.push_back(entry);
  }
  reader->Leave();
  return below;
}

void Write(wire_writer* writer, const std::vector<std::string>& texts) {
  writer->Array(texts.size());
  for (const std::string& text : texts) writer->Text(text);
}

std::vector<std::string> ReadTexts(wire_reader* reader) {
  std::vector<std::string> texts;
  const std::size_t count = reader->Array();
  for (std::size_t i = 0; i < count && reader->ok(); ++i)
    texts.push_back(reader->Text());
  reader->Leave();
  return texts;
}

void Write(wire_writer* writer, const std::vector<encoded_revision>& list) {
  writer->Array(2 * list.size());
  for (const encoded_revision& entry : list) {
    writer->Write(entry.at);
    writer->Array(2 * entry.changes.size());
    for (const encoded_change& change : entry.changes) {
      writer->Write(change.service);
      writer->Text(change.bytes);
    }
  }
}

std::vector<encoded_revision> ReadRevisions(wire_reader* reader) {
  std::vector<encoded_revision> list;
  const std::size_t count = reader->Array() / 2;
  for (std::size_t i = 0; i < count && reader->ok(); ++i) {
    encoded_revision entry;
    reader->Read(&entry.at);
    const std::size_t changes = reader->Array() / 2;
    for (std::size_t j = 0; j < changes && reader->ok(); ++j) {
      encoded_change change;
      reader->Read(&change.service);
      change.bytes = reader->Text();
      entry.changes.push_back(std::move(change));
    }
    reader->Leave();
    list.push_back(std::move(entry));
  }
  reader->Leave();
  return list;
}

class message_writer {
 public:
  explicit message_writer(wire_writer* writer) : writer_(writer) {}

  void operator()(const pull& message) const {
    const std::uint64_t flags =
        (message.only_reports ? kOnlyReports : 0) |
        (message.leaving ? kLeaving : 0) | (message.moved ? kMoved : 0) |
        (message.contact ? kHasContact : 0) |
        (message.snapshot ? kHasSnapshot : 0) | (message.names ? kHasNames : 0);
    const std::size_t optional_parts = (message.contact ? 1 : 0) +
                                       (message.snapshot ? 1 : 0) +
                                       (message.names ? 1 : 0);
    Start(message_kind::kPull, 8 + optional_parts);
    writer_->Number(message.number);
    Write(writer_, message.node);
    writer_->Text(message.service);
    writer_->Write(message.known);
    writer_->Number(flags);
    Write(writer_, message.below);
    Write(writer_, message.stopped_nodes);
    if (message.contact) Write(writer_, *message.contact);
    if (message.snapshot) Write(writer_, *message.snapshot);
    if (message.names) Write(writer_, *message.names);
  }

  void operator()(const delta& message) const {
    Start(message_kind::kDelta, 7);
    writer_->Number(message.answers);
    writer_->Write(message.from);
    writer_->Write(message.to);
    writer_->Write(message.newest);
    writer_->Number(message.known_names);
    writer_->Write(message.age);
    Write(writer_, message.revisions);
  }

  void operator()(const snapshot_part& message) const {
    Start(message_kind::kSnapshotPart, 8);
    writer_->Number(message.answers);
    writer_->Flag(message.restarts);
    Write(writer_, message.from);
    Write(writer_, message.position);
    writer_->Flag(message.is_last);
    writer_->Write(message.age);
    Write(writer_, message.catch_up);
    Write(writer_, message.records);
  }

  void operator()(const redirect& message) const {
    Start(message_kind::kRedirect, 1);
    writer_->Array(message.relays.size());
    for (const relay_contact& contact : message.relays) Write(writer_, contact);
  }

  void operator()(const confirm_request& message) const {
    Start(message_kind::kConfirmRequest, 1);
    writer_->Number(message.number);
  }

  void operator()(const confirm_answer& message) const {
    Start(message_kind::kConfirmAnswer, 3);
    writer_->Number(message.number);
    writer_->Write(message.at);
    writer_->Flag(message.by_quorum);
  }

 private:
  void Start(message_kind kind, std::size_t more_elements) const {
    writer_->Array(1 + more_elements);
    writer_->Number(static_cast<std::uint64_t>(kind));
  }

  wire_writer* writer_;
};

pull ReadPull(wire_reader* reader) {
  pull message;
  message.number = reader->Number();
  message.node = ReadIdentity(reader);
  message.service = reader->Text();
  reader->Read(&message.known);
  const std::uint64_t flags = reader->NumberUpTo(kAllPullFlags);
  message.only_reports = (flags & kOnlyReports) != 0;
  message.leaving = (flags & kLeaving) != 0;
  message.moved = (flags & kMoved) != 0;
  message.below = ReadProgress(reader);
  message.stopped_nodes = ReadTexts(reader);
  if ((flags & kHasContact) != 0) message.contact = ReadContact(reader);
  if ((flags & kHasSnapshot) != 0) message.snapshot = ReadPosition(reader);
  if ((flags & kHasNames) != 0) message.names = ReadNames(reader);
  return message;
}

delta ReadDelta(wire_reader* reader) {
  delta message;
  message.answers = reader->Number();
  reader->Read(&message.from);
  reader->Read(&message.to);
  reader->Read(&message.newest);
  message.known_names = reader->Number();
  reader->Read(&message.age);
  message.revisions = ReadRevisions(reader);
  return message;
}

snapshot_part ReadSnapshotPart(wire_reader* reader) {
  snapshot_part message;
  message.answers = reader->Number();
  message.restarts = reader->Flag();
  message.from = ReadPosition(reader);
  message.position = ReadPosition(reader);
  message.is_last = reader->Flag();
  reader->Read(&message.age);
  message.catch_up = ReadRevisions(reader);
  message.records = ReadTexts(reader);
  return message;
}

redirect ReadRedirect(wire_reader* reader) {
  redirect message;
  const std::size_t count = reader->Array();
  for (std::size_t i = 0; i < count && reader->ok(); ++i)
    message.relays.push_back(ReadContact(reader));
  reader->Leave();
  return message;
}

confirm_answer ReadConfirmAnswer(wire_reader* reader) {
  confirm_answer message;
  message.number = reader->Number();
  reader->Read(&message.at);
  message.by_quorum = reader->Flag();
  return message;
}

relay_message ReadMessage(wire_reader* reader) {
  switch (static_cast<message_kind>(reader->NumberUpTo(kLastMessageKind))) {
    case message_kind::kPull:
      return ReadPull(reader);
    case message_kind::kDelta:
      return ReadDelta(reader);
    case message_kind::kSnapshotPart:
      return ReadSnapshotPart(reader);
    case message_kind::kRedirect:
      return ReadRedirect(reader);
    case message_kind::kConfirmRequest:
      return confirm_request{reader->Number()};
    case message_kind::kConfirmAnswer:
      return ReadConfirmAnswer(reader);
  }
  return confirm_request{};
}

}  // namespace

std::uint64_t HashIdentity(const node_identity& node) {
  return HashText(node.name, node.started.value);
}

std::string Encode(const relay_message& message) {
  wire_writer writer;
  std::visit(message_writer(&writer), message);
  return std::string(writer.bytes());
}

std::optional<relay_message> DecodeRelayMessage(std::string_view bytes) {
  wire_reader reader(bytes);
  reader.Array();
  relay_message message = ReadMessage(&reader);
  reader.Leave();
  if (!reader.ok()) return std::nullopt;
  return message;
}

}  // namespace tamaracklatch
