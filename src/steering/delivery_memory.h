// The headers of segments that were handed to the target of late, by the token
// that a returned segment brings back.
#pragma once

#include <cstdint>
#include <vector>

#include "tamaracklatch/steering/steering_header.h"

namespace tamaracklatch {

class delivery_memory {
 public:
  delivery_memory() : entries_(kEntries) {}

  // The token of the delivery; never 0.
  std::uint32_t Remember(const steering_header& header) {
    if (++next_ == 0) ++next_;
    entry& place = entries_[next_ & (kEntries - 1)];
    place.token = next_;
    place.header = header;
    return next_;
  }

  // Null where the delivery was forgotten or is of another flow.
  const steering_header* Find(std::uint32_t token, std::uint64_t flow) const {
    const entry& place = entries_[token & (kEntries - 1)];
    const bool is_same =
        token != 0 && place.token == token && place.header.flow == flow;
    return is_same ? &place.header : nullptr;
  }

 private:
  struct entry {
    std::uint32_t token = 0;
    steering_header header;
  };

  static constexpr std::size_t kEntries = 512;

  std::vector<entry> entries_;
  std::uint32_t next_ = 0;
};

}  // namespace tamaracklatch
