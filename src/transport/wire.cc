// MessagePack behind wire_writer and wire_reader. The reader parses with the
// library's limits before it allocates.
#include "tamaracklatch/transport/wire.h"

#include <array>
#include <cassert>
#include <cstring>
#include <msgpack.hpp>
#include <vector>

namespace tamaracklatch {
namespace {

// MessagePack's "float 64": a tag, then the bits of the number, the most
// significant byte first.
constexpr unsigned char kFloat64Tag = 0xcb;
constexpr std::size_t kRealBytes = 9;

}  // namespace

struct wire_writer::state {
  msgpack::sbuffer buffer;
  msgpack::packer<msgpack::sbuffer> packer{buffer};
};

wire_writer::wire_writer() : state_(std::make_unique<state>()) {}
wire_writer::~wire_writer() = default;
wire_writer::wire_writer(wire_writer&&) noexcept = default;
wire_writer& wire_writer::operator=(wire_writer&&) noexcept = default;

void wire_writer::Array(std::size_t count) {
  state_->packer.pack_array(static_cast<std::uint32_t>(count));
}
void wire_writer::Number(std::uint64_t value) { state_->packer.pack(value); }
void wire_writer::Signed(std::int64_t value) { state_->packer.pack(value); }

// The packer is not used here: it writes whole numbers as integers.
void wire_writer::Real(double value) {
  static_assert(sizeof(value) == sizeof(std::uint64_t));
  std::uint64_t bits = 0;
  std::memcpy(&bits, &value, sizeof(bits));
  std::array<char, kRealBytes> bytes{};
  bytes[0] = static_cast<char>(kFloat64Tag);
  for (std::size_t i = 1; i < bytes.size(); ++i)
    bytes[i] = static_cast<char>(bits >> (8 * (bytes.size() - 1 - i)) & 0xffU);
  state_->buffer.write(bytes.data(), bytes.size());
}

void wire_writer::Flag(bool value) { state_->packer.pack(value); }

void wire_writer::Text(std::string_view value) {
  state_->packer.pack_bin(static_cast<std::uint32_t>(value.size()));
  state_->packer.pack_bin_body(value.data(),
                               static_cast<std::uint32_t>(value.size()));
}

void wire_writer::Write(target_id value) {
  Number(std::uint64_t{value.index} << 32U | value.sequence);
}

void wire_writer::Write(const endpoint& value) {
  Array(2);
  const auto& bytes = value.address.bytes;
  Text(std::string_view(reinterpret_cast<const char*>(bytes.data()),
                        bytes.size()));
  Number(value.port);
}

std::string_view wire_writer::bytes() const {
  return {state_->buffer.data(), state_->buffer.size()};
}

// Invariant: `open` holds the arrays entered and not left, each with the index
// of its next element.
struct wire_reader::state {
  struct cursor {
    const msgpack::object* elements;
    std::size_t count;
    std::size_t next;
  };

  msgpack::object_handle handle;
  std::vector<cursor> open;
  bool ok = true;

  const msgpack::object* Next(msgpack::type::object_type type) {
    if (!ok || open.empty() || open.back().next >= open.back().count)
      return Fail();
    const msgpack::object* found = &open.back().elements[open.back().next++];
    return found->type == type ? found : Fail();
  }

  const msgpack::object* Fail() {
    ok = false;
    return nullptr;
  }
};

wire_reader::wire_reader(std::string_view bytes, const wire_limits& limits)
    : state_(std::make_unique<state>()) {
  if (bytes.size() > limits.max_bytes) {
    state_->ok = false;
    return;
  }
  const msgpack::unpack_limit bounds(limits.max_elements, 0, limits.max_text,
                                     limits.max_text, 0, limits.max_depth);
  try {
    std::size_t offset = 0;
    // Texts stay in the caller's buffer only until the copy below; nothing
    // refers to it afterwards.
    state_->handle = msgpack::unpack(bytes.data(), bytes.size(), offset,
                                     nullptr, nullptr, bounds);
    state_->ok = offset == bytes.size();
    state_->open.push_back({&state_->handle.get(), 1, 0});
  } catch (const std::exception&) {
    state_->ok = false;
  }
}

wire_reader::~wire_reader() = default;

std::size_t wire_reader::Array() {
  const msgpack::object* found = state_->Next(msgpack::type::ARRAY);
  if (found == nullptr) return 0;
  state_->open.push_back({found->via.array.ptr, found->via.array.size, 0});
  return found->via.array.size;
}

void wire_reader::Leave() {
  if (!state_->ok) return;
  assert(state_->open.size() > 1);
  state_->open.pop_back();
}

std::uint64_t wire_reader::Number() {
  const msgpack::object* found = state_->Next(msgpack::type::POSITIVE_INTEGER);
  return found == nullptr ? 0 : found->via.u64;
}

std::uint64_t wire_reader::NumberUpTo(std::uint64_t max) {
  const std::uint64_t value = Number();
  if (value <= max) return value;
  state_->ok = false;
  return 0;
}

std::int64_t wire_reader::Signed() {
  if (!state_->ok || state_->open.empty() ||
      state_->open.back().next >= state_->open.back().count) {
    state_->ok = false;
    return 0;
  }
  const msgpack::object& found =
      state_->open.back().elements[state_->open.back().next++];
  if (found.type == msgpack::type::NEGATIVE_INTEGER) return found.via.i64;
  if (found.type == msgpack::type::POSITIVE_INTEGER &&
      found.via.u64 <= INT64_MAX) {
    return static_cast<std::int64_t>(found.via.u64);
  }
  state_->ok = false;
  return 0;
}

double wire_reader::Real() {
  const msgpack::object* found = state_->Next(msgpack::type::FLOAT64);
  return found == nullptr ? 0.0 : found->via.f64;
}

bool wire_reader::Flag() {
  const msgpack::object* found = state_->Next(msgpack::type::BOOLEAN);
  return found != nullptr && found->via.boolean;
}

std::string wire_reader::Text() {
  const msgpack::object* found = state_->Next(msgpack::type::BIN);
  return found == nullptr
             ? std::string()
             : std::string(found->via.bin.ptr, found->via.bin.size);
}

void wire_reader::Read(target_id* value) {
  const std::uint64_t packed = Number();
  value->index = static_cast<std::uint32_t>(packed >> 32U);
  value->sequence = static_cast<std::uint32_t>(packed & 0xffffffffU);
}

void wire_reader::Read(endpoint* value) {
  Array();
  const std::string bytes = Text();
  if (bytes.size() == value->address.bytes.size()) {
    std::memcpy(value->address.bytes.data(), bytes.data(), bytes.size());
  } else {
    state_->ok = false;
  }
  value->port = static_cast<std::uint16_t>(NumberUpTo(UINT16_MAX));
  Leave();
}

bool wire_reader::ok() const { return state_->ok; }

}  // namespace tamaracklatch
