// Tests of message reading and writing: what is written is read again, and no
// bytes make the reader fail otherwise than by ok().
#include "tamaracklatch/transport/wire.h"

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
