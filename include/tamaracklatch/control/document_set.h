// A document set: the whole desired state of an installation under one version,
// replaced at once. The highest version is in force.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "tamaracklatch/core/endpoint.h"
#include "tamaracklatch/core/result_code.h"
#include "tamaracklatch/core/time.h"

namespace tamaracklatch {

// A service's part of the new flows of an address.
struct service_share {
  std::string service;
  std::uint32_t weight = 1;  // 0: no new flows

  friend bool operator==(const service_share& left,
                         const service_share& right) {
    return left.service == right.service && left.weight == right.weight;
  }
};

// Where new flows towards one address go.
struct set_route {
  std::string name;
  endpoint where;  // as callers address it
  std::vector<service_share> shares;

  friend bool operator==(const set_route& left, const set_route& right) {
    return left.name == right.name && left.where == right.where &&
           left.shares == right.shares;
  }
};

// Invariants, checked by CheckDocumentSet: no two routes share `where`; each
// route has a share with a weight; each share names one of `services`.
struct document_set {
  std::uint64_t version = 0;
  std::vector<set_route> routes;
  std::vector<std::string> services;
  duration idle_timeout{0};  // after which an idle flow may be forgotten; 0:
                             // never
};

// Bounds of a set, in bytes: encoded, and as its operator wrote it.
inline constexpr std::size_t kMaxEncodedSetBytes = 256 * 1024;
inline constexpr std::size_t kMaxSetSourceBytes = 512 * 1024;

// Checks the invariants; adds every fault to `failures`, each with kSetInvalid.
bool CheckDocumentSet(const document_set& set, std::vector<failure>* failures);

// The set, which keeps the invariants, as bytes for the log and for nodes;
// equal sets give equal bytes.
std::string EncodeDocumentSet(const document_set& set);

// Nothing on malformed bytes or where an invariant does not hold.
std::optional<document_set> DecodeDocumentSet(std::string_view bytes);

}  // namespace tamaracklatch
