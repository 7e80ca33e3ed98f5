// Bearer tokens of operators and service teams. Each token lists the services
// that its holder may change.
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace tamaracklatch {

// One token as configured in the settings.
struct access_token {
  std::string name;                   // of the holder; kept in the history
  std::string token;                  // the secret
  std::vector<std::string> services;  // by name; "*" matches every service
};

// Checks the bearer tokens of requests to the control API. Keeps only hashes of
// the tokens. A check compares with every hash in constant time, so that its
// duration reveals nothing about the tokens.
class access_tokens {
 public:
  explicit access_tokens(const std::vector<access_token>& tokens);

  // The name of the token's holder if the token may change the service, else
  // empty. The service "*" stands for all services: only tokens that list "*"
  // may change it.
  std::string Holder(std::string_view token, std::string_view service) const;

  // Whether the token is one of those configured, for any service.
  bool IsKnown(std::string_view token) const;

 private:
  using token_hash = std::array<unsigned char, 32>;

  // One configured token, with a hash in place of the secret.
  struct entry {
    std::string name;
    token_hash hash;
    std::vector<std::string> services;
  };

  static token_hash HashOf(std::string_view token);

  std::vector<entry> entries_;
};

}  // namespace tamaracklatch
