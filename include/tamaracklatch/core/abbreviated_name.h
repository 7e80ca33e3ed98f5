// Names of services, zones and VMs as messages between processes carry them: of
// a bounded size, whatever the length of the name.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace tamaracklatch {

// A 128-bit BLAKE2b digest of a name; the same on every node and in every
// version. Stands for the name: no two names of one digest can be found.
using name_digest = std::array<std::uint8_t, 16>;

name_digest DigestName(std::string_view name);

// Maximum size of an abbreviated name, in bytes.
inline constexpr std::size_t kMaxAbbreviatedName = 128;

// Returns a name of up to kMaxAbbreviatedName bytes unchanged, which earlier
// releases do with all names, and otherwise its first letters, '~' and its
// digest in hexadecimal. A name that reads like such a result is abbreviated as
// well, so that different names stay different; hence a result must not be
// abbreviated again.
std::string AbbreviateName(std::string_view name);

// The digest of the name that AbbreviateName abbreviated.
name_digest DigestOfAbbreviated(std::string_view abbreviated);

}  // namespace tamaracklatch
