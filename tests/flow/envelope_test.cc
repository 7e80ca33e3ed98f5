// Tests of the envelope codec: encoded envelopes decode to the same fields, and
// all other bytes are refused with a result code.
#include "tamaracklatch/flow/envelope.h"

#include <string>

#include "flow/sign.h"
#include "support/property.h"
#include "tamaracklatch/placement/held_buckets.h"

namespace tamaracklatch {
namespace {

constexpr envelope_key kKey{1, 2,  3,  4,  5,  6,  7,  8,
                            9, 10, 11, 12, 13, 14, 15, 16};
constexpr envelope_key kOtherKey{9};

ip_address RandomAddress() {
  if (*rc::gen::arbitrary<bool>())
    return MakeV4(*rc::gen::arbitrary<std::uint32_t>());
  ip_address address;
  for (std::uint8_t& byte : address.bytes)
    byte = *rc::gen::arbitrary<std::uint8_t>();
  return address;
}

endpoint RandomEndpoint() {
  return {RandomAddress(), *rc::gen::arbitrary<std::uint16_t>()};
}

envelope RandomEnvelope(const std::string& payload) {
  envelope message;
  message.kind = static_cast<envelope_kind>(*rc::gen::inRange(0, 6));
  message.opens = static_cast<flow_opening>(*rc::gen::inRange(0, 3));
  message.wants_hint = *rc::gen::arbitrary<bool>();
  message.must_open = *rc::gen::arbitrary<bool>();
  message.exhaustive = *rc::gen::arbitrary<bool>();
  message.service = {*rc::gen::arbitrary<std::uint64_t>()};
  message.target = {*rc::gen::arbitrary<std::uint32_t>(),
                    *rc::gen::arbitrary<std::uint32_t>()};
  message.started = {*rc::gen::arbitrary<std::uint64_t>()};
  message.at = {*rc::gen::arbitrary<std::uint64_t>()};
  message.key = {RandomAddress(), RandomAddress(),
                 *rc::gen::arbitrary<std::uint16_t>(),
                 *rc::gen::arbitrary<std::uint16_t>(), ip_protocol::kTcp};
  message.origin = RandomEndpoint();
  message.hops =
      static_cast<std::uint8_t>(*rc::gen::inRange(0, int{kMaxHops} + 1));
  message.load = *rc::gen::arbitrary<std::uint32_t>();
  const auto count =
      static_cast<std::uint32_t>(*rc::gen::inRange(0, int{kMaxVisits} + 1));
  for (std::uint32_t index = 0; index < count; ++index) {
    message.Add(
        {{index, 1}, {*rc::gen::arbitrary<std::uint64_t>()}, RandomEndpoint()});
  }
  if (count > 0) {
    message.best =
        static_cast<std::uint8_t>(*rc::gen::inRange<std::uint32_t>(0, count));
    message.arbiter = 0;
    message.visited =
        static_cast<std::uint16_t>(*rc::gen::inRange(0, 1 << count));
  }
  message.payload = payload;
  return message;
}

bool IsEqual(const envelope& left, const envelope& right) {
  bool same =
      left.kind == right.kind && left.opens == right.opens &&
      left.wants_hint == right.wants_hint &&
      left.must_open == right.must_open &&
      left.exhaustive == right.exhaustive && left.service == right.service &&
      left.target == right.target && left.started == right.started &&
      left.at == right.at && left.key == right.key &&
      left.origin == right.origin && left.hops == right.hops &&
      left.load == right.load && left.best == right.best &&
      left.visited == right.visited && left.arbiter == right.arbiter &&
      left.declined == right.declined && left.payload == right.payload &&
      left.candidate_count == right.candidate_count;
  for (std::size_t at = 0; same && at < left.candidate_count; ++at)
    same = left.candidates[at] == right.candidates[at];
  return same;
}

Test(envelope, reads_what_was_written) {
  test::CheckProperty("encoding and decoding keep every field",
                      [](const std::string& payload) {
                        const envelope message = RandomEnvelope(payload);
                        std::string bytes;
                        EncodeEnvelope(message, kKey, &bytes);
                        const auto read = DecodeEnvelope(bytes, kKey, nullptr);
                        RC_ASSERT(read.has_value());
                        RC_ASSERT(IsEqual(message, *read));
                      });
}

Test(envelope, refuses_cut_and_changed_bytes) {
  test::CheckProperty(
      "every truncation and bit flip is refused",
      [](const std::string& payload) {
        std::string bytes;
        EncodeEnvelope(RandomEnvelope(payload), kKey, &bytes);
        const auto size = *rc::gen::inRange<std::size_t>(0, bytes.size());
        RC_ASSERT(!DecodeEnvelope(bytes.substr(0, size), kKey, nullptr));
        RC_ASSERT(!DecodeEnvelope(bytes, kOtherKey, nullptr));
        bytes[size] =
            static_cast<char>(bytes[size] ^ (1 << *rc::gen::inRange(0, 8)));
        failure error;
        RC_ASSERT(!DecodeEnvelope(bytes, kKey, &error));
        RC_ASSERT(error.code >= result_code::kEnvelopeTruncated);
        RC_ASSERT(error.code <= result_code::kEnvelopeUnauthentic);
      });
}

// A faulty sender has the key as well, so authentication does not replace the
// bounds check of each field.
Test(envelope, refuses_fields_out_of_range) {
  struct row {
    std::size_t byte;
    char value;
    result_code expected;
  };
  constexpr row kRows[] = {
      {0, 'x', result_code::kEnvelopeMalformed},
      {1, 9, result_code::kEnvelopeVersion},
      {2, 6, result_code::kEnvelopeMalformed},
      {3, 0x03, result_code::kEnvelopeMalformed},
      {3, 0x20, result_code::kEnvelopeMalformed},
      {40, 0x01, result_code::kEnvelopeMalformed},  // visited beyond the list
      {42, 0x01, result_code::kEnvelopeMalformed},  // declined beyond the list
      {44, 3, result_code::kEnvelopeMalformed},     // best beyond the list
      {45, 3, result_code::kEnvelopeMalformed},     // arbiter beyond the list
      {46, kMaxHops + 1, result_code::kEnvelopeMalformed},
      {47, kMaxVisits + 1, result_code::kEnvelopeMalformed},
      {47, 5, result_code::kEnvelopeTruncated},  // more candidates than encoded
      {48, 1, result_code::kEnvelopeMalformed},  // protocol
      {49, 5, result_code::kEnvelopeMalformed},  // address family
  };
  for (const row& each : kRows) {
    std::string valid;
    EncodeEnvelope(envelope(), kKey, &valid);
    std::string covered = valid.substr(0, valid.size() - 8);
    covered[each.byte] = each.value;
    // Authenticates the changed bytes as a sender with the key would.
    std::string bytes = test::Sign(covered, kKey);
    failure error;
    cr_assert(!DecodeEnvelope(bytes, kKey, &error));
    cr_assert(error.code == each.expected, "byte %zu: %s", each.byte,
              ToString(error).c_str());
  }
}

Test(held_buckets, reads_what_was_written) {
  test::CheckProperty(
      "encoding and decoding keep reports", [](std::uint64_t hash) {
        held_buckets report;
        report.service = {7};
        report.target = {1, 2};
        report.at = {9};
        report.bucket_count = 1U << *rc::gen::inRange(6, 12);
        report.bits.resize(report.bucket_count / 64);
        const auto bucket =
            static_cast<std::uint32_t>(hash & (report.bucket_count - 1));
        report.Set(bucket);
        const std::string bytes = EncodeHeldBuckets(report);
        const auto read = DecodeHeldBuckets(bytes, nullptr);
        RC_ASSERT(read.has_value());
        RC_ASSERT(read->bits == report.bits);
        RC_ASSERT(read->MayHold(hash));
        RC_ASSERT(!read->MayHold(hash + 1));
        const auto size = *rc::gen::inRange<std::size_t>(0, bytes.size());
        RC_ASSERT(!DecodeHeldBuckets(bytes.substr(0, size), nullptr));
      });
}

Test(held_buckets, survives_any_bytes) {
  test::CheckProperty(
      "arbitrary bytes do not crash the decoder", [](const std::string& bytes) {
        const auto read = DecodeHeldBuckets(bytes, nullptr);
        RC_ASSERT(!read || read->bits.size() == read->bucket_count / 64);
      });
}

}  // namespace
}  // namespace tamaracklatch
