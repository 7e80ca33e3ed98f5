// A hash of an endpoint that is the same on every node.
#pragma once

#include <cstddef>
#include <cstdint>

#include "tamaracklatch/core/endpoint.h"
#include "tamaracklatch/core/hash.h"

namespace tamaracklatch {

inline std::uint64_t HashEndpoint(const endpoint& where) {
  return HashBytes(where.address.bytes.data(), where.address.bytes.size(),
                   where.port);
}

struct endpoint_hash {
  std::size_t operator()(const endpoint& where) const noexcept {
    return HashEndpoint(where);
  }
};

}  // namespace tamaracklatch
