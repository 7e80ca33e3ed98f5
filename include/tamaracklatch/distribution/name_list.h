// Synchronizes the list of nodes below a relay to its parent. The child sends
// the list in parts whenever the checksum that the parent holds differs.
#pragma once

#include <cstdint>
#include <vector>

#include "tamaracklatch/distribution/relay_messages.h"

namespace tamaracklatch {

// Checksum of a list: the sum of HashIdentity over all names, modulo 2^64.
std::uint64_t SumOfNames(const std::vector<node_identity>& names);

// The parent's side: receives the list of one child.
class name_list_reader {
 public:
  // Adds a part; parts out of order are ignored, and so is a list above 2^18
  // names. Returns whether names() changed, which the last part does if the
  // checksum matches.
  bool OnPart(const name_list_part& part);

  // The last complete list.
  const std::vector<node_identity>& names() const { return names_; }
  // Checksum of names(), reported to the child in each delta.
  std::uint64_t sum() const { return sum_; }

 private:
  std::vector<node_identity> names_;  // the last complete list
  std::uint64_t sum_ = 0;             // SumOfNames(names_)

  // The list that is being received: the names so far and its checksum.
  std::vector<node_identity> partial_;
  std::uint64_t partial_list_ = 0;
  std::uint32_t next_part_ = 0;
};

// The child's side: sends the list to the current parent.
class name_list_writer {
 public:
  // Replaces the list if it differs, and restarts the transfer.
  void Set(std::vector<node_identity> names, time_point now);

  // Returns the next part to send. Returns nothing if the parent holds this
  // list already (`known` is the checksum that it reported) or if the list has
  // changed within the last `settle`.
  std::optional<name_list_part> Part(std::uint64_t known, duration settle,
                                     time_point now) const;

  // Called for each delta from the parent, with the checksum that it reports.
  // Moves on to the next part; after the last one to the first.
  void OnAnswered(std::uint64_t known);

  // Called when the parent changes: the new one needs the first part.
  void Restart() { next_part_ = 0; }

  // Checksum of the list.
  std::uint64_t sum() const { return sum_; }

 private:
  std::vector<node_identity> names_;
  std::uint64_t sum_ = 0;
  time_point changed_;  // last change of names_
  std::uint32_t next_part_ = 0;
};

}  // namespace tamaracklatch
