// Appends the authentication code that a sender with the key would compute.
#pragma once

#include <sodium/crypto_shorthash.h>

#include <string>

#include "tamaracklatch/flow/envelope.h"

namespace tamaracklatch::test {

inline std::string Sign(std::string covered, const envelope_key& key) {
  unsigned char code[crypto_shorthash_BYTES];
  crypto_shorthash(code, reinterpret_cast<const unsigned char*>(covered.data()),
                   covered.size(), key.data());
  return covered.append(reinterpret_cast<const char*>(code), sizeof(code));
}

}  // namespace tamaracklatch::test
