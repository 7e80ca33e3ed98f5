// The identity of a service in steering headers and target directories, of a
// fixed size whatever the length of the name.
#pragma once

#include <cstddef>
#include <cstring>
#include <string_view>

#include "tamaracklatch/core/abbreviated_name.h"

namespace tamaracklatch {

// The digest of a service's name.
struct service_digest {
  name_digest bytes{};

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
// The same from the name as AbbreviateName returned it.
service_digest DigestAbbreviatedService(std::string_view abbreviated);

// For hash tables within one process.
struct service_digest_hash {
  std::size_t operator()(const service_digest& digest) const noexcept {
    std::size_t first = 0;
    std::memcpy(&first, digest.bytes.data(), sizeof(first));
    return first;
  }
};

}  // namespace tamaracklatch
