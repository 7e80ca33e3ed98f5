// Encodes and decodes view changes.
#include "tamaracklatch/control/view_codec.h"

#include <vector>

namespace tamaracklatch {
namespace {

// First element of an encoded change. The number of a kind that is dropped is
// not reused.
enum class change_kind : std::uint8_t {
  kServicePut = 0,
  kServiceRemoved = 1,
  kTargetPut = 2,
  kTargetRemoved = 3,
};

constexpr std::uint64_t kLastChangeKind = 3;
constexpr std::uint64_t kLastTargetState = 1;

void WriteHeader(wire_writer* writer, change_kind kind,
                 std::size_t more_elements) {
  writer->Array(1 + more_elements);
  writer->Number(static_cast<std::uint64_t>(kind));
}

class change_writer {
 public:
  explicit change_writer(wire_writer* writer) : writer_(writer) {}

  void operator()(const service_put& change) const {
    WriteHeader(writer_, change_kind::kServicePut, 2);
    writer_->Write(change.service.id);
    writer_->Text(CanonicalText(change.service.document));
  }

  void operator()(const service_removed& change) const {
    WriteHeader(writer_, change_kind::kServiceRemoved, 1);
    writer_->Write(change.service);
  }

  void operator()(const target_put& change) const {
    WriteHeader(writer_, change_kind::kTargetPut, 1);
    WriteTarget(writer_, change.target);
  }

  void operator()(const target_removed& change) const {
    WriteHeader(writer_, change_kind::kTargetRemoved, 1);
    writer_->Write(change.target);
  }

 private:
  wire_writer* writer_;
};

std::optional<view_change> ReadServicePut(wire_reader* reader) {
  service_put change;
  reader->Read(&change.service.id);
  const std::string text = reader->Text();
  std::vector<failure> failures;
  auto document = ParseDocument(text, &failures);
  if (!document) return std::nullopt;
  change.service.document = std::move(*document);
  return change;
}

std::optional<view_change> ReadChange(wire_reader* reader) {
  switch (static_cast<change_kind>(reader->NumberUpTo(kLastChangeKind))) {
    case change_kind::kServicePut:
      return ReadServicePut(reader);
    case change_kind::kServiceRemoved: {
      service_removed change;
      reader->Read(&change.service);
      return change;
    }
    case change_kind::kTargetPut:
      return target_put{ReadTarget(reader)};
    case change_kind::kTargetRemoved: {
      target_removed change;
      reader->Read(&change.target);
      return change;
    }
  }
  return std::nullopt;
}

}  // namespace

void WriteTarget(wire_writer* writer, const target_record& target) {
  writer->Array(10);
  writer->Write(target.id);
  writer->Write(target.service);
  writer->Write(target.started);
  writer->Text(target.vm);
  writer->Text(target.zone);
  writer->Write(target.packets);
  writer->Write(target.relay);
  writer->Write(target.requests);
  writer->Number(target.capacity);
  writer->Number(static_cast<std::uint64_t>(target.state));
}

target_record ReadTarget(wire_reader* reader) {
  target_record target;
  reader->Array();
  reader->Read(&target.id);
  reader->Read(&target.service);
  reader->Read(&target.started);
  target.vm = reader->Text();
  target.zone = reader->Text();
  reader->Read(&target.packets);
  reader->Read(&target.relay);
  reader->Read(&target.requests);
  target.capacity = static_cast<std::uint32_t>(reader->NumberUpTo(UINT32_MAX));
  target.state =
      static_cast<target_state>(reader->NumberUpTo(kLastTargetState));
  reader->Leave();
  return target;
}

std::string EncodeChange(const view_change& change) {
  wire_writer writer;
  std::visit(change_writer(&writer), change);
  return std::string(writer.bytes());
}

std::optional<view_change> DecodeChange(std::string_view bytes) {
  wire_reader reader(bytes);
  reader.Array();
  auto change = ReadChange(&reader);
  reader.Leave();
  if (!reader.ok()) return std::nullopt;
  return change;
}

}  // namespace tamaracklatch
