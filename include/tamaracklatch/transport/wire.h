// Typed writing and reading of messages between the system's processes, as
// MessagePack. Every message is an array whose first elements are fixed; a
// reader skips elements past those that it knows, so that a newer sender is
// understood.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "tamaracklatch/core/endpoint.h"
#include "tamaracklatch/core/ids.h"
#include "tamaracklatch/core/time.h"

namespace tamaracklatch {

// Bounds that a reader sets before it allocates.
struct wire_limits {
  std::size_t max_bytes = 1024 * 1024;  // of one message
  std::size_t max_elements = 65536;     // of one array
  std::size_t max_text = 128 * 1024;    // of one text or byte string
  std::size_t max_depth = 16;           // of nested arrays
};

// Writes one message.
class wire_writer {
 public:
  wire_writer();
  ~wire_writer();
  wire_writer(wire_writer&&) noexcept;
  wire_writer& operator=(wire_writer&&) noexcept;

  // Starts an array of exactly `count` elements, which the next writes fill.
  void Array(std::size_t count);
  void Number(std::uint64_t value);
  void Signed(std::int64_t value);
  // Always takes the same number of bytes, also for a whole number.
  void Real(double value);
  void Flag(bool value);
  void Text(std::string_view value);

  template <typename Tag>
  void Write(strong_number<Tag> value) {
    Number(value.value);
  }
  void Write(target_id value);
  void Write(const endpoint& value);
  void Write(duration value) { Signed(value.count()); }
  void Write(wall_time value) { Signed(value.time_since_epoch().count()); }

  // The bytes written so far.
  std::string_view bytes() const;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

// Reads one message. A failed read returns a zero value and makes ok() false
// for good, so that a decoder reads all parts in order and asks once at the
// end.
class wire_reader {
 public:
  explicit wire_reader(std::string_view bytes, const wire_limits& limits = {});
  ~wire_reader();

  // Enters the array at the current position and returns its element count;
  // Leave() ends it.
  std::size_t Array();
  // Leaves the innermost array, past elements that were not read.
  void Leave();
  std::uint64_t Number();
  // A number that must be at most `max`; a larger one is a failed read.
  std::uint64_t NumberUpTo(std::uint64_t max);
  std::int64_t Signed();
  // Refuses a whole number that was written as an integer, as earlier releases
  // did: all voters must agree on an entry of the log, whichever release reads
  // it.
  double Real();
  bool Flag();
  std::string Text();

  template <typename Tag>
  void Read(strong_number<Tag>* value) {
    value->value = Number();
  }
  void Read(target_id* value);
  void Read(endpoint* value);
  void Read(duration* value) { *value = duration(Signed()); }
  void Read(wall_time* value) { *value = wall_time(duration(Signed())); }

  // Whether all reads so far succeeded.
  bool ok() const;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace tamaracklatch
