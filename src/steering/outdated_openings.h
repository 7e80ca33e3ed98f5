// The openings that a target daemon accepted from balancers that may have used
// a replaced document set: one that is out of touch with the control quorum
// goes on with the set that it has.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>

#include "tamaracklatch/core/time.h"

namespace tamaracklatch {

class outdated_openings {
 public:
  // A flow is over when this time has passed since its opening was accepted.
  explicit outdated_openings(duration max_flow_age)
      : max_flow_age_(max_flow_age) {}

  // An opening was accepted from a balancer that applies the set of that
  // version and whose view is not confirmed.
  void Add(std::uint64_t version, time_point now);

  // A set of that version had been accepted, and none above it at `as_of`.
  void SetAccepted(std::uint64_t version, time_point as_of);

  // The lowest version by which a flow that may be open was opened although a
  // higher one had been accepted, or may have been; 0: none. `is_in_touch`: a
  // control VM responds to this node.
  std::uint64_t LowestVersion(bool is_in_touch, time_point now);

 private:
  static constexpr std::size_t kMaxVersions = 16;

  duration max_flow_age_;
  // By version, the last opening. Beyond kMaxVersions, the two lowest versions
  // count as one.
  std::map<std::uint64_t, time_point> openings_;
  std::uint64_t accepted_version_ = 0;
  time_point accepted_as_of_;
};

}  // namespace tamaracklatch
