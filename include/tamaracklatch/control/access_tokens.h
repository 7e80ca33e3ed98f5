// Bearer tokens of the operators: each names the services that it may change.
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace tamaracklatch {

// One token, as the settings give it.
struct access_token {
  std::string name;                   // of the holder, for the history
  std::string token;                  // the secret
  std::vector<std::string> services;  // "*" names all
};

// Keeps only hashes of the tokens. A check compares with every one of them in
// constant time, so that its duration tells nothing.
class access_tokens {
 public:
  explicit access_tokens(const std::vector<access_token>& tokens);

  // The holder, if the token may change the service; else empty.
  std::string Holder(std::string_view token, std::string_view service) const;

  // Whether it is any known token.
  bool IsKnown(std::string_view token) const;

 private:
  using token_hash = std::array<unsigned char, 32>;

  // One token without its secret.
  struct entry {
    std::string name;
    token_hash hash;
    std::vector<std::string> services;
  };

  static token_hash HashOf(std::string_view token);

  std::vector<entry> entries_;
};

}  // namespace tamaracklatch
