// A hash of an endpoint that has the same value on every node: rendezvous
// hashing, node tags and owner hints depend on it.
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
