// Encodes reports of held buckets as pairs of a word's index and its 64 bits,
// for the words that are not zero.
#include "tamaracklatch/placement/held_buckets.h"

#include <cassert>

#include "tamaracklatch/placement/service_placement.h"
#include "tamaracklatch/transport/wire.h"

namespace tamaracklatch {
namespace {

constexpr std::uint32_t kBitsPerWord = 64;

std::optional<held_buckets> Refuse(failure* last_failure, const char* reason) {
  SetFailure(last_failure, result_code::kHeldReportMalformed, reason);
  return std::nullopt;
}

bool IsPowerOfTwo(std::uint64_t number) {
  return number != 0 && (number & (number - 1)) == 0;
}

}  // namespace

bool held_buckets::MayHold(std::uint64_t flow_hash) const {
  if (bucket_count == 0) return false;
  const std::uint64_t bucket = flow_hash & (bucket_count - 1);
  return (bits[bucket / kBitsPerWord] >> (bucket % kBitsPerWord) & 1U) != 0;
}

void held_buckets::Set(std::uint32_t bucket) {
  assert(bucket < bucket_count);
  bits[bucket / kBitsPerWord] |= std::uint64_t{1} << (bucket % kBitsPerWord);
}

std::string EncodeHeldBuckets(const held_buckets& report) {
  std::size_t words = 0;
  for (const std::uint64_t word : report.bits) words += word != 0 ? 1U : 0U;

  wire_writer writer;
  writer.Array(6);
  writer.Write(report.service);
  writer.Write(report.target);
  writer.Write(report.at);
  writer.Number(report.sequence);
  writer.Number(report.bucket_count);
  writer.Array(words * 2);
  for (std::size_t at = 0; at < report.bits.size(); ++at) {
    if (report.bits[at] == 0) continue;
    writer.Number(at);
    writer.Number(report.bits[at]);
  }
  return std::string(writer.bytes());
}

std::optional<held_buckets> DecodeHeldBuckets(std::string_view bytes,
                                              failure* last_failure) {
  wire_reader reader(bytes);
  held_buckets report;
  reader.Array();
  reader.Read(&report.service);
  reader.Read(&report.target);
  reader.Read(&report.at);
  report.sequence = reader.Number();
  report.bucket_count =
      static_cast<std::uint32_t>(reader.NumberUpTo(kMaxBuckets));
  const std::size_t numbers = reader.Array();
  if (!reader.ok()) return Refuse(last_failure, "not a report");
  if (!IsPowerOfTwo(report.bucket_count) || report.bucket_count < kMinBuckets)
    return Refuse(last_failure, "the number of buckets is not a power of two");

  report.bits.resize(report.bucket_count / kBitsPerWord);
  if (numbers % 2 != 0 || numbers / 2 > report.bits.size())
    return Refuse(last_failure, "more words than buckets");
  for (std::size_t read = 0; read < numbers / 2; ++read) {
    const std::uint64_t at = reader.NumberUpTo(report.bits.size() - 1);
    report.bits[at] = reader.Number();
  }
  reader.Leave();
  reader.Leave();
  if (!reader.ok()) return Refuse(last_failure, "a word is out of range");
  return report;
}

}  // namespace tamaracklatch
