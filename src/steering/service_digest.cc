// Digests of service names.
#include "tamaracklatch/steering/service_digest.h"

namespace tamaracklatch {

service_digest DigestService(std::string_view name) {
  return {DigestName(name)};
}

service_digest DigestAbbreviatedService(std::string_view abbreviated) {
  return {DigestOfAbbreviated(abbreviated)};
}

}  // namespace tamaracklatch
