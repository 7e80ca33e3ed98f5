// The headers of segments recently delivered to the target, by delivery token.
// A segment that the target returns carries the token, and the header is needed
// to pass it on. Bounded; a newer delivery replaces the oldest one.
#pragma once

#include <cstdint>
#include <vector>

#include "tamaracklatch/steering/steering_header.h"

namespace tamaracklatch {

class delivery_cache {
 public:
  delivery_cache() : entries_(kEntries) {}

  // Stores the header of a delivery and returns its token, which is never 0.
  std::uint32_t Add(const steering_header& header) {
    if (++next_ == 0) ++next_;
    entry& place = entries_[next_ & (kEntries - 1)];
    place.token = next_;
    place.header = header;
    return next_;
  }

  // Null if the delivery was replaced or belongs to another flow. Valid until
  // the next Add.
  const steering_header* Find(std::uint32_t token, std::uint64_t flow) const {
    const entry& place = entries_[token & (kEntries - 1)];
    const bool is_same =
        token != 0 && place.token == token && place.header.flow == flow;
    return is_same ? &place.header : nullptr;
  }

 private:
  struct entry {
    std::uint32_t token = 0;  // 0: unused
    steering_header header;
  };

  static constexpr std::size_t kEntries = 512;  // a power of two

  std::vector<entry> entries_;
  std::uint32_t next_ = 0;  // token of the last delivery
};

}  // namespace tamaracklatch
