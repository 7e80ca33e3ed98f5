// Serialization of the membership messages.
#include "tamaracklatch/membership/announcement.h"

namespace tamaracklatch {

void WriteKey(wire_writer* writer, const target_key& key) {
  writer->Array(3);
  writer->Text(key.vm);
  writer->Text(key.service);
  writer->Write(key.started);
}

target_key ReadKey(wire_reader* reader) {
  target_key key;
  reader->Array();
  key.vm = reader->Text();
  key.service = reader->Text();
  reader->Read(&key.started);
  reader->Leave();
  return key;
}

void WriteAnnouncement(wire_writer* writer,
                       const target_announcement& announcement) {
  writer->Array(8);
  WriteKey(writer, announcement.key);
  writer->Number(announcement.generation);
  writer->Text(announcement.zone);
  writer->Write(announcement.packets);
  writer->Write(announcement.relay);
  writer->Write(announcement.requests);
  writer->Number(announcement.capacity);
  writer->Flag(announcement.draining);
}

target_announcement ReadAnnouncement(wire_reader* reader) {
  target_announcement announcement;
  reader->Array();
  announcement.key = ReadKey(reader);
  announcement.generation = reader->Number();
  announcement.zone = reader->Text();
  reader->Read(&announcement.packets);
  reader->Read(&announcement.relay);
  reader->Read(&announcement.requests);
  announcement.capacity =
      static_cast<std::uint32_t>(reader->NumberUpTo(UINT32_MAX));
  announcement.draining = reader->Flag();
  reader->Leave();
  return announcement;
}

std::string Encode(const lease_renewal& message) {
  wire_writer writer;
  writer.Array(2);
  WriteAnnouncement(&writer, message.target);
  writer.Number(message.number);
  return std::string(writer.bytes());
}

std::optional<lease_renewal> DecodeLeaseRenewal(std::string_view bytes) {
  wire_reader reader(bytes);
  lease_renewal message;
  reader.Array();
  message.target = ReadAnnouncement(&reader);
  message.number = reader.Number();
  reader.Leave();
  if (!reader.ok()) return std::nullopt;
  return message;
}

std::string Encode(const lease_answer& message) {
  wire_writer writer;
  writer.Array(5);
  writer.Number(message.number);
  writer.Number(static_cast<std::uint64_t>(message.code));
  writer.Write(message.lease);
  writer.Number(message.newest_generation);
  writer.Text(message.detail);
  return std::string(writer.bytes());
}

std::optional<lease_answer> DecodeLeaseAnswer(std::string_view bytes) {
  wire_reader reader(bytes);
  lease_answer message;
  reader.Array();
  message.number = reader.Number();
  message.code = static_cast<result_code>(reader.NumberUpTo(UINT16_MAX));
  reader.Read(&message.lease);
  message.newest_generation = reader.Number();
  message.detail = reader.Text();
  reader.Leave();
  if (!reader.ok()) return std::nullopt;
  return message;
}

std::string Encode(const membership_report& message) {
  wire_writer writer;
  writer.Array(6);
  writer.Number(message.number);
  writer.Text(message.relay);
  writer.Text(message.zone);
  writer.Array(message.alive.size());
  for (const target_announcement& target : message.alive)
    WriteAnnouncement(&writer, target);
  writer.Array(message.silent.size());
  for (const target_key& key : message.silent) WriteKey(&writer, key);
  writer.Number(message.leases_held);
  return std::string(writer.bytes());
}

std::optional<membership_report> DecodeMembershipReport(
    std::string_view bytes) {
  wire_reader reader(bytes);
  membership_report message;
  reader.Array();
  message.number = reader.Number();
  message.relay = reader.Text();
  message.zone = reader.Text();
  const std::size_t alive = reader.Array();
  for (std::size_t i = 0; i < alive && reader.ok(); ++i)
    message.alive.push_back(ReadAnnouncement(&reader));
  reader.Leave();
  const std::size_t silent = reader.Array();
  for (std::size_t i = 0; i < silent && reader.ok(); ++i)
    message.silent.push_back(ReadKey(&reader));
  reader.Leave();
  message.leases_held =
      static_cast<std::uint32_t>(reader.NumberUpTo(UINT32_MAX));
  reader.Leave();
  if (!reader.ok()) return std::nullopt;
  return message;
}

std::string Encode(const membership_answer& message) {
  wire_writer writer;
  writer.Array(4);
  writer.Number(message.number);
  writer.Number(message.term);
  writer.Array(3 * message.refused.size());
  for (const refused_target& target : message.refused) {
    WriteKey(&writer, target.key);
    writer.Number(static_cast<std::uint64_t>(target.code));
    writer.Number(target.newest_generation);
  }
  writer.Array(message.held_elsewhere.size());
  for (const target_key& key : message.held_elsewhere) WriteKey(&writer, key);
  return std::string(writer.bytes());
}

std::optional<membership_answer> DecodeMembershipAnswer(
    std::string_view bytes) {
  wire_reader reader(bytes);
  membership_answer message;
  reader.Array();
  message.number = reader.Number();
  message.term = reader.Number();
  const std::size_t refused = reader.Array() / 3;
  for (std::size_t i = 0; i < refused && reader.ok(); ++i) {
    refused_target target;
    target.key = ReadKey(&reader);
    target.code = static_cast<result_code>(reader.NumberUpTo(UINT16_MAX));
    target.newest_generation = reader.Number();
    message.refused.push_back(std::move(target));
  }
  reader.Leave();
  const std::size_t held = reader.Array();
  for (std::size_t i = 0; i < held && reader.ok(); ++i)
    message.held_elsewhere.push_back(ReadKey(&reader));
  reader.Leave();
  reader.Leave();
  if (!reader.ok()) return std::nullopt;
  return message;
}

}  // namespace tamaracklatch
