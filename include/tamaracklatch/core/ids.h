// Identifiers shared by all slices. Each is its own type, so that one can't be
// passed for another.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

namespace tamaracklatch {

// A number with a meaning of its own. `Tag` makes the types distinct.
template <typename Tag>
struct strong_number {
  std::uint64_t value = 0;

  friend bool operator==(strong_number left, strong_number right) {
    return left.value == right.value;
  }
  friend bool operator!=(strong_number left, strong_number right) {
    return left.value != right.value;
  }
  friend bool operator<(strong_number left, strong_number right) {
    return left.value < right.value;
  }
  friend bool operator>(strong_number left, strong_number right) {
    return left.value > right.value;
  }
  friend bool operator<=(strong_number left, strong_number right) {
    return left.value <= right.value;
  }
  friend bool operator>=(strong_number left, strong_number right) {
    return left.value >= right.value;
  }
};

// Position of an accepted change in the replicated log. Only rises on a node; 0
// means "nothing known yet".
using revision = strong_number<struct revision_tag>;

// A service, numbered by the revision that created it. Never used again for
// another service; 0 names none.
using service_id = strong_number<struct service_id_tag>;

// One start of one process, drawn at random when it starts. 0 names none.
using incarnation = strong_number<struct incarnation_tag>;

// A target: a slot in the control plane's table and the sequence number of its
// use, so that a stale id is caught.
struct target_id {
  std::uint32_t index = 0;
  std::uint32_t sequence = 0;  // 0 names none; the first use of a slot has 1

  friend bool operator==(target_id left, target_id right) {
    return left.index == right.index && left.sequence == right.sequence;
  }
  friend bool operator!=(target_id left, target_id right) {
    return !(left == right);
  }
  friend bool operator<(target_id left, target_id right) {
    return left.index != right.index ? left.index < right.index
                                     : left.sequence < right.sequence;
  }
};

// Name of a VM, as its settings give it.
using vm_name = std::string;

// Name of an availability zone, as the settings give it.
using zone_name = std::string;

}  // namespace tamaracklatch

template <typename Tag>
struct std::hash<tamaracklatch::strong_number<Tag>> {
  std::size_t operator()(
      tamaracklatch::strong_number<Tag> number) const noexcept {
    return std::hash<std::uint64_t>()(number.value);
  }
};

template <>
struct std::hash<tamaracklatch::target_id> {
  std::size_t operator()(tamaracklatch::target_id id) const noexcept {
    return std::hash<std::uint64_t>()(std::uint64_t{id.index} << 32U |
                                      id.sequence);
  }
};
