// The names of the nodes below a relay, kept equal at its parent: sent in parts
// whenever the sum that the parent holds differs.
#pragma once

#include <cstdint>
#include <vector>

#include "tamaracklatch/distribution/relay_messages.h"

namespace tamaracklatch {

// Sum of the identities, modulo 2^64.
std::uint64_t SumOfNames(const std::vector<node_identity>& names);

// The parent's side, one for each child.
class name_list_reader {
 public:
  // Takes a part in; parts out of turn are ignored. Returns whether names()
  // changed.
  bool OnPart(const name_list_part& part);

  const std::vector<node_identity>& names() const { return names_; }
  std::uint64_t sum() const { return sum_; }

 private:
  std::vector<node_identity> names_;  // the last whole list
  std::uint64_t sum_ = 0;             // of names_

  std::vector<node_identity> partial_;
  std::uint64_t partial_list_ = 0;  // list that is being received
  std::uint32_t next_part_ = 0;
};

// The child's side.
class name_list_writer {
 public:
  // Replaces the list at `now`, if it differs.
  void Set(std::vector<node_identity> names, time_point now);

  // The part to send, if the parent, which holds `known`, lacks the list and
  // it has not changed for `settle`.
  std::optional<name_list_part> Part(std::uint64_t known, duration settle,
                                     time_point now) const;

  // The parent has answered a pull that had a part.
  void OnAnswered(std::uint64_t known);

  // Another parent: it starts with the first part.
  void Restart() { next_part_ = 0; }

  std::uint64_t sum() const { return sum_; }

 private:
  std::vector<node_identity> names_;
  std::uint64_t sum_ = 0;
  time_point changed_;
  std::uint32_t next_part_ = 0;
};

}  // namespace tamaracklatch
