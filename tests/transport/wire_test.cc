// Tests of message reading and writing: what is written is read again, and no
// bytes make the reader fail otherwise than by ok().
#include "tamaracklatch/transport/wire.h"

#include <cfloat>
#include <cmath>
#include <cstdint>
#include <string>
#include <vector>

#include "support/property.h"

namespace tamaracklatch {
namespace {

Test(wire, reads_what_was_written) {
  test::CheckProperty("numbers and texts survive",
                      [](std::uint64_t number, std::int64_t signed_number,
                         const std::string& text, bool flag) {
                        wire_writer writer;
                        writer.Array(5);
                        writer.Number(number);
                        writer.Signed(signed_number);
                        writer.Text(text);
                        writer.Flag(flag);
                        writer.Write(target_id{3, 4});
                        wire_reader reader(writer.bytes());
                        RC_ASSERT(reader.Array() == 5U);
                        RC_ASSERT(reader.Number() == number);
                        RC_ASSERT(reader.Signed() == signed_number);
                        RC_ASSERT(reader.Text() == text);
                        RC_ASSERT(reader.Flag() == flag);
                        target_id id;
                        reader.Read(&id);
                        RC_ASSERT(id == (target_id{3, 4}));
                        RC_ASSERT(reader.ok());
                      });
}

// Values at which an encoding changes its form, and the extremes.
const std::vector<std::uint64_t> kNumbers{
    0,          1,          127,        128,         255,        256,
    65535,      65536,      0x7fffffff, 0x80000000U, 0xffffffff, 0x100000000U,
    1ULL << 53, 1ULL << 63, INT64_MAX,  UINT64_MAX};

template <typename Value>
void ExpectReadAgain(Value value) {
  wire_writer writer;
  writer.Write(value);
  wire_reader reader(writer.bytes());
  Value read{};
  reader.Read(&read);
  cr_expect(reader.ok() && read == value);
}

Test(wire, reads_extreme_numbers) {
  for (const std::uint64_t number : kNumbers) {
    wire_writer writer;
    writer.Array(3);
    writer.Number(number);
    writer.Signed(static_cast<std::int64_t>(number));
    writer.Signed(-static_cast<std::int64_t>(number >> 1U) - 1);
    wire_reader reader(writer.bytes());
    reader.Array();
    cr_expect_eq(reader.Number(), number);
    cr_expect_eq(reader.Signed(), static_cast<std::int64_t>(number));
    cr_expect_eq(reader.Signed(), -static_cast<std::int64_t>(number >> 1U) - 1);
    cr_expect(reader.ok(), "%llu", static_cast<unsigned long long>(number));
    ExpectReadAgain(revision{number});
    ExpectReadAgain(duration(static_cast<std::int64_t>(number)));
    ExpectReadAgain(
        wall_time(duration(-static_cast<std::int64_t>(number >> 1U))));
    ExpectReadAgain(target_id{static_cast<std::uint32_t>(number),
                              static_cast<std::uint32_t>(~number)});
    ExpectReadAgain(endpoint{MakeV4(static_cast<std::uint32_t>(number)),
                             static_cast<std::uint16_t>(number)});
  }
}

// Whole numbers were written as integers, which the reader refuses.
Test(wire, reads_every_real_number) {
  std::vector<double> values{0.5,     1.5,          5.0,      -5.0,    0.0,
                             1e9,     1e300,        DBL_MIN,  DBL_MAX, -DBL_MAX,
                             1e-300,  DBL_TRUE_MIN, 0x1p63,   -0x1p63, 0x1p64,
                             -0x1p64, INFINITY,     -INFINITY};
  for (const std::uint64_t number : kNumbers) {
    values.push_back(static_cast<double>(number));
    values.push_back(-static_cast<double>(number));
  }
  for (const double value : values) {
    wire_writer writer;
    writer.Real(value);
    cr_expect_eq(writer.bytes().size(), 9U);
    wire_reader reader(writer.bytes());
    const double read = reader.Real();
    cr_expect(reader.ok() && read == value, "%.17g", value);
  }
  wire_writer writer;
  writer.Array(2);
  writer.Real(NAN);
  writer.Real(-0.0);
  wire_reader reader(writer.bytes());
  reader.Array();
  cr_expect(std::isnan(reader.Real()));
  cr_expect(std::signbit(reader.Real()));
  cr_expect(reader.ok());
}

Test(wire, reads_texts_and_arrays_of_every_length) {
  for (const std::size_t size :
       {0, 1, 15, 16, 31, 32, 255, 256, 65535, 65536}) {
    wire_writer writer;
    writer.Array(2);
    writer.Text(std::string(size, '\xff'));
    writer.Array(size);
    for (std::size_t i = 0; i < size; ++i) writer.Flag(i % 2 == 0);
    wire_reader reader(writer.bytes());
    reader.Array();
    cr_expect_eq(reader.Text().size(), size);
    cr_expect_eq(reader.Array(), size);
    for (std::size_t i = 0; i < size; ++i)
      cr_expect_eq(reader.Flag(), i % 2 == 0);
    reader.Leave();
    cr_expect(reader.ok(), "%zu", size);
  }
}

Test(wire, truncated_messages_are_refused) {
  wire_writer writer;
  writer.Array(2);
  writer.Text("a text of some length");
  writer.Number(70000);
  const std::string whole(writer.bytes());
  for (std::size_t size = 0; size < whole.size(); ++size) {
    wire_reader reader(std::string_view(whole).substr(0, size));
    reader.Array();
    reader.Text();
    reader.Number();
    cr_expect(!reader.ok(), "%zu of %zu bytes were read as a whole message",
              size, whole.size());
  }
}

Test(wire, arbitrary_bytes_never_crash) {
  test::CheckProperty("arbitrary bytes", [](const std::string& bytes) {
    wire_reader reader(bytes);
    reader.Array();
    reader.Text();
    reader.Number();
    endpoint where;
    reader.Read(&where);
    RC_ASSERT(!reader.ok() || bytes.size() > 3);
  });
}

Test(wire, a_message_over_the_limits_is_refused) {
  wire_writer writer;
  writer.Array(1);
  writer.Text(std::string(100, 'x'));
  const wire_limits small{1024, 16, 50, 4};
  wire_reader reader(writer.bytes(), small);
  reader.Array();
  cr_expect(!reader.ok());
}

Test(wire, later_elements_are_skipped) {
  wire_writer writer;
  writer.Array(2);
  writer.Array(3);
  writer.Number(1);
  writer.Number(2);
  writer.Number(3);
  writer.Number(9);
  wire_reader reader(writer.bytes());
  reader.Array();
  reader.Array();
  cr_expect(reader.Number() == 1);
  reader.Leave();
  cr_expect(reader.Number() == 9);
  cr_expect(reader.ok());
}

}  // namespace
}  // namespace tamaracklatch
