// Applies, writes and reads the names of known nodes.
#include "tamaracklatch/control/known_nodes.h"

namespace tamaracklatch {
namespace {

void WriteNames(wire_writer* writer, const std::vector<std::string>& names) {
  writer->Array(names.size());
  for (const std::string& name : names) writer->Text(name);
}

std::vector<std::string> ReadNames(wire_reader* reader) {
  std::vector<std::string> names;
  const std::size_t count = reader->Array();
  for (std::size_t i = 0; i < count && reader->ok(); ++i)
    names.push_back(reader->Text());
  reader->Leave();
  return names;
}

}  // namespace

void Write(wire_writer* writer, const known_nodes_batch& batch) {
  writer->Array(2);
  WriteNames(writer, batch.added);
  WriteNames(writer, batch.removed);
}

known_nodes_batch ReadKnownNodesBatch(wire_reader* reader) {
  known_nodes_batch batch;
  reader->Array();
  batch.added = ReadNames(reader);
  batch.removed = ReadNames(reader);
  reader->Leave();
  return batch;
}

void known_nodes::Apply(revision at, const known_nodes_batch& batch) {
  for (const std::string& name : batch.removed) names_.erase(name);
  for (const std::string& name : batch.added) {
    if (names_.size() < kMaxKnownNodes) names_.insert(name);
  }
  changed_ = at;
}

void known_nodes::Write(wire_writer* writer) const {
  writer->Array(2);
  writer->Write(changed_);
  WriteNames(writer, {names_.begin(), names_.end()});
}

void known_nodes::Read(wire_reader* reader) {
  reader->Array();
  reader->Read(&changed_);
  const std::vector<std::string> names = ReadNames(reader);
  names_ = {names.begin(), names.end()};
  reader->Leave();
}

}  // namespace tamaracklatch
