// Hashes and compares bearer tokens with libsodium.
#include "tamaracklatch/control/access_tokens.h"

#include <sodium.h>

#include <algorithm>

namespace tamaracklatch {

access_tokens::access_tokens(const std::vector<access_token>& tokens) {
  for (const access_token& token : tokens)
    entries_.push_back({token.name, HashOf(token.token), token.services});
}

access_tokens::token_hash access_tokens::HashOf(std::string_view token) {
  token_hash hash{};
  crypto_generichash(hash.data(), hash.size(),
                     reinterpret_cast<const unsigned char*>(token.data()),
                     token.size(), nullptr, 0);
  return hash;
}

std::string access_tokens::Holder(std::string_view token,
                                  std::string_view service) const {
  const token_hash hash = HashOf(token);
  std::string holder;
  for (const entry& known : entries_) {
    const bool matches =
        sodium_memcmp(hash.data(), known.hash.data(), hash.size()) == 0;
    const bool may_change =
        std::any_of(known.services.begin(), known.services.end(),
                    [&](const std::string& name) {
                      return name == "*" || name == service;
                    });
    if (matches && may_change) holder = known.name;
  }
  return holder;
}

bool access_tokens::IsKnown(std::string_view token) const {
  const token_hash hash = HashOf(token);
  bool found = false;
  for (const entry& known : entries_) {
    if (sodium_memcmp(hash.data(), known.hash.data(), hash.size()) == 0)
      found = true;
  }
  return found;
}

}  // namespace tamaracklatch
