// Digests of service names by libsodium.
#include "tamaracklatch/steering/service_digest.h"

#include <sodium/crypto_generichash_blake2b.h>

namespace tamaracklatch {

service_digest DigestService(std::string_view name) {
  service_digest digest;
  crypto_generichash_blake2b(
      digest.bytes.data(), digest.bytes.size(),
      reinterpret_cast<const unsigned char*>(name.data()), name.size(), nullptr,
      0);
  return digest;
}

}  // namespace tamaracklatch
