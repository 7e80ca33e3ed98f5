// The identity of a service in steering headers and target directories, of a
// fixed size whatever the length of the name.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <cstring>
#include <string_view>

namespace tamaracklatch {

// A 128-bit BLAKE2b digest of a service's name; the same on every node and in
// every version. Stands for the name: no two names of one digest can be found.
struct service_digest {
  std::array<std::uint8_t, 16> bytes{};

  friend bool operator==(const service_digest& left,
                         const service_digest& right) {
    return left.bytes == right.bytes;
  }
  friend bool operator!=(const service_digest& left,
                         const service_digest& right) {
    return left.bytes != right.bytes;
  }
  friend bool operator<(const service_digest& left,
                        const service_digest& right) {
    return left.bytes < right.bytes;
  }
};

service_digest DigestService(std::string_view name);

// For hash tables within one process.
struct service_digest_hash {
  std::size_t operator()(const service_digest& digest) const noexcept {
    std::size_t first = 0;
    std::memcpy(&first, digest.bytes.data(), sizeof(first));
    return first;
  }
};

}  // namespace tamaracklatch
