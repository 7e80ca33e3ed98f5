// Bounds-checked writing and reading of big-endian fields in a buffer.
#pragma once

#include <cassert>
#include <cstddef>
#include <cstdint>
#include <cstring>
#include <string_view>

namespace tamaracklatch {

// Writes fields in order into a buffer of the caller. Writing past its end is a
// programming error, which only an assertion detects.
class byte_writer {
 public:
  byte_writer(char* begin, std::size_t size)
      : begin_(begin), at_(begin), end_(begin + size) {}

  template <typename Unsigned>
  void Write(Unsigned value) {
    assert(static_cast<std::size_t>(end_ - at_) >= sizeof(value));
    for (std::size_t byte = sizeof(value); byte-- > 0;)
      *at_++ = static_cast<char>(value >> (8 * byte));
  }

  void WriteBytes(const void* data, std::size_t size) {
    assert(static_cast<std::size_t>(end_ - at_) >= size);
    if (size != 0) std::memcpy(at_, data, size);
    at_ += size;
  }

  std::size_t size() const { return static_cast<std::size_t>(at_ - begin_); }

 private:
  char* begin_;
  char* at_;
  char* end_;
};

// Reads fields in order. After a read past the end, ok() is false and every
// further integer field is 0.
class byte_reader {
 public:
  explicit byte_reader(std::string_view bytes) : rest_(bytes) {}

  template <typename Unsigned>
  Unsigned Read() {
    if (rest_.size() < sizeof(Unsigned)) return Fail<Unsigned>();
    Unsigned value = 0;
    for (std::size_t byte = 0; byte < sizeof(Unsigned); ++byte) {
      value = static_cast<Unsigned>(static_cast<std::uint64_t>(value) << 8U |
                                    static_cast<std::uint8_t>(rest_[byte]));
    }
    rest_.remove_prefix(sizeof(Unsigned));
    return value;
  }

  void ReadBytes(void* data, std::size_t size) {
    if (rest_.size() < size) {
      Fail<std::uint8_t>();
      return;
    }
    std::memcpy(data, rest_.data(), size);
    rest_.remove_prefix(size);
  }

  std::string_view rest() const { return rest_; }
  bool ok() const { return ok_; }

 private:
  template <typename Unsigned>
  Unsigned Fail() {
    ok_ = false;
    rest_ = {};
    return 0;
  }

  std::string_view rest_;
  bool ok_ = true;
};

}  // namespace tamaracklatch
