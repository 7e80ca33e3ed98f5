// Encoding of consensus messages as an array: [version, cluster, from, to,
// kind, body].
#include "tamaracklatch/consensus/consensus_message.h"

#include <utility>

#include "consensus/configuration_wire.h"
#include "tamaracklatch/transport/wire.h"

namespace tamaracklatch {
namespace {

constexpr std::uint64_t kVersion = 1;
constexpr wire_limits kLimits{kMaxConsensusMessageBytes, kMaxEntriesPerMessage,
                              kMaxCommandBytes, 8};

void WriteBody(wire_writer* writer, const vote_request& body) {
  writer->Array(4);
  writer->Write(body.term);
  writer->Flag(body.pre_vote);
  writer->Write(body.last_index);
  writer->Write(body.last_term);
}

void WriteBody(wire_writer* writer, const vote_reply& body) {
  writer->Array(3);
  writer->Write(body.term);
  writer->Flag(body.pre_vote);
  writer->Flag(body.granted);
}

void WriteBody(wire_writer* writer, const append_request& body) {
  writer->Array(7);
  writer->Write(body.term);
  writer->Write(body.previous_index);
  writer->Write(body.previous_term);
  writer->Write(body.commit);
  writer->Number(body.round);
  writer->Number(body.generation);
  writer->Array(body.entries.size());
  for (const log_entry& entry : body.entries) WriteEntry(writer, entry);
}

void WriteBody(wire_writer* writer, const append_reply& body) {
  writer->Array(5);
  writer->Write(body.term);
  writer->Flag(body.accepted);
  writer->Write(body.match);
  writer->Number(body.round);
  writer->Number(body.generation);
}

void WriteBody(wire_writer* writer, const snapshot_chunk& body) {
  writer->Array(10);
  writer->Write(body.term);
  writer->Number(body.round);
  writer->Number(body.generation);
  writer->Write(body.index);
  writer->Write(body.index_term);
  WriteConfiguration(writer, body.configuration);
  writer->Number(body.total);
  writer->Number(body.checksum);
  writer->Number(body.offset);
  writer->Text(body.bytes);
}

void WriteBody(wire_writer* writer, const snapshot_reply& body) {
  writer->Array(7);
  writer->Write(body.term);
  writer->Number(body.round);
  writer->Number(body.generation);
  writer->Write(body.index);
  writer->Number(body.received);
  writer->Flag(body.gap);
  writer->Flag(body.installed);
}

void WriteBody(wire_writer* writer, const join_request& body) {
  writer->Array(2);
  writer->Number(body.nonce);
  writer->Number(body.echo);
}

void WriteBody(wire_writer* writer, const join_invitation& body) {
  writer->Array(1);
  WriteConfiguration(writer, body.founding);
}

void WriteBody(wire_writer* writer, const log_exists& body) {
  writer->Array(1);
  writer->Array(body.members.size());
  for (const vm_name& name : body.members) writer->Text(name);
}

void WriteBody(wire_writer* writer, const read_request& body) {
  writer->Array(1);
  writer->Number(body.id);
}

void WriteBody(wire_writer* writer, const read_reply& body) {
  writer->Array(3);
  writer->Number(body.id);
  writer->Flag(body.known);
  writer->Write(body.index);
}

// Each overload returns false if the values contradict each other. Errors of
// the wire format are recorded in the reader.
bool ReadBody(wire_reader* reader, vote_request* body) {
  reader->Read(&body->term);
  body->pre_vote = reader->Flag();
  reader->Read(&body->last_index);
  reader->Read(&body->last_term);
  return true;
}

bool ReadBody(wire_reader* reader, vote_reply* body) {
  reader->Read(&body->term);
  body->pre_vote = reader->Flag();
  body->granted = reader->Flag();
  return true;
}

bool ReadBody(wire_reader* reader, append_request* body) {
  reader->Read(&body->term);
  reader->Read(&body->previous_index);
  reader->Read(&body->previous_term);
  reader->Read(&body->commit);
  body->round = reader->Number();
  body->generation = reader->Number();
  const std::size_t count = reader->Array();
  for (std::size_t i = 0; i < count && reader->ok(); ++i) {
    log_entry entry;
    if (!ReadEntry(reader, &entry)) return false;
    // Indexes must be contiguous and terms must not decrease.
    const log_term before =
        i == 0 ? body->previous_term : body->entries.back().term;
    if (entry.index.value != body->previous_index.value + i + 1) return false;
    if (entry.term < before || entry.term > body->term) return false;
    body->entries.push_back(std::move(entry));
  }
  reader->Leave();
  return true;
}

bool ReadBody(wire_reader* reader, append_reply* body) {
  reader->Read(&body->term);
  body->accepted = reader->Flag();
  reader->Read(&body->match);
  body->round = reader->Number();
  body->generation = reader->Number();
  return true;
}

bool ReadBody(wire_reader* reader, snapshot_chunk* body) {
  reader->Read(&body->term);
  body->round = reader->Number();
  body->generation = reader->Number();
  reader->Read(&body->index);
  reader->Read(&body->index_term);
  if (!ReadConfiguration(reader, &body->configuration)) return false;
  body->total = reader->Number();
  body->checksum = reader->Number();
  body->offset = reader->NumberUpTo(body->total);
  body->bytes = reader->Text();
  return body->bytes.size() <= body->total - body->offset;
}

bool ReadBody(wire_reader* reader, snapshot_reply* body) {
  reader->Read(&body->term);
  body->round = reader->Number();
  body->generation = reader->Number();
  reader->Read(&body->index);
  body->received = reader->Number();
  body->gap = reader->Flag();
  body->installed = reader->Flag();
  return true;
}

bool ReadBody(wire_reader* reader, join_request* body) {
  body->nonce = reader->Number();
  body->echo = reader->Number();
  return true;
}

bool ReadBody(wire_reader* reader, log_exists* body) {
  const std::size_t count = reader->Array();
  if (count > 2 * kMaxMembers) return false;
  for (std::size_t i = 0; i < count && reader->ok(); ++i) {
    body->members.push_back(reader->Text());
  }
  reader->Leave();
  return true;
}

bool ReadBody(wire_reader* reader, join_invitation* body) {
  return ReadConfiguration(reader, &body->founding);
}

bool ReadBody(wire_reader* reader, read_request* body) {
  body->id = reader->Number();
  return true;
}

bool ReadBody(wire_reader* reader, read_reply* body) {
  body->id = reader->Number();
  body->known = reader->Flag();
  reader->Read(&body->index);
  return true;
}

// Reads a body; `kind` is the index of its type in consensus_body.
template <std::size_t Kind = 0>
bool ReadKind(wire_reader* reader, std::uint64_t kind, consensus_body* body) {
  if constexpr (Kind < std::variant_size_v<consensus_body>) {
    if (kind != Kind) return ReadKind<Kind + 1>(reader, kind, body);
    return ReadBody(reader, &body->emplace<Kind>());
  } else {
    return false;
  }
}

}  // namespace

std::string EncodeConsensusMessage(const consensus_message& message) {
  wire_writer writer;
  writer.Array(6);
  writer.Number(kVersion);
  writer.Write(message.cluster);
  WriteMember(&writer, message.from);
  WriteMember(&writer, message.to);
  writer.Number(message.body.index());
  std::visit([&](const auto& body) { WriteBody(&writer, body); }, message.body);
  return std::string(writer.bytes());
}

std::optional<consensus_message> DecodeConsensusMessage(std::string_view bytes,
                                                        failure* last_failure) {
  wire_reader reader(bytes, kLimits);
  consensus_message message;
  reader.Array();
  const std::uint64_t version = reader.Number();
  reader.Read(&message.cluster);
  message.from = ReadMember(&reader);
  message.to = ReadMember(&reader);
  const std::uint64_t kind = reader.Number();
  reader.Array();
  const bool known = reader.ok() && version == kVersion &&
                     ReadKind(&reader, kind, &message.body);
  if (known && reader.ok()) return message;
  SetFailure(last_failure, result_code::kFrameMalformed,
             "consensus message is malformed or exceeds its bounds");
  return std::nullopt;
}

}  // namespace tamaracklatch
