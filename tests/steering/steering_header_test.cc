// Tests of the encoding of the steering header: round trips, and rejection of
// malformed bytes with a result code.
#include "tamaracklatch/steering/steering_header.h"

#include <string>

#include "support/property.h"

namespace tamaracklatch {
namespace {

endpoint SomeEndpoint() {
  endpoint where;
  if (*rc::gen::arbitrary<bool>()) {
    where.address = MakeV4(*rc::gen::arbitrary<std::uint32_t>());
  } else {
    for (std::uint8_t& byte : where.address.bytes)
      byte = *rc::gen::arbitrary<std::uint8_t>();
  }
  where.port = *rc::gen::arbitrary<std::uint32_t>();
  return where;
}

steering_header SomeHeader() {
  steering_header header;
  header.kind = static_cast<steering_kind>(*rc::gen::inRange(1, 7));
  header.confirmed = *rc::gen::arbitrary<bool>();
  header.uncertain = *rc::gen::arbitrary<bool>();
  header.flow = *rc::gen::arbitrary<std::uint64_t>();
  header.balancer = SomeEndpoint();
  header.set_version = *rc::gen::arbitrary<std::uint64_t>();
  header.sender_load = *rc::gen::arbitrary<std::uint32_t>();
  header.possible_owners = *rc::gen::arbitrary<std::uint16_t>();
  const bool is_segment = header.kind == steering_kind::kSegment;
  if (is_segment) header.receiver = *rc::gen::arbitrary<std::uint64_t>();
  if (is_segment || header.kind == steering_kind::kPartEnded) {
    header.parts = static_cast<std::uint8_t>(*rc::gen::inRange<std::size_t>(
        is_segment ? 0 : 1, kMaxSearchParts + 1));
    if (header.parts > 0)
      header.part = *rc::gen::inRange<std::uint8_t>(0, header.parts);
    if (header.parts > 0 && is_segment) header.collector = SomeEndpoint();
  }
  if (header.kind == steering_kind::kOwner)
    header.target_start = *rc::gen::arbitrary<std::uint64_t>();
  header.service_count = static_cast<std::uint8_t>(
      *rc::gen::inRange<std::size_t>(1, kMaxSteeringServices + 1));
  for (std::size_t at = 0; at < header.service_count; ++at)
    header.services[at] = DigestService(*rc::gen::arbitrary<std::string>());
  const auto visits = *rc::gen::inRange<std::size_t>(0, kMaxSteeringVisits + 1);
  for (std::size_t at = 0; at < visits; ++at)
    header.AddVisit(*rc::gen::arbitrary<std::uint64_t>());
  return header;
}

Test(steering_header, is_read_as_it_was_written) {
  test::CheckProperty("round trip", [] {
    const steering_header header = SomeHeader();
    const auto payload = *rc::gen::arbitrary<std::string>();
    std::string bytes;
    AppendSteeringHeader(header, &bytes);
    RC_ASSERT((static_cast<std::uint8_t>(bytes[0]) & 0xf0) != 0xa0);
    std::string_view rest;
    const std::string whole = bytes + payload;
    const auto read = ReadSteeringHeader(whole, &rest, nullptr);
    RC_ASSERT(read.has_value());
    RC_ASSERT(rest == payload);
    std::string again;
    AppendSteeringHeader(*read, &again);
    RC_ASSERT(again == bytes);
    RC_ASSERT(read->flow == header.flow && read->balancer == header.balancer);
    RC_ASSERT(read->visits == header.visits);
    RC_ASSERT(read->services == header.services);
    RC_ASSERT(read->target_start == header.target_start);
    RC_ASSERT(read->receiver == header.receiver);

    failure error;
    const auto cut = *rc::gen::inRange<std::size_t>(0, bytes.size());
    RC_ASSERT(!ReadSteeringHeader(bytes.substr(0, cut), &rest, &error));
    RC_ASSERT(error.code == result_code::kEnvelopeTruncated);
  });
}

Test(steering_header, survives_arbitrary_bytes) {
  test::CheckProperty("arbitrary bytes", [] {
    std::string bytes;
    AppendSteeringHeader(SomeHeader(), &bytes);
    const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
    bytes[at] = *rc::gen::arbitrary<char>();
    std::string_view rest;
    failure error;
    const auto read = ReadSteeringHeader(bytes, &rest, &error);
    RC_ASSERT(read.has_value() == (error.code == result_code::kOk));
    if (!read) return;
    std::string again;
    AppendSteeringHeader(*read, &again);
    RC_ASSERT(again + std::string(rest) == bytes);
  });
}

Test(steering_header, refuses_fields_out_of_range) {
  struct row {
    std::size_t at;  // byte of a header with an IPv4 balancer
    char value;
    result_code code;
  };
  constexpr row kRows[] = {
      {0, '\xa5', result_code::kEnvelopeMalformed},
      {1, '\x41', result_code::kEnvelopeVersion},
      {1, '\x81', result_code::kEnvelopeVersion},
      {1, '\xc0', result_code::kEnvelopeMalformed},   // no kind
      {1, '\xc7', result_code::kEnvelopeMalformed},   // unknown kind
      {30, '\x00', result_code::kEnvelopeMalformed},  // no service
      {30, '\x05', result_code::kEnvelopeMalformed},  // too many services
      {31, '\x19', result_code::kEnvelopeMalformed},  // too many visits
  };
  for (const row& each : kRows) {
    steering_header header;
    header.balancer = {MakeV4(0x0a000001), 80};
    header.service_count = 1;
    std::string bytes;
    AppendSteeringHeader(header, &bytes);
    bytes[each.at] = each.value;
    std::string_view rest;
    failure error;
    cr_assert(!ReadSteeringHeader(bytes, &rest, &error));
    cr_assert(error.code == each.code, "byte %zu", each.at);
  }
}

struct written_row {
  const char* name;
  std::string bytes;  // as one version of the system wrote them
  result_code code;   // of this version
};

// Guards against misreading the header of another version while nodes are
// rolled: versions 1 and 2 have 32-bit tags in place of the longer identities.
Test(steering_header, of_another_version_is_refused) {
  const std::string common(
      "\x11\x12\x13\x14\x15\x16\x17\x18"  // flow
      "\x0a\x01\x00\x01\x1b\x58"          // balancer 10.1.0.1:7000
      "\x00\x00\x00\x00\x00\x00\x00\x29"  // set version 41
      "\x00\x00\x01\x00"                  // sender load
      "\x00\x02"                          // possible owners
      "\x01\x01",                         // a service, a visit
      30);
  const std::string tags(
      "\x21\x22\x23\x24"   // receiver
      "\x00"               // parts
      "\x31\x32\x33\x34"   // service
      "\x41\x42\x43\x44",  // visit
      13);
  const std::string identities(
      "\x21\x22\x23\x24\x25\x26\x27\x28"   // receiver
      "\x00"                               // parts
      "\xf8\xe4\x76\xc1\x0b\x18\xb1\xd6"   // service "desk", bytes 0 to 7
      "\xd0\xf6\xdd\xfd\x7b\xa5\xda\x1e"   // service, bytes 8 to 15
      "\x41\x42\x43\x44\x45\x46\x47\x48",  // visit
      33);
  const std::string data(64, 'd');  // a segment, which makes up for the length
  const written_row rows[] = {
      {"version 1", std::string("\x5a\x49") + common + tags + data,
       result_code::kEnvelopeVersion},
      {"version 2", std::string("\x5a\x89") + common + tags + data,
       result_code::kEnvelopeVersion},
      {"version 3", std::string("\x5a\xc9") + common + identities + data,
       result_code::kOk}};
  for (const written_row& row : rows) {
    std::string_view rest;
    failure error;
    const auto read = ReadSteeringHeader(row.bytes, &rest, &error);
    cr_assert(error.code == row.code, "%s", row.name);
    cr_assert(read.has_value() == (row.code == result_code::kOk));
    if (!read) continue;
    cr_assert(rest == data);
    cr_assert(read->confirmed && !read->uncertain);
    cr_assert(read->flow == 0x1112131415161718);
    cr_assert(read->receiver == 0x2122232425262728);
    cr_assert(read->services[0] == DigestService("desk"));
    cr_assert(read->visits[0] == 0x4142434445464748);
    std::string again;
    AppendSteeringHeader(*read, &again);
    cr_assert(again + data == row.bytes, "%s", row.name);
  }
}

Test(steering_header, bounds_its_visits) {
  steering_header header;
  for (std::uint16_t node = 0; node < kMaxSteeringVisits; ++node)
    cr_assert(header.AddVisit(node));
  cr_assert(!header.AddVisit(99));
  cr_assert(header.HasVisited(0) && !header.HasVisited(99));
}

}  // namespace
}  // namespace tamaracklatch
