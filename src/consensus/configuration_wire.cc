// The encoding of members, configurations and log entries.
#include "consensus/configuration_wire.h"

#include <algorithm>

#include "tamaracklatch/consensus/consensus_message.h"

namespace tamaracklatch {
namespace {

constexpr std::size_t kMaxNameBytes = 256;

void WriteMembers(wire_writer* writer,
                  const std::vector<cluster_member>& members) {
  writer->Array(members.size());
  for (const cluster_member& member : members) {
    writer->Array(2);
    WriteMember(writer, member.id);
    writer->Write(member.added);
  }
}

bool ReadMembers(wire_reader* reader, std::vector<cluster_member>* members) {
  const std::size_t count = reader->Array();
  if (count > kMaxMembers) return false;
  for (std::size_t i = 0; i < count && reader->ok(); ++i) {
    cluster_member member;
    reader->Array();
    member.id = ReadMember(reader);
    reader->Read(&member.added);
    reader->Leave();
    members->push_back(std::move(member));
  }
  reader->Leave();
  const bool sorted = std::is_sorted(
      members->begin(), members->end(),
      [](const cluster_member& left, const cluster_member& right) {
        return left.id < right.id;
      });
  return reader->ok() && sorted;
}

}  // namespace

void WriteMember(wire_writer* writer, const member_id& id) {
  writer->Array(2);
  writer->Text(id.name);
  writer->Write(id.disk);
}

member_id ReadMember(wire_reader* reader) {
  member_id id;
  reader->Array();
  id.name = reader->Text();
  reader->Read(&id.disk);
  reader->Leave();
  if (id.name.size() > kMaxNameBytes) reader->NumberUpTo(0);
  return id;
}

void WriteConfiguration(wire_writer* writer,
                        const voter_configuration& configuration) {
  writer->Array(2);
  WriteMembers(writer, configuration.voters);
  WriteMembers(writer, configuration.learners);
}

bool ReadConfiguration(wire_reader* reader,
                       voter_configuration* configuration) {
  reader->Array();
  if (!ReadMembers(reader, &configuration->voters)) return false;
  if (!ReadMembers(reader, &configuration->learners)) return false;
  reader->Leave();
  return reader->ok() &&
         std::none_of(configuration->learners.begin(),
                      configuration->learners.end(),
                      [&](const cluster_member& member) {
                        return configuration->IsVoter(member.id);
                      });
}

void WriteEntry(wire_writer* writer, const log_entry& entry) {
  writer->Array(4);
  writer->Write(entry.index);
  writer->Write(entry.term);
  writer->Number(static_cast<std::uint64_t>(entry.kind));
  writer->Text(entry.payload);
}

bool ReadEntry(wire_reader* reader, log_entry* entry) {
  reader->Array();
  reader->Read(&entry->index);
  reader->Read(&entry->term);
  const std::uint64_t kind = reader->NumberUpTo(
      static_cast<std::uint64_t>(entry_kind::kConfiguration));
  entry->kind = static_cast<entry_kind>(kind);
  entry->payload = reader->Text();
  reader->Leave();
  if (!reader->ok() || entry->index.value == 0) return false;
  return entry->kind != entry_kind::kConfiguration ||
         DecodeConfiguration(entry->payload).has_value();
}

}  // namespace tamaracklatch
